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
