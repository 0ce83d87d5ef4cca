//! Instances that lose their links to endpoints, and keep those to callers, the store and each
//! other.

mod gateway_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use citronway_standin::soak::{Mode, Proxy};
use gateway_support::{Deployment, Instance, exchange, head, until};
use googletest::prelude::*;
use serde_json::json;

/// Time from the beginning of a cut until requests at cut instances are served like all others.
const NOTICED: Duration = Duration::from_millis(1_500);

/// Time for which a cut is watched after that.
const WATCHED: Duration = Duration::from_secs(3);

/// Least part of first tries that cut instances serve, relative to the others.
const SERVED_PART: f64 = 0.9;

/// Time that a caller waits, in milliseconds.
const CALLER_WAIT_MS: u64 = 3_000;

/// Callers of each instance, each of which sends one request after the other.
const CALLERS: usize = 8;

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(200);

/// Requests of a caller in turn: method and path, and whether they have a key.
const REQUESTS: [(&str, bool); 4] = [
    ("GET /look/1", true),
    ("POST /apply/1", true),
    ("GET /status/1", false),
    ("POST /order/1", false),
];

/// Instances, and a proxy in front of each endpoint that knows them by their addresses.
struct Fleet {
    deployment: Deployment,
    proxies: Vec<Proxy>,
    instances: Vec<Instance>,
}

impl Fleet {
    fn start(count: usize) -> Self {
        let deployment = Deployment::unconfigured();
        let endpoints = [&deployment.a, &deployment.b, &deployment.c];
        let proxies = endpoints.map(|endpoint| {
            let proxy = Proxy::start(endpoint.address()).expect("a proxy");
            let mut entry = endpoint.entry("ready");
            entry["addr"] = json!(proxy.address);
            entry["capacity"] = json!(64);
            deployment.store.put("servers", endpoint.name(), &entry);
            proxy
        });
        deployment.configure(2, &json!([]));
        let instances: Vec<_> = (0..count)
            .map(|n| deployment.instance(&format!("n{n}")))
            .collect();
        until("all instances serve", || {
            let serves = |instance: &Instance| {
                REQUESTS.iter().all(|(start, _)| {
                    let headers = "X-Request-Id: w\r\nX-Shard-Key: 7\r\n";
                    let reply = instance.try_call(start, headers, "");
                    reply.is_some_and(|reply| reply.status == 200)
                })
            };
            instances.iter().all(serves)
        });
        Self {
            deployment,
            proxies: proxies.into(),
            instances,
        }
    }

    /// Sets the links of the instances in `range` to all endpoints.
    fn set_links(&self, range: std::ops::Range<usize>, mode: Mode) {
        for instance in &self.instances[range] {
            for proxy in &self.proxies {
                proxy.set_for(instance.callers.ip(), mode);
            }
        }
    }
}

/// A request of a caller: when it was sent, and whether it was served.
#[derive(Debug, Clone, Copy)]
struct Try {
    sent: Instant,
    served: bool,
}

/// Callers of all instances, until they are stopped.
struct Callers {
    stop: Arc<AtomicBool>,
    /// By instance.
    callers: Vec<Vec<JoinHandle<Vec<Try>>>>,
}

impl Callers {
    fn start(fleet: &Fleet) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let call = |instance: &Instance, caller: usize| {
            let (stop, address) = (Arc::clone(&stop), instance.callers);
            let name = format!("{}-{caller}", instance.name());
            std::thread::spawn(move || {
                let mut tries = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let n = tries.len();
                    let (start, has_key) = REQUESTS[(n + caller) % REQUESTS.len()];
                    let key = if has_key {
                        format!("X-Shard-Key: {}\r\n", n * 977 % 65_536)
                    } else {
                        String::new()
                    };
                    let headers = format!("X-Request-Id: {name}-{n}\r\n{key}");
                    let sent = Instant::now();
                    let reply = exchange(address, &head(start, &headers, CALLER_WAIT_MS, 0), "");
                    let served = reply.is_some_and(|reply| reply.status == 200);
                    tries.push(Try { sent, served });
                    std::thread::sleep(PAUSE);
                }
                tries
            })
        };
        Self {
            callers: fleet
                .instances
                .iter()
                .map(|instance| (0..CALLERS).map(|caller| call(instance, caller)).collect())
                .collect(),
            stop,
        }
    }

    /// Tries by instance.
    fn stop(self) -> Vec<Vec<Try>> {
        self.stop.store(true, Ordering::Relaxed);
        let join = |callers: Vec<JoinHandle<Vec<Try>>>| {
            let callers = callers.into_iter();
            callers
                .flat_map(|caller| caller.join().expect("a caller panicked"))
                .collect()
        };
        self.callers.into_iter().map(join).collect()
    }
}

/// Part of the tries sent in a time that were served.
fn served_part(tries: &[Vec<Try>], from: Instant, to: Instant) -> f64 {
    let sent: Vec<_> = tries
        .iter()
        .flatten()
        .filter(|one| one.sent >= from && one.sent < to)
        .collect();
    let served = sent.iter().filter(|one| one.served).count();
    served as f64 / sent.len().max(1) as f64
}

/// Cuts the first instances, and returns what they and the others served once that was noticed.
fn served_in_cut(fleet: &Fleet, cut: usize, mode: Mode) -> (f64, f64) {
    let callers = Callers::start(fleet);
    std::thread::sleep(Duration::from_secs(1));
    fleet.set_links(0..cut, mode);
    let began = Instant::now();
    std::thread::sleep(NOTICED + WATCHED);
    let ended = Instant::now();
    let tries = callers.stop();
    fleet.set_links(0..cut, Mode::Pass);
    let (cut, others) = tries.split_at(cut);
    let part = |tries| served_part(tries, began + NOTICED, ended);
    (part(cut), part(others))
}

/// Guards against an instance that turns callers away while others reach the endpoints.
#[gtest]
fn cut_instances_serve_through_their_neighbors() {
    let fleet = Fleet::start(6);
    let (cut, others) = served_in_cut(&fleet, 4, Mode::Reset);
    expect_that!(others, ge(SERVED_PART));
    expect_that!(cut, ge(SERVED_PART * others));
}
