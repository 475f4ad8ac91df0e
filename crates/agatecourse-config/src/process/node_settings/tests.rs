use super::*;
use googletest::prelude::*;

/// Guards against settings that are accepted without a key that a node needs to start.
#[gtest]
fn empty_settings_name_every_required_key() {
    let faults = NodeSettings::parse("node.ini", "").unwrap_err().to_string();
    for key in [
        "name",
        "zone",
        "caller_address",
        "operator_address",
        "peer_address",
        "table_address",
        "operator_token_sha256",
        "deployment_certificates",
        "node_certificate",
        "node_key",
    ] {
        expect_that!(faults, contains_substring(format!("key `{key}` is missing")));
    }
}

/// Guards against optional addresses that are dropped or malformed seeds that are ignored.
#[gtest]
fn reads_optional_keys_and_rejects_malformed_seeds() -> googletest::Result<()> {
    let text = format!(
        "[node]\nname = a1\nzone = a\ncaller_address = 127.0.0.1:1\noperator_address = 127.0.0.1:2\n\
         peer_address = 127.0.0.1:3\noperator_token_sha256 = {}\n[platform]\n\
         table_address = 127.0.0.1:4\nvm_list_address = 127.0.0.1:5\n[peers]\nseeds = 127.0.0.1:6\n\
         [keys]\ndeployment_certificates = d.pem\nnode_certificate = n.pem\nnode_key = k.pem\n",
        "a".repeat(64)
    );
    let settings = NodeSettings::parse("node.ini", &text).or_fail()?;
    expect_that!(settings.vm, eq("a1"));
    expect_that!(settings.seeds.len(), eq(1));
    expect_that!(settings.vm_list_address.is_some(), is_true());
    let broken = text.replace("seeds = 127.0.0.1:6", "seeds = 127.0.0.1:6, node-b");
    expect_that!(NodeSettings::parse("node.ini", &broken).is_err(), is_true());
    Ok(())
}
