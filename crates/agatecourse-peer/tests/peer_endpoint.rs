//! Tests of peer endpoints over the loopback interface.

use agatecourse_peer::{
    DeploymentKey, IncomingMessage, MessageChannel, NodeKeys, PeerEndpoint, PeerError,
};
use agatecourse_wire::{DATAGRAM_LIMIT_BYTES, Envelope, PeerMessage, encode_stream};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

const TIMEOUT: Duration = Duration::from_secs(5);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn node_keys(accepted: &[&DeploymentKey], signer: &DeploymentKey, node: &str) -> NodeKeys {
    let accepted: Vec<&str> = accepted.iter().map(|key| key.certificate_pem()).collect();
    let issued = signer.issue_certificate(node, 30).expect("valid name");
    NodeKeys::from_pem(&accepted, &issued.certificate_pem, &issued.key_pem).expect("valid keys")
}

/// Node whose handler responds to calls with an empty envelope and counts datagrams.
struct TestNode {
    endpoint: PeerEndpoint,
    datagrams: Arc<AtomicU64>,
}

impl TestNode {
    fn start(keys: &NodeKeys, address: SocketAddr) -> Self {
        let datagrams = Arc::new(AtomicU64::new(0));
        let counter = datagrams.clone();
        let name = keys.node().to_string();
        let handler = move |incoming: IncomingMessage| {
            let is_call = incoming.channel == MessageChannel::Call;
            if !is_call {
                counter.fetch_add(1, Ordering::Relaxed);
            }
            let reply = is_call.then(|| Envelope::new(name.clone(), 1));
            async move { reply }
        };
        let endpoint = PeerEndpoint::bind(address, keys, handler).expect("free port");
        Self { endpoint, datagrams }
    }

    fn address(&self) -> SocketAddr {
        self.endpoint.local_address().expect("bound socket")
    }

    async fn call(&self, from: &str, to: SocketAddr) -> Result<Envelope, PeerError> {
        self.endpoint.call_message(to, &Envelope::new(from, 1), TIMEOUT).await
    }
}

fn start_pair() -> (TestNode, TestNode) {
    let key = DeploymentKey::generate("kaewkla", 1, 365).expect("valid name");
    let start = |node| TestNode::start(&node_keys(&[&key], &key, node), any_port());
    (start("node-a"), start("node-b"))
}

/// Guards against lost responses, uncounted bytes, and two connections that remain after a simultaneous open.
#[tokio::test]
async fn two_nodes_share_one_connection_for_calls_and_datagrams() {
    let (a, b) = start_pair();
    let (to_a, to_b) = (a.address(), b.address());
    let (first, second) = tokio::join!(a.call("node-a", to_b), b.call("node-b", to_a));
    assert_eq!(first.expect("response").from, "node-b");
    assert_eq!(second.expect("response").from, "node-a");
    let ping = Envelope::new("node-a", 1)
        .with_body(PeerMessage::Ping { sequence: 1, updates: Vec::new() });
    for _ in 0..10 {
        a.endpoint.send_message(to_b, &ping).await.expect("sent");
    }
    // The superseded connection closes at its check, 10 s after it was opened.
    tokio::time::sleep(Duration::from_secs(11)).await;
    assert_eq!(b.datagrams.load(Ordering::Relaxed), 10);
    for node in [&a, &b] {
        let traffic = node.endpoint.traffic();
        assert_eq!(traffic.open_connections, 1, "{traffic:?}");
        assert!(traffic.sent_bytes > 1_000 && traffic.received_bytes > 1_000, "{traffic:?}");
    }
}

/// Guards against an endpoint that serves a node of another deployment, and against connection attempts without
/// backoff.
#[tokio::test]
async fn node_of_another_deployment_is_rejected_and_backs_off() {
    let (_, b) = start_pair();
    let (foreign, _) = start_pair();
    assert!(foreign.call("node-a", b.address()).await.is_err());
    let again = foreign.call("node-a", b.address()).await;
    assert!(matches!(again, Err(PeerError::BackOff { .. })), "{again:?}");
    assert_eq!(b.endpoint.traffic().connections, 0);
}

/// Guards against a node that impersonates another one, and against malformed or oversized messages that break the
/// connection.
#[tokio::test]
async fn wrong_sender_and_malformed_messages_are_dropped_and_counted() {
    let (a, b) = start_pair();
    let to_b = b.address();
    assert!(a.call("node-c", to_b).await.is_err());
    let encoded = encode_stream(&Envelope::new("node-a", 1)).expect("small");
    assert!(a.endpoint.call(to_b, &encoded[..3], TIMEOUT).await.is_err());
    let oversized = a.endpoint.call(to_b, &vec![1; 70_000], TIMEOUT).await;
    assert!(matches!(oversized, Err(PeerError::NoResponse { .. })), "{oversized:?}");
    a.endpoint.send_datagram(to_b, vec![9; DATAGRAM_LIMIT_BYTES]).await.expect("sent");
    a.call("node-a", to_b).await.expect("the connection stays usable");
    let traffic = b.endpoint.traffic();
    assert_eq!((traffic.wrong_sender, traffic.malformed), (1, 2));
}

/// Guards against calls that fail while the deployment key is rotated.
#[tokio::test]
async fn both_deployment_keys_are_accepted_during_rotation() {
    let old = DeploymentKey::generate("kaewkla", 1, 365).expect("valid name");
    let new = DeploymentKey::generate("kaewkla", 2, 365).expect("valid name");
    let a = TestNode::start(&node_keys(&[&old, &new], &old, "node-a"), any_port());
    let b = TestNode::start(&node_keys(&[&old, &new], &new, "node-b"), any_port());
    let c = TestNode::start(&node_keys(&[&new], &new, "node-c"), any_port());
    a.call("node-a", b.address()).await.expect("old key is accepted");
    b.call("node-b", a.address()).await.expect("new key is accepted");
    assert!(a.call("node-a", c.address()).await.is_err(), "the old key has been removed");
    a.endpoint.replace_keys(&node_keys(&[&new], &new, "node-a")).expect("valid keys");
    tokio::time::sleep(Duration::from_millis(200)).await;
    a.call("node-a", c.address()).await.expect("the new key is in use");
}

/// Guards against calls that hang because no packet arrives on their connection although new connections work.
#[tokio::test]
async fn silent_connection_is_replaced_in_under_5_s() {
    let (a, b) = start_pair();
    let (relay, is_muted) = start_relay(b.address()).await;
    a.call("node-a", relay).await.expect("first connection");
    is_muted.store(true, Ordering::Relaxed);
    let started = Instant::now();
    a.call("node-a", relay).await.expect("response on a new connection");
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
    let traffic = a.endpoint.traffic();
    assert_eq!((traffic.silent_connections, traffic.retries), (1, 1), "{traffic:?}");
}

/// Guards against a peer that stays unreachable after its process was restarted at the same address.
#[tokio::test]
async fn restarted_peer_is_reached_in_under_5_s() {
    let key = DeploymentKey::generate("kaewkla", 1, 365).expect("valid name");
    let a = TestNode::start(&node_keys(&[&key], &key, "node-a"), any_port());
    let b_keys = node_keys(&[&key], &key, "node-b");
    let b = TestNode::start(&b_keys, any_port());
    let to_b = b.address();
    a.call("node-a", to_b).await.expect("first process");
    b.endpoint.close().await;
    drop(b);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let _b = TestNode::start(&b_keys, to_b);
    let started = Instant::now();
    while a.call("node-a", to_b).await.is_err() {
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(started.elapsed() < Duration::from_secs(5));
    }
}

/// Starts a UDP relay to `target` that drops all packets while it is muted, until a client starts a new handshake.
///
/// The client closes its silent connection before that handshake, so the unmuted relay serves only the new one. The
/// returned flag mutes the relay.
async fn start_relay(target: SocketAddr) -> (SocketAddr, Arc<AtomicBool>) {
    let client_socket = UdpSocket::bind(any_port()).await.expect("free port");
    let target_socket = UdpSocket::bind(any_port()).await.expect("free port");
    let address = client_socket.local_addr().expect("bound");
    let is_muted = Arc::new(AtomicBool::new(false));
    let relay_is_muted = is_muted.clone();
    tokio::spawn(async move {
        let (mut from_client, mut from_target) = ([0; 2048], [0; 2048]);
        let mut clients: BTreeSet<SocketAddr> = BTreeSet::new();
        loop {
            tokio::select! {
                Ok((size, client)) = client_socket.recv_from(&mut from_client) => {
                    clients.insert(client);
                    let is_handshake = from_client[0] & 0x80 != 0;
                    if is_handshake {
                        relay_is_muted.store(false, Ordering::Relaxed);
                    }
                    if !relay_is_muted.load(Ordering::Relaxed) {
                        let _ = target_socket.send_to(&from_client[..size], target).await;
                    }
                }
                Ok((size, _)) = target_socket.recv_from(&mut from_target) => {
                    for client in &clients {
                        if !relay_is_muted.load(Ordering::Relaxed) {
                            let _ = client_socket.send_to(&from_target[..size], client).await;
                        }
                    }
                }
            }
        }
    });
    (address, is_muted)
}

/// Guards against a shutdown that waits for peers that are gone: a node of the demo didn't exit within 10 s after the
/// two other nodes had exited.
#[tokio::test]
async fn close_does_not_wait_for_a_silent_peer() {
    let (a, _b) = start_pair();
    let silent = UdpSocket::bind(any_port()).await.expect("free port");
    let address = silent.local_addr().expect("bound socket");
    let message = Envelope::new("node-a", 1);
    let call = a.endpoint.call_message(address, &message, Duration::from_millis(300)).await;
    assert!(call.is_err(), "a silent peer can't respond");
    let started = Instant::now();
    a.endpoint.close().await;
    assert!(started.elapsed() < Duration::from_secs(2), "closed after {:?}", started.elapsed());
}
