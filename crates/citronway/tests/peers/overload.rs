//! Rings that are full, peers that are slow, messages that are too large.

use citronway::peers::PeerCommand;
use citronway_core::ids::{Session, Version};
use citronway_core::outcome::{MayHaveRunReason, NotRun, NotRunReason, Outcome};
use citronway_core::peer::PeerMessage;
use citronway_core::platform::{Row, RowKey};
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::common::raw;
use crate::common::relay::Relay;
use crate::common::{Instance, KEY, answer, config, connected, heartbeat, request, unless_hung};

const MAX_MESSAGE: usize = 64 * 1024;
const TOO_LARGE: usize = 2 * MAX_MESSAGE;

fn is_overloaded(outcome: &Outcome) -> bool {
    let reason = NotRunReason::Overloaded;
    matches!(outcome, Outcome::NotRun(NotRun { reason: r, .. }) if *r == reason)
}

/// A control message of somewhat more than `bytes`.
fn rows(bytes: usize) -> PeerMessage {
    let row = Row {
        at: RowKey {
            table: "config".to_owned(),
            key: "head".to_owned(),
        },
        version: Version(3),
        value: "x".repeat(bytes),
    };
    PeerMessage::Rows { rows: vec![row] }
}

/// Two instances with small messages, the first connected to the second.
async fn small() -> (Instance, Instance) {
    let (me, other) = (Session::new("a", 1), Session::new("b", 2));
    let b = Instance::with(config(&other, KEY).max_message_bytes(MAX_MESSAGE).build());
    let mut a = Instance::with(config(&me, KEY).max_message_bytes(MAX_MESSAGE).build());
    a.list(&[(&b.me, b.handle.local_addr)]).await;
    a.wait_up().await;
    (a, b)
}

// One peer takes nothing any more. What is meant for it piles up, and neither
// the heartbeats nor the work of the others may wait behind it.
#[gtest]
#[tokio::test]
async fn a_slow_peer_delays_no_other() {
    const LIMIT: usize = 8;
    /// Control messages, with the broadcast.
    const TO_SLOW: u64 = 4 * LIMIT as u64 + 1;
    let slow = Instance::start("slow", 2);
    let mut b = Instance::start("b", 3);
    let relay = Relay::start(slow.handle.local_addr).await;
    let me = Session::new("a", 1);
    let cfg = config(&me, KEY)
        .max_queued_control(LIMIT)
        .max_in_flight(LIMIT);
    let mut a = Instance::with(cfg.build());
    let others = [(&slow.me, relay.address), (&b.me, b.handle.local_addr)];
    a.list(&others).await;
    a.wait_up().await;
    a.wait_up().await;

    relay.freeze();
    for ticket in 0..2 * LIMIT as u64 {
        a.forward(ticket, &slow.me, request(&vec![0; 100_000]))
            .await;
        a.send(&slow.me, heartbeat(ticket)).await;
        a.send(&slow.me, heartbeat(ticket)).await;
    }
    a.forward(99, &b.me, request(b"book it")).await;
    a.command(PeerCommand::Broadcast {
        message: heartbeat(7),
    })
    .await;
    let (ticket, _) = b.wait_forwarded().await;
    expect_that!(b.wait_message().await.1, eq(&heartbeat(7)));
    b.reply(ticket, answer(b"booked")).await;
    let mut refused = 0;
    loop {
        let (ticket, outcome) = a.wait_done().await;
        if ticket == 99 {
            expect_that!(outcome, eq(&answer(b"booked")));
            break;
        }
        expect_that!(is_overloaded(&outcome), eq(true));
        refused += 1;
    }
    expect_that!(refused, eq(LIMIT));
    // At most `LIMIT` messages wait, and one call is under way with as many at most.
    let at_least = TO_SLOW - 2 * LIMIT as u64;
    expect_that!(a.handle.counters.control_dropped.get(), ge(at_least));
}

// The decisions of b stall. Its links must go on: forwards are refused at once
// and truly have not run, and of the control messages the newest are kept.
#[gtest]
#[tokio::test]
async fn stalled_decisions_do_not_stall_the_links() {
    const SENT: u64 = 10;
    const LIMIT: usize = 2;
    let other = Session::new("b", 2);
    let mut b = Instance::with(config(&other, KEY).max_queued_events(LIMIT).build());
    let mut a = connected("a", &b.me, b.handle.local_addr).await;
    for version in 0..SENT {
        a.send(&b.me, heartbeat(version)).await;
    }
    let all_received = async {
        while b.handle.counters.control_messages_received.get() < SENT {
            tokio::task::yield_now().await;
        }
    };
    unless_hung(all_received).await;
    // One more than there may be room for.
    for ticket in 0..=LIMIT as u64 {
        a.forward(ticket, &b.me, request(b"book it")).await;
    }
    let (_, outcome) = a.wait_done().await;
    expect_that!(is_overloaded(&outcome), eq(true));

    let mut last_two = (heartbeat(0), heartbeat(0));
    while last_two.1 != heartbeat(SENT - 1) {
        last_two = (last_two.1, b.wait_message().await.1);
    }
    expect_that!(last_two.0, eq(&heartbeat(SENT - 2)));
    expect_that!(b.handle.counters.events_dropped.get(), ge(1));
}

// A caller's body or an endpoint's answer is larger than a message may be. The
// receiver could only drop the connection, and all other work on it with it.
#[gtest]
#[tokio::test]
async fn what_is_too_large_is_not_sent() {
    let (mut a, mut b) = small().await;
    a.forward(3, &b.me, request(b"book it")).await;
    let (ticket, _) = b.wait_forwarded().await;
    a.forward(4, &b.me, request(&vec![0; TOO_LARGE])).await;
    let (done, outcome) = a.wait_done().await;
    expect_that!(done, eq(4));
    expect_that!(is_overloaded(&outcome), eq(true));

    a.forward(5, &b.me, request(b"send all")).await;
    let (all, _) = b.wait_forwarded().await;
    b.reply(all, answer(&vec![0; TOO_LARGE])).await;
    let (done, outcome) = a.wait_done().await;
    expect_that!(done, eq(5));
    let gone =
        matches!(&outcome, Outcome::MayHaveRun(m) if m.reason == MayHaveRunReason::AnswerGone);
    expect_that!(gone, eq(true));

    a.send(&b.me, rows(TOO_LARGE)).await;
    a.send(&b.me, rows(MAX_MESSAGE / 2 - 200)).await;
    expect_that!(
        b.wait_message().await.1 == rows(MAX_MESSAGE / 2 - 200),
        eq(true)
    );
    expect_that!(a.handle.counters.control_oversize.get(), eq(1));

    b.reply(ticket, answer(b"booked")).await;
    expect_that!(a.wait_done().await, eq(&(3, answer(b"booked"))));
}

// A broken or hostile process announces a message of 512 MiB. Taken at its word
// it would claim that memory; its connection is closed and no other is harmed.
#[gtest]
#[tokio::test]
async fn an_oversize_frame_ends_its_own_connection_only() {
    let (mut a, mut b) = small().await;
    a.forward(3, &b.me, request(b"book it")).await;
    let (ticket, _) = b.wait_forwarded().await;

    let mut hostile = TcpStream::connect(b.handle.local_addr).await.unwrap();
    let words: u32 = 64 * 1024 * 1024;
    let mut frame = vec![0; 4];
    frame.extend(words.to_le_bytes());
    hostile.write_all(&frame).await.unwrap();
    let mut buf = Vec::new();
    // Closed, perhaps with an abort message or a reset.
    let _ = unless_hung(hostile.read_to_end(&mut buf)).await;

    b.reply(ticket, answer(b"booked")).await;
    expect_that!(a.wait_done().await, eq(&(3, answer(b"booked"))));
}

// A request times out while the peer is frozen. If its room were free again, the
// bytes of timed-out requests would pile up behind the frozen peer.
#[gtest]
#[tokio::test]
async fn a_forward_takes_room_until_the_peer_has_answered() {
    let mut b = Instance::start("b", 2);
    let me = Session::new("a", 1);
    let cfg = config(&me, KEY).max_in_flight(1);
    let mut a = Instance::with(
        cfg.call_timeout(std::time::Duration::from_millis(20))
            .build(),
    );
    a.list(&[(&b.me, b.handle.local_addr)]).await;
    a.wait_up().await;
    a.forward(0, &b.me, request(b"book it")).await;
    let (first, _) = b.wait_forwarded().await;
    a.wait_done().await;
    a.forward(1, &b.me, request(b"book it")).await;
    expect_that!(is_overloaded(&a.wait_done().await.1), eq(true));

    b.reply(first, answer(b"booked")).await;
    // Room comes back with the late answer.
    let mut ticket = 2;
    while a.handle.counters.forwards_sent.get() == 1 {
        a.forward(ticket, &b.me, request(b"book it")).await;
        a.wait_done().await;
        ticket += 1;
    }
}

// A process with a bug sends a request that cannot be read. It hears so, the
// decisions never see it, and its link goes on.
#[gtest]
#[tokio::test]
async fn a_malformed_message_is_refused() {
    let mut b = Instance::start("b", 2);
    let a = Session::new("a", 1);
    let local = tokio::task::LocalSet::new();
    let refused = local.run_until(async {
        let client = raw::connect(b.handle.local_addr).await;
        let hello = raw::hello(&client, &a, KEY).await;
        let link = raw::greet(&client, &hello).await.expect("it is let in");
        let refused = link.forward_request().send().promise.await.err();
        let mut req = link.control_request();
        req.get()
            .init_messages(1)
            .get(0)
            .init_heartbeat()
            .set_config(5);
        req.send().promise.await.expect("the link goes on");
        refused
    });
    let refused = refused.await.expect("it is refused").to_string();
    expect_that!(refused, contains_substring("forward.request is missing"));
    expect_that!(b.handle.counters.malformed.get(), eq(1));
    expect_that!(b.wait_message().await.0, eq(&a));
}

// An entry with a bug hands on more than was agreed. The dispatcher's memory is
// not at its mercy: what is too much is refused and has not run.
#[gtest]
#[tokio::test]
async fn a_receiver_bounds_what_a_link_may_have_under_way() {
    let me = Session::new("b", 2);
    let mut b = Instance::with(config(&me, KEY).max_in_flight(1).build());
    let local = tokio::task::LocalSet::new();
    let outcomes = local.run_until(async {
        let client = raw::connect(b.handle.local_addr).await;
        let hello = raw::hello(&client, &Session::new("a", 1), KEY).await;
        let link = raw::greet(&client, &hello).await.expect("it is let in");
        let first = raw::forward(&link, &request(b"first"));
        let second = raw::forward(&link, &request(b"second")).await;
        let (ticket, received) = b.wait_forwarded().await;
        assert_that!(received.body.as_ref(), eq(b"first"));
        b.reply(ticket, answer(b"booked")).await;
        (first.await, second)
    });
    let (first, second) = outcomes.await;
    expect_that!(first, eq(&answer(b"booked")));
    expect_that!(is_overloaded(&second), eq(true));
}

// Connections are opened and none is closed. Each takes a descriptor, and with
// the last one the instance could not even reach its endpoints.
#[gtest]
#[tokio::test]
async fn incoming_connections_are_bounded() {
    let me = Session::new("b", 2);
    let b = Instance::with(config(&me, KEY).max_connections(1).build());
    let local = tokio::task::LocalSet::new();
    let read = local.run_until(async {
        let client = raw::connect(b.handle.local_addr).await;
        raw::hello(&client, &Session::new("a", 1), KEY).await;
        let mut second = TcpStream::connect(b.handle.local_addr).await.unwrap();
        let read = unless_hung(second.read_to_end(&mut Vec::new())).await;
        // The first one is still served.
        raw::hello(&client, &Session::new("a", 1), KEY).await;
        read.unwrap_or(0)
    });
    expect_that!(read.await, eq(0));
}
