mod request_log;

use super::admission::{AdmissionError, AdmittedRequest, admit, quarantine_reason};
use super::attempt::{AttemptEnd, attempt, return_to_pool};
use super::attempt_guard::AttemptGuard;
use super::crash_check::{LossVerdict, check_for_crash, still_runs};
use super::crash_reports::crash_reports;
use super::outbound::outbound_request;
use super::relay::{Relay, RelayEnd, RelayOptions};
use super::run_evidence::RunEvidence;
use super::{CallerRequest, Reply, serialize_response};
use crate::connection::{BodyFraming, ResponseHead, TargetConnection};
use crate::process::{Gateway, Placement, WireJob, may_start_request};
use crate::version::Target;
use agatecourse_core::request::CrashVerdict;
use agatecourse_core::request::dispatch::{CallerKey, Refusal, RunEnd};
use agatecourse_types::{ResultCode, TargetId, ZoneId, stable_hash};
use request_log::log_reply;
use slog::warn;
use smallvec::SmallVec;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::oneshot;

/// `Retry-After` when a request could not be placed for a reason other than load.
const PLACEMENT_RETRY: Duration = Duration::from_millis(300);
/// Grants of targets that are closed to this node after which a request asks for none of these targets any more; the owner of the queue
/// hears of a closed target before it gets the next attempt, so that further grants mean that it does not know the target's process.
const MAX_CLOSED_GRANTS: u32 = 2;
/// Grants of targets in evacuated zones or outside the request's home regions after which a request is refused; the owner of the queue does
/// not know that they may not run it.
const MAX_GRANTS_OF_OTHER_ZONES: u32 = 8;
/// Attempts that end without running the request, such as failed connections, before the request is refused.
const MAX_UNSENT_ATTEMPTS: u32 = 3;
/// Time reserved before the deadline to write the refusal before the caller times out.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);
/// Longest wait of a retry for the check whether its target has crashed.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest wait of a request for a higher quota bound; several calls to the store.
const QUOTA_BOUND_WAIT: Duration = Duration::from_millis(100);
/// Timeout of an attempt of a repeatable request that may be retried, in multiples of the route's latency objective.
const RESPONSE_TIMEOUT_OBJECTIVES: u32 = 2;

/// Part of a caller's patience for which a stream without a complete event is left alone; the rest is for the target that resumes it.
const STALL_PATIENCE_RATIO: f64 = 0.6;

/// State of an admitted request across its attempts.
struct RequestState<'a> {
    gateway: &'a Rc<Gateway>,
    request: &'a CallerRequest,
    admitted: AdmittedRequest,
    deadline: Instant,
    /// True when the caller's connection closes after the response.
    closes: bool,
    relay: Relay,
    failed_targets: SmallVec<[TargetId; 2]>,
    /// Attempts of which bytes were sent, except those that the target did not run.
    sent_attempts: u32,
    /// Attempts that ended without running the request: not sent, not run, or granted a target that this node does not know.
    unsent_attempts: u32,
    /// Grants that were not used because the target had closed to this node.
    closed_grants: u32,
    /// Grants that were not used because the target's zone may not run the request.
    unusable_grants: u32,
    /// Response of a target to an earlier attempt, which said that it failed; the reply if no later attempt gets a response.
    failed_response: Option<Reply>,
    /// Evidence of the run in flight on the version of its target.
    evidence: Option<RunEvidence>,
    /// True while an attempt is in flight; the log line of a request that ends meanwhile counts it.
    is_sending: bool,
    /// Target of the latest attempt, for the log; empty before the first.
    last_target: TargetId,
    /// Time from the arrival to the first grant of a target.
    granted_after: Option<Duration>,
    /// Time at which the latest attempt was sent.
    sent_at: Instant,
}

/// Reason why a request ends before its response is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EarlyEnd {
    /// The timeout of the caller or of the route, whichever is shorter, has almost expired.
    Deadline,
    /// The grace period after the shutdown signal is almost over, so the node ends its open requests.
    Shutdown,
}

/// What to do after an attempt.
enum NextStep {
    /// Return this reply.
    Reply(Reply),
    /// Submit another attempt that excludes the target.
    Retry,
    /// Submit the attempt again, as no byte of it was sent to the target, which may take requests later.
    Resubmit,
}

/// Admits a request, queues it and sends it to targets until it has a reply; writes stream events to the caller.
pub(crate) async fn process_request(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    caller: &mut OwnedWriteHalf,
    closes: bool,
) -> Reply {
    let admitted = match admit_within_bounds(gateway, request).await {
        Ok(admitted) => admitted,
        Err(reply) => {
            log_reply(gateway, request, None, &reply);
            return reply;
        }
    };
    let timeout = request.timeout(&gateway.header_names).min(admitted.route.timeout);
    if !may_start_request(gateway, request.arrived, request.arrived + timeout) {
        let reason = format!("process may end within {} ms", timeout.as_millis());
        let reply = Reply::refusal(ResultCode::ShuttingDown, PLACEMENT_RETRY, reason);
        log_reply(gateway, request, None, &reply);
        return reply;
    }
    gateway.record_first_attempt(&admitted.service);
    let may_have_run = Cell::new(false);
    let mut state = RequestState {
        deadline: request.arrived + timeout,
        gateway,
        request,
        admitted,
        closes,
        relay: Relay::new(),
        failed_targets: SmallVec::new(),
        sent_attempts: 0,
        unsent_attempts: 0,
        closed_grants: 0,
        unusable_grants: 0,
        failed_response: None,
        evidence: None,
        is_sending: false,
        last_target: TargetId::new(),
        granted_after: None,
        sent_at: request.arrived,
    };
    let until = tokio::time::Instant::from_std(
        state.deadline.checked_sub(RESPONSE_MARGIN).unwrap_or(state.deadline),
    );
    let served = tokio::select! {
        biased;
        reply = tokio::time::timeout_at(until, state.run_attempts(caller, &may_have_run)) => {
            reply.map_err(|_| EarlyEnd::Deadline)
        }
        () = gateway.wait_for_end() => Err(EarlyEnd::Shutdown),
    };
    let reply =
        served.unwrap_or_else(|early_end| state.early_end_reply(early_end, may_have_run.get()));
    log_reply(gateway, request, Some(&state), &reply);
    reply
}

/// Admits a request; if a quota bound refuses it, waits for a higher one for up to `QUOTA_BOUND_WAIT`.
async fn admit_within_bounds(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
) -> Result<AdmittedRequest, Reply> {
    let wait_until = Instant::now() + QUOTA_BOUND_WAIT;
    loop {
        match admit(gateway, Instant::now(), request) {
            Ok(admitted) => return Ok(admitted),
            Err(AdmissionError::Refused(reply)) => return Err(reply),
            Err(AdmissionError::QuotaBound(reply)) => {
                if !gateway.wait_for_quota_bound(wait_until).await {
                    return Err(reply);
                }
            }
        }
    }
}

impl RequestState<'_> {
    /// Submits attempts to the queue and sends them to the granted targets until one leads to a reply.
    async fn run_attempts(
        &mut self,
        caller: &mut OwnedWriteHalf,
        may_have_run: &Cell<bool>,
    ) -> Reply {
        loop {
            let verdict = self.gateway.crash_verdict(Instant::now(), &self.admitted.suspect_keys);
            if let Some(reply) = self.quarantine_reply(&verdict) {
                return reply;
            }
            if let Some(reply) = self.zone_refusal() {
                return reply;
            }
            let (number, placement) = self.submit(&verdict);
            let mut guard = AttemptGuard::new(self.gateway, number);
            let placement = tokio::select! {
                biased;
                verdict = self.gateway.wait_for_quarantine(&self.admitted.suspect_keys) => {
                    if let Some(reply) = self.quarantine_reply(&verdict) {
                        return reply;
                    }
                    continue;
                }
                placement = placement => placement,
            };
            let Ok(placement) = placement else {
                return self.not_placed_reply(
                    ResultCode::NoTarget,
                    PLACEMENT_RETRY,
                    "queue gave no answer",
                );
            };
            let (target, owner) = match placement {
                Placement::Granted { target, owner } => (target, owner),
                Placement::Refused { retry_after, predicted_wait, refusal, owner } => {
                    let reason = refusal_reason(&owner, predicted_wait, &refusal);
                    let has_place = if refusal.has_place { "yes" } else { "no" };
                    self.gateway.metrics.queue_refusals.with_label_values(&[has_place]).inc();
                    return self.not_placed_reply(ResultCode::Shed, retry_after, &reason);
                }
            };
            if self.gateway.is_ending() {
                return self.not_placed_reply(
                    ResultCode::ShuttingDown,
                    PLACEMENT_RETRY,
                    "process ends",
                );
            }
            let now = Instant::now();
            guard.record_grant(now);
            let waited = now.saturating_duration_since(self.request.arrived);
            self.granted_after.get_or_insert(waited);
            self.gateway.metrics.wait_seconds.observe(waited.as_secs_f64());
            let Some(target) = self.gateway.target(&target) else {
                guard.end(RunEnd::Unused);
                self.unsent_attempts += 1;
                self.failed_targets.push(target);
                if self.unsent_attempts >= MAX_UNSENT_ATTEMPTS {
                    return self.not_placed_reply(
                        ResultCode::NoTarget,
                        PLACEMENT_RETRY,
                        "granted target is unknown here",
                    );
                }
                continue;
            };
            if !self.may_run_in(&target.zone) {
                guard.end(RunEnd::Unused);
                self.failed_targets.push(target.id.clone());
                self.unusable_grants += 1;
                if self.unusable_grants >= MAX_GRANTS_OF_OTHER_ZONES {
                    return self.not_placed_reply(
                        ResultCode::NoTarget,
                        PLACEMENT_RETRY,
                        "queue grants targets of zones that may not run the request",
                    );
                }
                continue;
            }
            self.last_target.clone_from(&target.id);
            match self.run_attempt(&target, &owner, guard, caller, may_have_run).await {
                NextStep::Reply(reply) => return reply,
                NextStep::Retry => self.failed_targets.push(target.id.clone()),
                NextStep::Resubmit => {
                    self.closed_grants += 1;
                    if self.closed_grants > MAX_CLOSED_GRANTS {
                        self.failed_targets.push(target.id.clone());
                    }
                }
            }
        }
    }

    /// Submits an attempt to the queue of the service; returns its number and the receiver of the placement.
    fn submit(&self, verdict: &CrashVerdict) -> (u64, oneshot::Receiver<Placement>) {
        let now = Instant::now();
        let suspects = match verdict {
            CrashVerdict::Suspect(suspects) => suspects.clone(),
            CrashVerdict::Clear | CrashVerdict::Quarantined { .. } => SmallVec::new(),
        };
        let admitted = &self.admitted;
        let millis = |duration: Duration| duration.as_millis() as u32;
        let timeout = self.deadline.saturating_duration_since(self.request.arrived);
        let expected = admitted.workload.expected_output_tokens.max(1);
        let request_id = self.request.id(&self.gateway.header_names).unwrap_or_default();
        let (version, avoided_version) =
            self.gateway.version_constraints(&admitted.service, request_id, self.request_kind());
        let job = WireJob {
            kind: self.request_kind(),
            rank: admitted.rank,
            waited_ms: 0,
            objective_ms: millis(admitted.route.objective),
            deadline_ms: millis(timeout),
            relative_size: self.gateway.relative_size(&admitted.route.name, expected),
            prompt_tokens: admitted.workload.prompt_tokens,
            shared_part: admitted.workload.shared_part,
            prompt_parts: admitted.workload.prompt_parts.clone(),
            zone: self.gateway.settings.zone.clone(),
            excluded: self.failed_targets.clone(),
            is_retry: self.sent_attempts > 0,
            version,
            avoided_version,
            suspects,
            home_zones: admitted.home_zones.clone().unwrap_or_default(),
            organisation: admitted
                .organisation
                .as_ref()
                .map_or(0, |name| stable_hash(&[name.as_bytes()])),
            weight: admitted.weight,
            caller: self.caller_key(),
        };
        self.gateway.submit(now, &admitted.service, self.request.arrived, job)
    }

    /// Returns whether the targets of a zone may run the request: the zone is not evacuated, and a home of the request.
    fn may_run_in(&self, zone: &ZoneId) -> bool {
        let homes = &self.admitted.home_zones;
        !self.gateway.is_evacuated(zone) && homes.as_ref().is_none_or(|zones| zones.contains(zone))
    }

    /// Returns the refusal of a request that may run in none of the zones with targets; `None` for another one.
    fn zone_refusal(&mut self) -> Option<Reply> {
        let (service, homes) = (&self.admitted.service, self.admitted.home_zones.as_ref());
        if !self.gateway.zones_exclude_all_targets(service, homes) {
            return None;
        }
        let reason = "no target in a zone that may run the request takes requests";
        Some(self.not_placed_reply(ResultCode::NoTarget, PLACEMENT_RETRY, reason))
    }

    /// Returns the reply to a request that ends before its response is complete; its code depends on whether a target
    /// may have run the request.
    fn early_end_reply(&mut self, early_end: EarlyEnd, may_have_run: bool) -> Reply {
        let (name, unsent, running) = match early_end {
            EarlyEnd::Deadline => {
                ("deadline passed", ResultCode::ExpiredWaiting, ResultCode::ExpiredRunning)
            }
            EarlyEnd::Shutdown => {
                ("process ends", ResultCode::ShuttingDown, ResultCode::OutcomeUnknown)
            }
        };
        if self.relay.has_started() {
            Reply::StreamBroken { reason: format!("{name} inside the stream") }
        } else if let Some(reply) = self.failed_response.take() {
            reply
        } else if may_have_run {
            Reply::error(running, format!("{name} while the target was at work"))
        } else {
            Reply::refusal(unsent, PLACEMENT_RETRY, format!("{name} in the queue"))
        }
    }

    /// Returns the reply to a quarantined request; `None` for another one.
    fn quarantine_reply(&mut self, verdict: &CrashVerdict) -> Option<Reply> {
        let (retry_after, reason) = quarantine_reason(verdict)?;
        Some(self.not_placed_reply(ResultCode::Quarantined, retry_after, &reason))
    }

    /// Returns the reply to a request that gets no further target: the failure with which an earlier one has answered, else a refusal, or an
    /// unknown outcome if an earlier attempt was sent.
    fn not_placed_reply(&mut self, code: ResultCode, retry_after: Duration, reason: &str) -> Reply {
        if self.relay.has_started() {
            return Reply::StreamBroken { reason: reason.to_string() };
        }
        if let Some(reply) = self.failed_response.take() {
            return reply;
        }
        if self.sent_attempts > 0 {
            return Reply::error(ResultCode::OutcomeUnknown, reason);
        }
        Reply::refusal(code, retry_after, reason)
    }

    /// Sends the request to the granted target, logs how the attempt ended and decides the next step.
    async fn run_attempt(
        &mut self,
        target: &Rc<Target>,
        owner: &str,
        guard: AttemptGuard,
        caller: &mut OwnedWriteHalf,
        may_have_run: &Cell<bool>,
    ) -> NextStep {
        let end = self.send_to_target(target, may_have_run).await;
        self.log_attempt(target, owner, &end);
        self.handle_attempt_end(target, end, guard, caller, may_have_run).await
    }

    /// Sends the request to a target and waits for its response, or for the head of a stream.
    async fn send_to_target(
        &mut self,
        target: &Rc<Target>,
        may_have_run: &Cell<bool>,
    ) -> AttemptEnd {
        let gateway = self.gateway;
        let kind = self.admitted.route.kind;
        let left = self.deadline.saturating_duration_since(Instant::now());
        let resume_after = self.relay.last_event_id().map(ToString::to_string);
        let bytes = outbound_request(
            self.request,
            &self.admitted,
            target,
            &gateway.header_names,
            left,
            resume_after.as_deref(),
        );
        let response_timeout = if kind.is_repeatable() && self.can_retry_after_this_attempt() {
            (self.admitted.route.objective * RESPONSE_TIMEOUT_OBJECTIVES).min(left)
        } else {
            left
        };
        let mut sent = false;
        self.sent_at = Instant::now();
        self.evidence = Some(RunEvidence::new(gateway, target, self.request_kind()));
        self.is_sending = true;
        may_have_run.set(true);
        if let Some(quota) = &mut self.admitted.quota {
            quota.commit(Instant::now(), self.sent_attempts > 0);
        }
        let future = attempt(gateway, self.request, target, &bytes, kind.is_stream(), &mut sent);
        let end = tokio::time::timeout(response_timeout, future).await.unwrap_or_else(|_| {
            AttemptEnd::Lost { reason: format!("no answer in {} ms", response_timeout.as_millis()) }
        });
        self.is_sending = false;
        if !sent {
            may_have_run.set(self.sent_attempts > 0);
        }
        self.sent_attempts += u32::from(sent);
        let is_closed = matches!(end, AttemptEnd::Closed { .. });
        self.unsent_attempts += u32::from(!sent && !is_closed);
        // The answer of a stream is good once the stream has ended well.
        // What a lost answer says is known once its target was checked.
        if !matches!(end, AttemptEnd::Stream { .. } | AttemptEnd::Lost { .. }) {
            self.end_evidence(match &end {
                AttemptEnd::Complete { head, .. } => {
                    Some(head.status >= 500 || self.relay.has_started())
                }
                _ => None,
            });
        }
        end
    }

    /// Reports whether the run in flight has failed, `None` if its target did not run it, for the evaluation of the target's version.
    fn end_evidence(&mut self, has_failed: Option<bool>) {
        let Some(evidence) = self.evidence.take() else { return };
        match has_failed {
            Some(has_failed) => evidence.end(has_failed),
            None => evidence.discard(),
        }
    }

    /// Reports the end of an attempt to the queue and decides whether to reply or to retry.
    async fn handle_attempt_end(
        &mut self,
        target: &Rc<Target>,
        end: AttemptEnd,
        guard: AttemptGuard,
        caller: &mut OwnedWriteHalf,
        may_have_run: &Cell<bool>,
    ) -> NextStep {
        let kind = self.admitted.route.kind;
        match end {
            AttemptEnd::Complete { head, body } => {
                // A response that is no stream does not resume one.
                let is_failure = head.status >= 500 || self.relay.has_started();
                let (now, keys) = (Instant::now(), &self.admitted.suspect_keys);
                if is_failure {
                    // The target may have failed the request before it ran the part that crashes targets.
                    self.gateway.record_progress(now, keys);
                } else {
                    self.gateway.record_sound(now, keys);
                }
                guard.end(if is_failure { RunEnd::Failed } else { RunEnd::Answered });
                let may_retry = is_failure && kind.is_repeatable() && self.try_take_retry();
                if self.relay.has_started() {
                    if may_retry {
                        return NextStep::Retry;
                    }
                    return NextStep::Reply(Reply::StreamBroken {
                        reason: format!("resumed stream got status {}", head.status),
                    });
                }
                let bytes =
                    serialize_response(&self.request.head.method, &head, &body, self.closes);
                let reply = Reply::Complete { status: head.status, bytes };
                if may_retry {
                    self.failed_response = Some(reply);
                    return NextStep::Retry;
                }
                NextStep::Reply(reply)
            }
            AttemptEnd::Stream { head, connection } => {
                self.relay_stream(target, guard, caller, &head, connection).await
            }
            AttemptEnd::NotSent { reason } => {
                guard.end(RunEnd::Unreachable);
                self.retry_unsent(&reason)
            }
            AttemptEnd::NoSocket => {
                // The target is sound, so the queue must not pause it.
                guard.end(RunEnd::Unused);
                self.retry_unsent("all sockets are in use")
            }
            AttemptEnd::NoMemory { reason } => {
                guard.end(RunEnd::Abandoned);
                NextStep::Reply(self.not_placed_reply(
                    ResultCode::OutcomeUnknown,
                    PLACEMENT_RETRY,
                    &reason,
                ))
            }
            AttemptEnd::Closed { .. } => {
                guard.end(RunEnd::Unused);
                NextStep::Resubmit
            }
            AttemptEnd::NotRun { .. } | AttemptEnd::WrongTarget => {
                let is_wrong = matches!(end, AttemptEnd::WrongTarget);
                guard.end(if is_wrong { RunEnd::Unreachable } else { RunEnd::Rejected });
                self.sent_attempts -= 1;
                may_have_run.set(self.sent_attempts > 0);
                self.unsent_attempts += 1;
                if self.unsent_attempts < MAX_UNSENT_ATTEMPTS
                    && self.has_attempts_left()
                    && self.try_take_retry()
                {
                    return NextStep::Retry;
                }
                // The pause that a target asks for concerns this node; callers may come back as soon as any target takes requests.
                let pause = self.gateway.pause_of_all_targets(&self.admitted.service);
                let retry_after = pause.unwrap_or_default().max(PLACEMENT_RETRY);
                NextStep::Reply(self.not_placed_reply(
                    ResultCode::Shed,
                    retry_after,
                    "target refused the request",
                ))
            }
            AttemptEnd::Lost { reason } => {
                self.end_lost_run(target, guard, false).await;
                if kind.is_repeatable() && self.try_take_retry() {
                    return NextStep::Retry;
                }
                NextStep::Reply(self.not_placed_reply(
                    ResultCode::OutcomeUnknown,
                    PLACEMENT_RETRY,
                    &reason,
                ))
            }
        }
    }

    /// Decides whether an attempt of which no byte was sent is followed by another.
    fn retry_unsent(&mut self, reason: &str) -> NextStep {
        if self.unsent_attempts < MAX_UNSENT_ATTEMPTS {
            return NextStep::Retry;
        }
        NextStep::Reply(self.not_placed_reply(ResultCode::NoTarget, PLACEMENT_RETRY, reason))
    }

    /// Relays a stream to the caller; if it breaks, retries when the route and the retry budget allow it.
    async fn relay_stream(
        &mut self,
        target: &Rc<Target>,
        guard: AttemptGuard,
        caller: &mut OwnedWriteHalf,
        head: &ResponseHead,
        mut connection: TargetConnection,
    ) -> NextStep {
        let gateway = self.gateway;
        let stream_held = self.request.held.slot().hold();
        let options = RelayOptions {
            header_names: &gateway.header_names,
            closes: self.closes,
            stall_limit: self.stall_limit(),
            held: &stream_held,
        };
        let keys = &self.admitted.suspect_keys;
        let evidence = &mut self.evidence;
        let mut end = self
            .relay
            .forward_stream(
                head,
                &mut connection,
                caller,
                options,
                |is_second| {
                    let now = Instant::now();
                    gateway.record_heard(now, &target.id);
                    if let Some(evidence) = evidence {
                        evidence.record_events(now);
                    }
                    if is_second {
                        gateway.record_progress(now, keys);
                    }
                },
                || gateway.try_retry(&self.admitted.service),
            )
            .await;
        let is_stalled = matches!(end, RelayEnd::Stalled { .. });

        if matches!(end, RelayEnd::Complete) {
            end = if head.framing == BodyFraming::UntilClose
                && !still_runs(gateway, target, connection.tunnel.as_ref()).await
            {
                RelayEnd::TargetFailed { reason: "target ended with the connection".to_string() }
            } else if self.relay.finish(caller, &stream_held).await.is_err() {
                RelayEnd::CallerDisconnected
            } else {
                gateway.record_sound(Instant::now(), keys);
                RelayEnd::Complete
            };
        }
        match end {
            RelayEnd::CallerDisconnected => {}
            // A shortage of this node says nothing about the version of the target.
            RelayEnd::MemoryFull { .. } => self.end_evidence(None),
            RelayEnd::Complete => self.end_evidence(Some(false)),
            // `end_lost_run` reports these.
            RelayEnd::TargetFailed { .. } | RelayEnd::Stalled { .. } => {}
        }
        if let Some(first) = self.relay.first_event {
            let elapsed = first.saturating_duration_since(self.request.arrived);
            gateway.metrics.first_byte_seconds.observe(elapsed.as_secs_f64());
        }
        match end {
            RelayEnd::Complete => {
                guard.end(RunEnd::Answered);
                return_to_pool(gateway, target, connection, head);
                NextStep::Reply(Reply::StreamEnded)
            }
            RelayEnd::CallerDisconnected => NextStep::Reply(Reply::StreamBroken {
                reason: "writing to the caller failed".to_string(),
            }),
            RelayEnd::MemoryFull { source } => {
                NextStep::Reply(Reply::StreamBroken { reason: source.to_string() })
            }
            RelayEnd::TargetFailed { .. } | RelayEnd::Stalled { .. } => {
                let reason = end.to_string();
                drop(connection);
                gateway.pool.borrow_mut().remove_target(&target.id);
                warn!(gateway.log, "stream broke"; "request" => self.request.id(&gateway.header_names),
                    "target" => &target.id, "reason" => &reason, "last_event" => self.relay.last_event_id(), "answer_went_on" => self.relay.answer_goes_on());
                self.end_lost_run(target, guard, self.relay.answer_goes_on()).await;
                // A stalled stream is given up only after the retry was taken.
                if is_stalled || (self.admitted.route.kind.is_repeatable() && self.try_take_retry())
                {
                    return NextStep::Retry;
                }
                NextStep::Reply(self.not_placed_reply(
                    ResultCode::OutcomeUnknown,
                    PLACEMENT_RETRY,
                    &reason,
                ))
            }
        }
    }

    /// Returns the time without a complete event after which another target may resume the stream, `None` if none may.
    fn stall_limit(&self) -> Option<Duration> {
        let route = &self.admitted.route;
        (route.kind.is_repeatable() && self.has_attempts_left())
            .then(|| route.stream_patience().mul_f64(STALL_PATIENCE_RATIO))
    }

    /// Returns the hash by which the queue recognises the caller's request when it is sent again on another connection. Repeats share
    /// path, credentials, body and prompt, but not the request id.
    fn caller_key(&self) -> CallerKey {
        let headers = &self.request.head.headers;
        let names = &self.gateway.header_names;
        let text = |name: &str| headers.get(name).unwrap_or_default().as_bytes();
        let repeat = self.admitted.suspect_keys.first().copied().unwrap_or_default().to_le_bytes();
        stable_hash(&[
            self.admitted.route.name.as_bytes(),
            &repeat,
            text(&names.prompt_parts),
            text(&names.token_count),
        ])
    }

    /// Returns the hash of the route name, which identifies requests of the same kind.
    fn request_kind(&self) -> u64 {
        stable_hash(&[self.admitted.route.name.as_bytes()])
    }

    fn has_attempts_left(&self) -> bool {
        self.sent_attempts < self.admitted.route.max_attempts
    }

    fn can_retry_after_this_attempt(&self) -> bool {
        self.sent_attempts + 1 < self.admitted.route.max_attempts
    }

    /// Takes a retry from the retry budget if the route allows another attempt.
    fn try_take_retry(&self) -> bool {
        self.has_attempts_left() && self.gateway.try_retry(&self.admitted.service)
    }

    /// Ends the attempt of a lost run as soon as it is known whether its target has crashed. If a retry may follow, waits for that, so
    /// that the retry takes account of the crash.
    ///
    /// The attempts of requests without prompt parts end at once, as their objectives are shorter than the check; they count against the target only if
    /// another one was heard meanwhile. A stream that went on is resumed without the wait, which would add to the pause between its events.
    async fn end_lost_run(&mut self, target: &Rc<Target>, guard: AttemptGuard, went_on: bool) {
        let has_parts = self.admitted.suspect_keys.len() > 1;
        let reports = crash_reports(&self.admitted.suspect_keys, target, self.sent_at, went_on);
        let may_retry = self.admitted.route.kind.is_repeatable() && self.has_attempts_left();
        let request = self.request.id(&self.gateway.header_names).unwrap_or_default().to_string();
        let check = check_for_crash(Rc::clone(self.gateway), Rc::clone(target), request, reports);
        let evidence = self.evidence.take();
        let check = async move {
            let verdict = check.await;
            match evidence {
                Some(evidence) if verdict == LossVerdict::Unknown => evidence.discard(),
                Some(evidence) => evidence.end(true),
                None => {}
            }
            verdict
        };
        if !has_parts {
            let links_work = self.gateway.has_heard_other(self.sent_at, &target.id);
            guard.end(if links_work { RunEnd::Broken } else { RunEnd::Abandoned });
            actix_rt::spawn(check);
            return;
        }
        let check = actix_rt::spawn(async move {
            guard.end(match check.await {
                LossVerdict::Crashed => RunEnd::Unreachable,
                LossVerdict::Sound => RunEnd::Broken,
                LossVerdict::Unknown => RunEnd::Abandoned,
            });
        });
        if may_retry && !went_on {
            // The check goes on after the time that a retry waits for it.
            let _ = tokio::time::timeout(CRASH_CHECK_TIMEOUT, check).await;
        }
    }
}

/// Returns the text by which the log explains a refusal by a queue: how long the attempt would have waited, and for whom.
fn refusal_reason(owner: &str, predicted_wait: Duration, refusal: &Refusal) -> String {
    let place = if refusal.has_place { ", place kept" } else { "" };
    format!(
        "{owner} predicts a wait of {} ms, {} ms of it for more urgent ranks and running requests, {} ms for the same organisation{place}",
        predicted_wait.as_millis(),
        refusal.urgent_wait.as_millis(),
        refusal.own_wait.as_millis()
    )
}
