//! Tests of the service stand-in over HTTP.

use agatecourse_standin::{ServiceAnswer, ServiceSettings, Standin};
use awc::Client;
use googletest::prelude::*;
use serde_json::{Value, json};

/// Guards against a service that does not count a second run, or responds with the data of another request.
#[gtest]
#[actix_rt::test]
async fn echoes_the_request_and_counts_runs() -> googletest::Result<()> {
    let service = ServiceSettings::new("orders").start(Standin::EPHEMERAL).or_fail()?;
    let url = format!("http://{}", service.address());
    let client = Client::default();
    for order_number in 1..=2 {
        let request = client.put(format!("{url}/orders/7?urgent=1"));
        let sent = request.insert_header(("x-request-id", "r1")).send_body("2 panes").await;
        let answer: ServiceAnswer = sent.or_fail()?.json().await.or_fail()?;
        expect_that!(answer.order_number, eq(order_number));
        expect_that!(answer.path, eq("/orders/7?urgent=1"));
        expect_that!(answer.method, eq("PUT"));
        expect_that!(answer.body_sha256, eq(&ServiceAnswer::hash_body(b"2 panes")));
    }
    let runs: Value =
        client.get(format!("{url}/runs")).send().await.or_fail()?.json().await.or_fail()?;
    expect_that!(runs, eq(&json!([{"request_id": "r1", "runs": 2}])));
    Ok(())
}

/// Guards against counting refused requests as runs, and against an invalid patch that changes some faults.
#[gtest]
#[actix_rt::test]
async fn refused_requests_do_not_run() -> googletest::Result<()> {
    let service = ServiceSettings::new("orders").start(Standin::EPHEMERAL).or_fail()?;
    let url = format!("http://{}", service.address());
    let client = Client::default();
    for (fault, status) in [(json!({"error_rate": 1.0}), 500), (json!({"outage": true}), 503)] {
        let changed = client.post(format!("{url}/faults")).send_json(&fault).await.or_fail()?;
        expect_that!(changed.status().as_u16(), eq(200));
        let refused = client.post(format!("{url}/orders")).send().await.or_fail()?;
        expect_that!(refused.status().as_u16(), eq(status));
        service.change_faults(&json!({"error_rate": 0.0, "outage": false})).or_fail()?;
    }
    expect_that!(service.total_runs(), eq(0));
    let invalid = json!({"latency_ms": 9, "error_rate": 7});
    let refused = client.post(format!("{url}/faults")).send_json(&invalid).await.or_fail()?;
    expect_that!(refused.status().as_u16(), eq(400));
    expect_that!(service.faults().latency_ms, eq(0));
    Ok(())
}
