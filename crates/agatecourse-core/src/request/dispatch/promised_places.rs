use super::Job;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Hash by which a caller's repeat of a request is recognised on any node; 0 if there is none.
pub type CallerKey = u64;

/// Most places that are kept; more than the largest deployments refuse within the time for which places are kept.
const MAX_PLACES: usize = 8_192;
/// Time before its place at which a caller counts as punctual; covers rounding and messages between nodes.
const EARLY_TOLERANCE: Duration = Duration::from_millis(30);
/// Time for which a place is kept after it falls due; callers allow a new connection one second.
const KEPT_AFTER_DUE: Duration = Duration::from_millis(1_500);
/// Share of the targets' work until a place falls due that is promised; the rest stays with newcomers, which can still be
/// served within their objective.
const PROMISED_SHARE: f64 = 0.5;

/// Shortest time between two sweeps over the places, so that their cost does not grow with the rate of refusals.
const MIN_SWEEP_PERIOD: Duration = Duration::from_millis(50);
/// Weight of the newest place in the learned share of callers that return; about the last fifty places count.
const RETURN_LEARNING_RATE: f64 = 0.02;
/// Lower bound of that share, so that callers which begin to return find the places that they were promised.
const MIN_RETURN_SHARE: f64 = 0.1;

/// A place in the order, promised to a caller that was refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Place {
    /// Arrival of the attempt that was refused; orders the callers that return.
    pub(super) first_arrived: Instant,
    due: Instant,
    rank: u32,
    run_us: u64,
    /// True if the caller had been refused before.
    is_repeat: bool,
}

/// Places of callers that were refused for the first time, or again.
#[derive(Debug, Clone)]
struct PlaceSums {
    /// Sum of the expected run times, by rank.
    run_us_by_rank: BTreeMap<u32, u64>,
    /// Share of the callers that return to their places.
    return_share: f64,
}

impl Default for PlaceSums {
    /// Creates empty sums that expect each caller to return.
    fn default() -> Self {
        Self { run_us_by_rank: BTreeMap::new(), return_share: 1.0 }
    }
}

impl PlaceSums {
    fn promised_s(&self, rank: u32) -> f64 {
        let sum_us: u64 = self.run_us_by_rank.range(..=rank).map(|(_, sum)| *sum).sum();
        Duration::from_micros(sum_us).as_secs_f64() * self.return_share.max(MIN_RETURN_SHARE)
    }

    fn release(&mut self, place: &Place, has_returned: bool) {
        let returned = f64::from(u8::from(has_returned));
        self.return_share += RETURN_LEARNING_RATE * (returned - self.return_share);
        if let Some(sum) = self.run_us_by_rank.get_mut(&place.rank) {
            *sum -= place.run_us;
        }
    }
}

/// Places that were promised to refused callers, until they return or their time has passed.
#[derive(Debug, Clone, Default)]
pub(super) struct PromisedPlaces {
    by_caller: HashMap<CallerKey, Place>,
    /// Refused callers, with the time until which they are remembered.
    refused: HashMap<CallerKey, Instant>,
    /// Sums over the places of callers that were refused for the first time; most of these return.
    first: PlaceSums,
    /// Sums over the places of callers that had been refused before; many of these have no attempt left.
    repeated: PlaceSums,
    /// Time before which nothing can have expired.
    next_expiry: Option<Instant>,
}

impl PromisedPlaces {
    /// Returns the number of places.
    pub(super) fn len(&self) -> usize {
        self.by_caller.len()
    }

    /// Returns the expected run seconds of the callers of a rank and all more urgent ranks that will return to their places.
    pub(super) fn promised_s(&self, rank: u32) -> f64 {
        self.first.promised_s(rank) + self.repeated.promised_s(rank)
    }

    /// Promises a place at `due` to the caller of a refused attempt, unless too much is promised until then; returns the time at
    /// which the caller should return. A caller that already has a place keeps it, so that returning early gains nothing.
    pub(super) fn promise(
        &mut self,
        now: Instant,
        job: &Job,
        due: Instant,
        run_s: f64,
        capacity: f64,
    ) -> Option<Instant> {
        self.expire(now);
        if job.caller == 0 {
            return None;
        }
        if let Some(place) = self.by_caller.get(&job.caller) {
            return Some(place.due);
        }
        let is_repeat = self.remember(now, job);
        let until_due_s = due.saturating_duration_since(now).as_secs_f64();
        if self.by_caller.len() >= MAX_PLACES
            || self.promised_s(job.rank) + run_s > until_due_s * capacity * PROMISED_SHARE
        {
            return None;
        }
        let run_time = Duration::try_from_secs_f64(run_s).unwrap_or_default();
        let micros = run_time.as_micros() as u64;
        let first_arrived = job.place.unwrap_or(job.arrived);
        let place = Place { first_arrived, due, rank: job.rank, run_us: micros, is_repeat };
        self.by_caller.insert(job.caller, place);
        *self.sums(is_repeat).run_us_by_rank.entry(job.rank).or_default() += micros;
        self.expire_at(due + KEPT_AFTER_DUE);
        Some(due)
    }

    /// Remembers a refused caller until its deadline; returns whether it had been refused before.
    fn remember(&mut self, now: Instant, job: &Job) -> bool {
        let until = now.max(job.deadline);
        if self.refused.contains_key(&job.caller) {
            return true;
        }
        if self.refused.len() < MAX_PLACES {
            self.refused.insert(job.caller, until);
            self.expire_at(until);
        }
        false
    }

    fn sums(&mut self, is_repeat: bool) -> &mut PlaceSums {
        if is_repeat { &mut self.repeated } else { &mut self.first }
    }

    fn expire_at(&mut self, expiry: Instant) {
        self.next_expiry = Some(self.next_expiry.map_or(expiry, |next| next.min(expiry)));
    }

    /// Takes the place of a caller that returns; `None` without a place, or before it falls due.
    pub(super) fn claim(&mut self, now: Instant, caller: CallerKey) -> Option<Place> {
        self.expire(now);
        let place = *self.by_caller.get(&caller)?;
        if now + EARLY_TOLERANCE < place.due {
            return None;
        }
        self.by_caller.remove(&caller);
        self.sums(place.is_repeat).release(&place, true);
        Some(place)
    }

    /// Gives up the places whose callers have not returned.
    fn expire(&mut self, now: Instant) {
        if self.next_expiry.is_none_or(|next| now < next) {
            return;
        }
        let mut expired = Vec::new();
        self.by_caller.retain(|_, place| {
            let is_kept = now < place.due + KEPT_AFTER_DUE;
            if !is_kept {
                expired.push(*place);
            }
            is_kept
        });
        for place in expired {
            self.sums(place.is_repeat).release(&place, false);
        }
        self.refused.retain(|_, until| now < *until);
        // At most one sweep in a while, however close together the places fall due.
        let next = self.by_caller.values().map(|place| place.due + KEPT_AFTER_DUE);
        self.next_expiry = next
            .chain(self.refused.values().copied())
            .min()
            .map(|expiry| expiry.max(now + MIN_SWEEP_PERIOD));
    }
}
