//! Transport between agatecourse nodes: QUIC with mutual TLS, where the deployment is its own certificate authority.
//!
//! A deployment key signs one certificate for each node. A node accepts only peers whose certificate is
//! signed by one of its configured deployment keys, and drops messages whose sender differs from the name in
//! the certificate. Nodes accept up to two deployment keys at once, so that a key can be rotated without
//! downtime.
//!
//! ```
//! use agatecourse_peer::{DeploymentKey, NodeKeys};
//!
//! let key = DeploymentKey::generate("kaewkla", 1, 365)?;
//! let issued = key.issue_certificate("node-a", 90)?;
//! let keys = NodeKeys::from_pem(&[key.certificate_pem()], &issued.certificate_pem, &issued.key_pem)?;
//! assert_eq!(keys.node(), "node-a");
//! # Ok::<(), agatecourse_peer::KeyError>(())
//! ```

mod connection;
mod process;

pub use connection::{IncomingMessage, MessageChannel, PeerEndpoint, PeerError, TrafficCounters};
pub use process::{
    CertificateSummary, DeploymentKey, IssuedCertificate, KeyError, KeyStore, NodeKeys,
};
