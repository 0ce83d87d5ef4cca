//! Confirmations of the configuration: when it is fetched, and what may be answered by it.

use citronway_core::gateway::freshness::{ConfigFreshness, Confirmation};
use citronway_core::gateway::version::RowVersion;
use citronway_core::time::Mono;
use googletest::prelude::*;

/// Time until a configuration must be in force, in milliseconds.
const APPLY_MS: u64 = 2_000;

/// Version of the row that the instance has.
const NEWEST: RowVersion = RowVersion::first(7);

/// When the instance had its rows confirmed by the store.
const START: Mono = Mono(10_000);

fn confirmed() -> ConfigFreshness {
    let mut freshness = ConfigFreshness::new(APPLY_MS);
    freshness.advance(NEWEST, NEWEST);
    freshness.confirm_by_store(START, START);
    freshness
}

const fn heard(version: RowVersion, age_ms: u32) -> Confirmation {
    Confirmation { version, age_ms }
}

fn may_reject(freshness: &ConfigFreshness, now: Mono) -> bool {
    now <= freshness.trust().reject_until
}

fn may_serve(freshness: &ConfigFreshness, now: Mono) -> bool {
    now <= freshness.trust().serve_until
}

/// Guards against an instance that answers by what nobody has confirmed for long.
#[gtest]
fn an_old_confirmation_is_renewed_before_the_configuration_is_no_longer_relied_on() {
    let mut freshness = confirmed();
    expect_that!(freshness.begin_attempt(START.plus(900), 0), eq(false));
    expect_that!(freshness.begin_attempt(START.plus(1_000), 0), eq(true));
    expect_that!(may_reject(&freshness, START.plus(1_600)), eq(true));
    expect_that!(may_reject(&freshness, START.plus(1_601)), eq(false));
    expect_that!(may_serve(&freshness, START.plus(1_601)), eq(true));
    freshness.confirm_by_store(START.plus(1_700), START.plus(1_650));
    expect_that!(may_reject(&freshness, START.plus(1_700)), eq(true));
    expect_that!(freshness.is_fetching(), eq(false));
}

/// Guards against an instance that knows no configuration and rejects requests by it.
#[gtest]
fn nothing_is_rejected_before_the_first_confirmation() {
    let mut freshness = ConfigFreshness::new(APPLY_MS);
    expect_that!(freshness.begin_attempt(START, 0), eq(false));
    freshness.advance(NEWEST, NEWEST);
    expect_that!(may_reject(&freshness, START), eq(false));
    expect_that!(freshness.begin_attempt(START, 0), eq(true));
    freshness.hear(START, heard(NEWEST, 100), 0);
    expect_that!(may_reject(&freshness, START), eq(true));
}

/// Guards against an outage of the store in which callers are turned away who are served today.
#[gtest]
fn service_goes_on_where_nobody_can_confirm() {
    let mut freshness = confirmed();
    let mut now = START.plus(1_000);
    while now < START.plus(2_100) {
        freshness.begin_attempt(now, 0);
        now = now.plus(100);
    }
    expect_that!(may_reject(&freshness, START.plus(9_000)), eq(true));
    expect_that!(may_serve(&freshness, START.plus(9_000)), eq(true));
    // The store answers another instance, which has a newer version.
    freshness.observe_claim(START.plus(9_000), NEWEST.next());
    expect_that!(may_reject(&freshness, START.plus(9_000)), eq(false));
}

/// Guards against an instance that serves on while it knows that it lacks a newer version.
#[gtest]
fn a_known_newer_version_ends_trust_until_it_is_taken() {
    let mut freshness = confirmed();
    freshness.hear(START.plus(300), heard(NEWEST.next(), 0), 0);
    let now = START.plus(300);
    expect_that!(freshness.begin_attempt(now, 500), eq(true));
    expect_that!(may_reject(&freshness, now), eq(false));
    expect_that!(may_serve(&freshness, now), eq(true));
    expect_that!(may_serve(&freshness, START.plus(1_601)), eq(false));
    freshness.advance(NEWEST.next(), NEWEST.next());
    expect_that!(may_serve(&freshness, START.plus(1_601)), eq(true));
}

/// Guards against a confirmation of an older version that renews trust in a newer or older one.
#[gtest]
fn a_confirmation_counts_by_its_version_and_age() {
    let mut freshness = confirmed();
    let now = START.plus(2_000);
    freshness.hear(now, heard(NEWEST, 300), 200);
    expect_that!(freshness.trust().confirmed_at, some(eq(START.plus(1_500))));
    // An older confirmation does not take time back.
    freshness.hear(now, heard(NEWEST, 900), 0);
    expect_that!(freshness.trust().confirmed_at, some(eq(START.plus(1_500))));
    freshness.hear(now, heard(RowVersion::first(NEWEST.number - 1), 100), 0);
    expect_that!(freshness.trust().confirmed_at, some(eq(START.plus(1_900))));
    freshness.hear(now, heard(NEWEST.next(), 0), 0);
    expect_that!(freshness.trust().confirmed_at, some(eq(START.plus(1_900))));
    expect_that!(freshness.missing(), some(eq(NEWEST.next())));
}

/// Guards against a datagram with a version that does not exist, by which nobody is served.
#[gtest]
fn a_claim_that_the_store_refutes_changes_nothing() {
    let mut freshness = confirmed();
    let now = START.plus(100);
    freshness.observe_claim(now, RowVersion::first(u64::MAX));
    expect_that!(may_reject(&freshness, now), eq(false));
    freshness.confirm_by_store(now.plus(50), now.plus(40));
    freshness.observe_claim(now.plus(60), RowVersion::first(u64::MAX));
    expect_that!(may_reject(&freshness, now.plus(60)), eq(true));
    // A later claim of another version still counts.
    freshness.observe_claim(now.plus(70), NEWEST.next());
    expect_that!(may_reject(&freshness, now.plus(70)), eq(false));
}

/// Guards against a change that is taken for refuted by an answer from before it was made.
#[gtest]
fn an_answer_refutes_only_versions_that_were_heard_of_before_it() {
    let mut freshness = confirmed();
    freshness.observe_claim(START.plus(100), NEWEST.next());
    freshness.observe_claim(START.plus(150), NEWEST.next().next());
    freshness.confirm_by_store(START.plus(160), START.plus(120));
    expect_that!(freshness.missing(), some(eq(NEWEST.next().next())));
}

/// Guards against a store that hundreds of instances ask again and again while it is away.
#[gtest]
fn attempts_become_rare_while_nobody_can_confirm() {
    let mut freshness = confirmed();
    let attempts = (0..100)
        .map(|n| START.plus(1_000 + n * 100))
        .filter(|now| freshness.begin_attempt(*now, 0));
    expect_that!(attempts.count(), le(5));
}

/// Guards against rows of other tables that move the position past a claimed version.
#[gtest]
fn a_version_below_the_position_is_not_missing() {
    let mut freshness = confirmed();
    freshness.advance(NEWEST, RowVersion::first(NEWEST.number + 20));
    freshness.observe_claim(START, RowVersion::first(NEWEST.number + 10));
    expect_that!(freshness.missing(), none());
    // The confirmation names the row, which others have too.
    let confirmation = freshness.confirmation(START.plus(50));
    expect_that!(confirmation, some(eq(heard(NEWEST, 50))));
}
