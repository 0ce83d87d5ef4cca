//! Steps of a move and of a hot key, one at a time.

mod placement_support;

use citronway_core::ids::{EndpointName, Epoch, GroupName, ServiceName, ShardId};
use citronway_core::placement::hot::{self, HotError};
use citronway_core::placement::moves::{self, MoveError};
use citronway_core::placement::{Cause, Move, Plan, check};
use citronway_core::shard::{Assignment, KeyHash, Ownership};
use citronway_core::time::Wall;
use googletest::prelude::*;
use placement_support::*;

const FIRST: ShardId = ShardId(1);
const FLOOR: Wall = Wall(5_000);

fn owned() -> Assignment {
    let base = unowned(&[group(GROUP, None, 2, members(3))]);
    carry_out(&base, &take_all(&base, "e00"))
}

fn step(from: &str, to: &str) -> Move {
    Move {
        shard: FIRST,
        from: Some(EndpointName::new(from)),
        to: EndpointName::new(to),
        cause: Cause::Balance,
    }
}

fn release(assignment: &Assignment, from: &str) -> citronway_core::peer::ShardReleased {
    let dispatcher = citronway_core::ids::Session::new("i0", 1);
    release_of(assignment, FIRST, &EndpointName::new(from), &dispatcher)
}

#[gtest]
fn a_move_goes_through_moving_and_raises_epoch_and_floor() {
    let before = owned();
    let moving = moves::begin(&before, &step("e00", "e01")).expect("begins");
    expect_that!(moving.shards[&FIRST].epoch, eq(before.shards[&FIRST].epoch));
    expect_that!(owner(&moving, FIRST), none());
    let after = moves::released(&moving, &release(&moving, "e00"), FLOOR).expect("ends");
    expect_that!(owner(&after, FIRST), some(eq(&EndpointName::new("e01"))));
    expect_that!(
        after.shards[&FIRST].epoch,
        eq(before.shards[&FIRST].epoch.next())
    );
    expect_that!(after.shards[&FIRST].floor, eq(FLOOR));
}

/// A shard moves A to B and back to A, and on to C. The report of the first
/// release arrives now. If it ended the present move, C would serve while A
/// still does, and an apply could run on both.
#[gtest]
fn a_report_of_an_earlier_move_ends_nothing() {
    let first = moves::begin(&owned(), &step("e00", "e01")).expect("begins");
    let old = release(&first, "e00");
    let at_b = moves::released(&first, &old, FLOOR).expect("ends");
    let back = moves::begin(&at_b, &step("e01", "e00")).expect("begins");
    let at_a = moves::released(&back, &release(&back, "e01"), FLOOR).expect("ends");
    let on = moves::begin(&at_a, &step("e00", "e02")).expect("begins");
    expect_that!(
        moves::released(&on, &old, FLOOR),
        err(pat!(MoveError::WrongEpoch { .. }))
    );
}

#[gtest]
fn only_the_old_owner_releases() {
    let moving = moves::begin(&owned(), &step("e00", "e01")).expect("begins");
    let report = release(&moving, "e01");
    expect_that!(
        moves::released(&moving, &report, FLOOR),
        err(pat!(MoveError::WrongState { .. }))
    );
    let mut report = release(&moving, "e00");
    report.service = ServiceName::new("console");
    expect_that!(
        moves::released(&moving, &report, FLOOR),
        err(pat!(MoveError::WrongService { .. }))
    );
}

#[gtest]
fn a_shard_that_does_not_move_is_not_released() {
    let assignment = owned();
    let report = release(&assignment, "e00");
    expect_that!(
        moves::released(&assignment, &report, FLOOR),
        err(pat!(MoveError::WrongState { .. }))
    );
}

/// The endpoint that a shard moves to is lost before the old owner has let go.
/// The old owner's release, under way already, must still count.
#[gtest]
fn a_redirected_move_keeps_its_release() {
    let moving = moves::begin(&owned(), &step("e00", "e01")).expect("begins");
    let report = release(&moving, "e00");
    let other = moves::begin(&moving, &step("e00", "e02")).expect("redirects");
    let after = moves::released(&other, &report, FLOOR).expect("ends");
    expect_that!(owner(&after, FIRST), some(eq(&EndpointName::new("e02"))));
}

#[gtest]
fn a_plan_that_does_not_fit_changes_nothing() {
    let before = owned();
    let plan = Plan {
        moves: vec![step("e00", "e01"), step("e02", "e01")],
        ..Plan::default()
    };
    expect_that!(
        moves::apply(&before, &plan),
        err(pat!(MoveError::WrongState { .. }))
    );
}

#[gtest]
fn a_floor_never_goes_back() {
    let moving = moves::begin(&owned(), &step("e00", "e01")).expect("begins");
    let high = moves::released(&moving, &release(&moving, "e00"), FLOOR).expect("ends");
    let back = moves::begin(&high, &step("e01", "e00")).expect("begins");
    let low = moves::released(&back, &release(&back, "e01"), Wall(1)).expect("ends");
    expect_that!(low.shards[&FIRST].floor, eq(FLOOR));
}

/// A hot key is split off, moves to another endpoint, runs a booking there and
/// cools. It is folded back into its range, whose floor is older. A retry of
/// the booking would find nothing known and run a second time.
#[gtest]
fn a_folded_key_brings_its_floor_along() {
    let group = GroupName::new(GROUP);
    let hash = KeyHash(42);
    let split = hot::split(&owned(), &group, hash).expect("splits");
    expect_that!(check(&split), ok(eq(&())));
    let own = split.hot[0].shard;
    let there = carry_out(
        &split,
        &[Move {
            shard: own,
            ..step("e00", "e01")
        }],
    );
    expect_that!(
        hot::fold(&there, own),
        err(eq(&HotError::OwnersDiffer { shard: own }))
    );
    let mut back = carry_out(
        &there,
        &[Move {
            shard: own,
            ..step("e01", "e00")
        }],
    );
    back.shards[&own].floor = FLOOR;
    let folded = hot::fold(&back, own).expect("folds");
    expect_that!(check(&folded), ok(eq(&())));
    expect_that!(folded.hot, is_empty());
    expect_that!(folded.shards[&FIRST].floor, eq(FLOOR));
    expect_that!(folded.next_shard, gt(own));
}

#[gtest]
fn a_key_is_split_off_once_and_only_from_a_range_at_rest() {
    let group = GroupName::new(GROUP);
    let hash = KeyHash(42);
    let split = hot::split(&owned(), &group, hash).expect("splits");
    expect_that!(
        hot::split(&split, &group, hash),
        err(eq(&HotError::AlreadySplit { hash }))
    );
    let moving = moves::begin(&owned(), &step("e00", "e01")).expect("begins");
    expect_that!(
        hot::split(&moving, &group, hash),
        err(eq(&HotError::NoRange { hash }))
    );
    expect_that!(
        hot::fold(&split, FIRST),
        err(eq(&HotError::NotHot { shard: FIRST }))
    );
}

#[gtest]
fn a_release_without_next_owner_leaves_the_shard_unowned() {
    let moving = moves::begin(&owned(), &step("e00", "e00")).expect("begins");
    let after = moves::released(&moving, &release(&moving, "e00"), FLOOR).expect("ends");
    expect_that!(after.shards[&FIRST].ownership, eq(&Ownership::Unowned));
    expect_that!(after.shards[&FIRST].epoch, gt(Epoch(0)));
}
