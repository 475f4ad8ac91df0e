use super::PoolAction;
use super::ejection::{Admittance, EjectionCause};
use super::pool_scheduler::PoolScheduler;
use super::request_state::RunningRequest;
use agatecourse_types::RequestId;
use agatecourse_wire::request::{DispatchOutcome, Finished};
use std::time::{Duration, Instant};

/// Multiple of the route's time between tokens above which a target is ejected, at a batch of one.
const SLOW_FACTOR: f64 = 2.0;
/// Multiple of the expected reading time that a prompt may take, because reading shares the target with the running
/// batch.
const READ_TOLERANCE: u32 = 2;
/// Shortest prompt whose reading time is learned; the time of shorter ones is dominated by one batch step.
const MIN_READ_TOKENS: u32 = 256;
/// Shortest answer whose time between tokens is learned; that of shorter ones is dominated by scheduling noise.
const MIN_WRITTEN_TOKENS: u32 = 4;

impl PoolScheduler {
    /// Releases the grant of a request that has ended, learns its length and speed, and counts the outcome.
    pub(super) fn on_finished(&mut self, now: Instant, finished: &Finished) {
        let running = self.in_flight.remove(finished.request_id);
        if running.is_none() && self.in_flight.has_ended(finished.request_id) {
            return;
        }
        if finished.outcome != DispatchOutcome::NotSent {
            self.in_flight.record_ended(finished.request_id);
        }
        let slot = running.as_ref().map(|running| running.slot);
        let Some(slot) = slot.or_else(|| self.slot_of(&finished.target)) else { return };
        if let Some(running) = &running {
            self.learn_speed(now, slot, running, finished);
            self.learn_length(running, finished);
            let used = f64::from(finished.read_tokens) + f64::from(finished.written_tokens);
            self.release_grant(now, running, used);
        }
        self.count_outcome(now, slot, finished);
    }

    /// Removes a grant from its target and its organisation; `used_tokens` replaces the tokens charged at the grant.
    pub(super) fn release_grant(
        &mut self,
        now: Instant,
        running: &RunningRequest,
        used_tokens: f64,
    ) {
        let target = &mut self.targets[running.slot];
        target.remove_in_flight(now, running.granted_at);
        let provider = target.spec.provider.clone();
        self.credits.charge(now, provider.as_ref(), used_tokens - running.charged_tokens);
        self.organisations.remove_active(running.organisation);
        if !self.unassigned_targets.is_empty() {
            self.assign_slots(now);
        }
    }

    /// Records the time to the first token of a running request, at its first report only.
    pub(super) fn on_first_token(
        &mut self,
        now: Instant,
        request_id: RequestId,
        elapsed: Duration,
    ) {
        let Some(running) = self.in_flight.get_mut(request_id) else { return };
        let seen = std::mem::replace(&mut running.first_token_seen, true);
        let (slot, granted_at) = (running.slot, running.granted_at);
        let allowed = first_token_limit(running, self.limits.first_token);
        let target = &mut self.targets[slot];
        target.mark_prompt_read(now, granted_at);
        if let Some(allowed) = allowed.filter(|_| !seen) {
            let relative = elapsed.as_secs_f64() / allowed.as_secs_f64();
            target.concurrency_limit.observe_first_token(now, relative, target.in_flight);
        }
    }

    /// Raises the expected length of a running answer that is longer than expected, and learns from it.
    pub(super) fn on_progress(&mut self, request_id: RequestId, written_tokens: u32) {
        let Some(running) = self.in_flight.get_mut(request_id) else { return };
        if written_tokens > running.write_tokens {
            // Long answers end last, so an estimate from completed answers alone would be too low for a while. The
            // next sample of this answer is taken when it is half as long again.
            running.write_tokens = written_tokens.saturating_add(written_tokens / 2);
            let ticket = &running.ticket;
            let (route, organisation) = (&ticket.route, &ticket.organisation);
            self.lengths.learn(route, organisation, ticket.read_tokens, written_tokens);
        }
    }

    /// Drops grants whose outcome did not arrive in time, and has their nodes cancel the requests.
    pub(super) fn drop_overdue_grants(&mut self, now: Instant, actions: &mut Vec<PoolAction>) {
        while let Some((drop_at, request_id)) = self.in_flight.earliest_drop()
            && drop_at <= now
        {
            let Some(running) = self.in_flight.remove(request_id) else { break };
            self.release_grant(now, &running, running.charged_tokens);
            self.in_flight.record_ended(request_id);
            self.grants_dropped += 1;
            let (node, target) = (running.node, running.grant.target);
            actions.push(PoolAction::CancelRunning { node, request_id, target });
        }
    }

    /// Ejects a target whose time between tokens far exceeds the route's limit, unless more than half of the listed
    /// targets would be ejected for slowness.
    pub(super) fn eject_if_slow(&mut self, now: Instant, slot: usize) {
        let gap_s = self.targets[slot].speed().gap_s(1.0);
        let too_slow = gap_s > SLOW_FACTOR * self.limits.token_gap.as_secs_f64();
        let ejected = |admittance| admittance == Admittance::Ejected(EjectionCause::Slowness);
        let count = self.targets.iter().filter(|state| ejected(state.ejection.admittance()));
        let listed = self.targets.iter().filter(|state| state.listed).count();
        let allowed = 2 * (count.count() + 1) <= listed;
        if too_slow && allowed && !ejected(self.targets[slot].ejection.admittance()) {
            self.eject(now, slot, EjectionCause::Slowness);
        }
    }

    /// Ejects a target and resets its concurrency limit, so that it is loaded gradually after re-admission.
    fn eject(&mut self, now: Instant, slot: usize, cause: EjectionCause) {
        let jitter = self.jitter();
        self.targets[slot].ejection.eject(now, cause, jitter);
        self.targets[slot].concurrency_limit.reset_to_one();
        self.rates = None;
    }

    /// Counts a success or failure of a target; ejects it after repeated failures unless no other target is usable.
    fn count_outcome(&mut self, now: Instant, slot: usize, finished: &Finished) {
        match finished.outcome {
            DispatchOutcome::Completed => {
                if self.targets[slot].ejection.count_success() {
                    self.rates = None;
                }
                self.eject_if_slow(now, slot);
            }
            DispatchOutcome::Failed | DispatchOutcome::NotSent | DispatchOutcome::Broken => {
                let others = self.targets.iter().enumerate();
                let mut others = others.filter(|(other, _)| *other != slot);
                let is_last_usable = !others.any(|(_, target)| target.is_usable());
                let should_eject = self.targets[slot].ejection.count_failure();
                if should_eject && !is_last_usable {
                    self.eject(now, slot, EjectionCause::Failures);
                    self.prefixes.clear(slot);
                }
            }
            DispatchOutcome::Cancelled | DispatchOutcome::Expired => {}
        }
    }

    /// Adds the length of an answer to the estimates.
    fn learn_length(&mut self, running: &RunningRequest, finished: &Finished) {
        // An incomplete answer that is longer than expected still shows that the estimate is too low.
        let ended = finished.outcome == DispatchOutcome::Completed;
        if ended || finished.written_tokens > running.write_tokens {
            let ticket = &running.ticket;
            let written = finished.written_tokens;
            self.lengths.learn(&ticket.route, &ticket.organisation, ticket.read_tokens, written);
        }
    }

    /// Updates the speed model and the concurrency limit of a target by the times of a request.
    fn learn_speed(
        &mut self,
        now: Instant,
        slot: usize,
        running: &RunningRequest,
        finished: &Finished,
    ) {
        let Some(first_token) = finished.first_token else { return };
        let target = &mut self.targets[slot];
        let lifetime_s = now.saturating_duration_since(running.granted_at).as_secs_f64();
        let batch_seconds = target.batch_integral(now) - running.batch_integral;
        let batch = if lifetime_s > 0.0 { (batch_seconds / lifetime_s).max(1.0) } else { 1.0 };
        let in_flight = target.in_flight;
        let unread = finished.read_tokens.saturating_sub(finished.cached_tokens);
        let written = finished.written_tokens;
        let writing = finished.elapsed.saturating_sub(first_token);
        let Some(speed) = target.speed_mut(&finished.version) else { return };
        if running.read_wait <= running.read && unread >= MIN_READ_TOKENS {
            let read = first_token.saturating_sub(running.read_wait);
            speed.observe_read(f64::from(unread), read.as_secs_f64());
        }
        if written < MIN_WRITTEN_TOKENS {
            return;
        }
        speed.observe_write(f64::from(written - 1), writing.as_secs_f64(), batch);
        let gap_s = writing.as_secs_f64() / f64::from(written - 1);
        let relative = gap_s / self.limits.token_gap.as_secs_f64();
        target.concurrency_limit.observe_token_gap(now, relative, in_flight);
        let allowed = first_token_limit(running, self.limits.first_token);
        if let Some(allowed) = allowed.filter(|_| !running.first_token_seen) {
            let relative = first_token.as_secs_f64() / allowed.as_secs_f64();
            target.concurrency_limit.observe_first_token(now, relative, in_flight);
        }
        if finished.outcome == DispatchOutcome::Completed {
            target.concurrency_limit.increase_if_fast(in_flight);
        }
    }
}

/// Returns the time to the first token that the route allows for a prompt.
///
/// Returns `None` if the expected wait for earlier prompts exceeded the prompt's own reading time, because the
/// measurement would then say more about that wait than about the target's speed.
fn first_token_limit(running: &RunningRequest, limit: Duration) -> Option<Duration> {
    let measurable = running.read_wait <= running.read;
    measurable.then(|| limit + running.read_wait + READ_TOLERANCE * running.read)
}
