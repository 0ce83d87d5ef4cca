//! Callers that send further requests on a connection before the earlier ones are answered.

mod gateway_support;

use std::io::Write as _;
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use citronway_standin::soak::{Mode, Proxy};
use gateway_support::{Deployment, Instance, head, route, silent_deployment, until};
use googletest::prelude::*;
use serde_json::json;

/// Time within which a request whose caller has left must no longer reach an endpoint or be
/// worked on.
const CANCEL_WITHIN: Duration = Duration::from_millis(500);

/// Wait that callers state, in milliseconds; longer than any test takes.
const LONG_WAIT_MS: u64 = 30_000;

/// Size of a row of requests that no read buffer of the instance holds, in bytes.
const LONG_ROW_BYTES: usize = 96 * 1024;

/// How a caller leaves.
#[derive(Debug, Clone, Copy)]
enum Leaves {
    Closes,
    Resets,
    /// Closes only its own direction.
    HalfCloses,
}

/// Head of the `i`th request of a row; the connection is kept open after it.
fn row_head(start: &str, i: usize) -> String {
    let id = format!("X-Request-Id: row-{i}\r\n");
    head(start, &id, LONG_WAIT_MS, 0)
        .replace("Connection: close\r\n", "")
        .replace("Content-Length: 0\r\n", "")
}

/// Requests for `path`, one behind the other, of at least `bytes` bytes together.
fn row(path: &str, bytes: usize) -> String {
    let mut text = String::new();
    for i in 0.. {
        text.push_str(&row_head(&format!("GET {path}{i}"), i));
        if i >= 3 && text.len() >= bytes {
            break;
        }
    }
    text
}

fn send_row(instance: &Instance, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(instance.callers).expect("a connection");
    stream.write_all(text.as_bytes()).expect("the row is sent");
    stream
}

/// Makes the caller leave; what is returned keeps a half-closed connection open.
fn leave(stream: TcpStream, how: Leaves) -> Option<TcpStream> {
    match how {
        Leaves::Closes => None,
        Leaves::Resets => {
            let linger = libc::linger {
                l_onoff: 1,
                l_linger: 0,
            };
            let length = u32::try_from(size_of_val(&linger)).expect("a small number");
            // SAFETY: the option's value and its length belong together.
            let set = unsafe {
                libc::setsockopt(
                    std::os::fd::AsRawFd::as_raw_fd(&stream),
                    libc::SOL_SOCKET,
                    libc::SO_LINGER,
                    (&raw const linger).cast(),
                    length,
                )
            };
            assert_eq!(set, 0);
            None
        }
        Leaves::HalfCloses => {
            stream.shutdown(Shutdown::Write).expect("an open stream");
            Some(stream)
        }
    }
}

/// Ids of requests that reach an endpoint which is listed only after the caller of a row left.
///
/// The first request of the row waits for an endpoint when the caller leaves.
fn reach_an_endpoint_after_leaving(bytes: usize, how: Leaves) -> Vec<String> {
    let deployment = Deployment::unconfigured();
    let mut look = route("patient-look", "/patient-look/", "idempotent", "console");
    look["timeoutS"] = json!(25.0);
    deployment.configure(2, &json!([look]));
    let instance = deployment.ready_instance("one");
    deployment.unlist(&deployment.c);
    until("the endpoint is gone", || {
        let reply = instance.try_call("GET /status/1", "X-Request-Id: gone\r\n", "");
        reply.is_none_or(|reply| reply.status != 200)
    });
    let before = deployment.c.ran().len();
    let stream = send_row(&instance, &row("/patient-look/", bytes));
    until("the row waits", || {
        !instance.metrics().contains("citronway_waiting 0")
    });
    let _half_closed = leave(stream, how);
    thread::sleep(CANCEL_WITHIN);
    deployment.list(&deployment.c, "ready");
    until("the endpoint serves again", || {
        let reply = instance.try_call("GET /status/1", "X-Request-Id: new\r\n", "");
        reply.is_some_and(|reply| reply.status == 200)
    });
    let ran = deployment.c.ran().split_off(before);
    ran.into_iter()
        .map(|ran| ran.id)
        .filter(|id| id.starts_with("row-"))
        .collect()
}

/// Failure: the end of a connection is not seen behind unread requests, and work is done for
/// nobody.
#[gtest]
fn a_waiting_request_is_not_sent_after_its_caller_closed_behind_further_requests() {
    let reached = reach_an_endpoint_after_leaving(0, Leaves::Closes);
    expect_that!(reached, is_empty());
}

/// Failure: the same with a reset.
#[gtest]
fn a_waiting_request_is_not_sent_after_its_caller_reset_the_connection() {
    let reached = reach_an_endpoint_after_leaving(0, Leaves::Resets);
    expect_that!(reached, is_empty());
}

/// Failure: the same where only the caller's direction is closed.
#[gtest]
fn a_waiting_request_is_not_sent_after_its_caller_half_closed_the_connection() {
    let reached = reach_an_endpoint_after_leaving(0, Leaves::HalfCloses);
    expect_that!(reached, is_empty());
}

/// Failure: the same where more requests are unread than the read buffer holds.
#[gtest]
fn a_waiting_request_is_not_sent_after_its_caller_closed_behind_a_long_row() {
    let reached = reach_an_endpoint_after_leaving(LONG_ROW_BYTES, Leaves::Closes);
    expect_that!(reached, is_empty());
}

/// Failure: the same with a reset, or with only the caller's direction closed.
#[gtest]
fn a_waiting_request_is_not_sent_after_its_caller_left_otherwise_behind_a_long_row() {
    for how in [Leaves::Resets, Leaves::HalfCloses] {
        let reached = reach_an_endpoint_after_leaving(LONG_ROW_BYTES, how);
        expect_that!(reached, is_empty(), "{how:?}");
    }
}

/// Failure: an endpoint works on for a caller that left behind further requests.
#[gtest]
fn work_is_cancelled_after_its_caller_closed_behind_further_requests() {
    let (deployment, silent) = silent_deployment();
    let instance = deployment.ready_instance("one");
    let stream = send_row(&instance, &row("/patient-look/", 0));
    until("the endpoint has a request", || silent.connections() > 0);
    leave(stream, Leaves::Closes);
    let left = Instant::now();
    until("all connections are dropped", || {
        silent.open_connections() == 0
    });
    expect_that!(left.elapsed(), le(CANCEL_WITHIN));
    let count = silent.connections();
    thread::sleep(CANCEL_WITHIN);
    expect_that!(silent.connections(), eq(count));
}

/// Failure: a neighbor's endpoints work on for a caller that left behind further requests.
#[gtest]
fn work_at_a_neighbor_is_cancelled_after_its_caller_left() {
    for how in [Leaves::Closes, Leaves::Resets, Leaves::HalfCloses] {
        let (deployment, silent) = silent_deployment();
        let proxies = [&deployment.a, &deployment.b].map(|endpoint| {
            let proxy = Proxy::start(endpoint.address()).expect("a proxy");
            let mut entry = endpoint.entry("ready");
            entry["addr"] = json!(proxy.address);
            deployment.store.put("servers", endpoint.name(), &entry);
            proxy
        });
        let proxy = Proxy::start(silent.address()).expect("a proxy");
        let mut entry = silent.entry("console");
        entry["addr"] = json!(proxy.address);
        deployment.store.put("servers", "i-mute", &entry);
        let instances = ["one", "two"].map(|name| deployment.ready_instance(name));
        for proxy in proxies.iter().chain([&proxy]) {
            proxy.set_for(instances[0].callers.ip(), Mode::Reset);
        }
        until("the first instance has noticed the cut", || {
            let _refused = instances[0].try_call("GET /look/1", "X-Shard-Key: 7\r\n", "");
            instances[0].metrics().contains("citronway_cut_off 1")
        });
        let stream = send_row(&instances[0], &row("/patient-look/", 0));
        until("the endpoint has the row", || silent.open_connections() > 1);
        let _half_closed = leave(stream, how);
        let left = Instant::now();
        until("all connections are dropped", || {
            silent.open_connections() == 0
        });
        expect_that!(left.elapsed(), le(CANCEL_WITHIN), "{how:?}");
    }
}
