use super::*;
use googletest::prelude::*;

/// Guards against a percentile that ignores the slowest responses.
#[gtest]
fn percentile_handles_unsorted_values() {
    let mut values: Vec<f64> = (0..=100).rev().map(f64::from).collect();
    for (fraction, expected) in [(0.5, 50.0), (0.99, 99.0), (1.0, 100.0)] {
        expect_that!(percentile(&mut values, fraction), eq(expected));
    }
    expect_that!(percentile(&mut [7.0], 0.99), eq(7.0));
}
