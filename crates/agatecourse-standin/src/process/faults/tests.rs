use super::*;
use googletest::prelude::*;
use serde_json::json;

/// Guards against silently ignoring a fault whose name is misspelled or whose value is out of range.
#[gtest]
fn refuses_unsupported_and_out_of_range_fields() {
    let table = [
        (json!({"error_rat": 0.1}), "`error_rat` is not supported"),
        (json!({"leaving": true}), "`leaving` is not supported"),
        (json!({"error_rate": 1.5}), "share from 0 to 1"),
        (json!({"slow_factor": 0.0}), "expected a factor"),
        (json!({"crash_marker": ""}), "expected a text"),
        (json!({"error_rate": "often"}), "invalid type"),
    ];
    for (patch, expected) in table {
        let patch = patch.as_object().expect("the table holds objects");
        let refused = Faults::default().merged(patch, &["slow_factor", "crash_marker"]);
        expect_that!(refused, err(contains_substring(expected)));
    }
}

/// Guards against a patch that resets faults which it does not name.
#[gtest]
fn keeps_fields_that_a_change_does_not_name() {
    let faults = Faults { latency_ms: 5, ..Faults::default() };
    let patch = json!({"error_rate": 0.5});
    let merged = faults.merged(patch.as_object().expect("an object"), &[]);
    expect_that!(merged, ok(eq(&Faults { error_rate: 0.5, ..faults })));
}
