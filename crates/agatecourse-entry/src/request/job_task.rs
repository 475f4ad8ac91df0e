use crate::connection::TargetClient;
use crate::process::{Explanation, NodeState, Verdict};
use crate::request::RequestError;
use crate::request::job::Job;
use crate::request::job_deadline::run_until_deadline;
use crate::request::job_progress::{Dispatch, JobProgress, ReservationStage, StreamAttachment};
use crate::request::key_reservation::{
    ReservationDecision, end_reservation, replay_outcome, reserve_key,
};
use crate::request::model_dispatch::{self, EngineRequest};
use crate::request::request_end::RequestEnd;
use crate::request::response_channel::{ResponseSender, ResponseStart};
use crate::request::service_dispatch::{self, ServiceRequest};
use crate::request::stream_sharing::{join_earlier_stream, release_key};
use agatecourse_core::request::scheduler::PoolEvent;
use agatecourse_history::HistoryEvent;
use agatecourse_types::{ResultCode, RunState, format_request_id};
use agatecourse_wire::PeerMessage;
use agatecourse_wire::process::AlertKey;
use agatecourse_wire::request::{DispatchOutcome, Finished, Grant};
use bytes::Bytes;
use slog::{debug, info, warn};
use std::cell::RefCell;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

// One request receives a grant, a few more after refused connections, and at most one cancellation.
const REPLY_CAPACITY: usize = 8;
/// Maximum number of dispatches of one request that end in a refused connection.
const MAX_DISPATCH_ATTEMPTS: usize = 4;
// A caller that does not read the error event within this time is disconnected without it.
const ERROR_EVENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Request to send to a target, by kind of route.
#[derive(Debug)]
pub(crate) enum TargetRequest {
    Chat(EngineRequest),
    Service(ServiceRequest),
}

/// Task that runs one request from the reservation of its key to its end.
pub(crate) struct JobTask {
    pub(crate) state: Arc<NodeState>,
    pub(crate) client: TargetClient,
    pub(crate) job: Job,
    pub(crate) response: ResponseSender,
    pub(crate) progress: RefCell<JobProgress>,
}

impl JobTask {
    pub(crate) fn new(
        state: Arc<NodeState>,
        client: TargetClient,
        job: Job,
        response: ResponseSender,
    ) -> Self {
        Self { state, client, job, response, progress: RefCell::default() }
    }

    /// Runs the request until it is answered or fails, its deadline passes, or the caller disconnects.
    pub(crate) async fn run(self, request: TargetRequest) {
        let ending = tokio::select! {
            biased;
            () = self.response.caller_left() => RequestEnd::CallerLeft,
            ending = run_until_deadline(
                self.job.deadline,
                || self.progress.borrow().reservation == ReservationStage::Asked,
                self.run_to_end(&request),
            ) => ending.unwrap_or(RequestEnd::Expired),
        };
        self.finish(ending, matches!(request, TargetRequest::Chat(_))).await;
    }

    async fn run_to_end(&self, request: &TargetRequest) -> RequestEnd {
        match reserve_key(&self.state, &self.job, &self.progress).await {
            // The journal may grant the key after the deadline.
            Ok(ReservationDecision::Dispatch) if Instant::now() >= self.job.deadline => {
                return RequestEnd::Expired;
            }
            Ok(ReservationDecision::Dispatch) => {}
            Ok(ReservationDecision::Replay(outcome)) => {
                return replay_outcome(&self.response, outcome).await;
            }
            Err(error) => return RequestEnd::failed(error, DispatchOutcome::NotSent),
        }
        if let TargetRequest::Chat(chat) = request
            && let Some(ending) = join_earlier_stream(self, chat).await
        {
            return ending;
        }
        let (replies, mut inbox) = mpsc::channel(REPLY_CAPACITY);
        for _ in 0..MAX_DISPATCH_ATTEMPTS {
            let granted = self.wait_for_grant(&replies, &mut inbox).await;
            let dispatch = match granted.and_then(|grant| self.start_dispatch(grant)) {
                Ok(dispatch) => dispatch,
                Err(ending) => return ending,
            };
            let result = match request {
                TargetRequest::Chat(chat) => {
                    model_dispatch::dispatch_model_request(self, chat, &dispatch, &mut inbox).await
                }
                TargetRequest::Service(service) => {
                    service_dispatch::dispatch_service_request(self, service, &dispatch).await
                }
            };
            match result {
                DispatchResult::Ended(ending) => return ending,
                DispatchResult::NotSent => self.return_grant(&dispatch),
            }
        }
        Self::no_target_error(MAX_DISPATCH_ATTEMPTS)
    }

    /// Resolves the target's address and records the dispatch in the history, the job table and the quarantine.
    fn start_dispatch(&self, grant: Grant) -> Result<Dispatch, RequestEnd> {
        let dispatched_at = Instant::now();
        self.progress.borrow_mut().granted_at.get_or_insert(dispatched_at);
        // The pool owner may have used a newer configuration than the one under which the request was accepted.
        let view = self.state.view().unwrap_or_else(|| self.job.view.clone());
        let Some(target) = view.config.targets.get(&grant.target) else {
            self.report_finished(&grant, DispatchOutcome::NotSent, dispatched_at);
            let detail = format!("target {:?} is not configured", grant.target);
            let error = RequestError::new(ResultCode::NoTarget, detail);
            return Err(RequestEnd::failed(error, DispatchOutcome::NotSent));
        };
        let dispatch = Dispatch { grant, target_address: target.address, dispatched_at };
        self.state.history.write(|| HistoryEvent::Dispatched {
            request_id: self.job.request_id,
            route: self.job.route.clone(),
            target: dispatch.grant.target.clone(),
            version: dispatch.grant.version.clone(),
        });
        let Grant { target, version, .. } = &dispatch.grant;
        self.state.jobs.record_dispatch(self.job.request_id, target, version);
        self.state.quarantine.started(&dispatch.grant.target, self.job.fingerprint);
        self.progress.borrow_mut().dispatch = Some(dispatch.clone());
        Ok(dispatch)
    }

    /// Reports to the pool owner that the target refused the connection, so that the owner frees the grant.
    fn return_grant(&self, dispatch: &Dispatch) {
        self.progress.borrow_mut().dispatch = None;
        self.state.metrics.refused_connections.inc();
        self.state.quarantine.ended(&dispatch.grant.target, self.job.fingerprint, false);
        self.record_not_sent(dispatch);
        self.report_finished(&dispatch.grant, DispatchOutcome::NotSent, dispatch.dispatched_at);
    }

    fn record_not_sent(&self, dispatch: &Dispatch) {
        self.state.history.write(|| HistoryEvent::NotSent {
            request_id: self.job.request_id,
            target: dispatch.grant.target.clone(),
        });
    }

    /// Reports the outcome and the token counts of a dispatch to the pool owner.
    fn report_finished(&self, grant: &Grant, outcome: DispatchOutcome, dispatched_at: Instant) {
        let progress = self.progress.borrow();
        let read_tokens = match progress.read_tokens {
            0 => self.job.read_tokens(),
            measured => measured,
        };
        let finished = Finished {
            request_id: self.job.request_id,
            target: grant.target.clone(),
            version: grant.version.clone(),
            outcome,
            read_tokens,
            cached_tokens: progress.cached_tokens,
            written_tokens: progress.written_tokens,
            first_token: progress
                .first_token_at
                .map(|at| at.saturating_duration_since(dispatched_at)),
            elapsed: dispatched_at.elapsed(),
        };
        let pool = &self.job.pool;
        if self.state.degraded_placements.release_target(self.job.request_id, &grant.target) {
            return;
        }
        if self.state.cluster.is_self(&self.state.cluster.owner_of(pool)) {
            self.state.pools.event(pool, PoolEvent::Finished(finished));
        } else {
            self.notify_pool_owner(pool, PeerMessage::Finished { pool: pool.clone(), finished });
        }
    }

    /// Updates the quarantine and its alerts after a target crashed while it ran the request.
    pub(crate) fn report_crash(&self, dispatch: &Dispatch) {
        let target = &dispatch.grant.target;
        self.state.metrics.crashes.inc();
        // Only the pool owner knows whether requests of other nodes ran on the target.
        let in_flight = self.state.pools.in_flight(&self.job.pool, target);
        let alone = in_flight.is_some_and(|count| count <= 1);
        for (fingerprint, verdict) in self.state.quarantine.crashed(target, alone) {
            let key = match verdict {
                Verdict::Quarantined => AlertKey::Quarantine { fingerprint },
                Verdict::Suspect => AlertKey::Suspect { fingerprint },
            };
            let reason = format!("target {target} crashed while running it");
            self.state.group().set_alert(&self.state, key, true, &reason);
            warn!(self.state.log, "target crashed while running a request";
                "request_id" => &self.job.id_text, "route" => &self.job.route, "target" => target,
                "fingerprint" => format!("{fingerprint:016x}"),
                "verdict" => format!("{verdict:?}").to_lowercase());
        }
    }

    /// Releases what the request holds, records how it ended and sends the caller an error if it failed.
    async fn finish(&self, ending: RequestEnd, is_model: bool) {
        let outcome = ending.outcome();
        let dispatch = self.progress.borrow().dispatch.clone();
        let is_reservation_pending = self.progress.borrow().reservation == ReservationStage::Asked;
        let sent = dispatch.is_some() && outcome != DispatchOutcome::NotSent;
        end_reservation(&self.state, &self.job, &self.progress, sent);
        let attached = self.progress.borrow().attached.clone();
        if is_model {
            self.leave_shared_stream(attached.as_ref(), dispatch.as_ref(), outcome);
        }
        if let Some(dispatch) = &dispatch {
            if !sent {
                self.record_not_sent(dispatch);
            }
            self.report_finished(&dispatch.grant, outcome, dispatch.dispatched_at);
            let completed = outcome == DispatchOutcome::Completed;
            self.state.quarantine.ended(&dispatch.grant.target, self.job.fingerprint, completed);
            if completed && is_model {
                let written = self.progress.borrow().written_tokens;
                self.state.output_lengths.record(&self.job.route, &self.job.organisation, written);
            }
        } else {
            self.withdraw_ticket();
        }
        self.state.jobs.remove(self.job.request_id);
        let error = match ending {
            RequestEnd::Answered | RequestEnd::AnsweredWithError | RequestEnd::CallerLeft => None,
            RequestEnd::Expired if attached.is_some() => {
                let detail = "the earlier request with the key has not ended in time";
                Some(RequestError::new(ResultCode::EarlierRunning, detail))
            }
            RequestEnd::Expired if is_reservation_pending => {
                let detail = "the journal did not tell in time whether an earlier request has run";
                Some(RequestError::new(ResultCode::EarlierUnknown, detail))
            }
            RequestEnd::Expired if dispatch.is_none() => {
                let error =
                    RequestError::new(ResultCode::ExpiredWaiting, "no target was free in time");
                Some(error.with_retry_after(Duration::from_secs(1)))
            }
            RequestEnd::Expired => {
                let detail = "the deadline passed before the answer was complete";
                Some(RequestError::new(ResultCode::ExpiredRunning, detail))
            }
            RequestEnd::Failed { error, .. } => Some(error),
        };
        self.record_end(outcome, error.as_ref());
        if let Some(error) = error {
            self.send_error(error, is_model).await;
        }
    }

    /// Stops reading the stream of the request.
    ///
    /// Cancels the stream at the engine unless it is complete or other requests with the key still read it. Releases
    /// the key of a cancelled or never dispatched stream, so that the caller can use the key again.
    fn leave_shared_stream(
        &self,
        attached: Option<&StreamAttachment>,
        own_dispatch: Option<&Dispatch>,
        outcome: DispatchOutcome,
    ) {
        let stream = match attached {
            Some(StreamAttachment::Reading(dispatch)) => Some(dispatch),
            Some(StreamAttachment::Waiting) => return,
            None => own_dispatch,
        };
        let request_id = stream.map_or(self.job.request_id, |dispatch| dispatch.grant.request_id);
        let is_last_reader = stream.is_none() || self.state.keys.remove_reader(request_id);
        if outcome == DispatchOutcome::Completed || !is_last_reader {
            return;
        }
        if let Some(dispatch) = stream {
            self.cancel_at_engine(dispatch, outcome);
        }
        release_key(self, request_id);
    }

    /// Withdraws the request from the queue of its pool.
    fn withdraw_ticket(&self) {
        let (pool, request_id) = (&self.job.pool, self.job.request_id);
        if self.state.cluster.is_self(&self.state.cluster.owner_of(pool)) {
            self.state.pools.cancel(pool, request_id);
        } else {
            self.notify_pool_owner(pool, PeerMessage::Cancel { pool: pool.clone(), request_id });
        }
    }

    fn cancel_at_engine(&self, dispatch: &Dispatch, outcome: DispatchOutcome) {
        let (client, metrics) = (self.client.clone(), self.state.metrics.clone());
        let (target, id) = (dispatch.target_address, format_request_id(dispatch.grant.request_id));
        // The guards delay the exit of the process until the cancellation was sent.
        let guards = self.job.guards.clone();
        actix_rt::spawn(async move {
            let result = client.cancel(target, &id).await;
            let reason = format!("{outcome:?}").to_lowercase();
            let result = if result.is_ok() { "ok" } else { "error" };
            metrics.cancellations.with_label_values(&[reason.as_str(), result]).inc();
            drop(guards);
        });
    }

    /// Sends a problem document or, once a model stream has started, an error event.
    async fn send_error(&self, error: RequestError, is_model: bool) {
        if !self.progress.borrow().response_started {
            let _ = self.response.send_start(ResponseStart::Refused(error)).await;
        } else if is_model {
            let problem = error.problem(self.job.request_id);
            let json = serde_json::to_string(&problem).unwrap_or_default();
            let event = Bytes::from(format!("event: error\ndata: {json}\n\n"));
            let send = async {
                self.response.send_data(event).await?;
                self.response.send_end().await
            };
            let _ = tokio::time::timeout(ERROR_EVENT_TIMEOUT, send).await;
        }
        // A service response that has started is aborted: the sender is dropped without the end of the body.
    }

    /// Records the end of the request in the metrics, the history, the log and the explanations.
    fn record_end(&self, outcome: DispatchOutcome, error: Option<&RequestError>) {
        let (job, progress) = (&self.job, self.progress.borrow());
        let elapsed = job.accepted_at.elapsed();
        let waited =
            progress.granted_at.map_or(elapsed, |at| at.saturating_duration_since(job.accepted_at));
        let grant = progress.dispatch.as_ref().map(|dispatch| &dispatch.grant);
        let code = error.map(|error| error.code);
        let metrics = &self.state.metrics;
        metrics.wait_seconds.observe(waited.as_secs_f64());
        metrics.elapsed_seconds.observe(elapsed.as_secs_f64());
        if let (Some(at), Some(dispatch)) = (progress.first_token_at, &progress.dispatch) {
            let first_token = at.saturating_duration_since(dispatch.dispatched_at);
            metrics.first_token_seconds.observe(first_token.as_secs_f64());
        }
        let label = match (code, outcome) {
            (Some(code), _) => code.number().to_string(),
            (None, DispatchOutcome::Cancelled) => "left".to_string(),
            (None, _) => "ok".to_string(),
        };
        let tier = job.tier.to_string();
        metrics.requests.with_label_values(&[job.route.as_str(), &tier, &label]).inc();
        match error {
            Some(error) => self.state.history.write(|| HistoryEvent::Refused {
                request_id: job.request_id,
                code: error.code.number(),
                run: error.run(),
            }),
            None if outcome == DispatchOutcome::Cancelled => {
                self.state
                    .history
                    .write(|| HistoryEvent::CallerLeft { request_id: job.request_id });
            }
            None => {}
        }
        let target = grant.map_or("", |grant| grant.target.as_str());
        let run = error.map_or(RunState::Yes, RequestError::run);
        let elapsed_ms = elapsed.as_millis() as u64;
        if error.is_some() {
            info!(self.state.log, "request failed"; "request_id" => &job.id_text,
                "route" => &job.route, "target" => target, "code" => &label,
                "run" => format!("{run:?}").to_lowercase(), "elapsed_ms" => elapsed_ms);
        } else {
            debug!(self.state.log, "request ended"; "request_id" => &job.id_text,
                "route" => &job.route, "target" => target, "result" => &label,
                "elapsed_ms" => elapsed_ms);
        }
        let reason = match (error, grant) {
            (Some(error), _) => error.detail.clone(),
            (None, Some(grant)) => grant.reason.clone(),
            (None, None) => "the caller left".to_string(),
        };
        self.state.explanations.add(Explanation {
            request_id: job.request_id,
            route: job.route.clone(),
            target: grant.map(|grant| grant.target.clone()),
            version: grant.map(|grant| grant.version.clone()),
            reason,
            code,
            waited_ms: waited.as_millis() as u64,
            elapsed_ms,
            resumptions: progress.resumptions,
        });
    }
}

/// Result of one dispatch to a target.
pub(crate) enum DispatchResult {
    /// The request ended; no other target is tried.
    Ended(RequestEnd),
    /// The target refused the TCP connection, so the request can be sent to another one.
    NotSent,
}
