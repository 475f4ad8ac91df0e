use agatecourse_types::Tier;
use serde::Serialize;

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestEnd {
    /// The complete response arrived before the deadline.
    OnTime,
    /// The request was refused before dispatch.
    Shed,
    /// The deadline passed while the request waited or ran.
    Expired,
    /// The caller disconnected before the response was complete.
    Left,
}

/// Numbers of requests of one tier by how they ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct TierOutcome {
    /// Tier; 0 is the highest.
    pub tier: Tier,
    /// All requests that ended, in whatever way.
    pub offered: u64,
    /// Requests whose complete response arrived before the deadline.
    pub on_time: u64,
    /// Requests refused before dispatch.
    pub shed: u64,
    /// Requests whose deadline passed while they waited or ran.
    pub expired: u64,
    /// Requests whose caller disconnected before the response was complete.
    pub left: u64,
}

impl TierOutcome {
    /// Counts one request that ended.
    pub fn count(&mut self, end: RequestEnd) {
        self.offered += 1;
        let field = match end {
            RequestEnd::OnTime => &mut self.on_time,
            RequestEnd::Shed => &mut self.shed,
            RequestEnd::Expired => &mut self.expired,
            RequestEnd::Left => &mut self.left,
        };
        *field += 1;
    }
}
