//! Imbalance, churn and unavailable time of known situations.

mod placement_support;

use citronway_core::ids::{EndpointName, ShardId};
use citronway_core::placement::loads::{BASE_LOAD, Loads};
use citronway_core::placement::measures::{UnavailableTime, churn, imbalance, unavailable};
use citronway_core::placement::{MemberState, PlannerSettings};
use citronway_core::shard::Assignment;
use citronway_core::time::Mono;
use googletest::prelude::*;
use indexmap::IndexSet;
use placement_support::*;

/// Four quarters of the key space, all owned by `e00`.
fn quarters() -> Assignment {
    let base = unowned(&[group(GROUP, None, 4, members(2))]);
    carry_out(&base, &take_all(&base, "e00"))
}

fn moved(assignment: &Assignment, shard: u64) -> Assignment {
    let step = citronway_core::placement::Move {
        shard: ShardId(shard),
        from: owner(assignment, ShardId(shard)),
        to: EndpointName::new("e01"),
        cause: citronway_core::placement::Cause::Balance,
    };
    carry_out(assignment, &[step])
}

#[gtest]
fn one_of_two_with_all_the_load_is_twice_the_mean() {
    let standing = settled(&group(GROUP, None, 4, members(2)));
    let all = imbalance(&quarters(), &standing, &Loads::default());
    expect_that!(all.peak, near(1.0, 1e-9));
    expect_that!(all.variation, near(1.0, 1e-9));
    let half = moved(&moved(&quarters(), 1), 2);
    let none = imbalance(&half, &standing, &Loads::default());
    expect_that!(none.peak, near(0.0, 1e-9));
}

#[gtest]
fn load_counts_and_not_the_number_of_shards() {
    let standing = settled(&group(GROUP, None, 4, members(2)));
    let mut loads = Loads::default();
    loads.set(ShardId(1), 2 * BASE_LOAD);
    let even = imbalance(&moved(&quarters(), 1), &standing, &loads);
    expect_that!(even.peak, near(0.0, 1e-9));
}

#[gtest]
fn a_quarter_that_changes_owner_is_a_quarter_of_churn() {
    let before = quarters();
    expect_that!(churn(&before, &before).keys, near(0.0, 1e-9));
    expect_that!(churn(&before, &moved(&before, 2)).keys, near(0.25, 1e-9));
    let first = unowned(&[group(GROUP, None, 4, members(2))]);
    expect_that!(churn(&first, &before).keys, near(0.0, 1e-9));
}

#[gtest]
fn keys_of_an_endpoint_that_is_down_are_not_served() {
    let assignment = moved(&quarters(), 2);
    let down = IndexSet::from([EndpointName::new("e01")]);
    expect_that!(unavailable(&assignment, &down), near(0.25, 1e-9));
    expect_that!(unavailable(&assignment, &IndexSet::new()), near(0.0, 1e-9));
    let nobody = unowned(&[group(GROUP, None, 4, members(2))]);
    expect_that!(unavailable(&nobody, &IndexSet::new()), near(1.0, 1e-9));
}

#[gtest]
fn unavailable_time_is_share_times_duration() {
    let mut time = UnavailableTime::default();
    time.note(0.5, Mono(1_000));
    time.note(0.25, Mono(2_000));
    time.note(0.0, Mono(4_000));
    expect_that!(time.mean_ms(), near(1_000.0, 1e-9));
}

/// A zone of ten endpoints is drained; each shard's work in flight takes 300 ms
/// to end. More shards in motion at once means less time in total, fewer means
/// that fewer keys wait at any moment.
#[gtest]
fn a_drained_zone_costs_each_key_its_own_move_only() {
    let mut wanted = wanted(1, vec![group(GROUP, None, 256, members(30))]);
    let (mut planner, mut store) = started(&wanted, PlannerSettings::default());
    for index in (0..30).step_by(3) {
        wanted.groups[0].members[index].state = MemberState::Draining;
    }
    planner.want(&wanted, now(2_000));
    let mut time = UnavailableTime::default();
    let mut most = 0.0_f64;
    for tick in 20..100 {
        let now = now(tick * 100);
        planner.run(&mut store, now);
        if tick % 3 == 0 {
            planner.release_all(&store, now);
            planner.run(&mut store, now);
        }
        let share = unavailable(&store.assignment().unwrap(), &IndexSet::new());
        time.note(share, now.mono);
        most = most.max(share);
    }
    let drained = store.assignment().expect("assignment");
    expect_that!(moving(&drained), is_empty());
    expect_that!(owned_by(&drained, "e00"), is_empty());
    expect_that!(most, le(16.0 / 256.0));
    // A third of the keys, 300 ms each.
    expect_that!(time.mean_ms(), lt(110.0));
}
