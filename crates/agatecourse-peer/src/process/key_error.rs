use snafu::Snafu;
use std::path::PathBuf;

/// Reports a key or certificate that can't be made, read or accepted.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum KeyError {
    /// The name of a node or deployment has characters that are not allowed.
    #[snafu(display("{name:?} is not a name; expected 1 to 63 letters, digits, `-` and `_`"))]
    InvalidName {
        /// The rejected name.
        name: String,
    },
    /// The period of validity is empty or too long.
    #[snafu(display("validity of {days} days is out of range; expected 1 to 3650"))]
    InvalidValidity {
        /// The rejected number of days.
        days: u32,
    },
    /// The certificate can't be made.
    #[snafu(display("can't make the certificate: {source}"))]
    Generate {
        /// Error of the certificate library.
        source: rcgen::Error,
    },
    /// A PEM text does not hold what is expected.
    #[snafu(display("no valid {expected} in PEM format found in {origin}"))]
    InvalidPem {
        /// What was expected.
        expected: &'static str,
        /// File or argument that was read.
        origin: String,
    },
    /// A node must accept one or two deployment keys.
    #[snafu(display("{count} deployment certificates given; expected one or two"))]
    DeploymentCount {
        /// Number of certificates given.
        count: usize,
    },
    /// The node's certificate is not signed by an accepted deployment key, or has expired.
    #[snafu(display("the node's certificate is not valid under the deployment keys: {source}"))]
    NotAccepted {
        /// Error of the TLS library.
        source: rustls::Error,
    },
    /// The TLS configuration can't be built.
    #[snafu(display("can't build the TLS configuration: {message}"))]
    Tls {
        /// What the TLS library reported.
        message: String,
    },
    /// A file can't be read or written.
    #[snafu(display("can't {action} {}: {source}", path.display()))]
    File {
        /// What was tried.
        action: &'static str,
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The directory already holds a deployment key.
    #[snafu(display("{} already exists; use rotate to add a deployment key", path.display()))]
    DeploymentKeyExists {
        /// File of the existing key.
        path: PathBuf,
    },
    /// The directory holds no such deployment key.
    #[snafu(display("no deployment key {number} in {}; make one first", path.display()))]
    NoDeploymentKey {
        /// The directory.
        path: PathBuf,
        /// Number of the missing key.
        number: u32,
    },
}
