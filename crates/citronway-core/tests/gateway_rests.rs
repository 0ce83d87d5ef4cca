//! Endpoints that ask for rest: what an instance sends them, and what instances report.

mod admission_support;

use admission_support::{Scene, job, keyed, shown};
use citronway_core::gateway::admission::{Admission, Choice, Decision, Job, RefusalReason, View};
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::gateway::rests::{MAX_REPORTED, ReportedRests, RestReport};
use citronway_core::ids::{EndpointStart, InstanceName};
use citronway_core::time::Mono;
use googletest::prelude::*;

const NOW: Mono = Mono(50_000);

const REST_MS: u64 = 3_000;

fn start(name: &str) -> EndpointStart {
    EndpointStart::new(name, None)
}

fn tag(name: &str) -> EndpointTag {
    EndpointTag::of(&start(name))
}

/// A scene and an admission that endpoints have asked for rest.
fn resting(names: &[&str]) -> (View, Admission) {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    for name in names {
        admission.record_rest(NOW, tag(name), REST_MS);
    }
    (scene.view(), admission)
}

/// Guards against work that waits for an endpoint that rests while others are free.
#[gtest]
fn other_endpoints_take_the_work() {
    let (view, mut admission) = resting(&["near"]);
    for ticket in 0..12 {
        let decision = admission.submit(NOW, &view, job(ticket, NOW));
        expect_that!(shown(decision.as_ref()), starts_with("far"));
    }
}

/// Guards against requests that wait for their deadlines where all endpoints rest.
#[gtest]
fn where_all_rest_requests_are_refused_at_once_until_after_the_rest() {
    let (view, mut admission) = resting(&["near", "far1", "far2", "a"]);
    for req in [job(1, NOW), keyed(2, 0, NOW)] {
        let Some(Decision::Refuse(refusal)) = admission.submit(NOW, &view, req) else {
            panic!("not refused");
        };
        expect_that!(refusal.reason, eq(RefusalReason::EndpointResting));
        expect_that!(refusal.retry_after_ms, all!(ge(REST_MS), le(REST_MS * 2)));
    }
    let decision = admission.submit(NOW, &view, keyed(3, 40_000, NOW));
    expect_that!(shown(decision.as_ref()), eq("b"));
}

/// Guards against callers who all return at the end of a rest.
#[gtest]
fn refused_callers_return_at_different_times() {
    let (view, mut admission) = resting(&["a"]);
    let mut times = Vec::new();
    for ticket in 0..50 {
        if let Some(Decision::Refuse(refusal)) = admission.submit(NOW, &view, keyed(ticket, 0, NOW))
        {
            times.push(refusal.retry_after_ms);
        }
    }
    times.sort_unstable();
    times.dedup();
    expect_that!(times.len(), ge(40));
}

/// Guards against a request that is turned away although the rest ends well within its time, and
/// against the less urgent ones that go before it.
#[gtest]
fn a_request_waits_for_a_short_rest_and_urgent_ones_go_first() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    let view = scene.view();
    admission.record_rest(NOW, tag("a"), 400);
    let mut urgent = keyed(2, 0, NOW);
    urgent.priority = 0;
    for req in [keyed(1, 0, NOW), urgent] {
        let decision = admission.submit(NOW, &view, req);
        expect_that!(shown(decision.as_ref()), eq("waits"));
    }
    expect_that!(admission.decide_waiting(NOW.plus(390), &view), is_empty());
    let decided = admission.decide_waiting(NOW.plus(400), &view);
    let tickets: Vec<_> = decided.iter().map(|(ticket, _)| *ticket).collect();
    expect_that!(tickets, elements_are![eq(&2)]);
    expect_that!(admission.take_held_for_rest(), eq(2));
}

/// Guards against a shorter rest that ends a longer one.
#[gtest]
fn the_latest_end_of_several_rests_counts() {
    let (view, mut admission) = resting(&["a"]);
    admission.record_rest(NOW.plus(100), tag("a"), 500);
    let later = NOW.plus(2_900);
    let decision = admission.submit(later, &view, with_time(keyed(1, 0, later), 120));
    expect_that!(shown(decision.as_ref()), eq("endpoint_resting"));
}

fn with_time(mut job: Job, ms: u64) -> Job {
    job.deadline = job.arrived.plus(ms);
    job
}

fn send(admission: &mut Admission, view: &View, now: Mono, ticket: u64) -> Option<Choice> {
    match admission.submit(now, view, keyed(ticket, 0, now)) {
        Some(Decision::Send(choice)) => Some(choice),
        _ => None,
    }
}

/// Guards against a burst at the end of a rest, and against a second rejection that begins it all
/// anew.
#[gtest]
fn requests_return_at_a_rate_that_grows() {
    let (view, mut admission) = resting(&["a"]);
    let mut now = NOW.plus(REST_MS);
    let mut ticket = 0;
    let mut at_once = Vec::new();
    for _ in 0..4 {
        let mut sent = Vec::new();
        loop {
            ticket += 1;
            let Some(choice) = send(&mut admission, &view, now, ticket) else {
                admission.remove(ticket);
                break;
            };
            sent.push(choice);
        }
        at_once.push(sent.len());
        now = now.plus(100);
        for choice in sent {
            admission.record_answer(now, &choice, Some(0));
            admission.record_finished(&choice.endpoint);
        }
        // Requests that were left waiting are out of the way.
        let _ = admission.decide_waiting(now, &view);
        for ticket in 0..=ticket {
            admission.remove(ticket);
        }
        while admission.usage().any(|(_, in_flight, _)| in_flight > 0) {
            admission.record_finished(&start("a"));
        }
    }
    expect_that!(at_once[0], eq(1));
    expect_that!(at_once.is_sorted(), eq(true), "{at_once:?}");
    expect_that!(at_once[3], ge(4), "{at_once:?}");
    // By now twice as many might be in flight.
    admission.record_rest(now, tag("a"), 100);
    let sent = (0..20).filter_map(|n| send(&mut admission, &view, now.plus(100), 1_000 + n));
    expect_that!(sent.count(), all!(ge(2), le(at_once[3])));
}

/// Guards against a request that was admitted before and is sent in a rest.
#[gtest]
fn an_admitted_request_is_not_sent_in_a_rest() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    let view = scene.view();
    let choice = send(&mut admission, &view, NOW, 1).expect("a place");
    let req = keyed(1, 0, NOW);
    expect_that!(admission.may_send(NOW, &view, &req, &choice), eq(true));
    admission.record_rest(NOW, tag("a"), REST_MS);
    expect_that!(admission.may_send(NOW, &view, &req, &choice), eq(false));
    let after = NOW.plus(REST_MS);
    expect_that!(admission.may_send(after, &view, &req, &choice), eq(true));
}

/// Guards against a rejected request that is sent to the same endpoint again at once, and against
/// others that wait for it.
#[gtest]
fn a_rejected_request_pauses_and_others_do_not() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    let view = scene.view();
    let mut rejected = keyed(1, 0, NOW);
    let mut pauses = Vec::new();
    let mut now = NOW;
    for _ in 0..3 {
        rejected.record_rejection(now, &start("a"));
        let decision = admission.submit(now, &view, rejected.clone());
        expect_that!(shown(decision.as_ref()), eq("waits"));
        let other = admission.submit(now, &view, keyed(2, 0, now));
        expect_that!(shown(other.as_ref()), eq("a"));
        let rejected_at = now;
        while admission.decide_waiting(now, &view).is_empty() {
            now = now.plus(10);
        }
        pauses.push(now.since(rejected_at));
    }
    expect_that!(pauses, elements_are![eq(&50), eq(&100), eq(&200)]);
}

/// Guards against a later start of an endpoint that is given the rest of the earlier one, and
/// against a rest of a day that is kept for an endpoint that is gone.
#[gtest]
fn a_rest_is_bound_to_its_start() {
    let mut scene = Scene::new();
    let mut admission = scene.admission(NOW);
    let day_ms = 86_400_000;
    for n in 0..10_000 {
        admission.record_rest(NOW, tag(&format!("e{n}")), day_ms);
    }
    admission.record_rest(NOW, tag("near"), day_ms);
    let later = NOW.plus(120_000);
    admission.update_view(later, &scene.view());
    expect_that!(admission.resting(later).count(), eq(1));
    let known = scene.registry().get(&start("near")).expect("it is listed");
    let mut listing = known.listing.clone();
    listing.start = EndpointStart::new("near", Some(later.0));
    scene.registry().put(later, listing);
    let decision = admission.submit(later, &scene.view(), job(1, later));
    expect_that!(shown(decision.as_ref()), starts_with("near"));
}

fn asked(name: &str) -> RestReport {
    RestReport {
        endpoint: tag(name),
        left_ms: 3_000,
        instances: 1,
    }
}

/// Guards against keys that move since one instance was asked for rest, and against keys that
/// return with the end of each rest.
#[gtest]
fn an_endpoint_is_full_when_many_instances_rest() {
    let mut rests = ReportedRests::default();
    let names = ["one", "two", "three"].map(InstanceName::new);
    for (n, name) in names.iter().enumerate() {
        expect_that!(rests.is_full(NOW, tag("a")), eq(false), "{n} asked");
        rests.hear(NOW, name, &[asked("a")], 12);
    }
    expect_that!(rests.is_full(NOW, tag("a")), eq(true));
    expect_that!(
        rests.sums(NOW).first().map(|sum| sum.instances),
        some(eq(3))
    );
    let after = NOW.plus(5_000);
    expect_that!(rests.sums(after), is_empty());
    expect_that!(rests.is_full(after, tag("a")), eq(true));
    rests.hear(NOW.plus(11_000), &names[0], &[], 12);
    expect_that!(rests.is_full(NOW.plus(11_000), tag("a")), eq(false));
}

/// Guards against reports that are too long to be sent, and against memory that is never freed.
#[gtest]
fn reported_rests_are_bounded() {
    let mut rests = ReportedRests::default();
    for n in 0..10_000 {
        let one = InstanceName::new("one");
        rests.hear(NOW.plus(n), &one, &[asked(&format!("e{n}"))], 12);
        expect_that!(rests.sums(NOW.plus(n)).len(), le(MAX_REPORTED));
    }
    expect_that!(rests.sums(NOW.plus(9_999)), len(eq(1)));
}
