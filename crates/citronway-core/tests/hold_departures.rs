//! When a session counts as gone.

use citronway_core::hold::GoneSessions;
use citronway_core::ids::{InstanceName, Session, ZoneName};
use citronway_core::platform::{InstanceList, ListedInstance, ListedState};
use citronway_core::time::{Mono, Now, Wall};
use googletest::prelude::*;

const LAG_MS: u64 = 2_000;

fn at(ms: u64) -> Now {
    Now {
        mono: Mono(ms),
        wall: Wall(ms),
    }
}

fn list(names: &[&str]) -> InstanceList {
    let mut instances = Vec::new();
    for name in names {
        instances.push(ListedInstance {
            instance: InstanceName::new(name),
            zone: ZoneName::new("a"),
            peer_address: "127.0.0.1:1".to_owned(),
            state: ListedState::Live,
        });
    }
    InstanceList {
        lag_ms: LAG_MS,
        instances,
    }
}

// A successor dies. Its promise is missed until it counts as gone, which takes
// lists that lie further apart than the lag and all show it missing.
#[gtest]
fn a_session_is_gone_after_the_lag() {
    let mut departures = GoneSessions::new();
    let session = Session::new("n1", 1);
    departures.watch(&session);
    expect_that!(
        departures.on_instance_list(&list(&[]), at(1_000)),
        is_empty()
    );
    expect_that!(
        departures.on_instance_list(&list(&[]), at(3_000)),
        is_empty()
    );
    expect_that!(
        departures.on_instance_list(&list(&[]), at(3_001)),
        elements_are![eq(&session)]
    );
    expect_that!(departures.is_gone(&session), is_true());
}

// The list flickers: an instance is missing, shown, and missing again. Taking it
// for gone too early would let the dispatcher act without its promise.
#[gtest]
fn a_list_that_shows_it_again_starts_the_lag_anew() {
    let mut departures = GoneSessions::new();
    departures.watch(&Session::new("n1", 1));
    expect_that!(
        departures.on_instance_list(&list(&[]), at(1_000)),
        is_empty()
    );
    expect_that!(
        departures.on_instance_list(&list(&["n1"]), at(2_500)),
        is_empty()
    );
    expect_that!(
        departures.on_instance_list(&list(&[]), at(3_500)),
        is_empty()
    );
    expect_that!(
        departures.on_instance_list(&list(&[]), at(5_000)),
        is_empty()
    );
}

// A new instance joins and is listed as successor before the platform's list
// shows it. Absence before it was known must not count against it.
#[gtest]
fn a_new_instance_is_not_gone_because_the_list_is_late() {
    let mut departures = GoneSessions::new();
    expect_that!(
        departures.on_instance_list(&list(&[]), at(1_000)),
        is_empty()
    );
    departures.watch(&Session::new("n1", 1));
    expect_that!(
        departures.on_instance_list(&list(&[]), at(4_000)),
        is_empty()
    );
}

// A process is killed and starts again under its address. Its old session can
// write no more, so others need not wait for the list. A late word of the old
// session must not bury the new one.
#[gtest]
fn a_newer_session_buries_the_older_one_only() {
    let mut departures = GoneSessions::new();
    let old = Session::new("n1", 1);
    let new = Session::new("n1", 2);
    departures.watch(&Session::new("n2", 1));
    expect_that!(departures.on_handshake(&old), is_empty());
    expect_that!(departures.on_handshake(&new), elements_are![eq(&old)]);
    expect_that!(departures.on_handshake(&old), is_empty());
    expect_that!(departures.is_gone(&new), is_false());
    let gone: Vec<&Session> = departures.sessions().collect();
    expect_that!(gone, elements_are![eq(&&old)]);
}
