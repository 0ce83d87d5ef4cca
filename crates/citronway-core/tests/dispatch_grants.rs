//! Leases of shards: grants, revocations and lost endpoints. A key never has two
//! owners.

mod dispatch_support;

use citronway_core::dispatch::{DispatchAction, DispatchEvent, OwnedShard, ShardRef};
use citronway_core::node::events::{OrderReply, ProbeReport};
use citronway_core::request::Request;
use citronway_core::shard::KeyHash;
use dispatch_support::{DRAINING, HEALTHY, Harness, booking, builder, id, lookup, shard, wall};
use googletest::prelude::*;
use indexmap::IndexSet;

fn revoked(harness: &Harness) -> bool {
    harness.has_action(|action| matches!(action, DispatchAction::Revoke { .. }))
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
    let mut harness = Harness::ungranted(builder(2, true));
    harness.set_shards(&[shard(1, 1, false)]);
    harness.submit(1, booking(1, 0));
    expect_that!(harness.orders(), is_empty());
    harness.confirm_control(&HEALTHY);
    expect_that!(harness.orders(), len(eq(1)));
}

#[gtest]
fn grant_ends_at_a_time_fixed_by_the_sender() {
    let mut harness = Harness::checking(2);
    harness.advance(300);
    let ends: Vec<_> = harness
        .actions
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
    let mut harness = Harness::checking(2);
    harness.advance_unanswered(1_000);
    harness.submit(1, booking(1, 0));
    expect_that!(harness.orders(), is_empty());
}

/// Failure guarded against: a shard moves while an order for it runs, and the
/// order is cut off half done. The shard is renewed until the answer, then
/// revoked, and released only when the endpoint has confirmed the revocation.
#[gtest]
fn move_waits_for_work_in_flight() {
    let mut harness = Harness::checking(2);
    harness.submit(1, booking(1, 0));
    harness.submit(2, lookup(2, "batch", 9_000));
    harness.set_shards(&[shard(1, 1, true)]);
    harness.submit(3, booking(3, 0));
    expect_that!(harness.reply_text(3), eq("not run: Moving"));
    harness.advance(2_000);
    expect_that!(revoked(&harness), is_false());
    harness.answered(harness.orders()[1].ticket, "found");
    harness.answered(harness.orders()[0].ticket, "booked");
    expect_that!(revoked(&harness), is_true());
    expect_that!(harness.released(), is_false());
    harness.confirm_control(&HEALTHY);
    expect_that!(harness.released(), is_true());
}

/// Failure guarded against: a renewal is unanswered, the shard moves and the
/// revocation is confirmed. The renewal is still in a buffer and gives the shard
/// back to the endpoint after the next owner got it. The release must wait for
/// the renewal's end.
#[gtest]
fn unanswered_renewal_holds_the_release_back() {
    let mut harness = Harness::checking(2);
    harness.advance_unanswered(300);
    harness.set_shards(&[shard(1, 1, true)]);
    expect_that!(revoked(&harness), is_true());
    harness.confirm_control(&HEALTHY);
    harness.advance(1_380);
    expect_that!(harness.released(), is_false());
    harness.advance(1_400);
    expect_that!(harness.released(), is_true());
}

#[gtest]
fn unconfirmed_revocation_is_waited_out() {
    let mut harness = Harness::checking(2);
    harness.set_shards(&[shard(1, 1, true)]);
    harness.advance_unanswered(1_080);
    expect_that!(harness.released(), is_false());
    harness.advance_unanswered(1_100);
    expect_that!(harness.released(), is_true());
}

/// Failure guarded against: an endpoint that does not check orders still runs an
/// order of an earlier dispatcher when the next owner starts. A confirmed
/// revocation proves nothing there, so the release waits for the longest order.
#[gtest]
fn endpoint_that_does_not_check_is_waited_out() {
    let mut harness = Harness::new(builder(2, false));
    harness.set_shards(&[shard(1, 1, true)]);
    harness.advance(30_080);
    expect_that!(harness.released(), is_false());
    harness.advance(30_100);
    expect_that!(harness.released(), is_true());
}

#[gtest]
fn order_that_timed_out_blocks_the_release_until_it_cannot_act() {
    let mut harness = Harness::new(builder(2, false));
    harness.advance(31_000);
    let mut slow = booking(1, 31_000);
    slow.deadline = wall(32_000);
    harness.submit(1, slow);
    harness.done(harness.last_order(), OrderReply::Lost);
    harness.set_shards(&[shard(1, 1, true)]);
    harness.advance(32_080);
    expect_that!(harness.released(), is_false());
    harness.advance(32_100);
    expect_that!(harness.released(), is_true());
}

/// Failure guarded against: a request has a deadline of an hour, and its order
/// runs longer than a successor waits, beside the key's next owner.
#[gtest]
fn order_never_outlives_the_longest_order() {
    let mut harness = Harness::checking(2);
    harness.submit(1, lookup(1, "batch", 3_600_000));
    let deadline = harness.actions.iter().find_map(|action| match action {
        DispatchAction::SendOrder { request, .. } => Some(request.deadline),
        _ => None,
    });
    expect_that!(deadline, some(eq(wall(30_000))));
}

#[gtest]
fn confirmed_cancellation_ends_the_wait() {
    let mut harness = Harness::checking(2);
    harness.submit(1, booking(1, 0));
    harness.done(harness.last_order(), OrderReply::Lost);
    harness.set_shards(&[shard(1, 1, true)]);
    expect_that!(revoked(&harness), is_false());
    let id = id(1, 0);
    harness.apply(DispatchEvent::CancelDone {
        id,
        confirmed: false,
    });
    expect_that!(revoked(&harness), is_false());
    let confirmed = true;
    harness.apply(DispatchEvent::CancelDone { id, confirmed });
    expect_that!(revoked(&harness), is_true());
}

/// Failure guarded against: an endpoint freezes with a grant in its socket buffer,
/// and the planner assigns its keys to a second owner while that grant is live.
/// The loss must be reported as quiet only after the latest end ever sent, and
/// later probes must grant nothing.
#[gtest]
fn frozen_endpoint_is_quiet_after_the_latest_end_sent() {
    let mut harness = Harness::checking(2);
    harness.advance_with(1_380, &ProbeReport::Failed);
    expect_that!(harness.lost(false), is_true());
    expect_that!(harness.lost(true), is_false());
    harness.advance_with(1_420, &ProbeReport::Failed);
    expect_that!(harness.lost(true), is_true());
}

/// Failure guarded against: a frozen endpoint answers again after its loss was
/// reported as quiet, gets its shard granted again while the planner assigns it
/// to another endpoint, and both own it. The shard must not be granted before it
/// has a new epoch.
#[gtest]
fn endpoint_that_comes_back_gets_nothing_under_the_old_epoch() {
    let mut harness = Harness::checking(2);
    harness.advance_with(1_600, &ProbeReport::Failed);
    harness.actions.clear();
    harness.advance(3_000);
    expect_that!(
        harness.has_action(|a| *a == DispatchAction::EndpointBack),
        is_true()
    );
    harness.submit(1, booking(1, 1_000));
    expect_that!(harness.reply_text(1), eq("not run: Moving"));
    let granted = |a: &DispatchAction| matches!(a, DispatchAction::Grant { grant, .. } if !grant.shards.is_empty());
    expect_that!(harness.has_action(granted), is_false());
    harness.set_shards(&[shard(1, 2, false)]);
    expect_that!(harness.has_action(granted), is_true());
}

/// Failure guarded against: an endpoint that does not check orders is lost with
/// one order in flight. It may still run that order, so the order's shard waits
/// for its deadline. All other shards waited with it, for half a minute, although
/// no order of theirs could run.
#[gtest]
fn endpoint_that_does_not_check_keeps_only_shards_with_orders() {
    let mut harness = Harness::new(builder(2, false).nothing_inherited());
    let req = Request {
        deadline: wall(5_000),
        ..booking(1, 0)
    };
    let (busy, idle) = halves(&req);
    harness.set_shards(&[busy.clone(), idle.clone()]);
    harness.confirm_control(&HEALTHY);
    harness.submit(1, req);
    harness.advance_with(2_000, &ProbeReport::Failed);
    expect_that!(harness.lost(true), is_true());
    let moving = [moving(&busy), moving(&idle)];
    harness.set_shards(&moving);
    expect_that!(released(&harness), elements_are![eq(&idle.at)]);
    harness.advance_with(5_050, &ProbeReport::Failed);
    expect_that!(released(&harness).contains(&busy.at), is_false());
    harness.advance_with(5_150, &ProbeReport::Failed);
    expect_that!(released(&harness).contains(&busy.at), is_true());
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

fn released(harness: &Harness) -> IndexSet<ShardRef> {
    let shards = harness.actions.iter().filter_map(|action| match action {
        DispatchAction::ShardReleased { at, .. } => Some(at.clone()),
        _ => None,
    });
    shards.collect()
}

/// Failure guarded against: a shard moves while requests for it wait at the
/// instances that accepted them. They were answered `may have run` although they
/// were never sent, because the next owner's floor was the end of the move. The
/// floor must be the time of the last order.
#[gtest]
fn released_shard_has_the_last_order_as_its_floor() {
    let mut harness = Harness::new(builder(2, true).nothing_inherited());
    harness.advance(100);
    harness.submit(1, booking(1, 0));
    harness.answered(harness.last_order(), "booked");
    harness.advance(900);
    harness.set_shards(&[shard(1, 1, true)]);
    harness.confirm_control(&HEALTHY);
    harness.advance(1_200);
    let floor = harness.actions.iter().find_map(|action| match action {
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
    let mut harness = Harness::checking(1);
    harness.submit(1, booking(1, 0));
    harness.submit(2, booking(2, 0));
    harness.actions.clear();
    harness.may_act = false;
    harness.done(2, OrderReply::Lost);
    harness.advance(400);
    harness.submit(3, booking(3, 0));
    expect_that!(harness.reply_text(3), eq("not run: NoHold"));
    harness.advance(600);
    expect_that!(harness.reply_text(2), eq("not run: NoHold"));
    expect_that!(harness.has_action(sent_to_endpoint), is_false());
}

#[gtest]
fn draining_stops_new_work_at_once() {
    let mut harness = Harness::checking(1);
    harness.submit(1, booking(1, 0));
    harness.submit(2, booking(2, 0));
    harness.advance_with(300, &DRAINING);
    expect_that!(harness.reply_text(2), eq("not run: Draining"));
    harness.submit(3, booking(3, 0));
    expect_that!(harness.reply_text(3), eq("not run: Draining"));
    harness.answered(harness.last_order(), "booked");
    expect_that!(harness.reply_text(1), eq("booked"));
    expect_that!(harness.orders(), len(eq(1)));
}

/// Failure guarded against: two reports arrive out of order, and the older one
/// ends the drain that the newer one reported.
#[gtest]
fn older_report_does_not_end_draining() {
    let mut harness = Harness::checking(1);
    harness.advance_unanswered(600);
    let tickets: Vec<_> = harness
        .actions
        .iter()
        .filter_map(|action| match action {
            DispatchAction::Grant { ticket, .. } => Some(*ticket),
            _ => None,
        })
        .collect();
    for (ticket, report) in [(tickets[2], DRAINING), (tickets[1], HEALTHY)] {
        harness.apply(DispatchEvent::GrantDone { ticket, report });
    }
    expect_that!(harness.d.draining(), is_true());
}

#[gtest]
fn endpoint_that_knows_a_higher_epoch_stops_this_dispatcher() {
    let mut harness = Harness::checking(1);
    let stale = ProbeReport::Answered {
        stale_epoch: true,
        draining: false,
        running: 0,
        cold: false,
    };
    harness.advance_with(300, &stale);
    expect_that!(
        harness.has_action(|a| *a == DispatchAction::Superseded),
        is_true()
    );
    harness.submit(1, booking(1, 0));
    expect_that!(harness.reply_text(1), eq("not run: NotDispatcher"));
}
