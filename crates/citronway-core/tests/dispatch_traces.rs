//! Replay of recorded traces against their expected decisions.

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
/// reported as quiet 100 ms after the end of that renewal. When it answers again
/// it gets no grant, and its late answer goes to callers that repeat the request.
#[gtest]
fn frozen_endpoint() {
    check("frozen-endpoint");
}

/// A client repeats a booking while the first one runs. One order is sent, and
/// all three callers get its answer.
#[gtest]
fn duplicate_in_flight() {
    check("duplicate-in-flight");
}

/// A dispatcher has taken over without its predecessor's table. An id created
/// before the floor may have run; an id created at the floor or later is new.
#[gtest]
fn takeover_floor() {
    check("takeover-floor");
}

/// The last renewal before the shard moves is unanswered. The confirmed
/// revocation does not release the shard; the end of that renewal does.
#[gtest]
fn unanswered_renewal() {
    check("unanswered-renewal");
}

/// The endpoint reports that it is draining. Queued and new requests are refused
/// at once; running orders are answered.
#[gtest]
fn draining() {
    check("draining");
}

/// The connection of the order in the only slot breaks. The next order waits
/// until the lost one cannot act any more, since its cancellation is not
/// confirmed.
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
