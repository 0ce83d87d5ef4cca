//! Endpoints that state how many requests a second they take from all instances together.

mod gateway_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use citronway_standin::shared::{Excess, FencedEndpoint, SENDER_HEADER, STABLE};
use gateway_support::{Deployment, Instance, exchange, head, until};
use googletest::prelude::*;

/// Time for which a limit is watched.
const WATCHED: Duration = Duration::from_secs(8);

/// Part of a limit that is used at least while enough work waits.
const USED_PART: f64 = 0.9;

/// Callers of an instance, each of which sends one request after the other.
const CALLERS: u64 = 4;

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(40);

/// Time that callers wait, in milliseconds.
const CALLER_WAIT_MS: u64 = 1_500;

/// A key of endpoint `a` or `b`, whichever owns the lower half.
const KEY: u16 = 7;

/// Callers that send requests to an instance until they are dropped.
struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(instance: &Instance, start: &'static str) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let callers = (0..CALLERS).map(|n| {
            let stop = Arc::clone(&stop);
            let (address, name) = (instance.callers, instance.name().to_owned());
            std::thread::spawn(move || {
                let mut sent = 0_u64;
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("{name}-{n}-{sent}");
                    let headers = format!(
                        "X-Request-Id: {id}\r\nX-Shard-Key: {KEY}\r\n{SENDER_HEADER}: {name}\r\n"
                    );
                    // A stopping instance may take no connection.
                    let _ = exchange(address, &head(start, &headers, CALLER_WAIT_MS, 0), "");
                    sent += 1;
                    std::thread::sleep(PAUSE);
                }
            })
        });
        Self {
            callers: callers.collect(),
            stop,
        }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for caller in self.callers.drain(..) {
            assert!(caller.join().is_ok(), "a caller panicked");
        }
    }
}

/// Lets time pass while a limit is in force.
fn watch() -> (Instant, Instant) {
    std::thread::sleep(STABLE);
    let from = Instant::now();
    std::thread::sleep(WATCHED);
    (from, Instant::now())
}

fn first_excess(endpoint: &FencedEndpoint) -> Option<Excess> {
    let excesses = endpoint.limits().excesses(|_, _| false);
    excesses.first().copied()
}

/// The endpoint that owns [`KEY`].
fn owner(deployment: &Deployment) -> &FencedEndpoint {
    until("the key has an owner", || {
        deployment.a.holds(KEY) || deployment.b.holds(KEY)
    });
    if deployment.a.holds(KEY) {
        return &deployment.a;
    }
    &deployment.b
}

fn three_instances(deployment: &Deployment) -> [Instance; 3] {
    ["one", "two", "three"].map(|name| deployment.ready_instance(name))
}

/// Guards against instances that together send an endpoint more than it states.
#[gtest]
fn all_instances_together_keep_the_limit_that_an_endpoint_states() {
    let deployment = Deployment::new();
    let instances = three_instances(&deployment);
    let owner = owner(&deployment);
    let endpoints = [(owner, 6.0), (&deployment.c, 4.0)];
    let _keyed = instances.each_ref().map(|i| Load::start(i, "GET /look/1"));
    let _others = instances
        .each_ref()
        .map(|i| Load::start(i, "GET /status/1"));
    for (endpoint, per_s) in endpoints {
        endpoint.state_limit(Some(per_s));
    }
    for instance in &instances {
        until("the instance was told", || {
            let metrics = instance.metrics();
            metrics.contains("citronway_limited_endpoints 2\n")
        });
    }
    let (from, until) = watch();
    for (endpoint, per_s) in endpoints {
        let name = endpoint.name();
        expect_that!(first_excess(endpoint), none(), "{name}");
        let used = endpoint.limits().arrived(from, until) as f64 / WATCHED.as_secs_f64();
        expect_that!(used, ge(per_s * USED_PART), "{name}");
    }
}
