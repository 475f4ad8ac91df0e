use super::*;
use googletest::prelude::*;
use std::fmt::Write;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn config_text(name: &str, targets: usize) -> String {
    let mut text = format!(
        "[fleet]\nname = {name}\nregion = local\nzones = a\n[tier.urgent]\nrank = 0\n\
         deadline_ms = 30000\n[organisation.branch]\nweight = 2\n[caller.desk]\n\
         organisation = branch\ntier = urgent\nkey_sha256 = {}\n[route.quotes]\nkind = model\n\
         idempotent = yes\n",
        "a".repeat(64)
    );
    for index in 0..targets {
        let port = 10_000 + index;
        writeln!(text, "[target.e{index}]\nroutes = quotes\nzone = a\naddress = 127.0.0.1:{port}")
            .expect("writing to a string");
    }
    text
}

/// Executes the calls of `follower` against `server` and returns their number.
fn execute_calls(
    now: Instant,
    follower: &mut ConfigFollower,
    server: &ConfigFollower,
    actions: &mut Vec<ConfigAction>,
) -> usize {
    let mut calls = 0;
    while let Some(position) =
        actions.iter().position(|action| matches!(action, ConfigAction::Call { .. }))
    {
        calls += 1;
        if let ConfigAction::Call { address, message } = actions.remove(position) {
            let response = server.on_call(&message).expect("a call that concerns configuration");
            let envelope = agatecourse_wire::Envelope::new("b", 1).with_body(response.clone());
            agatecourse_wire::encode_stream(&envelope).expect("fits a stream");
            follower.on_message(now, address, &response, actions);
        }
    }
    calls
}

fn table_config(follower: &mut ConfigFollower, now: Instant, version: u64, text: String) {
    follower.on_event(now, ConfigEvent::TableConfig { version, text }, &mut Vec::new());
}

/// Guards against a configuration that reverts to an older version or is replaced by an invalid one.
#[gtest]
fn older_and_invalid_versions_are_ignored() {
    let now = Instant::now();
    let mut follower = ConfigFollower::new(now, 1);
    table_config(&mut follower, now, 3, config_text("third", 1));
    table_config(&mut follower, now, 2, config_text("second", 1));
    table_config(&mut follower, now, 3, config_text("other", 1));
    expect_that!(follower.text(), contains_substring("third"));
    let mut actions = Vec::new();
    let invalid = ConfigEvent::TableConfig { version: 4, text: "[fleet]".to_string() };
    follower.on_event(now, invalid.clone(), &mut actions);
    follower.on_event(now, invalid, &mut actions);
    let is_rejection = |action: &&ConfigAction| matches!(action, ConfigAction::Rejected { .. });
    expect_that!(actions.iter().filter(is_rejection).count(), eq(1));
    expect_that!(follower.version(), eq(3));
    table_config(&mut follower, now, 5, config_text("fifth", 1));
    expect_that!(follower.version(), eq(5));
}

/// Guards against a node that starts during a table outage and gets no configuration, in particular when the
/// configuration does not fit into one message.
#[gtest]
fn configuration_is_fetched_from_a_peer_during_a_table_outage() {
    let now = Instant::now();
    let mut server = ConfigFollower::new(now, 1);
    table_config(&mut server, now, 7, config_text("large", 1_760));
    let mut follower = ConfigFollower::new(now, 2);
    let mut actions = Vec::new();
    follower.on_event(now, ConfigEvent::TableUnavailable, &mut actions);
    let higher = ConfigEvent::HigherConfig { address: address(1), version: 7 };
    follower.on_event(now, higher, &mut actions);
    let calls = execute_calls(now, &mut follower, &server, &mut actions);
    expect_that!(calls, ge(2));
    expect_that!(follower.version(), eq(7));
    expect_that!(follower.text(), eq(server.text()));
}

/// Guards against a configuration assembled from chunks of two versions.
#[gtest]
fn version_change_between_chunks_restarts_the_fetch() {
    let now = Instant::now();
    let mut server = ConfigFollower::new(now, 1);
    table_config(&mut server, now, 7, config_text("first", 1_760));
    let mut follower = ConfigFollower::new(now, 2);
    let mut actions = Vec::new();
    let higher = ConfigEvent::HigherConfig { address: address(1), version: 7 };
    follower.on_event(now, higher, &mut actions);
    let request = PeerMessage::FetchConfig { at_least: 7, offset_bytes: 0 };
    let chunk = server.on_call(&request).expect("a call that concerns configuration");
    actions.clear();
    follower.on_message(now, address(1), &chunk, &mut actions);
    table_config(&mut server, now, 8, config_text("second", 1_700));
    execute_calls(now, &mut follower, &server, &mut actions);
    expect_that!(follower.version(), eq(8));
    expect_that!(follower.text(), eq(server.text()));
}

/// Guards against a follower that stops polling after a lost response, or polls at the same time as others.
#[gtest]
fn polls_again_after_outages_and_lost_responses() {
    let now = Instant::now();
    let mut follower = ConfigFollower::new(now, 1);
    let mut at = now;
    for step in 0..20 {
        let mut actions = Vec::new();
        follower.on_event(at, ConfigEvent::Tick, &mut actions);
        expect_that!(actions, elements_are![eq(&ConfigAction::PollTable { above: 0 })]);
        match step % 3 {
            0 => follower.on_event(at, ConfigEvent::TableUnavailable, &mut actions),
            1 => follower.on_event(at, ConfigEvent::TableUnchanged, &mut actions),
            _ => {}
        }
        let wait = follower.next_wakeup() - at;
        expect_that!(wait, all!(ge(Duration::from_secs(1)), le(OUTAGE_BACKOFF_LIMIT)));
        at += wait;
    }
    let next = |seed| {
        let mut follower = ConfigFollower::new(now, seed);
        follower.on_event(now, ConfigEvent::TableUnchanged, &mut Vec::new());
        follower.next_wakeup()
    };
    expect_that!(next(1), not(eq(next(2))));
}
