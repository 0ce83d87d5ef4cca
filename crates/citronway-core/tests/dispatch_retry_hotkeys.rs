//! Retry budget, and the sketch that finds hot keys.

use citronway_core::hotkeys::HotKeys;
use citronway_core::outcome::{MayHaveRun, MayHaveRunReason, NotRun, NotRunReason, Outcome};
use citronway_core::request::Repeat;
use citronway_core::retry::{RetryBudget, RetrySettings, backoff_ms, may_retry};
use googletest::prelude::*;

#[gtest]
fn only_idempotent_or_unrun_work_is_retried() {
    let lost = Outcome::MayHaveRun(MayHaveRun {
        reason: MayHaveRunReason::ConnectionLost,
        retry_after_ms: 0,
    });
    let moving = Outcome::NotRun(NotRun::new(NotRunReason::Moving, 0));
    let full = Outcome::NotRun(NotRun::new(NotRunReason::QueueFull, 0));
    expect_that!(may_retry(Repeat::Idempotent, &lost), is_true());
    expect_that!(may_retry(Repeat::NonIdempotent, &lost), is_false());
    expect_that!(may_retry(Repeat::NonIdempotent, &moving), is_true());
    expect_that!(may_retry(Repeat::Idempotent, &full), is_false());
}

/// Failure guarded against: every request to an endpoint fails and is retried,
/// which doubles the load of an endpoint that is already failing. The budget
/// limits retries to a tenth of the first tries.
#[gtest]
fn budget_bounds_retries_to_a_share_of_first_tries() {
    let mut budget = RetryBudget::new(RetrySettings::default());
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.first_try();
        retries += u32::from(budget.take());
    }
    expect_that!(retries, eq(109));
}

#[gtest]
fn backoff_doubles_within_its_bounds() {
    let cfg = RetrySettings::default();
    let longest: Vec<_> = (0..9).map(|retry| backoff_ms(&cfg, retry, 500)).collect();
    expect_that!(backoff_ms(&cfg, 0, 0), eq(5));
    expect_that!(backoff_ms(&cfg, 0, 5), eq(10));
    expect_that!(backoff_ms(&cfg, 60, 500), eq(1_000));
    expect_that!(longest, each(le(&1_000)));
}

#[gtest]
fn hot_keys_are_found_among_many() {
    let mut sketch = HotKeys::new(8);
    for n in 0..1_000_u32 {
        sketch.add(&(n + 10));
        if n % 3 == 0 {
            sketch.add(&1);
        }
        if n % 5 == 0 {
            sketch.add(&2);
        }
    }
    let top = sketch.top(2);
    expect_that!(sketch.len(), eq(8));
    expect_that!(top[0].key, eq(1));
    expect_that!(top[0].at_least, le(334));
    expect_that!(top[0].at_most, ge(334));
    expect_that!(top[1].key, eq(2));
}

#[gtest]
fn decay_lowers_old_counts() {
    let mut sketch = HotKeys::new(4);
    for _ in 0..100 {
        sketch.add(&"old");
    }
    sketch.decay();
    sketch.decay();
    for _ in 0..40 {
        sketch.add(&"new");
    }
    expect_that!(sketch.top(1)[0].key, eq("new"));
}
