//! Deduplication: no non-idempotent request runs twice, and no caller gets the
//! answer to another request.

mod dispatch_support;

use bytes::Bytes;
use citronway_core::dispatch::{DispatchAction, DispatchEvent, DispatchSettings, RequestFault};
use citronway_core::node::events::{OrderReply, RefusedReason};
use citronway_core::outcome::NotRunReason;
use citronway_core::request::Request;
use dispatch_support::{Harness, answer, booking, builder, id, lookup, wall};
use googletest::prelude::*;

fn fault_of(harness: &Harness, origin: u64) -> Option<RequestFault> {
    harness.actions.iter().find_map(|action| match action {
        DispatchAction::Reject { origin: o, fault } if *o == origin => Some(*fault),
        _ => None,
    })
}

/// Failure guarded against: a client times out early and repeats a booking under
/// the same id while the first one runs. If the repeat were sent as well, the
/// booking would run twice. Both callers must get the same answer.
#[gtest]
fn duplicate_in_flight_waits_for_the_same_answer() {
    let mut harness = Harness::checking(2);
    harness.submit(1, booking(1, 0));
    harness.submit(2, booking(1, 0));
    expect_that!(harness.orders(), len(eq(1)));
    expect_that!(harness.reply_text(2), eq("-"));
    harness.answered(harness.last_order(), "booked");
    expect_that!(harness.reply_text(1), eq("booked"));
    expect_that!(harness.reply_text(2), eq("booked"));
}

#[gtest]
fn duplicate_of_a_finished_one_gets_the_kept_answer() {
    let mut harness = Harness::checking(2);
    harness.submit(1, booking(1, 0));
    harness.answered(harness.last_order(), "booked");
    harness.submit(2, booking(1, 0));
    expect_that!(harness.reply_text(2), eq("booked"));
    expect_that!(harness.orders(), len(eq(1)));
}

#[gtest]
fn duplicate_after_the_answer_was_dropped_may_have_run() {
    let cfg = DispatchSettings::builder().answer_bytes(200).build();
    let mut harness = Harness::with(2, cfg);
    for n in 1..=2 {
        harness.submit(u64::from(n), booking(n, 0));
        harness.answered(harness.last_order(), "booked");
    }
    harness.submit(3, booking(1, 0));
    expect_that!(harness.reply_text(3), eq("may have run: AnswerGone"));
    harness.submit(4, booking(2, 0));
    expect_that!(harness.reply_text(4), eq("booked"));
    expect_that!(harness.orders(), len(eq(2)));
}

/// Failure guarded against: two clients with faulty random numbers generate the
/// same id, and the second gets the answer to the first one's request. The second
/// must be rejected, whether the first is running or done.
#[gtest]
fn same_id_for_other_work_is_rejected() {
    let mut harness = Harness::checking(2);
    harness.submit(1, booking(1, 0));
    let mut other = booking(1, 0);
    other.body = Bytes::from_static(b"other bottle");
    harness.submit(2, other.clone());
    harness.answered(harness.last_order(), "certificate");
    harness.submit(3, other);
    expect_that!(fault_of(&harness, 2), some(eq(RequestFault::IdReused)));
    expect_that!(fault_of(&harness, 3), some(eq(RequestFault::IdReused)));
    expect_that!(harness.reply_text(2), eq("-"));
    expect_that!(harness.orders(), len(eq(1)));
}

#[gtest]
fn refused_by_the_endpoint_may_be_tried_again() {
    let mut harness = Harness::checking(2);
    harness.submit(1, booking(1, 0));
    harness.refused(harness.last_order(), RefusedReason::Shed);
    expect_that!(harness.reply_text(1), eq("not run: EndpointShed"));
    harness.submit(2, booking(1, 0));
    expect_that!(harness.orders(), len(eq(2)));
}

/// Failure guarded against: the connection breaks while a request runs; the
/// caller gets `may have run` and repeats the request, which runs twice. The id
/// must not be sent again, even after the endpoint confirms the cancellation.
#[gtest]
fn may_have_run_is_never_sent_again() {
    let mut harness = Harness::checking(2);
    harness.submit(1, booking(1, 0));
    harness.done(harness.last_order(), OrderReply::Lost);
    let confirmed = true;
    let id = id(1, 0);
    harness.apply(DispatchEvent::CancelDone { id, confirmed });
    harness.submit(2, booking(1, 0));
    expect_that!(harness.reply_text(1), eq("may have run: ConnectionLost"));
    expect_that!(harness.reply_text(2), eq("may have run: ConnectionLost"));
    expect_that!(harness.orders(), len(eq(1)));
}

#[gtest]
fn answer_that_comes_after_the_deadline_is_kept_for_duplicates() {
    let mut harness = Harness::checking(2);
    harness.submit(1, booking(1, 0));
    harness.advance(10_000);
    expect_that!(harness.reply_text(1), eq("may have run: Timeout"));
    harness.answered(harness.last_order(), "booked");
    let mut again = booking(1, 0);
    again.deadline = wall(12_000);
    harness.submit(2, again);
    expect_that!(harness.reply_text(2), eq("booked"));
}

/// Failure guarded against: the dispatcher's instance is lost after it sent a
/// booking. Its successor receives the caller's repeat, does not know the id, and
/// runs it again. Ids from before the takeover must be answered `may have run`.
#[gtest]
fn id_from_before_the_takeover_is_not_run() {
    let mut harness = Harness::new(builder(2, true).floor(wall(100)));
    harness.submit(1, booking(1, 99));
    harness.submit(2, booking(2, 100));
    expect_that!(harness.reply_text(1), eq("may have run: BeforeFloor"));
    harness.advance(100);
    expect_that!(harness.orders().len(), eq(1));
}

#[gtest]
fn id_from_before_the_move_is_not_run() {
    let mut harness = Harness::ungranted(builder(2, true));
    let mut moved = dispatch_support::shard(1, 2, false);
    moved.floor = wall(50);
    harness.set_shards(&[moved]);
    harness.confirm_control(&dispatch_support::HEALTHY);
    harness.submit(1, booking(1, 49));
    expect_that!(harness.reply_text(1), eq("may have run: BeforeFloor"));
}

/// A dispatcher hands over to its successor, which receives repeats of two
/// bookings, one answered and one without an outcome at the handover, and a
/// request whose id was used for another booking. The first repeat gets the
/// answer, the second `may have run`, and nothing runs again.
#[gtest]
fn handed_over_ids_are_known_to_the_successor() {
    let mut first = Harness::checking(2);
    first.submit(1, booking(1, 0));
    first.submit(2, booking(2, 0));
    first.answered(first.orders()[0].ticket, "booked");
    let mut second = Harness::new(builder(2, true).known(&first.d.export()));
    second.submit(1, booking(1, 0));
    second.submit(2, booking(2, 0));
    second.submit(3, booking(3, 0));
    let other = Request {
        id: id(1, 0),
        ..booking(4, 0)
    };
    second.submit(4, other);
    expect_that!(second.reply_text(1), eq("booked"));
    expect_that!(second.reply_text(2), eq("may have run: AnswerGone"));
    expect_that!(fault_of(&second, 4), some(eq(RequestFault::IdReused)));
    expect_that!(second.orders(), len(eq(1)));
}

/// Failure guarded against: the table is full of ids within the window, one is
/// dropped, and its late duplicate runs again. The floor must rise above a
/// dropped id, and while all ids are younger than the minimum window new requests
/// must be refused as not run.
#[gtest]
fn full_table_raises_the_floor_or_refuses_but_never_forgets() {
    let cfg = DispatchSettings::builder()
        .max_ids(2)
        .id_window_min_ms(1_000)
        .build();
    let mut harness = Harness::with(2, cfg);
    for n in 1..=2 {
        harness.submit(u64::from(n), booking(n, u64::from(n)));
        harness.advance(u64::from(n) * 10);
        harness.answered(harness.last_order(), "booked");
    }
    harness.submit(3, booking(3, 3));
    expect_that!(harness.reply_text(3), eq("not run: Overloaded"));
    harness.advance(1_500);
    harness.submit(4, booking(4, 1_400));
    expect_that!(harness.orders(), len(eq(3)));
    harness.submit(5, booking(1, 1));
    expect_that!(harness.reply_text(5), eq("may have run: BeforeFloor"));
}

#[gtest]
fn id_older_than_the_window_is_not_run() {
    let cfg = DispatchSettings::builder().id_window_ms(1_000).build();
    let mut harness = Harness::with(2, cfg);
    harness.submit(1, booking(1, 0));
    harness.answered(harness.last_order(), "booked");
    harness.advance(1_020);
    harness.submit(2, booking(1, 0));
    expect_that!(harness.reply_text(2), eq("may have run: BeforeFloor"));
    expect_that!(harness.orders(), len(eq(1)));
}

/// Failure guarded against: a caller's clock is 300 ms fast, its booking is sent
/// at once, and the dispatcher is lost. The successor's floor lies before the id,
/// so the booking runs twice. It must wait until its time of creation has come.
#[gtest]
fn id_from_a_fast_clock_waits_for_its_time() {
    let mut harness = Harness::checking(2);
    harness.submit(1, booking(1, 300));
    harness.advance(280);
    expect_that!(harness.orders(), is_empty());
    harness.advance(300);
    expect_that!(harness.orders(), len(eq(1)));
}

#[gtest]
fn id_from_far_ahead_is_rejected_with_the_time_to_come_back() {
    let mut harness = Harness::checking(2);
    harness.submit(1, booking(1, 1_250));
    let ahead_ms = 250;
    expect_that!(
        fault_of(&harness, 1),
        some(eq(RequestFault::IdAhead { ahead_ms }))
    );
    let mut without_time = booking(2, 0);
    without_time.id.0 = uuid::Uuid::from_bytes([0x40; 16]);
    harness.submit(2, without_time);
    expect_that!(fault_of(&harness, 2), some(eq(RequestFault::IdWithoutTime)));
}

/// Failure guarded against: a duplicate with an early deadline expires while the
/// first request is still queued, and is answered `not run` although the first
/// runs later.
#[gtest]
fn duplicate_that_expires_first_is_not_told_not_run() {
    let mut harness = Harness::checking(1);
    harness.submit(1, lookup(9, "interactive", 9_000));
    harness.submit(2, booking(1, 0));
    let mut hasty = booking(1, 0);
    hasty.deadline = wall(100);
    harness.submit(3, hasty);
    harness.advance(120);
    expect_that!(harness.reply_text(3), eq("may have run: Timeout"));
    harness.answered(harness.orders()[0].ticket, "found");
    expect_that!(harness.orders(), len(eq(2)));
}

#[gtest]
fn duplicate_is_answered_also_while_draining_or_not_held() {
    let mut harness = Harness::checking(2);
    harness.submit(1, booking(1, 0));
    harness.may_act = false;
    let reason = NotRunReason::NotDispatcher;
    harness.apply(DispatchEvent::Retire { reason });
    harness.submit(2, booking(1, 0));
    harness.submit(3, booking(2, 0));
    expect_that!(harness.reply_text(2), eq("-"));
    expect_that!(harness.reply_text(3), eq("not run: NotDispatcher"));
    let answer = answer("booked");
    harness.done(harness.last_order(), OrderReply::Answered { answer });
    expect_that!(harness.reply_text(2), eq("booked"));
}
