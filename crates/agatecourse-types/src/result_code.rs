use crate::RunState;
use serde::{Deserialize, Serialize};

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $run:ident, $title:literal;)+) => {
        /// Numbered outcome of a request; `docs/result-codes.md` has the same table.
        ///
        /// Codes in the 1000s refuse bad input, the 2000s refuse before dispatch, the 3000s report requests
        /// that reached a target or may have reached one.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[repr(u16)]
        pub enum ResultCode {
            $($(#[$doc])* $name = $number,)+
        }

        impl ResultCode {
            /// All codes in ascending order.
            pub const ALL: &'static [Self] = &[$(Self::$name),+];

            /// Returns the HTTP status of a response that ends with the code.
            pub fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)+ }
            }

            /// Returns the title that problem documents and the documented table show.
            pub fn title(self) -> &'static str {
                match self { $(Self::$name => $title,)+ }
            }

            /// Returns whether a target ran a request that ended with the code.
            pub fn run_state(self) -> RunState {
                match self { $(Self::$name => RunState::$run,)+ }
            }
        }
    };
}

result_codes! {
    /// The request head or body is not well-formed.
    Malformed = 1000, 400, No, "malformed request";
    /// The body is larger than the configured limit.
    BodyTooLarge = 1001, 413, No, "body too large";
    /// The API key is missing or unknown.
    Unauthorized = 1002, 401, No, "API key missing or unknown";
    /// No route has the given name.
    UnknownRoute = 1003, 404, No, "unknown route";
    /// The deadline is zero, in the past or not a number.
    BadDeadline = 1004, 400, No, "bad deadline";
    /// A non-idempotent route was called without `Idempotency-Key`.
    KeyRequired = 1005, 400, No, "idempotency key required";
    /// The idempotency key was used before with another body.
    KeyReused = 1006, 422, No, "idempotency key reused with another body";
    /// The body was not received in time.
    BodyTimeout = 1007, 408, No, "body not received in time";
    /// The organisation may not use the route.
    Forbidden = 1008, 403, No, "organisation may not use the route";
    /// The organisation's rate or concurrency limit is reached.
    OrganisationLimit = 2000, 429, No, "organisation limit reached";
    /// The request was shed because its pool is overloaded.
    Shed = 2001, 503, No, "shed under overload";
    /// No target can finish the request before its deadline.
    CannotFinish = 2002, 503, No, "cannot finish before the deadline";
    /// The deadline passed while the request waited.
    ExpiredWaiting = 2003, 504, No, "deadline passed while waiting";
    /// The request matches a quarantined fingerprint.
    Quarantined = 2004, 422, No, "request is quarantined";
    /// The table service did not answer before the deadline.
    JournalUnavailable = 2005, 503, No, "journal unavailable";
    /// The journal or a queue is full.
    QueueFull = 2006, 503, No, "queue full";
    /// No target of the route is available.
    NoTarget = 2007, 503, No, "no target available";
    /// The credits of all providers of the route are used up.
    CreditsExhausted = 2008, 503, No, "credits exhausted";
    /// The node is shutting down.
    ShuttingDown = 2009, 503, No, "node is shutting down";
    /// The node has no configuration yet.
    NotReady = 2010, 503, No, "node is not ready";
    /// The target's connection was lost and the outcome is not known.
    OutcomeUnknown = 3000, 502, Unknown, "outcome unknown";
    /// The deadline passed while the target ran the request.
    ExpiredRunning = 3001, 504, Unknown, "deadline passed while running";
    /// The target answered with an error.
    TargetFailed = 3002, 502, Yes, "target failed";
    /// The stream from the target ended before the answer was complete.
    Truncated = 3003, 502, Yes, "answer truncated";
    /// An earlier request with the same key was started and its outcome is not known.
    EarlierUnknown = 3004, 409, Unknown, "outcome of the earlier request unknown";
    /// The request probably crashed its target.
    CrashSuspected = 3005, 502, Unknown, "target crashed while running the request";
    /// An earlier request with the same key still runs.
    EarlierRunning = 3006, 409, Unknown, "earlier request with the same key still runs";
}

impl ResultCode {
    /// Returns the number that responses and log lines show as `code`.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns the code with the given number, if there is one.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.iter().copied().find(|code| code.number() == number)
    }
}

#[cfg(test)]
mod tests;
