use crate::connection::{TargetConnection, TunnelError, connect_through};
use crate::process::{Gateway, MAX_TUNNEL_NODES};
use crate::version::Target;
use agatecourse_core::request::TargetPath;
use slog::info;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time for which a direct connection is waited for before a tunnel is tried beside it; many round trips between zones.
const DIRECT_HEAD_START: Duration = Duration::from_millis(100);

/// Why no connection to a target was opened; no byte of a request was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OpenError {
    /// All sockets are in use.
    NoSocket,
    /// Neither this node nor another one reaches the target.
    Unreachable { reason: String },
}

/// Why no tunnel was opened.
enum NoTunnel {
    /// No other node serves tunnels, or none of them could be asked.
    NoNode,
    /// Other nodes do not reach the target.
    Unreachable { reason: String },
}

/// Connects to a target: directly, or through another node while the direct path is lost.
///
/// A direct connection that fails, or takes long, is followed by the attempt to reach the target through other nodes. Only what no node reaches
/// counts as unreachable; what others reach is sound, and this node has lost its path to it.
pub(crate) async fn open_connection(
    gateway: &Gateway,
    target: &Target,
) -> Result<TargetConnection, OpenError> {
    if gateway.target_path(&target.id) == TargetPath::Detour {
        match open_tunnel(gateway, target).await {
            Ok(connection) => {
                gateway.record_detour(Instant::now(), &target.id, false);
                return Ok(connection);
            }
            Err(NoTunnel::NoNode) => {}
            Err(NoTunnel::Unreachable { reason }) => return Err(OpenError::Unreachable { reason }),
        }
    }
    let permit = gateway.open_target_socket().ok_or(OpenError::NoSocket)?;
    let direct = TargetConnection::connect(target.address, permit);
    tokio::pin!(direct);
    let early = tokio::time::timeout(DIRECT_HEAD_START, &mut direct).await;
    let direct_error = match early {
        Ok(Ok(connection)) => return Ok(accept_direct(gateway, target, connection)),
        Ok(Err(error)) => error,
        Err(_) => {
            let tunnel = open_tunnel(gateway, target);
            tokio::pin!(tunnel);
            tokio::select! {
                biased;
                result = &mut direct => match result {
                    Ok(connection) => return Ok(accept_direct(gateway, target, connection)),
                    Err(error) => return accept_detour(gateway, target, tunnel.await, &error.to_string()),
                },
                tunnel = &mut tunnel => {
                    if tunnel.is_ok() {
                        return accept_detour(gateway, target, tunnel, "connection is slow");
                    }
                }
            }
            return match direct.await {
                Ok(connection) => Ok(accept_direct(gateway, target, connection)),
                Err(error) => Err(OpenError::Unreachable { reason: error.to_string() }),
            };
        }
    };
    let tunnel = open_tunnel(gateway, target).await;
    accept_detour(gateway, target, tunnel, &direct_error.to_string())
}

fn accept_direct(
    gateway: &Gateway,
    target: &Target,
    connection: TargetConnection,
) -> TargetConnection {
    gateway.record_direct(Instant::now(), &target.id);
    connection
}

/// Returns the tunnel that was opened after a direct connection had failed, or the error of that.
fn accept_detour(
    gateway: &Gateway,
    target: &Target,
    tunnel: Result<TargetConnection, NoTunnel>,
    direct_error: &str,
) -> Result<TargetConnection, OpenError> {
    match tunnel {
        Ok(connection) => {
            gateway.record_detour(Instant::now(), &target.id, true);
            Ok(connection)
        }
        Err(_) => Err(OpenError::Unreachable { reason: direct_error.to_string() }),
    }
}

/// Connects to a target through another node. Asks several, as a node may have lost its links without knowing it yet.
async fn open_tunnel(gateway: &Gateway, target: &Target) -> Result<TargetConnection, NoTunnel> {
    let nodes = gateway.tunnel_nodes(Instant::now());
    let mut unreachable = None;
    let mut failed = Vec::new();
    for node in nodes.into_iter().take(MAX_TUNNEL_NODES) {
        let Some(permit) = gateway.open_target_socket() else { break };
        let opened = connect_through(
            &gateway.settings.node,
            node.name.clone(),
            node.address,
            Gateway::tunnel_target(target),
            gateway.open_tunnels(&node.name),
            permit,
        )
        .await;
        match opened {
            Ok(connection) => {
                let now = Instant::now();
                gateway.record_heard(now, &target.id);
                gateway.metrics.paths.tunnels.with_label_values(&["opened"]).inc();
                // These nodes reach less than the one that has opened the tunnel.
                for node in &failed {
                    gateway.avoid_tunnels_of(now, node);
                }
                return Ok(connection);
            }
            Err(error) => {
                gateway.metrics.paths.tunnels.with_label_values(&["failed"]).inc();
                info!(gateway.log, "tunnel failed"; "target" => &target.id, "reason" => error.to_string());
                if matches!(error, TunnelError::TargetUnreachable { .. }) {
                    unreachable = Some(error.to_string());
                } else {
                    gateway.avoid_tunnels_of(Instant::now(), &node.name);
                }
                failed.push(node.name);
            }
        }
    }
    match unreachable {
        Some(reason) => Err(NoTunnel::Unreachable { reason }),
        None => Err(NoTunnel::NoNode),
    }
}

/// Returns whether the links of this node work, so that a target which it can't reach is at fault: another target was heard since a time, or can be
/// reached now. Without another target there is nothing to compare with.
pub(crate) async fn links_work(gateway: &Rc<Gateway>, since: Instant, target: &Target) -> bool {
    if gateway.has_heard_other(since, &target.id) {
        return true;
    }
    let controls = gateway.control_targets(&target.id);
    if controls.is_empty() {
        return true;
    }
    for control in controls {
        if let Ok(connection) = open_connection(gateway, &control).await {
            gateway.pool_connection(&control.id, connection, None);
            return true;
        }
    }
    gateway.has_heard_other(since, &target.id)
}
