//! Keys that go to other groups, groups and labels that come and go.

mod placement_support;

use citronway_core::ids::GroupName;
use citronway_core::placement::partition::affected;
use citronway_core::placement::{PlannerEvent, PlannerSettings, Wanted, check};
use googletest::prelude::*;
use placement_support::*;

fn one_group() -> Wanted {
    wanted(1, vec![group("all", None, 8, members(4))])
}

fn two_groups() -> Wanted {
    let all = members(6);
    let banks = group("banks", Some("bank-"), 8, all[4..].to_vec());
    let others = group("all", None, 8, all[..4].to_vec());
    wanted(2, vec![banks, others])
}

#[gtest]
fn groups_before_the_first_difference_are_left_alone() {
    let all = members(6);
    let first = group("first", Some("f"), 8, all[..2].to_vec());
    let second = group("second", Some("s"), 8, all[2..4].to_vec());
    let third = group("third", None, 8, all[4..].to_vec());
    let assignment = unowned(&[first.clone(), second.clone(), third.clone()]);
    let mut other = second.clone();
    other.keys = Some("t".to_owned());
    let changed = affected(&assignment, &[first.clone(), other, third.clone()]);
    let names: Vec<&str> = changed.iter().map(GroupName::as_str).collect();
    expect_that!(names, unordered_elements_are![eq(&"second"), eq(&"third")]);
    expect_that!(affected(&assignment, &[first, second, third]), is_empty());
}

/// An operator gives the banks' keys a group of their own. If the new group
/// began to serve before the old owners had let go, a bank's migration could be
/// applied by two endpoints.
#[gtest]
fn a_new_group_serves_only_after_all_have_released() {
    let (mut planner, mut store) = started(&one_group(), PlannerSettings::default());
    planner.want(&two_groups(), now(2_000));
    planner.read_dispatch(&store, now(2_000));
    planner.run(&mut store, now(2_000));
    let changing = store.assignment().expect("assignment");
    expect_that!(changing.partition.len(), eq(1));
    expect_that!(moving(&changing).len(), eq(8));
    for shard in moving(&changing).into_iter().skip(1) {
        let from = moving_from(&changing, shard).expect("it moves");
        let report = release_of(&changing, shard, &from, &dispatcher(&store, &from));
        planner.event(PlannerEvent::Released { report }, now(2_100));
    }
    planner.run(&mut store, now(2_500));
    let waiting = store.assignment().expect("assignment");
    expect_that!(waiting.partition.len(), eq(1));
    planner.release_all(&store, now(2_600));
    planner.run(&mut store, now(2_600));
    let after = store.assignment().expect("assignment");
    expect_that!(after.partition.len(), eq(2));
    expect_that!(check(&after), ok(eq(&())));
    for shard in after.shards.values() {
        expect_that!(owner(&after, shard.id), some(anything()));
        expect_that!(shard.floor.0, eq(3_100));
    }
    for id in changing.shards.keys() {
        expect_that!(owner(&after, *id), eq(&moving_to(&changing, *id)));
        expect_that!(after.shards[id].epoch, gt(changing.shards[id].epoch));
    }
}

/// The operator takes the change back while its shards are being released.
/// Nothing may stay behind without owner.
#[gtest]
fn a_change_taken_back_half_way_leaves_all_keys_owned() {
    let (mut planner, mut store) = started(&one_group(), PlannerSettings::default());
    planner.want(&two_groups(), now(2_000));
    planner.read_dispatch(&store, now(2_000));
    planner.run(&mut store, now(2_000));
    let mut back = one_group();
    back.config.0 = 3;
    planner.want(&back, now(2_100));
    pass(&mut planner, &mut store, 2_100, 1_000);
    let after = store.assignment().expect("assignment");
    expect_that!(after.partition.len(), eq(1));
    for id in after.shards.keys() {
        expect_that!(owner(&after, *id), some(anything()));
    }
}

/// Operators change a selector; all instances but one have it. The one that is
/// behind is elected and would turn the partition back to what it knows.
#[gtest]
fn a_planner_that_is_behind_does_not_turn_the_partition_back() {
    let (mut planner, mut store) = started(&one_group(), PlannerSettings::default());
    planner.want(&two_groups(), now(2_000));
    planner.read_dispatch(&store, now(2_000));
    pass(&mut planner, &mut store, 2_000, 500);
    let changed = store.assignment().expect("assignment");
    expect_that!(changed.partition.len(), eq(2));
    let mut behind = Instance::new("i1", 1, PlannerSettings::default());
    behind.want(&one_group(), now(3_000));
    behind.read_dispatch(&store, now(3_000));
    pass(&mut behind, &mut store, 3_000, 10_000);
    expect_that!(store.assignment(), some(eq(&changed)));
    behind.want(&two_groups(), now(14_000));
    pass(&mut behind, &mut store, 14_000, 1_000);
    expect_that!(behind.planner.is_elected(), is_true());
}

#[gtest]
fn an_older_configuration_that_arrives_late_is_ignored() {
    let (mut planner, mut store) = started(&two_groups(), PlannerSettings::default());
    let before = store.assignment();
    planner.want(&one_group(), now(2_000));
    pass(&mut planner, &mut store, 2_000, 1_000);
    expect_that!(store.assignment(), eq(&before));
}

#[gtest]
fn an_endpoint_that_loses_its_label_gives_its_shards_up() {
    let (mut planner, mut store) = started(&one_group(), PlannerSettings::default());
    let mut fewer = wanted(2, vec![group("all", None, 8, members(3))]);
    fewer.weights = MIGRAKON;
    planner.want(&fewer, now(2_000));
    pass(&mut planner, &mut store, 2_000, 1_000);
    let after = store.assignment().expect("assignment");
    expect_that!(owned_by(&after, "e03"), is_empty());
    expect_that!(
        after
            .shards
            .keys()
            .filter(|id| owner(&after, **id).is_none())
            .count(),
        eq(0)
    );
}

#[gtest]
fn another_number_of_ranges_is_cut_anew() {
    let (mut planner, mut store) = started(&one_group(), PlannerSettings::default());
    let finer = wanted(2, vec![group("all", None, 32, members(4))]);
    planner.want(&finer, now(2_000));
    pass(&mut planner, &mut store, 2_000, 1_000);
    let after = store.assignment().expect("assignment");
    expect_that!(check(&after), ok(eq(&())));
    expect_that!(after.shards.len(), eq(32));
    expect_that!(after.shards.keys().filter(|id| id.0 <= 8).count(), eq(0));
}
