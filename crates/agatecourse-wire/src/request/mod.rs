//! Message parts about a single request.

mod grant;
mod journal;
mod key_record;
mod registration;
mod ticket;

pub use grant::{DispatchOutcome, Finished, Grant, Refusal};
pub use journal::{KnownOutcome, Reservation, ReservationOutcome, ReserveReply, ReserveResult};
pub use key_record::KeyRecord;
pub use registration::{InFlight, Registration};
pub use ticket::Ticket;
