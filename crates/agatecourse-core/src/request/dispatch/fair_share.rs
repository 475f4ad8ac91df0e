use std::collections::BTreeMap;

/// Hash of an organisation's name; 0 for requests without a known organisation, which count as one organisation.
pub type OrganisationKey = u64;

/// Work in weighted run seconds at which a lane's next run starts in virtual time.
type VirtualTime = f64;

/// Weight of the newest known weight in the mean that stands in for an unknown one.
const WEIGHT_LEARNING_RATE: f64 = 0.05;

/// Requests of one organisation in one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LaneId {
    pub(super) rank: u32,
    pub(super) organisation: OrganisationKey,
}

/// Virtual times of a rank whose requests wait or were granted lately.
#[derive(Debug, Clone, Default)]
struct RankShares {
    /// Start of the latest granted run.
    now: VirtualTime,
    /// End of the latest run of each organisation that is ahead of `now`.
    ends: BTreeMap<OrganisationKey, VirtualTime>,
}

/// Start-time fair queueing of the organisations in each rank.
///
/// Each run advances its organisation by the run's expected seconds on a target, divided by the organisation's weight, and
/// the organisation that is furthest behind gets the next slot. An organisation that had no requests starts at the present
/// virtual time, so that it brings no claim from its idle time, and one that was alone owes nothing for what it used. The
/// state is lost with the owner of the queue; a new owner starts all organisations at the same virtual time, which gives each
/// its share of the slots from then on.
#[derive(Debug, Clone, Default)]
pub(super) struct FairShare {
    ranks: BTreeMap<u32, RankShares>,
    mean_weight: f64,
}

impl FairShare {
    /// Returns the virtual time at which the next run of a lane would start.
    pub(super) fn start(&self, lane: LaneId) -> VirtualTime {
        self.ranks.get(&lane.rank).map_or(0.0, |shares| {
            shares.ends.get(&lane.organisation).map_or(shares.now, |end| end.max(shares.now))
        })
    }

    /// Returns by how much a run advances its organisation; an unknown weight counts as the mean of the known ones.
    pub(super) fn cost(&self, weight: u32, run_s: f64) -> VirtualTime {
        let weight = if weight > 0 { f64::from(weight) } else { self.mean_weight.max(1.0) };
        run_s / weight
    }

    /// Records a granted run.
    pub(super) fn record(&mut self, lane: LaneId, weight: u32, run_s: f64) {
        if weight > 0 {
            let known = f64::from(weight);
            let mean = if self.mean_weight > 0.0 { self.mean_weight } else { known };
            self.mean_weight = mean + WEIGHT_LEARNING_RATE * (known - mean);
        }
        let start = self.start(lane);
        let end = start + self.cost(weight, run_s);
        let shares = self.ranks.entry(lane.rank).or_default();
        shares.now = shares.now.max(start);
        let now = shares.now;
        if let Some(known) = shares.ends.get_mut(&lane.organisation) {
            *known = end;
        } else {
            // An organisation that is not ahead of the virtual time needs no entry, which bounds the map by those in use.
            shares.ends.retain(|_, end| *end > now);
            shares.ends.insert(lane.organisation, end);
        }
    }
}
