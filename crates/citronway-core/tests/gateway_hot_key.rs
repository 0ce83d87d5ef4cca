//! One key with more requests than its owner can serve.

#[path = "admission_support/mod.rs"]
mod admission_support;

use admission_support::{Scene, keyed, shown};
use citronway_core::gateway::admission::{Admission, Decision, RefusalReason, View};
use citronway_core::gateway::share::in_flight_limit;
use citronway_core::ids::ServiceName;
use citronway_core::time::Mono;
use googletest::prelude::*;

const NOW: Mono = Mono(10_000);
const HOT: u16 = 1_000;

/// A view with the hot key's owner, six slots with work of 200 ms, and an admission at which 60
/// requests for the key have arrived; returns the refusals.
fn overload(fast: bool) -> (View, Admission, Vec<(RefusalReason, u64)>) {
    let scene = Scene::new();
    let mut view = scene.view();
    if fast {
        view.divided_fast = vec![ServiceName::new("batch")];
    }
    let mut admission = scene.admission(NOW);
    let mut refused = Vec::new();
    for ticket in 0..60 {
        let decision = admission.submit(NOW, &view, keyed(ticket, HOT, NOW));
        if let Some(Decision::Refuse(refusal)) = decision {
            refused.push((refusal.reason, refusal.retry_after_ms));
        }
    }
    (view, admission, refused)
}

/// Guards against requests for a key that wait for seconds and are then too late: what its owner
/// cannot serve in time is refused at once, with the time at which the others have been served.
#[gtest]
fn what_a_hot_keys_owner_cannot_serve_in_time_is_refused_at_once() {
    let (_, admission, refused) = overload(true);
    // Twelve end within the objective of 600 ms after those that are sent.
    let sent = usize::try_from(in_flight_limit(6)).unwrap_or_default();
    expect_that!(admission.waiting_count(), le(12));
    expect_that!(refused.len(), ge(60 - 12 - sent));
    for (reason, retry_after_ms) in refused {
        expect_that!(reason, eq(RefusalReason::KeyOverloaded));
        expect_that!(retry_after_ms, ge(200));
    }
}

/// Guards against other keys of the owner that wait behind the hot one.
#[gtest]
fn other_keys_of_the_owner_go_first() {
    let (view, mut admission, _) = overload(true);
    let other = admission.submit(NOW, &view, keyed(100, HOT + 1, NOW));
    expect_that!(shown(other.as_ref()), eq("waits"));
    let sent = admission.submit(NOW, &view, keyed(101, HOT + 2, NOW));
    expect_that!(shown(sent.as_ref()), eq("waits"));
    let owner = view.owners[&ServiceName::new("batch")].assignment.ranges[0].clone();
    admission.record_finished(&owner.holder.endpoint);
    admission.record_finished(&owner.holder.endpoint);
    let decided = admission.decide_waiting(NOW.plus(10), &view);
    let sent = decided
        .iter()
        .filter(|(_, decision)| matches!(decision, Decision::Send(_)));
    let tickets: Vec<_> = sent.map(|(ticket, _)| *ticket).collect();
    expect_that!(tickets, elements_are![eq(&100), eq(&101)]);
}

/// Guards against another treatment of hot keys where hot ranges are not divided at once.
#[gtest]
fn without_fast_division_requests_wait_up_to_their_deadlines() {
    let (_, admission, refused) = overload(false);
    // 48 end within the deadline of 2 s.
    expect_that!(admission.waiting_count(), ge(45));
    for (reason, _) in refused {
        expect_that!(reason, eq(RefusalReason::Overloaded));
    }
}
