use super::document_exchange::fetch_documents;
use super::panics::run_isolated;
use super::peer_message::{
    MAX_DECODED_BYTES, MAX_MESSAGE_BYTES, PeerEnvelope, RECEIVE_BUFFER_BYTES,
};
use super::{Gateway, GatewayError, Heartbeat, LostNotice, PeerMessage};
use agatecourse_types::NodeId;
use slog::{error, info, warn};
use std::cell::Cell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// Shortest period of log lines on messages that can't be sent or decoded.
const LOG_PERIOD: Duration = Duration::from_secs(5);
/// Bytes a second that the heartbeats of a node may take in all, if they do not fit `MAX_MESSAGE_BYTES`.
const HEARTBEAT_BYTES_PER_S: f64 = 64_000.0;
/// Bytes for the lengths of lists, the flags and the tags around a heartbeat.
const LENGTH_BYTES: usize = 24;
/// Least number of bytes for the use of organisations in a heartbeat.
const MIN_USAGE_BYTES: usize = 400;
/// Pause after a failed call to receive a datagram.
const RECEIVE_RETRY: Duration = Duration::from_millis(200);
/// Number of known nodes above which only some heartbeats list other nodes, as the list would be a third of the bytes between nodes.
const MAX_NODES_TO_ALWAYS_LIST: usize = 32;
/// Heartbeats of which one lists other nodes, in a deployment with more nodes.
const HEARTBEATS_PER_LIST: usize = 4;
/// Maximum number of other nodes listed in a heartbeat, so that the message fits a datagram.
const MAX_HEARTBEAT_MEMBERS: usize = 8;
/// Maximum number of lost nodes listed in a heartbeat; a node that restarts in a partition knows all of them after a few heartbeats of its peers.
const MAX_HEARTBEAT_LOST: usize = 4;
/// Shortest time between two log lines about documents that peers were sent.
const UPLOAD_LOG_PERIOD: Duration = Duration::from_secs(1);
/// Time between two timer calls above which the process is considered to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(700);

/// UDP socket for messages between nodes.
#[derive(Debug)]
pub struct PeerEndpoint {
    socket: UdpSocket,
    port: u16,
    /// Time of the last log line on a message that can't be sent or decoded.
    last_log: Cell<Option<Instant>>,
}

impl PeerEndpoint {
    /// Binds a non-blocking socket.
    ///
    /// # Errors
    ///
    /// Returns [`GatewayError::Listen`] when the address can't be bound, for example because it is in use.
    pub fn bind(ip: Ipv4Addr, port: u16) -> Result<Self, GatewayError> {
        let address = SocketAddr::V4(SocketAddrV4::new(ip, port));
        let bound = std::net::UdpSocket::bind(address)
            .and_then(|socket| socket.set_nonblocking(true).map(|()| socket))
            .and_then(UdpSocket::from_std);
        let socket = bound.map_err(|source| GatewayError::Listen { address, source })?;
        Ok(Self { socket, port, last_log: Cell::new(None) })
    }

    /// Sends a message to nodes without delivery guarantee; the timers of the sender retransmit what matters.
    ///
    /// # Errors
    ///
    /// Returns the size of a message that is longer than its receivers decode; it is not sent.
    pub(crate) fn send(
        &self,
        from: &NodeId,
        to: impl IntoIterator<Item = Ipv4Addr>,
        message: PeerMessage,
    ) -> Result<(), usize> {
        let envelope = PeerEnvelope { from: from.clone(), message };
        let Ok(bytes) = postcard::to_allocvec(&envelope) else { return Ok(()) };
        if bytes.len() > MAX_DECODED_BYTES {
            return Err(bytes.len());
        }
        for address in to {
            // A full socket buffer has the effect of a lost datagram, which the protocol tolerates.
            let address = SocketAddr::V4(SocketAddrV4::new(address, self.port));
            let _ = self.socket.try_send_to(&bytes, address);
        }
        Ok(())
    }

    /// Returns whether a message that can't be sent or decoded may be logged; at most one is in `LOG_PERIOD`.
    pub(super) fn may_log(&self, now: Instant) -> bool {
        let is_due =
            self.last_log.get().is_none_or(|at| now.saturating_duration_since(at) >= LOG_PERIOD);
        if is_due {
            self.last_log.set(Some(now));
        }
        is_due
    }

    async fn receive(&self, buffer: &mut [u8]) -> std::io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buffer).await
    }
}

/// Receives messages until the task is dropped.
pub(crate) async fn receive_messages(gateway: Rc<Gateway>) {
    let mut buffer = vec![0_u8; RECEIVE_BUFFER_BYTES];
    loop {
        let (length, address) = match gateway.peers.receive(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                warn!(gateway.log, "receiving a datagram failed"; "error" => error.to_string());
                tokio::time::sleep(RECEIVE_RETRY).await;
                continue;
            }
        };
        let envelope = match PeerEnvelope::decode(&mut buffer, length) {
            Ok(envelope) => envelope,
            Err(error) => {
                gateway.metrics.peer_messages.with_label_values(&["undecodable"]).inc();
                if gateway.peers.may_log(Instant::now()) {
                    warn!(gateway.log, "decoding a datagram failed"; "from" => address.to_string(),
                        "bytes" => length, "error" => error.to_string());
                }
                continue;
            }
        };
        let IpAddr::V4(ip) = address.ip() else { continue };
        gateway.metrics.peer_messages.with_label_values(&["received"]).inc();
        // A message that triggers a fault must not end the task that receives the messages of all nodes.
        let from = envelope.from.clone();
        if let Err(panic) = run_isolated(|| handle_message(&gateway, ip, envelope)) {
            error!(gateway.log, "handling a message failed"; "from" => from, "panic" => panic);
        }
    }
}

fn handle_message(gateway: &Rc<Gateway>, ip: Ipv4Addr, envelope: PeerEnvelope) {
    let now = Instant::now();
    match envelope.message {
        PeerMessage::Heartbeat(heartbeat) => {
            on_heartbeat(gateway, now, &envelope.from, ip, &heartbeat);
        }
        PeerMessage::Crash(notice) => {
            gateway.record_peer_crash(now, &envelope.from, &notice, false);
        }
        PeerMessage::LateCrash(notice) => {
            gateway.record_peer_crash(now, &envelope.from, &notice, true);
        }
        PeerMessage::Cleared { keys } => {
            gateway.record_peer_cleared(now, &envelope.from, &keys);
        }
        PeerMessage::Progressed { keys } => {
            gateway.record_peer_progress(now, &envelope.from, &keys);
        }
        PeerMessage::RolloutRoutes { service, order, routes } => {
            let mut rollouts = gateway.rollouts.borrow_mut();
            rollouts.record_peer_routes(&envelope.from, service, order, &routes);
        }
        message => gateway.on_queue_message(now, &envelope.from, message),
    }
}

fn on_heartbeat(
    gateway: &Rc<Gateway>,
    now: Instant,
    from: &NodeId,
    ip: Ipv4Addr,
    heartbeat: &Heartbeat,
) {
    let mut members = gateway.members.borrow_mut();
    let was_lost = members.is_lost(from);
    let is_new = members.record_heartbeat(now, from, ip, heartbeat);
    let own = &gateway.settings.node;
    for (node, address) in heartbeat.members.iter().filter(|(node, _)| node != own) {
        members.add_heard_elsewhere(now, node, *address);
    }
    for lost in heartbeat.lost_members.iter().filter(|lost| lost.node != *own) {
        let silence = Duration::from_secs(u64::from(lost.silent_s));
        members.add_lost_elsewhere(now, &lost.node, lost.address, silence);
    }
    drop(members);
    if !heartbeat.serves_tunnels {
        gateway.close_tunnels_of(from);
    }
    if was_lost {
        info!(gateway.log, "lost node found again"; "member" => from, "started_unix_ms" => heartbeat.started_unix_ms);
        gateway.refresh_members(now);
    }
    if is_new {
        info!(gateway.log, "node joined"; "member" => from, "started_unix_ms" => heartbeat.started_unix_ms);
        gateway.record_restart(now, from);
        gateway.refresh_members(now);
    }
    gateway.record_peer_crashes(now, from, heartbeat);
    for report in &heartbeat.rollouts {
        gateway.rollouts.borrow_mut().record_peer(from, report);
    }
    gateway.record_peer_usage(now, from, heartbeat);
    for (id, version) in &heartbeat.documents {
        let own = gateway.documents.borrow().version(*id);
        gateway.newer_documents().record_version(*id, *version, own, (ip, heartbeat.capacity), now);
    }
}

/// Subscribes the periodic work between nodes to the timer service.
pub(crate) fn subscribe_timers(gateway: &Rc<Gateway>) {
    let weak = Rc::downgrade(gateway);
    let next_heartbeat = Cell::new(Instant::now());
    let last_call = Cell::new(Instant::now());
    gateway.timers.subscribe(Duration::from_millis(20), move |now| {
        let Some(gateway) = weak.upgrade() else { return };
        let pause = now.saturating_duration_since(last_call.replace(now));
        if pause > PAUSE_THRESHOLD {
            warn!(gateway.log, "process was paused"; "pause_ms" => pause.as_millis() as u64);
            gateway.record_pause(now);
            gateway.members.borrow_mut().reset_heartbeat_times(now, pause);
            gateway.clear_peer_state();
        }
        let has_news = gateway.take_news();
        if next_heartbeat.get() <= now {
            next_heartbeat.set(now + gateway.members.borrow().heartbeat_period());
            send_heartbeats(&gateway, now);
            gateway.send_route_counts();
            let removed = gateway.members.borrow_mut().remove_silent(now);
            for node in &removed.lost {
                warn!(gateway.log, "node lost"; "member" => node);
            }
            for node in &removed.stopped {
                info!(gateway.log, "stopped node forgotten"; "member" => node);
            }
            gateway.forget_usage_of_gone_nodes(now);
            gateway.refresh_members(now);
        } else if has_news {
            send_heartbeats(&gateway, now);
        }
        gateway.run_coordinator_timer(now);
        fetch_documents(&gateway, now);
    });
    let weak = Rc::downgrade(gateway);
    gateway.timers.subscribe(UPLOAD_LOG_PERIOD, move |_now| {
        if let Some(gateway) = weak.upgrade() {
            gateway.log_uploads();
        }
    });
}

/// Sends a heartbeat of this node to all known nodes, and to some of the lost ones as a probe.
pub(crate) fn send_heartbeats(gateway: &Gateway, now: Instant) {
    let mut named = gateway.members.borrow().recent_addresses(now);
    let round = gateway.next_phase();
    if named.len() > MAX_NODES_TO_ALWAYS_LIST && !round.is_multiple_of(HEARTBEATS_PER_LIST) {
        named.clear();
    } else if named.len() > MAX_HEARTBEAT_MEMBERS {
        // A rotating part of the list covers all nodes within a few heartbeats.
        let start = round % named.len();
        named.rotate_left(start);
        named.truncate(MAX_HEARTBEAT_MEMBERS);
    }
    named.push((gateway.settings.node.clone(), gateway.settings.ip));
    let lost = gateway.members.borrow_mut().list_lost(now, MAX_HEARTBEAT_LOST);
    let lost_members = lost.into_iter().map(|(node, address, silence)| LostNotice {
        node,
        address,
        // Rounded up, so that a node does not seem to have been heard later with each node that passes this on.
        silent_s: u32::try_from(silence.as_secs()).unwrap_or(u32::MAX).saturating_add(1),
    });
    let notices = gateway.heartbeat_crash_notices(now);
    let mut heartbeat = Heartbeat {
        started_unix_ms: gateway.settings.started_unix_ms,
        uptime_ms: gateway.uptime(now).as_millis() as u32,
        is_stopping: gateway.stopping_since().is_some(),
        members: named,
        documents: gateway.documents.borrow().versions().collect(),
        usage: Vec::new(),
        crashes: Vec::new(),
        rollouts: gateway.rollouts.borrow().reports().collect(),
        quota_bounds_version: gateway.quota_bounds_version(),
        quota_reports: Vec::new(),
        is_usage_complete: gateway.deployment().is_some(),
        crash_notices: notices.crashes,
        quarantine_notices: notices.quarantined,
        capacity: gateway.settings.capacity,
        follows_source: !gateway.is_source_lost() && !gateway.relies_on_relays(),
        lost_members: lost_members.collect(),
        unlisted_growth_ppm: None,
        rank_demands: gateway.rank_demands(now),
        serves_tunnels: gateway.serves_tunnels(),
        late_crash_notices: notices.late_crashes,
    };
    // The lengths of the lists in front of the use take some bytes more once they are filled.
    let other_bytes = postcard::to_allocvec(&heartbeat).map_or(0, |bytes| bytes.len())
        + gateway.settings.node.len()
        + LENGTH_BYTES;
    let usage_bytes = heartbeat_bytes(gateway).saturating_sub(other_bytes).max(MIN_USAGE_BYTES);
    let report =
        gateway.known_usage(now, usage_bytes.min(MAX_DECODED_BYTES.saturating_sub(other_bytes)));
    heartbeat.is_usage_complete &= report.unlisted_growth_ppm.is_none();
    heartbeat.unlisted_growth_ppm = report.unlisted_growth_ppm;
    heartbeat.usage = report.usage;
    heartbeat.quota_reports = report.quota_reports;
    let probes = gateway.members.borrow_mut().take_probes();
    send_to_members(gateway, PeerMessage::Heartbeat(Box::new(heartbeat)), probes);
}

/// Returns the size that a heartbeat should have at most: one datagram without fragments, or more as long as all heartbeats together stay small.
fn heartbeat_bytes(gateway: &Gateway) -> usize {
    let members = gateway.members.borrow();
    let peers = members.addresses().count().max(1) as f64;
    let affordable = HEARTBEAT_BYTES_PER_S * members.heartbeat_period().as_secs_f64() / peers;
    (affordable as usize).clamp(MAX_MESSAGE_BYTES, MAX_DECODED_BYTES)
}

/// Sends a message to all known nodes that are not lost.
pub(super) fn broadcast(gateway: &Gateway, message: PeerMessage) {
    send_to_members(gateway, message, Vec::new());
}

fn send_to_members(gateway: &Gateway, message: PeerMessage, further: Vec<Ipv4Addr>) {
    let mut addresses = further;
    addresses.extend(gateway.members.borrow().addresses().map(|(_, address)| address));
    addresses.sort_unstable();
    addresses.dedup();
    addresses.retain(|address| *address != gateway.settings.ip);
    gateway.metrics.peer_messages.with_label_values(&["sent"]).inc_by(addresses.len() as u64);
    gateway.send_to_peers(addresses, message);
}
