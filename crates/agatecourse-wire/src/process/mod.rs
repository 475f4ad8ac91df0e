//! Membership and alerts: message parts about nodes, independent of any request.

mod alert;
mod member_update;

pub use alert::{Alert, AlertKey};
pub use member_update::{MemberState, MemberUpdate, PoolPressure};
