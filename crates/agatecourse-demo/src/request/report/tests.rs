use super::*;
use googletest::prelude::*;
use std::time::Duration;

fn outcome(request_id: &str, result: CallerResult, runs: u64) -> Outcome {
    Outcome {
        label: "order".to_string(),
        node: "node-a".to_string(),
        result,
        request_id: request_id.to_string(),
        runs: vec![("service-1".to_string(), runs)],
        elapsed: Duration::ZERO,
    }
}

/// Guards against a successful exit status after a request was lost, answered wrongly or run twice.
#[gtest]
fn report_is_successful_only_if_all_requests_are_answered_once() {
    let refused = |run| CallerResult::Refused { run, detail: String::new() };
    let wrong = CallerResult::Wrong(String::new());
    let table = [
        (CallerResult::Answered, 1, Report { answered: 2, ..Report::default() }),
        (CallerResult::Answered, 2, Report { answered: 2, run_twice: 1, ..Report::default() }),
        (CallerResult::Answered, 0, Report { answered: 1, wrong_answer: 1, ..Report::default() }),
        (wrong, 1, Report { answered: 1, wrong_answer: 1, ..Report::default() }),
        (refused(RunState::No), 0, Report { answered: 1, refused_not_run: 1, ..Report::default() }),
        (refused(RunState::No), 1, Report { answered: 1, wrong_answer: 1, ..Report::default() }),
        (refused(RunState::Unknown), 1, Report { answered: 1, unknown: 1, ..Report::default() }),
    ];
    for (result, runs, expected) in table {
        let outcomes = [outcome("1", CallerResult::Answered, 1), outcome("2", result, runs)];
        let report = Report::new(&outcomes);
        expect_that!(report, eq(Report { sent: 2, ..expected }));
        expect_that!(report.is_successful(), eq(expected.answered == 2 && expected.run_twice == 0));
    }
    expect_that!(Report::new(&[]).is_successful(), is_false());
}
