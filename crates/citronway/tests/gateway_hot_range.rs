//! Division of a hot range by an instance, with its log lines and metrics.

mod gateway_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use citronway_standin::shared::FencedEndpoint;
use gateway_support::{Deployment, Instance, exchange, head, until};
use googletest::prelude::*;
use serde_json::json;

/// Number of neighbouring keys.
const KEYS: u16 = 24;

/// Number of callers, each of which sends one request after the other. The owner of the keys
/// serves 30 requests a second, and the callers send 200 or more.
const CALLERS: u16 = 48;

const WORK: Duration = Duration::from_millis(200);

/// Callers of neighbouring keys, until they are dropped.
struct HotCallers {
    ends: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl HotCallers {
    fn start(instance: &Instance, first: u16) -> Self {
        let ends = Arc::<AtomicBool>::default();
        let callers = instance.callers;
        let threads = (0..CALLERS).map(|caller| {
            let ends = Arc::clone(&ends);
            std::thread::spawn(move || {
                let key = first + caller % KEYS;
                for n in 0.. {
                    if ends.load(Ordering::Relaxed) {
                        return;
                    }
                    let headers = format!("X-Request-Id: r{caller}-{n}\r\nX-Shard-Key: {key}\r\n");
                    exchange(callers, &head("GET /look/1", &headers, 400, 0), "");
                    std::thread::sleep(Duration::from_millis(50));
                }
            })
        });
        let threads = threads.collect();
        Self { ends, threads }
    }
}

impl Drop for HotCallers {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A caller that failed has printed why.
            let _ = thread.join();
        }
    }
}

/// An instance whose settings have the switch, once all keys have owners.
fn start(deployment: &Deployment, switch: &str) -> Instance {
    let mut before = deployment.instance("one");
    before.kill();
    deployment.set_traffic("one", &json!({ "fastDivision": switch }));
    let instance = deployment.start_again("one", &before);
    until("the instance is ready", || instance.is_ready());
    until("the keys have owners", || {
        owner(deployment, 0).is_some() && owner(deployment, 65_535).is_some()
    });
    instance
}

fn owner(deployment: &Deployment, key: u16) -> Option<&FencedEndpoint> {
    let mut endpoints = [&deployment.a, &deployment.b].into_iter();
    endpoints.find(|endpoint| endpoint.holds(key))
}

/// Guards against a division that the instance does not make, or whose steps it does not state.
#[gtest]
fn a_hot_range_is_divided_and_its_steps_are_stated() {
    let deployment = Deployment::new();
    let mut instance = start(&deployment, "on");
    let logs = instance.logs();
    for endpoint in [&deployment.a, &deployment.b] {
        endpoint.work(WORK);
    }
    let callers = HotCallers::start(&instance, 1_000);
    let ended = logs.line("division of a hot range ended");
    drop(callers);
    expect_that!(ended["whole"], eq(&json!(true)));
    let ms = |name: &str| ended[name].as_i64();
    let steps = [
        "planned_ms",
        "stored_ms",
        "sealed_ms",
        "released_ms",
        "granted_ms",
        "known_ms",
    ];
    let times: Vec<_> = steps.map(ms).into_iter().flatten().collect();
    expect_that!(times.len(), eq(steps.len()));
    expect_that!(times.is_sorted(), eq(true), "{ended}");
    let metrics = instance.metrics();
    expect_that!(
        metrics,
        contains_substring("citronway_divisions_total{end=\"whole\"} 1")
    );
    expect_that!(
        metrics,
        contains_substring("citronway_division_seconds_count{step=\"known\"} 1")
    );
}
