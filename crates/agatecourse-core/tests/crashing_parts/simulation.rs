use agatecourse_core::request::dispatch::{
    Decision, DispatchTarget, Dispatcher, Job, JobKey, RunEnd, RunReport,
};
use agatecourse_core::request::{
    CrashLedger, CrashReport, CrashVerdict, SuspectKey, SuspectKeys, TargetHash,
};
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time after the fifth crash from which the users count requests with the part.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Crashes until the users expect the part to be known.
const TOLERATED_CRASHES: usize = 5;
const LENGTH: Duration = Duration::from_secs(26);
const DEADLY_PART: SuspectKey = 1;
/// First parts of prompts; requests with the deadly part have the first of them.
const FIRST_PARTS: u64 = 50;
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);
/// Time for which a crashed target is down.
const DOWN_TIME: Duration = Duration::from_secs(3);
/// Time from the second event of an answer to its end.
pub const ANSWER_TIME: Duration = Duration::from_millis(500);
/// Time from the loss of an answer until the target is known to have crashed.
const CHECK_TIME: Duration = Duration::from_millis(32);

#[derive(Debug, Clone, Copy)]
pub struct Day {
    pub nodes: usize,
    pub targets: usize,
    pub requests_per_s: f64,
    pub deadly_share: f64,
    /// Time after the second event of an answer at which a deadly request crashes its target; `None` if it does so before the first.
    pub crash_delay: Option<Duration>,
    /// True if all deadly requests are one that comes again, without a deadly part.
    pub repeats: bool,
    /// Share of the messages between nodes that are lost.
    pub loss: f64,
    /// True if the nodes are replaced one after the other from 8 s on.
    pub has_restarts: bool,
    /// Mean number of targets per second that end by themselves.
    pub own_crashes_per_s: f64,
}

#[derive(Debug, Clone)]
enum Event {
    Arrive,
    Grant(JobKey, usize),
    /// Run and whether its first or its second event is due.
    Progress(JobKey, bool),
    End(JobKey),
    /// The node has checked that the target of a lost run has crashed.
    Checked(JobKey, TargetHash, Instant),
    Up(usize),
    OwnCrash(usize),
    Report(usize, CrashReport),
    Cleared(usize, SuspectKeys),
    Progressed(usize, SuspectKeys),
    /// A deadly run crashes its target in mid-stream.
    LateCrash(JobKey),
    Heartbeat(usize),
    Restart(usize),
    Timer,
}

#[derive(Debug, Clone)]
struct Request {
    node: usize,
    keys: SuspectKeys,
    is_deadly: bool,
    target: Option<usize>,
    sent: Instant,
    has_begun: bool,
    goes_on: bool,
}

#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    pub offered: u32,
    pub begun: u32,
    /// Requests that were refused because they share something with requests that crash targets.
    pub quarantined: u32,
    /// Requests that the queue refused, because too few targets were up.
    pub refused: u32,
    /// Requests whose answer was cut by a crash.
    pub cut: u32,
}

pub struct Simulation {
    day: Day,
    rng: ChaCha8Rng,
    now: Instant,
    start: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    next_number: u64,
    pub ledgers: Vec<CrashLedger>,
    dispatcher: Dispatcher,
    requests: BTreeMap<JobKey, Request>,
    is_down: Vec<bool>,
    pub crashes: Vec<Instant>,
    pub late_requests: u32,
    /// Sound requests with the first part of the deadly ones.
    pub sharing: Counts,
    pub others: Counts,
}

impl Simulation {
    /// Creates a day that has not begun.
    pub fn new(day: Day, seed: u64) -> Self {
        let start = Instant::now() + Duration::from_mins(1);
        let mut dispatcher = Dispatcher::new();
        let targets = (0..day.targets).map(|index| DispatchTarget {
            id: index.to_string(),
            slots: 4,
            zone: "a".to_string(),
            version: "v1".to_string(),
            started_unix_ms: 1,
        });
        dispatcher.set_targets(start, targets.collect(), &mut Vec::new());
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: start,
            start,
            events: BTreeMap::new(),
            next_number: 0,
            ledgers: vec![CrashLedger::new(); day.nodes],
            dispatcher,
            requests: BTreeMap::new(),
            is_down: vec![false; day.targets],
            crashes: Vec::new(),
            late_requests: 0,
            sharing: Counts::default(),
            others: Counts::default(),
            day,
        }
    }

    /// Plays the day to its end.
    pub fn run(mut self) -> Self {
        self.schedule(Duration::ZERO, Event::Arrive);
        self.schedule(Duration::ZERO, Event::Timer);
        for node in 0..self.day.nodes {
            let first = HEARTBEAT_PERIOD.mul_f64(self.random());
            self.schedule(first, Event::Heartbeat(node));
            if self.day.has_restarts {
                self.schedule(Duration::from_secs(8 + node as u64), Event::Restart(node));
            }
        }
        let own_crashes = self.day.own_crashes_per_s * LENGTH.as_secs_f64();
        for _ in 0..own_crashes as usize {
            let (at, target) = (LENGTH.mul_f64(self.random()), self.pick(self.day.targets));
            self.schedule(at, Event::OwnCrash(target));
        }
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > self.start + LENGTH {
                break;
            }
            self.now = at;
            self.step(event);
        }
        self
    }

    fn random(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    fn pick(&mut self, count: usize) -> usize {
        self.rng.next_u32() as usize % count
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.next_number += 1;
        self.events.insert((self.now + delay, self.next_number), event);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Grant(key, target) => self.send(&key, target),
            Event::Progress(key, is_second) => self.progress(&key, is_second),
            Event::End(key) => self.complete(&key),
            Event::Checked(key, target, ended) => self.record_crash(&key, target, ended),
            Event::Up(target) => self.is_down[target] = false,
            Event::OwnCrash(target) => self.crash(target),
            Event::Report(node, report) => {
                self.ledgers[node].record(self.now, report);
            }
            Event::Cleared(node, keys) => self.clear(node, &keys),
            Event::Progressed(node, keys) => {
                let released = self.ledgers[node].record_progress(&keys);
                self.clear_in_queue(node, &released);
            }
            Event::LateCrash(key) => {
                if let Some(target) = self.requests.get(&key).and_then(|request| request.target) {
                    self.crash(target);
                }
            }
            Event::Heartbeat(node) => self.send_heartbeat(node),
            Event::Restart(node) => self.ledgers[node] = CrashLedger::new(),
            Event::Timer => {
                self.decide(Dispatcher::on_timer);
                self.schedule(Duration::from_millis(20), Event::Timer);
            }
        }
    }

    fn arrive(&mut self) {
        let gap = Duration::from_secs_f64(2.0 * self.random() / self.day.requests_per_s);
        self.schedule(gap, Event::Arrive);
        let is_deadly = self.random() < self.day.deadly_share;
        let first_part = if is_deadly { 0 } else { self.pick(FIRST_PARTS as usize) as u64 };
        self.next_number += 1;
        let mut keys = SuspectKeys::from_slice(&[1_000_000 + self.next_number, 100 + first_part]);
        if is_deadly && self.day.repeats {
            keys[0] = DEADLY_PART;
        } else if is_deadly {
            keys.push(DEADLY_PART);
        }
        let node = self.pick(self.day.nodes);
        let key = JobKey { node: node.to_string(), number: self.next_number };
        let request = Request {
            node,
            keys,
            is_deadly,
            target: None,
            sent: self.now,
            has_begun: false,
            goes_on: false,
        };
        if let Some(counts) = self.counts(&request) {
            counts.offered += 1;
        }
        self.requests.insert(key.clone(), request);
        self.submit(&key);
    }

    fn counts(&mut self, request: &Request) -> Option<&mut Counts> {
        match (request.is_deadly, request.keys[1] == 100) {
            (true, _) => None,
            (false, true) => Some(&mut self.sharing),
            (false, false) => Some(&mut self.others),
        }
    }

    fn submit(&mut self, key: &JobKey) {
        let request = self.requests[key].clone();
        let suspects = match self.ledgers[request.node].verdict(self.now, &request.keys) {
            CrashVerdict::Quarantined { .. } => return self.quarantine(key),
            CrashVerdict::Suspect(suspects) => suspects,
            CrashVerdict::Clear => SmallVec::new(),
        };
        let job = Job {
            key: key.clone(),
            kind: 0,
            rank: 0,
            arrived: self.now,
            objective: self.now + Duration::from_secs(1),
            deadline: self.now + Duration::from_secs(8),
            relative_size: 1.0,
            prompt_tokens: 0,
            prompt_parts: SmallVec::new(),
            zone: "a".to_string(),
            excluded: SmallVec::new(),
            is_retry: false,
            version: String::new(),
            avoided_version: String::new(),
            suspects,
            home_zones: SmallVec::new(),
            organisation: 0,
            weight: 0,
            caller: 0,
            place: None,
        };
        self.decide(|dispatcher, now, decisions| dispatcher.submit(now, job, decisions));
    }

    fn decide(&mut self, act: impl FnOnce(&mut Dispatcher, Instant, &mut Vec<Decision>)) {
        let mut decisions = Vec::new();
        act(&mut self.dispatcher, self.now, &mut decisions);
        for decision in decisions {
            match decision {
                Decision::Grant { key, target } => {
                    let target = target.parse().expect("ids of targets are numbers");
                    self.schedule(Duration::from_millis(1), Event::Grant(key, target));
                }
                Decision::Refuse { key, .. } => {
                    if let Some(request) = self.requests.remove(&key)
                        && let Some(counts) = self.counts(&request)
                    {
                        counts.refused += 1;
                    }
                }
            }
        }
    }

    fn quarantine(&mut self, key: &JobKey) {
        if let Some(request) = self.requests.remove(key)
            && let Some(counts) = self.counts(&request)
        {
            counts.quarantined += 1;
        }
    }

    fn send(&mut self, key: &JobKey, target: usize) {
        let Some(request) = self.requests.get(key) else {
            return self.finish(key, RunEnd::Unused);
        };
        let verdict = self.ledgers[request.node].verdict(self.now, &request.keys);
        if matches!(verdict, CrashVerdict::Quarantined { .. }) {
            self.finish(key, RunEnd::Unused);
            return self.quarantine(key);
        }
        if self.is_down[target] {
            self.finish(key, RunEnd::Unreachable);
            return self.submit(key);
        }
        let fifth = self.crashes.get(TOLERATED_CRASHES - 1).copied();
        let is_late = fifth.is_some_and(|fifth| self.now >= fifth + STABLE_WINDOW);
        let until_first_event = Duration::from_secs_f64(0.05 + 0.15 * self.random());
        let now = self.now;
        if let Some(request) = self.requests.get_mut(key) {
            request.target = Some(target);
            request.sent = now;
            self.late_requests += u32::from(is_late && request.is_deadly);
        }
        self.schedule(until_first_event, Event::Progress(key.clone(), false));
    }

    fn progress(&mut self, key: &JobKey, is_second: bool) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let Some(target) = request.target else { return };
        if request.is_deadly && self.day.crash_delay.is_none() {
            return self.crash(target);
        }
        if is_second {
            request.goes_on = true;
            let (node, keys, is_deadly) = (request.node, request.keys.clone(), request.is_deadly);
            let released = self.ledgers[node].record_progress(&keys);
            if !released.is_empty() {
                self.clear_in_queue(node, &released);
                self.broadcast(node, |peer| Event::Progressed(peer, released.clone()));
            }
            if let Some(delay) = self.day.crash_delay.filter(|_| is_deadly) {
                self.schedule(delay, Event::LateCrash(key.clone()));
            } else {
                self.schedule(ANSWER_TIME, Event::End(key.clone()));
            }
        } else {
            request.has_begun = true;
            let request = request.clone();
            if let Some(counts) = self.counts(&request) {
                counts.begun += 1;
            }
            self.schedule(Duration::from_millis(30), Event::Progress(key.clone(), true));
        }
    }

    /// Ends a run whose target has sent its whole answer; the target may have crashed before.
    fn complete(&mut self, key: &JobKey) {
        let Some(request) = self.requests.get(key).filter(|request| request.target.is_some())
        else {
            return;
        };
        let (node, keys) = (request.node, request.keys.clone());
        let cleared = self.ledgers[node].clear(self.now, &keys);
        if !cleared.is_empty() {
            self.clear_in_queue(node, &cleared);
            self.broadcast(node, |peer| Event::Cleared(peer, cleared.clone()));
        }
        self.end(key, RunEnd::Answered);
    }

    fn clear(&mut self, node: usize, keys: &[SuspectKey]) {
        let cleared = self.ledgers[node].clear(self.now, keys);
        self.clear_in_queue(node, &cleared);
    }

    /// The first node owns the queue.
    fn clear_in_queue(&mut self, node: usize, cleared: &[SuspectKey]) {
        if node == 0 && !cleared.is_empty() {
            self.decide(|dispatcher, now, decisions| {
                dispatcher.clear_suspects(now, cleared, decisions);
            });
        }
    }

    fn crash(&mut self, target: usize) {
        if std::mem::replace(&mut self.is_down[target], true) {
            return;
        }
        self.crashes.push(self.now);
        self.schedule(DOWN_TIME, Event::Up(target));
        let on_target = |request: &&mut Request| request.target == Some(target);
        let mut lost = Vec::new();
        for (key, request) in &mut self.requests {
            if on_target(&request) {
                request.target = None;
                lost.push(key.clone());
            }
        }
        for key in lost {
            self.schedule(CHECK_TIME, Event::Checked(key, target as TargetHash, self.now));
        }
    }

    fn record_crash(&mut self, key: &JobKey, target: TargetHash, ended: Instant) {
        let Some(request) = self.requests.get(key).cloned() else { return };
        if let Some(counts) = self.counts(&request) {
            counts.cut += 1;
        }
        let early_count = if request.goes_on { 1 } else { request.keys.len() };
        let (early, late) = request.keys.split_at(early_count);
        for (keys, is_late) in [(early, false), (late, true)] {
            let (started, keys) = (request.sent, SuspectKeys::from_slice(keys));
            let report = CrashReport { target, started, ended, keys, is_late };
            if self.ledgers[request.node].record(self.now, report.clone()) {
                self.broadcast(request.node, |peer| Event::Report(peer, report.clone()));
            }
        }
        self.end(key, RunEnd::Unreachable);
    }

    fn end(&mut self, key: &JobKey, end: RunEnd) {
        if self.requests.remove(key).is_some() {
            self.finish(key, end);
        }
    }

    fn finish(&mut self, key: &JobKey, end: RunEnd) {
        let report = RunReport { end, elapsed: Duration::from_millis(600) };
        self.decide(|dispatcher, now, decisions| dispatcher.finish(now, key, report, decisions));
    }

    fn broadcast(&mut self, from: usize, event: impl Fn(usize) -> Event) {
        for peer in (0..self.day.nodes).filter(|peer| *peer != from) {
            if self.random() >= self.day.loss {
                self.schedule(Duration::from_millis(1), event(peer));
            }
        }
    }

    fn send_heartbeat(&mut self, node: usize) {
        let round = self.next_number as usize;
        let ledger = &self.ledgers[node];
        let reports = [false, true].map(|is_late| ledger.reports(is_late, 4, round));
        for report in reports.concat() {
            self.broadcast(node, |peer| Event::Report(peer, report.clone()));
        }
        for entry in self.ledgers[node].quarantined(12, round) {
            for ledger in &mut self.ledgers {
                ledger.adopt(self.now, entry);
            }
        }
        self.schedule(HEARTBEAT_PERIOD, Event::Heartbeat(node));
    }
}
