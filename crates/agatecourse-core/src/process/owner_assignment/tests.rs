use super::*;
use googletest::prelude::*;

fn member(node: &str, state: MemberState) -> MemberUpdate {
    MemberUpdate {
        node: node.to_string(),
        incarnation: 1,
        state,
        zone: "a".to_string(),
        peer_address: "127.0.0.1:1".to_string(),
        revision: 0,
        config_version: 0,
        pressures: smallvec::SmallVec::new(),
    }
}

/// Guards against resources that move while their owner is only suspected, or between nodes that remain.
#[gtest]
fn only_resources_of_removed_nodes_move() {
    let mut members: Vec<MemberUpdate> =
        (0..9).map(|index| member(&format!("node-{index}"), MemberState::Alive)).collect();
    let names: Vec<String> = (0..200).map(|index| format!("pool-{index}")).collect();
    let before = OwnerAssignment::new(&members);
    members[3].state = MemberState::Suspect;
    expect_that!(OwnerAssignment::new(&members), eq(&before));
    for state in [MemberState::Leaving, MemberState::Dead] {
        members[3].state = state;
        let after = OwnerAssignment::new(&members);
        expect_that!(after.nodes().len(), eq(8));
        for name in &names {
            let expected = before.ranked(name).into_iter().find(|node| *node != "node-3");
            expect_that!(after.owner(name), eq(expected));
        }
    }
    expect_that!(OwnerAssignment::default().owner("pool-0"), none());
}
