//! Priorities, admission control and the concurrency limit.

mod dispatch_support;

use citronway_core::dispatch::share::KeptShare;
use citronway_core::dispatch::{DispatchEvent, DispatchSettings};
use citronway_core::node::events::{OrderReply, ProbeReport, RefusedReason};
use citronway_core::outcome::Outcome;
use citronway_core::time::Mono;
use dispatch_support::{HEALTHY, Rig, booking, builder, id, lookup, shard, wall};
use googletest::prelude::*;

/// Numbers of the requests in the order they were sent.
fn sent_order(rig: &Rig) -> Vec<u8> {
    rig.orders()
        .iter()
        .map(|order| order.id.0.as_bytes()[15])
        .collect()
}

/// Answers the orders one by one, each after `took` ms, until none is left.
fn run_all(rig: &mut Rig, took: u64) {
    let mut done = 0;
    while let Some(order) = rig.orders().get(done).copied() {
        rig.until(rig.ms + took);
        rig.answered(order.ticket, "done");
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
    let mut rig = Rig::checking(1);
    rig.submit(1, lookup(1, "interactive", 9_000));
    rig.submit(2, lookup(2, "batch", 5_000));
    rig.submit(3, lookup(3, "interactive", 9_000));
    rig.submit(4, lookup(4, "interactive", 8_000));
    run_all(&mut rig, 0);
    expect_that!(sent_order(&rig), eq(&vec![1, 4, 3, 2]));
}

/// Failure guarded against: interactive requests arrive faster than one slot
/// serves them, and batch requests wait for ever. Batch must get its kept share,
/// a quarter of the slot time.
#[gtest]
fn batch_gets_its_kept_share() {
    let mut rig = Rig::checking(1);
    for n in 0..40 {
        let class = if n < 8 { "batch" } else { "interactive" };
        rig.submit(u64::from(n), lookup(n, class, 9_000));
    }
    run_all(&mut rig, 20);
    let first: Vec<_> = sent_order(&rig).into_iter().take(20).collect();
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
    let mut rig = Rig::checking(1);
    rig.submit(1, lookup(1, "interactive", 9_000));
    rig.submit(2, lookup(2, "interactive", 100));
    rig.until(80);
    expect_that!(rig.told(2), eq("-"));
    rig.until(100);
    expect_that!(rig.told(2), eq("not run: Expired"));
}

#[gtest]
fn what_cannot_finish_in_time_is_refused_with_the_time_to_come_back() {
    let mut rig = Rig::checking(1);
    for n in 1..=5 {
        rig.submit(u64::from(n), lookup(n, "interactive", 9_000));
    }
    rig.submit(6, lookup(6, "interactive", 30));
    expect_that!(rig.told(6), eq("not run: DeadlineTooClose"));
    let Some(Outcome::NotRun(not_run)) = rig.replies(6).pop() else {
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
    let mut rig = Rig::checking(1);
    for (n, class, took) in [(1, "interactive", 20), (2, "batch", 600), (3, "batch", 600)] {
        rig.submit(u64::from(n), lookup(n, class, 9_000));
        rig.until(rig.ms + took);
        rig.answered(rig.last_order(), "done");
    }
    rig.submit(4, lookup(4, "interactive", 9_000));
    rig.submit(5, lookup(5, "interactive", rig.ms + 60));
    expect_that!(rig.told(5), eq("-"));
}

/// Failure guarded against: more interactive requests arrive than the slot can
/// serve, so batch requests are overtaken again and again. Estimated by the work
/// before it in the queue, a batch request is accepted and expires there. It must
/// be refused by the service interval of its class.
#[gtest]
fn batch_that_will_be_overtaken_is_refused_on_arrival() {
    let mut rig = Rig::checking(1);
    rig.submit(1, lookup(1, "interactive", 9_000));
    for n in 5..19 {
        rig.submit(u64::from(n), lookup(n, "batch", 9_000));
    }
    for n in 20..60 {
        if n % 4 != 0 {
            rig.submit(u64::from(n), lookup(n, "interactive", 9_000));
        }
        rig.until(rig.ms + 20);
        rig.answered(rig.last_order(), "done");
    }
    // Batch has a quarter of the slot: one order of 20 ms every 80 ms.
    rig.submit(2, lookup(2, "batch", rig.ms + 70));
    expect_that!(rig.told(2), eq("not run: DeadlineTooClose"));
}

/// Failure guarded against: under overload the request with the earliest deadline
/// is sent just too late, times out in its slot and makes the next one too late
/// as well. The next request must be sent instead.
#[gtest]
fn hopeless_request_lets_others_go_first() {
    let mut rig = Rig::checking(1);
    rig.submit(1, lookup(1, "interactive", 9_000));
    rig.submit(2, lookup(2, "interactive", 70));
    rig.submit(3, lookup(3, "interactive", 9_000));
    rig.until(60);
    rig.answered(rig.last_order(), "done");
    expect_that!(sent_order(&rig), eq(&vec![1, 3]));
}

/// Failure guarded against: a pause makes a few answers very slow, so that the
/// estimate exceeds every deadline. All requests are refused, and the estimate is
/// never corrected. An idle endpoint must get the next request.
#[gtest]
fn idle_endpoint_is_measured_again_after_slow_answers() {
    let mut rig = Rig::checking(1);
    rig.submit(1, lookup(1, "interactive", 9_000));
    rig.until(5_000);
    rig.answered(rig.last_order(), "slow");
    rig.submit(2, lookup(2, "interactive", 6_000));
    expect_that!(rig.orders(), len(eq(2)));
}

#[gtest]
fn full_queue_refuses() {
    let cfg = DispatchSettings::builder().queue_max(1).build();
    let mut rig = Rig::with(1, cfg);
    for n in 1..=3 {
        rig.submit(u64::from(n), lookup(n, "interactive", 9_000));
    }
    expect_that!(rig.told(3), eq("not run: QueueFull"));
}

/// Failure guarded against: requests for one key fill the queue, and all other
/// keys are refused. A key may fill only its share.
#[gtest]
fn hot_key_leaves_room_for_others() {
    let cfg = DispatchSettings::builder().queue_max(4).build();
    let mut rig = Rig::with(2, cfg);
    for n in 1..=2 {
        rig.submit(u64::from(n), of_key(n, "hot"));
    }
    let mut cool = of_key(3, "cool");
    cool.deadline = wall(9_500);
    rig.submit(3, cool);
    for n in 4..=6 {
        rig.submit(u64::from(n), of_key(n, "hot"));
    }
    expect_that!(rig.told(6), eq("not run: HotKeyLimited"));
    rig.answered(rig.orders()[0].ticket, "done");
    // The hot key's share is one of two slots while `cool` is queued, although
    // `cool` has the latest deadline.
    expect_that!(sent_order(&rig), eq(&vec![1, 2, 3]));
}

/// Failure guarded against: the connection of an order breaks, but the endpoint
/// still runs it. If its slot were freed, the endpoint would run three orders on
/// two slots. The slot must stay occupied until the order cannot act any more.
#[gtest]
fn slot_of_a_lost_order_stays_taken() {
    let mut rig = Rig::checking(2);
    for n in 1..=4 {
        rig.submit(u64::from(n), lookup(n, "interactive", 2_000));
    }
    rig.done(rig.orders()[0].ticket, OrderReply::Lost);
    rig.done(rig.orders()[1].ticket, OrderReply::Lost);
    expect_that!(rig.told(1), eq("may have run: ConnectionLost"));
    rig.until(1_000);
    expect_that!(rig.orders(), len(eq(2)));
    let (id, confirmed) = (id(1, 0), true);
    rig.apply(DispatchEvent::CancelDone { id, confirmed });
    rig.apply(DispatchEvent::CancelDone {
        id: dispatch_support::id(2, 0),
        confirmed,
    });
    expect_that!(rig.orders(), len(eq(3)));
}

/// Failure guarded against: one connection of an endpoint with two slots breaks.
/// Its order keeps one slot and lowers the limit to one. If it counted against
/// the limit as well, nothing would be sent until its deadline, although the
/// other slot is free.
#[gtest]
fn one_lost_order_does_not_stop_a_small_endpoint() {
    let mut rig = Rig::checking(2);
    rig.submit(1, lookup(1, "interactive", 9_000));
    rig.done(rig.last_order(), OrderReply::Lost);
    for n in 2..=3 {
        rig.submit(u64::from(n), lookup(n, "interactive", 9_000));
    }
    expect_that!(sent_order(&rig), eq(&vec![1, 2]));
}

#[gtest]
fn cancelled_while_waiting_did_not_run() {
    let mut rig = Rig::checking(1);
    rig.submit(1, booking(1, 0));
    rig.submit(2, booking(2, 0));
    rig.apply(DispatchEvent::Cancel { origin: 2 });
    rig.apply(DispatchEvent::Cancel { origin: 1 });
    expect_that!(rig.told(2), eq("not run: Cancelled"));
    // A running booking is not cancelled when its caller goes.
    rig.answered(rig.last_order(), "booked");
    expect_that!(rig.told(1), eq("booked"));
    rig.submit(3, lookup(3, "interactive", 9_000));
    rig.apply(DispatchEvent::Cancel { origin: 3 });
    let (id, confirmed) = (id(3, 0), true);
    rig.apply(DispatchEvent::CancelDone { id, confirmed });
    expect_that!(rig.told(3), eq("not run: Cancelled"));
}

/// Failure guarded against: the endpoint sheds orders although it reports no load,
/// and the dispatcher trusts the report and keeps it overloaded. The limit must
/// follow the sheds, and grow again with answers.
#[gtest]
fn limit_follows_sheds_and_not_reports() {
    let mut rig = Rig::checking(6);
    rig.submit(1, lookup(1, "interactive", 9_000));
    rig.until(400);
    rig.refused(rig.last_order(), RefusedReason::Shed);
    expect_that!(rig.d.limit(), eq(3));
    rig.until(1_000);
    expect_that!(rig.d.limit(), eq(3));
    for n in 2..=12 {
        rig.submit(u64::from(n), lookup(n, "interactive", 9_000));
        rig.until(rig.ms + 20);
        rig.answered(rig.last_order(), "done");
    }
    expect_that!(rig.d.limit(), eq(5));
}

#[gtest]
fn sheds_of_one_round_lower_the_limit_once() {
    let mut rig = Rig::checking(6);
    for n in 1..=4 {
        rig.submit(u64::from(n), lookup(n, "interactive", 9_000));
    }
    for order in rig.orders() {
        rig.refused(order.ticket, RefusedReason::Shed);
    }
    expect_that!(rig.d.limit(), eq(3));
}

#[gtest]
fn cold_endpoint_starts_with_one_slot_and_doubles() {
    let mut rig = Rig::checking(6);
    let cold = ProbeReport::Answered {
        stale_epoch: false,
        draining: false,
        running: 0,
        cold: true,
    };
    rig.until_with(300, &cold);
    let mut limits = vec![rig.d.limit()];
    for n in 1..=3 {
        rig.submit(u64::from(n), lookup(n, "interactive", 9_000));
        rig.answered(rig.last_order(), "done");
        limits.push(rig.d.limit());
    }
    expect_that!(limits, eq(&vec![1, 2, 3, 4]));
}

#[gtest]
fn slower_answers_lower_the_limit_to_half_at_most() {
    let mut rig = Rig::checking(6);
    let mut n = 0;
    for took in [20_u64, 400] {
        for _ in 0..20 {
            n += 1;
            rig.submit(u64::from(n), lookup(n, "interactive", 90_000));
            rig.until(rig.ms + took);
            rig.answered(rig.last_order(), "done");
        }
    }
    expect_that!(rig.d.limit(), all!(ge(3), le(4)));
}

/// Failure guarded against: after a takeover four orders of the predecessor still
/// run on six slots, and the successor sends six more orders.
#[gtest]
fn orders_of_the_predecessor_keep_their_slots() {
    let mut rig = Rig::ungranted(builder(6, true));
    rig.set_shards(&[shard(1, 1, false)]);
    let busy = ProbeReport::Answered {
        stale_epoch: false,
        draining: false,
        running: 4,
        cold: false,
    };
    rig.confirm_control(&busy);
    for n in 1..=6 {
        rig.submit(u64::from(n), lookup(n, "interactive", 9_000));
    }
    expect_that!(rig.orders(), len(eq(2)));
    rig.until_with(300, &HEALTHY);
    expect_that!(rig.orders(), len(eq(6)));
}

#[gtest]
fn load_report_counts_shards_and_hot_keys() {
    let mut rig = Rig::checking(6);
    rig.submit(1, of_key(1, "hot"));
    rig.submit(2, of_key(2, "hot"));
    rig.submit(3, of_key(3, "cool"));
    let load = rig.d.take_load();
    expect_that!(load.requests, eq(3));
    expect_that!(load.shards[0].requests, eq(3));
    expect_that!(load.hot[0].requests, eq(2));
    expect_that!(rig.d.take_load().requests, eq(0));
}
