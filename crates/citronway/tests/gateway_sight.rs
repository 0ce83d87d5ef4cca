//! Logs and metrics about unanswered requests and about a stop.
//!
//! Failure guarded against: instances that were asked to stop end with unanswered requests.
//! Logs and metrics do not show at which stage the requests are, for how long, or how far
//! the stop has come.

mod gateway_support;

use std::io::Write as _;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;

use gateway_support::{
    Deployment, Instance, Logs, SilentEndpoint, exchange, head, silent_deployment, until,
};
use googletest::prelude::*;
use serde_json::json;

/// Timeout that callers state, in milliseconds: longer than an instance takes to stop.
const TIMEOUT_MS: u64 = 12_000;

/// An instance with an endpoint for `console` that accepts connections and reads nothing.
struct Stalled {
    // The parts of the deployment end when this is dropped.
    _deployment: Deployment,
    silent: SilentEndpoint,
    instance: Instance,
    logs: Logs,
}

impl Stalled {
    fn start() -> Self {
        let (deployment, silent) = silent_deployment();
        let mut instance = deployment.instance_with_piped_logs("one");
        let logs = instance.logs();
        until("the instance is ready", || instance.is_ready());
        Self {
            _deployment: deployment,
            silent,
            instance,
            logs,
        }
    }

    /// Waits until the metrics have a line.
    fn wait_for_metric(&self, line: &str) {
        until(line, || self.instance.metrics().contains(line));
    }
}

/// Sends a request and leaves the connection open.
fn send(address: SocketAddr, start: &str, id: &str, body: &str, length: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let id = format!("X-Request-Id: {id}\r\n");
    let head = head(start, &id, TIMEOUT_MS, length);
    stream.write_all(head.as_bytes()).expect("a head is sent");
    stream.write_all(body.as_bytes()).expect("a body is sent");
    stream
}

/// Failure guarded against: callers get no answer, and the metrics count only requests that
/// wait for a slot. They show neither requests at other stages, such as those being read,
/// nor callers' connections.
#[gtest]
fn metrics_show_where_unanswered_requests_stand() {
    let stalled = Stalled::start();
    let callers = stalled.instance.callers;
    let _reading = send(callers, "POST /patient/1", "r", "half", 8);
    stalled.wait_for_metric("citronway_unanswered{stage=\"reading\"} 1\n");
    let _sent = send(callers, "POST /patient/2", "s", "x", 1);
    stalled.wait_for_metric("citronway_unanswered{stage=\"at_endpoint\"} 1\n");
    stalled.wait_for_metric("citronway_connections 2\n");
    for stage in ["waiting", "connecting", "answering"] {
        stalled.wait_for_metric(&format!("citronway_unanswered{{stage=\"{stage}\"}} 0\n"));
    }
}

/// Failure guarded against: a caller leaves, and no line ends its request. The logs do not
/// show whether the request was lost here or the caller left.
#[gtest]
fn a_caller_that_leaves_has_a_line_and_is_counted() {
    let stalled = Stalled::start();
    let caller = send(stalled.instance.callers, "POST /patient/1", "g", "x", 1);
    stalled.wait_for_metric("citronway_unanswered{stage=\"at_endpoint\"} 1\n");
    caller.shutdown(Shutdown::Both).expect("the caller leaves");
    let line = stalled.logs.line("caller left before its answer");
    expect_that!(line["request"], eq(&json!("g")));
    expect_that!(line["stage"], eq(&json!("at_endpoint")));
    expect_that!(line["endpoint"].as_str(), some(starts_with("i-mute")));
    expect_that!(line["stage_ms"].as_u64(), some(anything()));
    stalled.wait_for_metric("citronway_callers_left_total{stage=\"at_endpoint\"} 1\n");
    stalled.wait_for_metric("citronway_unanswered{stage=\"at_endpoint\"} 0\n");
}

/// Failure guarded against: the log of an instance that stops has no line between the
/// signal and its end, and an answer that the instance gave itself looks like one of an
/// endpoint that broke off.
#[gtest]
fn each_stage_of_a_stop_is_a_line_and_what_is_broken_off_has_its_endpoint() {
    let mut stalled = Stalled::start();
    let callers = stalled.instance.callers;
    let call = thread::spawn(move || {
        let head = head("POST /patient/1", "X-Request-Id: e\r\n", TIMEOUT_MS, 1);
        exchange(callers, &head, "x")
    });
    until("the endpoint has a connection", || {
        stalled.silent.connections() > 0
    });
    stalled.wait_for_metric("citronway_unanswered{stage=\"at_endpoint\"} 1\n");
    stalled.instance.terminate();
    let reply = call.join().expect("the caller ends");
    expect_that!(reply.map(|reply| reply.status), some(eq(502)));
    until("the process ends", || stalled.instance.ended() == Some(0));
    stalled.logs.line("instance stops");
    let lines = stalled.logs.all();
    let asked = lines.iter().position(|l| l["message"] == "asked to stop");
    let after = &lines[asked.expect("the signal is logged")..];
    let messages: Vec<_> = after.iter().filter_map(|l| l["message"].as_str()).collect();
    let stages = [
        "asked to stop",
        "idle connections are closed",
        "the callers' port is closed",
        "what has no answer gets one now",
        "broken off by the stop",
        "may have run",
        "the last connections end",
        "instance stops",
    ];
    let seen: Vec<_> = messages
        .into_iter()
        .filter(|m| stages.contains(m))
        .collect();
    expect_that!(seen, container_eq(stages));

    let line = |message| stalled.logs.line(message);
    expect_that!(line("asked to stop")["grace_ms"], eq(&json!(6_000)));
    let ending = line("what has no answer gets one now");
    expect_that!(ending["at_endpoint"], eq(&json!(1)));
    let broken = line("broken off by the stop");
    expect_that!(broken["request"], eq(&json!("e")));
    expect_that!(broken["stage"], eq(&json!("at_endpoint")));
    expect_that!(broken["endpoint"].as_str(), some(starts_with("i-mute")));
    expect_that!(broken["fence"], eq(&json!(0)));
    // The request was there from before the signal until nine tenths of the grace had
    // passed.
    expect_that!(broken["stage_ms"].as_u64(), some(ge(5_000)));
    expect_that!(line("may have run")["reason"], eq(&json!("stopped")));
    expect_that!(
        line("the last connections end")["connections"],
        eq(&json!(0))
    );
    let left = |l: &serde_json::Value| l["message"] == "caller left before its answer";
    expect_that!(lines.iter().any(left), eq(false));
}

/// Failure guarded against: a caller sends a malformed time and gets a 400. Neither the
/// answer nor the log line has the request's id, and the metrics do not count it.
#[gtest]
fn a_malformed_request_is_counted_and_keeps_its_id() {
    let stalled = Stalled::start();
    let names = "X-Request-Id: m\r\nX-Shard-Key: one\r\n";
    let reply = stalled.instance.call_with("GET /look/1", names, "");
    expect_that!(reply.status, eq(400));
    expect_that!(reply.header("x-request-id"), some(eq("m")));
    let line = stalled.logs.line("a request is malformed");
    expect_that!(line["request"], eq(&json!("m")));
    expect_that!(stalled.logs.line("rejected")["request"], eq(&json!("m")));
    let counted =
        r#"citronway_requests_total{repeat="unknown",rank="3",outcome="rejected",reason=""} 1"#;
    expect_that!(stalled.instance.metrics(), contains_substring(counted));
}

/// Failure guarded against: an instance ends at once after each start, and its logs do not
/// say why.
#[gtest]
fn a_duty_that_cannot_start_is_in_the_logs_and_in_the_exit_code() {
    let deployment = Deployment::new();
    let mut before = deployment.ready_instance("one");
    before.kill();
    let _taken = TcpListener::bind(before.callers).expect("the port is free again");
    let mut instance = deployment.start_again("one", &before);
    let logs = instance.logs();
    let line = logs.line("a duty failed");
    expect_that!(line["duty"], eq(&json!("traffic")));
    expect_that!(line["cause"].as_str(), some(contains_substring("in use")));
    until("the process ends", || instance.ended() == Some(1));
}
