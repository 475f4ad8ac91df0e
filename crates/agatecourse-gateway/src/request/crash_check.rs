use crate::connection::{ConnectError, TargetConnection};
use crate::process::Gateway;
use crate::version::Target;
use agatecourse_core::request::CrashReport;
use slog::warn;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Delay between a lost answer and the connection check; a crashed target no longer listens by then.
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

/// Returns whether a target that ended a body with the connection has ended itself, so that the body may not be complete. A
/// target that is leaving may end after its last answer. The new connection serves the next request.
pub(crate) async fn has_ended(gateway: &Gateway, target: &Target) -> bool {
    if gateway.target(&target.id).is_none() {
        return false;
    }
    let Some(permit) = gateway.open_target_socket() else { return false };
    match TargetConnection::connect(target.address, permit).await {
        Ok(connection) => {
            gateway.pool.borrow_mut().put(&target.id, connection, None, Instant::now());
            false
        }
        Err(ConnectError::Failed { .. }) => true,
        Err(ConnectError::Timeout) => false,
    }
}
