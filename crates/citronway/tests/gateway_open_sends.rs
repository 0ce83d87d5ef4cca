//! Requests at an endpoint that takes longer than usual.

mod gateway_support;

use std::thread;
use std::time::{Duration, Instant};

use citronway_standin::shared::FencedEndpoint;
use gateway_support::{Deployment, Instance, Reply, SilentEndpoint, exchange, head, until};
use googletest::prelude::*;
use serde_json::json;

/// Time that a slow endpoint takes: more than an instance waits before it asks for another one, and
/// less than the route allows.
const SLOW: Duration = Duration::from_millis(2_200);

/// Wait that callers state, in milliseconds.
const CALLER_WAIT_MS: u64 = 5_000;

/// A deployment whose endpoint for `console` is slow.
fn slow_deployment() -> Deployment {
    let deployment = Deployment::new();
    deployment.c.work(SLOW);
    deployment
}

/// A second endpoint for `console`, which is not listed yet.
fn second_endpoint() -> FencedEndpoint {
    FencedEndpoint::start("i-d", "console", false).expect("an endpoint")
}

/// An instance that may send nothing again.
fn instance_without_second_sends(deployment: &Deployment) -> Instance {
    deployment.instance_with("one", |settings| {
        settings["terms"]["bounds"]["retryRatio"] = json!(0.0);
        settings["terms"]["bounds"]["retrySlack"] = json!(0.0);
    })
}

fn call(instance: &Instance) -> Reply {
    instance.call_with("GET /status/1", "X-Request-Id: slow\r\n", "")
}

/// Guards against work that is cut at a slow endpoint although no other one takes the request.
#[gtest]
fn a_slow_endpoint_answers_where_there_is_no_other() {
    let deployment = slow_deployment();
    let instance = deployment.ready_instance("one");
    expect_that!(call(&instance).status, eq(200));
    expect_that!(deployment.c.ran().len(), eq(1));
}

/// Guards against work that is cut at a slow endpoint although the budget of second sends is used up.
#[gtest]
fn a_slow_endpoint_answers_where_no_second_send_is_left() {
    let deployment = slow_deployment();
    let second = second_endpoint();
    second.work(SLOW);
    deployment.list(&second, "ready");
    let instance = instance_without_second_sends(&deployment);
    expect_that!(call(&instance).status, eq(200));
    expect_that!(deployment.c.ran().len() + second.ran().len(), eq(1));
}

/// Guards against work that is cut at a slow endpoint while the instance stops.
#[gtest]
fn a_slow_endpoint_answers_while_the_instance_stops() {
    let deployment = slow_deployment();
    let instance = deployment.ready_instance("one");
    let callers = instance.callers;
    let asked = thread::spawn(move || {
        let head = head("GET /status/1", "X-Request-Id: slow\r\n", CALLER_WAIT_MS, 0);
        exchange(callers, &head, "")
    });
    until("the endpoint has it", || deployment.c.ran().len() == 1);
    instance.terminate();
    let reply = asked.join().expect("the caller ends").expect("an answer");
    expect_that!(reply.status, eq(200));
}

/// Calls while the first endpoint is slow, and lists a second one once the first has the request.
fn call_with_late_second(second: &FencedEndpoint) -> Reply {
    let deployment = slow_deployment();
    let instance = deployment.ready_instance("one");
    thread::scope(|scope| {
        let asked = scope.spawn(|| call(&instance));
        until("the first endpoint has it", || {
            deployment.c.ran().len() == 1
        });
        deployment.list(second, "ready");
        asked.join().expect("the caller ends")
    })
}

fn expect_answer_of_first(reply: &Reply) {
    expect_that!(reply.status, eq(200));
    let signature = reply.header("x-response-signature");
    expect_that!(signature, some(eq("signed.i-c")));
}

/// Guards against the loss of the first endpoint's work when the second endpoint has no room after all.
#[gtest]
fn a_slow_endpoint_answers_where_the_next_one_rejects_the_request() {
    let second = second_endpoint();
    second.full(true);
    expect_answer_of_first(&call_with_late_second(&second));
}

/// Guards against the loss of the first endpoint's work when the second endpoint fails.
#[gtest]
fn a_slow_endpoint_answers_where_the_next_one_fails() {
    let second = second_endpoint();
    second.answer_next(&[500]);
    expect_answer_of_first(&call_with_late_second(&second));
    expect_that!(second.ran().len(), eq(1));
}

/// Guards against the loss of the first endpoint's work when the second endpoint breaks off.
#[gtest]
fn a_slow_endpoint_answers_where_the_next_one_gives_no_answer() {
    let second = second_endpoint();
    second.drop_answers(true);
    expect_answer_of_first(&call_with_late_second(&second));
    expect_that!(second.ran().len(), eq(1));
}

/// Guards against waiting for the second endpoint when the first one answers after all.
#[gtest]
fn the_first_answer_counts_once_both_endpoints_have_the_request() {
    let second = second_endpoint();
    second.work(SLOW);
    expect_answer_of_first(&call_with_late_second(&second));
    expect_that!(second.ran().len(), eq(1));
}

/// Guards against a request that stays at an endpoint which has stopped answering although another
/// one takes it.
#[gtest]
fn a_request_at_a_silent_endpoint_is_answered_by_the_next_one() {
    let deployment = Deployment::new();
    deployment.unlist(&deployment.c);
    let silent = SilentEndpoint::start();
    deployment
        .store
        .put("servers", "i-mute", &silent.entry("console"));
    let instance = deployment.ready_instance("one");
    let second = second_endpoint();
    let began = Instant::now();
    let reply = thread::scope(|scope| {
        let asked = scope.spawn(|| call(&instance));
        until("the silent endpoint has it", || silent.connections() > 0);
        deployment.list(&second, "ready");
        asked.join().expect("the caller ends")
    });
    expect_that!(reply.status, eq(200));
    expect_that!(began.elapsed(), lt(SLOW));
    until("the first send is dropped", || {
        silent.open_connections() == 0
    });
}

/// Guards against a long pause after a rejected second send although a third endpoint is free.
#[gtest]
fn a_rejected_second_send_is_followed_by_the_next_one() {
    let deployment = Deployment::new();
    deployment.unlist(&deployment.c);
    let silent = SilentEndpoint::start();
    deployment
        .store
        .put("servers", "i-mute", &silent.entry("console"));
    let instance = deployment.ready_instance("one");
    let full = second_endpoint();
    full.full(true);
    let free = FencedEndpoint::start("i-e", "console", false).expect("an endpoint");
    let began = Instant::now();
    let reply = thread::scope(|scope| {
        let asked = scope.spawn(|| call(&instance));
        until("the silent endpoint has it", || silent.connections() > 0);
        deployment.list(&full, "ready");
        deployment.list(&free, "ready");
        asked.join().expect("the caller ends")
    });
    expect_that!(reply.status, eq(200));
    // Two silences of 1.5 s would miss the timeout of the route.
    expect_that!(began.elapsed(), lt(Duration::from_millis(2_800)));
}
