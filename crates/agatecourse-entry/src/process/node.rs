use crate::process::{
    Actors, GroupActor, HistoryLog, JournalActor, LiveNodes, Metrics, NodeGroup, NodeState,
    PoolActor, PoolSchedulers, SnapshotJournal, TargetWatcher, TimerService, create_logger, now_us,
    operator_api, peer_handler,
};
use crate::request;
use actix::{Actor, Addr, Arbiter};
use actix_web::dev::{Server, ServerHandle};
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpServer};
use agatecourse_config::NodeSettings;
use agatecourse_core::process::MembershipEvent;
use agatecourse_history::HistoryEvent;
use agatecourse_peer::{KeyError, NodeKeys, PeerEndpoint, PeerError};
use agatecourse_platform::TableClient;
use agatecourse_types::Incarnation;
use slog::{Logger, info, warn};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);
// Two workers handle the load of an entry VM. The kept-alive connections to each target are divided among the workers,
// so more workers would reuse them less.
const CALLER_WORKERS: usize = 2;
// All responses are complete when the servers stop, so this only bounds the closing of idle connections.
const SERVER_STOP_TIMEOUT_S: u64 = 1;
// Enough for a commit and one retry; an unavailable table must not block the shutdown.
const JOURNAL_FLUSH_TIMEOUT: Duration = Duration::from_secs(3);
const JOURNAL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Reports why a node can't start.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// An address can't be bound.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system, such as an address in use.
        source: std::io::Error,
    },
    /// The history file can't be opened.
    #[snafu(display("can't open the history file: {source}"))]
    History {
        /// Error of the operating system, such as a missing directory.
        source: std::io::Error,
    },
    /// The deployment certificates, the node certificate or the node key can't be loaded.
    #[snafu(display("can't use the node's keys: {source}"))]
    Keys {
        /// Names the file and what is wrong with it.
        source: KeyError,
    },
    /// The address for messages between nodes can't be opened.
    #[snafu(display("can't open the peer address: {source}"))]
    Peer {
        /// Error of the endpoint, such as an address in use.
        source: PeerError,
    },
    /// A metric can't be registered.
    #[snafu(display("can't register metrics: {source}"))]
    Metrics {
        /// Error of the metrics library, such as a duplicate name.
        source: prometheus::Error,
    },
}

/// A running entry node.
///
/// It must be started inside an actix system; its actors and servers run on their own threads.
pub struct Node {
    pub(super) state: Arc<NodeState>,
    callers: ServerHandle,
    operators: ServerHandle,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
}

impl Node {
    /// Opens the addresses of the settings and starts the actors and servers of a node.
    ///
    /// # Errors
    ///
    /// Returns a [`NodeError`] when an address or the history file can't be opened, when the keys can't be loaded, or
    /// when a metric can't be registered.
    pub fn start(settings: NodeSettings) -> Result<Self, NodeError> {
        let incarnation = now_us();
        let log = create_logger(&settings.name);
        let history =
            HistoryLog::open(settings.history_file.as_deref(), &settings.name, incarnation)
                .context(HistorySnafu)?;
        let metrics = Metrics::new().context(MetricsSnafu)?;
        let arbiter = Arbiter::new().handle();
        let timer = TimerService::start_in_arbiter(&arbiter, |_| TimerService);
        let pool_timer = timer.clone();
        let history = Arc::new(history);
        let pools = Arc::new(PoolSchedulers::new(pool_timer, history.clone()));
        let actor_pools = pools.clone();
        PoolActor::start_in_arbiter(&arbiter, |_| PoolActor(actor_pools));
        let journal = start_journal(&settings, incarnation, &log, &timer);
        let actors = Actors { pools, journal, config_tasks: arbiter.clone() };
        let state = Arc::new(NodeState::new(settings, incarnation, log, history, metrics, actors));
        open_endpoint(&state)?;
        let group_state = state.clone();
        let watcher_arguments = (state.clone(), timer.clone());
        GroupActor::start_in_arbiter(&arbiter, |_| GroupActor::new(group_state, timer));
        TargetWatcher::start_in_arbiter(&arbiter, |_| {
            TargetWatcher::new(watcher_arguments.0, watcher_arguments.1)
        });
        let caller_state = state.clone();
        let configure =
            move |config: &mut ServiceConfig| request::configure_routes(config, &caller_state);
        let (callers, caller_address) =
            start_server(state.settings.caller_address, CALLER_WORKERS, configure)?;
        let operator_state = state.clone();
        let configure =
            move |config: &mut ServiceConfig| operator_api::configure(config, &operator_state);
        let (operators, operator_address) =
            start_server(state.settings.operator_address, 1, configure)?;
        let handles = (callers.handle(), operators.handle());
        actix_web::rt::spawn(callers);
        actix_web::rt::spawn(operators);
        let subject = state.settings.name.clone();
        state.history.write(|| HistoryEvent::NodeReady { subject });
        info!(state.log, "node started"; "callers" => caller_address.to_string(),
            "operators" => operator_address.to_string());
        Ok(Self {
            state,
            callers: handles.0,
            operators: handles.1,
            caller_address,
            operator_address,
        })
    }

    /// Returns the address for callers, with the port that the system assigned if the settings have port 0.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address for operators, with the port that the system assigned if the settings have port 0.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Refuses new requests, waits until the running ones have ended and their outcomes are recorded, and stops.
    ///
    /// The wait for the requests is bounded by the longest default deadline of a tier.
    pub async fn shut_down(self) {
        let subject = self.state.settings.name.clone();
        self.state.history.write(|| HistoryEvent::ShutdownBegan { subject: subject.clone() });
        info!(self.state.log, "shutting down"; "running" => self.state.gate.running());
        self.state.gate.close();
        self.state.group().member_event(&self.state, MembershipEvent::Leave);
        let longest = self
            .state
            .view()
            .and_then(|view| view.config.tiers.values().map(|tier| tier.deadline).max())
            .unwrap_or_default();
        if tokio::time::timeout(longest, self.state.gate.wait_idle()).await.is_err() {
            warn!(self.state.log, "requests still run after the longest deadline";
                "running" => self.state.gate.running());
        }
        self.wait_for_journal().await;
        if let Some(endpoint) = self.state.cluster.endpoint() {
            endpoint.close().await;
        }
        self.callers.stop(true).await;
        self.operators.stop(true).await;
        self.state.history.write(|| HistoryEvent::ShutdownEnded { subject });
        info!(self.state.log, "stopped");
    }

    /// Waits until the outcomes of this node's requests are durable.
    ///
    /// The wait is bounded, because a successor treats an outcome that was not recorded as unknown.
    async fn wait_for_journal(&self) {
        let end = Instant::now() + JOURNAL_FLUSH_TIMEOUT;
        while Instant::now() < end {
            let dump = self.state.journal.send(SnapshotJournal).await.unwrap_or_default();
            if dump.open_requests == 0 {
                return;
            }
            tokio::time::sleep(JOURNAL_POLL_INTERVAL).await;
        }
        warn!(self.state.log, "outcomes could not be recorded before the shutdown");
    }
}

/// Starts the journal on its own thread, so that the schedulers can't delay its timers.
fn start_journal(
    settings: &NodeSettings,
    incarnation: Incarnation,
    log: &Logger,
    timer: &Addr<TimerService>,
) -> Addr<JournalActor> {
    let (node, address) = (settings.name.clone(), settings.table_address);
    let (log, timer) = (log.clone(), timer.clone());
    JournalActor::start_in_arbiter(&Arbiter::new().handle(), move |_| {
        JournalActor::new(node, incarnation, TableClient::new(address), timer, log)
    })
}

/// Opens the endpoint for messages between nodes and creates the node group with its address.
fn open_endpoint(state: &Arc<NodeState>) -> Result<(), NodeError> {
    let settings = &state.settings;
    let keys = NodeKeys::load(
        &settings.deployment_certificates,
        &settings.node_certificate,
        &settings.node_key,
    )
    .context(KeysSnafu)?;
    let handler_state = state.clone();
    let handler = move |incoming| peer_handler::handle(handler_state.clone(), incoming);
    let endpoint = PeerEndpoint::bind(settings.peer_address, &keys, handler).context(PeerSnafu)?;
    let address = settings.peer_address;
    let bound = endpoint.local_address().context(ListenSnafu { address })?;
    state.cluster.set_live(LiveNodes::from([(settings.name.clone(), bound)]));
    state.set_group(NodeGroup::new(settings, bound, state.incarnation));
    state.cluster.set_endpoint(endpoint);
    let seeds = MembershipEvent::Seeds(settings.seeds.clone());
    state.group().member_event(state, seeds);
    Ok(())
}

/// Creates an HTTP server with the timeouts that are common to callers and operators, and returns its bound address.
fn start_server<C>(
    address: SocketAddr,
    workers: usize,
    configure: C,
) -> Result<(Server, SocketAddr), NodeError>
where
    C: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let server = HttpServer::new(move || App::new().configure(configure.clone()))
        .workers(workers)
        // Cancels the handler of a request as soon as its caller disconnects.
        .h1_allow_half_closed(false)
        // Stream chunks are small, and Nagle's algorithm would delay each of them.
        .tcp_nodelay(true)
        .client_request_timeout(REQUEST_HEAD_TIMEOUT)
        .keep_alive(KEEP_ALIVE_TIMEOUT)
        .shutdown_timeout(SERVER_STOP_TIMEOUT_S)
        .disable_signals()
        .bind(address)
        .context(ListenSnafu { address })?;
    let bound = server.addrs().first().copied().unwrap_or(address);
    Ok((server.run(), bound))
}

#[cfg(test)]
pub(super) mod tests;
