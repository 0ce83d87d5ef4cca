//! Endpoints that state in their answers that they leave.

mod gateway_support;

use std::time::{Duration, Instant};

use citronway_standin::shared::{DRAIN, FencedEndpoint, StoreFault};
use gateway_support::load::{CALLERS, KEY, Load, PAUSE};
use gateway_support::{Deployment, Instance, until};
use googletest::prelude::*;

/// Time for which a leaving endpoint is watched.
const WATCHED: Duration = Duration::from_secs(5);

/// Time within which a request that cannot be served is refused.
const AT_ONCE: Duration = Duration::from_millis(500);

/// The endpoint that holds the key of the requests, and the other one of its service.
fn owner_and_other(deployment: &Deployment) -> (&FencedEndpoint, &FencedEndpoint) {
    if deployment.a.holds(KEY) {
        (&deployment.a, &deployment.b)
    } else {
        (&deployment.b, &deployment.a)
    }
}

fn until_told(endpoint: &FencedEndpoint, count: usize) {
    until("instances were told", || {
        endpoint.departure().told_count() >= count
    });
}

fn knows(instance: &Instance, leaving: usize) -> bool {
    let line = format!("citronway_leaving_endpoints {leaving}\n");
    instance.metrics().contains(&line)
}

/// Guards against requests to an endpoint whose answers have said that it leaves, while its entry
/// cannot say so.
#[gtest]
fn nothing_reaches_an_endpoint_after_its_answers_said_that_it_leaves() {
    let deployment = Deployment::new();
    let instances = deployment.three_instances(KEY);
    let owner = if deployment.a.holds(KEY) {
        &deployment.a
    } else {
        &deployment.b
    };
    let _keyed = instances.each_ref().map(|i| Load::start(i, "GET /look/1"));
    let _others = instances
        .each_ref()
        .map(|i| Load::start(i, "GET /status/1"));
    deployment.store.fail(StoreFault::Silent);
    let leaving = [owner, &deployment.c];
    for endpoint in leaving {
        endpoint.leave();
        until("all instances were told", || {
            endpoint.departure().told_count() == instances.len()
        });
    }
    std::thread::sleep(DRAIN + WATCHED);
    for endpoint in leaving {
        expect_that!(
            endpoint.departure().late().first(),
            none(),
            "{}",
            endpoint.name()
        );
    }
}

/// Guards against callers who are turned away although another endpoint can take the keys.
#[gtest]
fn keys_move_before_their_owner_gets_no_more_requests() {
    let deployment = Deployment::new();
    let instances = deployment.three_instances(KEY);
    let (owner, other) = owner_and_other(&deployment);
    let load = instances
        .each_ref()
        .map(|i| Load::start(i, "POST /apply/1"));
    owner.leave();
    until("the key moves", || other.holds(KEY));
    std::thread::sleep(DRAIN);
    expect_that!(owner.departure().late().first(), none());
    for load in &load {
        let tried = load.take();
        let unserved = tried.iter().filter(|tried| tried.status() != 200);
        expect_that!(unserved.count(), eq(0), "of {}", tried.len());
    }
}

/// Guards against a statement that binds only the instance that got it, and against an endpoint that
/// comes back to life by its entry.
#[gtest]
fn instances_that_were_not_told_act_alike() {
    let deployment = Deployment::new();
    let instances = deployment.three_instances(KEY);
    let (owner, _) = owner_and_other(&deployment);
    deployment.store.fail(StoreFault::Silent);
    owner.leave();
    let reply = instances[0].call("GET /look/1", "told", KEY, "");
    expect_that!(reply.status, eq(200));
    let said = Instant::now();
    for instance in &instances {
        until("the departure is known", || knows(instance, 1));
    }
    expect_that!(said.elapsed(), lt(Duration::from_secs(1)));
    std::thread::sleep(DRAIN);
    let silent = Instant::now();
    for instance in &instances {
        let sent = Instant::now();
        let reply = instance.call("GET /look/1", "late", KEY, "");
        expect_that!(reply.status, eq(503));
        expect_that!(reply.body, eq("endpoint_leaving"));
        let retry_after = reply.header("retry-after").map(str::parse::<f64>);
        expect_that!(retry_after, some(ok(gt(&0.0))));
        expect_that!(sent.elapsed(), lt(AT_ONCE));
    }
    expect_that!(owner.departure().arrived_since(silent), eq(0));
    deployment.store.fail(StoreFault::None);
    deployment.list(owner, "ready");
    until("the key is served again", || {
        instances[1].call("GET /look/1", "again", KEY, "").status == 200
    });
    expect_that!(owner.departure().arrived_since(silent), eq(0));
}

/// Guards against a service that is given up while its last endpoint still serves, and against
/// callers who wait for their deadlines once it does not.
#[gtest]
fn the_last_endpoint_of_a_service_serves_until_the_bound() {
    let deployment = Deployment::new();
    let instances = deployment.three_instances(KEY);
    deployment.store.fail(StoreFault::Silent);
    let load = Load::start(&instances[0], "POST /order/1");
    deployment.c.leave();
    until_told(&deployment.c, 1);
    let told = Instant::now();
    std::thread::sleep(DRAIN + Duration::from_secs(1));
    let tried = load.take();
    let soon = tried
        .iter()
        .filter(|tried| tried.sent > told && tried.sent < told + Duration::from_secs(1));
    for tried in soon {
        expect_that!(tried.status(), eq(200));
    }
    let later = tried.iter().filter(|tried| tried.sent > told + DRAIN);
    for tried in later {
        expect_that!(
            tried.is_refused_as("endpoint_leaving"),
            eq(true),
            "{tried:?}"
        );
        expect_that!(tried.took, lt(AT_ONCE));
    }
    expect_that!(deployment.c.departure().late().first(), none());
}

/// Guards against a later start at the address of one that has left.
#[gtest]
fn a_later_start_at_the_address_owes_nothing() {
    let deployment = Deployment::new();
    let instances = deployment.three_instances(KEY);
    let _load = instances
        .each_ref()
        .map(|i| Load::start(i, "GET /status/1"));
    deployment.c.leave();
    until_told(&deployment.c, instances.len());
    deployment.unlist(&deployment.c);
    deployment.c.crash();
    let mut next = None;
    until("the address is free", || {
        next = deployment.c.start_again_as("i-next").ok();
        next.is_some()
    });
    let next = next.expect("a start");
    deployment.list(&next, "ready");
    until("the later start serves", || !next.ran().is_empty());
    until("nothing leaves", || knows(&instances[0], 0));
}

/// Guards against texts that are taken for a statement, and against one that is missed among them.
#[gtest]
fn texts_that_are_no_statement_change_nothing_and_are_counted() {
    let deployment = Deployment::new();
    let instance = deployment.ready_instance("one");
    let _load = Load::start(&instance, "GET /status/1");
    for texts in [&["0"][..], &[""], &["yes"], &["11", "1.0"]] {
        deployment.c.say_of_leaving(texts);
        std::thread::sleep(PAUSE * 4);
    }
    until("they are counted", || {
        let counted = "citronway_unusable_total{source=\"leaving\"}";
        instance
            .metrics()
            .lines()
            .any(|line| line.starts_with(counted))
    });
    expect_that!(knows(&instance, 0), eq(true));
    deployment.c.say_of_leaving(&["no", " 1 "]);
    until("the departure is known", || knows(&instance, 1));
}

/// Guards against a departure that is lost with the leader, and against an instance that stops and
/// still sends.
#[gtest]
fn a_departure_is_kept_while_instances_stop_and_the_leader_is_lost() {
    let deployment = Deployment::new();
    let mut instances = deployment.three_instances(KEY);
    let (owner, other) = owner_and_other(&deployment);
    let leader = deployment.leader().expect("a leader");
    let lost = instances.iter().position(|i| i.name() == leader);
    let lost = lost.expect("the leader is one of the instances");
    let _load = instances.each_ref().map(|i| Load::start(i, "GET /look/1"));
    owner.leave();
    until_told(owner, 1);
    instances[lost].kill();
    instances[(lost + 1) % 3].terminate();
    std::thread::sleep(DRAIN + WATCHED);
    expect_that!(owner.departure().late().first(), none());
    until("the key has another owner", || other.holds(KEY));
}

/// Guards against a statement that does not reach instances that report through delegates.
#[gtest]
fn thirty_instances_hear_of_a_departure_that_one_was_told() {
    let deployment = Deployment::new();
    let instances: Vec<_> = (0..30)
        .map(|n| deployment.instance(&format!("front-{n}")))
        .collect();
    for instance in &instances {
        until("the instance is ready", || instance.is_ready());
    }
    until("the key has an owner", || {
        deployment.a.holds(KEY) || deployment.b.holds(KEY)
    });
    let load = Load::on_keys(&instances[17], "GET /status/1", [KEY; CALLERS], PAUSE);
    deployment.c.leave();
    until_told(&deployment.c, 1);
    let said = Instant::now();
    for instance in &instances {
        until("the departure is known", || knows(instance, 1));
    }
    println!("known at all instances after {:?}", said.elapsed());
    std::thread::sleep(DRAIN);
    expect_that!(deployment.c.departure().late().first(), none());
    drop(load);
}
