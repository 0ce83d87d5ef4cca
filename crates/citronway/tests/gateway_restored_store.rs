//! The store comes back from an older copy of itself.

mod gateway_support;

use std::time::{Duration, Instant};

use citronway_standin::shared::{SharedStore, StoreFault};
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

/// Guards against a leader that disbelieves a restored store and whose writes are refused from then
/// on, so that the stored assignment stays as it was in the copy.
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
