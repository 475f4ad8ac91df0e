//! Integration test of the demo's deployment with real node processes.

use agatecourse_demo::{CallerResult, Deployment, DeploymentSettings, Report, run_requests};
use googletest::prelude::*;

/// Guards against a node that does not answer idempotent requests, which bypass the journal, or runs one of them twice.
#[gtest]
#[actix_rt::test]
async fn each_node_answers_idempotent_requests() -> googletest::Result<()> {
    let deployment = Deployment::start(DeploymentSettings::new(3, 3, 2)).await.or_fail()?;
    let outcomes = run_requests(&deployment).await;
    deployment.stop().await.or_fail()?;
    let idempotent = outcomes.iter().filter(|outcome| !outcome.label.contains("order"));
    let mut answered = 0;
    for outcome in idempotent {
        expect_that!(outcome.result, eq(&CallerResult::Answered), "{outcome}");
        expect_that!(outcome.total_runs(), eq(1), "{outcome}");
        answered += 1;
    }
    expect_that!(answered, eq(9));
    let report = Report::new(&outcomes);
    expect_that!((report.run_twice, report.wrong_answer, report.unknown), eq((0, 0, 0)));
    Ok(())
}
