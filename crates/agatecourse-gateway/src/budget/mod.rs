//! Budget of the memory and the sockets that a node holds for callers and targets.

mod budget_limits;
mod caller_slot;
mod held_bytes;
mod request_body;
mod resource_budget;
mod socket_permit;

pub use budget_limits::BudgetLimits;
pub(crate) use caller_slot::{CallerSlot, Eviction};
pub(crate) use held_bytes::HeldBytes;
pub(crate) use request_body::RequestBody;
pub(crate) use resource_budget::{BudgetFull, ByteUse, ResourceBudget};
pub(crate) use socket_permit::SocketPermit;

#[cfg(test)]
mod tests;
