use crate::process::{NodeState, Subscribe, Tick, TimerService};
use actix::prelude::*;
use agatecourse_config::{RouteKind, TargetConfig};
use agatecourse_core::request::scheduler::{LoadReport, PoolEvent};
use agatecourse_types::TargetId;
use awc::Client;
use serde::Deserialize;
use slog::debug;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(500);
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Polls the engines of the pools that this node owns for their load and the events of their prefix caches.
pub(crate) struct TargetWatcher {
    state: Arc<NodeState>,
    timer: Addr<TimerService>,
    client: Client,
    /// Sequence number of the last cache event of each engine.
    last_events: BTreeMap<TargetId, u64>,
    is_polling: bool,
}

#[derive(Deserialize)]
struct EngineLoad {
    running: u32,
    waiting: u32,
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    age_ms: u64,
}

#[derive(Deserialize)]
struct CachePage {
    events: Vec<CacheEvent>,
}

#[derive(Deserialize)]
struct CacheEvent {
    seq: u64,
    kind: String,
    prefix_hash: String,
}

impl TargetWatcher {
    pub(crate) fn new(state: Arc<NodeState>, timer: Addr<TimerService>) -> Self {
        let client = Client::builder().timeout(POLL_TIMEOUT).disable_redirects().finish();
        Self { state, timer, client, last_events: BTreeMap::new(), is_polling: false }
    }

    /// Returns the model targets of the pools that this node owns.
    fn owned_engines(&self) -> Vec<TargetConfig> {
        let Some(view) = self.state.view() else { return Vec::new() };
        let is_model = |route: &String| {
            view.config.routes.get(route).is_some_and(|route| route.kind == RouteKind::Model)
        };
        let owned = view
            .pools
            .all_pools()
            .filter(|(pool, _)| self.state.cluster.is_self(&self.state.cluster.owner_of(pool)));
        let names: BTreeSet<&TargetId> = owned.flat_map(|(_, targets)| targets).collect();
        let targets = names.into_iter().filter_map(|name| view.config.targets.get(name));
        targets.filter(|target| target.routes.iter().any(is_model)).cloned().collect()
    }
}

/// Reads the load of an engine and its cache events after the sequence number `after`.
async fn poll_engine(
    client: &Client,
    address: SocketAddr,
    target: &str,
    after: u64,
) -> EngineObservation {
    let mut events = Vec::new();
    if let Some(load) = get_json::<EngineLoad>(client, format!("http://{address}/v1/load")).await {
        let report = LoadReport {
            running: load.running,
            waiting: load.waiting,
            token_gap: None,
            age: Duration::from_millis(load.age_ms),
            leaving: load.leaving,
        };
        events.push(PoolEvent::Report { target: target.to_string(), report });
    }
    let url = format!("http://{address}/v1/cache-events?after={after}");
    let page: Option<CachePage> = get_json(client, url).await;
    let mut last_event = after;
    for event in page.map(|page| page.events).unwrap_or_default() {
        if event.seq > last_event + 1 {
            events.push(PoolEvent::CacheGap { target: target.to_string() });
        }
        last_event = event.seq.max(last_event);
        let Ok(prefix_hash) = u64::from_str_radix(&event.prefix_hash, 16) else { continue };
        let target = target.to_string();
        events.push(match event.kind.as_str() {
            "stored" => PoolEvent::Cached { target, prefix_hash },
            _ => PoolEvent::Evicted { target, prefix_hash },
        });
    }
    EngineObservation { target: target.to_string(), last_event, events }
}

struct EngineObservation {
    target: TargetId,
    last_event: u64,
    events: Vec<PoolEvent>,
}

/// Returns the decoded answer; `None` when the engine sends no valid one. The next poll retries.
async fn get_json<T: serde::de::DeserializeOwned>(client: &Client, url: String) -> Option<T> {
    let mut response = client.get(url).send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    response.json().limit(MAX_ANSWER_BYTES).await.ok()
}

impl Actor for TargetWatcher {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        let subscriber = context.address().recipient();
        self.timer.do_send(Subscribe { interval: POLL_INTERVAL, subscriber });
    }
}

impl Handler<Tick> for TargetWatcher {
    type Result = ();

    fn handle(&mut self, _: Tick, context: &mut Context<Self>) {
        // A poll takes longer than the interval when engines do not answer.
        if std::mem::replace(&mut self.is_polling, true) {
            return;
        }
        let polled: Vec<(TargetConfig, u64)> = self
            .owned_engines()
            .into_iter()
            .map(|target| {
                let after = self.last_events.get(&target.name).copied().unwrap_or(0);
                (target, after)
            })
            .collect();
        let client = self.client.clone();
        let poll = async move {
            let polls = polled
                .iter()
                .map(|(target, after)| poll_engine(&client, target.address, &target.name, *after));
            futures_util::future::join_all(polls).await
        };
        context.spawn(poll.into_actor(self).map(|observations, actor, _| {
            actor.is_polling = false;
            for EngineObservation { target, last_event, events } in observations {
                if events.is_empty() {
                    debug!(actor.state.log, "engine gave no load report"; "target" => &target);
                }
                actor.last_events.insert(target, last_event);
                actor.state.pools.event_to_all(&events);
            }
        }));
    }
}
