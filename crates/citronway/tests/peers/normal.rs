//! The duty when all goes well.

use googletest::prelude::*;

use crate::common::{Instance, answer, connected, heartbeat, request};

#[gtest]
#[tokio::test]
async fn a_forward_and_a_heartbeat_arrive_and_the_outcome_comes_back() {
    let mut b = Instance::start("b", 2);
    let mut a = connected("a", &b.me, b.handle.local_addr).await;

    a.send(&b.me, heartbeat(9)).await;
    let (from, message) = b.wait_message().await;
    expect_that!(from, eq(&a.me));
    expect_that!(message, eq(&heartbeat(9)));

    let sent = request(b"book it");
    a.forward(3, &b.me, sent.clone()).await;
    let (ticket, received) = b.wait_forwarded().await;
    expect_that!(received, eq(&sent));
    expect_that!(ticket, ge(citronway::peers::PEER_TICKET_BASE));
    b.reply(ticket, answer(b"booked")).await;
    expect_that!(a.wait_done().await, eq(&(3, answer(b"booked"))));
}

// An instance leaves. Its last words, a handover and an outcome, were given just
// before it stops; if they were lost, the successor would set a floor and the
// caller would hear `may have run` of work that was done.
#[gtest]
#[tokio::test]
async fn what_was_given_before_a_stop_is_sent() {
    let mut b = Instance::start("b", 2);
    let mut a = connected("a", &b.me, b.handle.local_addr).await;
    b.list(&[(&a.me, a.handle.local_addr)]).await;
    // The first greeting is the one by a, the second one the answer of a.
    b.wait_up().await;
    b.wait_up().await;
    a.forward(3, &b.me, request(b"book it")).await;
    let (ticket, _) = b.wait_forwarded().await;

    let large = answer(&vec![7; 100_000]);
    b.send(&a.me, heartbeat(9)).await;
    b.reply(ticket, large.clone()).await;
    b.stop().await;

    expect_that!(a.wait_message().await.1, eq(&heartbeat(9)));
    let (_, outcome) = a.wait_done().await;
    // Not `eq`, which would print the whole body.
    expect_that!(outcome == large, eq(true));
}

// Hosting takes an instance off the list while it still finishes its work, or the
// list comes back empty after an outage. Work under way must not be cut for it.
#[gtest]
#[tokio::test]
async fn a_link_outlives_the_list() {
    let mut b = Instance::start("b", 2);
    let mut a = connected("a", &b.me, b.handle.local_addr).await;
    a.forward(3, &b.me, request(b"book it")).await;
    let (ticket, _) = b.wait_forwarded().await;
    a.list(&[]).await;
    b.reply(ticket, answer(b"booked")).await;
    expect_that!(a.wait_done().await, eq(&(3, answer(b"booked"))));
}
