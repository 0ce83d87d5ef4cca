//! Check of a whole configuration: each kind of mistake is found with its place.

mod config_support;

use citronway_core::config::selector::SelectorProblem as S;
use citronway_core::config::{Config, check};
use citronway_core::findings::{Kind, Problem as P};
use citronway_core::ids::{ClassName, EndpointName, GroupName, ServiceName};
use config_support::base;
use googletest::prelude::*;

/// A mistake, where it is found and what is said of it.
type Case = (fn(&mut Config), &'static str, P);

fn text(text: &str) -> String {
    text.to_owned()
}

fn dangling(kind: Kind, name: &str) -> P {
    P::Dangling {
        kind,
        name: text(name),
    }
}

fn behind(earlier: &str) -> P {
    P::Unreachable {
        earlier: text(earlier),
    }
}

fn expect_each<const N: usize>(cases: [Case; N]) {
    for (mistake, place, problem) in cases {
        let mut cfg = base();
        mistake(&mut cfg);
        let findings = check(&cfg);
        let found: Vec<_> = findings
            .iter()
            .map(|finding| (finding.place.path.as_str(), &finding.problem))
            .collect();
        expect_that!(found, elements_are![eq(&(place, &problem))]);
        expect_that!(findings.iter().all(|f| !f.expected.is_empty()), eq(true));
    }
}

fn endpoint<'a>(cfg: &'a mut Config, name: &str) -> &'a mut citronway_core::config::Endpoint {
    cfg.endpoints.get_mut(&EndpointName::new(name)).expect(name)
}

fn group<'a>(cfg: &'a mut Config, name: &str) -> &'a mut citronway_core::config::Group {
    cfg.groups.get_mut(&GroupName::new(name)).expect(name)
}

fn service<'a>(cfg: &'a mut Config, name: &str) -> &'a mut citronway_core::config::Service {
    cfg.services.get_mut(&ServiceName::new(name)).expect(name)
}

#[gtest]
fn the_base_has_no_findings() {
    expect_that!(check(&base()).to_string(), eq(""));
}

#[gtest]
fn names_labels_and_numbers() {
    expect_each([
        (
            |cfg| {
                let moved = endpoint(cfg, "m2").clone();
                cfg.endpoints.shift_remove(&EndpointName::new("m2"));
                cfg.endpoints.insert(EndpointName::new("M 2"), moved);
            },
            "endpoints.M 2",
            P::NotAName(text("M 2")),
        ),
        (
            |cfg| endpoint(cfg, "m2").zone = "".into(),
            "endpoints.m2.zone",
            P::NotAName(text("")),
        ),
        (
            |cfg| {
                let labels = &mut service(cfg, "console").labels;
                labels.insert(text("Team"), text("x"));
            },
            "services.console.labels.Team",
            P::NotAName(text("Team")),
        ),
        (
            |cfg| {
                let labels = &mut group(cfg, "rest").labels;
                labels.insert(text("team"), text("a b"));
            },
            "groups.rest.labels.team",
            P::NotALabelValue(text("a b")),
        ),
        (
            |cfg| service(cfg, "console").shards = 0,
            "services.console.shards",
            P::OutOfRange(text("0")),
        ),
        (
            |cfg| service(cfg, "console").shards = 4097,
            "services.console.shards",
            P::OutOfRange(text("4097")),
        ),
        (
            |cfg| service(cfg, "console").weights.churn = f64::NAN,
            "services.console.weights.churn",
            P::OutOfRange(text("NaN")),
        ),
        (
            |cfg| service(cfg, "console").weights.imbalance = -1.0,
            "services.console.weights.imbalance",
            P::OutOfRange(text("-1")),
        ),
        (
            |cfg| endpoint(cfg, "m1").slots = 0,
            "endpoints.m1.slots",
            P::OutOfRange(text("0")),
        ),
        (
            |cfg| endpoint(cfg, "m1").connections = 0,
            "endpoints.m1.connections",
            P::OutOfRange(text("0")),
        ),
        (
            |cfg| endpoint(cfg, "m1").connections = 2,
            "endpoints.m1.connections",
            P::OutOfRange(text("2")),
        ),
        (
            |cfg| cfg.classes[&ClassName::new("batch")].kept_share = 41,
            "classes",
            P::SumTooHigh { sum: 101 },
        ),
    ]);
}

#[gtest]
fn references_and_duplicates() {
    expect_each([
        (
            |cfg| service(cfg, "console").default_class = "none".into(),
            "services.console.default_class",
            dangling(Kind::Class, "none"),
        ),
        (
            |cfg| cfg.rules[0].class = "none".into(),
            "rules.urgent.class",
            dangling(Kind::Class, "none"),
        ),
        (
            |cfg| cfg.rules[0].service = "none".into(),
            "rules.urgent.service",
            dangling(Kind::Service, "none"),
        ),
        (
            |cfg| {
                let mut other = group(cfg, "rest").clone();
                other.service = "none".into();
                cfg.groups.insert("other".into(), other);
            },
            "groups.other.service",
            dangling(Kind::Service, "none"),
        ),
        (
            |cfg| {
                cfg.groups.shift_remove(&GroupName::new("console"));
            },
            "services.console",
            P::Missing,
        ),
        (
            |cfg| endpoint(cfg, "m2").address = "10.0.0.2:80".parse().expect("an address"),
            "endpoints.m2.address",
            P::SameAddress {
                address: text("10.0.0.2:80"),
                other: text("m1"),
            },
        ),
        (
            |cfg| endpoint(cfg, "m2").address = "0.0.0.0:80".parse().expect("an address"),
            "endpoints.m2.address",
            P::OutOfRange(text("0.0.0.0:80")),
        ),
        (
            |cfg| cfg.rules[1].name = text("urgent"),
            "rules.urgent",
            P::Repeated,
        ),
        (
            |cfg| {
                let moved = cfg.groups.shift_remove(&GroupName::new("big"));
                cfg.groups.insert("big".into(), moved.expect("big"));
            },
            "groups.big.keys",
            behind("groups.rest.keys"),
        ),
        (
            |cfg| {
                group(cfg, "big").keys = Some(text("part0"));
            },
            "groups.rest.keys",
            behind("groups.big.keys"),
        ),
        (
            |cfg| cfg.rules[0].callers = None,
            "rules.rollbacks",
            behind("rules.urgent"),
        ),
    ]);
}

#[gtest]
fn selectors() {
    expect_each([
        (
            |cfg| group(cfg, "big").endpoints = text(" "),
            "groups.big.endpoints",
            P::Selector(S::Empty),
        ),
        (
            |cfg| group(cfg, "big").endpoints = text("app=big,ap"),
            "groups.big.endpoints",
            P::Selector(S::UnknownLabel(text("ap"))),
        ),
        (
            |cfg| group(cfg, "big").endpoints = text("app=none"),
            "groups.big.endpoints",
            P::Selector(S::MatchesNone),
        ),
        (
            |cfg| group(cfg, "big").endpoints = text("app=big,app=migration"),
            "groups.big.endpoints",
            P::Selector(S::Contradiction(text("app"))),
        ),
        (
            |cfg| group(cfg, "big").keys = Some(text("tenant=pko")),
            "groups.big.keys",
            P::Selector(S::UnknownLabel(text("tenant"))),
        ),
        (
            |cfg| group(cfg, "console").callers = Some(text("")),
            "groups.console.callers",
            P::Selector(S::Empty),
        ),
        (
            |cfg| cfg.rules[1].keys = Some(text("part1=")),
            "rules.rollbacks.keys",
            P::Selector(S::NoValue),
        ),
        (
            |cfg| cfg.rules[0].callers = Some(text("a,!a")),
            "rules.urgent.callers",
            P::Selector(S::Contradiction(text("a"))),
        ),
    ]);
}

#[gtest]
fn everything_is_collected_with_its_place() {
    let mut cfg = base();
    endpoint(&mut cfg, "m1").slots = 0;
    group(&mut cfg, "big").endpoints = text("app=big,ap");
    cfg.rules[0].class = "none".into();
    let printed = check(&cfg).to_string();
    let lines: Vec<&str> = printed.lines().collect();
    expect_that!(
        lines,
        elements_are![
            starts_with("groups.big.endpoints column 9: nothing has a label `ap`; expected "),
            starts_with("endpoints.m1.slots: 0 is out of range; expected from 1"),
            eq(
                &"rules.urgent.class: there is no class `none`; expected name of a class that exists"
            ),
        ]
    );
}
