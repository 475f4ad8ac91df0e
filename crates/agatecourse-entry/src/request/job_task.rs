use crate::connection::TargetClient;
use crate::process::{Explanation, NodeState, Verdict};
use crate::request::RequestError;
use crate::request::job::Job;
use crate::request::job_progress::{Attached, Dispatch, JobProgress};
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

// A request gets a grant, a few grants in place of refused connections, and one order to cancel.
const REPLY_CAPACITY: usize = 8;
/// Largest number of targets that may refuse the connection of one request.
const MAX_DISPATCH_ATTEMPTS: usize = 4;
// A caller that reads nothing for this long after a failure is disconnected without the error event.
const ERROR_EVENT_TIMEOUT: Duration = Duration::from_secs(5);

/// What to send to a target.
#[derive(Debug)]
pub(crate) enum TargetRequest {
    Chat(EngineRequest),
    Service(ServiceRequest),
}

/// Task that runs one request from reservation to its end.
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

    /// Runs the request until its answer, its deadline, or the caller's leaving ends it.
    pub(crate) async fn run(self, run_to_end: TargetRequest) {
        let ending = tokio::select! {
            biased;
            () = self.response.caller_left() => RequestEnd::CallerLeft,
            () = tokio::time::sleep_until(self.job.deadline.into()) => RequestEnd::Expired,
            ending = self.run_to_end(&run_to_end) => ending,
        };
        self.finish(ending, matches!(run_to_end, TargetRequest::Chat(_))).await;
    }

    async fn run_to_end(&self, run_to_end: &TargetRequest) -> RequestEnd {
        match reserve_key(&self.state, &self.job, &self.progress).await {
            Ok(ReservationDecision::Dispatch) => {}
            Ok(ReservationDecision::Replay(outcome)) => {
                return replay_outcome(&self.response, outcome).await;
            }
            Err(error) => return RequestEnd::failed(error, DispatchOutcome::NotSent),
        }
        if let TargetRequest::Chat(chat) = run_to_end
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
            let result = match run_to_end {
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

    fn start_dispatch(&self, grant: Grant) -> Result<Dispatch, RequestEnd> {
        let at = Instant::now();
        self.progress.borrow_mut().granted_at.get_or_insert(at);
        // The pool owner may know a newer configuration than the one that the request was accepted under.
        let view = self.state.view().unwrap_or_else(|| self.job.view.clone());
        let Some(target) = view.config.targets.get(&grant.target) else {
            self.report_finished(&grant, DispatchOutcome::NotSent, at);
            let detail = format!("target {:?} is not configured", grant.target);
            let error = RequestError::new(ResultCode::NoTarget, detail);
            return Err(RequestEnd::failed(error, DispatchOutcome::NotSent));
        };
        let dispatch = Dispatch { grant, target: target.address, at };
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

    /// Returns the grant of a dispatch whose connection was refused.
    fn return_grant(&self, dispatch: &Dispatch) {
        self.progress.borrow_mut().dispatch = None;
        self.state.metrics.refused_connections.inc();
        self.state.quarantine.ended(&dispatch.grant.target, self.job.fingerprint, false);
        self.record_not_sent(dispatch);
        self.report_finished(&dispatch.grant, DispatchOutcome::NotSent, dispatch.at);
    }

    fn record_not_sent(&self, dispatch: &Dispatch) {
        self.state.history.write(|| HistoryEvent::NotSent {
            request_id: self.job.request_id,
            target: dispatch.grant.target.clone(),
        });
    }

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

    /// Records that a target crashed while it ran the request.
    pub(crate) fn report_crash(&self, dispatch: &Dispatch) {
        let target = &dispatch.grant.target;
        self.state.metrics.crashes.inc();
        // Only the owner of the pool knows what other nodes run on the target.
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

    async fn finish(&self, ending: RequestEnd, is_model: bool) {
        let outcome = ending.outcome();
        let dispatch = self.progress.borrow().dispatch.clone();
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
            self.report_finished(&dispatch.grant, outcome, dispatch.at);
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

    /// Cancels the stream at the engine unless it is complete or other requests with the key still read it. The key
    /// of a stream that is cancelled or was never sent is freed, so that the caller may send it again.
    fn leave_shared_stream(
        &self,
        attached: Option<&Attached>,
        own: Option<&Dispatch>,
        outcome: DispatchOutcome,
    ) {
        let read = match attached {
            Some(Attached::Reading(dispatch)) => Some(dispatch),
            Some(Attached::Waiting) => return,
            None => own,
        };
        let request_id = read.map_or(self.job.request_id, |read| read.grant.request_id);
        let last = read.is_none() || self.state.keys.remove_reader(request_id);
        if outcome == DispatchOutcome::Completed || !last {
            return;
        }
        if let Some(dispatch) = read {
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
        let (target, id) = (dispatch.target, format_request_id(dispatch.grant.request_id));
        // The guards keep the process from exiting before the engine knows.
        let guards = self.job.guards.clone();
        actix_rt::spawn(async move {
            let result = client.cancel(target, &id).await;
            let reason = format!("{outcome:?}").to_lowercase();
            let result = if result.is_ok() { "ok" } else { "error" };
            metrics.cancellations.with_label_values(&[reason.as_str(), result]).inc();
            drop(guards);
        });
    }

    async fn send_error(&self, error: RequestError, is_model: bool) {
        if !self.progress.borrow().started {
            let _ = self.response.start(ResponseStart::Refused(error)).await;
        } else if is_model {
            let problem = error.problem(self.job.request_id);
            let json = serde_json::to_string(&problem).unwrap_or_default();
            let event = Bytes::from(format!("event: error\ndata: {json}\n\n"));
            let send = async {
                self.response.data(event).await?;
                self.response.end().await
            };
            let _ = tokio::time::timeout(ERROR_EVENT_TIMEOUT, send).await;
        }
        // A service answer that has begun is aborted: the sender is dropped without the end of the body.
    }

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
            let first_token = at.saturating_duration_since(dispatch.at);
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

/// Result of one dispatch.
pub(crate) enum DispatchResult {
    /// The request ended.
    Ended(RequestEnd),
    /// The TCP connection was refused, so another target may get the request.
    NotSent,
}
