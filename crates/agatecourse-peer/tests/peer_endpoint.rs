//! Tests of the endpoint over loopback.

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

fn keys(accepted: &[&DeploymentKey], signer: &DeploymentKey, node: &str) -> NodeKeys {
    let accepted: Vec<&str> = accepted.iter().map(|key| key.certificate_pem()).collect();
    let issued = signer.issue_certificate(node, 30).expect("valid name");
    NodeKeys::from_pem(&accepted, &issued.certificate_pem, &issued.key_pem).expect("valid keys")
}

/// Node that answers calls with `Received` and counts datagrams.
struct Node {
    endpoint: PeerEndpoint,
    datagrams: Arc<AtomicU64>,
}

impl Node {
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

fn pair() -> (Node, Node) {
    let key = DeploymentKey::generate("kaewkla", 1, 365).expect("valid name");
    let start = |node| Node::start(&keys(&[&key], &key, node), any_port());
    (start("node-a"), start("node-b"))
}

/// Guards against lost answers, uncounted bytes and two lasting connections after a simultaneous open.
#[tokio::test]
async fn pair_shares_one_connection_for_calls_and_datagrams() {
    let (a, b) = pair();
    let (to_a, to_b) = (a.address(), b.address());
    let (first, second) = tokio::join!(a.call("node-a", to_b), b.call("node-b", to_a));
    assert_eq!(first.expect("answer").from, "node-b");
    assert_eq!(second.expect("answer").from, "node-a");
    let ping = Envelope::new("node-a", 1)
        .with_body(PeerMessage::Ping { sequence: 1, updates: Vec::new() });
    for _ in 0..10 {
        a.endpoint.send_message(to_b, &ping).await.expect("sent");
    }
    tokio::time::sleep(Duration::from_secs(11)).await;
    assert_eq!(b.datagrams.load(Ordering::Relaxed), 10);
    for node in [&a, &b] {
        let traffic = node.endpoint.traffic();
        assert_eq!(traffic.open_connections, 1, "{traffic:?}");
        assert!(traffic.sent_bytes > 1_000 && traffic.received_bytes > 1_000, "{traffic:?}");
    }
}

/// Guards against a node of another deployment that is served, and against repeated attempts without pause.
#[tokio::test]
async fn foreign_deployment_is_rejected_and_backed_off() {
    let (_, b) = pair();
    let (foreign, _) = pair();
    assert!(foreign.call("node-a", b.address()).await.is_err());
    let again = foreign.call("node-a", b.address()).await;
    assert!(matches!(again, Err(PeerError::BackOff { .. })), "{again:?}");
    assert_eq!(b.endpoint.traffic().connections, 0);
}

/// Guards against a node that speaks in the name of another one, and against damaged messages.
#[tokio::test]
async fn wrong_sender_and_garbage_are_dropped_and_counted() {
    let (a, b) = pair();
    let to_b = b.address();
    assert!(a.call("node-c", to_b).await.is_err());
    let garbage = encode_stream(&Envelope::new("node-a", 1)).expect("small");
    assert!(a.endpoint.call(to_b, &garbage[..3], TIMEOUT).await.is_err());
    let oversized = a.endpoint.call(to_b, &vec![1; 70_000], TIMEOUT).await;
    assert!(matches!(oversized, Err(PeerError::NoAnswer { .. })), "{oversized:?}");
    a.endpoint.send_datagram(to_b, vec![9; DATAGRAM_LIMIT_BYTES]).await.expect("sent");
    a.call("node-a", to_b).await.expect("the connection stays usable");
    let traffic = b.endpoint.traffic();
    assert_eq!((traffic.wrong_sender, traffic.malformed), (1, 2));
}

/// Guards against an interruption while the deployment key is replaced.
#[tokio::test]
async fn both_keys_are_accepted_during_rotation() {
    let old = DeploymentKey::generate("kaewkla", 1, 365).expect("valid name");
    let new = DeploymentKey::generate("kaewkla", 2, 365).expect("valid name");
    let a = Node::start(&keys(&[&old, &new], &old, "node-a"), any_port());
    let b = Node::start(&keys(&[&old, &new], &new, "node-b"), any_port());
    let c = Node::start(&keys(&[&new], &new, "node-c"), any_port());
    a.call("node-a", b.address()).await.expect("old key is accepted");
    b.call("node-b", a.address()).await.expect("new key is accepted");
    assert!(a.call("node-a", c.address()).await.is_err(), "the old key has been removed");
    a.endpoint.replace_keys(&keys(&[&new], &new, "node-a")).expect("valid keys");
    tokio::time::sleep(Duration::from_millis(200)).await;
    a.call("node-a", c.address()).await.expect("the new key is in use");
}

/// Guards against calls that hang because their connection went silent while new connections work.
#[tokio::test]
async fn silent_connection_is_replaced_in_under_5_s() {
    let (a, b) = pair();
    let (relay, mute) = start_relay(b.address()).await;
    a.call("node-a", relay).await.expect("first connection");
    mute.store(true, Ordering::Relaxed);
    let started = Instant::now();
    a.call("node-a", relay).await.expect("answer on a new connection");
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
    let traffic = a.endpoint.traffic();
    assert_eq!((traffic.silent_connections, traffic.retries), (1, 1), "{traffic:?}");
}

/// Guards against a node that stays unreachable after its process was replaced at the same address.
#[tokio::test]
async fn restarted_peer_is_reached_in_under_5_s() {
    let key = DeploymentKey::generate("kaewkla", 1, 365).expect("valid name");
    let a = Node::start(&keys(&[&key], &key, "node-a"), any_port());
    let b_keys = keys(&[&key], &key, "node-b");
    let b = Node::start(&b_keys, any_port());
    let to_b = b.address();
    a.call("node-a", to_b).await.expect("first process");
    b.endpoint.close().await;
    drop(b);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let _b = Node::start(&b_keys, to_b);
    let started = Instant::now();
    while a.call("node-a", to_b).await.is_err() {
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(started.elapsed() < Duration::from_secs(5));
    }
}

/// Forwards datagrams to `target`. While muted, packets of established connections are dropped for good, and a
/// new handshake ends the muting for the new connection only.
async fn start_relay(target: SocketAddr) -> (SocketAddr, Arc<AtomicBool>) {
    let inside = UdpSocket::bind(any_port()).await.expect("free port");
    let outside = UdpSocket::bind(any_port()).await.expect("free port");
    let address = inside.local_addr().expect("bound");
    let mute = Arc::new(AtomicBool::new(false));
    let muted = mute.clone();
    tokio::spawn(async move {
        let (mut from_client, mut from_target) = ([0; 2048], [0; 2048]);
        let mut clients: BTreeSet<SocketAddr> = BTreeSet::new();
        loop {
            tokio::select! {
                Ok((size, client)) = inside.recv_from(&mut from_client) => {
                    clients.insert(client);
                    let is_handshake = from_client[0] & 0x80 != 0;
                    if is_handshake {
                        muted.store(false, Ordering::Relaxed);
                    }
                    if !muted.load(Ordering::Relaxed) {
                        let _ = outside.send_to(&from_client[..size], target).await;
                    }
                }
                Ok((size, _)) = outside.recv_from(&mut from_target) => {
                    for client in &clients {
                        if !muted.load(Ordering::Relaxed) {
                            let _ = inside.send_to(&from_target[..size], client).await;
                        }
                    }
                }
            }
        }
    });
    (address, mute)
}

/// Guards against a shutdown that waits for peers that are gone: a node of the demo did not end within ten seconds after the
/// two other nodes had.
#[tokio::test]
async fn close_does_not_wait_for_a_silent_peer() {
    let (a, _b) = pair();
    let silent = UdpSocket::bind(any_port()).await.expect("free port");
    let address = silent.local_addr().expect("bound socket");
    let message = Envelope::new("node-a", 1);
    let call = a.endpoint.call_message(address, &message, Duration::from_millis(300)).await;
    assert!(call.is_err(), "a silent peer can't answer");
    let started = Instant::now();
    a.endpoint.close().await;
    assert!(started.elapsed() < Duration::from_secs(2), "closed after {:?}", started.elapsed());
}
