use super::*;
use googletest::prelude::*;
use std::cell::Cell;

const DEADLINE: Duration = Duration::from_millis(20);

/// Guards against an answer at the deadline that does not wait for the reservation of the key, which ends shortly before: on a busy
/// machine both are noticed together, and "not run" would not be true while an earlier request with the key is at work.
#[gtest]
#[actix_web::test]
async fn pending_reservation_is_awaited_beyond_the_deadline() {
    let is_pending = Cell::new(true);
    let reservation = async {
        tokio::time::sleep(DEADLINE * 3).await;
        is_pending.set(false);
        "refused"
    };
    let ended = run_until_deadline(Instant::now() + DEADLINE, || is_pending.get(), reservation);
    expect_that!(ended.await, some(eq("refused")));
    // Both ends are due when the thread runs again.
    let reservation = async {
        tokio::time::sleep(DEADLINE / 2).await;
        is_pending.set(false);
        "refused"
    };
    is_pending.set(true);
    let ended = run_until_deadline(Instant::now() + DEADLINE, || is_pending.get(), reservation);
    let (ended, ()) = futures_util::join!(ended, async { std::thread::sleep(DEADLINE * 3) });
    expect_that!(ended, some(eq("refused")));
}

/// Guards against requests that go on after their deadline.
#[gtest]
#[actix_web::test]
async fn work_without_a_pending_reservation_ends_at_the_deadline() {
    let started = Instant::now();
    let ended = run_until_deadline(started + DEADLINE, || false, std::future::pending::<()>());
    expect_that!(ended.await, none());
    expect_that!(started.elapsed(), lt(RESERVATION_GRACE));
    let forever = run_until_deadline(started, || true, std::future::pending::<()>());
    expect_that!(forever.await, none());
    expect_that!(started.elapsed(), lt(RESERVATION_GRACE * 3));
}
