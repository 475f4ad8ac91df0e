//! State machines that run for the whole life of a node process: membership, alerts and configuration.

mod alert_event;
mod alert_set;
mod alert_table;
mod back_off;
mod config_event;
mod config_follower;
mod member_table;
mod membership;
mod membership_event;
mod memory_table;
mod node_retry_budget;
mod owner_assignment;
mod prober;
mod retry_budget;
mod retry_limits;

pub use alert_event::{AlertAction, AlertEvent};
pub use alert_set::AlertSet;
pub use back_off::BackOff;
pub(crate) use back_off::jittered;
pub use config_event::{ConfigAction, ConfigEvent};
pub use config_follower::ConfigFollower;
pub use membership::Membership;
pub use membership_event::{MembershipAction, MembershipEvent, MembershipSnapshot, VmObservation};
pub use memory_table::MemoryTable;
pub use node_retry_budget::NodeRetryBudget;
pub use owner_assignment::OwnerAssignment;
pub use retry_budget::RetryBudget;
pub use retry_limits::RetryLimits;

/// Returns how often an update is gossiped so that it reaches `nodes` nodes with high probability.
pub(crate) fn gossip_send_count(nodes: usize) -> u32 {
    (3.0 * (nodes as f64 + 1.0).log2()).ceil() as u32
}

/// Returns up to `count` random items, without replacement and in random order.
pub(crate) fn sample<T: Clone>(
    items: &[T],
    count: usize,
    rng: &mut rand_chacha::ChaCha8Rng,
) -> smallvec::SmallVec<[T; 4]> {
    use rand_core::Rng;
    let mut remaining: Vec<usize> = (0..items.len()).collect();
    let count = count.min(items.len());
    (0..count)
        .map(|_| items[remaining.swap_remove(rng.next_u32() as usize % remaining.len())].clone())
        .collect()
}
