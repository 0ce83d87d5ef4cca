//! Instances that admit requests by the demand of all of them.

mod gateway_support;

use std::time::Duration;

use citronway_standin::shared::FencedEndpoint;
use gateway_support::load::{KEY, Load, Tried};
use gateway_support::{Deployment, Instance, until};
use googletest::prelude::*;
use serde_json::json;

fn uses_demand_of_all(instance: &Instance) -> bool {
    let metrics = instance.metrics();
    metrics.contains("citronway_fleet_admission 1\n")
}

fn ready(deployment: &Deployment, name: &str, switch: &str) -> Instance {
    let mut instance = deployment.instance(name);
    instance.kill();
    deployment.set_traffic(name, &json!({ "fleetAdmission": switch }));
    deployment.restart(&mut instance);
    until("the instance is ready", || instance.is_ready());
    instance
}

/// Guards against demand that does not reach the others, or counts after its instance has ended, and
/// against an instance with the switch off that takes part.
#[gtest]
fn demand_of_others_counts_while_they_live_and_where_it_is_switched_on() {
    let deployment = Deployment::new();
    let mut on = ["one", "two"].map(|name| ready(&deployment, name, "on"));
    let off = ready(&deployment, "three", "off");
    let owner = || -> Option<&FencedEndpoint> {
        let endpoints = [&deployment.a, &deployment.b];
        endpoints.into_iter().find(|endpoint| endpoint.holds(KEY))
    };
    until("the key has an owner", || owner().is_some());
    for endpoint in [&deployment.a, &deployment.b] {
        endpoint.work(Duration::from_millis(400));
    }
    let loads: Vec<_> = on
        .iter()
        .chain([&off])
        .map(|i| Load::start(i, "GET /look/1"))
        .collect();
    until("both use the demand of all", || {
        on.iter().all(uses_demand_of_all)
    });
    std::thread::sleep(Duration::from_secs(3));
    expect_that!(uses_demand_of_all(&off), eq(false));
    for load in &loads {
        let tried: Vec<_> = load.take().iter().map(Tried::status).collect();
        expect_that!(tried, contains(eq(&200)));
        expect_that!(tried, each(any![eq(&200), eq(&503)]));
    }
    on[1].kill();
    until("the demand of the lost one no longer counts", || {
        !uses_demand_of_all(&on[0])
    });
}
