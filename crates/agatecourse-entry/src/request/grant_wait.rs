use crate::process::PoolReply;
use crate::request::RequestError;
use crate::request::job_task::JobTask;
use crate::request::request_end::RequestEnd;
use agatecourse_types::{NodeId, PoolId, ResultCode};
use agatecourse_wire::PeerMessage;
use agatecourse_wire::request::{DispatchOutcome, Grant};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

// A ticket without a reply is submitted again after this time, in case the reply was lost; the owner repeats it.
const RESUBMIT_INTERVAL: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time without a reachable pool owner after which a node places requests by itself.
const DEGRADED_PLACEMENT_DELAY: Duration = Duration::from_secs(1);

/// Result of one submission of a ticket to the pool owner.
enum SubmitResult {
    Reply(PoolReply),
    OwnerChanged,
    Unreachable,
    /// The owner accepted the ticket; its reply has not arrived yet.
    Waiting,
}

impl JobTask {
    /// Submits the request to the pool owner until it is granted or refused.
    ///
    /// When the owner changes, the ticket is submitted to the new one; submissions are idempotent by request id.
    pub(crate) async fn wait_for_grant(
        &self,
        replies: &mpsc::Sender<PoolReply>,
        inbox: &mut mpsc::Receiver<PoolReply>,
    ) -> Result<Grant, RequestEnd> {
        let mut changes = self.state.cluster.changes();
        let mut unreachable_since = None;
        loop {
            let owner = self.state.cluster.owner_of(&self.job.pool);
            let ticket = self.job.ticket(Instant::now());
            let (pool, deadline) = (&self.job.pool, self.job.deadline);
            self.state.jobs.add_waiting(pool, ticket, deadline, replies.clone());
            let answer = if self.state.cluster.is_self(&owner) {
                self.submit_locally(&owner, replies, inbox, &mut changes).await
            } else {
                self.submit_to_peer(&owner, inbox, &mut changes).await
            };
            match answer {
                SubmitResult::Reply(PoolReply::Granted(grant)) => return Ok(grant),
                SubmitResult::Reply(PoolReply::Refused(refusal)) => {
                    let error = RequestError::new(refusal.code, refusal.reason);
                    let error = error.with_retry_after(refusal.retry_after);
                    return Err(RequestEnd::failed(error, DispatchOutcome::NotSent));
                }
                SubmitResult::Reply(PoolReply::CancelRunning(_)) => {}
                SubmitResult::OwnerChanged | SubmitResult::Waiting => unreachable_since = None,
                SubmitResult::Unreachable => {
                    let since = *unreachable_since.get_or_insert_with(Instant::now);
                    if since.elapsed() >= DEGRADED_PLACEMENT_DELAY
                        && let Some(grant) = self.place_without_owner()
                    {
                        return Ok(grant);
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn submit_locally(
        &self,
        owner: &NodeId,
        replies: &mpsc::Sender<PoolReply>,
        inbox: &mut mpsc::Receiver<PoolReply>,
        changes: &mut watch::Receiver<u64>,
    ) -> SubmitResult {
        let ticket = self.job.ticket(Instant::now());
        let pool = &self.job.pool;
        if !self.state.pools.submit(pool, owner.clone(), ticket, replies.clone()) {
            return SubmitResult::Unreachable;
        }
        tokio::select! {
            biased;
            reply = inbox.recv() => reply.map_or(SubmitResult::OwnerChanged, SubmitResult::Reply),
            () = self.owner_changed(owner, changes) => SubmitResult::OwnerChanged,
        }
    }

    async fn submit_to_peer(
        &self,
        owner: &NodeId,
        inbox: &mut mpsc::Receiver<PoolReply>,
        changes: &mut watch::Receiver<u64>,
    ) -> SubmitResult {
        let body = PeerMessage::Submit {
            pool: self.job.pool.clone(),
            ticket: self.job.ticket(Instant::now()),
        };
        let called = tokio::select! {
            biased;
            () = self.owner_changed(owner, changes) => return SubmitResult::OwnerChanged,
            called = self.state.cluster.call(owner, body, CALL_TIMEOUT) => called,
        };
        match called {
            Ok(PeerMessage::Grant { grant, .. }) => SubmitResult::Reply(PoolReply::Granted(grant)),
            Ok(PeerMessage::Refuse { refusal, .. }) => {
                SubmitResult::Reply(PoolReply::Refused(refusal))
            }
            Ok(PeerMessage::Received) => tokio::select! {
                biased;
                reply = inbox.recv() => reply.map_or(SubmitResult::OwnerChanged, SubmitResult::Reply),
                () = self.owner_changed(owner, changes) => SubmitResult::OwnerChanged,
                () = tokio::time::sleep(RESUBMIT_INTERVAL) => SubmitResult::Waiting,
            },
            Ok(_) | Err(_) => SubmitResult::Unreachable,
        }
    }

    /// Waits until another node owns the request's pool.
    async fn owner_changed(&self, owner: &NodeId, changes: &mut watch::Receiver<u64>) {
        while self.state.cluster.owner_of(&self.job.pool) == *owner {
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Places the request without the pool owner, on a target that has no other request that this node placed so.
    fn place_without_owner(&self) -> Option<Grant> {
        let view = self.state.view()?;
        let targets = view.pools.targets(&self.job.pool);
        let target = self.state.degraded_placements.reserve_target(self.job.request_id, targets)?;
        let version = view.config.targets.get(&target)?.version.clone();
        self.state.metrics.degraded_placements.inc();
        Some(Grant {
            request_id: self.job.request_id,
            target,
            version,
            expected: Duration::ZERO,
            reason: "placed without a pool owner, which could not be reached".to_string(),
        })
    }

    /// Sends a message to the owner of a pool in the background, with retries for up to 3 s.
    pub(crate) fn notify_pool_owner(&self, pool: &PoolId, body: PeerMessage) {
        let (state, owner) = (self.state.clone(), self.state.cluster.owner_of(pool));
        let guards = self.job.guards.clone();
        actix_rt::spawn(async move {
            let _ = state.cluster.call_with_retry(&owner, body, Duration::from_secs(3)).await;
            drop(guards);
        });
    }

    /// Returns the error for a request whose `attempts` dispatches all met refused connections.
    pub(crate) fn no_target_error(attempts: usize) -> RequestEnd {
        let detail = format!("{attempts} targets refused the connection");
        let error = RequestError::new(ResultCode::NoTarget, detail);
        let error = error.with_retry_after(Duration::from_secs(1));
        RequestEnd::failed(error, DispatchOutcome::NotSent)
    }
}
