use super::*;
use googletest::prelude::*;

fn crash(quarantine: &mut Quarantine, running: &[Fingerprint], alone: bool) -> Vec<Alert> {
    let (target, running) = ("t".to_string(), running.to_vec());
    quarantine.on_event(QuarantineEvent::TargetCrashed { target, running, alone })
}

/// Guards against a request that stays suspect after it finished, and against a crashing request that runs a third time.
#[gtest]
fn isolation_clears_requests_that_finish_and_quarantines_the_one_that_crashes() {
    let mut quarantine = Quarantine::new("a".to_string());
    expect_that!(crash(&mut quarantine, &[1, 2, 3], false), len(eq(3)));
    for fingerprint in [1, 2, 3] {
        expect_that!(quarantine.admission(fingerprint), eq(Admission::Isolated));
    }
    for fingerprint in [1, 3] {
        let alerts = quarantine.on_event(QuarantineEvent::Finished { fingerprint });
        expect_that!(alerts, len(eq(1)));
        expect_that!(quarantine.admission(fingerprint), eq(Admission::Free));
    }
    expect_that!(crash(&mut quarantine, &[2], true), len(eq(1)));
    expect_that!(quarantine.admission(2), eq(Admission::Refused));
}

/// Guards against a quarantine that needs two crashes, that includes a request which may have shared its target, or that
/// an operator can't release.
#[gtest]
fn one_crash_alone_suffices_until_an_operator_releases() {
    let mut quarantine = Quarantine::new("a".to_string());
    let _ = crash(&mut quarantine, &[8], false);
    expect_that!(quarantine.admission(8), eq(Admission::Isolated));
    let raised = crash(&mut quarantine, &[9], true);
    let mut other = Quarantine::new("b".to_string());
    let _ = other.on_event(QuarantineEvent::Received(raised[0].clone()));
    expect_that!(other.admission(9), eq(Admission::Refused));

    let (fingerprint, operator) = (9, "ops".to_string());
    let released = other.on_event(QuarantineEvent::Release { fingerprint, operator });
    expect_that!(other.admission(9), eq(Admission::Free));
    // The old alert may arrive once more after the release.
    for alert in [&released[0], &raised[0]] {
        let _ = quarantine.on_event(QuarantineEvent::Received(alert.clone()));
        expect_that!(quarantine.admission(9), eq(Admission::Free));
    }
    expect_that!(crash(&mut quarantine, &[9], true)[0].generation, eq(3));
}

/// Guards against unbounded memory and against dropping quarantined fingerprints before others.
#[gtest]
fn bound_drops_suspects_before_quarantined_fingerprints() {
    let mut quarantine = Quarantine::new("a".to_string()).with_limit(2);
    let _ = crash(&mut quarantine, &[1], true);
    let _ = crash(&mut quarantine, &[2], false);
    let _ = crash(&mut quarantine, &[3], false);
    let admissions: Vec<_> = [1, 2, 3].map(|fingerprint| quarantine.admission(fingerprint)).into();
    expect_that!(admissions, eq(&vec![Admission::Refused, Admission::Free, Admission::Isolated]));
    let _ = quarantine.on_event(QuarantineEvent::Finished { fingerprint: 77 });
    expect_that!(quarantine.admission(3), eq(Admission::Isolated));
}
