//! Tests of brittle targets: one that has to turn away more requests in a second than it names falls over, and is back some seconds later. The users
//! allow the targets of a service to fall more often than not at all, but not more often than 2 + a tenth of their number (rule LIMIT).

use crate::simulation::{drafting_kinds, job};
use agatecourse_core::request::dispatch::{
    Decision, DispatchTarget, Dispatcher, JobKey, NamedLimit, RunEnd, RunReport,
};
use googletest::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const TARGETS: u32 = 10;
const SLOTS: u32 = 5;
/// Falls that are allowed.
const ALLOWED_FALLS: u32 = 2 + TARGETS / 10;
/// Requests that a target can turn away in a second.
const BRITTLENESS: usize = 4;
const STEP: Duration = Duration::from_millis(10);
const RUN_TIME: Duration = Duration::from_millis(120);
/// Time until the owner of the queue hears of a rejection.
const REJECTION_DELAY: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);

#[derive(Default)]
struct SimulatedTarget {
    runs: u32,
    rejections: Vec<Instant>,
    down_until: Option<Instant>,
}

/// Targets that have less room than their slots say, under constant pressure.
struct BrittleService {
    now: Instant,
    dispatcher: Dispatcher,
    targets: BTreeMap<String, SimulatedTarget>,
    ends: Vec<(Instant, JobKey, String, RunEnd)>,
    next_number: u64,
    falls: u32,
    answered: u32,
}

impl BrittleService {
    fn new() -> Self {
        let now = Instant::now() + Duration::from_mins(1);
        let mut dispatcher = Dispatcher::new();
        let ids: Vec<String> = (0..TARGETS).map(|number| format!("t-{number:02}")).collect();
        let specs = ids.iter().map(|id| DispatchTarget {
            id: id.clone(),
            slots: SLOTS,
            zone: "a".to_string(),
            version: "v1".to_string(),
            started_unix_ms: 1,
        });
        dispatcher.set_targets(now, specs.collect(), &mut Vec::new());
        let targets = ids.into_iter().map(|id| (id, SimulatedTarget::default())).collect();
        Self { now, dispatcher, targets, ends: Vec::new(), next_number: 0, falls: 0, answered: 0 }
    }

    fn name_brittleness(&mut self, per_s: Option<f64>) {
        for id in self.targets.keys() {
            self.dispatcher.set_brittleness(id, NamedLimit { per_s, named_at: self.now });
        }
    }

    /// Lets `per_s` requests a second arrive for a time, while each target has room for `room`.
    fn run(&mut self, time: Duration, per_s: u32, room: u32) {
        let end = self.now + time;
        let mut due = 0.0;
        while self.now < end {
            self.now += STEP;
            let (now, mut decisions) = (self.now, Vec::new());
            let ended: Vec<_> = self.ends.extract_if(.., |(at, ..)| *at <= now).collect();
            for (_, key, target, end) in ended {
                if end == RunEnd::Answered {
                    self.answered += 1;
                    let target = self.targets.get_mut(&target).expect("the target is known");
                    target.runs = target.runs.saturating_sub(1);
                }
                self.dispatcher.finish(
                    now,
                    &key,
                    RunReport { end, elapsed: RUN_TIME },
                    &mut decisions,
                );
            }
            due += f64::from(per_s) * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.next_number += 1;
                let key = JobKey { node: "n".to_string(), number: self.next_number };
                let job = job(key, 0, &drafting_kinds()[0], now);
                self.dispatcher.submit(now, job, &mut decisions);
            }
            self.dispatcher.on_timer(now, &mut decisions);
            for decision in decisions {
                if let Decision::Grant { key, target } = decision {
                    self.receive(key, target, room);
                }
            }
        }
    }

    fn receive(&mut self, key: JobKey, id: String, room: u32) {
        let now = self.now;
        let target = self.targets.get_mut(&id).expect("the target is known");
        let (after, end) = if target.down_until.is_some_and(|until| now < until) {
            (REJECTION_DELAY, RunEnd::Unreachable)
        } else if target.runs < room {
            target.runs += 1;
            (RUN_TIME, RunEnd::Answered)
        } else {
            target.rejections.retain(|at| now - *at < SECOND);
            target.rejections.push(now);
            if target.rejections.len() > BRITTLENESS {
                target.down_until = Some(now + SECOND * 3);
                target.rejections.clear();
                target.runs = 0;
                self.falls += 1;
            }
            (REJECTION_DELAY, RunEnd::Rejected)
        };
        self.ends.push((now + after, key, id, end));
    }
}

/// Pattern: an overload of targets that have less room than their slots say. Guards against a queue that sends brittle targets requests which they have to
/// turn away until they fall over.
#[gtest]
fn brittle_targets_stay_up_in_an_overload() {
    for room in 1..SLOTS {
        let mut service = BrittleService::new();
        service.name_brittleness(Some(BRITTLENESS as f64));
        service.run(SECOND * 6, 600, room);
        expect_that!(service.falls, le(ALLOWED_FALLS), "room for {room}");
        // Most of the room is used nevertheless.
        let possible = f64::from(TARGETS * room) * 6.0 / RUN_TIME.as_secs_f64();
        expect_that!(f64::from(service.answered), ge(possible * 0.6), "room for {room}");
    }
}

/// Guards against targets that get fewer requests than they have slots for long after they had less room, or although they are not brittle.
#[gtest]
fn room_is_used_again_once_targets_have_it() {
    let mut service = BrittleService::new();
    service.name_brittleness(Some(BRITTLENESS as f64));
    service.run(SECOND * 2, 600, 2);
    service.run(SECOND * 6, 600, SLOTS);
    let before = service.answered;
    service.run(SECOND, 600, SLOTS);
    let possible = f64::from(TARGETS * SLOTS) / RUN_TIME.as_secs_f64();
    expect_that!(f64::from(service.answered - before), ge(possible * 0.9));
}

/// Guards against a guard that goes on after the targets have said that they are no longer brittle.
#[gtest]
fn targets_that_are_no_longer_brittle_get_all_requests() {
    let mut service = BrittleService::new();
    service.name_brittleness(Some(BRITTLENESS as f64));
    service.run(SECOND, 600, 1);
    service.name_brittleness(None);
    let before = service.answered;
    service.run(SECOND, 600, SLOTS);
    let possible = f64::from(TARGETS * SLOTS) / RUN_TIME.as_secs_f64();
    expect_that!(f64::from(service.answered - before), ge(possible * 0.8));
}
