use super::{PeerWatch, TcpState, WATCH_INTERVAL};
use googletest::prelude::*;
use std::time::{Duration, Instant};

/// Takes one reading after the other; returns the time after which the peer was lost.
fn time_until_lost(readings: &[(bool, u64)]) -> Option<Duration> {
    let (start, mut watch) = (Instant::now(), PeerWatch::new());
    let lost = readings.iter().zip(0_u32..).find(|((awaits_ack, last_ack_age_ms), number)| {
        let last_ack_age = Duration::from_millis(*last_ack_age_ms);
        let state =
            TcpState { awaits_ack: *awaits_ack, last_ack_age, is_closed: false, acked_bytes: 0 };
        watch.observe(start + WATCH_INTERVAL * *number, &state)
    });
    lost.map(|(_, number)| WATCH_INTERVAL * number)
}

/// Guards against a caller without power that holds its memory, its socket and its target's slot.
#[gtest]
fn peer_that_acknowledges_nothing_is_lost() {
    let silent: Vec<(bool, u64)> = (0..8).map(|number| (true, 900 + number * 500)).collect();
    expect_that!(time_until_lost(&silent), some(eq(Duration::from_millis(1_500))));
}

/// Guards against the end of a connection whose peer reads slowly: its window is closed for long, and it answers each probe.
#[gtest]
fn peer_that_answers_probes_of_its_closed_window_is_kept() {
    let probed: Vec<(bool, u64)> =
        (0..40).map(|number| (number % 4 == 3, (number % 4) * 500)).collect();
    expect_that!(time_until_lost(&probed), none());
}

/// Guards against the end of a busy connection, on which some data is always on its way.
#[gtest]
fn peer_with_data_on_its_way_is_kept_while_it_acknowledges_some() {
    expect_that!(time_until_lost(&[(true, 20); 40]), none());
}

/// Guards against a silence that is counted from before the data was sent: the first event after a long pause of a stream.
#[gtest]
fn silence_counts_from_the_first_reading_that_awaits_an_acknowledgement() {
    let mut readings = vec![(false, 8_000); 4];
    readings.push((true, 10_000));
    readings.push((false, 100));
    expect_that!(time_until_lost(&readings), none());
}
