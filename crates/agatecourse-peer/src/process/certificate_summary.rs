use crate::KeyError;
use crate::process::key_error::InvalidPemSnafu;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;
use serde::Serialize;
use snafu::OptionExt;
use std::time::Duration;
use time::OffsetDateTime;
use x509_parser::prelude::{FromDer, X509Certificate, X509Name};

/// Names and expiry of a certificate, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub struct CertificateSummary {
    /// Common name of the subject: a node, or a deployment and the number of its key. Empty when there is none.
    pub name: String,
    /// Common name of the deployment key that signed the certificate. Empty when there is none.
    pub issuer: String,
    /// Whether the certificate belongs to a deployment key, that is, to a certificate authority.
    pub is_deployment: bool,
    /// End of the validity in seconds since the Unix epoch.
    pub expires_unix_s: i64,
}

impl CertificateSummary {
    /// Parses the first certificate in a PEM text; `origin` is the file or argument to name in errors.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::InvalidPem`] when the text contains no valid certificate.
    pub fn from_pem(pem: &str, origin: &str) -> Result<Self, KeyError> {
        let invalid = InvalidPemSnafu { expected: "certificate", origin };
        let der = CertificateDer::from_pem_slice(pem.as_bytes()).ok().with_context(|| invalid)?;
        let (_, certificate) = X509Certificate::from_der(&der).ok().with_context(|| invalid)?;
        Ok(Self {
            name: first_common_name(certificate.subject()).unwrap_or_default(),
            issuer: first_common_name(certificate.issuer()).unwrap_or_default(),
            is_deployment: certificate.is_ca(),
            expires_unix_s: certificate.validity().not_after.timestamp(),
        })
    }

    /// Returns the remaining validity; zero when the certificate has expired.
    pub fn time_until_expiry(&self, now: OffsetDateTime) -> Duration {
        let seconds = self.expires_unix_s.saturating_sub(now.unix_timestamp());
        Duration::from_secs(u64::try_from(seconds).unwrap_or(0))
    }
}

/// Returns the common name of the subject of a DER certificate.
pub(crate) fn common_name(der: &CertificateDer<'_>) -> Option<String> {
    let (_, certificate) = X509Certificate::from_der(der).ok()?;
    first_common_name(certificate.subject())
}

fn first_common_name(name: &X509Name<'_>) -> Option<String> {
    name.iter_common_name().next()?.as_str().ok().map(ToString::to_string)
}
