//! An outage of the store told from a cut of one instance.

use citronway_core::gateway::outage::Outage;
use citronway_core::gateway::report::Versions;
use citronway_core::time::Mono;
use googletest::prelude::*;

const fn seen(own: u64) -> Versions {
    Versions {
        config: 3,
        endpoints: 50,
        own,
    }
}

/// The store falls silent for all. Rows of its last moment are still told for a while;
/// taken for a sign of life, they would have the entries dropped that lapse meanwhile.
#[gtest]
fn rows_of_the_last_moment_are_no_sign_of_life() {
    let mut outage = Outage::default();
    outage.observe(Mono(1_000), false, seen(10));
    outage.observe(Mono(1_100), true, seen(10));
    outage.observe(Mono(1_700), true, seen(12));
    outage.observe(Mono(9_000), true, seen(12));
    expect_that!(outage.is_local(), eq(false));
}

/// One instance is cut off for ten seconds while endpoints leave. It has to know on its
/// return that missing entries are gone.
#[gtest]
fn rows_that_others_go_on_seeing_show_a_cut_of_this_instance() {
    let mut outage = Outage::default();
    outage.observe(Mono(1_000), false, seen(10));
    outage.observe(Mono(1_100), true, seen(10));
    outage.observe(Mono(5_000), true, seen(14));
    expect_that!(outage.is_local(), eq(true));
    outage.observe(Mono(11_000), false, seen(20));
    expect_that!(outage.is_local(), eq(false));
}
