use std::collections::BTreeMap;

/// Identifies a document that nodes replicate; the adapter assigns the numbers.
pub type DocumentId = u8;

/// A versioned document that nodes can fetch from each other when its source is unreachable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Version assigned by the source; a larger one is newer.
    pub version: u64,
    /// Encoded content, which only the adapter decodes.
    pub bytes: Vec<u8>,
}

/// Latest known version of each document on a node.
#[derive(Debug, Clone, Default)]
pub struct Documents {
    by_id: BTreeMap<DocumentId, Document>,
}

impl Documents {
    /// Creates a store without documents.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores a document and returns true if it is newer than the stored one; otherwise returns false.
    pub fn put(&mut self, id: DocumentId, document: Document) -> bool {
        let is_newer = self.by_id.get(&id).is_none_or(|current| document.version > current.version);
        if is_newer {
            self.by_id.insert(id, document);
        }
        is_newer
    }

    /// Returns the stored document, or `None` if none was received yet.
    pub fn get(&self, id: DocumentId) -> Option<&Document> {
        self.by_id.get(&id)
    }

    /// Returns the version of the stored document, or 0 if there is none.
    pub fn version(&self, id: DocumentId) -> u64 {
        self.by_id.get(&id).map_or(0, |document| document.version)
    }

    /// Returns the identifiers and versions of all stored documents.
    pub fn versions(&self) -> impl Iterator<Item = (DocumentId, u64)> {
        self.by_id.iter().map(|(id, document)| (*id, document.version))
    }
}
