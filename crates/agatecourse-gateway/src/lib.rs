//! Forwards callers' requests to targets and coordinates the nodes that do so.
//!
//! A node runs one thread. Requests of callers are admitted, queued with the requests of all other nodes by a
//! [`agatecourse_core::request::dispatch::Dispatcher`], sent to one target, and answered. The crate knows no deployment:
//! header names, discovery and configuration come from an adapter through [`HeaderNames`], [`Deployment`] and [`Target`].

pub mod budget;
pub mod connection;
pub mod process;
pub mod request;
pub mod version;

pub use connection::HeaderNames;
pub use process::{Gateway, GatewayError, GatewaySettings};
pub use version::{CallerLimits, Deployment, Organisation, Route, RouteKind, Service, Target};
