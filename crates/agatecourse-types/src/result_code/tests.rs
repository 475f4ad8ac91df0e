use super::*;
use googletest::prelude::*;

/// Guards against a result code that is added or changed without the documented table.
#[gtest]
fn table_in_the_docs_matches_the_code() {
    let page = include_str!("../../../../docs/result-codes.md");
    let documented: Vec<&str> = page
        .lines()
        .filter(|line| {
            line.starts_with("| 1") || line.starts_with("| 2") || line.starts_with("| 3")
        })
        .collect();
    let expected: Vec<String> = ResultCode::ALL
        .iter()
        .map(|code| {
            let run = serde_json::to_string(&code.run_state()).expect("run state serializes");
            format!(
                "| {} | `{code:?}` | {} | {} | {} |",
                code.number(),
                code.http_status(),
                run.trim_matches('"'),
                code.title()
            )
        })
        .collect();
    expect_that!(documented, eq(&expected));
}

/// Guards against a refusal that claims "not run" after the request may have reached a target.
#[gtest]
fn only_codes_below_3000_state_not_run() {
    for code in ResultCode::ALL {
        expect_that!(code.run_state() == RunState::No, eq(code.number() < 3000), "{code:?}");
    }
}
