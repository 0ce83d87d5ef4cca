//! Recorded traces of a node: the same events give the same decisions.
//!
//! | trace | story |
//! |---|---|
//! | second-try | An endpoint runs a lookup and its answer is lost; the entry tries again and is refused. The caller is told that the lookup may have run. |
//! | takeover | The dispatcher of an endpoint is lost; this instance waits out its promise, takes over and sends orders under the next epoch. |

mod node_world;

use std::fs;
use std::path::{Path, PathBuf};

use citronway_core::node::replay::{NodeOutcome, replay};
use googletest::prelude::*;
use node_world::faults::Fault;
use node_world::{World, calls};

fn file(name: &str, ending: &str) -> PathBuf {
    let traces = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    traces.join(format!("node-{name}.{ending}"))
}

fn check(name: &str) {
    let trace = fs::read_to_string(file(name, "jsonl")).expect("the trace is there");
    let stated = fs::read_to_string(file(name, "expected.json")).expect("the outcome is there");
    let stated: NodeOutcome = serde_json::from_str(&stated).expect("the outcome is readable");
    expect_that!(replay(&trace), ok(eq(&stated)));
}

#[gtest]
fn second_try() {
    check("second-try");
}

#[gtest]
fn takeover() {
    check("takeover");
}

/// A recorded run, replayed, does what the process did.
#[gtest]
fn a_recorded_run_is_repeated() {
    let world = taken_over();
    for process in world.processes.iter().filter(|it| it.alive) {
        let trace = process.trace.as_ref().expect("it was recorded");
        let outcome = replay(trace).expect("a readable trace");
        expect_that!(outcome.counts.order, eq(process.orders));
        expect_that!(outcome.config, eq(process.node.view().config_version()));
        expect_that!(
            outcome.replies.values().all(|told| told.len() == 1),
            eq(true)
        );
    }
}

#[gtest]
fn all_bad_lines_are_reported_together() {
    let trace = fs::read_to_string(file("takeover", "jsonl")).expect("the trace is there");
    let head = trace.lines().next().expect("a header");
    let bad = replay(&format!("{head}\n{{}}\n\nno\n")).expect_err("two bad lines");
    let lines: Vec<usize> = bad.0.iter().map(|bad| bad.line).collect();
    expect_that!(lines, elements_are![eq(&2), eq(&4)]);
}

/// The dispatcher of the first endpoint is killed, then every key is asked for.
fn taken_over() -> World {
    let mut world = World::recorded(1);
    let index = world.dispatcher_of(0);
    world.fault(&Fault::Kill {
        index,
        back_ms: 9_000,
    });
    world.run_for(1_500);
    let index = world.dispatcher_of(0);
    for key in 0..calls::KEYS {
        world.lookup(index, key);
    }
    world.run_for(200);
    world
}

/// Answers are lost while a lookup runs and is tried again.
fn tried_again() -> World {
    let mut world = World::recorded(1);
    for endpoint in 0..node_world::ENDPOINTS {
        world.fault(&Fault::AnswersLost {
            endpoint,
            ms: 60_000,
        });
    }
    for key in 0..calls::KEYS {
        world.lookup(0, key);
    }
    world.run_for(2_500);
    world
}

/// Writes the traces anew, with outcomes to be read before they are stated.
#[test]
#[ignore = "writes files"]
fn write_traces() {
    let (second_try, takeover) = (tried_again(), taken_over());
    let dispatcher = takeover.dispatcher_of(0);
    for (name, process) in [
        ("second-try", &second_try.processes[0]),
        ("takeover", &takeover.processes[dispatcher]),
    ] {
        let trace = process.trace.as_ref().expect("it was recorded");
        let outcome = replay(trace).expect("a readable trace");
        let outcome = serde_json::to_string_pretty(&outcome).expect("a writable outcome");
        fs::write(file(name, "jsonl"), trace).expect("a file");
        fs::write(file(name, "expected.json"), outcome + "\n").expect("a file");
    }
}
