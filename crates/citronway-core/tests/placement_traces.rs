//! Recorded traces of planners, replayed against their stated outcomes.
//!
//! | trace | story |
//! |---|---|
//! | answer-lost | The write that moves a lost endpoint's keys takes effect, its answer is lost. The planner reads before it does anything else, and finds its own write. |
//! | two-planners | Two instances stand for election at once. The store lets one write stand; the other reads and follows. |
//! | deposed-planner | A planner is paused with a write under way; another is elected. The late write fails whole, and the first follows. |
//! | lost-then-returns | An endpoint is lost, its keys move, it returns. It gets keys back gradually and with new epochs. |
//! | restart-mid-move | The planner starts again while keys are moving. Its new session is elected, and releases reported once more end the moves. |
//! | partition-change | Keys get a group of their own. All are released before one write swaps partition and shards. |

use std::path::Path;

use citronway_core::placement::replay::{Outcome, replay};
use googletest::prelude::*;

fn read(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../tests/traces")
        .join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{name}: {error}"))
}

fn check(name: &str) {
    let outcome = replay(&read(&format!("placement-{name}.jsonl"))).expect("a readable trace");
    let stated = read(&format!("placement-{name}.expected.json"));
    let stated: Outcome = serde_json::from_str(&stated).expect("a readable outcome");
    expect_that!(outcome.steps, eq(&stated.steps));
    expect_that!(outcome.ends, eq(&stated.ends));
}

#[gtest]
fn answer_lost() {
    check("answer-lost");
}

#[gtest]
fn two_planners() {
    check("two-planners");
}

#[gtest]
fn deposed_planner() {
    check("deposed-planner");
}

#[gtest]
fn lost_then_returns() {
    check("lost-then-returns");
}

#[gtest]
fn restart_mid_move() {
    check("restart-mid-move");
}

#[gtest]
fn partition_change() {
    check("partition-change");
}

#[gtest]
fn all_bad_lines_are_reported_together() {
    let trace = read("placement-answer-lost.jsonl");
    let first = trace.lines().next().expect("a header");
    let bad = replay(&format!("{first}\n{{}}\n\nno\n")).expect_err("two bad lines");
    let lines: Vec<usize> = bad.0.iter().map(|bad| bad.line).collect();
    expect_that!(lines, elements_are![eq(&2), eq(&4)]);
}
