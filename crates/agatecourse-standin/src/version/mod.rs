//! Versions of an engine and the orders that load and unload them.

mod version_table;

pub(crate) use version_table::{Order, OrderRefusal, VersionTable, WeightLoad};
