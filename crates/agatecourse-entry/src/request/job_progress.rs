use agatecourse_wire::request::{Grant, KnownOutcome};
use std::net::SocketAddr;
use std::time::Instant;

/// Progress of a request; its task reads it when the request ends, at whatever point that happens.
#[derive(Debug, Default)]
pub(crate) struct JobProgress {
    /// The current dispatch; absent while no bytes can have been sent to a target.
    pub(crate) dispatch: Option<Dispatch>,
    /// Whether the response head was sent to the caller.
    pub(crate) response_started: bool,
    /// Time of the first chunk or, for a service, of the response head.
    pub(crate) first_token_at: Option<Instant>,
    /// Prompt tokens as reported by the engine; 0 until it reports usage.
    pub(crate) read_tokens: u32,
    /// Prompt tokens that the engine took from its prefix cache.
    pub(crate) cached_tokens: u32,
    /// Output tokens as reported by the engine, or the number of chunks until it reports usage.
    pub(crate) written_tokens: u32,
    /// How often the engine stream was resumed.
    pub(crate) resumptions: u32,
    /// Time of the first grant.
    pub(crate) granted_at: Option<Instant>,
    pub(crate) reservation: ReservationStage,
    /// Set when the response comes from the stream of an earlier request with the same key.
    pub(crate) attached: Option<StreamAttachment>,
    /// The complete response of a non-idempotent request, for the journal.
    pub(crate) answer: Option<KnownOutcome>,
}

/// How a request shares the stream of an earlier one with the same key.
#[derive(Debug, Clone)]
pub(crate) enum StreamAttachment {
    /// The earlier request has no stream yet.
    Waiting,
    /// The stream of the earlier request is being read; the grant holds that request's id.
    Reading(Dispatch),
}

/// State of the reservation of an idempotency key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum ReservationStage {
    /// There is no open reservation, so nothing is reported to the journal.
    #[default]
    None,
    /// The journal was asked and has not replied.
    Asked,
    /// The key is reserved, so the request may be dispatched.
    Granted,
}

/// One dispatch to a target.
#[derive(Debug, Clone)]
pub(crate) struct Dispatch {
    pub(crate) grant: Grant,
    pub(crate) target_address: SocketAddr,
    /// Time of the dispatch.
    pub(crate) dispatched_at: Instant,
}
