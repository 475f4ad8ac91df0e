//! Example of the scheduler without I/O: the pool owner grants a free slot to the request of the higher tier first.
//!
//! One engine runs one request at a time. The third request has the higher tier (0) and is granted before the second.

use agatecourse::core::request::scheduler::{PoolAction, PoolEvent, PoolScheduler, TargetSpec};
use agatecourse::types::Tier;
use agatecourse::wire::request::{DispatchOutcome, Finished, Ticket};
use std::time::{Duration, Instant};

/// Returns a ticket for a request, which is due in one minute.
fn new_ticket(request_id: u128, tier: Tier) -> Ticket {
    Ticket {
        request_id,
        route: "quotes".to_string(),
        organisation: "branch".to_string(),
        tier,
        deadline_in: Duration::from_mins(1),
        read_tokens: 200,
        write_tokens: 100,
        prefix_hashes: Vec::new().into(),
        prefix_block_tokens: 64,
        share_slot: 0,
        suspect: None,
    }
}

/// Returns the report of a completed request.
fn new_finished(request_id: u128) -> Finished {
    Finished {
        request_id,
        target: "engine-1".to_string(),
        version: "v1".to_string(),
        outcome: DispatchOutcome::Completed,
        read_tokens: 200,
        cached_tokens: 0,
        written_tokens: 100,
        first_token: Some(Duration::from_millis(100)),
        elapsed: Duration::from_secs(2),
    }
}

/// Removes all actions and prints the grants among them.
fn print_grants(actions: &mut Vec<PoolAction>) {
    for action in actions.drain(..) {
        if let PoolAction::Grant { grant, .. } = action {
            println!("request {} runs on {}: {}", grant.request_id, grant.target, grant.reason);
        }
    }
}

fn main() {
    let now = Instant::now();
    let engine = TargetSpec::new("engine-1", "v1").with_concurrency(1);
    let mut scheduler = PoolScheduler::new("quotes/0", 1).with_targets(now, vec![engine]);
    let mut actions = Vec::new();
    for (request_id, tier) in [(1, 1), (2, 1), (3, 0)] {
        let event =
            PoolEvent::Submit { node: "node-a".to_string(), ticket: new_ticket(request_id, tier) };
        scheduler.on_event(now, event, &mut actions);
    }
    print_grants(&mut actions);
    let later = now + Duration::from_secs(2);
    scheduler.on_event(later, PoolEvent::Finished(new_finished(1)), &mut actions);
    print_grants(&mut actions);
}
