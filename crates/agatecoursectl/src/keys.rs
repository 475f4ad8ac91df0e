//! Commands on deployment keys and node certificates.

use crate::{CommandError, Output};
use agatecourse_peer::KeyStore;
use serde_json::json;
use std::path::Path;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Default validity of a deployment key in days.
pub const DEPLOYMENT_KEY_DAYS: u32 = 365;
/// Default validity of a node certificate in days.
pub const NODE_CERTIFICATE_DAYS: u32 = 90;

/// Creates the first deployment key.
///
/// # Errors
///
/// Returns [`CommandError::Key`] when a key already exists or the files can't be written.
pub fn make(directory: &Path, deployment: &str, days: u32) -> Result<Output, CommandError> {
    let file = KeyStore::new(directory).create_deployment_key(deployment, days)?;
    let file = file.display().to_string();
    let text = format!("made {file}; keep its .key file off the nodes");
    Ok(Output::new(text, json!({ "deployment_certificate": file })))
}

/// Creates a further deployment key; the existing ones stay valid.
///
/// # Errors
///
/// Returns [`CommandError::Key`] when there is no deployment key yet or the files can't be written.
pub fn rotate(directory: &Path, deployment: &str, days: u32) -> Result<Output, CommandError> {
    let file = KeyStore::new(directory).rotate_deployment_key(deployment, days)?;
    let file = file.display().to_string();
    let text = format!(
        "made {file}; next: add it to `deployment_certificates` of all nodes, then issue all node \
         certificates anew, then remove the old one from the nodes"
    );
    Ok(Output::new(text, json!({ "deployment_certificate": file })))
}

/// Issues a certificate for a node, signed by deployment key `key` or the one with the highest number.
///
/// # Errors
///
/// Returns [`CommandError::Key`] when the deployment key can't be read or the files can't be written.
pub fn issue(
    directory: &Path,
    name: &str,
    key: Option<u32>,
    days: u32,
) -> Result<Output, CommandError> {
    let (certificate, private_key) =
        KeyStore::new(directory).issue_node_certificate(name, key, days)?;
    let (certificate, key) = (certificate.display().to_string(), private_key.display().to_string());
    let json = json!({ "node_certificate": certificate, "node_key": key });
    Ok(Output::new(format!("issued {certificate} and {key}"), json))
}

/// Lists all certificates with issuer, expiry and days left.
///
/// # Errors
///
/// Returns [`CommandError::Key`] when a certificate can't be read.
pub fn show(directory: &Path) -> Result<Output, CommandError> {
    let now = OffsetDateTime::now_utc();
    let mut rows = Vec::new();
    for (file, summary) in KeyStore::new(directory).list_certificates()? {
        let expires = OffsetDateTime::from_unix_timestamp(summary.expires_unix_s).ok();
        let expires = expires.and_then(|time| time.format(&Rfc3339).ok()).unwrap_or_default();
        let days = summary.time_until_expiry(now).as_secs() / 86_400;
        let kind = if summary.is_deployment { "deployment" } else { "node" };
        rows.push(vec![
            file.display().to_string(),
            kind.to_string(),
            summary.name,
            summary.issuer,
            expires,
            days.to_string(),
        ]);
    }
    let header = ["file", "kind", "name", "issuer", "expires", "days_left"];
    Ok(Output::table("certificates", &header, &rows))
}
