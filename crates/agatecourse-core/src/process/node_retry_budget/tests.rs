use super::*;
use googletest::prelude::*;

/// Bounds of a deployment of 33 nodes.
const LIMITS: RetryLimits =
    RetryLimits { ratio: 0.2, burst: 204.0, window: Duration::from_secs(10) };
const NODES: u64 = 33;
/// Nodes that a process knows before it has heard the others.
const SEEDS: usize = 4;
/// Time after which a process knows all nodes.
const LEARNING_MS: u64 = 400;
/// Time between two requests at a node.
const GAP_MS: u64 = 80;

/// Lets each first attempt in a window ask for as many retries as it gets, while all nodes restart at these times; returns attempts and retries.
fn requests_and_retries(restarts_ms: &[u64]) -> (u64, u64) {
    let (mut requests, mut retries) = (0, 0);
    for node in 0..NODES {
        let mut budget = NodeRetryBudget::new();
        // The first processes have been up for long.
        let mut started_ms = None;
        for now_ms in (node..10_000).step_by(GAP_MS as usize) {
            let last_start = restarts_ms.iter().copied().filter(|start| *start <= now_ms).max();
            if last_start != started_ms {
                (budget, started_ms) = (NodeRetryBudget::new(), last_start);
            }
            let uptime_ms = started_ms.map_or(60_000, |start| now_ms - start);
            let known = if uptime_ms < LEARNING_MS { SEEDS } else { NODES as usize };
            budget.record_attempt(LIMITS, known, Duration::from_millis(uptime_ms));
            requests += 1;
            while budget.try_retry() {
                retries += 1;
            }
        }
    }
    (requests, retries)
}

/// Guards against retries beyond what all nodes together may make (rule BUDGET), because restarted processes take the burst of the deployment for few
/// nodes, or take it again.
#[gtest]
fn restarts_of_all_nodes_give_no_further_retries() {
    for restarts_ms in [&[][..], &[2_000], &[2_000, 6_000], &[1_000, 3_000, 5_000, 7_000, 9_000]] {
        let (requests, retries) = requests_and_retries(restarts_ms);
        let allowed = LIMITS.ratio * requests as f64 + LIMITS.burst;
        expect_that!(retries as f64, le(allowed), "restarts at {:?}", restarts_ms);
    }
}

/// Guards against a node that keeps the share of a small deployment after the others have joined, or never gets its burst.
#[gtest]
fn share_of_the_burst_follows_the_number_of_nodes() {
    let mut budget = NodeRetryBudget::new();
    budget.record_attempt(LIMITS, 4, LIMITS.window);
    budget.record_attempt(LIMITS, 33, LIMITS.window);
    expect_that!((0..100).filter(|_| budget.try_retry()).count(), eq(4));
    let mut alone = NodeRetryBudget::new();
    alone.record_attempt(LIMITS, 1, LIMITS.window);
    expect_that!((0..1_000).filter(|_| alone.try_retry()).count(), eq(153));
}
