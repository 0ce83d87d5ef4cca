//! Failures between a dispatcher and its endpoint.

mod common;
mod endpoints_support;

use std::sync::Arc;

use citronway::endpoints::EndpointCommand;
use citronway::endpoints::clock::wall_now;
use citronway::endpoints::gate::{Gate, GatedStream};
use citronway_core::ids::{EndpointName, RequestId};
use citronway_core::node::Event;
use citronway_core::node::events::{OrderReply, ProbeReport, RefusedReason};
use citronway_core::time::Mono;
use common::{Peer, dead_address, listener, next};
use endpoints_support::*;
use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use uuid::Uuid;

#[gtest]
fn order_carries_its_fence_and_connection_is_used_again() {
    let mut bench = Bench::new();
    let mut peer = bench.idle();
    let id = bench.order(2, FAR_MS);
    let order = peer.read();
    expect_that!(order.start(), eq("POST /book?x=1"));
    expect_that!(order.body, eq(b"bottle"));
    for (name, value) in [
        ("citronway-request-id", id.to_string().as_str()),
        ("citronway-service", "bookings"),
        ("citronway-key", "%C5%81%C3%B3d%C5%BA%207"),
        ("citronway-shard", "3"),
        ("citronway-shard-epoch", "4"),
        ("citronway-dispatch-epoch", "5"),
        ("citronway-dispatcher", "entry-1#11"),
        ("content-type", "text/plain"),
    ] {
        expect_that!(order.header(name), some(eq(value)), "{name}");
    }
    answer(&mut peer, id, "second");
    expect_that!(bench.reply(), eq(&answered("second")));
    bench.stop();
}

/// A certificate's answer is cut on its way. The caller would see a short
/// document under a good status, because the end of the connection was taken
/// for the end of the answer.
#[gtest]
fn half_answer_is_lost() {
    for head in ["content-length: 9", "x: y", "transfer-encoding: gzip"] {
        let mut bench = Bench::new();
        let id = bench.order(1, FAR_MS);
        let mut peer = Peer::accept(&bench.listener);
        peer.read();
        peer.write(&format!(
            "HTTP/1.1 200 X\r\n{}{head}\r\n\r\nhalf",
            named(id)
        ));
        drop(peer);
        expect_that!(bench.reply(), eq(&OrderReply::Lost), "{head}");
    }
}

/// Guards against an answer whose head does not say how its body ends, or whose status is none, and
/// that reaches its caller.
#[gtest]
fn answer_with_a_broken_head_is_lost() {
    for head in [
        "200 X\r\ntransfer-encoding: gzip, chunked",
        "200 X\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked",
        "200 X\r\ntransfer-encoding: chunked\r\ncontent-length: 4",
        "200 X\r\ntransfer-encoding: chunked, chunked",
        "101 X\r\ntransfer-encoding: chunked",
        "600 X\r\ntransfer-encoding: chunked",
        "999 X\r\ntransfer-encoding: chunked",
    ] {
        let mut bench = Bench::new();
        let id = bench.order(1, FAR_MS);
        let mut peer = Peer::accept(&bench.listener);
        peer.read();
        let named = named(id);
        peer.write(&format!(
            "HTTP/1.1 {head}\r\n{named}\r\n4\r\nfull\r\n0\r\n\r\n"
        ));
        expect_that!(bench.reply(), eq(&OrderReply::Lost), "{head}");
        expect_that!(peer.until_closed(), eq(0), "{head}");
    }
}

/// An endpoint answers with the id of another request, or with none. The caller
/// would read another customer's plan, because the connection alone was taken
/// as proof of whose answer it is.
#[gtest]
fn foreign_answer_is_not_given_and_its_connection_is_closed() {
    let twice = |id| named(id) + &named(RequestId(Uuid::now_v7()));
    let heads: [&dyn Fn(RequestId) -> String; 3] = [
        &|_| String::new(),
        &|_| named(RequestId(Uuid::now_v7())),
        &twice,
    ];
    for head in heads {
        let mut bench = Bench::new();
        let mut peer = bench.idle();
        let reply = bench.reply_to(&mut peer, |peer, id| peer.answer(200, &head(id), "other"));
        expect_that!(reply, eq(&OrderReply::Foreign));
        expect_that!(peer.until_closed(), eq(0));
    }
}

/// An endpoint freezes, the order times out, the endpoint thaws and answers,
/// and the next order is sent. Its caller would get the late answer, because
/// the connection was used again.
#[gtest]
fn late_answer_never_meets_the_next_order() {
    let mut bench = Bench::new();
    let late = bench.order(1, NEAR_MS);
    let mut frozen = Peer::accept(&bench.listener);
    frozen.read();
    assert_that!(bench.reply(), eq(&OrderReply::Timeout));
    answer(&mut frozen, late, "late");
    let id = bench.order(2, FAR_MS);
    let mut peer = Peer::accept(&bench.listener);
    peer.read();
    answer(&mut peer, id, "own");
    expect_that!(bench.reply(), eq(&answered("own")));
    expect_that!(frozen.until_closed(), eq(0));
}

/// An endpoint writes an answer twice. The second copy waits in the connection
/// and would be read as the answer to the next order.
#[gtest]
fn surplus_answer_never_meets_the_next_order() {
    let mut bench = Bench::new();
    let mut peer = bench.idle();
    let reply = bench.reply_to(&mut peer, |peer, id| {
        let one = format!(
            "HTTP/1.1 201 X\r\n{}content-length: 3\r\n\r\none",
            named(id)
        );
        peer.write(&one.repeat(2));
    });
    assert_that!(reply, eq(&answered("one")));
    let id = bench.order(3, FAR_MS);
    let mut fresh = Peer::accept(&bench.listener);
    fresh.read();
    answer(&mut fresh, id, "three");
    expect_that!(bench.reply(), eq(&answered("three")));
}

/// An endpoint closes an idle connection. The next caller would be told that
/// its request may have run, because it was written to a dead connection.
#[gtest]
fn closed_idle_connection_is_not_used() {
    let mut bench = Bench::new();
    let mut peer = bench.idle();
    peer.finish_writing();
    assert_that!(peer.until_closed(), eq(0));
    let id = bench.order(2, FAR_MS);
    let mut fresh = Peer::accept(&bench.listener);
    fresh.read();
    answer(&mut fresh, id, "second");
    expect_that!(bench.reply(), eq(&answered("second")));
}

/// An endpoint takes an order on a used connection, begins it, and crashes. A
/// migration would be applied twice, because a broken used connection was taken
/// for one that had been closed before the order came.
#[gtest]
fn order_that_was_written_is_lost_not_unsent() {
    let mut bench = Bench::new();
    let mut peer = bench.idle();
    bench.order(2, FAR_MS);
    peer.read();
    drop(peer);
    expect_that!(bench.reply(), eq(&OrderReply::Lost));
}

/// Guards against a cut connection that is taken for the crash of its endpoint.
#[gtest]
fn an_endpoint_that_listens_after_its_connection_broke_is_said_to_live() {
    let mut bench = Bench::new();
    let mut peer = bench.idle();
    bench.order(2, FAR_MS);
    peer.read();
    drop(peer);
    expect_that!(bench.reply(), eq(&OrderReply::Lost));
    expect_that!(
        next(&mut bench.events),
        matches_pattern!(Event::EndpointLives { .. })
    );
}

/// Guards against a crash that is taken for a cut connection.
#[gtest]
fn nothing_is_said_of_an_endpoint_that_has_ended_with_its_connection() {
    let mut bench = Bench::new();
    let mut peer = bench.idle();
    bench.order(2, FAR_MS);
    peer.read();
    let Bench {
        listener,
        commands,
        mut events,
        handle,
        ..
    } = bench;
    drop((listener, peer));
    expect_that!(
        next(&mut events),
        matches_pattern!(Event::OrderDone {
            reply: eq(&OrderReply::Lost),
            ..
        })
    );
    commands
        .blocking_send(EndpointCommand::Stop)
        .expect("the duty runs");
    handle.join();
    expect_that!(events.blocking_recv(), none());
}

#[gtest]
fn order_to_a_dead_address_is_not_sent() {
    let mut bench = Bench::new();
    bench.address = dead_address();
    bench.order(1, FAR_MS);
    expect_that!(bench.reply(), eq(&OrderReply::NotSent));
}

/// The process is paused between its decision to send and the write. The order
/// would leave after its deadline and run although its caller was told that it
/// did not.
#[gtest]
#[tokio::test]
async fn nothing_is_written_after_the_deadline() {
    let (listener, address) = listener();
    let gate = Arc::new(Gate::new());
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let mut peer = Peer::accept(&listener);
    let mut stream = GatedStream::new(stream, Arc::clone(&gate));
    gate.arm(wall_now().into());
    let late = stream.write_all(b"late").await;
    expect_that!(
        late.map_err(|err| err.kind()),
        err(eq(std::io::ErrorKind::TimedOut))
    );
    gate.arm(wall_now().plus(FAR_MS).into());
    expect_that!(stream.write_all(b"timely").await, ok(anything()));
    expect_that!(gate.shut(), is_true());
    expect_that!(stream.write_all(b"after").await, err(anything()));
    drop(stream);
    expect_that!(peer.until_closed(), eq("timely".len()));
}

/// A dispatcher is paused between its decision to send and the write, for longer
/// than its successors' promises. One of them takes over; then the old one goes on
/// and the order leaves in time for its deadline. An endpoint that does not check
/// works for two dispatchers.
#[gtest]
fn no_order_leaves_after_the_end_of_the_hold() {
    let mut bench = Bench::new();
    let mut peer = bench.idle();
    let id = RequestId(Uuid::now_v7());
    bench.command(EndpointCommand::SendOrder {
        ticket: 2,
        to: bench.target(),
        connections: CONNECTIONS,
        fence: fence(),
        held_until: Mono(1),
        request: Box::new(request(id, wall_now().plus(FAR_MS))),
    });
    expect_that!(bench.reply(), eq(&OrderReply::NotSent));
    expect_that!(peer.until_closed(), eq(0));
}

/// Stuck orders hold all connections that an endpoint takes, and its grants
/// lapse. Its keys would move away from a healthy endpoint, because grants and
/// cancellations had to wait for the same connections.
#[gtest]
fn control_requests_pass_when_orders_hold_all_connections() {
    let mut bench = Bench::new();
    let held = bench.order_of(1, FAR_MS, 3);
    let mut busy = Peer::accept(&bench.listener);
    busy.read();
    bench.order_of(2, FAR_MS, 3);
    expect_that!(bench.reply(), eq(&OrderReply::NotSent));

    let (to, grant) = (bench.target(), grant());
    bench.command(EndpointCommand::Grant {
        ticket: 3,
        to,
        grant,
    });
    let mut control = Peer::accept(&bench.listener);
    expect_that!(control.read().start(), eq("POST /citronway/grant"));
    let report = r#"{"stale_epoch":false,"draining":true,"running":2,"cold":false}"#;
    control.answer(200, "", report);
    let granted = Event::GrantDone {
        endpoint: EndpointName::new("a"),
        ticket: 3,
        report: ProbeReport::Answered {
            stale_epoch: false,
            draining: true,
            running: 2,
            cold: false,
        },
    };
    expect_that!(next(&mut bench.events), eq(&granted));

    let to = bench.target();
    bench.command(EndpointCommand::Cancel { to, id: held });
    expect_that!(control.read().json()["id"], eq(&held.to_string()));
    control.answer(200, "", r#"{"confirmed":true}"#);
    let cancelled = Event::CancelDone {
        endpoint: EndpointName::new("a"),
        id: held,
        confirmed: true,
    };
    expect_that!(next(&mut bench.events), eq(&cancelled));
    answer(&mut busy, held, "done");
    expect_that!(bench.reply(), eq(&answered("done")));
    bench.order_of(4, FAR_MS, 3);
    expect_that!(busy.read().start(), eq("POST /book?x=1"));
}

/// An endpoint refuses with a reason that this version does not know. The work
/// would be sent again although it may have run, because any refusal was taken
/// for proof that it had not.
#[gtest]
fn only_known_refusals_say_that_it_did_not_run() {
    let mut bench = Bench::new();
    let mut peer = bench.idle();
    let reason = RefusedReason::NoGrant;
    for (text, expected) in [
        ("no_grant", OrderReply::Refused { reason }),
        ("half_done", OrderReply::Lost),
        ("no_grant\r\ncitronway-refused: shed", OrderReply::Lost),
    ] {
        let reply = bench.reply_to(&mut peer, |peer, id| {
            peer.answer(
                409,
                &format!("{}citronway-refused: {text}\r\n", named(id)),
                "",
            );
        });
        expect_that!(reply, eq(&expected), "{text}");
    }
}

#[gtest]
fn answer_above_the_limit_is_lost() {
    let mut bench = Bench::new();
    let mut peer = bench.idle();
    let reply = bench.reply_to(&mut peer, |peer, id| answer(peer, id, &"x".repeat(1025)));
    expect_that!(reply, eq(&OrderReply::Lost));
}

/// A frozen endpoint leaves a cancellation open, another answers nonsense. The
/// caller would be told that its rollback did not run, because silence was
/// taken for consent.
#[gtest]
fn cancellation_is_confirmed_only_by_the_endpoints_word() {
    let mut bench = Bench::with_probe_timeout(NEAR_MS);
    let id = RequestId(Uuid::now_v7());
    for answer in [
        None,
        Some((200, r#"{"confirmed":"yes"}"#)),
        Some((500, r#"{"confirmed":true}"#)),
    ] {
        let to = bench.target();
        bench.command(EndpointCommand::Cancel { to, id });
        let mut peer = Peer::accept(&bench.listener);
        peer.read();
        if let Some((status, body)) = answer {
            peer.answer(status, "connection: close\r\n", body);
        }
        let unconfirmed = Event::CancelDone {
            endpoint: EndpointName::new("a"),
            id,
            confirmed: false,
        };
        expect_that!(next(&mut bench.events), eq(&unconfirmed), "{answer:?}");
    }
}
