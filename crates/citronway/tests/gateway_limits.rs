//! Timeouts of callers' connections without a complete request.

mod gateway_support;

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use gateway_support::rows::{RowCaller, look};
use gateway_support::{Deployment, until};
use googletest::prelude::*;

/// Timeouts in the configuration, for a request head and for an idle connection.
const HEAD_LIMIT: Duration = Duration::from_secs(3);
const IDLE_LIMIT: Duration = Duration::from_secs(15);

/// Guards against a connection that never times out: a caller sends half of a head on a new
/// connection and nothing more. The header timeout did not close it; the connection kept its
/// descriptor, and a stopping instance waited for it until the end of its grace.
#[gtest]
fn a_first_head_that_does_not_come_in_time_ends_its_connection() {
    let deployment = Deployment::new();
    let instance = deployment.ready_instance("one");
    let mut stream = TcpStream::connect(instance.callers).expect("a connection");
    stream
        .write_all(b"GET /status/1 HTTP/1.1\r\nHost: h.exa")
        .expect("it is sent");
    stream
        .set_read_timeout(Some(HEAD_LIMIT * 5))
        .expect("a limit");
    let end = stream.read(&mut [0; 512]);
    expect_that!(end, ok(eq(&0)));
}

/// Guards against a connection that never times out: half of a head stands behind a request that
/// was unanswered when it arrived.
#[gtest]
fn a_head_behind_an_unanswered_request_that_does_not_come_in_time_ends_its_connection() {
    let deployment = Deployment::new();
    let instance = deployment.ready_instance("one");
    deployment.c.work(Duration::from_millis(500));
    let mut caller = RowCaller::connect(instance.callers);
    caller.send(&look("GET /status/1", "l"));
    caller.send("GET /status/1 HTTP/1.1\r\nHost: h.exa");
    let answer = caller.next().map(|reply| reply.status);
    expect_that!(answer, some(eq(200)));
    let began = Instant::now();
    expect_that!(caller.rest(), is_empty());
    expect_that!(began.elapsed(), ge(HEAD_LIMIT));
    expect_that!(began.elapsed(), lt(IDLE_LIMIT));
}

/// Guards against a wrong timeout: a caller sends a body in a segment of its own, gets its
/// answer and keeps the connection. The bytes of the body were taken for the start of the next
/// head, and the header timeout closed the connection: a caller that used it again ran into the
/// close.
#[gtest]
fn a_connection_that_is_idle_after_a_body_ends_by_the_limit_for_idle_ones() {
    let deployment = Deployment::new();
    let instance = deployment.ready_instance("one");
    let mut stream = TcpStream::connect(instance.callers).expect("a connection");
    stream
        .set_read_timeout(Some(IDLE_LIMIT * 2))
        .expect("a limit");
    let head = "POST /order/1 HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Ms: 3000\r\n\
        X-Request-Id: i\r\nContent-Length: 1\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("it is sent");
    // The body is sent after the instance has read the head, which cannot be observed from
    // outside.
    std::thread::sleep(Duration::from_millis(200));
    stream.write_all(b"x").expect("it is sent");
    let mut answer = Vec::new();
    until("the answer is whole", || {
        let mut part = [0; 512];
        let read = stream.read(&mut part).expect("more of the answer");
        answer.extend_from_slice(&part[..read]);
        answer.ends_with(b"answer of i-c")
    });
    let idle = Instant::now();
    let end = stream.read(&mut [0; 512]);
    expect_that!(end, ok(eq(&0)));
    expect_that!(idle.elapsed(), ge(IDLE_LIMIT));
}
