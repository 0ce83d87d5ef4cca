//! Replays the hold's traces and compares their outcomes with the expected ones.

use std::fs;
use std::path::{Path, PathBuf};

use citronway_core::hold::simulation::{HoldOutcome, ReplayError, replay};
use googletest::prelude::*;

fn traces() -> Vec<PathBuf> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let mut paths = Vec::new();
    for entry in fs::read_dir(dir).expect("directory of traces is readable") {
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

fn outcome_of_named(name: &str) -> HoldOutcome {
    let paths = traces();
    let path = paths
        .iter()
        .find(|it| it.ends_with(format!("hold-{name}.jsonl")));
    outcome_of(path.expect("trace exists"))
}

// The header of each trace says what it shows. Failures guarded against: a request
// runs twice because two sessions act at the same time, or no request is answered
// because no session acts. The expected outcome states who may act when, and the
// final row.
#[gtest]
fn traces_have_the_stated_outcomes() {
    for path in traces() {
        let outcome = outcome_of(&path);
        expect_that!(outcome.broken, none(), "{}", path.display());
        let expected = fs::read_to_string(path.with_extension("expected.json"));
        let expected = expected.expect("expected outcome is readable");
        let expected: HoldOutcome =
            serde_json::from_str(&expected).expect("expected outcome is well formed");
        expect_that!(outcome, eq(&expected), "{}", path.display());
    }
}

// The store is down for seven seconds. Callers must not notice, so the hold must
// not access the store while nothing changes.
#[gtest]
fn steady_state_makes_no_store_access() {
    let outcome = outcome_of_named("store-down");
    expect_that!(outcome.store_reads, eq(0));
    expect_that!(outcome.store_writes, eq(0));
    expect_that!(outcome.acting, len(eq(1)));
}

// A dispatcher is killed, paused or cut off. The keys of its endpoint are not
// served until a successor acts, which must take at most 1.2 s.
#[gtest]
fn a_lost_dispatcher_is_replaced_in_time() {
    for name in ["killed", "paused-past-its-lease", "cut-both-ways"] {
        let outcome = outcome_of_named(name);
        expect_that!(outcome.longest_gap_ms, le(1_200), "{name}");
        expect_that!(outcome.acting, len(ge(2)), "{name}");
    }
}

// A process shuts down for a release. There must be no gap as after a crash, so the
// successor takes the role without waiting for promises to expire.
#[gtest]
fn a_handover_waits_for_no_promise() {
    let outcome = outcome_of_named("handed-over");
    let ended = outcome.acting[0].until;
    let begun = outcome.acting[1].from;
    expect_that!(begun - ended, le(100));
}

#[gtest]
fn a_bad_line_is_reported_with_its_number() {
    let trace = "{\"seed\":1}\n{\"at\":1,\"do\":\"dance\"}";
    let error = replay(trace).expect_err("`dance` is not a fault");
    expect_that!(error, pat!(ReplayError::Line { line: eq(&2), .. }));
}

#[gtest]
fn a_fault_of_an_unknown_instance_is_refused() {
    let trace = "{\"instances\":3}\n{\"at\":1,\"do\":\"crash\",\"node\":3}";
    let error = replay(trace).expect_err("there is no instance 3");
    expect_that!(error, pat!(ReplayError::NoInstance { node: eq(&3), .. }));
}
