//! Requests whose endpoints an instance does not reach, which may be a matter of its own links.

mod admission_support;

use admission_support::{Scene, keyed};
use citronway_core::gateway::admission::{Admission, Decision, Neighbor, RefusalReason, View};
use citronway_core::ids::{EndpointStart, InstanceName};
use citronway_core::time::Mono;
use googletest::prelude::*;

const START: Mono = Mono(10_000);

/// Keys of `a` and `b`.
const KEYS: [u16; 2] = [1, 65_000];

fn view(neighbors: usize) -> View {
    let neighbor = |n: usize| Neighbor {
        instance: InstanceName::new(&format!("n{n}")),
        address: ([10, 0, 0, 9], 8_000).into(),
        is_near: true,
    };
    View {
        neighbors: (0..neighbors).map(neighbor).collect(),
        ..Scene::new().view()
    }
}

fn admission(view: &View) -> Admission {
    let mut admission = Admission::default();
    admission.update_view(START.minus(1_000), view);
    admission
}

/// No endpoint accepted a connection, neither for requests nor for probes.
fn cut_off(view: &View) -> Admission {
    let mut admission = admission(view);
    for id in ["a", "b"] {
        admission.record_failure(START, &EndpointStart::new(id, None));
    }
    admission.update_links(START);
    assert!(admission.begin_probe(START));
    admission.record_probe(START, false);
    assert!(admission.update_links(START));
    admission
}

fn submit(admission: &mut Admission, view: &View, now: Mono, key: u16) -> Option<Decision> {
    admission.submit(now, view, keyed(u64::from(key), key, now))
}

/// Guards against an instance that keeps requests which another one could send.
#[gtest]
fn a_cut_off_instance_passes_requests_on() {
    let view = view(1);
    let mut admission = cut_off(&view);
    for key in KEYS {
        expect_that!(
            submit(&mut admission, &view, START, key),
            some(eq(&Decision::Forward))
        );
    }
}

/// Guards against requests that wait in vain at an instance that nobody can help.
#[gtest]
fn without_a_neighbor_a_cut_off_instance_refuses_at_once() {
    let view = view(0);
    let mut admission = cut_off(&view);
    let decision = submit(&mut admission, &view, START, KEYS[0]);
    let Some(Decision::Refuse(refusal)) = decision else {
        panic!("refused, not {decision:?}");
    };
    expect_that!(refusal.reason, eq(RefusalReason::Unreachable));
    expect_that!(refusal.retry_after_ms, gt(0));
}

/// Guards against a second hop, and against requests that go round between cut-off instances.
#[gtest]
fn a_forwarded_request_is_not_passed_on_again() {
    let view = view(1);
    let mut admission = cut_off(&view);
    let mut job = keyed(1, KEYS[0], START);
    job.is_forwarded = true;
    let decision = admission.submit(START, &view, job);
    expect_that!(matches!(decision, Some(Decision::Refuse(_))), eq(true));
}

/// Guards against an instance that takes the end of two endpoints for a cut of its own links.
#[gtest]
fn an_accepted_probe_shows_that_links_are_sound() {
    let view = view(1);
    let mut admission = admission(&view);
    for id in ["a", "far1"] {
        admission.record_failure(START, &EndpointStart::new(id, None));
    }
    admission.update_links(START);
    expect_that!(admission.begin_probe(START), eq(true));
    admission.record_probe(START, true);
    expect_that!(admission.update_links(START.plus(100)), eq(false));
    let decision = submit(&mut admission, &view, START.plus(100), KEYS[1]);
    expect_that!(matches!(decision, Some(Decision::Send(_))), eq(true));
    // The neighbor may reach the endpoint that this instance does not.
    let decision = submit(&mut admission, &view, START.plus(100), KEYS[0]);
    expect_that!(decision, some(eq(&Decision::Forward)));
}

/// Guards against requests that are passed on although no instance reaches their endpoint.
#[gtest]
fn what_no_neighbor_reaches_is_not_passed_on_for_a_while() {
    let view = view(1);
    let mut admission = admission(&view);
    admission.record_failure(START, &EndpointStart::new("a", None));
    let job = keyed(1, KEYS[0], START);
    admission.record_not_forwarded(START, &view, &job);
    expect_that!(admission.submit(START, &view, job), none());
}

/// Guards against a cut-off instance that sends many requests into the cut, or none ever again.
#[gtest]
fn one_request_at_a_time_tries_links_after_an_accepted_probe() {
    let view = view(1);
    let mut admission = cut_off(&view);
    expect_that!(admission.begin_probe(START.plus(100)), eq(false));
    let mut now = START.plus(250);
    expect_that!(admission.begin_probe(now), eq(true));
    admission.record_probe(now, true);
    // What must not be repeated waits for a second probe.
    let decision = submit(&mut admission, &view, now, KEYS[0]);
    expect_that!(decision, some(eq(&Decision::Forward)));
    now = now.plus(250);
    expect_that!(admission.begin_probe(now), eq(true));
    admission.record_probe(now, true);
    let decisions = [0, 1, 2].map(|_| submit(&mut admission, &view, now, KEYS[0]));
    let sent = decisions
        .iter()
        .filter(|decision| matches!(decision, Some(Decision::Send(_))));
    expect_that!(sent.count(), eq(1));
    // The answer ends the cut.
    let Some(Decision::Send(choice)) = &decisions[0] else {
        panic!("the first one is sent, not {decisions:?}");
    };
    admission.record_answer(now, choice, Some(KEYS[0]));
    expect_that!(admission.update_links(now), eq(false));
    let decision = submit(&mut admission, &view, now, KEYS[1]);
    expect_that!(matches!(decision, Some(Decision::Send(_))), eq(true));
}
