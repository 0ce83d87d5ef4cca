//! Leases of shards: grants, revocations and lost endpoints. A key never has two
//! owners.

mod dispatch_support;

use citronway_core::dispatch::{DispatchAction, DispatchEvent, OwnedShard, ShardRef};
use citronway_core::node::events::{OrderReply, ProbeReport};
use citronway_core::request::Request;
use citronway_core::shard::KeyHash;
use dispatch_support::{DRAINING, HEALTHY, Rig, booking, builder, id, lookup, shard, wall};
use googletest::prelude::*;
use indexmap::IndexSet;

fn revoked(rig: &Rig) -> bool {
    rig.did(|action| matches!(action, DispatchAction::Revoke { .. }))
}

fn sent_to_endpoint(action: &DispatchAction) -> bool {
    matches!(
        action,
        DispatchAction::SendOrder { .. }
            | DispatchAction::Grant { .. }
            | DispatchAction::Revoke { .. }
            | DispatchAction::Cancel { .. }
    )
}

#[gtest]
fn order_waits_for_the_confirmed_grant() {
    let mut rig = Rig::ungranted(builder(2, true));
    rig.set_shards(&[shard(1, 1, false)]);
    rig.submit(1, booking(1, 0));
    expect_that!(rig.orders(), is_empty());
    rig.confirm_control(&HEALTHY);
    expect_that!(rig.orders(), len(eq(1)));
}

#[gtest]
fn grant_ends_at_a_time_fixed_by_the_sender() {
    let mut rig = Rig::checking(2);
    rig.until(300);
    let ends: Vec<_> = rig
        .seen
        .iter()
        .filter_map(|action| match action {
            DispatchAction::Grant { grant, .. } => Some(grant.end),
            _ => None,
        })
        .collect();
    expect_that!(ends, eq(&vec![wall(1_000), wall(1_300)]));
}

#[gtest]
fn no_order_is_sent_once_the_confirmed_end_has_come() {
    let mut rig = Rig::checking(2);
    rig.silent_until(1_000);
    rig.submit(1, booking(1, 0));
    expect_that!(rig.orders(), is_empty());
}

/// Failure guarded against: a shard moves while an order for it runs, and the
/// order is cut off half done. The shard is renewed until the answer, then
/// revoked, and released only when the endpoint has confirmed the revocation.
#[gtest]
fn move_waits_for_work_in_flight() {
    let mut rig = Rig::checking(2);
    rig.submit(1, booking(1, 0));
    rig.submit(2, lookup(2, "batch", 9_000));
    rig.set_shards(&[shard(1, 1, true)]);
    rig.submit(3, booking(3, 0));
    expect_that!(rig.told(3), eq("not run: Moving"));
    rig.until(2_000);
    expect_that!(revoked(&rig), is_false());
    rig.answered(rig.orders()[1].ticket, "found");
    rig.answered(rig.orders()[0].ticket, "booked");
    expect_that!(revoked(&rig), is_true());
    expect_that!(rig.released(), is_false());
    rig.confirm_control(&HEALTHY);
    expect_that!(rig.released(), is_true());
}

/// Failure guarded against: a renewal is unanswered, the shard moves and the
/// revocation is confirmed. The renewal is still in a buffer and gives the shard
/// back to the endpoint after the next owner got it. The release must wait for
/// the renewal's end.
#[gtest]
fn unanswered_renewal_holds_the_release_back() {
    let mut rig = Rig::checking(2);
    rig.silent_until(300);
    rig.set_shards(&[shard(1, 1, true)]);
    expect_that!(revoked(&rig), is_true());
    rig.confirm_control(&HEALTHY);
    rig.until(1_380);
    expect_that!(rig.released(), is_false());
    rig.until(1_400);
    expect_that!(rig.released(), is_true());
}

#[gtest]
fn unconfirmed_revocation_is_waited_out() {
    let mut rig = Rig::checking(2);
    rig.set_shards(&[shard(1, 1, true)]);
    rig.silent_until(1_080);
    expect_that!(rig.released(), is_false());
    rig.silent_until(1_100);
    expect_that!(rig.released(), is_true());
}

/// Failure guarded against: an endpoint that does not check orders still runs an
/// order of an earlier dispatcher when the next owner starts. A confirmed
/// revocation proves nothing there, so the release waits for the longest order.
#[gtest]
fn endpoint_that_does_not_check_is_waited_out() {
    let mut rig = Rig::new(builder(2, false));
    rig.set_shards(&[shard(1, 1, true)]);
    rig.until(30_080);
    expect_that!(rig.released(), is_false());
    rig.until(30_100);
    expect_that!(rig.released(), is_true());
}

#[gtest]
fn order_that_timed_out_blocks_the_release_until_it_cannot_act() {
    let mut rig = Rig::new(builder(2, false));
    rig.until(31_000);
    let mut slow = booking(1, 31_000);
    slow.deadline = wall(32_000);
    rig.submit(1, slow);
    rig.done(rig.last_order(), OrderReply::Lost);
    rig.set_shards(&[shard(1, 1, true)]);
    rig.until(32_080);
    expect_that!(rig.released(), is_false());
    rig.until(32_100);
    expect_that!(rig.released(), is_true());
}

/// Failure guarded against: a request has a deadline of an hour, and its order
/// runs longer than a successor waits, beside the key's next owner.
#[gtest]
fn order_never_outlives_the_longest_order() {
    let mut rig = Rig::checking(2);
    rig.submit(1, lookup(1, "batch", 3_600_000));
    let deadline = rig.seen.iter().find_map(|action| match action {
        DispatchAction::SendOrder { request, .. } => Some(request.deadline),
        _ => None,
    });
    expect_that!(deadline, some(eq(wall(30_000))));
}

#[gtest]
fn confirmed_cancellation_ends_the_wait() {
    let mut rig = Rig::checking(2);
    rig.submit(1, booking(1, 0));
    rig.done(rig.last_order(), OrderReply::Lost);
    rig.set_shards(&[shard(1, 1, true)]);
    expect_that!(revoked(&rig), is_false());
    let id = id(1, 0);
    rig.apply(DispatchEvent::CancelDone {
        id,
        confirmed: false,
    });
    expect_that!(revoked(&rig), is_false());
    let confirmed = true;
    rig.apply(DispatchEvent::CancelDone { id, confirmed });
    expect_that!(revoked(&rig), is_true());
}

/// Failure guarded against: an endpoint freezes with a grant in its socket buffer,
/// and the planner assigns its keys to a second owner while that grant is live.
/// The loss must be reported as quiet only after the latest end ever sent, and
/// later probes must grant nothing.
#[gtest]
fn frozen_endpoint_is_quiet_after_the_latest_end_sent() {
    let mut rig = Rig::checking(2);
    rig.until_with(1_380, &ProbeReport::Failed);
    expect_that!(rig.lost(false), is_true());
    expect_that!(rig.lost(true), is_false());
    rig.until_with(1_420, &ProbeReport::Failed);
    expect_that!(rig.lost(true), is_true());
}

/// Failure guarded against: a frozen endpoint answers again after its loss was
/// reported as quiet, gets its shard granted again while the planner assigns it
/// to another endpoint, and both own it. The shard must not be granted before it
/// has a new epoch.
#[gtest]
fn endpoint_that_comes_back_gets_nothing_under_the_old_epoch() {
    let mut rig = Rig::checking(2);
    rig.until_with(1_600, &ProbeReport::Failed);
    rig.seen.clear();
    rig.until(3_000);
    expect_that!(rig.did(|a| *a == DispatchAction::EndpointBack), is_true());
    rig.submit(1, booking(1, 1_000));
    expect_that!(rig.told(1), eq("not run: Moving"));
    let granted = |a: &DispatchAction| matches!(a, DispatchAction::Grant { grant, .. } if !grant.shards.is_empty());
    expect_that!(rig.did(granted), is_false());
    rig.set_shards(&[shard(1, 2, false)]);
    expect_that!(rig.did(granted), is_true());
}

/// Failure guarded against: an endpoint that does not check orders is lost with
/// one order in flight. It may still run that order, so the order's shard waits
/// for its deadline. All other shards waited with it, for half a minute, although
/// no order of theirs could run.
#[gtest]
fn endpoint_that_does_not_check_keeps_only_shards_with_orders() {
    let mut rig = Rig::new(builder(2, false).nothing_inherited());
    let req = Request {
        deadline: wall(5_000),
        ..booking(1, 0)
    };
    let (busy, idle) = halves(&req);
    rig.set_shards(&[busy.clone(), idle.clone()]);
    rig.confirm_control(&HEALTHY);
    rig.submit(1, req);
    rig.until_with(2_000, &ProbeReport::Failed);
    expect_that!(rig.lost(true), is_true());
    let moving = [moving(&busy), moving(&idle)];
    rig.set_shards(&moving);
    expect_that!(released(&rig), elements_are![eq(&idle.at)]);
    rig.until_with(5_050, &ProbeReport::Failed);
    expect_that!(released(&rig).contains(&busy.at), is_false());
    rig.until_with(5_150, &ProbeReport::Failed);
    expect_that!(released(&rig).contains(&busy.at), is_true());
}

/// The two halves of the key space; the first one contains the request's key.
fn halves(req: &Request) -> (OwnedShard, OwnedShard) {
    let middle = u64::MAX / 2;
    let (mut low, mut high) = (shard(1, 1, false), shard(2, 1, false));
    low.range.last = KeyHash(middle);
    high.range.first = KeyHash(middle + 1);
    if KeyHash::of(&req.key) > low.range.last {
        std::mem::swap(&mut low.range, &mut high.range);
    }
    (low, high)
}

fn moving(owned: &OwnedShard) -> OwnedShard {
    OwnedShard {
        moving: true,
        ..owned.clone()
    }
}

fn released(rig: &Rig) -> IndexSet<ShardRef> {
    let told = rig.seen.iter().filter_map(|action| match action {
        DispatchAction::ShardReleased { at, .. } => Some(at.clone()),
        _ => None,
    });
    told.collect()
}

/// Failure guarded against: a shard moves while requests for it wait at the
/// instances that accepted them. They were answered `may have run` although they
/// were never sent, because the next owner's floor was the end of the move. The
/// floor must be the time of the last order.
#[gtest]
fn released_shard_has_the_last_order_as_its_floor() {
    let mut rig = Rig::new(builder(2, true).nothing_inherited());
    rig.until(100);
    rig.submit(1, booking(1, 0));
    rig.answered(rig.last_order(), "booked");
    rig.until(900);
    rig.set_shards(&[shard(1, 1, true)]);
    rig.confirm_control(&HEALTHY);
    rig.until(1_200);
    let floor = rig.seen.iter().find_map(|action| match action {
        DispatchAction::ShardReleased { floor, .. } => Some(*floor),
        _ => None,
    });
    expect_that!(floor, some(eq(wall(101))));
}

/// Failure guarded against: the hold lapses while the process is paused, and it
/// sends to the endpoint although a successor may be active. Nothing may be sent,
/// but callers get their final answers.
#[gtest]
fn nothing_is_sent_while_the_role_is_not_held() {
    let mut rig = Rig::checking(1);
    rig.submit(1, booking(1, 0));
    rig.submit(2, booking(2, 0));
    rig.seen.clear();
    rig.may_act = false;
    rig.done(2, OrderReply::Lost);
    rig.until(400);
    rig.submit(3, booking(3, 0));
    expect_that!(rig.told(3), eq("not run: NoHold"));
    rig.until(600);
    expect_that!(rig.told(2), eq("not run: NoHold"));
    expect_that!(rig.did(sent_to_endpoint), is_false());
}

#[gtest]
fn draining_stops_new_work_at_once() {
    let mut rig = Rig::checking(1);
    rig.submit(1, booking(1, 0));
    rig.submit(2, booking(2, 0));
    rig.until_with(300, &DRAINING);
    expect_that!(rig.told(2), eq("not run: Draining"));
    rig.submit(3, booking(3, 0));
    expect_that!(rig.told(3), eq("not run: Draining"));
    rig.answered(rig.last_order(), "booked");
    expect_that!(rig.told(1), eq("booked"));
    expect_that!(rig.orders(), len(eq(1)));
}

/// Failure guarded against: two reports arrive out of order, and the older one
/// ends the drain that the newer one reported.
#[gtest]
fn older_report_does_not_end_draining() {
    let mut rig = Rig::checking(1);
    rig.silent_until(600);
    let tickets: Vec<_> = rig
        .seen
        .iter()
        .filter_map(|action| match action {
            DispatchAction::Grant { ticket, .. } => Some(*ticket),
            _ => None,
        })
        .collect();
    for (ticket, report) in [(tickets[2], DRAINING), (tickets[1], HEALTHY)] {
        rig.apply(DispatchEvent::GrantDone { ticket, report });
    }
    expect_that!(rig.d.draining(), is_true());
}

#[gtest]
fn endpoint_that_knows_a_higher_epoch_stops_this_dispatcher() {
    let mut rig = Rig::checking(1);
    let stale = ProbeReport::Answered {
        stale_epoch: true,
        draining: false,
        running: 0,
        cold: false,
    };
    rig.until_with(300, &stale);
    expect_that!(rig.did(|a| *a == DispatchAction::Superseded), is_true());
    rig.submit(1, booking(1, 0));
    expect_that!(rig.told(1), eq("not run: NotDispatcher"));
}
