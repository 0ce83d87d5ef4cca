//! The bound on the bytes of requests at one endpoint: how it is learned and what it admits.

mod admission_support;

use admission_support::{Scene, keyed};
use citronway_core::gateway::admission::{Admission, Decision, Job, ReportedLoad, View};
use citronway_core::gateway::crashes::Fingerprint;
use citronway_core::gateway::endpoint_bytes::{ByteBounds, BytesAt, OwnBytes};
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::ids::{EndpointStart, ServiceName};
use citronway_core::time::Mono;
use googletest::prelude::*;

const START: Mono = Mono(10_000);

/// Endpoints of the service; each crashes for good.
const A: EndpointTag = EndpointTag(1);
const B: EndpointTag = EndpointTag(2);

struct Learning {
    bounds: ByteBounds,
    now: Mono,
    /// Requests at a crash of which there are signs.
    signs: u64,
}

impl Learning {
    fn new() -> Self {
        Self {
            bounds: ByteBounds::default(),
            now: START,
            signs: 1,
        }
    }

    /// Lets an endpoint have bytes for a while, after which it answers.
    fn hold(&mut self, tag: EndpointTag, kb: u32, requests: u32) {
        self.have(tag, kb, requests);
        self.now = self.now.plus(500);
        self.bounds.record_answers(self.now, tag);
    }

    fn have(&mut self, tag: EndpointTag, kb: u32, requests: u32) {
        let service = service();
        let service = &service;
        let at = BytesAt {
            tag,
            service,
            kb,
            requests,
        };
        self.bounds.observe(self.now, at);
    }

    fn crash(&mut self, tag: EndpointTag) {
        for work in 0..self.signs {
            self.bounds.record_crash(self.now, tag, Fingerprint(work));
        }
        self.now = self.now.plus(500);
        self.bounds.step(self.now);
    }

    fn bound(&self) -> Option<u32> {
        self.bounds.all().map(|(_, kb)| kb).next()
    }
}

fn service() -> ServiceName {
    ServiceName::new("batch")
}

/// Failure: endpoints that are only busy get a bound that keeps requests from them.
#[gtest]
fn without_a_crash_with_many_bytes_there_is_no_bound() {
    let mut learning = Learning::new();
    learning.hold(A, 900_000, 40);
    expect_that!(learning.bound(), none());
    // A crash with the usual bytes has another cause.
    learning.have(A, 1_000_000, 40);
    learning.crash(A);
    expect_that!(learning.bound(), none());
    // So has one with a single request, or with few bytes.
    learning.have(B, 900_000, 1);
    learning.crash(B);
    learning.have(EndpointTag(3), 50, 40);
    learning.crash(EndpointTag(3));
    expect_that!(learning.bound(), none());
}

/// Failure: endpoint after endpoint is sent what the first one crashed with.
#[gtest]
fn a_crash_with_more_bytes_than_before_sets_a_bound_below_them() {
    let mut learning = Learning::new();
    learning.hold(A, 1_000, 5);
    learning.have(A, 4_000, 9);
    // The requests are gone before the crash is known, and the report covers the time before.
    learning.now = learning.now.plus(300);
    learning.have(A, 4_000, 0);
    learning.crash(A);
    expect_that!(learning.bound(), some(eq(3_000)));
    // A sign that is told again changes nothing.
    learning.crash(A);
    expect_that!(learning.bound(), some(eq(3_000)));
    learning.have(B, 2_000, 2);
    learning.crash(B);
    expect_that!(learning.bound(), some(eq(1_500)));
}

/// Failure: requests that come and crash an endpoint between two reports are not counted, as none
/// of them is there at the end.
#[gtest]
fn signs_count_requests_that_no_report_has_counted() {
    let mut learning = Learning::new();
    learning.have(A, 4_000, 0);
    learning.signs = 2;
    learning.crash(A);
    expect_that!(learning.bound(), some(eq(3_000)));
}

/// Failure: a bound that was set too low stays for good, or grows to the next crash at once.
#[gtest]
fn answers_raise_the_bound_and_slowly_above_what_was_fine() {
    let mut learning = Learning::new();
    learning.have(A, 4_000, 9);
    learning.crash(A);
    learning.hold(B, 3_200, 5);
    expect_that!(learning.bound(), some(eq(3_200)));
    learning.hold(B, 3_100, 5);
    expect_that!(learning.bound(), some(eq(3_200)));
    for _ in 0..10 {
        learning.now = learning.now.plus(30_000);
        learning.hold(B, learning.bound().expect("a bound"), 5);
    }
    expect_that!(learning.bound(), some(eq(3_600)));
}

/// Failure: an instance that does not see all requests keeps a bound that the leader dropped.
#[gtest]
fn bounds_of_the_leader_replace_the_known_ones() {
    let mut bounds = ByteBounds::default();
    bounds.adopt(START, [(&service(), 700)].into_iter());
    expect_that!(bounds.all().count(), eq(1));
    bounds.adopt(START, std::iter::empty());
    expect_that!(bounds.all().count(), eq(0));
}

/// Failure: requests that ended between two reports are told to nobody.
#[gtest]
fn the_most_bytes_since_the_last_report_are_told() {
    let mut own = OwnBytes::default();
    own.begin(A, 1, 100 * 1_024);
    own.begin(A, 2, 1);
    own.end(1);
    expect_that!(own.at(A), eq(1));
    expect_that!(own.take_peaks().get(&A), some(eq(&101)));
    expect_that!(own.take_peaks().get(&A), some(eq(&1)));
    own.end(2);
    expect_that!(own.take_peaks().get(&A), some(eq(&1)));
    expect_that!(own.take_peaks(), is_empty());
}

fn job(ticket: u64, kb: u64) -> Job {
    Job {
        ticket,
        body_bytes: kb * 1_024,
        ..keyed(ticket, 1, START)
    }
}

fn view(bound_kb: u32, others_kb: u32) -> View {
    let mut view = Scene::new().view();
    let service = job(0, 0).service;
    view.byte_bounds.insert(service, bound_kb);
    let reported = ReportedLoad {
        kb: others_kb,
        ..ReportedLoad::unknown()
    };
    let tag = EndpointTag::of(&EndpointStart::new("a", None));
    view.reported_loads.insert(tag, reported);
    view
}

fn admits(view: &View, jobs: &[(u64, u64)]) -> Vec<bool> {
    let mut admission = Admission::default();
    admission.update_view(START.minus(1_000), view);
    let decide = |(ticket, kb): &(u64, u64)| {
        let decided = admission.submit(START, view, job(*ticket, *kb));
        matches!(decided, Some(Decision::Send(_)))
    };
    jobs.iter().map(decide).collect()
}

/// Failure: instances each stay below the bound and exceed it together.
#[gtest]
fn bytes_of_all_instances_count_against_the_bound() {
    expect_that!(admits(&view(1_000, 900), &[(1, 200)]), eq(&[false]));
    expect_that!(
        admits(&view(1_000, 700), &[(1, 200), (2, 200)]),
        eq(&[true, false])
    );
    expect_that!(
        admits(&view(1_000, 0), &[(1, 600), (2, 600)]),
        eq(&[true, false])
    );
}

/// Failure: all requests for an endpoint wait behind one whose bytes have no room there.
#[gtest]
fn short_requests_do_not_wait_behind_one_that_has_no_room() {
    expect_that!(
        admits(&view(1_000, 800), &[(1, 500), (2, 50), (3, 0)]),
        eq(&[false, true, true])
    );
}

/// Failure: a request that is longer than the bound is never sent, and neither are those without
/// a body.
#[gtest]
fn a_free_endpoint_takes_any_request_and_a_full_one_those_without_a_body() {
    expect_that!(
        admits(&view(1_000, 0), &[(1, 5_000), (2, 0)]),
        eq(&[true, true])
    );
}
