use super::{Job, JobKey};
use std::time::Instant;

/// Waiting attempts, in service order after [`Self::sort`].
#[derive(Debug, Clone, Default)]
pub(super) struct DispatchQueue {
    jobs: Vec<Job>,
}

impl DispatchQueue {
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Job> {
        self.jobs.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Job> {
        self.jobs.iter_mut()
    }

    pub(super) fn contains(&self, key: &JobKey) -> bool {
        self.jobs.iter().any(|job| job.key == *key)
    }

    pub(super) fn push(&mut self, job: Job) {
        self.jobs.push(job);
    }

    pub(super) fn remove(&mut self, key: &JobKey) -> Option<Job> {
        let at = self.jobs.iter().position(|job| job.key == *key)?;
        Some(self.jobs.remove(at))
    }

    pub(super) fn retain(&mut self, keep: impl FnMut(&Job) -> bool) {
        self.jobs.retain(keep);
    }

    /// Sorts by rank, then attempts that can still meet their objective first, then by arrival and key.
    pub(super) fn sort(&mut self, now: Instant) {
        self.jobs.sort_by(|a, b| {
            let order = |job: &Job| (job.rank, job.objective <= now, job.arrived);
            order(a).cmp(&order(b)).then_with(|| a.key.cmp(&b.key))
        });
    }
}
