use super::placement_policy::PlacementPolicy;
use crate::request::{ENGINE_SPEEDS, NODES};
use agatecourse_core::request::scheduler::LoadReport;
use std::collections::VecDeque;

/// Entry node for the policies without a pool owner: one first-come-first-served queue.
#[derive(Debug, Clone)]
pub struct NodeQueue {
    waiting: VecDeque<usize>,
    in_flight: Vec<u32>,
    /// Maximum number of in-flight requests from this node to one engine.
    limit: u32,
    /// Engine of the last dispatch, after which the next search starts.
    last_engine: usize,
}

impl NodeQueue {
    /// Creates an empty queue; the node may use its share, rounded up, of each target's concurrency limit.
    pub fn new(number: usize, target_limit: usize) -> Self {
        let limit = target_limit.div_ceil(NODES) as u32;
        let in_flight = vec![0; ENGINE_SPEEDS.len()];
        Self { waiting: VecDeque::new(), in_flight, limit, last_engine: number }
    }

    /// Appends a request to the queue.
    pub fn add(&mut self, index: usize) {
        self.waiting.push_back(index);
    }

    /// Removes a request from the queue; does nothing when it is not queued.
    pub fn remove(&mut self, index: usize) {
        self.waiting.retain(|waiting| *waiting != index);
    }

    /// Releases the slot of a request that ended on an engine.
    pub fn release(&mut self, engine: usize) {
        self.in_flight[engine] -= 1;
    }

    /// Removes the next request from the queue and reserves a slot on an engine for it.
    ///
    /// Returns the indices of the request and the engine, or `None` when the queue is empty or no engine has a slot.
    pub fn next_dispatch(
        &mut self,
        policy: PlacementPolicy,
        reports: &[LoadReport],
    ) -> Option<(usize, usize)> {
        if self.waiting.is_empty() {
            return None;
        }
        let count = self.in_flight.len();
        let rotation = (1..=count).map(|step| (self.last_engine + step) % count);
        let mut available = rotation.filter(|engine| self.in_flight[*engine] < self.limit);
        let engine = match policy {
            PlacementPolicy::LeastReportedLoad => {
                available.min_by_key(|engine| reports[*engine].running + reports[*engine].waiting)
            }
            _ => available.next(),
        }?;
        self.last_engine = engine;
        self.in_flight[engine] += 1;
        Some((self.waiting.pop_front()?, engine))
    }
}
