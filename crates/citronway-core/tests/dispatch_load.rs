//! Priorities, admission control and the concurrency limit.

mod dispatch_support;

use citronway_core::dispatch::share::KeptShare;
use citronway_core::dispatch::{DispatchEvent, DispatchSettings};
use citronway_core::node::events::{OrderReply, ProbeReport, RefusedReason};
use citronway_core::outcome::Outcome;
use citronway_core::time::Mono;
use dispatch_support::{HEALTHY, Harness, booking, builder, id, lookup, shard, wall};
use googletest::prelude::*;

/// Numbers of the requests in the order they were sent.
fn sent_order(harness: &Harness) -> Vec<u8> {
    harness
        .orders()
        .iter()
        .map(|order| order.id.0.as_bytes()[15])
        .collect()
}

/// Answers the orders one by one, each after `took` ms, until none is left.
fn run_all(harness: &mut Harness, took: u64) {
    let mut done = 0;
    while let Some(order) = harness.orders().get(done).copied() {
        harness.advance(harness.ms + took);
        harness.answered(order.ticket, "done");
        done += 1;
    }
}

/// An interactive [`lookup`] for a given key, with its deadline at 9 s.
fn of_key(n: u8, key: &str) -> citronway_core::request::Request {
    let mut req = lookup(n, "interactive", 9_000);
    req.key = key.into();
    req
}

#[gtest]
fn interactive_goes_first_and_the_earliest_deadline_within_a_class() {
    let mut harness = Harness::checking(1);
    harness.submit(1, lookup(1, "interactive", 9_000));
    harness.submit(2, lookup(2, "batch", 5_000));
    harness.submit(3, lookup(3, "interactive", 9_000));
    harness.submit(4, lookup(4, "interactive", 8_000));
    run_all(&mut harness, 0);
    expect_that!(sent_order(&harness), eq(&vec![1, 4, 3, 2]));
}

/// Failure guarded against: interactive requests arrive faster than one slot
/// serves them, and batch requests wait for ever. Batch must get its kept share,
/// a quarter of the slot time.
#[gtest]
fn batch_gets_its_kept_share() {
    let mut harness = Harness::checking(1);
    for n in 0..40 {
        let class = if n < 8 { "batch" } else { "interactive" };
        harness.submit(u64::from(n), lookup(n, class, 9_000));
    }
    run_all(&mut harness, 20);
    let first: Vec<_> = sent_order(&harness).into_iter().take(20).collect();
    let batch = first.iter().filter(|n| **n < 8).count();
    expect_that!(batch, all!(ge(5), le(6)));
}

#[gtest]
fn nothing_is_owed_for_the_time_before_the_first_count() {
    let mut share = KeptShare::new(25);
    share.pass_time(Mono(9_000), 2, 0, true);
    expect_that!(share.deficit(), eq(0));
    share.pass_time(Mono(9_010), 2, 0, true);
    expect_that!(share.deficit(), eq(500));
}

#[gtest]
fn expired_while_waiting_is_told_at_once() {
    let mut harness = Harness::checking(1);
    harness.submit(1, lookup(1, "interactive", 9_000));
    harness.submit(2, lookup(2, "interactive", 100));
    harness.advance(80);
    expect_that!(harness.reply_text(2), eq("-"));
    harness.advance(100);
    expect_that!(harness.reply_text(2), eq("not run: Expired"));
}

#[gtest]
fn what_cannot_finish_in_time_is_refused_with_the_time_to_come_back() {
    let mut harness = Harness::checking(1);
    for n in 1..=5 {
        harness.submit(u64::from(n), lookup(n, "interactive", 9_000));
    }
    harness.submit(6, lookup(6, "interactive", 30));
    expect_that!(harness.reply_text(6), eq("not run: DeadlineTooClose"));
    let Some(Outcome::NotRun(not_run)) = harness.replies(6).pop() else {
        panic!("not refused");
    };
    // Five orders of 20 ms each on one slot.
    expect_that!(not_run.retry_after_ms, eq(100));
}

/// Failure guarded against: batch orders take much longer than interactive ones.
/// With one mean for both classes, an interactive request at an empty queue is
/// refused as too late, although its own class takes 20 ms.
#[gtest]
fn slow_batch_does_not_make_interactive_look_late() {
    let mut harness = Harness::checking(1);
    for (n, class, took) in [(1, "interactive", 20), (2, "batch", 600), (3, "batch", 600)] {
        harness.submit(u64::from(n), lookup(n, class, 9_000));
        harness.advance(harness.ms + took);
        harness.answered(harness.last_order(), "done");
    }
    harness.submit(4, lookup(4, "interactive", 9_000));
    harness.submit(5, lookup(5, "interactive", harness.ms + 60));
    expect_that!(harness.reply_text(5), eq("-"));
}

/// Failure guarded against: more interactive requests arrive than the slot can
/// serve, so batch requests are overtaken again and again. Estimated by the work
/// before it in the queue, a batch request is accepted and expires there. It must
/// be refused by the service interval of its class.
#[gtest]
fn batch_that_will_be_overtaken_is_refused_on_arrival() {
    let mut harness = Harness::checking(1);
    harness.submit(1, lookup(1, "interactive", 9_000));
    for n in 5..19 {
        harness.submit(u64::from(n), lookup(n, "batch", 9_000));
    }
    for n in 20..60 {
        if n % 4 != 0 {
            harness.submit(u64::from(n), lookup(n, "interactive", 9_000));
        }
        harness.advance(harness.ms + 20);
        harness.answered(harness.last_order(), "done");
    }
    // Batch has a quarter of the slot: one order of 20 ms every 80 ms.
    harness.submit(2, lookup(2, "batch", harness.ms + 70));
    expect_that!(harness.reply_text(2), eq("not run: DeadlineTooClose"));
}

/// Failure guarded against: under overload the request with the earliest deadline
/// is sent just too late, times out in its slot and makes the next one too late
/// as well. The next request must be sent instead.
#[gtest]
fn request_that_will_miss_its_deadline_is_passed_over() {
    let mut harness = Harness::checking(1);
    harness.submit(1, lookup(1, "interactive", 9_000));
    harness.submit(2, lookup(2, "interactive", 70));
    harness.submit(3, lookup(3, "interactive", 9_000));
    harness.advance(60);
    harness.answered(harness.last_order(), "done");
    expect_that!(sent_order(&harness), eq(&vec![1, 3]));
}

/// Failure guarded against: a pause makes a few answers very slow, so that the
/// estimate exceeds every deadline. All requests are refused, and the estimate is
/// never corrected. An idle endpoint must get the next request.
#[gtest]
fn idle_endpoint_is_measured_again_after_slow_answers() {
    let mut harness = Harness::checking(1);
    harness.submit(1, lookup(1, "interactive", 9_000));
    harness.advance(5_000);
    harness.answered(harness.last_order(), "slow");
    harness.submit(2, lookup(2, "interactive", 6_000));
    expect_that!(harness.orders(), len(eq(2)));
}

#[gtest]
fn full_queue_refuses() {
    let cfg = DispatchSettings::builder().queue_max(1).build();
    let mut harness = Harness::with(1, cfg);
    for n in 1..=3 {
        harness.submit(u64::from(n), lookup(n, "interactive", 9_000));
    }
    expect_that!(harness.reply_text(3), eq("not run: QueueFull"));
}

/// Failure guarded against: requests for one key fill the queue, and all other
/// keys are refused. A key may fill only its share.
#[gtest]
fn hot_key_leaves_room_for_others() {
    let cfg = DispatchSettings::builder().queue_max(4).build();
    let mut harness = Harness::with(2, cfg);
    for n in 1..=2 {
        harness.submit(u64::from(n), of_key(n, "hot"));
    }
    let mut cool = of_key(3, "cool");
    cool.deadline = wall(9_500);
    harness.submit(3, cool);
    for n in 4..=6 {
        harness.submit(u64::from(n), of_key(n, "hot"));
    }
    expect_that!(harness.reply_text(6), eq("not run: HotKeyLimited"));
    harness.answered(harness.orders()[0].ticket, "done");
    // The hot key's share is one of two slots while `cool` is queued, although
    // `cool` has the latest deadline.
    expect_that!(sent_order(&harness), eq(&vec![1, 2, 3]));
}

/// Failure guarded against: the connection of an order breaks, but the endpoint
/// still runs it. If its slot were freed, the endpoint would run three orders on
/// two slots. The slot must stay occupied until the order cannot act any more.
#[gtest]
fn slot_of_a_lost_order_stays_taken() {
    let mut harness = Harness::checking(2);
    for n in 1..=4 {
        harness.submit(u64::from(n), lookup(n, "interactive", 2_000));
    }
    harness.done(harness.orders()[0].ticket, OrderReply::Lost);
    harness.done(harness.orders()[1].ticket, OrderReply::Lost);
    expect_that!(harness.reply_text(1), eq("may have run: ConnectionLost"));
    harness.advance(1_000);
    expect_that!(harness.orders(), len(eq(2)));
    let (id, confirmed) = (id(1, 0), true);
    harness.apply(DispatchEvent::CancelDone { id, confirmed });
    harness.apply(DispatchEvent::CancelDone {
        id: dispatch_support::id(2, 0),
        confirmed,
    });
    expect_that!(harness.orders(), len(eq(3)));
}

/// Failure guarded against: one connection of an endpoint with two slots breaks.
/// Its order keeps one slot and lowers the limit to one. If it counted against
/// the limit as well, nothing would be sent until its deadline, although the
/// other slot is free.
#[gtest]
fn one_lost_order_does_not_stop_a_small_endpoint() {
    let mut harness = Harness::checking(2);
    harness.submit(1, lookup(1, "interactive", 9_000));
    harness.done(harness.last_order(), OrderReply::Lost);
    for n in 2..=3 {
        harness.submit(u64::from(n), lookup(n, "interactive", 9_000));
    }
    expect_that!(sent_order(&harness), eq(&vec![1, 2]));
}

#[gtest]
fn cancelled_while_waiting_did_not_run() {
    let mut harness = Harness::checking(1);
    harness.submit(1, booking(1, 0));
    harness.submit(2, booking(2, 0));
    harness.apply(DispatchEvent::Cancel { origin: 2 });
    harness.apply(DispatchEvent::Cancel { origin: 1 });
    expect_that!(harness.reply_text(2), eq("not run: Cancelled"));
    // A running booking is not cancelled when its caller goes.
    harness.answered(harness.last_order(), "booked");
    expect_that!(harness.reply_text(1), eq("booked"));
    harness.submit(3, lookup(3, "interactive", 9_000));
    harness.apply(DispatchEvent::Cancel { origin: 3 });
    let (id, confirmed) = (id(3, 0), true);
    harness.apply(DispatchEvent::CancelDone { id, confirmed });
    expect_that!(harness.reply_text(3), eq("not run: Cancelled"));
}

/// Failure guarded against: the endpoint sheds orders although it reports no load,
/// and the dispatcher trusts the report and keeps it overloaded. The limit must
/// follow the sheds, and grow again with answers.
#[gtest]
fn limit_follows_sheds_and_not_reports() {
    let mut harness = Harness::checking(6);
    harness.submit(1, lookup(1, "interactive", 9_000));
    harness.advance(400);
    harness.refused(harness.last_order(), RefusedReason::Shed);
    expect_that!(harness.d.limit(), eq(3));
    harness.advance(1_000);
    expect_that!(harness.d.limit(), eq(3));
    for n in 2..=12 {
        harness.submit(u64::from(n), lookup(n, "interactive", 9_000));
        harness.advance(harness.ms + 20);
        harness.answered(harness.last_order(), "done");
    }
    expect_that!(harness.d.limit(), eq(5));
}

#[gtest]
fn sheds_of_one_round_lower_the_limit_once() {
    let mut harness = Harness::checking(6);
    for n in 1..=4 {
        harness.submit(u64::from(n), lookup(n, "interactive", 9_000));
    }
    for order in harness.orders() {
        harness.refused(order.ticket, RefusedReason::Shed);
    }
    expect_that!(harness.d.limit(), eq(3));
}

#[gtest]
fn cold_endpoint_starts_with_one_slot_and_doubles() {
    let mut harness = Harness::checking(6);
    let cold = ProbeReport::Answered {
        stale_epoch: false,
        draining: false,
        running: 0,
        cold: true,
    };
    harness.advance_with(300, &cold);
    let mut limits = vec![harness.d.limit()];
    for n in 1..=3 {
        harness.submit(u64::from(n), lookup(n, "interactive", 9_000));
        harness.answered(harness.last_order(), "done");
        limits.push(harness.d.limit());
    }
    expect_that!(limits, eq(&vec![1, 2, 3, 4]));
}

#[gtest]
fn slower_answers_lower_the_limit_to_half_at_most() {
    let mut harness = Harness::checking(6);
    let mut n = 0;
    for took in [20_u64, 400] {
        for _ in 0..20 {
            n += 1;
            harness.submit(u64::from(n), lookup(n, "interactive", 90_000));
            harness.advance(harness.ms + took);
            harness.answered(harness.last_order(), "done");
        }
    }
    expect_that!(harness.d.limit(), all!(ge(3), le(4)));
}

/// Failure guarded against: after a takeover four orders of the predecessor still
/// run on six slots, and the successor sends six more orders.
#[gtest]
fn orders_of_the_predecessor_keep_their_slots() {
    let mut harness = Harness::ungranted(builder(6, true));
    harness.set_shards(&[shard(1, 1, false)]);
    let busy = ProbeReport::Answered {
        stale_epoch: false,
        draining: false,
        running: 4,
        cold: false,
    };
    harness.confirm_control(&busy);
    for n in 1..=6 {
        harness.submit(u64::from(n), lookup(n, "interactive", 9_000));
    }
    expect_that!(harness.orders(), len(eq(2)));
    harness.advance_with(300, &HEALTHY);
    expect_that!(harness.orders(), len(eq(6)));
}

#[gtest]
fn load_report_counts_shards_and_hot_keys() {
    let mut harness = Harness::checking(6);
    harness.submit(1, of_key(1, "hot"));
    harness.submit(2, of_key(2, "hot"));
    harness.submit(3, of_key(3, "cool"));
    let load = harness.d.take_load();
    expect_that!(load.requests, eq(3));
    expect_that!(load.shards[0].requests, eq(3));
    expect_that!(load.hot[0].requests, eq(2));
    expect_that!(harness.d.take_load().requests, eq(0));
}
