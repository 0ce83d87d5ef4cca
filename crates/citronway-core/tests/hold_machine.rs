//! Single decisions of a hold that a simulation of several instances does not
//! isolate.

use citronway_core::hold::{EndpointReach, Hold, HoldAction, HoldEvent, HoldSettings, ReadOutcome};
use citronway_core::ids::{EndpointName, Epoch, Session, Version};
use citronway_core::peer::{HoldMessage, KnownRequests};
use citronway_core::shard::DispatchRow;
use citronway_core::time::{Mono, Now, Wall};
use googletest::prelude::*;

const ENDPOINT: &str = "endpoint";

fn at(ms: u64) -> Now {
    Now {
        mono: Mono(ms),
        wall: Wall(ms),
    }
}

fn session(index: u64) -> Session {
    Session::new(&format!("n{index}"), 1)
}

fn row() -> DispatchRow {
    DispatchRow {
        endpoint: EndpointName::new(ENDPOINT),
        dispatcher: session(0),
        epoch: Epoch(1),
        successors: vec![session(1), session(2)],
        former: Vec::new(),
        floor: Wall(0),
    }
}

/// The hold of session `index`, which knows the row since 1,000 ms.
fn hold(index: u64) -> Hold {
    let endpoint = EndpointName::new(ENDPOINT);
    let mut hold = Hold::new(session(index), endpoint, HoldSettings::default());
    let _ = hold.on_row(&row(), Version(1), at(1_000));
    hold
}

fn tick(hold: &mut Hold, ms: u64) -> Vec<HoldAction> {
    hold.tick(
        &[session(0), session(1), session(2)],
        EndpointReach::Unknown,
        at(ms),
    )
}

fn handover() -> HoldMessage {
    HoldMessage::Handover {
        epoch: Epoch(1),
        row_version: Version(1),
        known: KnownRequests::default(),
    }
}

fn writes(actions: &[HoldAction]) -> usize {
    let writes = actions
        .iter()
        .filter(|it| matches!(it, HoldAction::Write { .. }));
    writes.count()
}

// A successor is paused for two seconds. After that the store answers before the
// successor handles the promise requests in its socket. Failure guarded against: it
// takes over at once from a dispatcher that was active all the time.
#[gtest]
fn a_successor_listens_after_a_pause() {
    let mut hold = hold(1);
    let _ = tick(&mut hold, 1_020);
    let _ = tick(&mut hold, 3_000);
    let found = ReadOutcome::Found {
        version: Version(1),
        row: row(),
    };
    let _ = hold.on_read_done(1, &found, at(3_010));
    expect_that!(writes(&tick(&mut hold, 3_020)), eq(0));
}

// An offer is delivered twice. The successor declines the first copy, and the
// dispatcher resumes. Failure guarded against: the successor accepts the second
// copy and acts at the same time as the dispatcher.
#[gtest]
fn a_declined_offer_stays_declined() {
    let mut hold = hold(1);
    let _ = hold.tick(&[], EndpointReach::Lost, at(1_020));
    let first = hold.on_message(&session(0), &handover(), at(1_030));
    let declined = pat!(HoldAction::Send {
        message: pat!(HoldMessage::Refuse { round: eq(&0), .. }),
        ..
    });
    expect_that!(first, elements_are![declined]);
    let _ = hold.tick(&[], EndpointReach::Reached, at(1_040));
    let again = hold.on_message(&session(0), &handover(), at(1_050));
    expect_that!(writes(&again), eq(0));
}

// The dispatcher hands over and stops. Its successor writes at once, without
// waiting for the promise that it gave to expire.
#[gtest]
fn an_offer_ends_the_promise() {
    let mut hold = hold(1);
    let ask = HoldMessage::Ask {
        epoch: Epoch(1),
        row_version: Version(1),
        round: 1,
        duration_ms: 800,
    };
    let _ = hold.on_message(&session(0), &ask, at(1_010));
    let taken = hold.on_message(&session(0), &handover(), at(1_020));
    expect_that!(writes(&taken), eq(1));
}

// A trace recorded by one process gives the same decisions when another one replays
// it, so events keep their content when written as JSON.
#[gtest]
fn events_and_actions_survive_json() {
    let event = HoldEvent::Message {
        from: session(0),
        message: handover(),
    };
    let text = serde_json::to_string(&event).expect("event is plain data");
    let read: HoldEvent = serde_json::from_str(&text).expect("event reads back");
    let mut first = hold(1);
    let mut second = hold(1);
    expect_that!(
        first.apply(&event, at(1_020)),
        eq(&second.apply(&read, at(1_020)))
    );
}

fn promise(round: u64) -> HoldMessage {
    HoldMessage::Promise {
        epoch: Epoch(1),
        round,
    }
}

// Promises arrive half a second late. Their givers count from when they answered,
// which the dispatcher cannot know. Failure guarded against: the dispatcher counts
// from receipt and still acts when a successor takes over.
#[gtest]
fn a_promise_counts_from_before_its_question() {
    let mut hold = hold(0);
    let _ = tick(&mut hold, 1_020);
    for successor in [1, 2] {
        let _ = hold.on_message(&session(successor), &promise(1), at(1_520));
    }
    expect_that!(hold.may_act(at(1_819)), some(eq(Epoch(1))));
    expect_that!(hold.may_act(at(1_820)), none());
}

// A new endpoint has no row, and its keys are not served until an instance creates
// one. A failed read does not suffice, since the store may be down: it must answer
// that the row does not exist.
#[gtest]
fn the_first_candidate_creates_a_missing_row() {
    let endpoint = EndpointName::new(ENDPOINT);
    let mut hold = Hold::new(session(0), endpoint, HoldSettings::default());
    let first = tick(&mut hold, 1_000);
    expect_that!(first, elements_are![eq(&HoldAction::ReadRow { read: 1 })]);
    let _ = hold.on_read_done(1, &ReadOutcome::Failed, at(1_010));
    expect_that!(writes(&tick(&mut hold, 1_020)), eq(0));
    let _ = tick(&mut hold, 1_220);
    let _ = hold.on_read_done(2, &ReadOutcome::Absent, at(1_230));
    let created = tick(&mut hold, 1_240);
    let write = pat!(HoldAction::Write {
        expected: eq(&Version(0)),
        ..
    });
    expect_that!(created, contains(write));
}
