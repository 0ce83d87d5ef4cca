//! The planner: election, writes, lost answers, moves to their end.

mod placement_support;

use citronway_core::placement::planner::{ASSIGNMENT_TABLE, at};
use citronway_core::placement::{MemberState, PlannerEvent, PlannerSettings, check};
use citronway_core::platform::WriteOutcome;
use googletest::prelude::*;
use placement_support::*;

fn thirty() -> citronway_core::placement::Wanted {
    wanted(1, vec![group(GROUP, None, 256, members(30))])
}

#[gtest]
fn a_new_service_gets_owners_and_dispatchers() {
    let (_, store) = started(&thirty(), PlannerSettings::default());
    let assignment = store.assignment().expect("assignment");
    expect_that!(check(&assignment), ok(eq(&())));
    for index in 0..30 {
        let name = format!("e{index:02}");
        expect_that!(owned_by(&assignment, &name).len(), all![ge(8), le(9)]);
        let row = dispatch_row(&store, &name).expect("dispatch row");
        expect_that!(row.successors.len(), eq(2));
    }
}

/// A planner's write takes effect but its answer is lost. A planner that took
/// this for a failure would go on from the assignment before and write owners
/// that are already void; callers would see two answers for one key.
#[gtest]
fn an_answer_lost_is_resolved_by_reading() {
    let (mut planner, mut store) = started(&thirty(), PlannerSettings::default());
    planner.lost(&store, "e03", now(2_000));
    let write = planner.take_write().expect("moves away from e03");
    store.write(&write.puts);
    planner.published.clear();
    planner.written(write.ticket, WriteOutcome::Unknown, now(2_100));
    expect_that!(planner.take_write().is_none(), is_true());
    expect_that!(planner.published, is_empty());
    planner.run(&mut store, now(2_200));
    expect_that!(
        planner.planner.assignment(),
        some(eq(&store.assignment().unwrap()))
    );
}

/// The first planner is paused, a second one is elected and moves shards. The
/// first wakes up and writes what it had in mind. If that stood, keys would go
/// back to owners that have been revoked.
#[gtest]
fn a_deposed_planner_cannot_write() {
    let (mut first, mut store) = started(&thirty(), PlannerSettings::default());
    first.lost(&store, "e03", now(2_000));
    let late = first.take_write().expect("moves away from e03");
    let mut second = Instance::new("i1", 1, PlannerSettings::default());
    second.want(&thirty(), now(2_000));
    second.read_dispatch(&store, now(2_000));
    for ms in 0..40 {
        second.run(&mut store, now(2_000 + ms * 100));
    }
    let by_second = store.planner().expect("planner row");
    expect_that!(by_second.session, eq(&second.session));
    let outcome = store.write(&late.puts);
    expect_that!(outcome, pat!(WriteOutcome::Conflict { .. }));
    first.written(late.ticket, outcome, now(6_000));
    first.run(&mut store, now(6_000));
    expect_that!(first.planner.is_elected(), is_false());
    expect_that!(store.planner(), some(eq(&by_second)));
}

/// An endpoint drains. Its shards are announced as moving, released by its
/// dispatcher, and only then owned by others with the next epoch.
#[gtest]
fn a_draining_endpoint_keeps_its_shards_until_released() {
    let mut drained = thirty();
    let (mut planner, mut store) = started(&drained, PlannerSettings::default());
    let before = store.assignment().expect("assignment");
    let shards = owned_by(&before, "e03");
    drained.groups[0].members[3].state = MemberState::Draining;
    planner.want(&drained, now(2_000));
    planner.run(&mut store, now(2_000));
    expect_that!(moving(&store.assignment().unwrap()), eq(&shards));
    planner.run(&mut store, now(9_000));
    expect_that!(moving(&store.assignment().unwrap()), eq(&shards));
    planner.release_all(&store, now(9_100));
    planner.run(&mut store, now(9_100));
    let after = store.assignment().expect("assignment");
    expect_that!(moving(&after), is_empty());
    for shard in shards {
        expect_that!(
            after.shards[&shard].epoch,
            eq(before.shards[&shard].epoch.next())
        );
        expect_that!(after.shards[&shard].floor.0, eq(9_600));
    }
}

#[gtest]
fn nothing_is_written_when_nothing_changes() {
    let (mut planner, mut store) = started(&thirty(), PlannerSettings::default());
    let version = store.read(&at(ASSIGNMENT_TABLE, SERVICE)).unwrap().version;
    for ms in 10..100 {
        planner.run(&mut store, now(ms * 100));
    }
    let later = store.read(&at(ASSIGNMENT_TABLE, SERVICE)).unwrap().version;
    expect_that!(later, eq(version));
    planner.event(PlannerEvent::Tick, now(10_001));
    expect_that!(planner.asked, is_empty());
}
