use crate::process::WireJob;
use agatecourse_core::request::dispatch::JobNumber;
use std::time::Instant;

/// An attempt that a request submits to the queue of its service.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// Number of the attempt, unique on the node.
    pub number: JobNumber,
    /// Service whose targets may run it.
    pub service: String,
    /// Arrival time of the caller's request; the wait and the deadline count from it.
    pub arrived: Instant,
    /// Properties that the owner of the queue decides by.
    pub job: WireJob,
}
