use super::engine_model::EngineModel;
use crate::request::{ENGINE_SPEEDS, LoadShape, SimRequest};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time step of the computation.
const STEP: Duration = Duration::from_millis(10);

/// Computes an upper bound on the work that can end on time, in seconds of an engine of speed 1.
///
/// The relaxed problem treats all engines as one divisible engine at the speed of full batches. Work may be split,
/// preempted and migrated, each request needs only its least work, and partial work counts. For this problem, earliest
/// deadline first with expired work dropped is optimal. Arrivals are rounded down and deadlines up to 10 ms, so the
/// result remains an upper bound.
pub fn capacity_bound_s(shape: &LoadShape, model: &EngineModel, requests: &[SimRequest]) -> f64 {
    let last = requests.iter().map(SimRequest::useful_until).max().unwrap_or_default();
    let mut waiting: BTreeMap<(Duration, usize), f64> = BTreeMap::new();
    let mut next_arrival = 0;
    let mut done_s = 0.0;
    let mut now = Duration::ZERO;
    while now < last {
        while next_arrival < requests.len() && requests[next_arrival].at < now + STEP {
            let request = &requests[next_arrival];
            waiting
                .insert((request.useful_until() + STEP, next_arrival), model.least_work_s(request));
            next_arrival += 1;
        }
        let speed: f64 =
            (0..ENGINE_SPEEDS.len()).map(|engine| shape.engine_speed(engine, now)).sum();
        done_s += serve_step(&mut waiting, now, speed * STEP.as_secs_f64());
        now += STEP;
    }
    done_s
}

/// Serves waiting work for one time step, earliest deadline first; returns the amount of work done.
fn serve_step(
    waiting: &mut BTreeMap<(Duration, usize), f64>,
    now: Duration,
    capacity_s: f64,
) -> f64 {
    let mut remaining_s = capacity_s;
    while remaining_s > 0.0
        && let Some(mut first) = waiting.first_entry()
    {
        if first.key().0 <= now {
            first.remove();
            continue;
        }
        let served_s = first.get().min(remaining_s);
        remaining_s -= served_s;
        *first.get_mut() -= served_s;
        if *first.get() <= 0.0 {
            first.remove();
        }
    }
    capacity_s - remaining_s
}
