//! What logs and metrics tell of requests without an answer, and of a stop.
//!
//! Story: instances that were told to stop ended with requests unanswered. The engineers
//! on call had the logs and the metrics and could not tell where the requests stood, for
//! how long, or how far the instances had come in stopping.

mod gateway_support;

use std::io::Write as _;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;

use gateway_support::{
    Deployment, Instance, Logs, SilentEndpoint, exchange, head, silent_deployment, until,
};
use googletest::prelude::*;
use serde_json::json;

/// Time that callers state to wait, in milliseconds: longer than an instance takes to stop.
const LONG_MS: u64 = 12_000;

/// An instance with an endpoint for `console` that takes connections and reads nothing.
struct Stuck {
    // Each ends when it is dropped.
    _deployment: Deployment,
    mute: SilentEndpoint,
    instance: Instance,
    logs: Logs,
}

impl Stuck {
    fn start() -> Self {
        let (deployment, mute) = silent_deployment();
        let mut instance = deployment.instance_with_piped_logs("one");
        let logs = instance.logs();
        until("the instance is ready", || instance.is_ready());
        Self {
            _deployment: deployment,
            mute,
            instance,
            logs,
        }
    }

    /// Waits until the metrics have a line.
    fn shows(&self, line: &str) {
        until(line, || self.instance.metrics().contains(line));
    }
}

/// Sends a request and leaves the connection open.
fn send(address: SocketAddr, start: &str, id: &str, body: &str, length: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let id = format!("X-Request-Id: {id}\r\n");
    let head = head(start, &id, LONG_MS, length);
    stream.write_all(head.as_bytes()).expect("a head is sent");
    stream.write_all(body.as_bytes()).expect("a body is sent");
    stream
}

/// Callers report silence; the metrics said how many requests waited for a place, and
/// nothing of those that were being read or stood elsewhere, or of callers' connections.
#[gtest]
fn metrics_show_where_unanswered_requests_stand() {
    let stuck = Stuck::start();
    let callers = stuck.instance.callers;
    let _reading = send(callers, "POST /patient/1", "r", "half", 8);
    stuck.shows("citronway_unanswered{stage=\"reading\"} 1\n");
    let _sent = send(callers, "POST /patient/2", "s", "x", 1);
    stuck.shows("citronway_unanswered{stage=\"at_endpoint\"} 1\n");
    stuck.shows("citronway_connections 2\n");
    for stage in ["waiting", "connecting", "answering"] {
        stuck.shows(&format!("citronway_unanswered{{stage=\"{stage}\"}} 0\n"));
    }
}

/// A caller says that it gave up. Its request has no last line, so that nobody can tell
/// whether it was lost here or the caller left.
#[gtest]
fn a_caller_that_leaves_has_a_line_and_is_counted() {
    let stuck = Stuck::start();
    let caller = send(stuck.instance.callers, "POST /patient/1", "g", "x", 1);
    stuck.shows("citronway_unanswered{stage=\"at_endpoint\"} 1\n");
    caller.shutdown(Shutdown::Both).expect("the caller leaves");
    let line = stuck.logs.line("caller left before its answer");
    expect_that!(line["request"], eq(&json!("g")));
    expect_that!(line["stage"], eq(&json!("at_endpoint")));
    expect_that!(line["endpoint"].as_str(), some(starts_with("i-mute")));
    expect_that!(line["stage_ms"].as_u64(), some(anything()));
    stuck.shows("citronway_callers_left_total{stage=\"at_endpoint\"} 1\n");
    stuck.shows("citronway_unanswered{stage=\"at_endpoint\"} 0\n");
}

/// The log of an instance that stopped said when it was asked to and nothing more until its
/// end; an answer that it gave itself read like one of an endpoint that broke off.
#[gtest]
fn each_stage_of_a_stop_is_a_line_and_what_is_broken_off_has_its_endpoint() {
    let mut stuck = Stuck::start();
    let callers = stuck.instance.callers;
    let call = thread::spawn(move || {
        let head = head("POST /patient/1", "X-Request-Id: e\r\n", LONG_MS, 1);
        exchange(callers, &head, "x")
    });
    until("the endpoint has a connection", || {
        stuck.mute.connections() > 0
    });
    stuck.shows("citronway_unanswered{stage=\"at_endpoint\"} 1\n");
    stuck.instance.terminate();
    let reply = call.join().expect("the caller ends");
    expect_that!(reply.map(|reply| reply.status), some(eq(502)));
    until("the process ends", || stuck.instance.ended() == Some(0));
    stuck.logs.line("instance stops");
    let lines = stuck.logs.all();
    let asked = lines.iter().position(|l| l["message"] == "asked to stop");
    let after = &lines[asked.expect("the signal is logged")..];
    let told: Vec<_> = after.iter().filter_map(|l| l["message"].as_str()).collect();
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
    let seen: Vec<_> = told.into_iter().filter(|m| stages.contains(m)).collect();
    expect_that!(seen, container_eq(stages));

    let line = |message| stuck.logs.line(message);
    expect_that!(line("asked to stop")["grace_ms"], eq(&json!(6_000)));
    let ending = line("what has no answer gets one now");
    expect_that!(ending["at_endpoint"], eq(&json!(1)));
    let broken = line("broken off by the stop");
    expect_that!(broken["request"], eq(&json!("e")));
    expect_that!(broken["stage"], eq(&json!("at_endpoint")));
    expect_that!(broken["endpoint"].as_str(), some(starts_with("i-mute")));
    expect_that!(broken["fence"], eq(&json!(0)));
    // It was there from before the signal to nine tenths of the grace after it.
    expect_that!(broken["stage_ms"].as_u64(), some(ge(5_000)));
    expect_that!(line("may have run")["reason"], eq(&json!("stopped")));
    expect_that!(
        line("the last connections end")["connections"],
        eq(&json!(0))
    );
    let left = |l: &serde_json::Value| l["message"] == "caller left before its answer";
    expect_that!(lines.iter().any(left), eq(false));
}

/// A caller sends a time that is none and asks why it gets a 400. Its answer had no id, its
/// line neither, and the metrics did not count it.
#[gtest]
fn a_malformed_request_is_counted_and_keeps_its_id() {
    let stuck = Stuck::start();
    let names = "X-Request-Id: m\r\nX-Shard-Key: one\r\n";
    let reply = stuck.instance.call_with("GET /look/1", names, "");
    expect_that!(reply.status, eq(400));
    expect_that!(reply.header("x-request-id"), some(eq("m")));
    let line = stuck.logs.line("a request is malformed");
    expect_that!(line["request"], eq(&json!("m")));
    expect_that!(stuck.logs.line("rejected")["request"], eq(&json!("m")));
    let counted =
        r#"citronway_requests_total{repeat="unknown",rank="3",outcome="rejected",reason=""} 1"#;
    expect_that!(stuck.instance.metrics(), contains_substring(counted));
}

/// An instance ends at once, again and again, and its logs end with its start.
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
