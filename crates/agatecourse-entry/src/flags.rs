#![allow(missing_docs, reason = "the macro takes doc comments as help texts only")]

use std::path::PathBuf;

xflags::xflags! {
    /// Runs an agatecourse entry node.
    ///
    /// EXAMPLES:
    ///     agatecourse-entry --settings node.ini
    ///     agatecourse-entry --settings node.ini --check
    cmd agatecourse-entry {
        /// File with the node's settings.
        required --settings file: PathBuf
        /// Checks the settings, lists all faults and exits.
        optional --check
    }
}
