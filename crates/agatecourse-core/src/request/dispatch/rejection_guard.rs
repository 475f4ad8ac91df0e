use super::NamedLimit;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time in which a brittle target counts the requests that it turns away.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);
/// Time after which a granted request counts as accepted; a rejection takes a few round trips to reach the owner of the queue.
const ACCEPTED_AFTER: Duration = Duration::from_millis(100);
/// Time without a rejection after which the target is believed to have room for one request more.
const GROWTH_PERIOD: Duration = Duration::from_secs(1);

/// Keeps the requests that a brittle target turns away for want of room below the number that brings it down.
///
/// A target that turns a request away has less room than its slots say: connections hold slots too, and runs that were given up may still be at work. The
/// guard remembers the room that it had and lets it grow slowly, and it holds requests back while those that are under way could all be turned away and bring
/// the target down. It does nothing for a target that does not say that it is brittle.
#[derive(Debug, Clone, Default)]
pub(super) struct RejectionGuard {
    named: Option<NamedLimit>,
    rejections: VecDeque<Instant>,
    /// Room that the target had when it last turned a request away, and since when it may grow.
    room: Option<(u32, Instant)>,
}

impl RejectionGuard {
    /// Takes over what a response of the target says of it, unless a newer one is known.
    pub(super) fn set_named(&mut self, named: NamedLimit) {
        if self.named.is_some_and(|known| known.named_at >= named.named_at) {
            return;
        }
        self.named = Some(named);
        if named.per_s.is_none() {
            self.rejections.clear();
            self.room = None;
        }
    }

    /// Records that the target turned a request away while it had this many others.
    pub(super) fn record_rejection(&mut self, now: Instant, other_runs: usize) {
        if self.per_s().is_none() {
            return;
        }
        self.expire(now);
        self.rejections.push_back(now);
        let room = u32::try_from(other_runs).unwrap_or(u32::MAX).max(1);
        let known = self.room.map_or(u32::MAX, |(known, since)| grown(now, known, since));
        self.room = Some((room.min(known), now));
    }

    /// Returns how many requests the target may have at a time; `granted` are the times of those that it has.
    pub(super) fn most_runs(
        &self,
        now: Instant,
        slots: u32,
        granted: impl Iterator<Item = Instant>,
    ) -> u32 {
        let Some(per_s) = self.per_s() else { return slots };
        let room = self.room.map_or(slots, |(room, since)| grown(now, room, since).min(slots));
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < REJECTION_WINDOW;
        let rejected = self.rejections.iter().filter(|at| is_recent(at)).count();
        if rejected == 0 {
            return room;
        }
        let (mut accepted, mut under_way) = (0, 0);
        for at in granted {
            if now.saturating_duration_since(at) < ACCEPTED_AFTER {
                under_way += 1;
            } else {
                accepted += 1;
            }
        }
        // One more request, and all that are under way, may be turned away.
        let bearable = (per_s as usize).saturating_sub(rejected).max(under_way);
        room.min(u32::try_from(accepted + bearable).unwrap_or(u32::MAX))
    }

    fn per_s(&self) -> Option<f64> {
        self.named?.per_s
    }

    fn expire(&mut self, now: Instant) {
        while self
            .rejections
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) >= REJECTION_WINDOW)
        {
            self.rejections.pop_front();
        }
    }
}

/// Returns the room that a target is believed to have some time after it turned a request away.
fn grown(now: Instant, room: u32, since: Instant) -> u32 {
    let periods = now.saturating_duration_since(since).as_secs() / GROWTH_PERIOD.as_secs().max(1);
    room.saturating_add(u32::try_from(periods).unwrap_or(u32::MAX))
}
