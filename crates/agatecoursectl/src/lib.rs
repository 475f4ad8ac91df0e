//! Commands of `agatecoursectl`, the operators' command-line tool of agatecourse.
//!
//! ```no_run
//! # async fn example() -> Result<(), agatecoursectl::CommandError> {
//! let table = agatecoursectl::ConfigTable::new(([127, 0, 0, 1], 2379).into());
//! println!("{}", table.history().await?.render(false));
//! # Ok(())
//! # }
//! ```

mod command_error;
mod config_check;
mod config_table;
pub mod keys;
pub mod node;
mod output;
mod trace;

pub use command_error::CommandError;
pub use config_table::{ConfigTable, check, read_valid, show_diff};
pub use output::Output;
pub use trace::trace;
