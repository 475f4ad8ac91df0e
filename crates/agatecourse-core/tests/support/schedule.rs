use proptest::collection::vec;
use proptest::prelude::*;

/// Number of nodes in a simulated deployment.
pub const NODES: usize = 4;
/// Period from the start of the run in which faults begin and most requests are sent.
pub const FAULT_WINDOW_MS: u64 = 12_000;

/// Fault that a schedule injects into the simulation.
#[derive(Debug, Clone)]
pub enum Fault {
    /// A node crashes and restarts with empty state after `down_ms`.
    Kill { node: usize, down_ms: u64 },
    /// A node is paused; events that reach it are deferred until it resumes.
    Pause { node: usize, pause_ms: u64 },
    /// The table is unavailable and rejects all requests.
    TableOutage { outage_ms: u64 },
    /// Requests reach the table with increased latency.
    TableSlow { slow_ms: u64, latency_ms: u64 },
    /// Half of the table's responses are lost; some of these requests are applied up to about 4 s later.
    LostAnswers { lost_ms: u64 },
    /// Messages from and to a node are dropped.
    CutOff { node: usize, cut_ms: u64 },
    /// A node sees all others as dead, so several nodes claim the same shard.
    FalseView { node: usize, false_ms: u64 },
}

/// Request of a caller to an entry node.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    pub at_ms: u64,
    pub node: usize,
    pub key: usize,
    pub deadline_ms: u64,
}

/// Complete input of a simulated run, which is deterministic.
#[derive(Debug, Clone)]
pub struct Schedule {
    pub seed: u64,
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    pub longest_delay_ms: u64,
    pub faults: Vec<(u64, Fault)>,
    pub caller_requests: Vec<CallerRequest>,
}

fn fault() -> impl Strategy<Value = Fault> {
    let node = 0..NODES;
    let span = 200_u64..8_000;
    prop_oneof![
        (node.clone(), span.clone()).prop_map(|(node, down_ms)| Fault::Kill { node, down_ms }),
        (node.clone(), span.clone()).prop_map(|(node, pause_ms)| Fault::Pause { node, pause_ms }),
        span.clone().prop_map(|outage_ms| Fault::TableOutage { outage_ms }),
        (span.clone(), 50_u64..2_500)
            .prop_map(|(slow_ms, latency_ms)| Fault::TableSlow { slow_ms, latency_ms }),
        span.clone().prop_map(|lost_ms| Fault::LostAnswers { lost_ms }),
        (node.clone(), span.clone()).prop_map(|(node, cut_ms)| Fault::CutOff { node, cut_ms }),
        (node, span).prop_map(|(node, false_ms)| Fault::FalseView { node, false_ms }),
    ]
}

fn caller_request() -> impl Strategy<Value = CallerRequest> {
    (0..FAULT_WINDOW_MS + 6_000, 0..NODES, 0_usize..12, 200_u64..6_000)
        .prop_map(|(at_ms, node, key, deadline_ms)| CallerRequest { at_ms, node, key, deadline_ms })
}

/// Generates schedules with two to six faults and a network that loses, duplicates and reorders messages.
pub fn schedule() -> impl Strategy<Value = Schedule> {
    (
        any::<u64>(),
        0_u64..30,
        0_u64..30,
        2_u64..400,
        vec((0..FAULT_WINDOW_MS, fault()), 2..=6),
        vec(caller_request(), 20..80),
    )
        .prop_map(
            |(seed, loss_percent, duplicate_percent, longest_delay_ms, faults, caller_requests)| {
                Schedule {
                    seed,
                    loss_percent,
                    duplicate_percent,
                    longest_delay_ms,
                    faults,
                    caller_requests,
                }
            },
        )
}
