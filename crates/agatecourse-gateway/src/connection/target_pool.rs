use super::TargetConnection;
use agatecourse_types::{NodeId, TargetId};
use bytes::BytesMut;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Largest number of idle connections per target.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Idle timeout assumed when the target states none in `Keep-Alive`.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Fraction of the idle timeout that is used, so that no request is sent while the target closes the connection.
const IDLE_TIMEOUT_RATIO: f64 = 0.6;

/// Pool of idle connections per target.
#[derive(Debug, Default)]
pub(crate) struct TargetPool {
    idle: BTreeMap<TargetId, Vec<TargetConnection>>,
}

impl TargetPool {
    /// Takes the most recently used connection to a target that is still reusable.
    pub(crate) fn take(&mut self, target: &TargetId, now: Instant) -> Option<TargetConnection> {
        let idle = self.idle.get_mut(target)?;
        while let Some(connection) = idle.pop() {
            let is_within_idle_limit =
                now.saturating_duration_since(connection.idle_since) < connection.idle_limit;
            if is_within_idle_limit && connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Adds a connection whose response was read completely.
    pub(crate) fn put(
        &mut self,
        target: &TargetId,
        mut connection: TargetConnection,
        stated_idle: Option<Duration>,
        now: Instant,
    ) {
        connection.idle_since = now;
        if connection.buffer.is_empty() {
            // An idle connection keeps no buffer.
            connection.buffer = BytesMut::new();
        }
        connection.idle_limit =
            stated_idle.unwrap_or(DEFAULT_IDLE_TIMEOUT).mul_f64(IDLE_TIMEOUT_RATIO);
        let idle = self.idle.entry(target.clone()).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS && connection.buffer.is_empty() {
            idle.push(connection);
        }
    }

    /// Closes connections past their idle limit, and all connections to targets for which `is_known` returns false.
    pub(crate) fn prune(&mut self, now: Instant, is_known: impl Fn(&TargetId) -> bool) {
        self.idle.retain(|target, idle| {
            idle.retain(|connection| {
                now.saturating_duration_since(connection.idle_since) < connection.idle_limit
            });
            !idle.is_empty() && is_known(target)
        });
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle(&mut self) {
        self.idle.clear();
    }

    /// Closes the idle connections that run through a node.
    pub(crate) fn close_tunnels(&mut self, node: &NodeId) {
        for idle in self.idle.values_mut() {
            idle.retain(|connection| {
                connection.tunnel.as_ref().is_none_or(|link| link.node != *node)
            });
        }
    }

    /// Closes the idle connections to a target after one of its connections failed.
    pub(crate) fn remove_target(&mut self, target: &TargetId) {
        self.idle.remove(target);
    }
}
