//! Which work goes first, what is refused, and how much runs at once.

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

/// Answers the running orders one by one until all are done, `took` ms each.
fn run_all(rig: &mut Rig, took: u64) {
    let mut done = 0;
    while let Some(order) = rig.orders().get(done).copied() {
        rig.until(rig.ms + took);
        rig.answered(order.ticket, "done");
        done += 1;
    }
}

/// Like [`lookup`], but with a key of its own class of keys.
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

/// Console work arrives faster than one slot serves it. Without a kept share
/// the nightly batch would wait for ever; it gets its quarter of the slot time,
/// though its orders take as long as the others.
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
    // Five orders of 20 ms on one slot.
    expect_that!(not_run.retry_after_ms, eq(100));
}

/// Batch orders take ten times as long as console work. With one mean for both,
/// a console request behind an idle queue would be refused as too late, though
/// its own kind takes 20 ms.
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

/// More console work comes than the slot can serve, so batch is overtaken again
/// and again. Going by what is before it in the queue, it would be taken in and
/// expire there; the pace of its class tells that it is too late.
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
    // Batch has a quarter of the slot: one order of 20 ms each 80 ms.
    rig.submit(2, lookup(2, "batch", rig.ms + 70));
    expect_that!(rig.told(2), eq("not run: DeadlineTooClose"));
}

/// Overload: by the time a slot is free the earliest deadline is only just
/// ahead. Begun, that order would time out in the slot and make the next one
/// too late as well; the next one is begun instead.
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

/// A pause makes a few answers look very slow, so that the estimate exceeds
/// every deadline. Refused for ever, nothing would be sent and the estimate
/// would never come down. An idle endpoint must get the next request.
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

/// One mill asks for the same certificate a thousand times. It would fill the
/// queue and have every other customer refused; it may take its share only.
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
    // One of two slots is the hot key's share while `cool` waits, which would
    // come last by its deadline.
    expect_that!(sent_order(&rig), eq(&vec![1, 2, 3]));
}

/// An order times out and its connection is closed, but the endpoint works on.
/// Were its slot given away, the endpoint would run three orders on two slots.
/// The slot stays taken until the order cannot act any more.
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

/// One connection of an endpoint of two slots breaks. Its order keeps one slot
/// and halves the limit to one; counted against the limit too, nothing would be
/// sent until its deadline, though the other slot is free.
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
    // A booking that is running is not stopped when its caller goes.
    rig.answered(rig.last_order(), "booked");
    expect_that!(rig.told(1), eq("booked"));
    rig.submit(3, lookup(3, "interactive", 9_000));
    rig.apply(DispatchEvent::Cancel { origin: 3 });
    let (id, confirmed) = (id(3, 0), true);
    rig.apply(DispatchEvent::CancelDone { id, confirmed });
    expect_that!(rig.told(3), eq("not run: Cancelled"));
}

/// The endpoint sheds although its report says that all is well. Going by the
/// report, the dispatcher would keep it overloaded; the limit follows the sheds
/// and grows again with answers.
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

/// After a takeover four orders of the predecessor still run on six slots.
/// Believing them free, the successor would put six more on top.
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
