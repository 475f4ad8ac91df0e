#[path = "../../../tests/support/mod.rs"]
pub(crate) mod support;

use super::*;
use crate::process::PoolOwnership;
use googletest::prelude::*;
use support::{
    DeploymentKeys, chat, chat_body, config, start_engine, start_named_node, start_table,
    word_numbers,
};

/// Starts two nodes that know each other, with one engine as target; the first node owns the pool.
async fn start_two_nodes() -> (Vec<Node>, Arc<support::EngineState>) {
    let (engine, engine_state) = start_engine();
    let (keys, table) = (DeploymentKeys::new(), start_table(config(&[engine])));
    let mut nodes = Vec::new();
    for name in ["n1", "n2"] {
        nodes.push(start_named_node(name, &keys, table).await);
    }
    let live: LiveNodes =
        nodes.iter().flat_map(|node| (*node.state.cluster.live()).clone()).collect();
    for node in &nodes {
        set_live(node, &live);
    }
    let view = nodes[0].state.view().expect("the node has a configuration");
    let pool = view.pools.pools(&"quotes".to_string())[0].clone();
    let owner = nodes[0].state.cluster.owner_of(&pool);
    nodes.sort_by_key(|node| node.state.settings.name != owner);
    (nodes, engine_state)
}

/// Sets the live nodes of a node and updates its pool owners.
pub(crate) fn set_live(node: &Node, live: &LiveNodes) {
    node.state.cluster.set_live(live.clone());
    PoolOwnership::update(&node.state);
}

/// Guards against losing, running twice or not counting a request that another node than the pool owner received.
#[actix_web::test]
async fn a_request_gets_its_grant_from_the_pool_owner_on_another_node() {
    let (nodes, engine) = start_two_nodes().await;
    let mut response = chat(&nodes[1]).send_json(&chat_body(true)).await.unwrap();
    let body = String::from_utf8(response.body().await.unwrap().to_vec()).unwrap();
    assert_that!(word_numbers(&body).len() as u64, eq(support::CHUNK_COUNT));
    let runs: Vec<u32> = engine.runs.lock().unwrap().values().copied().collect();
    assert_that!(runs, elements_are![eq(&1)]);
    let idle = || nodes[0].state.pools.snapshots().iter().all(|pool| pool.in_flight == 0);
    assert_that!(support::wait_until(idle).await, is_true());
    let pools = |node: &Node| node.state.pools.snapshots().len();
    // The routes of the configuration have the same target, so they share one pool, which exists only at its owner.
    assert_that!((pools(&nodes[0]), pools(&nodes[1])), eq((1, 0)));
    assert_that!(nodes[1].state.metrics.degraded_placements.get(), eq(0));
}

/// Guards against requests that wait forever when the owner of their pool crashes before it grants them.
#[actix_web::test]
async fn waiting_requests_move_to_the_successor_of_a_dead_pool_owner() {
    let (nodes, engine) = start_two_nodes().await;
    let (owner, other) = (&nodes[0], &nodes[1]);
    // Closing the endpoint without leaving the membership simulates a crash of the owner.
    owner.state.cluster.endpoint().unwrap().close().await;
    let request = chat(other).send_json(&chat_body(false));
    let owner_removal = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let mut live = (*other.state.cluster.live()).clone();
        live.remove(&owner.state.settings.name);
        set_live(other, &live);
    };
    let (response, ()) = futures_util::join!(request, owner_removal);
    assert_that!(response.unwrap().status().as_u16(), eq(200));
    assert_that!(engine.runs.lock().unwrap().len(), eq(1));
    assert_that!(other.state.metrics.degraded_placements.get(), eq(0));
}

/// Guards against a node that refuses all requests while the pool owner is unreachable but still counts as live.
#[actix_web::test]
async fn a_node_places_requests_itself_when_the_pool_owner_is_unreachable() {
    let (nodes, engine) = start_two_nodes().await;
    nodes[0].state.cluster.endpoint().unwrap().close().await;
    let response = chat(&nodes[1]).send_json(&chat_body(false)).await.unwrap();
    assert_that!(response.status().as_u16(), eq(200));
    assert_that!(nodes[1].state.metrics.degraded_placements.get(), eq(1));
    assert_that!(engine.runs.lock().unwrap().len(), eq(1));
}
