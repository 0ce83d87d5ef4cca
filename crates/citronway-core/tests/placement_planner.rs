//! The planner: election, writes, lost answers, moves to their end.

mod placement_support;

use citronway_core::placement::planner::{ASSIGNMENT_TABLE, at};
use citronway_core::placement::propose::ProposeError;
use citronway_core::placement::{MemberState, PlannerAction, PlannerEvent, PlannerSettings, check};
use citronway_core::platform::{ConditionalPut, WriteOutcome};
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

/// Another instance passes on an assignment row that it knew before the present
/// one. A planner that took it for new would plan from owners that are void.
#[gtest]
fn a_row_that_is_passed_on_late_changes_nothing() {
    let (mut planner, mut store) = started(&thirty(), PlannerSettings::default());
    let row = store.read(&at(ASSIGNMENT_TABLE, SERVICE)).expect("a row");
    planner.lost(&store, "e03", now(2_000));
    pass(&mut planner, &mut store, 2_000, 500);
    planner.event(PlannerEvent::Row { row }, now(3_000));
    expect_that!(planner.asked, is_empty());
    expect_that!(
        planner.planner.assignment(),
        some(eq(&store.assignment().unwrap()))
    );
}

/// Somebody has edited the stored assignment by hand and left a gap. A planner
/// that went on from it would write the gap again as its own.
#[gtest]
fn nothing_is_built_on_an_assignment_with_a_gap() {
    let mut drained = thirty();
    let (mut planner, mut store) = started(&drained, PlannerSettings::default());
    let at = at(ASSIGNMENT_TABLE, SERVICE);
    let mut broken = store.assignment().expect("assignment");
    broken.shards[9].range.first.0 += 1;
    let edit = ConditionalPut {
        expected: store.read(&at).expect("a row").version,
        value: serde_json::to_string(&broken).expect("JSON"),
        at: at.clone(),
    };
    store.write(&[edit]);
    let row = store.read(&at).expect("a row");
    planner.event(PlannerEvent::Row { row }, now(2_000));
    drained.groups[0].members[3].state = MemberState::Draining;
    planner.want(&drained, now(2_000));
    planner.run(&mut store, now(2_000));
    expect_that!(store.assignment(), some(eq(&broken)));
    expect_that!(
        planner.planner.failure(),
        some(pat!(ProposeError::Cover(_)))
    );
}

/// The store refuses everything for ten seconds. Planners on all instances that
/// tried again at each tick would fill the store's few thousand requests a
/// second as soon as it came back, and keep it down.
#[gtest]
fn an_outage_of_the_store_is_not_met_with_a_storm() {
    let mut planner = Instance::new("i0", 1, PlannerSettings::default());
    planner.want(&thirty(), now(0));
    let mut asked = 0;
    for tick in 0..500 {
        let now = now(tick * 20);
        planner.event(PlannerEvent::Tick, now);
        for action in std::mem::take(&mut planner.asked) {
            asked += 1;
            let event = match action {
                PlannerAction::ReadRow { ticket, .. } => PlannerEvent::ReadFailed { ticket },
                PlannerAction::Write { ticket, .. } => PlannerEvent::WriteDone {
                    ticket,
                    outcome: WriteOutcome::Refused,
                },
                PlannerAction::Publish { .. } => continue,
            };
            planner.event(event, now);
        }
    }
    expect_that!(asked, all![ge(4), le(30)]);
    let mut store = Store::default();
    planner.read_dispatch(&store, now(10_000));
    pass(&mut planner, &mut store, 10_000, 5_000);
    expect_that!(planner.planner.is_elected(), is_true());
}

/// The same, with reads that work. The planner stands for election and creates
/// rows; each refused write must not be followed by the next one at once.
#[gtest]
fn refused_writes_are_not_met_with_a_storm() {
    let (mut planner, store) = started(&thirty(), PlannerSettings::default());
    let mut more = thirty();
    more.groups[0].members.push(member(30));
    planner.want(&more, now(2_000));
    let mut writes = 0;
    for tick in 0..500 {
        let now = now(2_000 + tick * 20);
        planner.event(PlannerEvent::Tick, now);
        while let Some(write) = planner.take_write() {
            writes += 1;
            if writes > 1_000 {
                break;
            }
            planner.written(write.ticket, WriteOutcome::Refused, now);
        }
    }
    expect_that!(writes, all![ge(4), le(30)]);
    expect_that!(store.read(&at("dispatch", "e30")), none());
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
