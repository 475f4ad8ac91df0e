use std::time::{Duration, Instant};

/// Time after the deadline for which a request waits for the pending reservation of its key. The journal replies before the
/// deadline, but on a busy machine the reply is noticed later.
const RESERVATION_GRACE: Duration = Duration::from_secs(1);

/// Runs `work` until the deadline; while the reservation of the key is pending then, up to [`RESERVATION_GRACE`] longer.
/// Returns `None` if the work has not ended by then.
///
/// Only the reply of the journal tells whether an earlier request with the key is at work, and so whether "not run" is true.
pub(crate) async fn run_until_deadline<T>(
    deadline: Instant,
    is_reservation_pending: impl Fn() -> bool,
    work: impl Future<Output = T>,
) -> Option<T> {
    tokio::pin!(work);
    tokio::select! {
        biased;
        () = tokio::time::sleep_until(deadline.into()) => {}
        result = &mut work => return Some(result),
    }
    if !is_reservation_pending() {
        return None;
    }
    tokio::time::timeout(RESERVATION_GRACE, work).await.ok()
}

#[cfg(test)]
mod tests;
