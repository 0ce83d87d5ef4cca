//! Links that break, peers that freeze or start again.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use citronway_core::ids::Session;
use citronway_core::outcome::{MayHaveRunReason, NotRunReason, Outcome};
use citronway_core::time::Wall;
use googletest::prelude::*;

use crate::common::relay::Relay;
use crate::common::{Instance, KEY, answer, config, connected, heartbeat, request};

/// Reason of an outcome that the transport made.
fn not_run(outcome: &Outcome) -> Option<NotRunReason> {
    match outcome {
        Outcome::NotRun(not_run) => Some(not_run.reason),
        _ => None,
    }
}

fn may_have_run(outcome: &Outcome) -> Option<MayHaveRunReason> {
    match outcome {
        Outcome::MayHaveRun(may_have_run) => Some(may_have_run.reason),
        _ => None,
    }
}

#[gtest]
#[tokio::test]
async fn a_forward_to_nobody_has_not_run() {
    let mut a = Instance::start("a", 1);
    a.forward(3, &Session::new("b", 2), request(b"book it"))
        .await;
    let (ticket, outcome) = a.wait_done().await;
    expect_that!(ticket, eq(3));
    let reason = not_run(&outcome);
    expect_that!(reason, some(eq(NotRunReason::DispatcherUnreachable)));
}

// The dispatcher has the request, then the network between both breaks. The
// booking may be running at this moment: `not run` would invite a second one.
#[gtest]
#[tokio::test]
async fn a_link_that_breaks_under_a_forward_leaves_it_open() {
    let mut b = Instance::start("b", 2);
    let relay = Relay::start(b.handle.local_addr).await;
    let mut a = connected("a", &b.me, relay.address).await;
    a.forward(3, &b.me, request(b"book it")).await;
    let (received, _) = b.wait_forwarded().await;
    relay.cut();
    let (_, outcome) = a.wait_done().await;
    let reason = may_have_run(&outcome);
    expect_that!(reason, some(eq(MayHaveRunReason::DispatcherLost)));
    a.wait_down().await;
    a.forward(4, &b.me, request(b"book it")).await;
    let (_, outcome) = a.wait_done().await;
    let reason = not_run(&outcome);
    expect_that!(reason, some(eq(NotRunReason::DispatcherUnreachable)));
    // The outcome of a forward whose link is gone reaches nobody and harms nobody.
    b.reply(received, answer(b"booked")).await;
    b.stop().await;
}

// A dispatcher is paused while its connection stays open. Callers would wait for
// their deadlines, and all new work for it would go the same way.
#[gtest]
#[tokio::test]
async fn a_frozen_peer_is_given_up() {
    let mut b = Instance::start("b", 2);
    let relay = Relay::start(b.handle.local_addr).await;
    let cfg = config(&Session::new("a", 1), KEY).control_timeout(Duration::from_millis(200));
    let mut a = Instance::with(cfg.build());
    a.list(&[(&b.me, relay.address)]).await;
    a.wait_up().await;
    a.forward(3, &b.me, request(b"book it")).await;
    b.wait_forwarded().await;
    relay.freeze();
    a.send(&b.me, heartbeat(1)).await;
    let (_, outcome) = a.wait_done().await;
    let reason = may_have_run(&outcome);
    expect_that!(reason, some(eq(MayHaveRunReason::DispatcherLost)));
    a.wait_down().await;
}

// b is killed and starts again at once at the same address. The new process
// knows nothing of the old one's work; a request or a promise meant for the old
// one must not reach it.
#[gtest]
#[tokio::test]
async fn a_restarted_instance_is_another_session() {
    let old = Instance::start("b", 2);
    let old_session = old.me.clone();
    let address = old.handle.local_addr;
    let mut a = connected("a", &old.me, address).await;
    old.stop().await;
    let mut cfg = config(&Session::new("b", 3), KEY).build();
    cfg.listen = address;
    let mut new = Instance::with(cfg);
    expect_that!(a.wait_up().await, eq(&new.me));

    a.forward(3, &old_session, request(b"book it")).await;
    let (_, outcome) = a.wait_done().await;
    let reason = not_run(&outcome);
    expect_that!(reason, some(eq(NotRunReason::NotDispatcher)));
    a.send(&old_session, heartbeat(1)).await;
    a.send(&new.me, heartbeat(2)).await;
    let (_, message) = new.wait_message().await;
    expect_that!(message, eq(&heartbeat(2)));
    expect_that!(a.handle.counters.control_unreachable.get(), eq(1));
}

// The host of b loses power: nothing closes its connection. b starts elsewhere
// and greets a, which still waits for the old b. The greeting proves that the old
// one is gone, so its work need not wait for a timeout.
#[gtest]
#[tokio::test]
async fn a_greeting_by_a_new_session_ends_the_link_to_the_old_one() {
    let mut old = Instance::start("b", 2);
    let relay = Relay::start(old.handle.local_addr).await;
    let mut a = connected("a", &old.me, relay.address).await;
    a.forward(3, &old.me, request(b"book it")).await;
    old.wait_forwarded().await;
    relay.freeze();
    let new = Instance::start("b", 3);
    new.list(&[(&a.me, a.handle.local_addr)]).await;
    let (_, outcome) = a.wait_done().await;
    let reason = may_have_run(&outcome);
    expect_that!(reason, some(eq(MayHaveRunReason::DispatcherLost)));
}

// A request has timed out and its answer comes late. It belongs to nobody then;
// given to the next request it would show one caller the answer of another.
#[gtest]
#[tokio::test]
async fn a_late_answer_reaches_nobody() {
    let mut b = Instance::start("b", 2);
    let me = Session::new("a", 1);
    let cfg = config(&me, KEY).call_timeout(Duration::from_millis(50));
    let mut a = Instance::with(cfg.build());
    a.list(&[(&b.me, b.handle.local_addr)]).await;
    a.wait_up().await;
    a.forward(3, &b.me, request(b"first")).await;
    let (first, _) = b.wait_forwarded().await;
    let (ticket, outcome) = a.wait_done().await;
    expect_that!(ticket, eq(3));
    let reason = may_have_run(&outcome);
    expect_that!(reason, some(eq(MayHaveRunReason::Timeout)));

    b.reply(first, answer(b"answer to first")).await;
    let mut ticket = 3;
    let outcome = loop {
        ticket += 1;
        a.forward(ticket, &b.me, request(b"later")).await;
        let (later, _) = b.wait_forwarded().await;
        b.reply(later, answer(b"answer to later")).await;
        let (done, outcome) = a.wait_done().await;
        expect_that!(done, eq(ticket));
        // On a busy machine this one may time out, too.
        if may_have_run(&outcome).is_none() {
            break outcome;
        }
    };
    expect_that!(outcome, eq(&answer(b"answer to later")));
}

// The dispatcher is alive and confirms control messages, but the endpoint never
// answers. The caller must hear of it soon after the deadline and not wait for
// the longest time that any call may take.
#[gtest]
#[tokio::test]
async fn a_deadline_bounds_a_forward() {
    let mut b = Instance::start("b", 2);
    let mut a = connected("a", &b.me, b.handle.local_addr).await;
    let mut soon = request(b"book it");
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let now = u64::try_from(now.as_millis()).unwrap();
    soon.deadline = Wall(now).plus(100);
    a.forward(3, &b.me, soon).await;
    b.wait_forwarded().await;
    let (_, outcome) = a.wait_done().await;
    let reason = may_have_run(&outcome);
    expect_that!(reason, some(eq(MayHaveRunReason::Timeout)));
}

// A request waited so long that its deadline is over. Handed on it would only
// take room from others.
#[gtest]
#[tokio::test]
async fn an_expired_request_is_not_handed_on() {
    let mut b = Instance::start("b", 2);
    let mut a = connected("a", &b.me, b.handle.local_addr).await;
    let mut expired = request(b"book it");
    expired.deadline = Wall(1);
    a.forward(3, &b.me, expired).await;
    let (_, outcome) = a.wait_done().await;
    expect_that!(not_run(&outcome), some(eq(NotRunReason::Expired)));
    // Links keep the order, so it would have arrived before the second one.
    a.forward(4, &b.me, request(b"second")).await;
    let (_, received) = b.wait_forwarded().await;
    expect_that!(received.body.as_ref(), eq(b"second"));
}
