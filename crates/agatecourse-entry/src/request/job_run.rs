use crate::connection::TargetClient;
use crate::process::{Explanation, NodeState, Verdict};
use crate::request::Refused;
use crate::request::answer_channel::{AnswerSender, AnswerStart};
use crate::request::attach::{join_earlier, release};
use crate::request::ending::Ending;
use crate::request::job::Job;
use crate::request::model_run::{self, ChatWork};
use crate::request::progress::{Attached, Dispatch, Progress};
use crate::request::reserve::{Next, repeat, reserve, settle};
use crate::request::service_run::{self, ServiceWork};
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
const REPLY_LIMIT: usize = 8;
/// Largest number of targets that may refuse the connection of one request.
const DISPATCH_ATTEMPTS: usize = 4;
// A caller that reads nothing for this long after a failure is disconnected without the error event.
const ERROR_EVENT_TIMEOUT: Duration = Duration::from_secs(5);

/// What to send to a target.
#[derive(Debug)]
pub(crate) enum Work {
    Chat(ChatWork),
    Service(ServiceWork),
}

/// Task that runs one request from reservation to its end.
pub(crate) struct JobRun {
    pub(crate) state: Arc<NodeState>,
    pub(crate) client: TargetClient,
    pub(crate) job: Job,
    pub(crate) out: AnswerSender,
    pub(crate) progress: RefCell<Progress>,
}

impl JobRun {
    pub(crate) fn new(
        state: Arc<NodeState>,
        client: TargetClient,
        job: Job,
        out: AnswerSender,
    ) -> Self {
        Self { state, client, job, out, progress: RefCell::default() }
    }

    /// Runs the request until its answer, its deadline, or the caller's leaving ends it.
    pub(crate) async fn run(self, work: Work) {
        let ending = tokio::select! {
            biased;
            () = self.out.caller_left() => Ending::CallerLeft,
            () = tokio::time::sleep_until(self.job.deadline.into()) => Ending::Expired,
            ending = self.work(&work) => ending,
        };
        self.conclude(ending, matches!(work, Work::Chat(_))).await;
    }

    async fn work(&self, work: &Work) -> Ending {
        match reserve(&self.state, &self.job, &self.progress).await {
            Ok(Next::Dispatch) => {}
            Ok(Next::Repeat(outcome)) => return repeat(&self.out, outcome).await,
            Err(refused) => return Ending::failed(refused, DispatchOutcome::NotSent),
        }
        if let Work::Chat(chat) = work
            && let Some(ending) = join_earlier(self, chat).await
        {
            return ending;
        }
        let (replies, mut inbox) = mpsc::channel(REPLY_LIMIT);
        for _ in 0..DISPATCH_ATTEMPTS {
            let granted = self.wait_for_grant(&replies, &mut inbox).await;
            let dispatch = match granted.and_then(|grant| self.begin_dispatch(grant)) {
                Ok(dispatch) => dispatch,
                Err(ending) => return ending,
            };
            let result = match work {
                Work::Chat(chat) => model_run::run(self, chat, &dispatch, &mut inbox).await,
                Work::Service(service) => service_run::run(self, service, &dispatch).await,
            };
            match result {
                Attempt::Ended(ending) => return ending,
                Attempt::NotSent => self.give_back(&dispatch),
            }
        }
        Self::no_target(DISPATCH_ATTEMPTS)
    }

    fn begin_dispatch(&self, grant: Grant) -> Result<Dispatch, Ending> {
        let at = Instant::now();
        self.progress.borrow_mut().granted_at.get_or_insert(at);
        // The pool owner may know a newer configuration than the one that the request was accepted under.
        let view = self.state.view().unwrap_or_else(|| self.job.view.clone());
        let Some(target) = view.config.targets.get(&grant.target) else {
            self.report(&grant, DispatchOutcome::NotSent, at);
            let detail = format!("target {:?} is not configured", grant.target);
            let refused = Refused::new(ResultCode::NoTarget, detail);
            return Err(Ending::failed(refused, DispatchOutcome::NotSent));
        };
        let dispatch = Dispatch { grant, target: target.address, at };
        self.state.history.write(|| HistoryEvent::Dispatched {
            request_id: self.job.request_id,
            route: self.job.route.clone(),
            target: dispatch.grant.target.clone(),
            version: dispatch.grant.version.clone(),
        });
        let Grant { target, version, .. } = &dispatch.grant;
        self.state.jobs.dispatch(self.job.request_id, target, version);
        self.state.quarantine.started(&dispatch.grant.target, self.job.fingerprint);
        self.progress.borrow_mut().dispatch = Some(dispatch.clone());
        Ok(dispatch)
    }

    /// Returns the grant of a dispatch whose connection was refused.
    fn give_back(&self, dispatch: &Dispatch) {
        self.progress.borrow_mut().dispatch = None;
        self.state.metrics.refused_connections.inc();
        self.state.quarantine.ended(&dispatch.grant.target, self.job.fingerprint, false);
        self.record_not_sent(dispatch);
        self.report(&dispatch.grant, DispatchOutcome::NotSent, dispatch.at);
    }

    fn record_not_sent(&self, dispatch: &Dispatch) {
        self.state.history.write(|| HistoryEvent::NotSent {
            request_id: self.job.request_id,
            target: dispatch.grant.target.clone(),
        });
    }

    fn report(&self, grant: &Grant, outcome: DispatchOutcome, dispatched_at: Instant) {
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
            self.tell_owner(pool, PeerMessage::Finished { pool: pool.clone(), finished });
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

    async fn conclude(&self, ending: Ending, is_model: bool) {
        let outcome = ending.outcome();
        let dispatch = self.progress.borrow().dispatch.clone();
        let sent = dispatch.is_some() && outcome != DispatchOutcome::NotSent;
        settle(&self.state, &self.job, &self.progress, sent);
        let attached = self.progress.borrow().attached.clone();
        if is_model {
            self.leave_stream(attached.as_ref(), dispatch.as_ref(), outcome);
        }
        if let Some(dispatch) = &dispatch {
            if !sent {
                self.record_not_sent(dispatch);
            }
            self.report(&dispatch.grant, outcome, dispatch.at);
            let completed = outcome == DispatchOutcome::Completed;
            self.state.quarantine.ended(&dispatch.grant.target, self.job.fingerprint, completed);
            if completed && is_model {
                let written = self.progress.borrow().written_tokens;
                self.state.lengths.learn(&self.job.route, &self.job.organisation, written);
            }
        } else {
            self.withdraw();
        }
        self.state.jobs.remove(self.job.request_id);
        let refused = match ending {
            Ending::Answered | Ending::AnsweredWithError | Ending::CallerLeft => None,
            Ending::Expired if attached.is_some() => {
                let detail = "the earlier request with the key has not ended in time";
                Some(Refused::new(ResultCode::EarlierRunning, detail))
            }
            Ending::Expired if dispatch.is_none() => {
                let refused =
                    Refused::new(ResultCode::ExpiredWaiting, "no target was free in time");
                Some(refused.with_retry_after(Duration::from_secs(1)))
            }
            Ending::Expired => {
                let detail = "the deadline passed before the answer was complete";
                Some(Refused::new(ResultCode::ExpiredRunning, detail))
            }
            Ending::Failed { refused, .. } => Some(refused),
        };
        self.record(outcome, refused.as_ref());
        if let Some(refused) = refused {
            self.tell_caller(refused, is_model).await;
        }
    }

    /// Cancels the stream at the engine unless it is complete or other requests with the key still read it. The key
    /// of a stream that is cancelled or was never sent is freed, so that the caller may send it again.
    fn leave_stream(
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
        release(self, request_id);
    }

    /// Withdraws the request from the queue of its pool.
    fn withdraw(&self) {
        let (pool, request_id) = (&self.job.pool, self.job.request_id);
        if self.state.cluster.is_self(&self.state.cluster.owner_of(pool)) {
            self.state.pools.cancel(pool, request_id);
        } else {
            self.tell_owner(pool, PeerMessage::Cancel { pool: pool.clone(), request_id });
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

    async fn tell_caller(&self, refused: Refused, is_model: bool) {
        if !self.progress.borrow().started {
            let _ = self.out.start(AnswerStart::Refused(refused)).await;
        } else if is_model {
            let problem = refused.problem(self.job.request_id);
            let json = serde_json::to_string(&problem).unwrap_or_default();
            let event = Bytes::from(format!("event: error\ndata: {json}\n\n"));
            let send = async {
                self.out.data(event).await?;
                self.out.end().await
            };
            let _ = tokio::time::timeout(ERROR_EVENT_TIMEOUT, send).await;
        }
        // A service answer that has begun is aborted: the sender is dropped without the end of the body.
    }

    fn record(&self, outcome: DispatchOutcome, refused: Option<&Refused>) {
        let (job, progress) = (&self.job, self.progress.borrow());
        let elapsed = job.accepted_at.elapsed();
        let waited =
            progress.granted_at.map_or(elapsed, |at| at.saturating_duration_since(job.accepted_at));
        let grant = progress.dispatch.as_ref().map(|dispatch| &dispatch.grant);
        let code = refused.map(|refused| refused.code);
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
        match refused {
            Some(refused) => self.state.history.write(|| HistoryEvent::Refused {
                request_id: job.request_id,
                code: refused.code.number(),
                run: refused.run(),
            }),
            None if outcome == DispatchOutcome::Cancelled => {
                self.state
                    .history
                    .write(|| HistoryEvent::CallerLeft { request_id: job.request_id });
            }
            None => {}
        }
        let target = grant.map_or("", |grant| grant.target.as_str());
        let run = refused.map_or(RunState::Yes, Refused::run);
        let elapsed_ms = elapsed.as_millis() as u64;
        if refused.is_some() {
            info!(self.state.log, "request failed"; "request_id" => &job.id_text,
                "route" => &job.route, "target" => target, "code" => &label,
                "run" => format!("{run:?}").to_lowercase(), "elapsed_ms" => elapsed_ms);
        } else {
            debug!(self.state.log, "request ended"; "request_id" => &job.id_text,
                "route" => &job.route, "target" => target, "result" => &label,
                "elapsed_ms" => elapsed_ms);
        }
        let reason = match (refused, grant) {
            (Some(refused), _) => refused.detail.clone(),
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
pub(crate) enum Attempt {
    /// The request ended.
    Ended(Ending),
    /// The TCP connection was refused, so another target may get the request.
    NotSent,
}
