use snafu::Snafu;
use std::path::PathBuf;

/// Error of generating, reading, writing or verifying a key or certificate.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum KeyError {
    /// The name of a node or deployment is empty, too long or reserved, or has characters that aren't allowed.
    #[snafu(display("invalid name {name:?}; expected 1 to 63 letters, digits, `-` and `_`"))]
    InvalidName {
        /// The name as it was given.
        name: String,
    },
    /// The validity of a certificate is zero or too long.
    #[snafu(display("validity of {days} days is out of range; expected 1 to 3650"))]
    InvalidValidity {
        /// The number of days as it was given.
        days: u32,
    },
    /// The key or certificate can't be generated.
    #[snafu(display("can't generate the certificate: {source}"))]
    Generate {
        /// Error of the certificate library.
        source: rcgen::Error,
    },
    /// A PEM text doesn't contain what is expected, or it is invalid.
    #[snafu(display("no valid {expected} in PEM format found in {origin}"))]
    InvalidPem {
        /// Kind of PEM object that was expected.
        expected: &'static str,
        /// File or argument that was read.
        origin: String,
    },
    /// The number of deployment keys isn't one, or two during a rotation.
    #[snafu(display("{count} deployment certificates given; expected one or two"))]
    DeploymentCount {
        /// Number of deployment certificates that were given.
        count: usize,
    },
    /// The node's certificate isn't signed by one of the deployment keys, or isn't valid at this time.
    #[snafu(display("the deployment keys don't accept the node's certificate: {source}"))]
    NotAccepted {
        /// Error of the TLS library.
        source: rustls::Error,
    },
    /// The TLS configuration can't be built.
    #[snafu(display("can't build the TLS configuration: {message}"))]
    Tls {
        /// Error of the TLS library.
        message: String,
    },
    /// A file can't be read or written.
    #[snafu(display("can't {action} {}: {source}", path.display()))]
    File {
        /// Verb of the failed operation, for example `read`.
        action: &'static str,
        /// File or directory of the operation.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The directory already contains a deployment key.
    #[snafu(display("{} already exists; use rotate to add a deployment key", path.display()))]
    DeploymentKeyExists {
        /// Certificate file of the existing key.
        path: PathBuf,
    },
    /// The directory contains no deployment key of this number.
    #[snafu(display("no deployment key {number} in {}; make one first", path.display()))]
    NoDeploymentKey {
        /// Directory of the key store.
        path: PathBuf,
        /// Number of the missing key.
        number: u32,
    },
}
