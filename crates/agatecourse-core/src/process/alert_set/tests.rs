use super::*;
use googletest::prelude::*;

const TICK_INTERVAL: Duration = Duration::from_millis(200);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn quarantine(fingerprint: u64) -> AlertKey {
    AlertKey::Quarantine { fingerprint }
}

fn raise(set: &mut AlertSet, now: Instant, key: AlertKey) {
    set.on_event(now, AlertEvent::Raise { key, reason: "r".repeat(300) }, &mut Vec::new());
}

fn clear(set: &mut AlertSet, now: Instant, key: AlertKey) {
    set.on_event(now, AlertEvent::Clear { key, reason: String::new() }, &mut Vec::new());
}

/// Runs a complete sync of `learner` from `teacher` and returns the number of calls.
fn sync_from(learner: &mut AlertSet, teacher: &AlertSet, now: Instant) -> usize {
    let mut actions = Vec::new();
    learner.on_event(now, AlertEvent::Members(vec![address(1)]), &mut actions);
    let mut calls = 0;
    while let Some(action) = actions.pop() {
        if let AlertAction::Call { address, message } = action {
            calls += 1;
            let response = teacher.on_call(&message).expect("a call that concerns alerts");
            let envelope = Envelope::new("teacher", 1).with_body(response.clone());
            agatecourse_wire::encode_stream(&envelope).expect("fits a stream");
            learner.on_message(address, &response, &mut actions);
        }
    }
    calls
}

/// Guards against a stopped version that is cleared, also by a forged higher generation, and against a cleared
/// quarantine that a delayed update activates again.
#[gtest]
fn stopped_version_stays_and_highest_generation_wins() {
    let now = Instant::now();
    let mut set = AlertSet::new("a", now, 1);
    let stop = AlertKey::VersionStopped { route: "quote".to_string(), version: "v2".to_string() };
    raise(&mut set, now, stop.clone());
    clear(&mut set, now, stop.clone());
    let forged = Alert {
        key: stop.clone(),
        generation: 9,
        active: false,
        origin: "b".to_string(),
        reason: String::new(),
    };
    set.on_message(address(1), &PeerMessage::Gossip { alerts: vec![forged] }, &mut Vec::new());
    expect_that!(set.is_active(&stop), is_true());

    raise(&mut set, now, quarantine(7));
    let old: Vec<Alert> = set.alerts().cloned().collect();
    clear(&mut set, now, quarantine(7));
    set.on_message(address(1), &PeerMessage::Gossip { alerts: old }, &mut Vec::new());
    expect_that!(set.is_active(&quarantine(7)), is_false());
    raise(&mut set, now, quarantine(7));
    expect_that!(set.is_active(&quarantine(7)), is_true());
}

/// Guards against sets that stay different after a partition because their generations are equal.
#[gtest]
fn sync_prefers_active_alert_at_equal_generations() {
    let now = Instant::now();
    let (mut a, mut b) = (AlertSet::new("a", now, 1), AlertSet::new("b", now, 2));
    for set in [&mut a, &mut b] {
        raise(set, now, quarantine(1));
        clear(set, now, quarantine(1));
    }
    raise(&mut a, now, quarantine(1));
    raise(&mut b, now, quarantine(1));
    clear(&mut b, now, quarantine(1));
    raise(&mut b, now, quarantine(2));
    clear(&mut a, now, quarantine(1));
    raise(&mut a, now, quarantine(1));
    sync_from(&mut a, &b, now + TICK_INTERVAL);
    sync_from(&mut b, &a, now + TICK_INTERVAL);
    expect_that!(a.table.hash(), eq(b.table.hash()));
    expect_that!(a.is_active(&quarantine(1)) && b.is_active(&quarantine(1)), is_true());
}

/// Guards against a full set that exceeds the message size, and a new node that does not receive all alerts.
#[gtest]
fn new_node_syncs_a_full_set_in_bounded_messages() {
    let now = Instant::now();
    let mut teacher = AlertSet::new("teacher", now, 1);
    for fingerprint in 0..MAX_ALERTS as u64 {
        raise(&mut teacher, now, quarantine(fingerprint));
    }
    let mut learner = AlertSet::new("learner", now, 2);
    raise(&mut learner, now, quarantine(1_000_000));
    teacher.on_message(
        address(2),
        &PeerMessage::Gossip { alerts: learner.alerts().cloned().collect() },
        &mut Vec::new(),
    );
    let calls = sync_from(&mut learner, &teacher, now + TICK_INTERVAL);
    expect_that!(learner.alerts().count(), eq(MAX_ALERTS));
    expect_that!(learner.table.hash(), eq(teacher.table.hash()));
    expect_that!(calls, lt(1_000));
    expect_that!(sync_from(&mut learner, &teacher, now + TICK_INTERVAL * 50), eq(1));
}

/// Guards against growth beyond the limit, and a stopped version that is evicted for a suspect.
#[gtest]
fn full_set_evicts_the_least_important_alerts() {
    let now = Instant::now();
    let mut set = AlertSet::new("a", now, 1).with_limit(3);
    let stop = AlertKey::VersionStopped { route: "quote".to_string(), version: "v2".to_string() };
    raise(&mut set, now, stop.clone());
    raise(&mut set, now, quarantine(1));
    raise(&mut set, now, quarantine(2));
    clear(&mut set, now, quarantine(2));
    for fingerprint in 0..10 {
        raise(&mut set, now, AlertKey::Suspect { fingerprint });
    }
    expect_that!(set.alerts().count(), eq(3));
    expect_that!(set.is_active(&stop) && set.is_active(&quarantine(1)), is_true());
    expect_that!(set.is_active(&AlertKey::Suspect { fingerprint: 9 }), is_true());
}

/// Guards against gossip messages that exceed a datagram, and alerts that are sent too often or too rarely.
#[gtest]
fn each_alert_is_gossiped_a_bounded_number_of_times() {
    let now = Instant::now();
    let mut set = AlertSet::new("a", now, 1);
    let members: Vec<SocketAddr> = (1..9).map(address).collect();
    set.on_event(now, AlertEvent::Members(members), &mut Vec::new());
    let mut actions = Vec::new();
    for fingerprint in 0..40 {
        let event = AlertEvent::Raise { key: quarantine(fingerprint), reason: "r".repeat(300) };
        set.on_event(now, event, &mut actions);
    }
    for step in 1..100 {
        set.on_event(now + TICK_INTERVAL * step, AlertEvent::Tick, &mut actions);
    }
    let mut sent = BTreeMap::<AlertKey, u32>::new();
    for action in actions {
        if let AlertAction::Send { message: PeerMessage::Gossip { alerts }, .. } = action {
            let body = PeerMessage::Gossip { alerts: alerts.clone() };
            encode_datagram(&Envelope::new("a", 1).with_body(body)).expect("fits a datagram");
            for alert in alerts {
                *sent.entry(alert.key).or_default() += 1;
            }
        }
    }
    expect_that!(sent.len(), eq(40));
    expect_that!(sent.values().all(|count| *count == gossip_send_count(9)), is_true(), "{sent:?}");
    expect_that!(set.table.has_pending(), is_false());
}
