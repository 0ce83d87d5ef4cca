//! Error bounds of the sketch of hot keys for random streams of keys.

use citronway_core::hotkeys::HotKeys;
use googletest::prelude::*;
use indexmap::IndexMap;
use proptest::prelude::prop_assert;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Number of distinct keys in a stream; low keys are more frequent.
const KEYS: u64 = 200;

/// Failures guarded against: a frequent key is missing, or a key is reported with
/// the requests of other keys. A cool key would then get its own shard, and the hot
/// one would not.
#[test]
fn counts_are_off_by_no_more_than_one_part_in_the_counters() {
    let mut runner = TestRunner::new(Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..Config::default()
    });
    let stream = proptest::collection::vec(0..KEYS * KEYS * KEYS, 1..2_000);
    let result = runner.run(&(stream, 1..40_usize), |(stream, counters)| {
        let mut sketch = HotKeys::new(counters);
        let mut truth: IndexMap<u64, u64> = IndexMap::new();
        for point in &stream {
            let key = point / (KEYS * KEYS) * (point % KEYS) / KEYS;
            sketch.add(&key);
            *truth.entry(key).or_default() += 1;
        }
        let bound = stream.len() as u64 / counters as u64;
        let top = sketch.top(counters);
        for counted in &top {
            let seen = truth[&counted.key];
            prop_assert!(counted.at_least <= seen && seen <= counted.at_most);
            prop_assert!(counted.at_most - counted.at_least <= bound);
        }
        for (key, seen) in &truth {
            let found = top.iter().any(|counted| counted.key == *key);
            prop_assert!(found || *seen <= bound, "{key} was seen {seen} times");
        }
        Ok(())
    });
    assert_eq!(result, Ok(()));
}

#[gtest]
fn the_sketch_never_holds_more_than_its_counters() {
    let mut sketch = HotKeys::new(3);
    for key in 0..1_000_u32 {
        sketch.add(&key);
        expect_that!(sketch.len(), le(3));
    }
}
