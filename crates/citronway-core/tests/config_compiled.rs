//! Routing by a compiled configuration.

mod config_support;

use citronway_core::config::{CompiledConfig, CompiledPartition, Route};
use citronway_core::ids::{GroupName, Key};
use citronway_core::outcome::NotRunReason;
use config_support::{base, labels};
use googletest::prelude::*;

fn compiled() -> CompiledConfig {
    CompiledConfig::new(base()).expect("the base has no findings")
}

/// A request's service, caller's labels and key; then its group, class and priority.
type Case = (
    &'static str,
    &'static [(&'static str, &'static str)],
    &'static str,
    Result<(&'static str, &'static str, u8), NotRunReason>,
);

#[gtest]
fn requests_are_admitted_and_classed() {
    let cases: [Case; 8] = [
        ("migration", &[], "pko/apply", Ok(("big", "batch", 9))),
        ("migration", &[], "x/apply", Ok(("rest", "batch", 9))),
        (
            "migration",
            &[],
            "x/rollback",
            Ok(("rest", "interactive", 0)),
        ),
        (
            "migration",
            &[("tenant", "pko"), ("urgent", "1")],
            "x",
            Ok(("rest", "interactive", 0)),
        ),
        (
            "migration",
            &[("tenant", "pko")],
            "x",
            Ok(("rest", "batch", 9)),
        ),
        (
            "console",
            &[("tenant", "x")],
            "x",
            Ok(("console", "interactive", 0)),
        ),
        ("console", &[], "x", Err(NotRunReason::NoRoute)),
        ("none", &[], "x", Err(NotRunReason::UnknownService)),
    ];
    let cfg = compiled();
    for (service, caller, key, expected) in cases {
        let route = cfg.route(&service.into(), &labels(caller), &Key::new(key));
        let found = route.map(
            |Route {
                 group,
                 class,
                 priority,
             }| { (group.as_str(), class.as_str(), priority) },
        );
        expect_that!(found, eq(expected), "{service} {caller:?} {key}");
    }
}

#[gtest]
fn a_key_that_no_group_takes_has_no_route() {
    let mut cfg = base();
    cfg.groups[&GroupName::new("rest")].keys = Some("part0=x".to_owned());
    let cfg = CompiledConfig::new(cfg).expect("no findings");
    let route = cfg.route(&"migration".into(), &labels(&[]), &Key::new("y"));
    expect_that!(route, err(eq(NotRunReason::NoRoute)));
}

#[gtest]
fn members_are_the_matching_endpoints() {
    let cfg = compiled();
    let names = |group: &str| {
        let members = cfg.members(&GroupName::new(group)).iter();
        members
            .map(|name| name.as_str().to_owned())
            .collect::<Vec<_>>()
    };
    expect_that!(names("rest"), elements_are![eq("m1"), eq("m2")]);
    expect_that!(names("big"), elements_are![eq("b1")]);
    expect_that!(names("none"), is_empty());
}

#[gtest]
fn the_stored_partition_gives_the_same_groups_whoever_calls() {
    let cfg = compiled();
    let stored = cfg.partition(&"migration".into());
    let partition = CompiledPartition::new(&stored).expect("no findings");
    for key in ["pko", "pko/x", "mbank/rollback", "x", "x/pko", ""] {
        let key = Key::new(key);
        for caller in [labels(&[]), labels(&[("tenant", "pko"), ("urgent", "1")])] {
            let route = cfg
                .route(&"migration".into(), &caller, &key)
                .expect("a route");
            expect_that!(partition.part_of(&key), some(eq(route.group)));
        }
    }
}
