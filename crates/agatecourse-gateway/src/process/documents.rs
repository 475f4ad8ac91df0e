use super::document_exchange::EncodedDocument;
use agatecourse_types::stable_hash;
use std::cell::{OnceCell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Identifies a document that nodes replicate; the adapter assigns the numbers.
pub type DocumentId = u8;
/// Hash of the content of a document; tells apart what nodes have under the same version.
pub(crate) type ContentHash = u64;

/// Former contents of a document that are kept as bases of differences.
const MAX_FORMER_CONTENTS: usize = 4;
/// Maximum size of all former contents of a document, in bytes.
const MAX_FORMER_BYTES: usize = 2 * 1024 * 1024;
/// Bases for which the encoded content of a version is kept.
const MAX_KEPT_ENCODINGS: usize = 8;

/// A versioned document that nodes can fetch from each other when its source is unreachable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Version assigned by the source; a larger one is newer.
    pub version: u64,
    /// Encoded content, which only the adapter decodes.
    pub bytes: Vec<u8>,
}

#[derive(Debug, Clone)]
struct StoredDocument {
    document: Document,
    hash: OnceCell<ContentHash>,
    /// Contents as sent to peers, by the base that they have.
    encodings: RefCell<BTreeMap<Option<ContentHash>, Rc<EncodedDocument>>>,
    /// Former contents, the latest last.
    former: VecDeque<(ContentHash, Vec<u8>)>,
}

impl StoredDocument {
    fn new(document: Document, before: Option<Self>) -> Self {
        let mut former = VecDeque::new();
        if let Some(before) = before {
            let hash = before.hash();
            former = before.former;
            former.push_back((hash, before.document.bytes));
        }
        let bytes = |former: &VecDeque<(ContentHash, Vec<u8>)>| -> usize {
            former.iter().map(|(_, content)| content.len()).sum()
        };
        while former.len() > MAX_FORMER_CONTENTS || bytes(&former) > MAX_FORMER_BYTES {
            former.pop_front();
        }
        let (hash, encodings) = (OnceCell::new(), RefCell::default());
        Self { document, hash, encodings, former }
    }

    fn hash(&self) -> ContentHash {
        *self.hash.get_or_init(|| stable_hash(&[&self.document.bytes]))
    }

    fn content(&self, hash: ContentHash) -> Option<&[u8]> {
        if hash == self.hash() {
            return Some(&self.document.bytes);
        }
        let former = self.former.iter().find(|(other, _)| *other == hash);
        former.map(|(_, content)| content.as_slice())
    }
}

/// Latest known version of each document on a node.
#[derive(Debug, Clone, Default)]
pub struct Documents {
    by_id: BTreeMap<DocumentId, StoredDocument>,
}

impl Documents {
    /// Creates a store without documents.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores a document and returns true if it is newer than the stored one; otherwise returns false.
    pub fn put(&mut self, id: DocumentId, document: Document) -> bool {
        let is_newer = self.get(id).is_none_or(|current| document.version > current.version);
        if is_newer {
            let before = self.by_id.remove(&id);
            self.by_id.insert(id, StoredDocument::new(document, before));
        }
        is_newer
    }

    /// Returns the stored document, or `None` if none was received yet.
    pub fn get(&self, id: DocumentId) -> Option<&Document> {
        self.by_id.get(&id).map(|stored| &stored.document)
    }

    /// Returns the version of the stored document, or 0 if there is none.
    pub fn version(&self, id: DocumentId) -> u64 {
        self.get(id).map_or(0, |document| document.version)
    }

    /// Returns the identifiers and versions of all stored documents.
    pub fn versions(&self) -> impl Iterator<Item = (DocumentId, u64)> {
        self.by_id.iter().map(|(id, stored)| (*id, stored.document.version))
    }

    /// Returns the hash of the stored content, or `None` if there is none.
    pub(crate) fn hash(&self, id: DocumentId) -> Option<ContentHash> {
        self.by_id.get(&id).map(StoredDocument::hash)
    }

    /// Returns the present or a former content.
    pub(crate) fn content(&self, id: DocumentId, hash: ContentHash) -> Option<&[u8]> {
        self.by_id.get(&id)?.content(hash)
    }

    /// Returns the stored content as sent to a peer that has `base`, or `None` if there is no document.
    pub(super) fn encoded(
        &self,
        id: DocumentId,
        base: Option<ContentHash>,
    ) -> Option<Rc<EncodedDocument>> {
        let stored = self.by_id.get(&id)?;
        let base = base.filter(|hash| stored.content(*hash).is_some());
        let mut encodings = stored.encodings.borrow_mut();
        if let Some(encoded) = encodings.get(&base) {
            return Some(Rc::clone(encoded));
        }
        let content = base.and_then(|hash| Some((hash, stored.content(hash)?)));
        let encoded = Rc::new(EncodedDocument::new(&stored.document.bytes, content));
        if encodings.len() < MAX_KEPT_ENCODINGS {
            encodings.insert(base, Rc::clone(&encoded));
        }
        Some(encoded)
    }
}
