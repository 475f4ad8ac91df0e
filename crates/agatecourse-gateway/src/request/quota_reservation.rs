use crate::process::Gateway;
use agatecourse_types::OrganisationId;
use std::rc::Rc;
use std::time::Instant;

/// Reservation of an organisation's quota for a request; released on drop unless an attempt was started.
#[derive(Debug)]
pub(crate) struct QuotaReservation {
    gateway: Rc<Gateway>,
    organisation: OrganisationId,
    amount: u64,
    is_committed: bool,
}

impl QuotaReservation {
    pub(crate) fn new(gateway: &Rc<Gateway>, organisation: &OrganisationId, amount: u64) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            organisation: organisation.clone(),
            amount,
            is_committed: false,
        }
    }

    /// Returns the reserved amount, in the unit of the quota.
    pub(crate) fn amount(&self) -> u64 {
        self.amount
    }

    /// Commits the reserved amount when the first attempt starts. `is_repeat` says that an earlier attempt may have run; the amount is then
    /// counted once more, as users count each run.
    pub(crate) fn commit(&mut self, now: Instant, is_repeat: bool) {
        if !std::mem::replace(&mut self.is_committed, true) {
            self.gateway.commit_quota(now, &self.organisation, self.amount);
        } else if is_repeat {
            self.gateway.record_repeat(now, &self.organisation, self.amount);
        }
    }
}

impl Drop for QuotaReservation {
    fn drop(&mut self) {
        if !self.is_committed {
            self.gateway.release_quota(&self.organisation, self.amount);
        }
    }
}
