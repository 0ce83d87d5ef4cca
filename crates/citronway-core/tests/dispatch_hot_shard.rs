//! A hot key that gets a shard of its own while it has queued or running requests.

mod dispatch_support;

use citronway_core::dispatch::OwnedShard;
use citronway_core::request::Request;
use citronway_core::shard::{HashRange, KeyHash};
use dispatch_support::{HEALTHY, Harness, booking, shard};
use googletest::prelude::*;

fn hot_shard(req: &Request, moving: bool) -> OwnedShard {
    let hash = KeyHash::of(&req.key);
    let range = HashRange {
        first: hash,
        last: hash,
    };
    OwnedShard {
        range,
        ..shard(2, 1, moving)
    }
}

/// Failure guarded against: a hot key gets its own shard, which moves to another
/// endpoint at once, while a booking for the key is still running under the
/// surrounding shard. Matched by shard number the hot shard had no orders: it was
/// released, and two endpoints worked on the key.
#[gtest]
fn hot_shard_waits_for_work_of_its_key_under_the_old_shard() {
    let mut harness = Harness::checking(2);
    harness.submit(1, booking(1, 0));
    let order = harness.last_order();
    harness.set_shards(&[shard(1, 1, false), hot_shard(&booking(1, 0), true)]);
    harness.confirm_control(&HEALTHY);
    harness.advance(600);
    expect_that!(harness.released(), eq(false));
    harness.answered(order, "booked");
    harness.advance(1_200);
    expect_that!(harness.released(), eq(true));
}

/// Failure guarded against: a booking for a hot key is queued under the
/// surrounding shard and is sent there after the hot shard has moved to another
/// endpoint. It must be answered as not run, so that the instance that accepted
/// it looks up the key's present owner.
#[gtest]
fn waiting_work_of_a_hot_key_goes_back_to_its_entry() {
    let mut harness = Harness::checking(1);
    harness.submit(1, booking(2, 0));
    harness.submit(2, booking(1, 0));
    harness.set_shards(&[shard(1, 1, false), hot_shard(&booking(1, 0), false)]);
    expect_that!(harness.reply_text(2), eq("not run: Moving"));
    expect_that!(harness.reply_text(1), eq("-"));
}
