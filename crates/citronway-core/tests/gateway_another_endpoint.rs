//! Requests that are at an endpoint which takes longer than usual.

mod admission_support;

use admission_support::{Scene, job, keyed, shown};
use citronway_core::gateway::admission::{Admission, Decision, Job};
use citronway_core::gateway::limit::EndpointLoad;
use citronway_core::gateway::routes::Repeat;
use citronway_core::ids::EndpointStart;
use citronway_core::time::Mono;
use googletest::prelude::*;

const NOW: Mono = Mono(10_000);

/// Latency objective of the route, in milliseconds.
const OBJECTIVE_MS: u64 = 600;

fn repeatable(ticket: u64) -> Job {
    Job {
        repeat: Repeat::Idempotent,
        ..job(ticket, NOW)
    }
}

/// Sends a job and returns the endpoint that has it.
fn sent(admission: &mut Admission, scene: &Scene, job: &Job) -> EndpointStart {
    match admission.submit(NOW, &scene.view(), job.clone()) {
        Some(Decision::Send(choice)) => choice.endpoint,
        other => panic!("not sent: {}", shown(other.as_ref())),
    }
}

fn load(waiting: u32) -> EndpointLoad {
    EndpointLoad {
        running: 2,
        waiting,
        slots: 2,
    }
}

/// Guards against a second copy at the endpoint that has the request.
#[gtest]
fn the_other_endpoint_gets_the_request_and_no_endpoint_gets_it_twice() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    let mut job = repeatable(1);
    let mut open_at = vec![sent(&mut admission, &scene, &job)];
    job.tried.clone_from(&open_at);
    while let Some(decision) = admission.find_another(NOW, &scene.view(), &job, &open_at) {
        let Decision::Send(choice) = decision else {
            panic!("not sent: {}", shown(Some(&decision)));
        };
        expect_that!(open_at, not(contains(eq(&choice.endpoint))));
        open_at.push(choice.endpoint);
        job.tried.clone_from(&open_at);
    }
    let all = scene.view().registry.of_service(&job.service).count();
    expect_that!(open_at.len(), eq(all));
}

/// Guards against requests at an endpoint that overtake those which wait for one.
#[gtest]
fn those_that_wait_go_first() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    let mut first = repeatable(1);
    let open_at = vec![sent(&mut admission, &scene, &first)];
    first.tried.clone_from(&open_at);
    let mut taken = Vec::new();
    while let Some(decision) = admission.find_another(NOW, &scene.view(), &first, &open_at) {
        let Decision::Send(choice) = decision else {
            panic!("not sent: {}", shown(Some(&decision)));
        };
        taken.push(choice.endpoint);
    }
    for ticket in 2..30 {
        let _ = admission.submit(NOW, &scene.view(), repeatable(ticket));
    }
    admission.record_finished(&taken[0]);
    let found = admission.find_another(NOW, &scene.view(), &first, &open_at);
    expect_that!(shown(found.as_ref()), eq("waits"));
}

/// Guards against an endpoint that counts as silent because its queue is long, as it has stated.
#[gtest]
fn a_stated_queue_is_no_silence() {
    let scene = Scene::new();
    let mut admission = scene.admission(NOW);
    let job = repeatable(1);
    let endpoint = sent(&mut admission, &scene, &job);
    let silent_after =
        |admission: &Admission, now| admission.silent_after_ms(now, &job, &endpoint, OBJECTIVE_MS);
    let usual = silent_after(&admission, NOW).expect("it may be repeated");
    admission.record_stated_load(NOW, &endpoint, load(6));
    expect_that!(
        silent_after(&admission, NOW),
        some(eq(usual + 3 * job.work_ms))
    );
    // What was stated long ago tells nothing.
    expect_that!(silent_after(&admission, NOW.plus(5_000)), some(eq(usual)));
    admission.record_stated_load(NOW, &endpoint, load(0));
    expect_that!(silent_after(&admission, NOW), some(eq(usual)));
}

/// Guards against second copies of work that must not be repeated or that only one endpoint may run.
#[gtest]
fn other_work_never_counts_as_silent() {
    let scene = Scene::new();
    let admission = scene.admission(NOW);
    let endpoint = EndpointStart::new("any", None);
    let owned = Job {
        repeat: Repeat::Idempotent,
        ..keyed(2, 3, NOW)
    };
    for job in [job(1, NOW), owned] {
        let after = admission.silent_after_ms(NOW, &job, &endpoint, OBJECTIVE_MS);
        expect_that!(after, none());
    }
}
