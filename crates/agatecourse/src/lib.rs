//! Request scheduler for small teams that run model engines of different speeds and plain services.
//!
//! This crate only re-exports the libraries of the workspace under short names. A program that needs just one of them
//! can depend on that crate instead.
//!
//! ```
//! use agatecourse::core::request::PoolDirectory;
//!
//! let mut pools = PoolDirectory::new();
//! pools.set_route("quotes", ["engine-1", "engine-2"]);
//! assert_eq!(pools.pools(&"quotes".to_string()).len(), 1);
//! ```

pub use agatecourse_config as config;
pub use agatecourse_core as core;
pub use agatecourse_history as history;
pub use agatecourse_peer as peer;
pub use agatecourse_platform as platform;
pub use agatecourse_types as types;
pub use agatecourse_wire as wire;
