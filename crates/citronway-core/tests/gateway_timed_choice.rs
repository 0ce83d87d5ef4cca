//! Choice of endpoints of a service without keys by when requests are expected to end there, against
//! the choice by load, in plays of many instances with late sums.

mod admission_support;
mod timed_choice_support;

use admission_support::{Scene, job, shown};
use citronway_core::gateway::admission::Admission;
use citronway_core::gateway::pace::{Answers, EndpointPaces, EndpointTag, Pace};
use citronway_core::gateway::settings::Switch;
use citronway_core::time::Mono;
use googletest::prelude::*;
use timed_choice_support::{Demand, Outcome, Play, World, route_table};

const URGENT: usize = 0;
const PATIENT: usize = 1;

/// Uploads with half a second and downloads with two, at endpoints that turn slow for moments.
fn uploads_and_downloads(load: f64, seed: u64) -> Play {
    let uploads = Demand {
        per_s: 172.0 * load,
        work_ms: 160.0,
        objective_ms: 500,
        timeout_ms: 2_000,
        priority: 0,
        answer_bytes: 400,
    };
    let downloads = Demand {
        per_s: 191.0 * load,
        objective_ms: 2_000,
        timeout_ms: 6_000,
        priority: 2,
        answer_bytes: 90_000,
        ..uploads
    };
    Play {
        instances: 79,
        endpoints: 43,
        slots: 3,
        queue: 12,
        speeds: (0.5, 1.5),
        slow_share: 0.2,
        routes: vec![uploads, downloads],
        states_load: true,
        hangs_at: None,
        for_ms: 14_000,
        seed,
    }
}

/// Short reads beside downloads, at endpoints that never answer what they cannot queue.
fn reads_and_downloads(load: f64, seed: u64) -> Play {
    let reads = Demand {
        per_s: 325.0 * load,
        work_ms: 52.0,
        objective_ms: 400,
        timeout_ms: 1_200,
        priority: 1,
        answer_bytes: 1_500,
    };
    let downloads = Demand {
        per_s: 154.0 * load,
        work_ms: 100.0,
        objective_ms: 1_000,
        timeout_ms: 6_000,
        priority: 2,
        answer_bytes: 90_000,
    };
    Play {
        instances: 65,
        endpoints: 38,
        slots: 2,
        queue: 8,
        speeds: (0.6, 1.4),
        slow_share: 0.0,
        routes: vec![reads, downloads],
        states_load: false,
        ..uploads_and_downloads(load, seed)
    }
}

/// Outcomes by load and by expected end.
fn both(play: &Play) -> [Vec<Outcome>; 2] {
    [Switch::Off, Switch::On].map(|choice| World::new(play.clone(), choice).run())
}

/// Guards against urgent work that waits behind patient work or runs on slow endpoints: fewer of it
/// ended in time than of the patient work.
#[gtest]
fn more_urgent_requests_end_in_time_and_no_fewer_patient_ones() {
    for (load, seed) in [(1.0, 1), (1.7, 3)] {
        let [by_load, by_end] = both(&uploads_and_downloads(load, seed));
        println!("load {load}: {by_load:?} {by_end:?}");
        let late = |outcomes: &[Outcome]| 1.0 - outcomes[URGENT].share_in_time();
        expect_that!(late(&by_end), lt(late(&by_load) * 0.9), "load {load}");
        let in_time = |outcomes: &[Outcome]| outcomes[PATIENT].share_in_time();
        expect_that!(in_time(&by_end), ge(in_time(&by_load)), "load {load}");
    }
}

/// Guards against requests that are lost at endpoints which never answer what they cannot queue.
#[gtest]
fn endpoints_get_no_more_than_they_queue() {
    for seed in [4, 5, 6] {
        let [by_load, by_end] = both(&reads_and_downloads(1.0, seed));
        println!("{by_load:?} {by_end:?}");
        for outcome in &by_end {
            expect_that!(outcome.overflowed, eq(0), "seed {seed}");
        }
    }
    let [by_load, by_end] = both(&reads_and_downloads(1.7, 7));
    println!("{by_load:?} {by_end:?}");
    let lost = |outcomes: &[Outcome]| outcomes.iter().map(|o| o.overflowed).sum::<u32>();
    expect_that!(lost(&by_end), le(lost(&by_load)));
    for route in [URGENT, PATIENT] {
        let in_time = |outcomes: &[Outcome]| outcomes[route].share_in_time();
        expect_that!(in_time(&by_end), ge(in_time(&by_load)), "route {route}");
    }
}

/// Guards against short work that goes on being sent to an endpoint that hangs for half a second, a
/// multiple of what this endpoint takes.
#[gtest]
fn an_endpoint_that_hangs_is_left_by_its_own_pace() {
    let play = Play {
        hangs_at: Some(6_000),
        ..reads_and_downloads(1.0, 8)
    };
    let [by_load, by_end] = both(&play);
    println!("{by_load:?} {by_end:?}");
    let hung = |outcomes: &[Outcome]| outcomes.iter().map(|o| o.hung).sum::<u32>();
    expect_that!(hung(&by_end), le(hung(&by_load)));
}

/// Guards against a change for deployments that do not call for the feature.
#[gtest]
fn without_the_switch_or_uneven_objectives_choices_are_by_load() {
    for (choice, objectives, is_timed) in [
        (Switch::Off, [500, 2_000], false),
        (Switch::Auto, [500, 1_499], false),
        (Switch::Auto, [500, 1_500], true),
        (Switch::On, [500, 500], true),
    ] {
        let mut view = Scene::new().view();
        view.instances = 79;
        let mut by_load = Admission::default();
        by_load.update_view(Mono(0), &view);
        view.routes = Some(route_table("console", &objectives));
        let mut admission = Admission::new(choice);
        admission.update_view(Mono(0), &view);
        expect_that!(
            admission.timed_services().count(),
            eq(usize::from(is_timed))
        );
        for ticket in 0..40 {
            let now = Mono(1_000 + 7 * ticket);
            let expected = by_load.submit(now, &view, job(ticket, now));
            let decided = admission.submit(now, &view, job(ticket, now));
            if !is_timed {
                expect_that!(decided, eq(&expected), "{}", shown(expected.as_ref()));
            }
        }
    }
}

/// Guards against a spread that is not told from answers: an unsteady endpoint got urgent work as a
/// steady one of the same mean does.
#[gtest]
fn the_spread_of_an_endpoint_shows_in_its_answers() {
    let mut paces = EndpointPaces::default();
    let (steady, unsteady) = (EndpointTag(1), EndpointTag(2));
    for n in 0..40_u64 {
        let now = Mono(n * 100);
        let answer = |relative| Answers {
            served: 1.0,
            relative,
            failed: 0.0,
        };
        paces.add(now, steady, &answer(1.0));
        paces.add(now, unsteady, &answer(if n % 4 == 0 { 3.4 } else { 0.2 }));
    }
    let all = paces.estimates(Mono(4_000));
    expect_that!(all[&steady].spread, lt(Pace::UNKNOWN.spread));
    expect_that!(all[&unsteady].spread, gt(2.0 * Pace::UNKNOWN.spread));
    expect_that!(all[&unsteady].slowness, near(1.0, 0.3));
}
