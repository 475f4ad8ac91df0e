//! INI documents with line numbers and typed access that collects faults.

mod document;
mod section_reader;

pub use document::{Document, Entry, Section};
pub use section_reader::SectionReader;
