use super::*;
use googletest::prelude::*;

/// Guards against quarantining a request that did not cause a crash: one crash is enough only if the request certainly
/// ran alone on the target.
#[gtest]
fn only_a_request_that_ran_alone_is_quarantined_at_once() {
    let table = [
        (vec![1], true, vec![(1, Verdict::Quarantined)]),
        (vec![1], false, vec![(1, Verdict::Suspect)]),
        (vec![1, 2], true, vec![(1, Verdict::Suspect), (2, Verdict::Suspect)]),
    ];
    for (running, alone, expected) in table {
        let quarantine = Quarantine::default();
        for fingerprint in &running {
            quarantine.started("engine-1", *fingerprint);
        }
        expect_that!(quarantine.crashed("engine-1", alone), eq(&expected), "{running:?}, {alone}");
    }
}

/// Guards against a request that crashes several targets in succession, and against suspects that are never cleared.
#[gtest]
fn a_suspect_is_cleared_by_its_end_and_quarantined_by_a_second_crash() {
    let quarantine = Quarantine::default();
    for fingerprint in [1, 2] {
        quarantine.started("engine-1", fingerprint);
    }
    quarantine.crashed("engine-1", false);
    quarantine.started("engine-2", 2);
    quarantine.ended("engine-2", 2, true);
    expect_that!(quarantine.verdict(2), none());
    quarantine.started("engine-2", 1);
    expect_that!(quarantine.crashed("engine-2", false), eq(&vec![(1, Verdict::Quarantined)]));
}
