//! An availability zone is evacuated, and the evacuation withdrawn, while callers send
//! requests.

mod gateway_support;

use std::time::{Duration, Instant};

use citronway_standin::shared::FencedEndpoint;
use gateway_support::{Deployment, Instance, until};
use googletest::prelude::*;
use serde_json::json;

/// Time that the platform allows for an evacuation.
const ALLOWED: Duration = Duration::from_secs(5);

/// Keys of both halves of the key space.
const KEYS: [u16; 4] = [3, 20_000, 40_000, 65_000];

/// Two endpoints for each service, one in each of the zones `a` and `b`.
struct Zones {
    deployment: Deployment,
    /// The second endpoint for `console`, in zone `b`.
    d: FencedEndpoint,
}

impl Zones {
    fn start() -> Self {
        let deployment = Deployment::new();
        let d = FencedEndpoint::start("i-d", "console", false).expect("an endpoint");
        let zones = Self { deployment, d };
        for (endpoint, zone) in [
            (&zones.deployment.a, "a"),
            (&zones.deployment.c, "a"),
            (&zones.deployment.b, "b"),
            (&zones.d, "b"),
        ] {
            zones.list(endpoint, zone);
        }
        zones
    }

    fn list(&self, endpoint: &FencedEndpoint, zone: &str) {
        let mut entry = endpoint.entry("ready");
        entry["zone"] = json!(zone);
        self.deployment
            .store
            .put("servers", endpoint.name(), &entry);
    }

    fn evacuate(&self, zone: &str) {
        self.deployment
            .store
            .put("op", &format!("evacuate/{zone}"), &json!({}));
    }

    fn withdraw_evacuation(&self, zone: &str) {
        self.deployment
            .store
            .remove("op", &format!("evacuate/{zone}"));
    }

    /// Number of requests that ran in zone `a` after a moment.
    fn runs_in_a(&self, since: Instant) -> usize {
        let endpoints = [&self.deployment.a, &self.deployment.c];
        let ran = endpoints.iter().flat_map(|endpoint| endpoint.ran());
        ran.filter(|ran| ran.at > since).count()
    }
}

/// Sends requests of both services to all instances until a moment; returns how many were
/// served.
fn call_until(instances: &[Instance], what: &str, end: Instant) -> usize {
    let mut served = 0;
    for round in 0.. {
        if Instant::now() >= end {
            break;
        }
        for (n, instance) in instances.iter().enumerate() {
            for key in KEYS {
                let id = format!("{what}-{round}-{n}-{key}");
                let reply = instance.call("POST /apply/1", &id, key, "x");
                served += usize::from(reply.status == 200);
            }
            let id = format!("{what}-{round}-{n}");
            let reply = instance.call("POST /order/1", &id, 0, "x");
            served += usize::from(reply.status == 200);
        }
    }
    served
}

fn wait_until_all_served(instance: &Instance, what: &str) {
    for key in KEYS {
        until("the key is served", || {
            let id = format!("{what}-{key}");
            instance.call("GET /look/1", &id, key, "").status == 200
        });
    }
}

/// Guards against requests and keys that stay in an evacuated zone.
#[gtest]
fn nothing_reaches_a_zone_that_is_evacuated_and_all_keys_are_served() {
    let zones = Zones::start();
    let mut instances: Vec<_> = ["one", "two"]
        .map(|name| zones.deployment.ready_instance(name))
        .into();
    wait_until_all_served(&instances[0], "before");
    zones.evacuate("a");
    let evacuated = Instant::now();
    call_until(&instances, "during", evacuated + ALLOWED);
    let after = Instant::now();
    // An instance that starts during the evacuation sends nothing there either.
    instances.push(zones.deployment.ready_instance("three"));
    let served = call_until(&instances, "after", after + Duration::from_secs(2));
    expect_that!(served, gt(50));
    expect_that!(zones.runs_in_a(evacuated + ALLOWED), eq(0));
    wait_until_all_served(&instances[2], "all");
    let metrics = instances[0].metrics();
    expect_that!(metrics, contains_substring("citronway_evacuated_zones 1"));
    expect_that!(metrics, contains_substring("citronway_evacuated_ranges 0"));

    zones.withdraw_evacuation("a");
    let back = Instant::now();
    until("the zone is used again", || {
        call_until(
            &instances,
            "back",
            Instant::now() + Duration::from_millis(200),
        );
        zones.runs_in_a(back) > 0
    });
}

/// Guards against a malformed row that changes the known state of a zone.
#[gtest]
fn a_row_that_cannot_be_read_changes_nothing() {
    let zones = Zones::start();
    let mut instance = zones.deployment.instance_with_piped_logs("one");
    let logs = instance.logs();
    until("the instance is ready", || instance.is_ready());
    wait_until_all_served(&instance, "before");
    zones.evacuate("a");
    expect_that!(logs.line("zone evacuated")["zone"], eq(&json!("a")));
    zones.deployment.store.put("op", "evacuate/a", &json!(7));
    zones.deployment.store.put("op", "evacuate/b", &json!("x"));
    logs.line("row cannot be used");
    let metrics = instance.metrics();
    expect_that!(metrics, contains_substring("citronway_evacuated_zones 1"));
    wait_until_all_served(&instance, "after");
}
