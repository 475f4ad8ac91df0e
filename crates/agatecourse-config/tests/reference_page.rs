//! Compares `docs/configuration.md` with the keys that the parsers accept.

use agatecourse_config::{FleetConfig, NodeSettings};
use googletest::prelude::*;
use std::collections::BTreeMap;

const REFERENCE_PAGE: &str = include_str!("../../../docs/configuration.md");

/// Returns the documented keys of each section.
fn documented_keys() -> BTreeMap<String, Vec<String>> {
    let mut sections: BTreeMap<String, Vec<String>> = BTreeMap::new();
    let mut section = String::new();
    for line in REFERENCE_PAGE.lines() {
        if let Some(header) = line.strip_prefix("### `[") {
            section = header.trim_end_matches("]`").replace("<name>", "x");
        } else if let Some(row) = line.strip_prefix("| `") {
            let key = row.split('`').next().unwrap_or_default();
            sections.entry(section.clone()).or_default().push(key.to_string());
        }
    }
    sections
}

/// Returns the keys that the parser lists when a section has an unknown key.
fn accepted_keys(section: &str) -> Vec<String> {
    let text = format!("[{section}]\nno_such_key = 1\n");
    let faults = match section {
        "node" | "platform" | "peers" | "keys" => NodeSettings::parse("x", &text).unwrap_err(),
        _ => FleetConfig::parse("x", &text).unwrap_err(),
    };
    let unknown = faults.faults.iter().find(|fault| fault.message.contains("unknown key"));
    let message = &unknown.expect("the unknown key is a fault").message;
    let keys = message.split("expected one of ").nth(1).expect("the message names the keys");
    keys.split(", ").map(str::to_string).collect()
}

/// Guards against a reference page that lacks an accepted key or documents an unknown one.
#[gtest]
fn reference_page_lists_every_key_of_every_section() {
    let documented = documented_keys();
    expect_that!(documented.len(), eq(12));
    for (section, keys) in documented {
        let (mut keys, mut accepted) = (keys, accepted_keys(&section));
        keys.sort();
        accepted.sort();
        expect_that!(keys, eq(&accepted), "[{section}]");
    }
}
