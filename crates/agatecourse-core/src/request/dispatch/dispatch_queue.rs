use super::fair_share::{FairShare, LaneId};
use super::{Job, JobKey};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::time::Instant;

/// Waiting attempts, in one lane for each rank and organisation.
#[derive(Debug, Clone, Default)]
pub(super) struct DispatchQueue {
    lanes: BTreeMap<LaneId, Lane>,
    len: usize,
}

/// Waiting attempts of a rank and organisation, in service order after [`Lane::sort`].
#[derive(Debug, Clone, Default)]
struct Lane {
    jobs: Vec<QueuedJob>,
    /// True if attempts were added since the last sort.
    is_changed: bool,
    /// First time at which an attempt misses its objective, which changes the order.
    next_miss: Option<Instant>,
}

/// An attempt with the values that searching and sorting need, so that these do not follow the pointer.
#[derive(Debug, Clone)]
struct QueuedJob {
    number: u64,
    objective: Instant,
    /// Arrival of the attempt, or of the refused one whose place it takes.
    arrived: Instant,
    has_place: bool,
    job: Box<Job>,
}

impl Lane {
    fn position(&self, key: &JobKey) -> Option<usize> {
        self.jobs
            .iter()
            .position(|queued| queued.number == key.number && queued.job.key.node == key.node)
    }

    /// Sorts callers that return to their place first, then attempts that can still meet their objective, then by arrival and
    /// key.
    fn sort(&mut self, now: Instant) {
        if !self.is_changed && self.next_miss.is_none_or(|next| now < next) {
            return;
        }
        self.jobs.sort_by(|a, b| {
            let order = |queued: &QueuedJob| {
                let is_late = !queued.has_place && queued.objective <= now;
                (!queued.has_place, is_late, queued.arrived)
            };
            order(a).cmp(&order(b)).then_with(|| a.job.key.cmp(&b.job.key))
        });
        self.is_changed = false;
        self.next_miss =
            self.jobs.iter().map(|queued| queued.objective).filter(|time| *time > now).min();
    }
}

impl DispatchQueue {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns the attempts by lane.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Job> {
        self.lanes.values().flat_map(|lane| lane.jobs.iter().map(|queued| &*queued.job))
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Job> {
        self.lanes.values_mut().flat_map(|lane| lane.jobs.iter_mut().map(|queued| &mut *queued.job))
    }

    /// Returns the lanes in order of their ranks, each with its attempts in service order.
    pub(super) fn lanes(&self) -> impl Iterator<Item = (LaneId, impl Iterator<Item = &Job>)> {
        self.lanes.iter().map(|(id, lane)| (*id, lane.jobs.iter().map(|queued| &*queued.job)))
    }

    pub(super) fn contains(&self, key: &JobKey) -> bool {
        self.lanes.values().any(|lane| lane.position(key).is_some())
    }

    pub(super) fn push(&mut self, job: Job) {
        let lane = self.lanes.entry(job.lane()).or_default();
        lane.is_changed = true;
        lane.jobs.push(QueuedJob {
            number: job.key.number,
            objective: job.objective,
            arrived: job.place.unwrap_or(job.arrived),
            has_place: job.place.is_some(),
            job: Box::new(job),
        });
        self.len += 1;
    }

    pub(super) fn remove(&mut self, key: &JobKey) -> Option<Job> {
        let (id, at) = self
            .lanes
            .iter()
            .find_map(|(id, lane)| lane.position(key).map(|position| (*id, position)))?;
        self.remove_at(id, at)
    }

    fn remove_at(&mut self, id: LaneId, at: usize) -> Option<Job> {
        let lane = self.lanes.get_mut(&id)?;
        let job = *lane.jobs.remove(at).job;
        if lane.jobs.is_empty() {
            self.lanes.remove(&id);
        }
        self.len -= 1;
        Some(job)
    }

    pub(super) fn retain(&mut self, mut keep: impl FnMut(&Job) -> bool) {
        self.lanes.retain(|_, lane| {
            lane.jobs.retain(|queued| keep(&queued.job));
            !lane.jobs.is_empty()
        });
        self.len = self.lanes.values().map(|lane| lane.jobs.len()).sum();
    }

    /// Puts the attempts of each lane in service order.
    pub(super) fn sort(&mut self, now: Instant) {
        for lane in self.lanes.values_mut() {
            lane.sort(now);
        }
    }

    /// Returns the attempts in the order in which they would be served if no others arrived; `run_s` returns the expected run
    /// seconds of an attempt.
    pub(super) fn service_order(
        &self,
        fair_share: &FairShare,
        run_s: impl Fn(&Job) -> f64,
    ) -> Vec<&Job> {
        let mut ordered = Vec::with_capacity(self.len);
        let mut lanes = self.lanes.iter().peekable();
        while let Some((first_id, first_lane)) = lanes.next() {
            let rank = first_id.rank;
            let mut group: SmallVec<[(f64, &[QueuedJob]); 16]> = SmallVec::new();
            group.push((fair_share.start(*first_id), &first_lane.jobs));
            while let Some((id, lane)) = lanes.next_if(|(id, _)| id.rank == rank) {
                group.push((fair_share.start(*id), &lane.jobs));
            }
            while group.len() > 1 {
                let next = (0..group.len()).min_by(|a, b| {
                    let order = |index: usize| group[index].1[0].arrived;
                    group[*a].0.total_cmp(&group[*b].0).then(order(*a).cmp(&order(*b)))
                });
                let Some(index) = next else { break };
                let (start, jobs) = group[index];
                let job = &*jobs[0].job;
                ordered.push(job);
                if jobs.len() == 1 {
                    group.swap_remove(index);
                } else {
                    group[index] = (start + fair_share.cost(job.weight, run_s(job)), &jobs[1..]);
                }
            }
            ordered.extend(group.iter().flat_map(|(_, jobs)| *jobs).map(|queued| &*queued.job));
        }
        ordered
    }
}
