//! Copies of a request that crashes endpoints arrive at all instances at once.

mod gateway_support;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use gateway_support::crashing::{BAD, Service, call, crash};
use gateway_support::{Deployment, Instance, until};
use googletest::prelude::*;

const INSTANCES: usize = 4;

/// Callers that repeat the request at each instance.
const CALLERS: usize = 3;

/// How long the callers repeat it; meanwhile the key gets an owner again several times.
const TEST_DURATION: Duration = Duration::from_secs(24);

/// Longest pause of a caller between two requests.
const MAX_PAUSE: Duration = Duration::from_millis(300);

/// Time from the start of the request to the crash, in which other copies start.
const CRASH_DELAY: Duration = Duration::from_millis(80);

/// Number of crashed runs after which the request is classified as harmful, time within which
/// all instances learn it, and number of sends allowed after that.
const KNOWN_AFTER: usize = 3;
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
const ALLOWED_AFTER: usize = 3;

/// Repeats the request until `stop` is set, and waits for the stated retry time in between.
fn repeat(instance: &Instance, start: &str, ids: &AtomicUsize, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let id = ids.fetch_add(1, Ordering::Relaxed);
        let reply = call(instance, start, id);
        let retry_after = reply.header("retry-after").and_then(|s| s.parse().ok());
        let pause = retry_after.map_or(MAX_PAUSE, Duration::from_secs_f64);
        std::thread::sleep(pause.min(MAX_PAUSE));
    }
}

/// Start times, in order, of the runs that a crash ended.
fn ended_runs(service: &Service<'_>) -> Vec<Instant> {
    let crashed = service.all.iter().filter(|e| e.has_crashed());
    let runs = crashed.flat_map(citronway_standin::shared::FencedEndpoint::ran);
    let mut begun: Vec<_> = runs
        .filter(|ran| ran.what.ends_with(BAD))
        .map(|ran| ran.at)
        .collect();
    begun.sort();
    begun
}

fn run_copies(service: &mut Service<'_>, start: &str) -> Vec<Instant> {
    for endpoint in &service.all {
        endpoint.crash_on_after(BAD, CRASH_DELAY);
    }
    let instances: Vec<_> = (0..INSTANCES)
        .map(|n| service.deployment.ready_instance(&format!("one-{n}")))
        .collect();
    let (ids, stop) = (AtomicUsize::new(0), AtomicBool::new(false));
    let end = Instant::now() + TEST_DURATION;
    std::thread::scope(|scope| {
        for instance in instances.iter().cycle().take(INSTANCES * CALLERS) {
            scope.spawn(|| repeat(instance, start, &ids, &stop));
        }
        while Instant::now() < end {
            let known = service.all.len();
            service.replace_crashed();
            for endpoint in &service.all[known..] {
                endpoint.crash_on_after(BAD, CRASH_DELAY);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        stop.store(true, Ordering::Relaxed);
    });
    ended_runs(service)
}

fn expect_few_after_the_third(ended: &[Instant], what: &str) {
    let third = ended[KNOWN_AFTER - 1];
    let after = ended.iter().filter(|at| **at > third + KNOWN_WITHIN);
    expect_that!(after.count(), le(ALLOWED_AFTER), "{what}: {}", ended.len());
}

/// Guards against copies that gather while their key has no owner and reach the next owner
/// together.
#[gtest]
fn copies_that_waited_for_an_owner_are_not_sent_together() {
    for start in ["GET /look/bad", "POST /apply/bad"] {
        let deployment = Deployment::new();
        let mut batch = Service::batch(&deployment);
        let ended = run_copies(&mut batch, start);
        expect_few_after_the_third(&ended, start);
    }
}

/// Guards against an instance that starts after a crash and sends copies of suspect work
/// without asking for a trial.
#[gtest]
fn an_instance_that_starts_later_is_told_of_suspects() {
    let deployment = Deployment::new();
    let mut console = Service::console(&deployment);
    let first = deployment.ready_instance("first");
    crash(
        &mut console,
        std::slice::from_ref(&first),
        "GET /status/bad",
        1,
    );
    // By then all reports of the crash have been sent.
    std::thread::sleep(KNOWN_WITHIN);
    let later = deployment.ready_instance("later");
    until("it knows of the suspect", || {
        later.metrics().contains("citronway_crash_suspects 1")
    });
}
