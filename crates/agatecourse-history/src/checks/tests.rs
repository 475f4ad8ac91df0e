use super::*;
use crate::read_history;
use googletest::prelude::*;

const ID_1: &str = "00000000000000000000000000000001";
const ID_2: &str = "00000000000000000000000000000002";

/// Parses a history from lines of `time_ms event field=value ...`, where `#1` is the id of request 1.
fn history(lines: &str) -> Vec<Record> {
    let json = lines.lines().map(str::trim).filter(|line| !line.is_empty()).map(|line| {
        let mut words = line.split_whitespace();
        let time_ms: u64 = words.next().and_then(|word| word.parse().ok()).expect("time");
        let event = words.next().expect("event");
        let fields: String = words
            .map(|word| {
                let (name, value) = word.split_once('=').expect("field=value");
                let value = value.replace("#1", ID_1).replace("#2", ID_2);
                let bare =
                    value.len() < 8 && serde_json::from_str::<serde_json::Value>(&value).is_ok();
                if bare {
                    format!(",\"{name}\":{value}")
                } else {
                    format!(",\"{name}\":\"{value}\"")
                }
            })
            .collect();
        let at_us = time_ms * 1000;
        format!("{{\"at_us\":{at_us},\"node\":\"n1\",\"event\":\"{event}\"{fields}}}\n")
    });
    read_history(json.collect::<String>().as_bytes()).expect("test history is well-formed")
}

/// Returns the names of the invariants that a history violates.
fn violated_invariants(lines: &str) -> Vec<&'static str> {
    let violations = check_all(&history(lines), &CheckLimits::default());
    violations.iter().map(|violation| violation.invariant).collect()
}

const ACCEPTED: &str = "0 accepted request_id=#1 route=r idempotent=false key=o/k body_hash=1
    0 accepted request_id=#2 route=r idempotent=false key=o/k body_hash=1";
const DISPATCHED: &str = "dispatched request_id=#1 route=r version=v1 target";

/// Guards against missing a second dispatch, and against counting a refused connection as a dispatch.
#[gtest]
fn dispatch_at_most_once_allows_only_refused_connections_between() {
    let good = format!("1 {DISPATCHED}=a\n2 not_sent request_id=#1 target=a\n3 {DISPATCHED}=b");
    expect_that!(violated_invariants(&good), is_empty());
    let bad = format!("1 {DISPATCHED}=a\n3 {DISPATCHED}=b");
    expect_that!(violated_invariants(&bad), eq(&vec!["dispatch_at_most_once"]));
}

/// Guards against missing that a higher tier was shed while a lower one waited in the same queue.
#[gtest]
fn tier_order_compares_waiting_requests() {
    let queue = "1 queued pool=p request_id=#1 tier=0\n1 queued pool=p request_id=#2 tier=2\n";
    let good =
        format!("{queue}2 unqueued pool=p request_id=#2\n3 shed pool=p request_id=#1 tier=0");
    expect_that!(violated_invariants(&good), is_empty());
    let bad = format!("{queue}3 shed pool=p request_id=#1 tier=0");
    expect_that!(violated_invariants(&bad), eq(&vec!["tier_order"]));
}

/// Guards against missing a bad version that receives too large a share, or requests after it must be stopped.
#[gtest]
fn bad_version_share_counts_until_the_stop() {
    let load = |bad: u64, stop_ms: u64| -> String {
        let dispatches = (0..100).map(|i| {
            let version = if i < bad { "v2" } else { "v1" };
            format!(
                "{} dispatched request_id={i:032x} route=r target=t version={version}\n",
                10 + i
            )
        });
        let text: String = dispatches.collect();
        format!(
            "{text}5 version_bad route=r version=v2\n{stop_ms} fault_shown route=r version=v2\n"
        )
    };
    expect_that!(violated_invariants(&load(5, 200)), is_empty());
    expect_that!(violated_invariants(&load(6, 200)), eq(&vec!["bad_version_share"]));
    let last = "dispatched request_id=#1 route=r target=t version=v2";
    let before = format!("{}2190 {last}", load(2, 200).replace(ID_1, &"a".repeat(32)));
    expect_that!(violated_invariants(&before), is_empty());
    let after = before.replace("2190", "2201");
    expect_that!(violated_invariants(&after), eq(&vec!["bad_version_share"]));
}

/// Guards against accepting an answer that belongs to another request, was changed, or was never produced.
#[gtest]
fn own_whole_answer_needs_the_same_bytes_and_key() {
    let produced = "1 produced request_id=#1 answer_hash=7";
    let delivered = "2 delivered request_id=#2 produced_by=#1 whole=true answer_hash";
    expect_that!(
        violated_invariants(&format!("{ACCEPTED}\n{produced}\n{delivered}=7")),
        is_empty()
    );
    let crossed = ACCEPTED
        .replace("#2 route=r idempotent=false key=o/k", "#2 route=r idempotent=false key=o/x");
    let cases = [
        format!("{ACCEPTED}\n{produced}\n{delivered}=8"),
        format!("{ACCEPTED}\n{delivered}=7"),
        format!("{crossed}\n{produced}\n{delivered}=7"),
        format!(
            "{}\n{produced}\n{delivered}=7",
            ACCEPTED.replacen("body_hash=1", "body_hash=2", 1)
        ),
    ];
    for case in cases {
        expect_that!(violated_invariants(&case), eq(&vec!["own_whole_answer"]), "{case}");
    }
}

/// Guards against accepting `run: no` in the refusal of a request that was sent or run.
#[gtest]
fn not_run_is_true_needs_no_byte_sent() {
    let refused = "5 refused request_id=#1 code=2001 run=no";
    let unsent = format!("1 {DISPATCHED}=a\n2 not_sent request_id=#1 target=a\n{refused}");
    expect_that!(violated_invariants(&unsent), is_empty());
    for shown in [format!("1 {DISPATCHED}=a"), "9 ran request_id=#1 target=a".to_string()] {
        let bad = format!("{shown}\n{refused}");
        expect_that!(violated_invariants(&bad), eq(&vec!["not_run_is_true"]), "{bad}");
        expect_that!(violated_invariants(&bad.replace("run=no", "run=unknown")), is_empty());
    }
}

/// Guards against missing two runs of one idempotency key by different requests.
#[gtest]
fn run_at_most_once_counts_by_key() {
    let first_run = "1 ran request_id=#1 target=a";
    let both = format!("{ACCEPTED}\n{first_run}\n2 ran request_id=#2 target=b");
    expect_that!(violated_invariants(&format!("{ACCEPTED}\n{first_run}")), is_empty());
    expect_that!(violated_invariants(&both), eq(&vec!["run_at_most_once"]));
    expect_that!(
        violated_invariants(&both.replace("idempotent=false", "idempotent=true")),
        is_empty()
    );
    expect_that!(
        violated_invariants(&format!("{first_run}\n{first_run}")),
        eq(&vec!["run_at_most_once"])
    );
}

/// Guards against missing a dispatch to a target that announced more than 3 s ago that it leaves.
#[gtest]
fn leaving_target_idle_allows_three_seconds() {
    let leaving = "1000 target_leaving target=a\n1500 target_leaving target=a";
    expect_that!(violated_invariants(&format!("{leaving}\n4000 {DISPATCHED}=a")), is_empty());
    let late = format!("{leaving}\n4001 {DISPATCHED}=a");
    expect_that!(violated_invariants(&late), eq(&vec!["leaving_target_idle"]));
    expect_that!(
        violated_invariants(&format!("{late}\n4000 target_returned target=a")),
        is_empty()
    );
}

/// Guards against missing a request that a graceful shutdown drops, refuses or truncates.
#[gtest]
fn graceful_shutdown_waits_for_open_requests() {
    let history_with_end = |end: &str| {
        format!(
            "0 accepted request_id=#1 route=r idempotent=true key=null body_hash=1\n1 {DISPATCHED}=a\n\
             2 shutdown_began subject=n1\n{end}\n9 shutdown_ended subject=n1"
        )
    };
    let cut = "4 delivered request_id=#1 produced_by=#1 answer_hash=7 whole=false";
    let whole = cut.replace("whole=false", "whole=true");
    expect_that!(
        violated_invariants(&history_with_end(&format!(
            "3 produced request_id=#1 answer_hash=7\n{whole}"
        ))),
        is_empty()
    );
    expect_that!(violated_invariants(&history_with_end("3 caller_left request_id=#1")), is_empty());
    expect_that!(
        violated_invariants(&history_with_end(&format!("3 target_died target=a\n{cut}"))),
        is_empty()
    );
    for end in ["", cut, "3 refused request_id=#1 code=2009 run=unknown"] {
        expect_that!(
            violated_invariants(&history_with_end(end)),
            eq(&vec!["graceful_shutdown"]),
            "{end}"
        );
    }
}

/// Guards against missing a node that does not apply a configuration in time or reverts to an older one.
#[gtest]
fn config_in_force_covers_all_nodes_that_are_up() {
    let ready = "0 node_ready subject=a\n0 config_in_force subject=a version=1\n1000 config_accepted version=2";
    let applied = "6000 config_in_force subject=a version=2";
    let end = "20000 target_leaving target=t";
    expect_that!(violated_invariants(&format!("{ready}\n{applied}\n{end}")), is_empty());
    expect_that!(
        violated_invariants(&format!("{ready}\n3000 node_died subject=a\n{end}")),
        is_empty()
    );
    let resumed =
        format!("{ready}\n3000 node_paused subject=a\n9000 node_resumed subject=a\n{end}");
    expect_that!(
        violated_invariants(&format!("{resumed}\n14000 config_in_force subject=a version=2")),
        is_empty()
    );
    let cases = [
        format!("{ready}\n{end}"),
        format!("{ready}\n6001 config_in_force subject=a version=2\n{end}"),
        format!("{ready}\n{applied}\n7000 config_in_force subject=a version=1\n{end}"),
        format!("{resumed}\n14001 config_in_force subject=a version=2"),
    ];
    for case in cases {
        expect_that!(violated_invariants(&case), eq(&vec!["config_in_force"]), "{case}");
    }
}
