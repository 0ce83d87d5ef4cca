//! Distinction between an outage of the store and the isolation of one instance.

use citronway_core::gateway::outage::Outage;
use citronway_core::gateway::report::Versions;
use citronway_core::gateway::version::RowVersion;
use citronway_core::time::Mono;
use googletest::prelude::*;

const fn seen(own: u64) -> Versions {
    Versions {
        config: RowVersion::first(3),
        endpoints: RowVersion::first(50),
        own: RowVersion::first(own),
    }
}

/// Guards against dropped entries in an outage of the store: others still report rows from just
/// before the outage for a while. If these proved that the store answers, entries that expire
/// during the outage would be dropped.
#[gtest]
fn rows_from_just_before_an_outage_do_not_prove_that_the_store_answers() {
    let mut outage = Outage::default();
    outage.observe(Mono(1_000), false, seen(10));
    outage.observe(Mono(1_100), true, seen(10));
    outage.observe(Mono(1_700), true, seen(12));
    outage.observe(Mono(9_000), true, seen(12));
    expect_that!(outage.is_local(), eq(false));
}

/// Guards against requests to endpoints that stopped while this instance was cut off for ten
/// seconds: after its return it has to know that missing entries were removed.
#[gtest]
fn newer_rows_at_others_show_that_only_this_instance_is_cut_off() {
    let mut outage = Outage::default();
    outage.observe(Mono(1_000), false, seen(10));
    outage.observe(Mono(1_100), true, seen(10));
    outage.observe(Mono(5_000), true, seen(14));
    expect_that!(outage.is_local(), eq(true));
    outage.observe(Mono(11_000), false, seen(20));
    expect_that!(outage.is_local(), eq(false));
}
