//! Instances that lose their links to endpoints, and keep those to callers, the store and each
//! other.

mod gateway_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use citronway_standin::shared::FencedEndpoint;
use citronway_standin::soak::{Mode, Proxy};
use gateway_support::{Deployment, Instance, Reply, exchange, head, until};
use googletest::prelude::*;
use serde_json::json;

/// Time from the beginning of a cut until requests at cut instances are served like all others.
const NOTICED: Duration = Duration::from_millis(1_500);

/// Time for which a cut is watched after that.
const WATCHED: Duration = Duration::from_secs(3);

/// Least part of first tries that cut instances serve, relative to the others.
const SERVED_PART: f64 = 0.9;

/// Port on which instances take requests from each other.
const HOP_PORT: u16 = 8_004;

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

    /// Cuts the first instance from all endpoints and waits until it has noticed.
    fn cut_first(&self) {
        self.set_links(0..1, Mode::Reset);
        until("the first instance has noticed the cut", || {
            // Also its kept connections must have been found broken.
            self.call("GET /look/1", "n", "");
            self.call("GET /status/1", "n", "");
            self.instances[0].metrics().contains("citronway_cut_off 1")
        });
    }

    /// Sends a request with a key to the first instance.
    fn call(&self, start: &str, id: &str, body: &str) -> Reply {
        self.instances[0].call(start, id, 7, body)
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

/// Guards against a neighbor that is the only one left and gets nothing, and against a single cut
/// instance that is not noticed.
#[gtest]
fn one_cut_instance_and_all_but_one_are_served() {
    for cut in [1, 5] {
        let fleet = Fleet::start(6);
        let (cut_part, others) = served_in_cut(&fleet, cut, Mode::Reset);
        expect_that!(others, ge(SERVED_PART), "{cut} of 6 cut");
        expect_that!(cut_part, ge(SERVED_PART * others), "{cut} of 6 cut");
    }
}

/// Guards against requests that wait for their deadline where no instance reaches an endpoint, and
/// against links that are given up for long.
#[gtest]
fn where_all_are_cut_requests_are_refused_at_once_and_served_soon_after() {
    let fleet = Fleet::start(3);
    fleet.set_links(0..3, Mode::Reset);
    let callers = Callers::start(&fleet);
    std::thread::sleep(NOTICED);
    let began = Instant::now();
    let reply = fleet.call("GET /look/1", "all-cut", "");
    expect_that!(reply.status, eq(503));
    expect_that!(reply.header("retry-after"), some(anything()));
    expect_that!(began.elapsed(), lt(Duration::from_secs(1)));
    fleet.set_links(0..3, Mode::Pass);
    let healed = Instant::now();
    std::thread::sleep(Duration::from_secs(3));
    let tries = callers.stop();
    let from = healed + Duration::from_secs(1);
    expect_that!(
        served_part(&tries, from, healed + Duration::from_secs(3)),
        ge(SERVED_PART)
    );
}

/// Guards against a request that is changed on its way through a neighbor, or runs twice.
#[gtest]
fn a_request_passes_through_a_neighbor_unchanged_and_runs_once() {
    let fleet = Fleet::start(3);
    fleet.cut_first();
    let body = "x".repeat(20_000);
    let reply = fleet.call("POST /apply/1?a=b%20c", "unchanged", &body);
    expect_that!(reply.status, eq(200));
    expect_that!(reply.head, not(contains_substring("citronway-")));
    let endpoints = [&fleet.deployment.a, &fleet.deployment.b];
    let ran: Vec<_> = endpoints
        .iter()
        .flat_map(|endpoint| endpoint.ran())
        .filter(|ran| ran.id == "unchanged")
        .collect();
    expect_that!(ran.len(), eq(1));
    for ran in ran {
        expect_that!(ran.what, eq("POST /apply/1?a=b%20c"));
        expect_that!(ran.body.len(), eq(body.len()));
        expect_that!(ran.left_ms, le(CALLER_WAIT_MS));
    }
}

/// Guards against work that may have run at a neighbor's endpoint and is called not run.
#[gtest]
fn work_at_a_neighbor_that_is_killed_may_have_run_and_runs_once() {
    let mut fleet = Fleet::start(2);
    fleet.cut_first();
    for endpoint in [&fleet.deployment.a, &fleet.deployment.b] {
        endpoint.work(Duration::from_millis(800));
    }
    let address = fleet.instances[0].callers;
    let caller = std::thread::spawn(move || {
        let headers = "X-Request-Id: lost\r\nX-Shard-Key: 7\r\n";
        exchange(
            address,
            &head("POST /apply/1", headers, CALLER_WAIT_MS, 0),
            "",
        )
    });
    std::thread::sleep(Duration::from_millis(400));
    fleet.instances[1].kill();
    let reply = caller.join().expect("no panic").expect("an answer");
    expect_that!(reply.status, eq(502));
    let runs = |endpoint: &FencedEndpoint| {
        let ran = endpoint.ran();
        ran.iter().filter(|ran| ran.id == "lost").count()
    };
    expect_that!(runs(&fleet.deployment.a) + runs(&fleet.deployment.b), le(1));
}

/// Guards against a caller who takes the way between instances.
#[gtest]
fn the_address_for_neighbors_serves_no_one_else() {
    let fleet = Fleet::start(2);
    let hop = std::net::SocketAddr::new(fleet.instances[0].callers.ip(), HOP_PORT);
    let forged = "citronway-sender: n1\r\ncitronway-token: 0123456789abcdef\r\n\
                  citronway-wait-ms: 3000\r\ncitronway-service: console\r\ncitronway-runs: 0\r\n";
    for headers in ["X-Request-Id: f\r\n", forged] {
        let reply = exchange(hop, &head("GET /status/1", headers, CALLER_WAIT_MS, 0), "");
        expect_that!(reply.expect("an answer").status, eq(403));
    }
    let garbage = exchange(hop, "\u{1}\u{2}garbage\r\n\r\n", "");
    expect_that!(garbage.is_none_or(|reply| reply.status == 400), eq(true));
    let cut_short = exchange(
        hop,
        "POST /status/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n",
        "",
    );
    expect_that!(cut_short.is_none_or(|reply| reply.status != 200), eq(true));
    // Headers of a caller do not make its request one of an instance.
    let headers = format!("X-Request-Id: own\r\n{forged}");
    let reply = fleet.instances[0].call_with("GET /status/1", &headers, "");
    expect_that!(reply.status, eq(200));
}
