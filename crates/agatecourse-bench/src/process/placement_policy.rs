use serde::Serialize;

/// Policy for placing requests on engines; each bench in virtual time compares all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// Each node sends requests to the targets in turn.
    RoundRobin,
    /// Each node sends requests to the target with the fewest requests in the last load report.
    LeastReportedLoad,
    /// Nodes submit requests to the pool owner, which runs the scheduler of the core.
    Agatecourse,
}

impl PlacementPolicy {
    /// All policies in the order of the output.
    pub const ALL: [Self; 3] = [Self::RoundRobin, Self::LeastReportedLoad, Self::Agatecourse];

    /// Returns the name of the policy in tables, reports and JSON.
    pub fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round_robin",
            Self::LeastReportedLoad => "least_reported_load",
            Self::Agatecourse => "agatecourse",
        }
    }
}
