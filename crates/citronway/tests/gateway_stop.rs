//! What callers are told when an instance stops while their requests are under way.
//!
//! Story: two callers of a deployment of 61 instances sent whole requests to instances
//! that had been told to stop two seconds before. One request had reached an owner that no
//! longer held its key and was then sent to the next one. Both owners had long queues. 5.5 s
//! after the signal the processes ended, and the callers saw their connections close: no
//! answer, no refusal, and no word on whether a migration had run.
//! Cause: an instance that stops waited for the answers of endpoints until its own end and
//! gave no answer of its own to what was still there.
//! Evidence: on a day that was made like it, 9 requests were left without an answer when
//! instances ended; all nine stood at an endpoint, five after a first one had said that it
//! does not hold the key; none waited in admission, none had its answer on the way.

mod gateway_support;

use std::thread;
use std::time::{Duration, Instant};

use gateway_support::{Deployment, MuteEndpoint, Reply, exchange, head, route, until};
use googletest::prelude::*;
use serde_json::json;

/// Time that callers state to wait, in milliseconds: longer than an instance takes to stop.
const LONG_MS: u64 = 12_000;

/// Routes that wait longer than an instance takes to stop, to a service of mute endpoints.
fn patient_routes() -> serde_json::Value {
    let mut look = route("patient-look", "/patient-look/", "idempotent", "console");
    let mut order = route("patient", "/patient/", "non_idempotent", "console");
    for route in [&mut look, &mut order] {
        route["timeoutS"] = json!(11.0);
    }
    json!([look, order])
}

/// A deployment with one endpoint for `console`, which takes connections and reads nothing.
fn mute_deployment() -> (Deployment, MuteEndpoint) {
    let deployment = Deployment::bare();
    let mute = MuteEndpoint::start();
    deployment.unlist(&deployment.c);
    deployment
        .store
        .put("servers", "i-mute", &mute.entry("console"));
    deployment.configure(2, &patient_routes());
    (deployment, mute)
}

/// What a caller gets whose request is at the mute endpoint while its instance stops.
fn told_at_the_end(start: &'static str) -> Option<Reply> {
    let (deployment, mute) = mute_deployment();
    let mut instance = deployment.ready_instance("one");
    let callers = instance.callers;
    let call = thread::spawn(move || {
        let head = head(start, "X-Request-Id: e\r\n", LONG_MS, 1);
        exchange(callers, &head, "x")
    });
    until("the endpoint has a connection", || mute.connections() > 0);
    instance.terminate();
    let reply = call.join().expect("the caller ends");
    until("the process ends", || instance.ended() == Some(0));
    reply
}

#[gtest]
fn work_at_an_endpoint_has_an_answer_before_the_process_ends() {
    let reply = told_at_the_end("POST /patient/1");
    // It was sent and may have run: nothing may say that it has not.
    expect_that!(
        reply.map(|reply| reply.status),
        some(any![eq(502), eq(504)])
    );
}

#[gtest]
fn a_look_at_an_endpoint_has_an_answer_before_the_process_ends() {
    let reply = told_at_the_end("GET /patient-look/1");
    expect_that!(
        reply.map(|reply| reply.status),
        some(any![eq(502), eq(503), eq(504)])
    );
}

/// A key whose endpoints are gone: its request waits at the instance and reaches nobody.
#[gtest]
fn what_waits_when_an_instance_stops_is_told_that_it_has_not_run() {
    let deployment = Deployment::bare();
    let mut patient = route("patient", "/patient/", "non_idempotent", "batch");
    patient["timeoutS"] = json!(11.0);
    deployment.configure(2, &json!([patient]));
    let mut instance = deployment.ready_instance("one");
    for endpoint in [&deployment.a, &deployment.b] {
        deployment.unlist(endpoint);
    }
    until("the key is with nobody", || {
        instance.call("GET /look/1", "k", 3, "").status == 503
    });
    let callers = instance.callers;
    let call = thread::spawn(move || {
        let names = "X-Request-Id: w\r\nX-Shard-Key: 3\r\n";
        let head = head("POST /patient/1", names, LONG_MS, 1);
        exchange(callers, &head, "x")
    });
    until("the request waits", || {
        instance.metrics().contains("citronway_waiting 1")
    });
    instance.terminate();
    let reply = call.join().expect("the caller ends");
    expect_that!(reply.map(|reply| reply.status), some(eq(503)));
    until("the process ends", || instance.ended() == Some(0));
}

/// An operator shortens the grace while the instance runs. It went on by the old one, was
/// killed in the middle of it, and what was at endpoints had no answer.
#[gtest]
fn a_grace_that_was_shortened_holds_for_the_next_stop() {
    let (deployment, mute) = mute_deployment();
    let mut instance = deployment.unread_instance("one");
    until("the instance is ready", || instance.is_ready());
    deployment.set_grace("one", 2);
    instance.hang_up();
    instance.read_log_until("settings read again, changed");
    let callers = instance.callers;
    let call = thread::spawn(move || {
        let head = head("POST /patient/1", "X-Request-Id: g\r\n", LONG_MS, 1);
        exchange(callers, &head, "x")
    });
    until("the endpoint has a connection", || mute.connections() > 0);
    instance.terminate();
    let told = Instant::now();
    let reply = call.join().expect("the caller ends");
    expect_that!(
        reply.map(|reply| reply.status),
        some(any![eq(502), eq(504)])
    );
    // Nine tenths of the new grace are 1.8 s, of the old one 5.4 s.
    expect_that!(told.elapsed(), lt(Duration::from_secs(4)));
    until("the process ends", || instance.ended() == Some(0));
}

/// A machine holds the process up over the last part of its grace. When it went on, the time
/// for its answers had passed by the clock, and it ended at once: callers had no answer.
#[gtest]
fn an_instance_that_was_held_up_answers_before_it_ends() {
    let grace = Duration::from_secs(2);
    let (deployment, mute) = mute_deployment();
    let mut instance = deployment.unread_instance("one");
    until("the instance is ready", || instance.is_ready());
    deployment.set_grace("one", grace.as_secs());
    instance.hang_up();
    instance.read_log_until("settings read again, changed");
    let callers = instance.callers;
    let call = thread::spawn(move || {
        let head = head("POST /patient/1", "X-Request-Id: p\r\n", LONG_MS, 1);
        exchange(callers, &head, "x")
    });
    until("the endpoint has a connection", || mute.connections() > 0);
    instance.terminate();
    until("the instance stops", || !instance.is_ready());
    instance.pause();
    thread::sleep(grace);
    instance.go_on();
    let reply = call.join().expect("the caller ends");
    expect_that!(
        reply.map(|reply| reply.status),
        some(any![eq(502), eq(504)])
    );
    until("the process ends", || instance.ended() == Some(0));
}
