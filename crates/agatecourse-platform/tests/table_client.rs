//! Tests of the table client against the table stand-in.

use agatecourse_platform::{TableClient, TableError, TableTransaction};
use agatecourse_standin::{Standin, TableSettings};
use googletest::prelude::*;
use serde_json::json;
use std::io::Read;
use std::time::{Duration, Instant};

fn start_table() -> (Standin, TableClient) {
    let table = TableSettings::new().start(Standin::EPHEMERAL).expect("the stand-in starts");
    let client = TableClient::new(table.address()).with_timeout(Duration::from_millis(600));
    (table, client)
}

fn put_transaction(key: &str) -> TableTransaction {
    TableTransaction::new().with_put(key, "value")
}

/// Guards against a transaction that is applied partially or although a condition isn't met.
#[gtest]
#[actix_rt::test]
async fn transactions_are_atomic_and_conditional() -> googletest::Result<()> {
    let (_table, client) = start_table();
    let create = TableTransaction::new().with_absent("a").with_put("a", "1").with_put("b", [0xff]);
    let created = client.commit(&create).await.or_fail()?;
    expect_that!(created.succeeded, is_true());
    expect_that!(client.commit(&create).await.or_fail()?.succeeded, is_false());
    let row = client.get("b").await.or_fail()?.or_fail()?;
    expect_that!((row.value, row.mod_revision), eq(&(vec![0xff], created.revision)));

    let stale = TableTransaction::new().with_compare("a", created.revision + 1).with_delete("a");
    expect_that!(client.commit(&stale).await.or_fail()?.succeeded, is_false());
    let exact = TableTransaction::new().with_compare("a", created.revision).with_delete("a");
    expect_that!(client.commit(&exact).await.or_fail()?.succeeded, is_true());
    expect_that!(client.get("a").await.or_fail()?, none());
    Ok(())
}

/// Guards against rows that are skipped or duplicated at a page boundary, and against a wrong end of the prefix
/// range.
#[gtest]
#[actix_rt::test]
async fn list_reads_a_prefix_in_several_pages() -> googletest::Result<()> {
    let (_table, client) = start_table();
    let keys = ["p", "p/1", "p/10", "p/2", "p/2a", "p0", "q", "p/\u{7f}"];
    for key in keys {
        client.commit(&put_transaction(key)).await.or_fail()?;
    }
    for page_rows in [1, 2, 3, 100] {
        let rows = client.clone().with_page_rows(page_rows).list("p/").await.or_fail()?;
        let listed: Vec<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        expect_that!(listed, eq(&["p/1", "p/10", "p/2", "p/2a", "p/\u{7f}"]));
    }
    let range = TableTransaction::new().with_delete_range("p/1", "p/2");
    client.commit(&range).await.or_fail()?;
    expect_that!(client.list("p/").await.or_fail()?.len(), eq(3));
    Ok(())
}

/// Guards against a lost response that is reported as "not applied", and against an unapplied transaction that is
/// reported as an unknown outcome.
#[gtest]
#[actix_rt::test]
async fn commit_distinguishes_unavailable_from_outcome_unknown() -> googletest::Result<()> {
    let (table, client) = start_table();
    // Fault, whether the error must be OutcomeUnknown, whether the row exists afterwards.
    let cases = [
        (json!({"outage": true}), false, false),
        (json!({"lost_answer_rate": 1.0}), true, true),
        (json!({"error_rate": 1.0}), true, false),
        (json!({"latency_ms": 5_000}), true, false),
    ];
    let healthy = json!(
        {"outage": false, "lost_answer_rate": 0.0, "error_rate": 0.0, "latency_ms": 0}
    );
    for (number, (fault, is_unknown, exists)) in cases.into_iter().enumerate() {
        let key = format!("row/{number}");
        table.change_faults(&fault).or_fail()?;
        let error = client
            .commit(&put_transaction(&key))
            .await
            .expect_err("the fault makes the commit fail");
        expect_that!(matches!(error, TableError::OutcomeUnknown { .. }), eq(is_unknown), "{fault}");
        expect_that!(matches!(error, TableError::Unavailable { .. }), eq(!is_unknown), "{fault}");
        expect_that!(client.get(&key).await, err(pat!(TableError::Unavailable { .. })));
        table.change_faults(&healthy).or_fail()?;
        expect_that!(client.get(&key).await.or_fail()?.is_some(), eq(exists), "{fault}");
    }
    Ok(())
}

/// Guards against a stopped or rate-limited table that is reported as an unknown outcome, which would block a
/// journal shard.
#[gtest]
#[actix_rt::test]
async fn refused_connections_and_rate_limits_are_unavailable() -> googletest::Result<()> {
    let mut limited =
        TableSettings::new().with_writes_per_s(10).start(Standin::EPHEMERAL).or_fail()?;
    let client = TableClient::new(limited.address());
    client.commit(&put_transaction("a")).await.or_fail()?;
    let refused = client.commit(&put_transaction("b")).await;
    expect_that!(refused, err(pat!(TableError::Unavailable { .. })));
    expect_that!(client.get("b").await.or_fail()?, none());
    limited.stop();
    // A new client has no open connection, so its connection attempt is refused, which proves that nothing was sent.
    let stopped = TableClient::new(limited.address()).commit(&put_transaction("a")).await;
    expect_that!(stopped, err(pat!(TableError::Unavailable { .. })));
    Ok(())
}

/// Guards against a connection that the peer closes after it received the request and that is reported as "not
/// applied".
#[gtest]
#[actix_rt::test]
async fn connection_closed_without_response_is_an_unknown_outcome() -> googletest::Result<()> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").or_fail()?;
    let client = TableClient::new(listener.local_addr().or_fail()?);
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept()?;
        stream.read(&mut [0; 4_096])
    });
    let unanswered = client.commit(&put_transaction("a")).await;
    expect_that!(unanswered, err(pat!(TableError::OutcomeUnknown { .. })));
    let read_bytes = server.join().expect("the server thread does not panic").or_fail()?;
    expect_that!(read_bytes, gt(0));
    Ok(())
}

/// Guards against an invalid transaction that is reported as unavailable and therefore retried forever.
#[gtest]
#[actix_rt::test]
async fn invalid_transactions_are_rejected() -> googletest::Result<()> {
    let (_table, client) = start_table();
    let duplicate_key = put_transaction("a").with_put("a", "other");
    let rejected = client.commit(&duplicate_key).await;
    expect_that!(rejected, err(pat!(TableError::Rejected { status: eq(&400), .. })));
    expect_that!(client.get("a").await.or_fail()?, none());
    Ok(())
}

/// Guards against a client that keeps using a connection on which nothing arrives although new connections work.
#[gtest]
#[actix_rt::test]
async fn client_recovers_from_silent_connections() -> googletest::Result<()> {
    let (table, client) = start_table();
    client.commit(&put_transaction("a")).await.or_fail()?;
    table.change_faults(&json!({"silence_existing": true})).or_fail()?;
    let start = Instant::now();
    while client.get("a").await.is_err() {
        verify_that!(start.elapsed(), lt(Duration::from_secs(5)))?;
    }
    Ok(())
}
