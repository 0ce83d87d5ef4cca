//! Endpoints that reject requests and ask for rest.

mod gateway_support;

use std::time::{Duration, Instant};

use citronway_standin::shared::FencedEndpoint;
use gateway_support::load::{CALLERS, KEY, Load, PAUSE};
use gateway_support::{Deployment, Instance, until};
use googletest::prelude::*;

/// Rest for which endpoints ask.
const REST: Duration = Duration::from_secs(3);

/// Time for which resting endpoints are watched.
const WATCHED: Duration = Duration::from_secs(7);

/// Time within which a request that cannot be served is refused.
const AT_ONCE: Duration = Duration::from_millis(500);

fn rests(instance: &Instance, count: usize) -> bool {
    let line = format!("citronway_resting_endpoints {count}\n");
    instance.metrics().contains(&line)
}

/// Guards against requests that an instance sends to an endpoint that has asked it for rest: to the
/// owner of a key, and to one of several endpoints.
#[gtest]
fn an_endpoint_that_asks_for_rest_gets_it() {
    let deployment = Deployment::new();
    deployment.unlist(&deployment.b);
    let instances = deployment.three_instances(KEY);
    until("all keys are at one endpoint", || {
        deployment.a.holds(KEY) && !deployment.b.holds(KEY)
    });
    let _keyed = instances.each_ref().map(|i| Load::start(i, "GET /look/1"));
    let _others = instances
        .each_ref()
        .map(|i| Load::start(i, "POST /order/1"));
    let resting = [&deployment.a, &deployment.c];
    for endpoint in resting {
        endpoint.rest(REST);
    }
    std::thread::sleep(WATCHED);
    for endpoint in resting {
        let rests = endpoint.rests();
        expect_that!(rests.asked_count(), ge(1));
        expect_that!(rests.broken().first(), none(), "{}", endpoint.name());
    }
}

/// Guards against work that waits for an endpoint that rests, or fails, while another one is free.
#[gtest]
fn another_endpoint_takes_the_work() {
    let deployment = Deployment::new();
    let other = FencedEndpoint::start("i-d", "console", false).expect("an endpoint");
    deployment.list(&other, "ready");
    let instances = deployment.three_instances(KEY);
    let load = instances
        .each_ref()
        .map(|i| Load::start(i, "POST /order/1"));
    deployment.c.rest(REST);
    until("it has asked for rest", || {
        deployment.c.rests().asked_count() >= instances.len()
    });
    std::thread::sleep(REST);
    expect_that!(deployment.c.rests().broken().first(), none());
    for load in &load {
        let tried = load.take();
        let unserved = tried.iter().filter(|tried| tried.status() != 200);
        expect_that!(unserved.count(), eq(0), "of {}", tried.len());
    }
}

/// Guards against callers who wait for their deadlines, or return before the end of the rest.
#[gtest]
fn what_only_a_resting_endpoint_may_serve_is_refused_at_once() {
    let deployment = Deployment::new();
    let instance = deployment.ready_instance("one");
    deployment.c.rest(REST);
    let asked = Instant::now();
    let first = instance.call("POST /order/1", "first", KEY, "");
    expect_that!(first.status, eq(503));
    let sent = Instant::now();
    let reply = instance.call("POST /order/1", "second", KEY, "");
    expect_that!(reply.status, eq(503));
    expect_that!(reply.body, eq("endpoint_resting"));
    expect_that!(sent.elapsed(), lt(AT_ONCE));
    let retry_after = reply.header("retry-after").map(str::parse::<f64>);
    let left = REST.saturating_sub(asked.elapsed()).as_secs_f64();
    expect_that!(retry_after, some(ok(ge(&left))));
    expect_that!(deployment.c.ran(), is_empty());
}

/// Guards against an endpoint that is given no work for long after its rest, and against requests
/// that return to it all at once.
#[gtest]
fn requests_return_after_the_rest() {
    let deployment = Deployment::new();
    let instances = deployment.three_instances(KEY);
    let _load = instances
        .each_ref()
        .map(|i| Load::start(i, "POST /order/1"));
    let rest = Duration::from_secs(1);
    deployment.c.rest(rest);
    until("it has asked all for rest", || {
        deployment.c.rests().asked_count() >= instances.len()
    });
    deployment.c.stop_resting();
    for instance in &instances {
        until("the rest has ended", || rests(instance, 0));
    }
    std::thread::sleep(rest);
    let from = Instant::now();
    std::thread::sleep(Duration::from_secs(2));
    let arrived = deployment.c.rests().arrived(from, Instant::now());
    expect_that!(arrived, ge(200));
    expect_that!(deployment.c.rests().broken().first(), none());
}

/// Guards against a rest that is lost with a reload of the settings or a stop, and against an
/// endpoint that asks for rest again and again while it leaves.
#[gtest]
fn a_rest_is_kept_while_instances_reload_and_stop_and_the_endpoint_leaves() {
    let deployment = Deployment::new();
    deployment.unlist(&deployment.b);
    let instances = deployment.three_instances(KEY);
    let _keyed = instances.each_ref().map(|i| Load::start(i, "GET /look/1"));
    deployment.a.rest(Duration::from_secs(2));
    until("it has asked for rest", || {
        deployment.a.rests().asked_count() >= 1
    });
    instances[0].hang_up();
    instances[1].terminate();
    deployment.a.leave();
    std::thread::sleep(WATCHED);
    expect_that!(deployment.a.rests().broken().first(), none());
    expect_that!(deployment.a.departure().late().first(), none());
}

/// Guards against keys that stay at an endpoint that asks all instances for rest.
#[gtest]
fn keys_move_away_from_an_endpoint_that_many_give_rest() {
    let deployment = Deployment::new();
    let instances = deployment.three_instances(KEY);
    let (resting, other) = if deployment.a.holds(KEY) {
        (&deployment.a, &deployment.b)
    } else {
        (&deployment.b, &deployment.a)
    };
    let keys = [KEY, KEY + 1, KEY + 2, KEY + 3];
    // A key that has more requests than the other endpoint is expected to serve would stay.
    let pause = Duration::from_millis(400);
    let _load = instances
        .each_ref()
        .map(|i| Load::on_keys(i, "GET /look/1", keys, pause));
    resting.rest(REST);
    until("a key moves", || keys.iter().any(|key| other.holds(*key)));
    expect_that!(resting.rests().broken().first(), none());
}

/// Guards against texts that are taken for a rest, and against one that is missed among them.
#[gtest]
fn texts_that_are_no_rest_change_nothing_and_are_counted() {
    let deployment = Deployment::new();
    let instance = deployment.ready_instance("one");
    let _load = Load::on_keys(&instance, "GET /status/1", [KEY; CALLERS], PAUSE);
    for text in ["-1", "", "soon", "1e300", "inf"] {
        deployment.c.rest_in_texts(&[text], Duration::ZERO);
        std::thread::sleep(PAUSE * 4);
    }
    until("they are counted", || {
        let counted = "citronway_unusable_total{source=\"rest\"}";
        instance
            .metrics()
            .lines()
            .any(|line| line.starts_with(counted))
    });
    expect_that!(rests(&instance, 0), eq(true));
    deployment
        .c
        .rest_in_texts(&["soon", "2.5"], Duration::from_millis(2_500));
    until("the rest is known", || rests(&instance, 1));
}
