//! Measures the time of one scheduling decision (choice of the pool, admission, placement) by number of targets.

use agatecourse_core::request::PoolDirectory;
use agatecourse_core::request::scheduler::{PoolAction, PoolEvent, PoolScheduler, TargetSpec};
use agatecourse_types::{PoolId, stable_hash};
use agatecourse_wire::process::PoolPressure;
use agatecourse_wire::request::{DispatchOutcome, Finished, Ticket};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

const ROUTE: &str = "drafts";
/// Requests that wait in each pool while decisions are measured.
const BACKLOG: u128 = 200;

/// Schedulers of all pools of one route, with a manual clock.
struct Fleet {
    directory: PoolDirectory,
    pressures: BTreeMap<PoolId, PoolPressure>,
    pools: BTreeMap<PoolId, PoolScheduler>,
    now: Instant,
    /// Time between two requests at the peak load of the growth target, 8,700 requests/s on 880 targets.
    request_interval: Duration,
    next_id: u128,
    /// Granted requests of each pool with their targets, oldest first.
    running: BTreeMap<PoolId, Vec<(u128, String)>>,
}

impl Fleet {
    fn new(targets: usize) -> Self {
        let mut directory = PoolDirectory::new();
        directory.set_route(ROUTE, (0..targets).map(|index| format!("engine-{index:03}")));
        let now = Instant::now();
        let request_interval = Duration::from_secs_f64(880.0 / 8_700.0 / targets as f64);
        let (mut pressures, mut pools, mut running) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        for (pool, members) in directory.all_pools() {
            let specs = members.iter().map(|member| TargetSpec::new(member, "v1"));
            let scheduler = PoolScheduler::new(pool, 1).with_targets(now, specs.collect());
            pools.insert(pool.clone(), scheduler);
            running.insert(pool.clone(), Vec::new());
            let queue_delay = Duration::from_millis(members.len() as u64);
            let pressure = PoolPressure { pool: pool.clone(), lowest_granted_tier: 3, queue_delay };
            pressures.insert(pool.clone(), pressure);
        }
        let mut fleet =
            Self { directory, pressures, pools, now, request_interval, next_id: 0, running };
        let pools: Vec<PoolId> = fleet.pools.keys().cloned().collect();
        for pool in pools {
            for _ in 0..BACKLOG + 16 * 8 {
                fleet.submit(&pool);
            }
        }
        fleet
    }

    fn ticket(&mut self) -> Ticket {
        self.next_id += 1;
        let id = self.next_id;
        Ticket {
            request_id: id,
            route: ROUTE.into(),
            organisation: format!("organisation-{}", id % 5),
            tier: (id % 4) as u8,
            deadline_in: Duration::from_hours(1),
            read_tokens: 2_000,
            write_tokens: 100,
            prefix_hashes: (0..8).map(|block| prefix_hash(id as u64 % 40, block)).collect(),
            prefix_block_tokens: 256,
            share_slot: 5_000,
            suspect: None,
        }
    }

    /// Submits a new request to a pool.
    fn submit(&mut self, pool: &PoolId) {
        let ticket = self.ticket();
        self.handle_event(pool, PoolEvent::Submit { node: "node-a".into(), ticket });
    }

    fn handle_event(&mut self, pool: &PoolId, event: PoolEvent) {
        let mut actions = Vec::new();
        if let Some(scheduler) = self.pools.get_mut(pool) {
            scheduler.on_event(self.now, event, &mut actions);
        }
        let running = self.running.entry(pool.clone()).or_default();
        for action in actions {
            if let PoolAction::Grant { grant, .. } = action {
                running.push((grant.request_id, grant.target));
            }
        }
    }

    /// Chooses a pool for one request, submits it there and completes the oldest running request of the pool.
    fn run_decision(&mut self) {
        self.now += self.request_interval;
        let route = ROUTE.to_string();
        let request_id = self.next_id + 1;
        let pressures = &self.pressures;
        let pool = self.directory.choose(&route, request_id, 1, |pool| pressures.get(pool));
        let pool = black_box(pool).cloned().expect("the route has pools");
        self.submit(&pool);
        let (request_id, target) = self.running.get_mut(&pool).expect("the pool exists").remove(0);
        let finished = Finished {
            request_id,
            target,
            version: "v1".into(),
            outcome: DispatchOutcome::Completed,
            read_tokens: 2_000,
            cached_tokens: 0,
            written_tokens: 100,
            first_token: Some(Duration::from_millis(300)),
            elapsed: Duration::from_secs(3),
        };
        self.handle_event(&pool, PoolEvent::Finished(finished));
    }
}

/// Returns the hash of a block in one of the prompt templates that requests share.
fn prefix_hash(template: u64, block: u64) -> u64 {
    stable_hash(&[&template.to_le_bytes(), &block.to_le_bytes()])
}

fn decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    group.warm_up_time(Duration::from_secs(1)).measurement_time(Duration::from_secs(3));
    for targets in [55, 220, 880] {
        let mut fleet = Fleet::new(targets);
        group.bench_function(BenchmarkId::from_parameter(targets), |bencher| {
            bencher.iter(|| fleet.run_decision());
        });
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
