use agatecourse_wire::request::{Grant, KnownOutcome};
use std::net::SocketAddr;
use std::time::Instant;

/// How far a request has come; its task reads it when the request ends at any point.
#[derive(Debug, Default)]
pub(crate) struct JobProgress {
    /// The grant in use, if the request was dispatched and bytes may have been sent.
    pub(crate) dispatch: Option<Dispatch>,
    /// Whether the head of the answer went to the caller.
    pub(crate) started: bool,
    pub(crate) first_token_at: Option<Instant>,
    pub(crate) read_tokens: u32,
    pub(crate) cached_tokens: u32,
    pub(crate) written_tokens: u32,
    pub(crate) resumptions: u32,
    pub(crate) granted_at: Option<Instant>,
    pub(crate) reservation: ReservationStage,
    /// Set when an earlier request with the same key answers this one.
    pub(crate) attached: Option<Attached>,
    /// The whole answer of a non-idempotent request, for the journal.
    pub(crate) answer: Option<KnownOutcome>,
}

/// How a request follows an earlier one with the same key.
#[derive(Debug, Clone)]
pub(crate) enum Attached {
    /// The earlier request has no stream yet.
    Waiting,
    /// The stream of the earlier request, which the grant names, is read.
    Reading(Dispatch),
}

/// How far the reservation of an idempotency key has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum ReservationStage {
    /// Nothing is to be reported to the journal.
    #[default]
    None,
    /// The journal was asked and has not answered.
    Asked,
    /// The request may be dispatched.
    Granted,
}

/// One dispatch to a target.
#[derive(Debug, Clone)]
pub(crate) struct Dispatch {
    pub(crate) grant: Grant,
    pub(crate) target: SocketAddr,
    pub(crate) at: Instant,
}
