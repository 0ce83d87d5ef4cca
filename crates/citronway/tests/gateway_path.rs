//! End-to-end tests with processes: callers, instances, endpoints and a store.

mod gateway_support;

use std::time::Duration;

use citronway_standin::shared::{FencedEndpoint, StoreFault};
use citronway_standin::soak::{Mode, Proxy};
use gateway_support::{Deployment, route, until};
use googletest::prelude::*;
use serde_json::json;

/// Keys at both ends of the key space; each of the two endpoints owns one of them.
const KEYS: [u16; 2] = [3, 65_000];

fn runs(endpoints: &[&FencedEndpoint], id: &str) -> usize {
    endpoints
        .iter()
        .flat_map(|e| e.ran())
        .filter(|ran| ran.id == id)
        .count()
}

#[gtest]
fn a_request_reaches_the_owner_of_its_key_unchanged() {
    let deployment = Deployment::new();
    let instance = deployment.ready_instance("one");
    for (i, key) in KEYS.into_iter().enumerate() {
        let id = format!("r{i}");
        let reply = instance.call("POST /apply/x?y=1", &id, key, "a body");
        expect_that!(reply.status, eq(200));
        expect_that!(reply.header("x-request-id"), some(eq(id.as_str())));
        let owner = [&deployment.a, &deployment.b]
            .into_iter()
            .find(|e| e.holds(key));
        let name = owner.map_or("nobody", |owner| owner.name());
        expect_that!(reply.body, eq(&format!("answer of {name}")));
        expect_that!(reply.header("x-response-signature"), some(ends_with(name)));
        let ran = owner.map(FencedEndpoint::ran).unwrap_or_default();
        let ran = ran.iter().find(|ran| ran.id == id);
        expect_that!(
            ran.map(|ran| ran.what.as_str()),
            some(eq("POST /apply/x?y=1"))
        );
        expect_that!(ran.map(|ran| ran.body.as_ref()), some(eq(b"a body")));
        expect_that!(ran.map(|ran| ran.left_ms), some(all!(gt(2_000), le(3_000))));
    }
}

#[gtest]
fn without_a_configuration_a_request_is_not_run_and_not_unknown() {
    let deployment = Deployment::unconfigured();
    let instance = deployment.instance("one");
    until("the instance listens", || {
        instance
            .try_call("GET /status/1", "X-Request-Id: a\r\n", "")
            .is_some()
    });
    let reply = instance.call_with("GET /status/1", "X-Request-Id: b\r\n", "");
    expect_that!(reply.status, eq(503));
    expect_that!(reply.header("retry-after"), some(anything()));
    expect_that!(instance.is_ready(), eq(false));
}

#[gtest]
fn a_new_configuration_comes_into_force() {
    let deployment = Deployment::new();
    let instance = deployment.ready_instance("one");
    let call = || {
        instance
            .call_with("GET /new/1", "X-Request-Id: n\r\n", "")
            .status
    };
    expect_that!(call(), eq(404));
    deployment.configure(5, &json!([route("new", "/new/", "idempotent", "console")]));
    until("the new route serves", || call() == 200);
}

/// Guards against a bad configuration that takes effect: an operator's tool writes one that is
/// truncated, one that contradicts itself, and an old one. The configuration in force stays,
/// and its routes keep working.
#[gtest]
fn a_bad_configuration_changes_nothing() {
    let deployment = Deployment::new();
    let instance = deployment.ready_instance("one");
    deployment
        .store
        .put("op", "config", &json!({"version": 7, "routes": []}));
    let dangling = json!([route("x", "/x/", "idempotent", "nowhere")]);
    deployment.configure(8, &dangling);
    deployment.configure(1, &json!([route("old", "/old/", "idempotent", "console")]));
    deployment
        .store
        .put("servers", "i-bad", &json!({"service": "console"}));
    deployment
        .store
        .put("citronway", "keys/console", &json!({"ranges": 3}));
    // A later valid configuration is accepted again.
    deployment.configure(9, &json!([route("new", "/new/", "idempotent", "console")]));
    until("the next good one is in force", || {
        instance
            .call_with("GET /new/1", "X-Request-Id: n\r\n", "")
            .status
            == 200
    });
    for path in ["GET /x/1", "GET /old/1"] {
        let reply = instance.call_with(path, "X-Request-Id: n\r\n", "");
        expect_that!(reply.status, eq(404));
    }
    expect_that!(
        instance.call("GET /look/1", "k", KEYS[0], "").status,
        eq(200)
    );
}

#[gtest]
fn bad_requests_get_a_clear_error_and_reach_nobody() {
    let deployment = Deployment::new();
    let instance = deployment.ready_instance("one");
    let large = "x".repeat(200_000);
    let cases = [
        ("GET /nowhere/1", "X-Request-Id: b\r\n", "", 404),
        ("GET /look/1", "X-Request-Id: b\r\n", "", 400),
        (
            "GET /look/1",
            "X-Request-Id: b\r\nX-Shard-Key: 70000\r\n",
            "",
            400,
        ),
        (
            "GET /look/1",
            "X-Request-Id: b\r\nX-Shard-Key: one\r\n",
            "",
            400,
        ),
        ("POST /order/1", "X-Request-Id: b\r\n", large.as_str(), 413),
    ];
    for (start, headers, body, status) in cases {
        let reply = instance.try_call(start, headers, body);
        // The reset that follows an unread body may discard the answer.
        let seen = reply.map_or(status, |reply| reply.status);
        expect_that!(seen, eq(status));
    }
    let all = [&deployment.a, &deployment.b, &deployment.c];
    expect_that!(runs(&all, "b"), eq(0));
}

/// Guards against repeated work: an endpoint runs a migration and its answer is lost. The
/// migration must not run again, and its caller must not be told that it has not run.
#[gtest]
fn work_that_may_not_be_repeated_runs_once_when_its_answer_is_lost() {
    let deployment = Deployment::new();
    let instance = deployment.ready_instance("one");
    for endpoint in [&deployment.a, &deployment.b, &deployment.c] {
        endpoint.drop_answers(true);
    }
    let reply = instance.call("POST /apply/1", "once", KEYS[0], "x");
    expect_that!(reply.status, eq(502));
    expect_that!(reply.header("retry-after"), none());
    expect_that!(runs(&[&deployment.a, &deployment.b], "once"), eq(1));
    let reply = instance.call_with("POST /order/1", "X-Request-Id: o\r\n", "x");
    expect_that!(reply.status, eq(502));
    expect_that!(runs(&[&deployment.c], "o"), eq(1));
}

#[gtest]
fn work_that_may_be_repeated_runs_at_most_as_often_as_its_route_allows() {
    let deployment = Deployment::new();
    let instance = deployment.ready_instance("one");
    deployment.c.drop_answers(true);
    let reply = instance.call_with("GET /status/1", "X-Request-Id: twice\r\n", "");
    expect_that!(reply.status, eq(502));
    expect_that!(runs(&[&deployment.c], "twice"), eq(2));
}

#[gtest]
fn what_an_endpoint_has_no_room_for_is_not_run() {
    let deployment = Deployment::new();
    let instance = deployment.ready_instance("one");
    deployment.c.full(true);
    let reply = instance.call_with("POST /order/1", "X-Request-Id: f\r\n", "x");
    expect_that!(reply.status, eq(503));
    expect_that!(reply.header("retry-after"), some(anything()));
    expect_that!(runs(&[&deployment.c], "f"), eq(0));
}

#[gtest]
fn keys_of_a_draining_endpoint_go_to_another() {
    let deployment = Deployment::new();
    let instance = deployment.ready_instance("one");
    until("both hold keys", || {
        KEYS.iter()
            .all(|k| deployment.a.holds(*k) || deployment.b.holds(*k))
    });
    deployment.list(&deployment.a, "draining");
    until("the other holds all", || {
        KEYS.iter().all(|key| deployment.b.holds(*key))
    });
    for key in KEYS {
        expect_that!(deployment.a.holds(key), eq(false));
        let reply = instance.call("POST /apply/1", "moved", key, "x");
        expect_that!(reply.body, eq("answer of i-b"));
    }
}

/// The store first hangs and then refuses requests, for longer than a grant is valid. Owners
/// keep their keys, because renewals are sent to them directly, and callers are served.
#[gtest]
fn requests_are_served_during_an_outage_of_the_store() {
    let deployment = Deployment::new();
    let instance = deployment.ready_instance("one");
    for fault in [StoreFault::Silent, StoreFault::Busy] {
        deployment.store.fail(fault);
        // Longer than a grant of 3.5 s, so that keys stay only if they are renewed.
        for _ in 0..20 {
            std::thread::sleep(Duration::from_millis(200));
            let reply = instance.call("GET /look/1", "k", KEYS[1], "");
            expect_that!(reply.status, eq(200));
        }
        deployment.store.fail(StoreFault::None);
    }
    deployment.store.forget();
    deployment.configure(5, &json!([route("new", "/new/", "idempotent", "console")]));
    until("new rows are read again", || {
        instance
            .call_with("GET /new/1", "X-Request-Id: n\r\n", "")
            .status
            == 200
    });
}

/// Guards against keys that move without a reason: the leader is killed, another instance takes
/// over and renews the same grants before they expire.
#[gtest]
fn a_killed_leader_is_replaced_and_keys_stay() {
    let deployment = Deployment::new();
    let mut instances = vec![
        deployment.ready_instance("one"),
        deployment.ready_instance("two"),
    ];
    until("a leader is known", || deployment.leader().is_some());
    let leader = deployment.leader().unwrap_or_default();
    let owner_before = deployment.a.holds(KEYS[0]);
    let index = usize::from(leader == "two");
    let mut killed = instances.remove(index);
    killed.kill();
    until("another instance leads", || {
        deployment.leader().is_some_and(|now| now != leader)
    });
    until("the key is served", || {
        instances[0].call("GET /look/1", "k", KEYS[0], "").status == 200
    });
    expect_that!(deployment.a.holds(KEYS[0]), eq(owner_before));
}

/// All instances are killed and restart while the store's answers are lost. The stored rows
/// name the owners of the keys, and the owners stay the same.
#[gtest]
fn a_full_restart_keeps_owners() {
    let deployment = Deployment::new();
    let mut instance = deployment.ready_instance("one");
    until("a key is held", || {
        deployment.a.holds(KEYS[0]) || deployment.b.holds(KEYS[0])
    });
    let owner_before = deployment.a.holds(KEYS[0]);
    instance.kill();
    deployment.store.fail(StoreFault::AnswersLost);
    let again = deployment.instance("one");
    until("the instance listens", || {
        again
            .try_call("GET /look/1", "X-Request-Id: l\r\nX-Shard-Key: 3\r\n", "")
            .is_some()
    });
    deployment.store.fail(StoreFault::None);
    until("the key is served", || {
        again.call("GET /look/1", "k", KEYS[0], "").status == 200
    });
    expect_that!(deployment.a.holds(KEYS[0]), eq(owner_before));
}

#[gtest]
fn a_stopping_instance_finishes_what_it_has_taken() {
    let deployment = Deployment::new();
    let mut instance = deployment.ready_instance("one");
    deployment.c.work(Duration::from_secs(1));
    let reply = std::thread::scope(|scope| {
        let call = scope.spawn(|| instance.call_with("POST /order/1", "X-Request-Id: s\r\n", "x"));
        until("the request has reached the endpoint", || {
            runs(&[&deployment.c], "s") == 1
        });
        instance.terminate();
        call.join().expect("the caller has its answer")
    });
    expect_that!(reply.status, eq(200));
    expect_that!(reply.header("connection"), some(eq("close")));
    until("the instance is not ready", || !instance.is_ready());
    until("the process ends", || instance.ended() == Some(0));
}

/// Guards against requests that block on logging: the process that collects the logs has
/// stopped reading. The pipe is full after some hundred lines, and requests are still answered.
#[gtest]
fn logs_that_nobody_reads_stop_no_request() {
    let deployment = Deployment::new();
    let instance = deployment.instance_with_piped_logs("one");
    until("the instance is ready", || instance.is_ready());
    for n in 0..1_000 {
        let reply = instance.call("GET /look/1", &format!("n{n}"), KEYS[0], "");
        assert_eq!(reply.status, 200);
    }
}

/// An operator needs to see which class of requests waits and which one is slow at its
/// endpoint.
#[gtest]
fn metrics_tell_classes_and_outcomes_apart() {
    let deployment = Deployment::new();
    let instance = deployment.ready_instance("one");
    expect_that!(
        instance.call("GET /look/1", "m1", KEYS[0], "").status,
        eq(200)
    );
    let order = instance.call_with("POST /order/1", "X-Request-Id: m2\r\n", "x");
    expect_that!(order.status, eq(200));
    expect_that!(instance.call("GET /nowhere/1", "m3", 1, "").status, eq(404));
    // Gauges are updated ten times a second.
    until("nothing is in flight", || {
        instance.metrics().contains("citronway_in_flight 0")
    });
    let text = instance.metrics();
    for line in [
        r#"citronway_requests_total{repeat="idempotent",rank="1",outcome="answered",reason=""} 1"#,
        r#"citronway_requests_total{repeat="at_most_once",rank="1",outcome="answered",reason=""} 1"#,
        r#"citronway_requests_total{repeat="unknown",rank="3",outcome="rejected",reason=""} 1"#,
        r#"citronway_wait_seconds_count{repeat="at_most_once",rank="1"} 1"#,
        r#"citronway_service_seconds_count{repeat="idempotent",rank="1"} 1"#,
    ] {
        expect_that!(text, contains_substring(line));
    }
    let series = text.lines().filter(|line| !line.starts_with('#')).count();
    expect_that!(series, lt(150));
}

/// Guards against a configuration that is never loaded: one of two thousand routes takes longer
/// over a slow link than the timeout of a call of the store. Each call was restarted from the
/// beginning, and the previous configuration stayed in force for good.
#[gtest]
fn a_large_configuration_comes_over_a_slow_link() {
    let deployment = Deployment::new();
    let link = Proxy::start(deployment.store.address()).expect("a link");
    let instance = deployment.instance_behind("one", link.address);
    until("the instance is ready", || instance.is_ready());
    // Each 16 KB are delayed by this time, so that the whole takes two seconds.
    link.set(Mode::Delay(Duration::from_millis(80)));
    let many = (0..2_000).map(|n| {
        route(
            &format!("r{n}"),
            &format!("/r{n}/"),
            "idempotent",
            "console",
        )
    });
    deployment.configure(5, &json!(many.collect::<Vec<_>>()));
    until("the last route serves", || {
        let reply = instance.call_with("GET /r1999/1", "X-Request-Id: n\r\n", "");
        reply.status == 200
    });
}
