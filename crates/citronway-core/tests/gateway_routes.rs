//! Look-up of routes, division of a split route, and unusable configurations.

use citronway_core::gateway::routes::{
    CallerLimits, CheckedRoutes, Draft, Repeat, Route, RouteTable, Service, Target,
};
use citronway_core::ids::{ServiceName, Version};
use googletest::prelude::*;
use indexmap::IndexMap;

fn route(name: &str, host: &str, prefix: &str, targets: &[(&str, u32)]) -> Route {
    let target = |(service, weight): &(&str, u32)| Target {
        service: ServiceName::new(service),
        weight: *weight,
    };
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        targets: targets.iter().map(target).collect(),
        repeat: Repeat::Idempotent,
        timeout_ms: 2_000,
        objective_ms: 500,
        priority: 1,
        attempts: 2,
    }
}

fn table(routes: Vec<Route>) -> CheckedRoutes {
    let service = Service {
        max_connections: 130,
        sharded: false,
        warm_ms: 0,
        cold_per_s: None,
    };
    let names = ["batch", "console"].map(ServiceName::new);
    let services: IndexMap<_, _> = names
        .map(|name| (name, service.clone()))
        .into_iter()
        .collect();
    let limits = CallerLimits {
        header_bytes: 16_384,
        body_bytes: 1_000,
        header_ms: 3_000,
        idle_ms: 15_000,
    };
    let draft = Draft {
        routes,
        services,
        ..Draft::default()
    };
    RouteTable::check(Version(7), limits, draft)
}

#[gtest]
fn the_longest_prefix_of_the_host_wins() {
    let routes = table(vec![
        route("all", "a.example", "/", &[("batch", 1)]),
        route("deep", "a.example", "/x/y/", &[("batch", 1)]),
        route("x", "a.example", "/x/", &[("batch", 1)]),
        route("other", "b.example", "/x/y/z/", &[("batch", 1)]),
    ])
    .routes;
    let found = |host, path| {
        routes
            .find(host, path)
            .map(|(_, route)| route.name.as_str())
    };
    expect_that!(found("a.example", "/x/y/z/1"), some(eq("deep")));
    expect_that!(found("a.example", "/x/y"), some(eq("x")));
    expect_that!(found("a.example", "/other"), some(eq("all")));
    expect_that!(found("A.Example:8080", "/x/1"), some(eq("x")));
    expect_that!(found("b.example", "/x/y/"), none());
    expect_that!(found("c.example", "/"), none());
}

#[gtest]
fn a_split_gives_each_part_its_weight_and_alternates() {
    let route = route("s", "a", "/", &[("batch", 90), ("console", 10)]);
    let parts: Vec<_> = (0..1_000)
        .filter_map(|n| route.target(n).map(|target| target.service.to_string()))
        .collect();
    let console = parts.iter().filter(|part| *part == "console").count();
    expect_that!(console, eq(100));
    for hundred in parts.chunks(50) {
        let console = hundred.iter().filter(|part| *part == "console").count();
        expect_that!(console, all!(ge(3), le(7)));
    }
}

#[gtest]
fn a_weight_of_zero_gets_nothing() {
    let route = route("s", "a", "/", &[("batch", 0), ("console", 3)]);
    for n in 0..20 {
        let target = route.target(n).map(|target| target.service.as_str());
        expect_that!(target, some(eq("console")));
    }
}

/// Guards against rejecting a whole configuration because of one unusable route: callers would be
/// left with the old routes, or with none on a new instance.
#[gtest]
fn all_problems_are_reported_together_and_the_rest_is_used() {
    let mut no_time = route("t", "a", "/t/", &[("batch", 1)]);
    no_time.timeout_ms = 0;
    let checked = table(vec![
        route("p", "a", "no-slashes", &[("batch", 1)]),
        route("q", "a", "/q/", &[("nowhere", 1)]),
        route("r", "a", "/r/", &[]),
        no_time,
        route("s", "a", "/s/", &[("batch", 1)]),
        route("half", "a", "/half/", &[("batch", 1), ("nowhere", 1)]),
    ]);
    let text = checked.findings.to_string();
    expect_that!(text, contains_substring("routes[0].prefix"));
    expect_that!(text, contains_substring("there is no service `nowhere`"));
    expect_that!(text, contains_substring("routes[2].targets"));
    expect_that!(text, contains_substring("routes[3].timeout"));
    let routes = checked.routes;
    let services = |path| {
        let (_, route) = routes.find("a", path)?;
        let served = (0..2).filter(|n| routes.service(route, *n).is_some());
        Some(served.count())
    };
    expect_that!(services("/q/"), some(eq(0)));
    expect_that!(services("/r/"), some(eq(0)));
    expect_that!(services("/t/"), some(eq(0)));
    expect_that!(services("/s/"), some(eq(2)));
    // The part of the missing service is refused, not given to the other service.
    expect_that!(services("/half/"), some(eq(1)));
    // The requests that the first route matches are not known.
    expect_that!(routes.is_incomplete(), eq(true));
}
