//! Tests of periodic work.

use agatecourse_gateway::process::TimerService;
use googletest::prelude::*;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Guards against a panic in one piece of periodic work that ends all of it, and with it the whole process's timers.
#[gtest]
fn periodic_work_goes_on_after_a_panic() {
    let period = Duration::from_millis(20);
    let timers = TimerService::new();
    let counts: Rc<[Cell<u32>; 3]> = Rc::default();
    for index in 0..3 {
        let counts = Rc::clone(&counts);
        timers.subscribe(period, move |_| {
            counts[index].set(counts[index].get() + 1);
            assert!(
                index != 1 || counts[index].get() != 1,
                "first call of the second subscription"
            );
        });
    }
    let start = Instant::now();
    let panics: Vec<usize> =
        (1..4).map(|round| timers.notify_due(start + period * 2 * round).len()).collect();
    expect_that!(panics, elements_are![eq(&1), eq(&0), eq(&0)]);
    for count in counts.iter() {
        expect_that!(count.get(), eq(3));
    }
}
