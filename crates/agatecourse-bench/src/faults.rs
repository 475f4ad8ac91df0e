//! Bench `faults`: nine real nodes under pairs of injected faults, with a check of the nine invariants.

use crate::process::{FaultInjector, FaultKind, LoadClient, now_us};
use crate::request::{CallerOperation, OperationEnd, OperationKind};
use crate::seeded_rng::SeededRng;
use agatecourse_demo::{Deployment, DeploymentSettings};
use agatecourse_history::checks::INVARIANTS;
use agatecourse_history::{CheckLimits, HistoryEvent, Record, Violation, check_all, read_history};
use agatecourse_types::{RequestId, RunState, format_request_id, parse_request_id};
use futures_util::future::join_all;
use serde::Serialize;
use snafu::{ResultExt, Whatever, whatever};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt;
use std::fs::File;
use std::io::BufReader;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const NODES: usize = 9;
const ANSWERS: &str = include_str!("../../../examples/kaewkla/answers.ini");
const API_KEYS: [&str; 2] = ["demo-bangkok-desk", "demo-chiang-mai-desk"];
/// Operations started per second; below the rate limits of the two organisations (70/s together), so that retries fit.
const RATE_PER_S: f64 = 36.0;
/// Duration of the load.
const LOAD_TIME: Duration = Duration::from_secs(34);
/// Pause before each pair of faults.
const FAULT_PAUSE: Duration = Duration::from_secs(1);
/// Timeout of one attempt, after which a caller retries through another node.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time from the first attempt within which a response is on time.
const ON_TIME: Duration = Duration::from_secs(10);
/// Fraction of the operations that carry the marker which crashes engines while a crash fault is active.
const CRASHING_SHARE: f64 = 0.02;
/// Maximum number of violations in the result.
const MAX_REPORTED_VIOLATIONS: usize = 20;

/// Result of the bench `faults`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FaultsResult {
    /// Name of the bench, `faults`.
    pub name: &'static str,
    /// Seed of the load and of the faults.
    pub seed: u64,
    /// Number of node processes.
    pub nodes: usize,
    /// Operations started per second.
    pub offered_per_s: f64,
    /// Duration of the load in seconds.
    pub load_s: f64,
    /// Time from the first attempt within which a response is on time, in seconds.
    pub on_time_s: f64,
    /// Number of operations, each sent up to five times with the same idempotency key.
    pub requests: usize,
    /// Number of injected faults by kind.
    pub faults: BTreeMap<FaultKind, usize>,
    /// Number of engines that a request with the crash marker crashed.
    pub crashed_engines: usize,
    /// Number of violations by invariant; invariants without violations are listed with 0.
    pub violations: BTreeMap<&'static str, usize>,
    /// Number of operations whose callers don't know whether they ran.
    pub unknown_outcomes: usize,
    /// Number of operations that ended with a refusal stating that they did not run.
    pub refused_not_run: usize,
    /// Fraction of the idempotent operations answered on time, excluding those that crash engines.
    pub on_time_ratio: f64,
    /// Fraction of the non-idempotent operations answered on time.
    pub on_time_ratio_not_idempotent: f64,
    /// Number of records in the merged history of nodes, targets, callers and faults.
    pub records: usize,
    /// Number of executions on the targets.
    pub runs: usize,
    /// Up to 20 violations with the records that show them.
    pub offending: Vec<Violation>,
}

/// Operations with their results.
type EndedOperations = Vec<(CallerOperation, OperationEnd)>;

/// Runs the load under injected faults and checks the merged history.
///
/// # Errors
///
/// Returns an error when a process does not start, a fault can't be injected or a history can't be read.
pub async fn faults(seed: u64) -> Result<FaultsResult, Whatever> {
    let settings = DeploymentSettings::from_answers(NODES, ANSWERS);
    let settings = settings.whatever_context("reading the answers")?.with_history();
    let deployment = Deployment::start(settings).await;
    let mut deployment = deployment.whatever_context("starting the deployment")?;
    let nodes: Vec<SocketAddr> = deployment.nodes().into_iter().map(|node| node.1).collect();
    let accepted_us = now_us();
    let is_load_over = Cell::new(false);
    let mut injector = FaultInjector::new(&mut deployment, seed);
    let inject_faults = async {
        while !is_load_over.get() {
            actix_rt::time::sleep(FAULT_PAUSE).await;
            injector.inject_pair().await?;
        }
        Ok::<(), String>(())
    };
    let load = async {
        let ended = start_operations(seed, &nodes).await;
        is_load_over.set(true);
        ended
    };
    let (injected, operations) = futures_util::join!(inject_faults, load);
    let (records, faults) = injector.finish();
    if let Err(detail) = injected {
        whatever!("{detail}");
    }
    let ended: EndedOperations =
        join_all(operations).await.into_iter().filter_map(Result::ok).collect();
    let mut history = read_histories(&deployment)?;
    history.extend(records);
    let accepted = HistoryEvent::ConfigAccepted { version: 1 };
    history.push(Record::new(accepted_us, "bench", accepted));
    let runs = add_target_and_caller_records(&mut history, &deployment, &ended);
    history.sort_by_key(|record| record.at_us);
    Ok(summarise(seed, &history, &ended, faults, runs))
}

/// Starts operations at a fixed rate (open loop), independent of the completion of earlier ones.
async fn start_operations(
    seed: u64,
    nodes: &[SocketAddr],
) -> Vec<actix_rt::task::JoinHandle<(CallerOperation, OperationEnd)>> {
    let clients = API_KEYS.map(|key| LoadClient::new(key).with_timeout(ATTEMPT_TIMEOUT));
    let mut rng = SeededRng::new(seed, 0);
    let start = Instant::now();
    let count = (RATE_PER_S * LOAD_TIME.as_secs_f64()) as usize;
    let mut operations = Vec::with_capacity(count);
    for number in 0..count {
        let due = start + Duration::from_secs_f64(number as f64 / RATE_PER_S);
        actix_rt::time::sleep_until(due.into()).await;
        let weights = [0.4, 0.4, 0.2 - CRASHING_SHARE, CRASHING_SHARE];
        let kind = match rng.weighted_index(weights.into_iter()) {
            0 => OperationKind::Order,
            1 => OperationKind::Stock,
            2 => OperationKind::Note,
            _ => OperationKind::Crashing,
        };
        let operation = CallerOperation::new(kind, number);
        let (client, nodes) = (clients[number % clients.len()].clone(), nodes.to_vec());
        operations.push(actix_rt::spawn(async move {
            let end = operation.run_with_retries(&client, &nodes).await;
            (operation, end)
        }));
    }
    operations
}

/// Reads and joins the history files of all nodes.
fn read_histories(deployment: &Deployment) -> Result<Vec<Record>, Whatever> {
    let mut history = Vec::new();
    for node in 0..NODES {
        let file = File::open(deployment.history_file(node));
        let file = file.whatever_context("opening a node's history")?;
        let records = read_history(BufReader::new(file));
        history.extend(records.whatever_context("reading a node's history")?);
    }
    Ok(history)
}

/// Adds records of the executions on the targets, of the responses that they produced and of the responses that callers
/// received; returns the number of executions.
fn add_target_and_caller_records(
    history: &mut Vec<Record>,
    deployment: &Deployment,
    ended: &EndedOperations,
) -> usize {
    let operations: BTreeMap<&str, &CallerOperation> =
        ended.iter().map(|(operation, _)| (operation.key(), operation)).collect();
    let by_request: BTreeMap<RequestId, &CallerOperation> = history
        .iter()
        .filter_map(|record| match &record.event {
            HistoryEvent::Accepted { request_id, key: Some(key), .. } => {
                let key = key.rsplit('/').next()?;
                Some((*request_id, *operations.get(key)?))
            }
            _ => None,
        })
        .collect();
    let (mut runs, mut produced_by_hash) = (0, BTreeMap::new());
    for target in deployment.targets() {
        for (text, at_us) in target.run_times() {
            let Ok(request_id) = parse_request_id(&text) else { continue };
            let name = target.name();
            runs += 1;
            let ran = HistoryEvent::Ran { request_id, target: name.to_string() };
            history.push(Record::new(at_us, name, ran));
            if let Some(operation) = by_request.get(&request_id) {
                let answer_hash = operation.expected_hash(&format_request_id(request_id));
                produced_by_hash.insert(answer_hash, request_id);
                let produced = HistoryEvent::Produced { request_id, answer_hash };
                history.push(Record::new(at_us, name, produced));
            }
        }
    }
    for (operation, end) in ended {
        let Some(answer) = &end.answer else { continue };
        let (answer_hash, named) = operation.received_hash(answer);
        let request_id = parse_request_id(&answer.request_id).unwrap_or_default();
        let named = named.and_then(|id| parse_request_id(&id).ok());
        let produced_by = named.or_else(|| produced_by_hash.get(&answer_hash).copied());
        let produced_by = produced_by.unwrap_or(request_id);
        let delivered =
            HistoryEvent::Delivered { request_id, produced_by, answer_hash, whole: true };
        history.push(Record::new(end.at_us, "caller", delivered));
    }
    runs
}

fn summarise(
    seed: u64,
    history: &[Record],
    ended: &EndedOperations,
    faults: BTreeMap<FaultKind, usize>,
    runs: usize,
) -> FaultsResult {
    let mut offending = check_all(history, &CheckLimits::default());
    let count = |name| offending.iter().filter(|violation| violation.invariant == name).count();
    let violations = INVARIANTS.into_iter().map(|name| (name, count(name))).collect();
    offending.truncate(MAX_REPORTED_VIOLATIONS);
    let is_target_death =
        |record: &&Record| matches!(record.event, HistoryEvent::TargetDied { .. });
    let crashed_engines = history.iter().filter(is_target_death).count();
    let count_unanswered = |run: RunState| {
        ended.iter().filter(|(_, end)| end.answer.is_none() && end.run == run).count()
    };
    let refused_not_run = count_unanswered(RunState::No);
    let answered = ended.iter().filter(|(_, end)| end.answer.is_some()).count();
    FaultsResult {
        name: "faults",
        seed,
        nodes: NODES,
        offered_per_s: RATE_PER_S,
        load_s: LOAD_TIME.as_secs_f64(),
        on_time_s: ON_TIME.as_secs_f64(),
        requests: ended.len(),
        faults,
        crashed_engines,
        violations,
        unknown_outcomes: ended.len() - answered - refused_not_run,
        refused_not_run,
        on_time_ratio: compute_on_time_ratio(ended, &[OperationKind::Stock, OperationKind::Note]),
        on_time_ratio_not_idempotent: compute_on_time_ratio(ended, &[OperationKind::Order]),
        records: history.len(),
        runs,
        offending,
    }
}

/// Returns the fraction of the operations of the given kinds that were answered on time.
fn compute_on_time_ratio(ended: &EndedOperations, kinds: &[OperationKind]) -> f64 {
    let counted: Vec<&OperationEnd> = ended
        .iter()
        .filter(|(operation, _)| kinds.contains(&operation.kind))
        .map(|(_, end)| end)
        .collect();
    let on_time = counted.iter().filter(|end| end.answer.is_some() && end.elapsed <= ON_TIME);
    on_time.count() as f64 / counted.len().max(1) as f64
}

impl fmt::Display for FaultsResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { requests, nodes, records, runs, unknown_outcomes, refused_not_run, .. } = self;
        writeln!(formatter, "{requests} requests, {nodes} nodes, {records} records, {runs} runs")?;
        for (kind, count) in &self.faults {
            writeln!(formatter, "fault {:<28}{count:>6}", format!("{kind:?}"))?;
        }
        for (invariant, count) in &self.violations {
            writeln!(formatter, "violations of {invariant:<20}{count:>6}")?;
        }
        for violation in &self.offending {
            writeln!(formatter, "{violation}")?;
        }
        write!(
            formatter,
            "unknown {unknown_outcomes}, refused and not run {refused_not_run}; on time: idempotent {:.2}%, \
             not idempotent {:.2}%",
            self.on_time_ratio * 100.0,
            self.on_time_ratio_not_idempotent * 100.0,
        )
    }
}
