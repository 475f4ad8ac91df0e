//! Prints the messages and bytes that a node sends per second, the source of the figures in
//! docs/design/membership.md.
//!
//! Run it with `cargo run --release -p agatecourse-core --example membership_cost`.

#[allow(dead_code, unused_imports, reason = "only the tests use all of the simulated network")]
#[path = "../tests/node_network/mod.rs"]
mod node_network;

use node_network::{Faults, Network};
use std::time::Duration;

fn main() {
    for size in [9, 36, 120, 360] {
        for settle in [Duration::ZERO, Duration::from_mins(2)] {
            let (messages, bytes) = Network::traffic_per_node(size, 7, settle, Faults::NONE);
            println!(
                "{size} nodes, {settle:?} after start: {messages:.2} messages/s, {bytes:.0} bytes/s"
            );
        }
    }
}
