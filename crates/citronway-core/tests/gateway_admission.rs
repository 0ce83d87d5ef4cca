//! Admission at one instance: which requests are sent, queued or refused.

mod admission_support;

use admission_support::{Scene, job, keyed};
use citronway_core::gateway::admission::{Admission, Decision, Job, RefusalReason, ReportedLoad};
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::gateway::share::{Demand, in_flight_limit};
use citronway_core::ids::{EndpointStart, ZoneName};
use citronway_core::time::Mono;
use googletest::prelude::*;

const NOW: Mono = Mono(50_000);

fn endpoint(decision: Option<&Decision>) -> String {
    match decision {
        Some(Decision::Send(choice)) => choice.endpoint.to_string(),
        Some(Decision::Refuse(refusal)) => refusal.reason.as_str().to_owned(),
        Some(Decision::Forward) => "forward".to_owned(),
        None => "waits".to_owned(),
    }
}

#[gtest]
fn a_key_goes_to_its_owner_and_nowhere_else() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    for (ticket, key, owner) in [(1, 0, "a"), (2, 30_000, "a"), (3, 40_000, "b")] {
        let decision = admission.submit(NOW, &scene.view(), keyed(ticket, key, NOW));
        expect_that!(endpoint(decision.as_ref()), eq(owner));
    }
}

#[gtest]
fn without_an_owner_a_request_waits_and_is_refused_in_time() {
    let mut scene = Scene::new();
    scene.owners.clear();
    let mut admission = scene.admission(NOW);
    let decision = admission.submit(NOW, &scene.view(), keyed(1, 0, NOW));
    expect_that!(endpoint(decision.as_ref()), eq("waits"));
    let late = NOW.plus(1_950);
    let decided = admission.decide_waiting(late, &scene.view());
    expect_that!(endpoint(decided.first().map(|(_, v)| v)), eq("key_unowned"));
}

/// A range has a new owner that its grant has not reached yet. A request that arrives before the
/// grant is refused, and its retry counts against the retry budget.
#[gtest]
fn a_new_owner_is_given_time_for_its_grant() {
    let scene = Scene::new();
    let mut admission = Admission::default();
    admission.update_view(NOW, &scene.view());
    let decision = admission.submit(NOW.plus(2), &scene.view(), keyed(1, 0, NOW));
    expect_that!(endpoint(decision.as_ref()), eq("waits"));
    let decided = admission.decide_waiting(NOW.plus(30), &scene.view());
    expect_that!(endpoint(decided.first().map(|(_, v)| v)), eq("a"));
}

/// A holder has released its range. If all requests that wait for the range try the holder again
/// at once, up to 18 times each, they exhaust the retry budget.
#[gtest]
fn one_request_at_a_time_tries_a_holder_that_does_not_hold() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    let first = keyed(1, 0, NOW);
    let sent = admission.submit(NOW, &scene.view(), first.clone());
    expect_that!(endpoint(sent.as_ref()), eq("a"));
    admission.record_not_held(NOW, &scene.view(), &first, 8);
    admission.record_finished(&EndpointStart::new("a", None));
    for ticket in 2..6 {
        let decision = admission.submit(NOW, &scene.view(), keyed(ticket, 1, NOW));
        expect_that!(endpoint(decision.as_ref()), eq("waits"));
    }
    let decided = admission.decide_waiting(NOW.plus(60), &scene.view());
    expect_that!(decided.len(), eq(1));
}

#[gtest]
fn an_endpoint_gets_no_more_than_its_places() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    let verdicts: Vec<_> = (0..30)
        .map(|ticket| admission.submit(NOW, &scene.view(), keyed(ticket, 0, NOW)))
        .collect();
    let sends = verdicts
        .iter()
        .filter(|v| matches!(v, Some(Decision::Send(_))));
    let sent = sends.count();
    expect_that!(sent, eq(in_flight_limit(6) as usize));
}

/// Another instance has as many requests for the endpoint as this one. Each uses half of the
/// slots, so that the endpoint refuses none.
#[gtest]
fn a_full_endpoint_is_shared_with_other_instances() {
    let mut scene = Scene::new();
    let other = Demand {
        rank: 99,
        wanted: 30,
    };
    let standing = ReportedLoad {
        others: vec![other],
        in_flight: 4,
        waiting: 26,
        ..ReportedLoad::unknown()
    };
    scene
        .reported_loads
        .insert(EndpointTag::of(&EndpointStart::new("a", None)), standing);
    let mut admission = scene.admission(NOW);
    for ticket in 0..30 {
        let _ = admission.submit(NOW, &scene.view(), keyed(ticket, 0, NOW));
    }
    let _ = admission.decide_waiting(NOW, &scene.view());
    let sent: u32 = admission.usage().map(|(_, in_flight, _)| in_flight).sum();
    expect_that!(sent, all!(ge(3), le(5)));
}

/// Batch requests are queued for a full endpoint when an interactive one arrives. It goes first
/// as soon as a slot is free.
#[gtest]
fn the_more_urgent_goes_first() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    for ticket in 0..20 {
        let _ = admission.submit(NOW, &scene.view(), keyed(ticket, 0, NOW));
    }
    let mut urgent = keyed(100, 0, NOW);
    urgent.priority = 0;
    expect_that!(admission.submit(NOW, &scene.view(), urgent), none());
    admission.record_finished(&EndpointStart::new("a", None));
    let decided = admission.decide_waiting(NOW.plus(10), &scene.view());
    expect_that!(decided.first().map(|(ticket, _)| *ticket), some(eq(100)));
}

/// Three times as many requests arrive as an endpoint can run. A request that would wait beyond
/// its deadline is refused at once, with a retry-after time, and not at its deadline.
#[gtest]
fn a_request_that_cannot_be_served_in_time_is_refused_at_once() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    let mut refused = Vec::new();
    for ticket in 0..200 {
        match admission.submit(NOW, &scene.view(), keyed(ticket, 0, NOW)) {
            Some(Decision::Refuse(refusal)) => refused.push(refusal),
            Some(Decision::Send(_) | Decision::Forward) | None => {}
        }
    }
    // 2 s at six slots of 200 ms: about 60 requests, and the endpoint's queue.
    expect_that!(refused.len(), all!(ge(130), le(150)));
    for refusal in refused {
        expect_that!(refusal.reason, eq(RefusalReason::Overloaded));
        expect_that!(refusal.retry_after_ms, all!(ge(60), le(4_000 / 3)));
    }
}

/// A key gets more requests than its endpoint can answer. A request that can no longer meet its
/// objective goes after those that can, although its deadline is earlier.
#[gtest]
fn requests_that_can_meet_their_objective_go_first() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    for ticket in 0..12 {
        let _ = admission.submit(NOW, &scene.view(), keyed(ticket, 0, NOW));
    }
    let later = NOW.plus(500);
    expect_that!(
        admission.submit(later, &scene.view(), keyed(50, 0, later)),
        none()
    );
    admission.record_finished(&EndpointStart::new("a", None));
    let decided = admission.decide_waiting(later, &scene.view());
    expect_that!(decided.first().map(|(ticket, _)| *ticket), some(eq(50)));
}

#[gtest]
fn work_without_a_key_goes_to_the_least_loaded_in_the_own_zone() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    let mut sent = std::collections::BTreeMap::new();
    for ticket in 0..10 {
        let decision = admission.submit(NOW, &scene.view(), job(ticket, NOW));
        *sent.entry(endpoint(decision.as_ref())).or_insert(0) += 1;
    }
    // `near` is in this zone, `far1` and `far2` are not; each has six slots.
    expect_that!(sent.get("near").copied().unwrap_or(0), ge(4));
    expect_that!(sent.len(), eq(3));
}

#[gtest]
fn a_draining_endpoint_gets_no_new_work() {
    let mut scene = Scene::new();
    scene.drain("near");
    let mut admission = scene.admission(NOW);
    for ticket in 0..10 {
        let decision = admission.submit(NOW, &scene.view(), job(ticket, NOW));
        expect_that!(endpoint(decision.as_ref()), not(eq("near")));
    }
}

/// A machine stops responding while connections to it stay open. Non-idempotent requests are no
/// longer sent to it, long before its entry expires.
#[gtest]
fn an_unresponsive_endpoint_is_avoided() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    let first = admission.submit(NOW, &scene.view(), job(1, NOW));
    expect_that!(endpoint(first.as_ref()), eq("near"));
    let later = NOW.plus(1_000);
    for ticket in 2..8 {
        let decision = admission.submit(later, &scene.view(), job(ticket, later));
        expect_that!(endpoint(decision.as_ref()), not(eq("near")));
    }
}

#[gtest]
fn an_endpoint_that_takes_no_connection_is_tried_again_later() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    admission.record_failure(NOW, &EndpointStart::new("a", None));
    let decision = admission.submit(NOW, &scene.view(), keyed(1, 0, NOW));
    expect_that!(endpoint(decision.as_ref()), eq("waits"));
    let decided = admission.decide_waiting(NOW.plus(260), &scene.view());
    expect_that!(endpoint(decided.first().map(|(_, v)| v)), eq("a"));
}

#[gtest]
fn a_caller_that_leaves_frees_its_place_in_the_queue() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    for ticket in 0..12 {
        let _ = admission.submit(NOW, &scene.view(), keyed(ticket, 0, NOW));
    }
    expect_that!(admission.waiting_count(), eq(3));
    admission.remove(10);
    expect_that!(admission.waiting_count(), eq(2));
}

/// An instance stops while a request is queued for an owner that has no room. Without a refusal,
/// its connection closes with the process and the caller gets no answer.
#[gtest]
fn a_request_that_waits_is_refused_before_its_instance_ends() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    for ticket in 0..u64::from(in_flight_limit(6)) {
        admission.submit(NOW, &scene.view(), keyed(ticket, 0, NOW));
    }
    let waits = admission.submit(NOW, &scene.view(), keyed(90, 0, NOW));
    expect_that!(endpoint(waits.as_ref()), eq("waits"));
    let end = NOW.plus(1_000);
    admission.limit_deadlines(end);
    expect_that!(
        admission.decide_waiting(NOW.plus(700), &scene.view()),
        is_empty()
    );
    let decided = admission.decide_waiting(end.minus(200), &scene.view());
    expect_that!(decided.len(), eq(1));
    expect_that!(endpoint(decided.first().map(|(_, v)| v)), eq("overloaded"));
    let late = admission.submit(end.minus(100), &scene.view(), keyed(91, 0, NOW));
    expect_that!(endpoint(late.as_ref()), eq("overloaded"));
}

/// A slot becomes free for a queued request of an instance that is about to end. If the request is
/// sent, its work is aborted with the process and its caller gets no answer. If it is refused,
/// the caller goes to another instance at once.
#[gtest]
fn work_that_would_outlast_its_instance_is_refused_and_not_sent() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    let end = NOW.plus(5_000);
    admission.limit_deadlines(end);
    // Five in six requests with work of 200 ms take up to 320 ms.
    let in_time = admission.submit(end.minus(330), &scene.view(), keyed(1, 0, NOW.plus(4_000)));
    expect_that!(endpoint(in_time.as_ref()), eq("a"));
    for job in [keyed(2, 0, NOW.plus(4_000)), job(3, NOW.plus(4_000))] {
        let late = admission.submit(end.minus(310), &scene.view(), job);
        expect_that!(endpoint(late.as_ref()), eq("stopping"));
    }
}

/// Keys in demand move to a new owner, which resets the connections that it has no room for. A
/// request that is retried there at once is reset again.
#[gtest]
fn an_endpoint_that_resets_connections_is_avoided_for_a_moment() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    let a = EndpointStart::new("a", None);
    admission.record_reset(NOW, &a);
    let waits = admission.submit(NOW.plus(10), &scene.view(), keyed(1, 0, NOW));
    expect_that!(endpoint(waits.as_ref()), eq("waits"));
    let decided = admission.decide_waiting(NOW.plus(60), &scene.view());
    expect_that!(endpoint(decided.first().map(|(_, v)| v)), eq("a"));
    // After the second reset it is avoided for longer.
    admission.record_reset(NOW.plus(61), &a);
    admission.submit(NOW.plus(62), &scene.view(), keyed(2, 0, NOW));
    expect_that!(
        admission.decide_waiting(NOW.plus(130), &scene.view()),
        is_empty()
    );
}

/// A range moves to another endpoint. Its holder releases it within milliseconds, and each
/// instance that still sends there is refused and loses a retry.
#[gtest]
fn a_range_on_its_way_is_waited_for() {
    let mut scene = Scene::new();
    let mut admission = scene.admission(NOW);
    scene.move_first_to("b");
    admission.update_view(NOW, &scene.view());
    let decision = admission.submit(NOW.plus(5), &scene.view(), keyed(1, 0, NOW));
    expect_that!(endpoint(decision.as_ref()), eq("waits"));
    // The leader cannot reach the holder; others may.
    let decided = admission.decide_waiting(NOW.plus(1_000), &scene.view());
    expect_that!(endpoint(decided.first().map(|(_, v)| v)), eq("a"));
}

/// Requests with answers of 90 kilobytes go to another zone as soon as the local endpoint has a
/// few requests, and their transfer costs more than the wait would.
#[gtest]
fn a_large_answer_stays_near_where_a_short_one_crosses() {
    let scene = Scene::new();
    for (answer_bytes, crossing) in [(500, true), (90_000, false)] {
        let mut admission = scene.admission(NOW);
        let mut found = Vec::new();
        for ticket in 0..6 {
            let job = Job {
                answer_bytes,
                ..job(ticket, NOW)
            };
            let decision = admission.submit(NOW, &scene.view(), job);
            found.push(endpoint(decision.as_ref()));
        }
        expect_that!(found.iter().any(|name| name != "near"), eq(crossing));
    }
}

/// An instance that spreads its requests over all endpoints opens a connection for nearly every
/// one. Among equal endpoints, one with an idle connection is preferred; for non-idempotent
/// requests only within two seconds.
#[gtest]
fn an_open_connection_is_used_again() {
    let scene = Scene::new();
    let mut view = scene.view();
    view.zone = ZoneName::new("elsewhere");
    for (idle_ms, again) in [(1_500, true), (2_500, false)] {
        let mut admission = scene.admission(NOW);
        let mut names = Vec::new();
        for ticket in 0..12 {
            let now = NOW.plus(ticket * idle_ms);
            let decision = admission.submit(now, &view, job(ticket, now));
            names.push(endpoint(decision.as_ref()));
            if let Some(Decision::Send(choice)) = decision {
                admission.record_answer(now, &choice, None);
                admission.record_finished(&choice.endpoint);
            }
        }
        names.dedup();
        expect_that!(names.len() == 1, eq(again));
    }
}

/// Ninety instances in four zones have one request each for one endpoint. If each knows only the
/// requests of its own zone, all are sent, and the endpoint refuses most or queues them for
/// seconds. With the sum over all instances, about as many are sent as there are slots, and
/// every instance gets to send.
#[gtest]
fn a_sum_of_all_keeps_an_endpoint_from_being_overrun() {
    let mut scene = Scene::new();
    let tag = EndpointTag::of(&EndpointStart::new("a", None));
    let sum = |in_flight, waiting| ReportedLoad {
        in_flight,
        waiting,
        is_sum: true,
        ..ReportedLoad::unknown()
    };
    scene.reported_loads.insert(tag, sum(0, 89));
    let mut view = scene.view();
    let periods = 50;
    let mut sent = 0;
    let mut served = [0; 90];
    for period in 0..periods {
        let now = NOW.plus(period * 200);
        for (rank, served) in served.iter_mut().enumerate() {
            view.rank = rank as u64;
            let mut admission = scene.admission(now);
            let decision = admission.submit(now, &view, keyed(1, 0, now));
            let went = matches!(decision, Some(Decision::Send(_)));
            sent += u64::from(went);
            *served += u64::from(went);
        }
    }
    expect_that!(sent / periods, all!(ge(7), le(11)));
    expect_that!(served.iter().filter(|count| **count == 0).count(), le(3));
    // No instance sends while the endpoint is full, however many requests wait.
    scene.reported_loads.insert(tag, sum(25, 30));
    for period in 0..periods {
        let now = NOW.plus(period * 200);
        let verdict = scene
            .admission(now)
            .submit(now, &scene.view(), keyed(1, 0, now));
        expect_that!(endpoint(verdict.as_ref()), eq("waits"));
    }
}
