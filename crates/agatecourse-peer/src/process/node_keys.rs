use crate::KeyError;
use crate::process::key_error::{
    DeploymentCountSnafu, FileSnafu, InvalidPemSnafu, NotAcceptedSnafu,
};
use crate::process::{SERVER_NAME, common_name};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::client::Resumption;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, UnixTime};
use rustls::server::danger::ClientCertVerifier;
use rustls::server::{NoServerSessionStorage, WebPkiClientVerifier};
use rustls::{RootCertStore, version::TLS13};
use snafu::{OptionExt, ResultExt, ensure};
use std::fmt;
use std::path::Path;
use std::sync::Arc;

/// Application protocol that both sides must offer in the TLS handshake.
const ALPN_PROTOCOL: &[u8] = b"agatecourse/1";

/// Certificate and private key of a node, and the deployment keys that it trusts.
pub struct NodeKeys {
    node: String,
    accepted_roots: Arc<RootCertStore>,
    certificate: CertificateDer<'static>,
    key: PrivateKeyDer<'static>,
    verifier: Arc<dyn ClientCertVerifier>,
}

impl NodeKeys {
    /// Parses keys from PEM texts and checks that a deployment key signed the node's certificate.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] when there isn't one or two deployment certificates, a text is invalid, the node's
    /// certificate isn't accepted or has expired, or the key can't be used for TLS.
    pub fn from_pem(
        deployment_certificates_pem: &[&str],
        certificate_pem: &str,
        key_pem: &str,
    ) -> Result<Self, KeyError> {
        let count = deployment_certificates_pem.len();
        ensure!((1..=2).contains(&count), DeploymentCountSnafu { count });
        let mut accepted_roots = RootCertStore::empty();
        for pem in deployment_certificates_pem {
            let der = parse_certificate(pem, "the deployment certificate")?;
            accepted_roots.add(der).ok().context(InvalidPemSnafu {
                expected: "certificate of a deployment key",
                origin: "the deployment certificate",
            })?;
        }
        let accepted_roots = Arc::new(accepted_roots);
        let certificate = parse_certificate(certificate_pem, "the node's certificate")?;
        let node = common_name(&certificate).context(InvalidPemSnafu {
            expected: "certificate with a node name",
            origin: "the node's certificate",
        })?;
        let key = PrivateKeyDer::from_pem_slice(key_pem.as_bytes())
            .ok()
            .context(InvalidPemSnafu { expected: "private key", origin: "the node's key" })?;
        let verifier =
            WebPkiClientVerifier::builder_with_provider(accepted_roots.clone(), crypto_provider())
                .build()
                .map_err(tls_error)?;
        verifier
            .verify_client_cert(&certificate, &[], UnixTime::now())
            .context(NotAcceptedSnafu)?;
        let keys = Self { node, accepted_roots, certificate, key, verifier };
        // An unusable key is reported here, before the endpoint is opened.
        keys.server_config()?;
        Ok(keys)
    }

    /// Reads keys from PEM files; see [`NodeKeys::from_pem`].
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::File`] when a file can't be read, or the errors of [`NodeKeys::from_pem`].
    pub fn load(
        deployment_certificates: &[impl AsRef<Path>],
        certificate: impl AsRef<Path>,
        key: impl AsRef<Path>,
    ) -> Result<Self, KeyError> {
        let texts = deployment_certificates
            .iter()
            .map(|path| read_file(path.as_ref()))
            .collect::<Result<Vec<_>, _>>()?;
        let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
        Self::from_pem(&texts, &read_file(certificate.as_ref())?, &read_file(key.as_ref())?)
    }

    /// Returns the node name, which is the common name of the certificate.
    pub fn node(&self) -> &str {
        &self.node
    }

    pub(crate) fn server_config(&self) -> Result<QuicServerConfig, KeyError> {
        let mut config = rustls::ServerConfig::builder_with_provider(crypto_provider())
            .with_protocol_versions(&[&TLS13])
            .map_err(tls_error)?
            .with_client_cert_verifier(self.verifier.clone())
            .with_single_cert(vec![self.certificate.clone()], self.key.clone_key())
            .map_err(tls_error)?;
        config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        // A resumed session would skip the verification against the deployment keys that are configured by then.
        config.session_storage = Arc::new(NoServerSessionStorage {});
        config.send_tls13_tickets = 0;
        QuicServerConfig::try_from(config).map_err(tls_error)
    }

    pub(crate) fn client_config(&self) -> Result<QuicClientConfig, KeyError> {
        let mut config = rustls::ClientConfig::builder_with_provider(crypto_provider())
            .with_protocol_versions(&[&TLS13])
            .map_err(tls_error)?
            .with_root_certificates(self.accepted_roots.clone())
            .with_client_auth_cert(vec![self.certificate.clone()], self.key.clone_key())
            .map_err(tls_error)?;
        config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        config.resumption = Resumption::disabled();
        QuicClientConfig::try_from(config).map_err(tls_error)
    }

    pub(crate) fn server_name() -> &'static str {
        SERVER_NAME
    }
}

impl fmt::Debug for NodeKeys {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("NodeKeys").field("node", &self.node).finish_non_exhaustive()
    }
}

fn crypto_provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn parse_certificate(pem: &str, origin: &'static str) -> Result<CertificateDer<'static>, KeyError> {
    CertificateDer::from_pem_slice(pem.as_bytes())
        .ok()
        .context(InvalidPemSnafu { expected: "certificate", origin })
}

fn tls_error(error: impl fmt::Display) -> KeyError {
    KeyError::Tls { message: error.to_string() }
}

pub(crate) fn read_file(path: &Path) -> Result<String, KeyError> {
    std::fs::read_to_string(path).context(FileSnafu { action: "read", path })
}
