//! Admission by the demand of all instances: what callers get while there is too little room.

mod admission_support;
mod fleet_world;

use admission_support::{Scene, keyed};
use citronway_core::gateway::admission::{Admission, Decision, ReportedLoad};
use citronway_core::gateway::fleet_admission::{
    AdmissionShares, CLASSES, FleetDemand, MAX_AGE_MS, QueueDemand, RANKS,
};
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::ids::EndpointStart;
use citronway_core::time::Mono;
use fleet_world::{Got, Kind, Plan, play};
use googletest::prelude::*;

const URGENT: Kind = Kind {
    rank: 0,
    per_s: [20.0; 2],
    objective_ms: 800,
    patience_ms: 4_000,
    repeats_at_once: false,
};
const USUAL: Kind = Kind {
    rank: 1,
    per_s: [45.0; 2],
    objective_ms: 1_000,
    patience_ms: 6_000,
    ..URGENT
};
const PATIENT: Kind = Kind {
    rank: 2,
    per_s: [15.0; 2],
    objective_ms: 2_000,
    patience_ms: 6_000,
    ..URGENT
};
const PLAN: Plan = Plan {
    instances: 80,
    is_on: true,
    lost: 0.0,
    first_half: 0.5,
    has_keys: true,
};

fn sum(halves: &[Got; 2]) -> Got {
    let [a, b] = halves;
    Got {
        asked: a.asked + b.asked,
        in_time: a.in_time + b.in_time,
        late: a.late + b.late,
        came_back: a.came_back + b.came_back,
        refused_again: a.refused_again + b.refused_again,
    }
}

/// Guards against urgent requests that are late behind those of other instances, and against ranks
/// that get nothing. Urgent ones ask for a third of the room, and the patient keep 6 of their 15
/// requests a second.
#[gtest]
fn the_urgent_are_in_time_and_no_rank_starves() {
    for (instances, lost) in [(12, 0.0), (80, 0.0), (80, 0.2), (300, 0.2)] {
        let plan = Plan {
            instances,
            lost,
            ..PLAN
        };
        let got = play(plan, &[URGENT, USUAL, PATIENT]);
        let parts: Vec<_> = got.iter().map(|got| sum(got).in_time_part()).collect();
        expect_that!(parts[0], ge(0.9), "{plan:?} {parts:?}");
        expect_that!(parts[1], ge(0.5), "{plan:?} {parts:?}");
        expect_that!(parts[2], ge(0.2), "{plan:?} {parts:?}");
    }
}

/// Guards against a service without keys at which ranks count only in each instance's own queue. Two
/// thirds of the value is what such deployments are to earn.
#[gtest]
fn the_urgent_go_first_without_keys_too() {
    let more = |kind: Kind| Kind {
        per_s: kind.per_s.map(|per_s| per_s * 1.5),
        ..kind
    };
    for instances in [12, 80] {
        let plan = Plan {
            instances,
            has_keys: false,
            ..PLAN
        };
        let got = play(plan, &[URGENT, USUAL, PATIENT].map(more));
        let urgent = sum(&got[0]).in_time_part();
        expect_that!(urgent, ge(0.66), "{instances}");
        expect_that!(urgent, ge(sum(&got[1]).in_time_part()), "{instances}");
    }
}

/// Guards against callers that are served the worse the more of them their instance has.
#[gtest]
fn instances_get_room_by_their_demand() {
    for instances in [12, 80] {
        let plan = Plan {
            instances,
            first_half: 0.8,
            ..PLAN
        };
        let got = play(plan, &[URGENT, USUAL]);
        let [busy, calm] = got[1].map(|half| half.in_time_part());
        expect_that!((busy - calm).abs(), le(0.1), "{instances} {busy} {calm}");
    }
}

/// Guards against callers that get more by repeating at once than those that wait as told.
#[gtest]
fn repeating_at_once_gains_nothing() {
    let waits = Kind {
        per_s: [40.0; 2],
        ..USUAL
    };
    let repeats = Kind {
        repeats_at_once: true,
        ..waits
    };
    let got = play(PLAN, &[waits, repeats]);
    let [waits, repeats] = [0, 1].map(|kind| sum(&got[kind]).in_time_part());
    expect_that!(repeats, le(waits + 0.05));
}

/// Guards against a time to retry at which there is no room, as all were told the same.
#[gtest]
fn most_of_those_that_come_back_as_told_find_room() {
    let burst = Kind {
        per_s: [35.0, 110.0],
        ..USUAL
    };
    for instances in [12, 80, 300] {
        let plan = Plan { instances, ..PLAN };
        let got = sum(&play(plan, &[burst])[0]);
        expect_that!(got.came_back, gt(0), "{got:?}");
        expect_that!(
            got.refused_again * 2,
            lt(got.came_back),
            "{instances} {got:?}"
        );
    }
}

/// Guards against decisions by sums that are lost, late or switched off, instead of as before.
#[gtest]
fn without_fresh_sums_all_is_decided_as_without_the_part() {
    let start = Mono(60_000);
    let queue = EndpointTag::of(&EndpointStart::new("a", None));
    let busy = QueueDemand {
        queue,
        waiting: [90; CLASSES],
        arrivals: [900; RANKS],
        ..QueueDemand::default()
    };
    let with = |is_on, at: Option<u64>| {
        let mut view = Scene::new().view();
        view.instances = 80;
        let reported = ReportedLoad {
            in_flight: 5,
            waiting: 40,
            is_sum: true,
            ..ReportedLoad::unknown()
        };
        view.reported_loads.insert(queue, reported);
        view.fleet = at.map(|at| FleetDemand::from_sums(Mono(at), &[busy], &[]));
        let mut admission = Admission::default().with_fleet_admission(is_on);
        admission.update_view(start.minus(1_000), &view);
        let mut decisions = Vec::new();
        for n in 0..400 {
            let now = start.plus(n * 7);
            let mut job = keyed(n, u16::try_from(n * 523 % 65_536).unwrap_or_default(), now);
            job.priority = u8::try_from(n % 3).unwrap_or_default();
            job.deadline = now.plus(300 + n * 37 % 2_000);
            job.spent_ms = n * 31 % 900;
            decisions.extend(admission.submit(now, &view, job).map(|made| (n, made)));
            decisions.extend(admission.decide_waiting(now, &view));
            let _ = admission.take_demand(now, &view);
            if let Some((_, Decision::Send(choice))) = decisions.iter().rev().nth(2) {
                admission.record_finished(&choice.endpoint.clone());
            }
        }
        decisions
    };
    let before = with(false, None);
    expect_that!(with(true, None), eq(&before));
    expect_that!(with(true, Some(start.0 - MAX_AGE_MS)), eq(&before));
    expect_that!(with(false, Some(start.0 + 2_800)), eq(&before));
    expect_that!(with(true, Some(start.0 + 2_800)), not(eq(&before)));
}

/// Guards against a caller that waited as told and is served after newcomers, or one that did not
/// and is served before them.
#[gtest]
fn who_comes_back_as_told_goes_before_newcomers() {
    let now = Mono(60_000);
    let mut view = Scene::new().view();
    view.fleet = Some(FleetDemand::from_reports(now, &[]));
    let mut admission = Admission::default().with_fleet_admission(true);
    admission.update_view(now.minus(1_000), &view);
    let mut sent = Vec::new();
    let mut order = Vec::new();
    for (ticket, spent_ms) in (0..12).map(|n| (n, 0)).chain([(20, 20), (21, 400)]) {
        let mut job = keyed(ticket, 1, now);
        job.spent_ms = spent_ms;
        // Deadlines alone would serve it first.
        job.deadline = job.deadline.minus(u64::from(ticket == 20));
        if let Some(Decision::Send(choice)) = admission.submit(now, &view, job) {
            sent.push(choice);
        }
    }
    for choice in &sent {
        admission.record_finished(&choice.endpoint);
        order.extend(
            admission
                .decide_waiting(now, &view)
                .into_iter()
                .map(|(n, _)| n),
        );
    }
    expect_that!(order[..2], elements_are![eq(&21), eq(&20)]);
}

/// Guards against refused callers of one instance that all come back in the same half second, in
/// which 15 are served.
#[gtest]
fn refused_callers_are_told_different_times() {
    let now = Mono(60_000);
    let mut view = Scene::new().view();
    let others = QueueDemand {
        queue: EndpointTag::of(&EndpointStart::new("a", None)),
        waiting: [9, 0, 0, 0, 0, 0, 0, 0],
        ..QueueDemand::default()
    };
    view.fleet = Some(FleetDemand::from_reports(now, &[(5, &[others])]));
    let mut admission = Admission::default().with_fleet_admission(true);
    admission.update_view(now.minus(1_000), &view);
    let mut told = [0; 8];
    for ticket in 0..60 {
        let mut job = keyed(ticket, 1, now);
        job.caller_deadline = now.plus(12_000);
        job.deadline = now.plus(250);
        if let Some(Decision::Refuse(refusal)) = admission.submit(now, &view, job) {
            told[usize::try_from(refusal.retry_after_ms / 500).unwrap_or_default()] += 1;
        }
    }
    expect_that!(told.iter().sum::<u32>(), ge(40));
    expect_that!(told, each(le(15)), "{told:?}");
}

/// Guards against many callers that are told the same time: each that was told takes a place.
#[gtest]
fn a_step_that_is_promised_away_is_not_promised_again() {
    let waiting = QueueDemand {
        waiting: [10, 0, 0, 0, 0, 0, 0, 0],
        ..QueueDemand::default()
    };
    let promised = QueueDemand {
        returns: [0, 5, 5, 0, 0, 0, 0, 0],
        ..waiting
    };
    let none = QueueDemand::default();
    let step = |own| AdmissionShares::new(own, &none, 0).return_step(7, 0.01, |_| 0);
    // Five are served in a step, and nine wait besides the one that is refused.
    expect_that!(step(&waiting), some(eq(1)));
    expect_that!(step(&promised), some(eq(3)));
}
