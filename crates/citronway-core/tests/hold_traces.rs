//! Replays the hold's traces and compares them with the stated outcomes.

use std::fs;
use std::path::{Path, PathBuf};

use citronway_core::hold::simulation::{HoldOutcome, ReplayError, replay};
use googletest::prelude::*;

fn traces() -> Vec<PathBuf> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let mut paths = Vec::new();
    for entry in fs::read_dir(dir).expect("traces are there") {
        let path = entry.expect("entry is readable").path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        if name.starts_with("hold-") && name.ends_with(".jsonl") {
            paths.push(path);
        }
    }
    paths.sort();
    paths
}

fn outcome_of(path: &Path) -> HoldOutcome {
    let text = fs::read_to_string(path).expect("trace is readable");
    replay(&text).expect("trace is well formed")
}

fn named(name: &str) -> HoldOutcome {
    let paths = traces();
    let path = paths
        .iter()
        .find(|it| it.ends_with(format!("hold-{name}.jsonl")));
    outcome_of(path.expect("trace exists"))
}

// Each trace begins with its story. A user would see a booking run twice if two
// sessions acted at once, and no answers at all while nobody acts; the stated
// outcome says who may act when, and what became of the row.
#[gtest]
fn traces_have_the_stated_outcomes() {
    for path in traces() {
        let outcome = outcome_of(&path);
        expect_that!(outcome.broken, none(), "{}", path.display());
        let stated = fs::read_to_string(path.with_extension("expected.json"));
        let stated = stated.expect("outcome is stated");
        let stated: HoldOutcome = serde_json::from_str(&stated).expect("outcome is well formed");
        expect_that!(outcome, eq(&stated), "{}", path.display());
    }
}

// The store is down for seven seconds. Users must see nothing of it, so the hold
// must not depend on the store while nothing changes.
#[gtest]
fn steady_state_makes_no_store_access() {
    let outcome = named("store-down");
    expect_that!(outcome.store_reads, eq(0));
    expect_that!(outcome.store_writes, eq(0));
    expect_that!(outcome.acting, len(eq(1)));
}

// A dispatcher is killed, paused or cut off. Its endpoint's keys are not served
// until a successor acts, which users are to see for 1.2 s at most.
#[gtest]
fn a_lost_dispatcher_is_replaced_in_time() {
    for name in ["killed", "paused-past-its-lease", "cut-both-ways"] {
        let outcome = named(name);
        expect_that!(outcome.longest_gap_ms, le(1_200), "{name}");
        expect_that!(outcome.acting, len(ge(2)), "{name}");
    }
}

// A process shuts down for a release. Users must not see a gap as after a crash,
// so the successor takes the role without waiting for promises to lapse.
#[gtest]
fn a_handover_waits_for_no_promise() {
    let outcome = named("handed-over");
    let ended = outcome.acting[0].until;
    let begun = outcome.acting[1].from;
    expect_that!(begun - ended, le(100));
}

#[gtest]
fn a_bad_line_is_reported_with_its_number() {
    let bad = "{\"seed\":1}\n{\"at\":1,\"do\":\"dance\"}";
    let error = replay(bad).expect_err("dance is no fault");
    expect_that!(error, pat!(ReplayError::Line { line: eq(&2), .. }));
}

#[gtest]
fn a_fault_of_an_unknown_instance_is_refused() {
    let bad = "{\"instances\":3}\n{\"at\":1,\"do\":\"crash\",\"node\":3}";
    let error = replay(bad).expect_err("there is no instance 3");
    expect_that!(error, pat!(ReplayError::NoInstance { node: eq(&3), .. }));
}
