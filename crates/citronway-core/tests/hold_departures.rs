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

// A successor dies. The dispatcher requires its promise until the session is gone,
// that is, until two lists further apart than the lag, and all between them, do not
// show its instance.
#[gtest]
fn a_session_is_gone_after_the_lag() {
    let mut gone_sessions = GoneSessions::new();
    let session = Session::new("n1", 1);
    gone_sessions.watch(&session);
    expect_that!(
        gone_sessions.on_instance_list(&list(&[]), at(1_000)),
        is_empty()
    );
    expect_that!(
        gone_sessions.on_instance_list(&list(&[]), at(3_000)),
        is_empty()
    );
    expect_that!(
        gone_sessions.on_instance_list(&list(&[]), at(3_001)),
        elements_are![eq(&session)]
    );
    expect_that!(gone_sessions.is_gone(&session), is_true());
}

// An instance is missing from a list, listed and missing again. Failure guarded
// against: the session is taken for gone too early, and the dispatcher acts without
// its promise.
#[gtest]
fn a_list_that_shows_it_again_starts_the_lag_anew() {
    let mut gone_sessions = GoneSessions::new();
    gone_sessions.watch(&Session::new("n1", 1));
    expect_that!(
        gone_sessions.on_instance_list(&list(&[]), at(1_000)),
        is_empty()
    );
    expect_that!(
        gone_sessions.on_instance_list(&list(&["n1"]), at(2_500)),
        is_empty()
    );
    expect_that!(
        gone_sessions.on_instance_list(&list(&[]), at(3_500)),
        is_empty()
    );
    expect_that!(
        gone_sessions.on_instance_list(&list(&[]), at(5_000)),
        is_empty()
    );
}

// A new instance becomes a successor before the platform's list shows it. Its
// absence from lists read before it was known does not count.
#[gtest]
fn a_new_instance_is_not_gone_because_the_list_is_late() {
    let mut gone_sessions = GoneSessions::new();
    expect_that!(
        gone_sessions.on_instance_list(&list(&[]), at(1_000)),
        is_empty()
    );
    gone_sessions.watch(&Session::new("n1", 1));
    expect_that!(
        gone_sessions.on_instance_list(&list(&[]), at(4_000)),
        is_empty()
    );
}

// A process is killed and starts again at its address. Its old session can no
// longer write, so other instances need not wait for the list. A delayed handshake
// of the old session must not mark the new one as gone.
#[gtest]
fn a_newer_session_marks_only_the_older_one_as_gone() {
    let mut gone_sessions = GoneSessions::new();
    let old = Session::new("n1", 1);
    let new = Session::new("n1", 2);
    gone_sessions.watch(&Session::new("n2", 1));
    expect_that!(gone_sessions.on_handshake(&old), is_empty());
    expect_that!(gone_sessions.on_handshake(&new), elements_are![eq(&old)]);
    expect_that!(gone_sessions.on_handshake(&old), is_empty());
    expect_that!(gone_sessions.is_gone(&new), is_false());
    let gone: Vec<&Session> = gone_sessions.sessions().collect();
    expect_that!(gone, elements_are![eq(&&old)]);
}
