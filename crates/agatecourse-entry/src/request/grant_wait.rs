use crate::process::PoolReply;
use crate::request::Refused;
use crate::request::ending::Ending;
use crate::request::job_run::JobRun;
use agatecourse_types::{NodeId, PoolId, ResultCode};
use agatecourse_wire::PeerMessage;
use agatecourse_wire::request::{DispatchOutcome, Grant};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

// A lost grant is asked for again after this time; the owner repeats its answer.
const RESUBMIT_INTERVAL: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time without any reachable pool owner after which a node places its requests alone.
const DEGRADED_AFTER: Duration = Duration::from_secs(1);

/// What one attempt to get a grant came to.
enum Answer {
    Reply(PoolReply),
    OwnerChanged,
    Unreachable,
    /// The owner took the ticket; its reply has not arrived yet.
    Waiting,
}

impl JobRun {
    /// Submits the request to the pool owner until it is granted or refused.
    ///
    /// When the owner changes, the request is submitted to the new one; tickets are idempotent by request id.
    pub(crate) async fn wait_for_grant(
        &self,
        replies: &mpsc::Sender<PoolReply>,
        inbox: &mut mpsc::Receiver<PoolReply>,
    ) -> Result<Grant, Ending> {
        let mut changes = self.state.cluster.changes();
        let mut unreachable_since = None;
        loop {
            let owner = self.state.cluster.owner_of(&self.job.pool);
            let ticket = self.job.ticket(Instant::now());
            let (pool, deadline) = (&self.job.pool, self.job.deadline);
            self.state.jobs.wait(pool, ticket, deadline, replies.clone());
            let answer = if self.state.cluster.is_self(&owner) {
                self.submit_here(&owner, replies, inbox, &mut changes).await
            } else {
                self.submit_to(&owner, inbox, &mut changes).await
            };
            match answer {
                Answer::Reply(PoolReply::Granted(grant)) => return Ok(grant),
                Answer::Reply(PoolReply::Refused(refusal)) => {
                    let refused = Refused::new(refusal.code, refusal.reason);
                    let refused = refused.with_retry_after(refusal.retry_after);
                    return Err(Ending::failed(refused, DispatchOutcome::NotSent));
                }
                Answer::Reply(PoolReply::CancelRunning(_)) => {}
                Answer::OwnerChanged | Answer::Waiting => unreachable_since = None,
                Answer::Unreachable => {
                    let since = *unreachable_since.get_or_insert_with(Instant::now);
                    if since.elapsed() >= DEGRADED_AFTER
                        && let Some(grant) = self.place_alone()
                    {
                        return Ok(grant);
                    }
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn submit_here(
        &self,
        owner: &NodeId,
        replies: &mpsc::Sender<PoolReply>,
        inbox: &mut mpsc::Receiver<PoolReply>,
        changes: &mut watch::Receiver<u64>,
    ) -> Answer {
        let ticket = self.job.ticket(Instant::now());
        let pool = &self.job.pool;
        if !self.state.pools.submit(pool, owner.clone(), ticket, replies.clone()) {
            return Answer::Unreachable;
        }
        tokio::select! {
            biased;
            reply = inbox.recv() => reply.map_or(Answer::OwnerChanged, Answer::Reply),
            () = self.owner_changed(owner, changes) => Answer::OwnerChanged,
        }
    }

    async fn submit_to(
        &self,
        owner: &NodeId,
        inbox: &mut mpsc::Receiver<PoolReply>,
        changes: &mut watch::Receiver<u64>,
    ) -> Answer {
        let body = PeerMessage::Submit {
            pool: self.job.pool.clone(),
            ticket: self.job.ticket(Instant::now()),
        };
        let called = tokio::select! {
            biased;
            () = self.owner_changed(owner, changes) => return Answer::OwnerChanged,
            called = self.state.cluster.call(owner, body, CALL_TIMEOUT) => called,
        };
        match called {
            Ok(PeerMessage::Grant { grant, .. }) => Answer::Reply(PoolReply::Granted(grant)),
            Ok(PeerMessage::Refuse { refusal, .. }) => Answer::Reply(PoolReply::Refused(refusal)),
            Ok(PeerMessage::Received) => tokio::select! {
                biased;
                reply = inbox.recv() => reply.map_or(Answer::OwnerChanged, Answer::Reply),
                () = self.owner_changed(owner, changes) => Answer::OwnerChanged,
                () = tokio::time::sleep(RESUBMIT_INTERVAL) => Answer::Waiting,
            },
            Ok(_) | Err(_) => Answer::Unreachable,
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

    /// Places the request without a pool owner, on a target that has no other such request of this node.
    fn place_alone(&self) -> Option<Grant> {
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

    /// Sends a message to the owner of a pool and does not wait for its arrival.
    pub(crate) fn tell_owner(&self, pool: &PoolId, body: PeerMessage) {
        let (state, owner) = (self.state.clone(), self.state.cluster.owner_of(pool));
        let guards = self.job.guards.clone();
        actix_rt::spawn(async move {
            let _ = state.cluster.call_with_retry(&owner, body, Duration::from_secs(3)).await;
            drop(guards);
        });
    }

    /// Returns the refusal after too many refused connections.
    pub(crate) fn no_target(attempts: usize) -> Ending {
        let detail = format!("{attempts} targets refused the connection");
        let refused = Refused::new(ResultCode::NoTarget, detail);
        let refused = refused.with_retry_after(Duration::from_secs(1));
        Ending::failed(refused, DispatchOutcome::NotSent)
    }
}
