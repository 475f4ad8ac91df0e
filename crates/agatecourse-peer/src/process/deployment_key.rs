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

/// DNS name in all certificates, against which TLS verifies the peer. The node name is in the common name instead,
/// because a node connects by address and learns the peer's name only from the handshake.
pub(crate) const SERVER_NAME: &str = "node.agatecourse.internal";
/// Certificates are valid from this long before they are issued, because the clocks of VMs differ.
const CLOCK_SKEW: Duration = Duration::HOUR;
const MAX_VALIDITY_DAYS: u32 = 3_650;

/// Certificate authority of a deployment: the key that signs the certificates of all nodes.
#[derive(Clone, PartialEq, Eq)]
pub struct DeploymentKey {
    certificate_pem: String,
    key_pem: String,
}

/// Certificate and private key of one node, in PEM.
#[derive(Clone, PartialEq, Eq)]
pub struct IssuedCertificate {
    /// Certificate with the node name, signed by the deployment key.
    pub certificate_pem: String,
    /// Private key of the node, which no other node needs.
    pub key_pem: String,
}

impl DeploymentKey {
    /// Generates a key and its self-signed certificate; `number` distinguishes the keys of one deployment.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] when the name or the validity is invalid, or the key can't be generated.
    pub fn generate(deployment: &str, number: u32, valid_days: u32) -> Result<Self, KeyError> {
        let mut params =
            certificate_params(deployment, format!("{deployment} {number}"), valid_days)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        let key = KeyPair::generate().context(GenerateSnafu)?;
        let certificate = params.self_signed(&key).context(GenerateSnafu)?;
        Ok(Self { certificate_pem: certificate.pem(), key_pem: key.serialize_pem() })
    }

    /// Parses a certificate and its private key in PEM; `origin` is the file or argument to name in errors.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::InvalidPem`] when one of them is invalid or the certificate isn't one of a deployment key.
    pub fn from_pem(certificate_pem: &str, key_pem: &str, origin: &str) -> Result<Self, KeyError> {
        let summary = CertificateSummary::from_pem(certificate_pem, origin)?;
        let expected = "certificate of a deployment key";
        ensure!(summary.is_deployment, InvalidPemSnafu { expected, origin });
        let parsed = KeyPair::from_pem(key_pem).ok();
        ensure!(parsed.is_some(), InvalidPemSnafu { expected: "private key", origin });
        Ok(Self { certificate_pem: certificate_pem.to_string(), key_pem: key_pem.to_string() })
    }

    /// Returns the certificate that nodes need to verify their peers.
    pub fn certificate_pem(&self) -> &str {
        &self.certificate_pem
    }

    /// Returns the private key, which is needed only to issue certificates and must not be copied to nodes.
    pub fn key_pem(&self) -> &str {
        &self.key_pem
    }

    /// Generates a key for a node and issues its certificate.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] when the name or the validity is invalid, or the certificate can't be generated.
    pub fn issue_certificate(
        &self,
        node: &str,
        valid_days: u32,
    ) -> Result<IssuedCertificate, KeyError> {
        let mut params = certificate_params(node, node.to_string(), valid_days)?;
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

fn certificate_params(
    name: &str,
    common_name: String,
    valid_days: u32,
) -> Result<CertificateParams, KeyError> {
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
