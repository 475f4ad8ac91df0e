use super::*;
use googletest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_core::SeedableRng;

/// Guards against delays that overflow, exceed the limit or have no jitter.
#[gtest]
fn delays_grow_to_the_limit_with_jitter() {
    let (base, limit) = (Duration::from_millis(100), Duration::from_secs(2));
    let delays = |seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut back_off = BackOff::new(base, limit);
        (0..40).map(|_| back_off.next_delay(&mut rng)).collect::<Vec<_>>()
    };
    let first = delays(1);
    expect_that!(first[0], all!(ge(base / 2), le(base)));
    expect_that!(first[39], all!(ge(limit / 2), le(limit)));
    expect_that!(first, not(eq(&delays(2))));
}
