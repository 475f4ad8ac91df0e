//! Simulated targets and platform services (stand-ins) for tests, demos and benchmarks of agatecourse.
//!
//! Each stand-in implements a protocol from section 11 of the design page. It runs inside a test process or as the
//! program `agatecourse-standin`, and `POST /faults` changes the faults that it injects at run time.
//!
//! ```
//! use agatecourse_standin::{Standin, TableSettings};
//!
//! let table = TableSettings::new().with_writes_per_s(300).start(Standin::EPHEMERAL)?;
//! assert_ne!(table.address().port(), 0);
//! # Ok::<(), std::io::Error>(())
//! ```

mod connection;
mod process;
mod request;
mod version;

pub use process::{
    Faults, ObjectStoreSettings, Standin, TableSettings, VersionFault, VmListSettings,
    WeightStoreSettings,
};
pub use request::{
    EngineSettings, ServiceAnswer, ServiceSettings, expected_answer, prompt_block_hashes,
    prompt_text,
};
