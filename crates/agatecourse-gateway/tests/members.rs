//! Tests of the membership list.

use agatecourse_gateway::process::{Heartbeat, Members};
use googletest::prelude::*;
use std::net::Ipv4Addr;
use std::time::Instant;

/// Guards against a seed that counts as two nodes, under its placeholder and under its own name.
#[gtest]
fn heartbeat_of_a_seed_replaces_its_placeholder() {
    let now = Instant::now();
    let (seed, other) = (Ipv4Addr::new(10, 0, 0, 1), Ipv4Addr::new(10, 0, 0, 2));
    let mut members = Members::new();
    members.add(now, &"seed-0".to_string(), seed);
    members.add(now, &"seed-1".to_string(), other);
    let heartbeat = Heartbeat { started_unix_ms: 1, ..Heartbeat::default() };
    expect_that!(members.record_heartbeat(now, &"n1".to_string(), seed, &heartbeat), eq(true));
    let names: Vec<&str> = members.addresses().map(|(name, _)| name.as_str()).collect();
    expect_that!(names, elements_are![eq(&"n1"), eq(&"seed-1")]);
}
