//! Tests of deployment keys and node certificates in files and in memory.

use agatecourse_peer::{DeploymentKey, KeyError, KeyStore, NodeKeys};
use googletest::prelude::*;
use std::os::unix::fs::PermissionsExt;
use std::time::Duration;
use time::OffsetDateTime;

const DAY: Duration = Duration::from_hours(24);

/// Guards against deployment keys that are overwritten, private keys that other users can read, and certificates
/// that are listed with a wrong issuer or expiry.
#[gtest]
fn keys_are_created_rotated_and_listed() -> googletest::Result<()> {
    let directory = tempfile::tempdir().or_fail()?;
    let store = KeyStore::new(directory.path().join("keys"));
    expect_that!(store.issue_node_certificate("node-a", None, 30), err(anything()));
    let first = store.create_deployment_key("kaewkla", 365).or_fail()?;
    let made = std::fs::read_to_string(&first).or_fail()?;
    expect_that!(
        store.create_deployment_key("kaewkla", 365),
        err(matches_pattern!(KeyError::DeploymentKeyExists { .. }))
    );
    let (_, key) = store.issue_node_certificate("node-a", None, 30).or_fail()?;
    let mode = std::fs::metadata(&key).or_fail()?.permissions().mode();
    expect_that!(mode & 0o777, eq(0o600));
    store.rotate_deployment_key("kaewkla", 730).or_fail()?;
    expect_that!(std::fs::read_to_string(&first).or_fail()?, eq(&made));
    store.issue_node_certificate("node-b", None, 60).or_fail()?;
    store.issue_node_certificate("node-c", Some(1), 60).or_fail()?;

    let now = OffsetDateTime::now_utc();
    let shown: Vec<_> = store
        .list_certificates()
        .or_fail()?
        .into_iter()
        .map(|(_, summary)| {
            let days =
                summary.time_until_expiry(now + Duration::from_mins(1)).as_secs() / DAY.as_secs();
            (summary.name, summary.issuer, days + 1)
        })
        .collect();
    let expected = [
        ("kaewkla 1", "kaewkla 1", 365),
        ("kaewkla 2", "kaewkla 2", 730),
        ("node-a", "kaewkla 1", 30),
        ("node-b", "kaewkla 2", 60),
        ("node-c", "kaewkla 1", 60),
    ];
    let expected =
        expected.map(|(name, issuer, days)| (name.to_string(), issuer.to_string(), days));
    expect_that!(shown, eq(&expected.to_vec()));
    Ok(())
}

/// Guards against node names that lead outside the directory or replace the files of a deployment key.
#[gtest]
fn invalid_node_names_are_rejected() -> googletest::Result<()> {
    let directory = tempfile::tempdir().or_fail()?;
    let store = KeyStore::new(directory.path());
    store.create_deployment_key("kaewkla", 365).or_fail()?;
    for name in ["", "../node", "a/b", "deployment-1", "n\u{f6}de", &"n".repeat(64)] {
        let result = store.issue_node_certificate(name, None, 30);
        expect_that!(result, err(matches_pattern!(KeyError::InvalidName { .. })), "{name:?}");
    }
    expect_that!(store.issue_node_certificate("node-a", None, 0), err(anything()));
    expect_that!(store.issue_node_certificate("node-a", Some(7), 30), err(anything()));
    Ok(())
}

/// Guards against a node that starts with a certificate that its peers would reject.
#[gtest]
fn node_certificate_must_be_signed_by_an_accepted_deployment_key() -> googletest::Result<()> {
    let ours = DeploymentKey::generate("kaewkla", 1, 365).or_fail()?;
    let foreign = DeploymentKey::generate("kaewkla", 1, 365).or_fail()?;
    let issued = foreign.issue_certificate("node-a", 30).or_fail()?;
    let load =
        |accepted: &[&str], key: &str| NodeKeys::from_pem(accepted, &issued.certificate_pem, key);
    let (ours, foreign) = (ours.certificate_pem(), foreign.certificate_pem());
    expect_that!(load(&[foreign, ours], &issued.key_pem), ok(anything()));
    let rejected = load(&[ours], &issued.key_pem);
    expect_that!(rejected, err(matches_pattern!(KeyError::NotAccepted { .. })));
    expect_that!(load(&[foreign], "no key"), err(anything()));
    expect_that!(load(&[], &issued.key_pem), err(anything()));
    expect_that!(load(&[foreign, ours, ours], &issued.key_pem), err(anything()));
    Ok(())
}
