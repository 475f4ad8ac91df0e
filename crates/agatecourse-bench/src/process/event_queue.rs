use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Queue of scheduled events ordered by virtual time; events at the same time keep the order of insertion.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<ScheduledEvent<E>>>,
    /// Number of events scheduled so far, the source of sequence numbers.
    scheduled_count: u64,
}

#[derive(Debug)]
struct ScheduledEvent<E> {
    at: Duration,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for ScheduledEvent<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

impl<E> EventQueue<E> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self { heap: BinaryHeap::new(), scheduled_count: 0 }
    }

    /// Schedules an event at a virtual time.
    pub fn schedule(&mut self, at: Duration, event: E) {
        self.scheduled_count += 1;
        self.heap.push(Reverse(ScheduledEvent { at, sequence: self.scheduled_count, event }));
    }

    /// Removes and returns the earliest event with its time, or `None` when the queue is empty.
    pub fn pop(&mut self) -> Option<(Duration, E)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }
}
