use crate::connection::TargetConnection;
use crate::process::Gateway;
use crate::version::Target;
use agatecourse_core::request::CrashReport;
use slog::warn;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Delay between the end of a connection and the check with a new one; a target that has ended no longer listens by then.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(30);

/// Checks with a new connection whether a target whose answer was lost has crashed, and records the crash.
pub(crate) async fn check_for_crash(
    gateway: Rc<Gateway>,
    target: Rc<Target>,
    request: String,
    report: CrashReport,
) -> bool {
    tokio::time::sleep(CRASH_CHECK_DELAY).await;
    let Some(permit) = gateway.open_target_socket() else { return false };
    match TargetConnection::connect(target.address, permit).await {
        Ok(connection) => {
            gateway.pool.borrow_mut().put(&target.id, connection, None, Instant::now());
            false
        }
        Err(error) => {
            warn!(gateway.log, "target unreachable after a lost response"; "target" => &target.id,
                "request" => request, "suspect_keys" => format!("{:x?}", report.keys), "error" => error.to_string());
            gateway.record_crash(Instant::now(), report);
            true
        }
    }
}

/// Returns whether a target that ended a body with the connection still runs, which is the only proof that the body is complete: a process
/// that ends closes its connections in the same way.
///
/// A new connection must be accepted, by the process that sent the body as far as this node knows; this holds for targets that leave, are
/// gone from the list or were replaced as well. The new connection serves the next request.
pub(crate) async fn still_runs(gateway: &Gateway, target: &Target) -> bool {
    tokio::time::sleep(CRASH_CHECK_DELAY).await;
    // After a pause of this node, the end of the connection may be old and another process may have the address.
    if gateway.was_paused_recently(Instant::now()) || gateway.is_replaced(target) {
        return false;
    }
    let Some(permit) = gateway.open_target_socket() else { return false };
    let connection = TargetConnection::connect(target.address, permit).await;
    let Ok(connection) = connection else { return false };
    if gateway.is_replaced(target) {
        return false;
    }
    if gateway.has_target(&target.id) {
        gateway.pool.borrow_mut().put(&target.id, connection, None, Instant::now());
    }
    true
}
