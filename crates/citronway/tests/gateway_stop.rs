//! What callers are told when an instance stops while their requests are under way.
//!
//! Story: two callers of a deployment of 61 instances sent whole requests to instances
//! that had been told to stop two seconds before. One request had reached an owner that no
//! longer held its key. Owners had long queues. 5.5 s
//! after the signal the processes ended, and the callers saw their connections close: no
//! answer, no refusal, and no word on whether a migration had run.
//! Cause: an instance that stops waited for the answers of endpoints until its own end and
//! gave no answer of its own to what was still there.
//! Evidence: on five days that were made like it, 33 requests were left without an answer when
//! instances ended; all 33 stood at an endpoint, 15 after a first one had said that it does
//! not hold the key; none waited in admission, none had its answer on the way.

mod gateway_support;

use std::net::TcpStream;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use gateway_support::{
    Deployment, Instance, Reply, SilentEndpoint, exchange, head, route, silent_deployment, until,
};
use googletest::prelude::*;
use serde_json::json;

/// Time that callers state to wait, in milliseconds: longer than an instance takes to stop.
const LONG_MS: u64 = 12_000;

/// Time that the settings give an instance to stop.
const GRACE: Duration = Duration::from_secs(6);

/// Starts of an instance with a signal each: without the guard 8 to 12 of them end by it.
const STARTS: usize = 30;

/// Sends a request and returns once the mute endpoint has it.
fn call(
    instance: &Instance,
    mute: &SilentEndpoint,
    start: &'static str,
) -> JoinHandle<Option<Reply>> {
    let callers = instance.callers;
    let call = thread::spawn(move || {
        let head = head(start, "X-Request-Id: e\r\n", LONG_MS, 1);
        exchange(callers, &head, "x")
    });
    until("the endpoint has a connection", || mute.connections() > 0);
    call
}

/// What the caller gets; the process of its instance ends after it.
fn told(call: JoinHandle<Option<Reply>>, instance: &mut Instance) -> Option<u16> {
    let reply = call.join().expect("the caller ends");
    until("the process ends", || instance.ended() == Some(0));
    reply.map(|reply| reply.status)
}

/// What a caller gets whose request is at the mute endpoint while its instance stops.
fn told_at_the_end(start: &'static str) -> Option<u16> {
    let (deployment, mute) = silent_deployment();
    let mut instance = deployment.ready_instance("one");
    let call = call(&instance, &mute, start);
    instance.terminate();
    told(call, &mut instance)
}

#[gtest]
fn work_at_an_endpoint_has_an_answer_before_the_process_ends() {
    // It was sent and may have run: nothing may say that it has not.
    expect_that!(
        told_at_the_end("POST /patient/1"),
        some(any![eq(502), eq(504)])
    );
}

#[gtest]
fn a_look_at_an_endpoint_has_an_answer_before_the_process_ends() {
    expect_that!(
        told_at_the_end("GET /patient-look/1"),
        some(any![eq(502), eq(503), eq(504)])
    );
}

/// A key whose endpoints are gone: its request waits at the instance and reaches nobody.
#[gtest]
fn what_waits_when_an_instance_stops_is_told_that_it_has_not_run() {
    let deployment = Deployment::unconfigured();
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
    expect_that!(told(call, &mut instance), some(eq(503)));
}

/// Has an instance whose grace is now 2 s stop, with a request at the mute endpoint.
fn expect_short_stop(mut instance: Instance, mute: &SilentEndpoint) {
    let call = call(&instance, mute, "POST /patient/1");
    instance.terminate();
    let begun = Instant::now();
    let reply = call.join().expect("the caller ends");
    // Nine tenths of the new grace are 1.8 s, of the old one 5.4 s.
    expect_that!(begun.elapsed(), lt(Duration::from_secs(4)));
    let status = reply.map(|reply| reply.status);
    expect_that!(status, some(any![eq(502), eq(504)]));
    until("the process ends", || instance.ended() == Some(0));
}

/// An operator shortens the grace while the instance runs. It went on by the old one, was
/// killed in the middle of it, and what was at endpoints had no answer.
#[gtest]
fn a_grace_that_was_shortened_holds_for_the_next_stop() {
    let (deployment, mute) = silent_deployment();
    let mut instance = deployment.instance_with_piped_logs("one");
    until("the instance is ready", || instance.is_ready());
    deployment.set_grace("one", 2);
    instance.hang_up();
    instance.read_log_until("settings read again, changed");
    expect_short_stop(instance, &mute);
}

/// The platform shortens the grace in the settings of an instance and sends no signal for it.
/// The instance went by the grace that it had read at its start, and was killed before what
/// was at endpoints had an answer.
#[gtest]
fn a_grace_that_was_shortened_without_a_signal_holds_for_the_next_stop() {
    let (deployment, mute) = silent_deployment();
    let instance = deployment.ready_instance("one");
    deployment.set_grace("one", 2);
    expect_short_stop(instance, &mute);
}

/// A machine is suspended, or has no processor for a while, when its instance stops. It goes on
/// after the time by which each request was to have an answer and be on its way. The instance
/// gave its answers and ended in the same moment, and nobody got one.
#[gtest]
fn an_instance_that_was_paused_across_its_grace_answers_before_it_ends() {
    let (deployment, mute) = silent_deployment();
    let mut instance = deployment.ready_instance("one");
    let call = call(&instance, &mute, "POST /patient/1");
    instance.terminate();
    until("it knows that it is to stop", || !instance.is_ready());
    instance.pause();
    let paused = Instant::now();
    until("its grace is over", || paused.elapsed() > GRACE);
    instance.resume();
    expect_that!(told(call, &mut instance), some(any![eq(502), eq(504)]));
}

/// Settings change while an instance starts. It took callers before it listened for signals,
/// ended by the one that says so, and its callers saw their connections close.
#[gtest]
fn a_signal_that_comes_with_the_first_caller_does_not_end_the_process() {
    let deployment = Deployment::new();
    for start in 0..STARTS {
        let mut instance = deployment.instance(&format!("start-{start}"));
        // Without a pause between two looks: the signal has to come at once.
        let begun = Instant::now();
        while TcpStream::connect(instance.callers).is_err() {
            assert!(begun.elapsed() < GRACE, "it takes no callers");
        }
        instance.hang_up();
        until("it has started or ended", || {
            !instance.metrics().is_empty() || instance.ended().is_some()
        });
        expect_that!(instance.ended(), none());
    }
}
