//! The store comes back from an older copy of itself.

mod gateway_support;

use std::time::{Duration, Instant};

use citronway_standin::shared::{SharedStore, StoreFault};
use gateway_support::crashing::{BAD, Service, call, crash};
use gateway_support::{Deployment, until};
use googletest::prelude::*;

/// A key of the first range.
const KEY: u16 = 1_000;

/// Time for which two holders of a key are looked for after a restart: longer than a hold.
const WATCH: Duration = Duration::from_secs(8);

/// Name of the endpoints that the stored assignment names.
fn assigned(store: &SharedStore) -> String {
    store
        .own("keys/batch")
        .map(|row| row["endpoints"].to_string())
        .unwrap_or_default()
}

/// A deployment of three instances in which all keys have moved from `i-a` to `i-b` since the
/// returned copy of the store.
fn moved_since_a_copy() -> (
    Deployment,
    [gateway_support::Instance; 3],
    citronway_standin::shared::StoreCopy,
) {
    let deployment = Deployment::new();
    let instances = deployment.three_instances(KEY);
    until("both endpoints hold keys", || {
        deployment.a.holds(KEY) && deployment.b.holds(60_000)
    });
    let copy = deployment.store.copy();
    deployment.list(&deployment.a, "draining");
    until("all keys have moved", || {
        let row = assigned(&deployment.store);
        !row.contains("i-a") && deployment.b.holds(KEY) && !deployment.a.holds(KEY)
    });
    (deployment, instances, copy)
}

/// Guards against a leader whose writes are refused from a restore on.
#[gtest]
fn assignments_are_written_again_after_a_restore() {
    let (deployment, _instances, copy) = moved_since_a_copy();
    deployment.store.fail(StoreFault::Silent);
    let lost = deployment.store.restore(copy);
    deployment.store.fail(StoreFault::None);
    deployment.store.write_again(lost);
    until("the stored assignment names the holders", || {
        !assigned(&deployment.store).contains("i-a")
    });
}

/// Guards against keys that are unserved although their holder and its leader are there.
#[gtest]
fn keys_stay_held_by_the_leader_that_goes_on() {
    let (deployment, _instances, copy) = moved_since_a_copy();
    deployment.store.fail(StoreFault::Silent);
    std::thread::sleep(Duration::from_secs(1));
    let lost = deployment.store.restore(copy);
    deployment.store.fail(StoreFault::None);
    deployment.store.write_again(lost);
    let end = Instant::now() + WATCH;
    while Instant::now() < end {
        let held = deployment.b.holds(KEY);
        expect_that!(held, eq(true), "the key has no holder");
        if !held {
            return;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    let row = deployment.store.own("keeper").expect("a leader");
    expect_that!(
        row["first_fence"].is_null(),
        eq(true),
        "keys have no new fences: {row}"
    );
}

/// Guards against a second holder when all instances restart after the store was restored.
#[gtest]
fn keys_have_one_holder_when_all_instances_restart_after_a_restore() {
    let (deployment, mut instances, copy) = moved_since_a_copy();
    let lost = deployment.store.restore(copy);
    deployment.store.write_again(lost);
    std::thread::sleep(Duration::from_secs(3));
    for instance in &mut instances {
        instance.kill();
    }
    for instance in &mut instances {
        *instance = deployment.start_again(instance.name(), instance);
    }
    let end = Instant::now() + WATCH;
    while Instant::now() < end {
        let two = deployment.a.holds(KEY) && deployment.b.holds(KEY);
        expect_that!(two, eq(false), "two holders");
        if two {
            return;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Sum of the values of a metric's series that have this label.
fn metric(instance: &gateway_support::Instance, start: &str) -> f64 {
    let text = instance.metrics();
    let lines = text.lines().filter(|line| line.starts_with(start));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}

/// Whether a route is served.
fn is_served(instance: &gateway_support::Instance, path: &str) -> bool {
    let reply = instance.try_call(&format!("GET {path}"), "X-Request-Id: r\r\n", "");
    reply.is_some_and(|reply| reply.status == 200)
}

/// Guards against eras that cannot be used and change what is known, or stop an instance for good.
#[gtest]
fn damaged_eras_change_nothing() {
    let deployment = Deployment::new();
    deployment.store.state_era(Some("3"));
    let instance = deployment.ready_instance("one");
    let unusable = || metric(&instance, "citronway_unusable_total{source=\"store_era\"}");
    until("the era is known", || {
        metric(&instance, "citronway_store_era").eq(&3.0)
    });
    for text in ["", "-1", "x", "18446744073709551616", "4|4"] {
        let before = unusable();
        deployment.store.state_era(Some(text));
        until("the statement is counted", || unusable() > before);
        expect_that!(
            metric(&instance, "citronway_store_era"),
            eq(3.0),
            "{text:?}"
        );
    }
    let before = unusable();
    deployment.store.state_era(None);
    until("a missing statement is counted", || unusable() > before);
    deployment.store.state_era(Some("3"));
    let more = serde_json::json!([gateway_support::route(
        "more",
        "/more/",
        "idempotent",
        "console"
    )]);
    deployment.configure(9, &more);
    until("a new configuration is in force", || {
        is_served(&instance, "/more/x")
    });
}

/// Guards against an answer of an earlier era that arrives last and brings its rows back.
#[gtest]
fn the_highest_era_stays() {
    let deployment = Deployment::new();
    deployment.store.state_era(Some("5"));
    let instance = deployment.ready_instance("one");
    deployment.store.state_era(Some("4"));
    let more = serde_json::json!([gateway_support::route(
        "more",
        "/more/",
        "idempotent",
        "console"
    )]);
    deployment.configure(9, &more);
    std::thread::sleep(Duration::from_secs(1));
    expect_that!(metric(&instance, "citronway_store_era"), eq(5.0));
    expect_that!(is_served(&instance, "/more/x"), eq(false));
    deployment.store.state_era(Some("5"));
    until("the configuration is in force", || {
        is_served(&instance, "/more/x")
    });
}

/// Guards against harmful work that is sent again since the store has lost what is known of it.
#[gtest]
fn harmful_work_stays_known_after_a_restore() {
    let deployment = Deployment::new();
    let mut console = Service::console(&deployment);
    let instances = ["one", "two"].map(|name| deployment.ready_instance(name));
    let copy = deployment.store.copy();
    crash(&mut console, &instances, "GET /status/bad", 3);
    let refused = |instance| call(instance, "GET /status/bad", 1).body == "crashes_endpoints";
    for instance in &instances {
        until("the work is refused", || refused(instance));
    }
    let begun = console.begun(BAD);
    let lost = deployment.store.restore(copy);
    deployment.store.write_again(lost);
    let is_stored = || {
        let row = deployment.store.own("crashes");
        row.is_some_and(|row| row["refused"].as_array().is_some_and(|all| !all.is_empty()))
    };
    until("what is known is stored again", is_stored);
    for instance in &instances {
        expect_that!(refused(instance), eq(true));
    }
    expect_that!(console.begun(BAD), eq(begun));
}

/// Guards against an older configuration and endpoints that seem gone right after a restore.
#[gtest]
fn what_others_write_again_stays_in_force_meanwhile() {
    let deployment = Deployment::unconfigured();
    deployment.unlist(&deployment.c);
    deployment.configure(2, &serde_json::json!([]));
    let instances = ["one", "two"].map(|name| deployment.ready_instance(name));
    let copy = deployment.store.copy();
    let more = serde_json::json!([gateway_support::route(
        "more",
        "/more/",
        "idempotent",
        "console"
    )]);
    deployment.configure(9, &more);
    deployment.list(&deployment.c, "ready");
    for instance in &instances {
        until("the route is served", || is_served(instance, "/more/x"));
    }
    let lost = deployment.store.restore(copy);
    let restored = Instant::now();
    let third = deployment.instance("three");
    while restored.elapsed() < Duration::from_secs(1) {
        for instance in &instances {
            expect_that!(is_served(instance, "/more/x"), eq(true));
        }
        let reply = third.try_call("GET /more/x", "X-Request-Id: r\r\n", "");
        expect_that!(reply.map(|reply| reply.status), not(some(eq(404))));
        std::thread::sleep(Duration::from_millis(20));
    }
    deployment.store.write_again(lost);
    until("a new instance serves the route", || {
        is_served(&third, "/more/x")
    });
    std::thread::sleep(Duration::from_secs(3));
    for instance in &instances {
        expect_that!(is_served(instance, "/more/x"), eq(true));
    }
}

/// Instances of a fleet in which not all report to all, unless `CITRONWAY_INSTANCES` says another
/// number.
const MANY: usize = 14;

/// Time from a restore until its calls are counted.
const COUNTED: Duration = Duration::from_secs(3);

/// Most calls of one instance after a restore: it reads each of three tables, once more where a row
/// was held, and writes its own row.
const CALLS_EACH: u64 = 7;

/// Guards against a storm of calls after a restore, and against polls that are refused again and again.
#[gtest]
fn a_restore_makes_few_calls() {
    let asked = std::env::var("CITRONWAY_INSTANCES").ok();
    let count = asked.map_or(MANY, |count| count.parse().expect("a number"));
    let deployment = Deployment::new();
    let names = (0..count).map(|n| format!("one-{n}"));
    let instances: Vec<_> = names.map(|name| deployment.instance(&name)).collect();
    for instance in &instances {
        until("all instances are ready", || instance.is_ready());
    }
    until("the key has an owner", || {
        deployment.a.holds(KEY) || deployment.b.holds(KEY)
    });
    std::thread::sleep(COUNTED);
    let copy = deployment.store.copy();
    let before = deployment.store.calls();
    std::thread::sleep(COUNTED);
    let usual = deployment.store.calls() - before;
    let before = deployment.store.calls();
    let lost = deployment.store.restore(copy);
    deployment.store.write_again(lost);
    std::thread::sleep(COUNTED);
    let calls = deployment.store.calls() - before;
    println!("{count} instances: {calls} calls in {COUNTED:?} after a restore, {usual} before");
    expect_that!(calls, le(usual + CALLS_EACH * count as u64));
    for instance in &instances {
        until("the era is known everywhere", || {
            metric(instance, "citronway_store_era").eq(&1.0)
        });
    }
}
