use super::*;
use googletest::prelude::*;

/// Guards against a projection with a wrong slope, which could hide that a limit is exceeded at full size.
#[gtest]
fn least_squares_line_is_evaluated_at_projected_size() {
    let table = [
        (vec![(3.0, 7.0), (9.0, 19.0), (36.0, 73.0)], 721.0),
        (vec![(3.0, 5.0), (9.0, 5.0), (18.0, 5.0)], 5.0),
        (vec![(1.0, 1.0), (2.0, 3.0), (3.0, 2.0)], 2.0 + 0.5 * 358.0),
    ];
    for (points, expected) in table {
        expect_that!(evaluate_least_squares_line(&points, 360.0), near(expected, 1e-9));
    }
}
