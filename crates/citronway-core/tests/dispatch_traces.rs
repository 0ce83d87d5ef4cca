//! Recorded traces against their stated outcomes.

use std::fs;
use std::path::{Path, PathBuf};

use citronway_core::dispatch::replay;
use citronway_core::dispatch::replay::Decided;
use citronway_core::trace::BadLine;
use googletest::prelude::*;

fn file(name: &str, ending: &str) -> PathBuf {
    let traces = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    traces.join(format!("dispatch-{name}.{ending}"))
}

fn check(name: &str) {
    let trace = fs::read_to_string(file(name, "jsonl")).expect("the trace is there");
    let stated = fs::read_to_string(file(name, "expected.json")).expect("the outcome is there");
    let stated: Vec<Decided> = serde_json::from_str(&stated).expect("the outcome is readable");
    let decided = replay(&trace).expect("the trace is readable");
    expect_that!(decided, container_eq(stated));
}

/// An endpoint freezes with a booking and a renewal in its buffers. Its loss is
/// quiet 100 ms after the end of that renewal; when it thaws it gets no grant,
/// and its late answer goes to whoever asks again.
#[gtest]
fn frozen_endpoint() {
    check("frozen-endpoint");
}

/// A client books again while its first booking runs. One order goes out, and
/// all three callers get its answer.
#[gtest]
fn duplicate_in_flight() {
    check("duplicate-in-flight");
}

/// A dispatcher has taken over without its predecessor's table. An id from
/// before the floor may have run; one from the floor on is new.
#[gtest]
fn takeover_floor() {
    check("takeover-floor");
}

/// The last renewal got no answer before the shard moves. The confirmed
/// revocation does not release it; the end of that renewal does.
#[gtest]
fn unanswered_renewal() {
    check("unanswered-renewal");
}

/// The endpoint says that it is leaving. What waits and what comes is told so
/// at once; what runs is answered.
#[gtest]
fn draining() {
    check("draining");
}

/// The connection breaks under the only slot. The next order waits until the
/// lost one cannot act any more, since its cancellation is not confirmed.
#[gtest]
fn lost_order() {
    check("lost-order");
}

#[gtest]
fn unreadable_line_is_named() {
    let head = fs::read_to_string(file("draining", "jsonl")).expect("the trace is there");
    let head = head.lines().next().expect("it has a head");
    let failed = replay(&format!("{head}\n{{}}\n\nno\n")).expect_err("two bad lines");
    let lines: Vec<usize> = failed.0.iter().map(|bad| bad.line).collect();
    expect_that!(lines, elements_are![eq(&2), eq(&4)]);
    let empty = replay("").expect_err("nothing to read");
    expect_that!(empty.0, elements_are![field!(&BadLine.line, eq(1))]);
}
