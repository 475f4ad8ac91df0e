use super::RolloutCounts;

/// Share of failed or slow answers of the new version on a route that is tolerated beyond 1.5 times that of the old version.
const ROUTE_BAD_MARGIN: f64 = 0.03;
const OLD_SHARE_FACTOR: f64 = 1.5;
/// Chance at which the answers of all routes together make a good version look bad.
const FALSE_ALARM_CHANCE: f64 = 0.05;

/// Returns whether the answers on one of `routes` routes show that the new version is bad there: with a tolerable share of bad answers,
/// as many as these would come by chance in fewer than one in twenty rollouts.
///
/// This holds for a few answers as well, as a share that must exceed a bound does not: 3 bad answers of 3 suffice on a few routes, one never does.
pub(super) fn is_bad_on_route(counts: RolloutCounts, routes: usize) -> bool {
    let RolloutCounts { new_answers, new_bad, old_answers, old_bad } = counts;
    // Half an answer each way, so that a route without a bad answer of the old version may still have one.
    let old_share = (f64::from(old_bad) + 0.5) / (f64::from(old_answers) + 1.0);
    let tolerable = (old_share * OLD_SHARE_FACTOR + ROUTE_BAD_MARGIN).min(1.0);
    new_bad >= 2
        && chance_of_at_least(new_bad, new_answers, tolerable)
            < FALSE_ALARM_CHANCE / routes.max(1) as f64
}

/// Returns the chance that at least `bad` of `answers` are bad when each is bad with the chance `share`.
fn chance_of_at_least(bad: u32, answers: u32, share: f64) -> f64 {
    if share >= 1.0 {
        return 1.0;
    }
    // The terms are computed as logarithms, because the first one may be too small for a float.
    let odds_ln = (share / (1.0 - share)).ln();
    let mut term_ln = f64::from(answers) * (1.0 - share).ln();
    let mut fewer = 0.0;
    for count in 0..bad.min(answers) {
        fewer += term_ln.exp();
        term_ln += (f64::from(answers - count) / f64::from(count + 1)).ln() + odds_ln;
    }
    (1.0_f64 - fewer).max(0.0)
}
