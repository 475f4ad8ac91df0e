use super::*;
use crate::HistoryEvent;
use googletest::prelude::*;

/// Guards against losing fields when a record is written, and against truncating request ids to 64 bits.
#[gtest]
fn records_round_trip_as_json_lines() {
    let event = HistoryEvent::Accepted {
        request_id: u128::MAX - 7,
        route: "orders".to_string(),
        idempotent: false,
        key: Some("org/k".to_string()),
        body_hash: u64::MAX,
    };
    let record = Record::new(5, "node-a", event).with_incarnation(9);
    let mut text = Vec::new();
    write_record(&mut text, &record).expect("memory accepts writes");
    expect_that!(read_history(text.as_slice()).expect("own lines are readable"), eq(&vec![record]));
}

/// Guards against skipping damaged lines, which would let a damaged history pass the checks.
#[gtest]
fn damaged_line_is_an_error_with_its_number() {
    let text = "\n{\"at_us\":1,\"node\":\"a\",\"event\":\"no_such_event\"}\n";
    let error = read_history(text.as_bytes()).expect_err("unknown event is refused").to_string();
    expect_that!(error, starts_with("line 2 is not a history record"));
}
