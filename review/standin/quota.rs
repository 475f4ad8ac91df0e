//! The check of a tenant's quota, with the bounds of the small sites.

use crate::fleet::Record;
use std::collections::BTreeMap;

pub const RATE_PER_S: u64 = 68_786;
pub const BURST: u64 = 68_786;
const WINDOW_MS: u128 = 8_000;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 190_000.0;
/// Step between the windows that are looked at.
const STEP_MS: usize = 50;

/// Returns the tokens that a tenant may use in one window.
pub fn allowed_tokens() -> f64 {
    let full = u128::from(RATE_PER_S) * WINDOW_MS / 1_000 + u128::from(BURST);
    full as f64 * (1.0 + OVERAGE) + SLACK
}

/// Returns the most tokens of requests that were both sent and began to run in one window between two times. `sent` has the times at which
/// the tenant's requests were sent, each of `tokens`.
pub fn most_tokens_in_a_window(
    record: &Record,
    sent: &BTreeMap<String, u128>,
    tokens: u64,
    (from, to): (u128, u128),
) -> u64 {
    let runs: Vec<(u128, u128)> = record
        .lines()
        .iter()
        .filter(|(_, text)| text.starts_with("server") && text.ends_with(" runs"))
        .filter_map(|(at, text)| Some((*sent.get(text.split(' ').nth(3)?)?, *at)))
        .collect();
    let starts = (from..=to.saturating_sub(WINDOW_MS)).step_by(STEP_MS);
    let used = starts.map(|start| {
        let end = start + WINDOW_MS;
        tokens * runs.iter().filter(|(sent, ran)| *sent >= start && *ran < end).count() as u64
    });
    used.max().unwrap_or(0)
}
