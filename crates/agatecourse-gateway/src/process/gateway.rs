use super::document_exchange::{DocumentUploads, NewerDocuments};
use super::gateway_paths::PathStates;
use super::gateway_quota::{Quotas, RecordedUse};
use super::gateway_zones::{ColdBounds, ZoneStates};
use super::{
    Coordinator, CoordinatorAction, Document, DocumentId, Documents, Members, Metrics,
    NodeCapacity, PeerEndpoint, Placement, Rollouts, TimerService,
};
use crate::budget::{BudgetLimits, ResourceBudget, SocketPermit};
use crate::connection::{HeaderNames, TargetPool};
use crate::version::{Deployment, ServiceId, Target};
use agatecourse_core::process::{NodeRetryBudget, RetryLimits};
use agatecourse_core::request::dispatch::{JobNumber, RunReport};
use agatecourse_core::request::{CrashLedger, SuspectKey};
use agatecourse_types::{
    NodeId, RegionId, RouteId, TargetId, ZoneId, rendezvous_owner, stable_hash,
};
use slog::{Logger, info, warn};
use smallvec::SmallVec;
use snafu::Snafu;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, oneshot, watch};

/// Settings of a node; the adapter fills them in before the start.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of the node, unique in the deployment.
    pub node: NodeId,
    /// Address at which the other nodes reach this one.
    pub ip: Ipv4Addr,
    /// Availability zone in which the node runs.
    pub zone: ZoneId,
    /// Region of each availability zone of the deployment.
    pub region_of_zone: BTreeMap<ZoneId, RegionId>,
    /// Address that accepts callers' requests.
    pub caller_address: SocketAddr,
    /// Address for the readiness probes of the load balancer.
    pub ready_address: SocketAddr,
    /// Address that serves metrics and the state dump to operators.
    pub operator_address: SocketAddr,
    /// Port for messages between nodes; the same on all nodes.
    pub peer_port: u16,
    /// Addresses of the nodes that are contacted first to discover the others.
    pub seeds: Vec<Ipv4Addr>,
    /// Length of the sliding window in which quotas are counted.
    pub quota_window: Duration,
    /// Ratio of retries to first attempts that all nodes together may reach per service.
    pub retry_ratio: f64,
    /// Number of retries that all nodes together may accumulate beyond that ratio.
    pub retry_burst: u32,
    /// Length of the sliding window in which retries are counted.
    pub retry_window: Duration,
    /// Ratio by which the use in one window may exceed a quota.
    pub quota_overage: f64,
    /// Amount by which the use in one window may exceed a quota; covers use that other nodes have not reported yet.
    pub quota_slack: u64,
    /// Time from the shutdown signal to the forced termination.
    pub grace: Duration,
    /// True when the whole deployment starts for the first time, so that no quota was used before.
    pub is_first_start: bool,
    /// Bounds of the requests to cold targets; `None` if the deployment states none.
    pub cold_bounds: Option<ColdBounds>,
    /// Class of the VM's processor and link; nodes of the highest class own the queues.
    pub capacity: NodeCapacity,
    /// Bytes per second of the VM's link; `None` if the deployment does not state it.
    pub link_bytes_per_s: Option<f64>,
    /// Memory of the process in MiB.
    pub memory_mb: usize,
    /// Number of descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Start of the process in Unix milliseconds; distinguishes successive processes with the same node name.
    pub started_unix_ms: u64,
}

/// Error that prevents the start of a node.
#[derive(Debug, Snafu)]
pub enum GatewayError {
    /// An address can't be bound.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// Address that could not be bound.
        address: SocketAddr,
        /// Underlying socket error.
        source: std::io::Error,
    },
    /// The metrics can't be registered.
    #[snafu(display("can't register metrics: {source}"))]
    Metrics {
        /// Underlying error of the metrics library.
        source: prometheus::Error,
    },
    /// The signal handlers can't be installed.
    #[snafu(display("can't handle signals: {source}"))]
    Signals {
        /// Underlying error of the operating system.
        source: std::io::Error,
    },
}

/// Weight of the newest request in the moving average of a route's expected response length.
const MEAN_SIZE_WEIGHT: f64 = 0.05;

/// Other targets that are tried to find out whether the links of this node work.
const MAX_CONTROL_TARGETS: usize = 2;

/// Time after a pause of the process for which it may still read what came meanwhile.
const PAUSE_BACKLOG_TIME: Duration = Duration::from_secs(1);

type DocumentHandler = Box<dyn Fn(DocumentId, &Document)>;

/// State shared by the tasks of a node, which all run on one thread.
pub struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) header_names: HeaderNames,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) timers: TimerService,
    pub(crate) pool: RefCell<TargetPool>,
    pub(crate) budget: Rc<ResourceBudget>,
    pub(crate) members: RefCell<Members>,
    pub(crate) documents: RefCell<Documents>,
    pub(crate) peers: PeerEndpoint,
    pub(super) newer_documents: NewerDocuments,
    pub(super) document_uploads: RefCell<DocumentUploads>,
    pub(super) deployment: RefCell<Option<Rc<Deployment>>>,
    pub(super) targets: RefCell<BTreeMap<TargetId, Rc<Target>>>,
    targets_updated: Cell<Instant>,
    /// End of the last pause of the process.
    last_pause_end: Cell<Option<Instant>>,
    pub(super) zones: ZoneStates,
    pub(super) path_states: PathStates,
    pub(super) coordinator: RefCell<Coordinator>,
    placements: RefCell<BTreeMap<JobNumber, oneshot::Sender<Placement>>>,
    pub(super) quotas: RefCell<Quotas>,
    /// Signals the adapter that a request needs a higher quota bound.
    pub(super) bound_wanted: Notify,
    /// Version of the quota bounds; signals requests that wait for a higher one.
    pub(super) bound_changes: watch::Sender<u64>,
    retry_budgets: RefCell<BTreeMap<ServiceId, NodeRetryBudget>>,
    stopping_since: Cell<Option<Instant>>,
    ending: watch::Sender<bool>,
    /// True once the process accepts no callers' connections any more and closes those without a request.
    closing: watch::Sender<bool>,
    caller_connections: Cell<usize>,
    pub(super) is_source_lost: Cell<bool>,
    /// Time of the last answer of the source of documents.
    pub(super) last_source_answer: Cell<Instant>,
    pub(super) relies_on_relays: Cell<bool>,
    /// True if a document has become newer since the last heartbeat, and other nodes wait for it.
    pub(super) has_news: Cell<bool>,
    next_number: Cell<JobNumber>,
    pub(super) started: Instant,
    phase: Cell<usize>,
    pub(super) recorded_use: RefCell<Option<RecordedUse>>,
    /// True once a peer was heard that had started a quota window earlier, so that it knows which nodes share the quotas.
    pub(super) has_heard_settled_peer: Cell<bool>,
    pub(super) crashes: RefCell<CrashLedger>,
    /// Version of the crashes and quarantined keys; signals requests that wait for a target.
    pub(super) crash_changes: watch::Sender<u64>,
    /// Number of times that crash notices were selected; selects others each time.
    pub(super) crash_notice_round: Cell<usize>,
    pub(crate) rollouts: RefCell<Rollouts>,
    mean_tokens: RefCell<BTreeMap<RouteId, f64>>,
    pub(super) document_handler: RefCell<Option<DocumentHandler>>,
}

impl std::fmt::Debug for Gateway {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Gateway").field("node", &self.settings.node).finish_non_exhaustive()
    }
}

impl Gateway {
    /// Creates the state of a node and binds the socket for messages between nodes.
    ///
    /// # Errors
    ///
    /// Returns a [`GatewayError`] when the socket can't be bound or the metrics can't be registered.
    pub fn new(
        settings: GatewaySettings,
        header_names: HeaderNames,
        log: Logger,
    ) -> Result<Rc<Self>, GatewayError> {
        let metrics = Metrics::new().map_err(|source| GatewayError::Metrics { source })?;
        let limits = BudgetLimits::new(settings.memory_mb, settings.max_descriptors);
        let budget = ResourceBudget::new(limits, metrics.budget.refusals.clone());
        let peers = PeerEndpoint::bind(settings.ip, settings.peer_port)?;
        let uploads = DocumentUploads::new(settings.link_bytes_per_s);
        let newer_documents = NewerDocuments::new(settings.ip);
        let now = Instant::now();
        let mut members = Members::new();
        for (index, seed) in
            settings.seeds.iter().enumerate().filter(|(_, seed)| **seed != settings.ip)
        {
            // The name is a placeholder until the first heartbeat of the seed.
            members.add(now, &format!("seed-{index}"), *seed);
        }
        Ok(Rc::new(Self {
            coordinator: RefCell::new(Coordinator::new(settings.node.clone())),
            // The start time in the upper bits keeps the numbers distinct from those of earlier processes of this node.
            next_number: Cell::new(settings.started_unix_ms << 20),
            settings,
            header_names,
            log,
            metrics,
            peers,
            newer_documents,
            document_uploads: RefCell::new(uploads),
            timers: TimerService::new(),
            pool: RefCell::default(),
            budget,
            members: RefCell::new(members),
            documents: RefCell::default(),
            deployment: RefCell::default(),
            targets: RefCell::default(),
            targets_updated: Cell::new(now),
            last_pause_end: Cell::new(None),
            zones: ZoneStates::default(),
            path_states: PathStates::default(),
            placements: RefCell::default(),
            quotas: RefCell::default(),
            bound_wanted: Notify::new(),
            bound_changes: watch::Sender::new(0),
            retry_budgets: RefCell::default(),
            stopping_since: Cell::new(None),
            ending: watch::Sender::new(false),
            closing: watch::Sender::new(false),
            caller_connections: Cell::new(0),
            is_source_lost: Cell::new(true),
            last_source_answer: Cell::new(now),
            relies_on_relays: Cell::new(false),
            has_news: Cell::new(false),
            started: now,
            phase: Cell::new(0),
            recorded_use: RefCell::default(),
            has_heard_settled_peer: Cell::new(false),
            crashes: RefCell::default(),
            crash_changes: watch::Sender::new(0),
            crash_notice_round: Cell::new(0),
            rollouts: RefCell::default(),
            mean_tokens: RefCell::default(),
            document_handler: RefCell::default(),
        }))
    }

    /// Returns the settings that the node was started with.
    pub fn settings(&self) -> &GatewaySettings {
        &self.settings
    }

    /// Returns the root logger of the node.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// Returns the service that runs periodic work of the node.
    pub fn timers(&self) -> &TimerService {
        &self.timers
    }

    /// Makes room for a socket to a target, if need be by closing idle ones; `None` if all sockets are in use.
    pub(crate) fn open_target_socket(&self) -> Option<SocketPermit> {
        if self.budget.is_out_of_sockets() {
            self.pool.borrow_mut().close_idle();
        }
        self.budget.open_target_socket()
    }

    /// Logs how much was refused or given up since the last call for lack of memory or sockets, if anything was.
    pub(crate) fn log_refusals(&self) {
        let refused = self.budget.take_refusal_count();
        if refused > 0 {
            let (callers, targets) = self.budget.sockets();
            warn!(self.log, "memory or sockets were short"; "refused_or_given_up" => refused,
                "held_bytes" => self.budget.held_bytes(), "high_water_bytes" => self.budget.high_water_bytes(),
                "caller_sockets" => callers, "target_sockets" => targets);
        }
    }

    /// Sets the metrics of the budget.
    pub(crate) fn update_budget_metrics(&self) {
        let (callers, targets) = self.budget.sockets();
        self.metrics.budget.held_bytes.set(gauge_value(self.budget.held_bytes()));
        self.metrics.budget.held_bytes_limit.set(gauge_value(self.budget.limits().held_bytes));
        self.metrics.budget.held_bytes_high_water.set(gauge_value(self.budget.high_water_bytes()));
        self.metrics.budget.caller_sockets.set(gauge_value(callers));
        self.metrics.budget.target_sockets.set(gauge_value(targets));
    }

    /// Increments the metric for calls to the platform, by call and result.
    pub fn count_source_call(&self, call: &str, result: &str) {
        self.metrics.source_calls.with_label_values(&[call, result]).inc();
    }

    /// Replaces the active configuration.
    pub fn set_deployment(&self, deployment: Deployment) {
        self.metrics.deployment_version.set(i64::try_from(deployment.version).unwrap_or(i64::MAX));
        let deployment = Rc::new(deployment);
        let before = self.deployment.replace(Some(Rc::clone(&deployment)));
        if before.is_none_or(|before| before.services != deployment.services) {
            self.update_dispatch_targets(Instant::now());
        }
    }

    /// Returns the active configuration, or `None` before the first one.
    pub fn deployment(&self) -> Option<Rc<Deployment>> {
        self.deployment.borrow().clone()
    }

    /// Replaces the list of targets; draining targets receive no new requests.
    pub fn set_targets(&self, now: Instant, targets: Vec<Target>) {
        let usable: Vec<Target> =
            targets.into_iter().filter(|target| !target.is_draining).collect();
        self.metrics.targets.set(gauge_value(usable.len()));
        self.record_cold_targets(now, &usable);
        *self.targets.borrow_mut() =
            usable.into_iter().map(|target| (target.id.clone(), Rc::new(target))).collect();
        self.targets_updated.set(now);
        self.update_dispatch_targets(now);
    }

    /// Returns a target that accepts requests, or `None` if it is unknown or draining.
    pub(crate) fn target(&self, id: &TargetId) -> Option<Rc<Target>> {
        self.targets.borrow().get(id).cloned()
    }

    /// Returns a few other targets that show whether the links of this node work; they differ between nodes, and come from as many services as possible.
    pub(crate) fn control_targets(&self, except: &TargetId) -> SmallVec<[Rc<Target>; 2]> {
        let targets = self.targets.borrow();
        let service = targets.get(except).map(|target| target.service.clone());
        let mut others: Vec<&Rc<Target>> =
            targets.values().filter(|target| target.id != *except).collect();
        others.sort_by_key(|target| {
            let own = self.settings.node.as_bytes();
            let is_same_service = Some(&target.service) == service.as_ref();
            (is_same_service, stable_hash(&[own, target.id.as_bytes()]))
        });
        let last = others.pop().filter(|_| others.len() >= MAX_CONTROL_TARGETS);
        others.truncate(MAX_CONTROL_TARGETS - usize::from(last.is_some()));
        others.into_iter().chain(last).map(Rc::clone).collect()
    }

    /// Returns whether another process is known to have the id or the address of a target.
    pub(crate) fn is_replaced(&self, target: &Target) -> bool {
        let is_other = |known: &Target| {
            let is_same_process = known.id == target.id
                && known.address == target.address
                && known.started_unix_ms == target.started_unix_ms;
            !is_same_process && (known.id == target.id || known.address == target.address)
        };
        self.targets.borrow().values().any(|known| is_other(known))
    }

    /// Records that the process was paused until now, for example frozen.
    pub(super) fn record_pause(&self, now: Instant) {
        self.last_pause_end.set(Some(now));
    }

    /// Returns whether the process was paused and may still read what came meanwhile.
    pub fn was_paused_recently(&self, now: Instant) -> bool {
        let end = self.last_pause_end.get();
        end.is_some_and(|end| now.saturating_duration_since(end) < PAUSE_BACKLOG_TIME)
    }

    /// Returns whether a target is known and accepts requests.
    pub fn has_target(&self, id: &TargetId) -> bool {
        self.targets.borrow().contains_key(id)
    }

    /// Returns whether any target accepts requests.
    pub(crate) fn has_usable_targets(&self) -> bool {
        !self.targets.borrow().is_empty()
    }

    /// Returns the time since the target list was last replaced.
    pub(crate) fn targets_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.targets_updated.get())
    }

    /// Adds a node that is listed in a row of the platform; ignores this node itself.
    pub fn add_member(&self, node: &NodeId, address: Ipv4Addr) {
        if *node != self.settings.node {
            self.members.borrow_mut().add(Instant::now(), node, address);
        }
    }

    /// Returns whether any other node is live.
    pub fn has_live_peers(&self) -> bool {
        !self.members.borrow().live(Instant::now()).is_empty()
    }

    /// Returns the time since the start of the process.
    pub(crate) fn uptime(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Returns the next offset for choosing which nodes a heartbeat lists.
    pub(crate) fn next_phase(&self) -> usize {
        let phase = self.phase.get().wrapping_add(7);
        self.phase.set(phase);
        phase
    }

    /// Returns whether the node is ready: it has a configuration and targets, and is not shutting down.
    pub(crate) fn is_ready(&self) -> bool {
        self.stopping_since.get().is_none()
            && self.deployment.borrow().is_some()
            && self.has_usable_targets()
    }

    /// Marks the node as shutting down, which makes it unready.
    pub(crate) fn begin_shutdown(&self, now: Instant) {
        self.stopping_since.set(Some(now));
    }

    /// Signals all open requests to end, because the process is about to terminate.
    pub(crate) fn end_requests(&self) {
        self.ending.send_replace(true);
    }

    /// Returns whether open requests have been signalled to end.
    pub(crate) fn is_ending(&self) -> bool {
        *self.ending.borrow()
    }

    /// Waits until open requests are signalled to end.
    pub(crate) async fn wait_for_end(&self) {
        let mut ending = self.ending.subscribe();
        // The gateway owns the sender, so the wait can't fail while `self` is borrowed.
        let _ = ending.wait_for(|is_ending| *is_ending).await;
    }

    /// Stops accepting callers' connections and closes those without a request.
    pub(crate) fn close_callers(&self) {
        self.closing.send_replace(true);
    }

    /// Returns whether callers' connections without a request are closed.
    pub(crate) fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }

    /// Waits until callers' connections are closed.
    pub(crate) async fn wait_for_closing(&self) {
        let mut closing = self.closing.subscribe();
        // The gateway owns the sender, so the wait can't fail while `self` is borrowed.
        let _ = closing.wait_for(|is_closing| *is_closing).await;
    }

    /// Returns the number of open callers' connections.
    pub(crate) fn caller_connections(&self) -> usize {
        self.caller_connections.get()
    }

    /// Counts a caller's connection that was opened or closed.
    pub(crate) fn count_caller_connections(&self, change: isize) {
        self.caller_connections.set(self.caller_connections.get().saturating_add_signed(change));
    }

    /// Returns the time at which the shutdown began, or `None` before it.
    pub(crate) fn stopping_since(&self) -> Option<Instant> {
        self.stopping_since.get()
    }

    /// Submits an attempt; returns its number and the receiver of the placement.
    pub(crate) fn submit(
        &self,
        now: Instant,
        service: &ServiceId,
        arrived: Instant,
        job: super::WireJob,
    ) -> (JobNumber, oneshot::Receiver<Placement>) {
        let number = self.next_number.get() + 1;
        self.next_number.set(number);
        let (sender, receiver) = oneshot::channel();
        self.placements.borrow_mut().insert(number, sender);
        let submission = super::Submission { number, service: service.clone(), arrived, job };
        let mut actions = Vec::new();
        self.coordinator.borrow_mut().submit(now, submission, &mut actions);
        self.perform_actions(actions);
        (number, receiver)
    }

    /// Reports the end of an attempt to the owner of its queue.
    pub(crate) fn finish(&self, now: Instant, number: JobNumber, report: RunReport) {
        self.placements.borrow_mut().remove(&number);
        let mut actions = Vec::new();
        self.coordinator.borrow_mut().finish(now, number, report, &mut actions);
        self.perform_actions(actions);
    }

    /// Runs the periodic work of the coordinator.
    pub(crate) fn run_coordinator_timer(&self, now: Instant) {
        let mut actions = Vec::new();
        self.coordinator.borrow_mut().on_timer(now, &mut actions);
        self.perform_actions(actions);
    }

    /// Removes suspects that were found not to crash targets from the queues.
    pub(super) fn clear_queued_suspects(&self, now: Instant, cleared: &[SuspectKey]) {
        let mut actions = Vec::new();
        self.coordinator.borrow_mut().clear_suspects(now, cleared, &mut actions);
        self.perform_actions(actions);
    }

    /// Passes the current list of live nodes to the coordinator.
    pub(crate) fn refresh_members(&self, now: Instant) {
        let members = self.members.borrow();
        let live = members.live(now);
        let own = (self.settings.node.clone(), self.settings.capacity);
        let capacities = members.capacities().map(|(node, capacity)| (node.clone(), capacity));
        self.metrics.members.set(gauge_value(live.len()));
        self.metrics.lost_members.set(gauge_value(members.lost_count()));
        let mut coordinator = self.coordinator.borrow_mut();
        coordinator.set_members(live);
        coordinator.set_capacities(capacities.chain([own]).collect());
    }

    /// Discards the queue state received from peers, which is stale after a pause of the process.
    pub(crate) fn clear_peer_state(&self) {
        self.coordinator.borrow_mut().clear_peer_state();
    }

    /// Passes a message about a queue to the coordinator.
    pub(crate) fn on_queue_message(
        &self,
        now: Instant,
        from: &NodeId,
        message: super::PeerMessage,
    ) {
        let mut actions = Vec::new();
        self.coordinator.borrow_mut().on_message(now, from, message, &mut actions);
        self.perform_actions(actions);
    }

    /// Returns whether this node performs a duty of the whole deployment, which belongs to the live node that ranks first by
    /// rendezvous hash.
    pub fn is_duty_owner(&self, now: Instant, duty: &str) -> bool {
        let mut nodes = self.members.borrow().live(now);
        nodes.push(self.settings.node.clone());
        let owner = rendezvous_owner(duty, nodes.iter().map(String::as_str));
        owner == Some(self.settings.node.as_str())
    }

    /// Updates the moving average of a route's expected response length and returns `expected_tokens` relative to it.
    pub(crate) fn relative_size(&self, route: &RouteId, expected_tokens: u32) -> f32 {
        let mut means = self.mean_tokens.borrow_mut();
        let mean = means.entry(route.clone()).or_insert(f64::from(expected_tokens));
        *mean += MEAN_SIZE_WEIGHT * (f64::from(expected_tokens) - *mean);
        (f64::from(expected_tokens) / mean.max(1.0)) as f32
    }

    /// Returns the number of nodes that share quotas and budgets: this one, the known ones, and the lost ones that may be live behind a partition.
    pub fn node_count(&self) -> usize {
        let members = self.members.borrow();
        members.addresses().count() + members.lost_with_share(Instant::now()).count() + 1
    }

    /// Credits a first attempt to the retry budget of a service.
    pub(crate) fn record_first_attempt(&self, service: &ServiceId) {
        let nodes = self.node_count();
        let settings = &self.settings;
        let limits = RetryLimits {
            ratio: settings.retry_ratio,
            burst: f64::from(settings.retry_burst),
            window: settings.retry_window,
        };
        let uptime = self.uptime(Instant::now());
        let idle_before = if settings.is_first_start { Duration::MAX } else { uptime };
        self.retry_budgets
            .borrow_mut()
            .entry(service.clone())
            .or_insert_with(|| {
                info!(self.log, "retry budget created"; "service" => service, "nodes" => nodes,
                    "first_start" => settings.is_first_start, "uptime_ms" => uptime.as_millis() as u64);
                // The series exist from the start, so that a rate shows the first refusal.
                for result in ["granted", "refused"] {
                    self.metrics.retries.with_label_values(&[service.as_str(), result]).inc_by(0);
                }
                NodeRetryBudget::new()
            })
            .record_attempt(limits, nodes, idle_before);
    }

    /// Takes a retry from the budget of a service; returns false if the budget is exhausted.
    pub(crate) fn try_retry(&self, service: &ServiceId) -> bool {
        let is_granted =
            self.retry_budgets.borrow_mut().entry(service.clone()).or_default().try_retry();
        let result = if is_granted { "granted" } else { "refused" };
        self.metrics.retries.with_label_values(&[service.as_str(), result]).inc();
        is_granted
    }

    /// Returns the state of the node as JSON for the state dump.
    pub(crate) fn dump(&self, now: Instant) -> serde_json::Value {
        let (waiting, running) = self.coordinator.borrow().counts();
        let deployment = self.deployment();
        serde_json::json!({
            "node": self.settings.node,
            "zone": self.settings.zone,
            "ready": self.is_ready(),
            "stopping": self.stopping_since.get().is_some(),
            "source_lost": self.is_source_lost.get(),
            "documents": self.documents.borrow().versions().collect::<BTreeMap<_, _>>(),
            "document_lag_ms": self.newer_documents.lag(now).as_millis() as u64,
            "upload_backlog_ms": self.upload_backlog(now).as_millis() as u64,
            "source_answer_age_ms": self.source_answer_age(now).as_millis() as u64,
            "deployment_version": deployment.as_ref().map(|deployment| deployment.version),
            "routes": deployment.as_ref().map(|deployment| deployment.route_count()),
            "targets": self.targets.borrow().len(),
            "targets_age_ms": self.targets_age(now).as_millis() as u64,
            "members": self.members.borrow().live(now),
            "lost_members": self.members.borrow().lost_count(),
            "cut_off": self.is_cut_off(),
            "served_tunnels": self.served_tunnels(),
            "evacuated_zones": self.evacuated_zones(),
            "cold_targets": self.cold_target_count(now),
            "waiting": waiting,
            "running": running,
            "queues": self.coordinator.borrow().snapshot(),
            "unexplained_crashes": self.crashes.borrow().sizes().0,
            "quarantined_keys": self.crashes.borrow().sizes().1,
        })
    }

    /// Sends a message to nodes; a message that its receivers can't decode is counted and logged in place of being sent.
    pub(super) fn send_to_peers(
        &self,
        to: impl IntoIterator<Item = Ipv4Addr>,
        message: super::PeerMessage,
    ) {
        let kind = message.kind();
        if let Err(bytes) = self.peers.send(&self.settings.node, to, message) {
            self.metrics.peer_messages.with_label_values(&["too_long"]).inc();
            if self.peers.may_log(Instant::now()) {
                warn!(self.log, "message to nodes is too long"; "kind" => kind, "bytes" => bytes);
            }
        }
    }

    pub(super) fn perform_actions(&self, actions: Vec<CoordinatorAction>) {
        for action in actions {
            match action {
                CoordinatorAction::Send { to, message } => {
                    let address = self.members.borrow().address(&to);
                    if let Some(address) = address {
                        self.send_to_peers([address], message);
                        self.metrics.peer_messages.with_label_values(&["sent"]).inc();
                    }
                }
                CoordinatorAction::Place { number, placement } => {
                    let waiting = self.placements.borrow_mut().remove(&number);
                    if let Some(sender) = waiting {
                        // The receiver is dropped if the caller has just disconnected; its attempt guard reports the end.
                        let _ = sender.send(placement);
                    }
                }
                CoordinatorAction::OwnerChanged { queue, from, to } => {
                    self.metrics.owner_changes.inc();
                    let members = self.metrics.members.get();
                    info!(self.log, "queue owner changed"; "queue" => queue, "from" => from, "to" => to,
                        "members" => members);
                }
            }
        }
    }
}

/// Converts a count to a gauge value; saturates at `i64::MAX`.
pub(super) fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
