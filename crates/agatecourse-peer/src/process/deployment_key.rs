use crate::KeyError;
use crate::process::CertificateSummary;
use crate::process::key_error::{
    GenerateSnafu, InvalidNameSnafu, InvalidPemSnafu, InvalidValiditySnafu,
};
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use snafu::{ResultExt, ensure};
use std::fmt;
use time::{Duration, OffsetDateTime};

/// DNS name in all node certificates. The name of the node itself is the common name, because a node dials
/// addresses and learns the peer's name from the handshake.
pub(crate) const SERVER_NAME: &str = "node.agatecourse.internal";
/// Certificates are valid from one hour before their issue, because the clocks of VMs differ.
const CLOCK_SKEW: Duration = Duration::HOUR;
const MAX_VALIDITY_DAYS: u32 = 3_650;

/// Key that signs the certificates of all nodes of a deployment.
#[derive(Clone, PartialEq, Eq)]
pub struct DeploymentKey {
    certificate_pem: String,
    key_pem: String,
}

/// Certificate and private key of one node, in PEM.
#[derive(Clone, PartialEq, Eq)]
pub struct IssuedCertificate {
    /// Certificate, signed by the deployment key.
    pub certificate_pem: String,
    /// Private key of the node.
    pub key_pem: String,
}

impl DeploymentKey {
    /// Makes a new key; `number` tells the keys of one deployment apart.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] for an invalid name or validity, or when no key can be generated.
    pub fn generate(deployment: &str, number: u32, valid_days: u32) -> Result<Self, KeyError> {
        let mut params = params(deployment, format!("{deployment} {number}"), valid_days)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        let key = KeyPair::generate().context(GenerateSnafu)?;
        let certificate = params.self_signed(&key).context(GenerateSnafu)?;
        Ok(Self { certificate_pem: certificate.pem(), key_pem: key.serialize_pem() })
    }

    /// Reads a key from its certificate and private key in PEM; `origin` names them in errors.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::InvalidPem`] when one of them is not valid.
    pub fn from_pem(certificate_pem: &str, key_pem: &str, origin: &str) -> Result<Self, KeyError> {
        let summary = CertificateSummary::from_pem(certificate_pem, origin)?;
        let expected = "certificate of a deployment key";
        ensure!(summary.is_deployment, InvalidPemSnafu { expected, origin });
        let parsed = KeyPair::from_pem(key_pem).ok();
        ensure!(parsed.is_some(), InvalidPemSnafu { expected: "private key", origin });
        Ok(Self { certificate_pem: certificate_pem.to_string(), key_pem: key_pem.to_string() })
    }

    /// Returns the certificate, which nodes need to accept their peers.
    pub fn certificate_pem(&self) -> &str {
        &self.certificate_pem
    }

    /// Returns the private key, which only issues certificates and belongs on no node.
    pub fn key_pem(&self) -> &str {
        &self.key_pem
    }

    /// Issues a certificate for a node.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] for an invalid name or validity, or when no certificate can be made.
    pub fn issue_certificate(
        &self,
        node: &str,
        valid_days: u32,
    ) -> Result<IssuedCertificate, KeyError> {
        let mut params = params(node, node.to_string(), valid_days)?;
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let signer = KeyPair::from_pem(&self.key_pem).context(GenerateSnafu)?;
        let issuer =
            Issuer::from_ca_cert_pem(&self.certificate_pem, signer).context(GenerateSnafu)?;
        let key = KeyPair::generate().context(GenerateSnafu)?;
        let certificate = params.signed_by(&key, &issuer).context(GenerateSnafu)?;
        Ok(IssuedCertificate { certificate_pem: certificate.pem(), key_pem: key.serialize_pem() })
    }
}

impl fmt::Debug for DeploymentKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("DeploymentKey").finish_non_exhaustive()
    }
}

impl fmt::Debug for IssuedCertificate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("IssuedCertificate").finish_non_exhaustive()
    }
}

fn params(name: &str, common_name: String, valid_days: u32) -> Result<CertificateParams, KeyError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_".contains(c);
    ensure!((1..=63).contains(&name.len()) && name.chars().all(allowed), InvalidNameSnafu { name });
    ensure!(
        (1..=MAX_VALIDITY_DAYS).contains(&valid_days),
        InvalidValiditySnafu { days: valid_days }
    );
    let mut params =
        CertificateParams::new(vec![SERVER_NAME.to_string()]).context(GenerateSnafu)?;
    params.distinguished_name = rcgen::DistinguishedName::new();
    params.distinguished_name.push(DnType::CommonName, common_name);
    let now = OffsetDateTime::now_utc();
    params.not_before = now - CLOCK_SKEW;
    params.not_after = now + Duration::days(i64::from(valid_days));
    params.use_authority_key_identifier_extension = true;
    Ok(params)
}
