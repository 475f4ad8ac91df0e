//! Documents that nodes hand on to each other: which ones a node lacks, from whom it fetches them, and what its link bears of the requests of others.

mod compression;
mod delta;
mod encoded_document;
mod fetch;
mod newer_documents;
mod server;
mod uploads;

pub(super) use encoded_document::EncodedDocument;
pub(super) use fetch::fetch_documents;
pub(super) use newer_documents::{FetchEnd, NewerDocuments};
pub(super) use server::serve_document;
pub(super) use uploads::{DocumentUploads, Upload, UploadDecision, UploadRequest};

#[cfg(test)]
mod tests;
