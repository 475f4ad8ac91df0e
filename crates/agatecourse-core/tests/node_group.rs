//! Property tests of membership, alerts and configuration for groups of nodes on a network that loses, delays,
//! reorders and duplicates messages.

mod node_network;

use agatecourse_core::process::{AlertEvent, MembershipEvent, VmObservation};
use agatecourse_wire::process::{AlertKey, MemberState};
use node_network::{Faults, Network, Node};
use proptest::prelude::*;
use std::time::Duration;

const MINUTE: Duration = Duration::from_mins(1);

fn cases(count: u32) -> ProptestConfig {
    ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(count) }
}

fn faults() -> impl Strategy<Value = Faults> {
    (0_u32..=15, 0_u32..=10, 1_u32..=40).prop_map(|(loss_percent, duplicate_percent, delay_ms)| {
        Faults { loss_percent, duplicate_percent, delay_ms }
    })
}

fn has_state_everywhere(network: &Network, name: &str, state: MemberState) -> bool {
    network.running().all(|(_, node)| node.state_of(name) == Some(state))
}

/// Returns whether the member list of each running node holds exactly the running nodes, all of them alive.
fn has_consistent_members(network: &Network) -> bool {
    let mut expected: Vec<(String, MemberState)> =
        network.running().map(|(index, _)| (Network::name(index), MemberState::Alive)).collect();
    expected.sort();
    network.running().all(|(_, node)| {
        let live = node.membership.members().filter(|member| member.state != MemberState::Dead);
        live.map(|member| (member.node.clone(), member.state)).eq(expected.iter().cloned())
    })
}

/// Returns whether all running nodes assign resources to exactly the running nodes. At high message loss some node
/// is almost always suspected for a short time, which does not change the assignment.
fn has_consistent_owners(network: &Network) -> bool {
    let mut expected: Vec<String> =
        network.running().map(|(index, _)| Network::name(index)).collect();
    expected.sort();
    network.running().all(|(_, node)| node.membership.owner_assignment().nodes() == expected)
}

fn quarantine(fingerprint: u64) -> AlertKey {
    AlertKey::Quarantine { fingerprint }
}

fn raise(network: &mut Network, index: usize, key: AlertKey) {
    let event = AlertEvent::Raise { key, reason: "test".to_string() };
    network.with_node(index, |node, now| node.alert_event(now, event));
}

fn is_alert_active_everywhere(network: &Network, key: &AlertKey) -> bool {
    network.running().all(|(_, node)| node.alerts.is_active(key))
}

fn is_config_active_everywhere(network: &Network, version: u64) -> bool {
    network.running().all(|(_, node)| node.config.version() == version)
}

fn check_death(size: usize, seed: u64, faults: Faults) -> Result<(), TestCaseError> {
    let mut network = Network::with_joined_nodes(size, seed, faults);
    prop_assert!(has_consistent_owners(&network), "the nodes did not join each other within 5 s");
    let kill_delay_ms = network.random(500);
    network.run(Duration::from_millis(kill_delay_ms.into()));
    let victim =
        network.random(u32::try_from(size).expect("the number of nodes fits u32")) as usize;
    network.kill_node(victim);
    let name = Network::name(victim);
    let detected = network.run_until(Duration::from_secs(3), |network| {
        has_state_everywhere(network, &name, MemberState::Dead)
    });
    prop_assert!(detected.is_ok(), "{detected:?}");
    for (_, node) in network.running() {
        prop_assert!(
            node.observed_deaths.iter().all(|dead| *dead == name),
            "{:?}",
            node.observed_deaths
        );
    }
    Ok(())
}

fn check_alerts(size: usize, seed: u64, faults: Faults) -> Result<(), TestCaseError> {
    let mut network = Network::with_joined_nodes(size, seed, faults);
    network.table_is_up = false;
    network.kill_node(size - 1);
    raise(&mut network, 0, quarantine(1));
    let stop = AlertKey::VersionStopped { route: "quotes".to_string(), version: "v2".to_string() };
    raise(&mut network, 1, stop.clone());
    let propagated = network.run_until(Duration::from_secs(2), |network| {
        is_alert_active_everywhere(network, &quarantine(1))
            && is_alert_active_everywhere(network, &stop)
    });
    prop_assert!(propagated.is_ok(), "{propagated:?}");
    network.run(Duration::from_secs(10));
    network.start_node(size - 1);
    let learned = network
        .run_until(Duration::from_secs(5), |network| is_alert_active_everywhere(network, &stop));
    prop_assert!(learned.is_ok(), "{learned:?}");
    let clear = AlertEvent::Clear { key: quarantine(1), reason: "test".to_string() };
    network.with_node(size - 1, |node, now| node.alert_event(now, clear));
    let cleared = network.run_until(Duration::from_secs(2), |network| {
        network.running().all(|(_, node)| !node.alerts.is_active(&quarantine(1)))
    });
    prop_assert!(cleared.is_ok(), "{cleared:?}");
    Ok(())
}

fn check_config(size: usize, seed: u64, faults: Faults) -> Result<(), TestCaseError> {
    let mut network = Network::with_joined_nodes(size, seed, faults);
    for version in 1..=3 {
        network.put_config(version);
        let applied = network.run_until(Duration::from_secs(5), |network| {
            is_config_active_everywhere(network, version)
        });
        prop_assert!(applied.is_ok(), "version {version}: {applied:?}");
    }
    network.table_is_up = false;
    network.start_node(size - 1);
    let started = network
        .run_until(Duration::from_secs(5), |network| is_config_active_everywhere(network, 3));
    prop_assert!(started.is_ok(), "start during a table outage: {started:?}");
    network.run(Duration::from_secs(30));
    network.table = Some((1, node_network::config_text("v1")));
    network.table_is_up = true;
    network.run(Duration::from_secs(10));
    prop_assert!(
        is_config_active_everywhere(&network, 3),
        "reverted to version 1, which was restored in the table"
    );
    Ok(())
}

proptest! {
    #![proptest_config(cases(24))]

    /// Guards against a dead node that owns resources for longer than 3 s, and live nodes that are declared dead.
    #[test]
    fn death_is_seen_by_all_in_under_3_s(seed in any::<u64>(), faults in faults()) {
        check_death(9, seed, faults)?;
    }

    /// Guards against alerts that do not reach a running or restarted node, or need the table to do so.
    #[test]
    fn alerts_reach_all_in_2_s_without_the_table(seed in any::<u64>(), faults in faults()) {
        check_alerts(9, seed, faults)?;
    }

    /// Guards against a configuration that takes longer than 5 s to activate, reverts to an older version, or is
    /// missing on a node that starts during a table outage.
    #[test]
    fn configuration_is_in_force_in_5_s_and_never_reverts(
        seed in any::<u64>(),
        faults in faults(),
    ) {
        check_config(9, seed, faults)?;
    }

    /// Guards against a resumed process that others keep considering dead, or that is not notified of the loss of
    /// its resources.
    #[test]
    fn paused_node_refutes_with_a_higher_incarnation(
        seed in any::<u64>(),
        faults in faults(),
        pause_ms in 2_500_u64..10_000,
    ) {
        let mut network = Network::with_joined_nodes(9, seed, faults);
        let incarnation = |network: &Network, node: usize| {
            let member = network.nodes[node]
                .as_ref()
                .expect("the node is running")
                .membership
                .member("node-4");
            member.map(|member| member.incarnation)
        };
        let before = incarnation(&network, 4);
        network.pause_node(4);
        network.run(Duration::from_millis(pause_ms));
        let was_suspected = !has_state_everywhere(&network, "node-4", MemberState::Alive);
        let was_dead = has_state_everywhere(&network, "node-4", MemberState::Dead);
        network.resume_node(4);
        let rejoined = network.run_until(Duration::from_secs(5), |network| {
            let own = incarnation(network, 4);
            has_consistent_members(network)
                && (0..9).all(|index| incarnation(network, index) == own)
        });
        prop_assert!(rejoined.is_ok(), "{rejoined:?}");
        prop_assert!(was_suspected, "a pause of {pause_ms} ms was not noticed");
        prop_assert!(incarnation(&network, 4) > before);
        let resumed = network.nodes[4].as_ref().expect("the node is running");
        prop_assert!(
            resumed.was_dead || !was_dead,
            "the node was not notified that it lost its resources"
        );
        prop_assert!(resumed.observed_deaths.is_empty(), "{:?}", resumed.observed_deaths);
    }

    /// Guards against two sides of a healed partition that do not merge their members or their alerts.
    #[test]
    fn partition_heals(seed in any::<u64>(), faults in faults(), split in 1_usize..8) {
        let mut network = Network::with_joined_nodes(9, seed, faults);
        (0..split).for_each(|index| network.partitions[index] = 1);
        network.run(Duration::from_secs(20));
        for (index, node) in network.running() {
            let alive = node.membership.owner_assignment().nodes().len();
            prop_assert_eq!(alive, if index < split { split } else { 9 - split });
        }
        raise(&mut network, 0, quarantine(1));
        raise(&mut network, 8, quarantine(2));
        network.partitions.fill(0);
        let healed = network.run_until(Duration::from_secs(15), |network| {
            has_consistent_members(network)
                && is_alert_active_everywhere(network, &quarantine(1))
                && is_alert_active_everywhere(network, &quarantine(2))
        });
        prop_assert!(healed.is_ok(), "{healed:?}");
    }

    /// Guards against nodes whose members, configuration or alerts stay different after a combination of faults.
    #[test]
    fn nodes_agree_after_several_faults(
        seed in any::<u64>(),
        faults in faults(),
        steps in prop::collection::vec((0_u8..7, 0_usize..9), 4..16),
    ) {
        let mut network = Network::with_joined_nodes(9, seed, faults);
        let mut version = 0;
        for (kind, index) in steps {
            match kind {
                0 => network.kill_node(index),
                1 => network.start_node(index),
                2 => network.pause_node(index),
                3 => network.resume_node(index),
                4 => network.partitions[index] ^= 1,
                5 => raise(&mut network, index, quarantine(index as u64)),
                _ => {
                    version += 1;
                    network.put_config(version);
                    network.table_is_up = !network.table_is_up;
                }
            }
            let pause = network.random(4_000);
            network.run(Duration::from_millis(pause.into()));
        }
        network.faults.loss_percent = network.faults.loss_percent.min(5);
        network.partitions.fill(0);
        network.table_is_up = true;
        (0..9).for_each(|index| network.resume_node(index));
        let agreed = network.run_until(MINUTE, |network| {
            let alert_keys: Vec<Vec<_>> =
                network.running().map(|(_, node)| active_alerts(node)).collect();
            has_consistent_members(network)
                && is_config_active_everywhere(network, version)
                && alert_keys.windows(2).all(|pair| pair[0] == pair[1])
        });
        prop_assert!(agreed.is_ok(), "{agreed:?}");
        prop_assert!(has_consistent_owners(&network));
    }
}

fn active_alerts(node: &Node) -> Vec<AlertKey> {
    node.alerts.alerts().filter(|alert| alert.active).map(|alert| alert.key.clone()).collect()
}

proptest! {
    #![proptest_config(cases(3))]

    /// Guards against time limits that are exceeded by groups of more than nine nodes.
    #[test]
    fn larger_group_keeps_the_same_times(seed in any::<u64>(), faults in faults()) {
        check_death(60, seed, faults)?;
        check_alerts(60, seed, faults)?;
        check_config(60, seed, faults)?;
    }
}

/// Guards against a lagging VM list that causes nodes to be declared dead, or marks the replacement of a leaving
/// node as leaving.
#[test]
fn vm_list_marks_leaving_nodes_and_declares_none_dead() {
    let mut network = Network::with_joined_nodes(9, 1, Faults::NONE);
    let observe = |network: &mut Network, leaving: Option<usize>| {
        let vms: Vec<VmObservation> = (0..3)
            .map(|index| VmObservation {
                peer_address: Network::address(index),
                leaving: Some(index) == leaving,
            })
            .collect();
        network.with_node(5, |node, now| node.membership_event(now, MembershipEvent::Vms(vms)));
        network.run(Duration::from_secs(4));
    };
    observe(&mut network, None);
    assert!(
        has_consistent_members(&network),
        "nodes that are not in the VM list were not kept alive"
    );
    network.with_node(2, |node, now| node.membership_event(now, MembershipEvent::Leave));
    observe(&mut network, Some(2));
    assert!(has_state_everywhere(&network, "node-2", MemberState::Leaving));
    let owner_counts = |network: &Network| -> Vec<usize> {
        network
            .running()
            .map(|(_, node)| node.membership.owner_assignment().nodes().len())
            .collect()
    };
    assert_eq!(owner_counts(&network), [8; 9]);
    network.kill_node(2);
    network.run(Duration::from_secs(4));
    network.start_node(2);
    network.run(Duration::from_secs(2));
    observe(&mut network, Some(2));
    assert!(
        has_consistent_members(&network),
        "the replacement of the leaving node was marked: {:?}",
        network.nodes[5]
    );
}

/// Guards against messages and bytes per node that grow with the size of the group.
#[test]
fn cost_per_node_is_bounded() {
    for size in [9, 60] {
        let (messages, bytes) = Network::traffic_per_node(size, 7, MINUTE, Faults::NONE);
        println!("nodes {size} messages/s {messages:.2} bytes/s {bytes:.0}");
        assert!(messages < 10.0 && bytes < 400.0, "{size}: {messages} messages, {bytes} bytes");
    }
}
