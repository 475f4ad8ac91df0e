use crate::process::{NodeState, OrganisationGuard, RunningGuard};
use crate::request::RequestError;
use crate::request::admission::{Admission, check_quarantine};
use agatecourse_config::RouteConfig;
use agatecourse_history::HistoryEvent;
use agatecourse_types::{
    Fingerprint, OrganisationId, PoolId, RequestId, ResultCode, format_request_id, stable_hash,
};
use agatecourse_wire::request::Ticket;
use smallvec::SmallVec;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request that its entry node has accepted.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) request_id: RequestId,
    /// The request id as text, which is also the stream id at the engine.
    pub(crate) id_text: String,
    /// Configuration under which the request was accepted.
    pub(crate) view: Arc<crate::process::FleetView>,
    pub(crate) route: String,
    pub(crate) idempotent: bool,
    pub(crate) progress_timeout: Duration,
    pub(crate) organisation: OrganisationId,
    /// Rank of the caller's tier.
    pub(crate) tier: u8,
    /// `<organisation>/<idempotency key>`; absent when the caller sent no key.
    pub(crate) key: Option<String>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) pool: PoolId,
    pub(crate) accepted_at: Instant,
    pub(crate) deadline: Instant,
    /// Count the request as running and against its organisation's limits until they are dropped.
    pub(crate) guards: Arc<(RunningGuard, OrganisationGuard)>,
    read_tokens: u32,
    write_tokens: u32,
    prefix_hashes: SmallVec<[u64; 8]>,
    suspect: Option<Fingerprint>,
}

/// Size estimates of a request for the scheduler.
#[derive(Debug, Clone, Default)]
pub(crate) struct RequestSize {
    pub(crate) read_tokens: u32,
    pub(crate) write_tokens: u32,
    pub(crate) prefix_hashes: SmallVec<[u64; 8]>,
}

impl Job {
    /// Accepts a request after checking the limits of its organisation and the quarantine.
    ///
    /// # Errors
    ///
    /// Returns an error when a limit of the organisation is reached, the fingerprint is quarantined, or the route has
    /// no target.
    pub(crate) fn accept(
        state: &NodeState,
        admission: Admission,
        route: &RouteConfig,
        fingerprint: Fingerprint,
        size: RequestSize,
    ) -> Result<Self, RequestError> {
        let organisation_guard = admission.enter_organisation(state)?;
        let suspect = check_quarantine(state, fingerprint)?;
        let request_id = admission.request_id;
        let pools = &admission.view.pools;
        let pool =
            pools.choose(&route.name, request_id, admission.tier, |_| None).ok_or_else(|| {
                RequestError::new(
                    ResultCode::NoTarget,
                    format!("route {:?} has no target", route.name),
                )
            })?;
        state.history.write(|| HistoryEvent::Accepted {
            request_id,
            route: route.name.clone(),
            idempotent: route.idempotent,
            key: admission.key.clone(),
            body_hash: fingerprint,
        });
        Ok(Self {
            request_id,
            id_text: format_request_id(request_id),
            route: route.name.clone(),
            idempotent: route.idempotent,
            progress_timeout: route.progress_timeout,
            organisation: admission.organisation,
            tier: admission.tier,
            key: admission.key,
            fingerprint,
            pool: pool.clone(),
            accepted_at: admission.accepted_at,
            deadline: admission.deadline,
            guards: Arc::new((admission.running, organisation_guard)),
            view: admission.view,
            read_tokens: size.read_tokens,
            write_tokens: size.write_tokens,
            prefix_hashes: size.prefix_hashes,
            suspect,
        })
    }

    /// Returns the ticket for the pool owner, with the time from `now` to the deadline.
    pub(crate) fn ticket(&self, now: Instant) -> Ticket {
        Ticket {
            request_id: self.request_id,
            route: self.route.clone(),
            organisation: self.organisation.clone(),
            tier: self.tier,
            deadline_in: self.deadline.saturating_duration_since(now),
            read_tokens: self.read_tokens,
            write_tokens: self.write_tokens,
            prefix_hashes: self.prefix_hashes.clone(),
            prefix_block_tokens: crate::request::chat_request::PREFIX_BLOCK_TOKENS,
            share_slot: share_slot(self.request_id),
            suspect: self.suspect,
        }
    }

    pub(crate) fn read_tokens(&self) -> u32 {
        self.read_tokens
    }
}

/// Maps a request id to 0..10,000 for traffic shares; all nodes compute the same slot.
fn share_slot(request_id: RequestId) -> u16 {
    (stable_hash(&[&request_id.to_le_bytes()]) % 10_000) as u16
}
