//! Keys and certificates of a deployment and its nodes, in memory and in PEM files.

mod certificate_summary;
mod deployment_key;
mod key_error;
mod key_store;
mod node_keys;

pub use certificate_summary::CertificateSummary;
pub(crate) use certificate_summary::common_name;
pub(crate) use deployment_key::SERVER_NAME;
pub use deployment_key::{DeploymentKey, IssuedCertificate};
pub use key_error::KeyError;
pub use key_store::KeyStore;
pub use node_keys::NodeKeys;
