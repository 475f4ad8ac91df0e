//! Integration tests of the sub-command `check`.

use googletest::prelude::*;
use std::io::Write;
use std::process::{Command, Output};

const ID: &str = "00000000000000000000000000000001";

/// Runs `agatecourse-bench check --json` on a history.
fn run_check(history: &str) -> Result<Output> {
    let mut file = tempfile::NamedTempFile::new()?;
    file.write_all(history.as_bytes())?;
    let program = env!("CARGO_BIN_EXE_agatecourse-bench");
    Ok(Command::new(program).arg("check").arg(file.path()).arg("--json").output()?)
}

/// Guards against a successful exit status for a history that violates an invariant, is invalid or is empty, and
/// against a result without the offending records.
#[gtest]
fn exit_status_shows_whether_invariants_hold() -> Result<()> {
    let dispatched = |at_us: u64| {
        format!(
            "{{\"at_us\":{at_us},\"node\":\"a\",\"event\":\"dispatched\",\"request_id\":\"{ID}\",\
             \"route\":\"r\",\"target\":\"t\",\"version\":\"v1\"}}\n"
        )
    };
    let good = run_check(&dispatched(1))?;
    expect_that!(good.status.code(), some(eq(0)));
    let bad = run_check(&format!("{}{}", dispatched(1), dispatched(2)))?;
    expect_that!(bad.status.code(), some(eq(1)));
    let text = String::from_utf8_lossy(&bad.stdout).to_string();
    let last: serde_json::Value = serde_json::from_str(text.lines().last().unwrap_or_default())?;
    expect_that!(last["violations"]["dispatch_at_most_once"].as_u64(), some(eq(1)));
    expect_that!(last["offending"][0]["records"][1]["at_us"].as_u64(), some(eq(2)));
    for damaged in ["", "{\"at_us\":1}\n"] {
        expect_that!(run_check(damaged)?.status.code(), some(eq(1)), "{damaged:?}");
    }
    Ok(())
}
