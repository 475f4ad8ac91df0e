use super::open_connection::{OpenError, links_work, open_connection};
use crate::connection::{TargetConnection, TunnelLink, connect_through};
use crate::process::Gateway;
use crate::version::Target;
use agatecourse_core::request::CrashReport;
use slog::{info, warn};
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Delay between the end of a connection and the check with a new one; a target that has ended no longer listens by then.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(30);

/// What is known of a target whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LossVerdict {
    /// The target has crashed or can't be reached by any node.
    Crashed,
    /// The target runs, so the loss is its fault.
    Sound,
    /// This node has lost its own links to the target, or to all, so the loss says nothing about the target.
    Unknown,
}

/// Checks with a new connection whether a target whose answer was lost has crashed, and records the crash with the reports on its run.
///
/// A target that only this node does not reach has not crashed, and neither has one that is lost together with all others.
pub(crate) async fn check_for_crash(
    gateway: Rc<Gateway>,
    target: Rc<Target>,
    request: String,
    reports: SmallVec<[CrashReport; 2]>,
) -> LossVerdict {
    let ended = reports.first().map_or_else(Instant::now, |report| report.ended);
    tokio::time::sleep(CRASH_CHECK_DELAY).await;
    let reason = match open_connection(&gateway, &target).await {
        Ok(connection) => {
            let is_direct = connection.tunnel.is_none();
            gateway.pool_connection(&target.id, connection, None);
            return if is_direct { LossVerdict::Sound } else { LossVerdict::Unknown };
        }
        Err(OpenError::NoSocket) => return LossVerdict::Unknown,
        Err(OpenError::Unreachable { reason }) => reason,
    };
    if !links_work(&gateway, ended, &target).await {
        info!(gateway.log, "lost response not held against its target, as no target is reached"; "target" => &target.id,
            "request" => request, "error" => reason);
        return LossVerdict::Unknown;
    }
    for report in reports {
        warn!(gateway.log, "target unreachable after a lost response"; "target" => &target.id, "request" => &request,
            "is_late" => report.is_late, "suspect_keys" => format!("{:x?}", report.keys), "error" => &reason);
        gateway.record_crash(Instant::now(), report);
    }
    LossVerdict::Crashed
}

/// Returns whether a target that ended a body with the connection still runs, which is the only proof that the body is complete: a process
/// that ends closes its connections in the same way.
///
/// A new connection must be accepted, by the process that sent the body as far as this node knows; this holds for targets that leave, are
/// gone from the list or were replaced as well. If the body came through another node, so does the new connection, and the process of that node must be the
/// same. The new connection serves the next request.
pub(crate) async fn still_runs(
    gateway: &Gateway,
    target: &Target,
    tunnel: Option<&TunnelLink>,
) -> bool {
    tokio::time::sleep(CRASH_CHECK_DELAY).await;
    // After a pause of this node, the end of the connection may be old and another process may have the address.
    if gateway.was_paused_recently(Instant::now()) || gateway.is_replaced(target) {
        return false;
    }
    let connection = match tunnel {
        Some(link) => connect_through_same(gateway, target, link).await,
        None => match gateway.open_target_socket() {
            Some(permit) => TargetConnection::connect(target.address, permit).await.ok(),
            None => None,
        },
    };
    let Some(connection) = connection else { return false };
    if gateway.is_replaced(target) {
        return false;
    }
    if gateway.has_target(&target.id) {
        gateway.pool_connection(&target.id, connection, None);
    }
    true
}

/// Connects to a target through the process that served a tunnel before; `None` if that fails or another process answers.
async fn connect_through_same(
    gateway: &Gateway,
    target: &Target,
    link: &TunnelLink,
) -> Option<TargetConnection> {
    let permit = gateway.open_target_socket()?;
    let ip = gateway.members.borrow().address(&link.node)?;
    let connection = connect_through(
        &gateway.settings.node,
        link.node.clone(),
        SocketAddr::new(ip.into(), gateway.settings.peer_port),
        Gateway::tunnel_target(target),
        gateway.open_tunnels(&link.node),
        permit,
    );
    let connection = connection.await.ok()?;
    let is_same = |other: &TunnelLink| other.started_unix_ms == link.started_unix_ms;
    connection.tunnel.as_ref().is_some_and(is_same).then_some(connection)
}
