//! Endpoints that state how many requests a second they take from all instances together.

mod gateway_support;

use std::time::{Duration, Instant};

use citronway_standin::shared::{Excess, FencedEndpoint, STABLE};
use gateway_support::load::{KEY, Load};
use gateway_support::{Deployment, Instance, until};
use googletest::prelude::*;

/// Time for which a limit is watched.
const WATCHED: Duration = Duration::from_secs(8);

/// Part of a limit that is used at least while enough work waits.
const USED_PART: f64 = 0.9;

/// Lets time pass while a limit is in force.
fn watch() -> (Instant, Instant) {
    std::thread::sleep(STABLE);
    let from = Instant::now();
    std::thread::sleep(WATCHED);
    (from, Instant::now())
}

fn first_excess(endpoint: &FencedEndpoint) -> Option<Excess> {
    let excesses = endpoint.limits().excesses(|_, _| false);
    excesses.first().copied()
}

/// A deployment in which endpoint `a` owns all keys.
fn one_owner() -> Deployment {
    let deployment = Deployment::new();
    deployment.unlist(&deployment.b);
    deployment
}

/// Guards against instances that together send an endpoint more than it states.
#[gtest]
fn all_instances_together_keep_the_limit_that_an_endpoint_states() {
    let deployment = one_owner();
    let instances = deployment.three_instances(KEY);
    let owner = &deployment.a;
    let endpoints = [(owner, 6.0), (&deployment.c, 4.0)];
    let _keyed = instances.each_ref().map(|i| Load::start(i, "GET /look/1"));
    let _others = instances
        .each_ref()
        .map(|i| Load::start(i, "GET /status/1"));
    for (endpoint, per_s) in endpoints {
        endpoint.state_limit(Some(per_s));
    }
    for instance in &instances {
        until("the instance was told", || {
            let metrics = instance.metrics();
            metrics.contains("citronway_limited_endpoints 2\n")
        });
    }
    let (from, until) = watch();
    for (endpoint, per_s) in endpoints {
        let name = endpoint.name();
        expect_that!(first_excess(endpoint), none(), "{name}");
        let used = endpoint.limits().arrived(from, until) as f64 / WATCHED.as_secs_f64();
        expect_that!(used, ge(per_s * USED_PART), "{name}");
    }
}

/// Guards against fixed shares of a limit: one instance has all the work and may use a third.
#[gtest]
fn an_instance_that_has_all_the_work_uses_the_whole_limit() {
    let deployment = one_owner();
    let instances = deployment.three_instances(KEY);
    let owner = &deployment.a;
    let _load = Load::start(&instances[1], "GET /look/1");
    owner.state_limit(Some(8.0));
    let (from, until) = watch();
    expect_that!(first_excess(owner), none());
    let used = owner.limits().arrived(from, until) as f64 / WATCHED.as_secs_f64();
    expect_that!(used, ge(8.0 * USED_PART));
}

/// Guards against a limit that outlives its end, and against an endpoint with a limit of zero that
/// is never asked again.
#[gtest]
fn a_limit_of_zero_ends_with_an_answer_that_states_none() {
    let deployment = one_owner();
    let instances = deployment.three_instances(KEY);
    let owner = &deployment.a;
    let _load = instances.each_ref().map(|i| Load::start(i, "GET /look/1"));
    owner.state_limit(Some(0.0));
    watch();
    expect_that!(first_excess(owner), none());
    owner.state_limit(None);
    for instance in &instances {
        until("the limit has ended", || {
            instance
                .metrics()
                .contains("citronway_limited_endpoints 0\n")
        });
    }
    let from = Instant::now();
    std::thread::sleep(STABLE);
    expect_that!(owner.limits().arrived(from, Instant::now()), ge(100));
}

/// Guards against a limit that holds only at instances with an answer of their own: one that
/// starts, and one that has had no request, know it from the others.
#[gtest]
fn instances_that_were_not_told_hear_of_a_limit() {
    let deployment = one_owner();
    let mut instances = deployment.three_instances(KEY);
    let owner = &deployment.a;
    owner.state_limit(Some(5.0));
    let _load = Load::start(&instances[0], "GET /look/1");
    let knows = |instance: &Instance| {
        let metrics = instance.metrics();
        metrics.contains("citronway_limited_endpoints 1\n")
    };
    for instance in &instances {
        until("the limit is known", || knows(instance));
    }
    instances[2].kill();
    deployment.restart(&mut instances[2]);
    until("the limit is known after a start", || knows(&instances[2]));
}

/// Guards against requests that wait for a limited endpoint while others are free.
#[gtest]
fn other_endpoints_take_what_a_limited_one_does_not() {
    let deployment = Deployment::new();
    let other = FencedEndpoint::start("i-d", "console", false).expect("an endpoint");
    deployment.list(&other, "ready");
    let instances = deployment.three_instances(KEY);
    deployment.c.state_limit(Some(2.0));
    let _load = instances
        .each_ref()
        .map(|i| Load::start(i, "POST /order/1"));
    let (from, until) = watch();
    expect_that!(first_excess(&deployment.c), none());
    expect_that!(other.limits().arrived(from, until), ge(200));
    for instance in &instances {
        let metrics = instance.metrics();
        expect_that!(metrics, not(contains_substring("endpoint_limited")));
    }
}

/// Guards against a limit that is lost with the leader that grants the sends, and with an instance
/// that stops while callers use their open connections.
#[gtest]
fn a_limit_is_kept_while_instances_stop_and_the_leader_is_lost() {
    let deployment = one_owner();
    let mut instances = deployment.three_instances(KEY);
    let owner = &deployment.a;
    let _load = instances.each_ref().map(|i| Load::start(i, "GET /look/1"));
    owner.state_limit(Some(6.0));
    std::thread::sleep(STABLE);
    let leader = deployment.leader().expect("a leader");
    let lost = instances.iter().position(|i| i.name() == leader);
    let lost = lost.expect("the leader is one of the instances");
    instances[lost].kill();
    instances[(lost + 1) % 3].terminate();
    watch();
    let is_excused = |sender: &str, _: Instant| sender == leader;
    let excesses = owner.limits().excesses(is_excused);
    expect_that!(excesses.first(), none());
}

/// Guards against a malformed limit that ends or changes the one before, or stops the service.
#[gtest]
fn malformed_limits_change_nothing_and_are_counted() {
    let deployment = one_owner();
    let instance = deployment.ready_instance("one");
    let owner = &deployment.a;
    let _load = Load::start(&instance, "GET /look/1");
    owner.state_texts(&["many"]);
    until("it is counted", || {
        let metrics = instance.metrics();
        let counted = |line: &str| line.starts_with("citronway_unusable_total{source=\"limit\"}");
        metrics.lines().any(counted)
    });
    expect_that!(
        instance.metrics(),
        contains_substring("citronway_limited_endpoints 0\n")
    );
    owner.state_limit(Some(5.0));
    until("the limit is known", || {
        let metrics = instance.metrics();
        metrics.contains("citronway_limited_endpoints 1\n")
    });
    owner.state_texts(&["5.0", "6.0"]);
    watch();
    expect_that!(first_excess(owner), none());
}

/// Guards against a refusal that waits for its deadline, or that names no time to come back.
#[gtest]
fn what_a_limit_leaves_no_room_for_is_refused_at_once() {
    let deployment = one_owner();
    let instance = deployment.ready_instance("one");
    let owner = &deployment.a;
    let _load = Load::start(&instance, "GET /look/1");
    owner.state_limit(Some(0.2));
    let mut refusal = None;
    until("a request is refused", || {
        let sent = Instant::now();
        let reply = instance.call("POST /apply/1", "probe", KEY, "x");
        if reply.status == 503 && reply.body == "endpoint_limited" {
            refusal = Some((reply, sent.elapsed()));
        }
        refusal.is_some()
    });
    let (reply, took) = refusal.expect("a refusal");
    let retry_after = reply.header("retry-after").map(str::parse::<f64>);
    expect_that!(retry_after, some(ok(gt(&0.0))));
    expect_that!(took, lt(Duration::from_secs(1)));
}

/// Guards against keys that stay at an endpoint whose limit is too low for them while another one
/// has room.
#[gtest]
fn keys_move_away_from_a_limited_endpoint() {
    let deployment = Deployment::new();
    let instances = deployment.three_instances(KEY);
    let (limited, other) = if deployment.a.holds(KEY) {
        (&deployment.a, &deployment.b)
    } else {
        (&deployment.b, &deployment.a)
    };
    let keys = [KEY, KEY + 1, KEY + 2, KEY + 3];
    let pause = Duration::from_millis(400);
    let _load = Load::on_keys(&instances[0], "GET /look/1", keys, pause);
    limited.state_limit(Some(2.0));
    until("a key moves", || keys.iter().any(|key| other.holds(*key)));
    expect_that!(first_excess(limited), none());
}

/// Guards against a limit that does not reach instances that report through delegates.
#[gtest]
fn thirty_instances_hear_of_a_limit_that_one_was_told() {
    let deployment = one_owner();
    let instances: Vec<_> = (0..30)
        .map(|n| deployment.instance(&format!("front-{n}")))
        .collect();
    for instance in &instances {
        until("the instance is ready", || instance.is_ready());
    }
    until("the key has an owner", || deployment.a.holds(KEY));
    let _load = Load::start(&instances[17], "GET /look/1");
    deployment.a.state_limit(Some(10.0));
    let stated = Instant::now();
    for instance in &instances {
        until("the limit is known", || {
            let metrics = instance.metrics();
            metrics.contains("citronway_limited_endpoints 1\n")
        });
    }
    println!("known at all instances after {:?}", stated.elapsed());
}
