use agatecourse_peer::KeyError;
use agatecourse_platform::TableError;
use snafu::Snafu;
use std::io;

/// Error that prevents the demo from starting, running or stopping cleanly.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DemoError {
    /// A file, process or socket could not be used.
    #[snafu(display("{action}: {source}"))]
    Io {
        /// The operation that failed, as a phrase such as `starting targets`.
        action: String,
        /// Error returned by the operating system.
        source: io::Error,
    },
    /// A key or certificate could not be created.
    #[snafu(display("making keys: {source}"))]
    Keys {
        /// Error returned by the key store.
        source: KeyError,
    },
    /// The configuration could not be written to the table.
    #[snafu(display("putting the configuration in the table: {source}"))]
    Table {
        /// Error returned by the table client.
        source: TableError,
    },
    /// The generated configuration is invalid, or the table already has one.
    #[snafu(display("the demo's configuration is not valid: {detail}"))]
    Configuration {
        /// The validation errors, or the reason why the table refused the write.
        detail: String,
    },
    /// The node executable is missing and could not be built.
    #[snafu(display("building the node program: {detail}"))]
    Build {
        /// Exit status of cargo, or the path that is missing after a successful build.
        detail: String,
    },
    /// A node process exited unexpectedly, or did not become ready or stop within its timeout.
    #[snafu(display("node {node}: {detail}"))]
    Node {
        /// Name of the node, such as `node-1`.
        node: String,
        /// Exit status or timeout, followed by the last lines of the node's log.
        detail: String,
    },
}
