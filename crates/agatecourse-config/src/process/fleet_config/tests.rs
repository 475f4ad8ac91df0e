use super::*;
use googletest::prelude::*;
use proptest::prelude::*;

const VALID: &str = "\
[fleet]
name = demo
region = local
zones = a, b
[tier.urgent]
rank = 0
deadline_ms = 30000
[organisation.branch]
weight = 2
[caller.desk]
organisation = branch
tier = urgent
key_sha256 = aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
[route.quotes]
kind = model
idempotent = yes
[target.engine-1]
routes = quotes
zone = a
address = 127.0.0.1:9001
";

/// Guards against a valid configuration that is refused or gets wrong defaults.
#[gtest]
fn reads_a_valid_configuration_with_defaults() -> googletest::Result<()> {
    let config = FleetConfig::parse("fleet.ini", VALID).or_fail()?;
    expect_that!(config.zones, elements_are![eq("a"), eq("b")]);
    expect_that!(config.targets["engine-1"].concurrency, eq(8));
    expect_that!(config.routes["quotes"].token_gap, eq(std::time::Duration::from_millis(46)));
    expect_that!(config.journal, eq(&JournalConfig::default()));
    Ok(())
}

/// Guards against parsing that stops at the first fault or reports the wrong line.
#[gtest]
fn reports_every_fault_with_section_and_line() {
    let table = [
        ("rank = 0", "rank = top", 6, "tier.urgent", "number from 0 to 15"),
        ("tier = urgent", "tier = gold", 12, "caller.desk", "`gold` is not defined"),
        ("zone = a", "zone = c", 19, "target.engine-1", "not in `zones`"),
        ("127.0.0.1:9001", "engine-1:9001", 20, "target.engine-1", "an IP address"),
        ("weight = 2", "wieght = 2", 9, "organisation.branch", "unknown key `wieght`"),
        ("idempotent = yes", "idempotent = maybe", 16, "route.quotes", "`yes` or `no`"),
        ("routes = quotes", "routes = plans", 14, "route.quotes", "no target serves"),
    ];
    let mut broken = VALID.to_string();
    for (from, to, line, section, message) in table {
        broken = broken.replace(from, to);
        let faults = FleetConfig::parse("fleet.ini", &VALID.replace(from, to)).unwrap_err().faults;
        let found = faults.iter().any(|fault| {
            fault.line == line && fault.section == section && fault.message.contains(message)
        });
        expect_that!(found, is_true(), "{to}: {faults:?}");
    }
    let faults = FleetConfig::parse("fleet.ini", &broken).unwrap_err().faults;
    expect_that!(faults.len(), ge(table.len()));
}

/// Guards against sections or keys that silently replace earlier ones.
#[gtest]
fn rejects_repeated_and_unknown_sections() {
    let text = format!("{VALID}[fleet]\nname = other\n[fleet]\n[colour.red]\nstray\n");
    let faults = FleetConfig::parse("fleet.ini", &text).unwrap_err().to_string();
    expect_that!(faults, contains_substring("section appears twice"));
    expect_that!(faults, contains_substring("unknown section"));
}

proptest! {
    /// Guards against a panic on arbitrary text.
    #[test]
    fn arbitrary_text_never_panics(text in "(\\[?[a-z.=\\] \\n0-9-]{0,12}\\n?){0,20}") {
        prop_assert!(FleetConfig::parse("fleet.ini", &text).is_err());
    }
}
