//! Requests at a neighbor when one of the two instances stops.

mod gateway_support;

use std::time::Duration;

use citronway_standin::soak::{Mode, Proxy};
use gateway_support::{Deployment, Instance, Reply, exchange, head, until};
use googletest::prelude::*;
use serde_json::json;

/// Time that the endpoint takes for a request.
const WORK: Duration = Duration::from_millis(1_200);

/// Time that a caller waits, in milliseconds.
const CALLER_WAIT_MS: u64 = 2_900;

/// Two instances, of which the first is cut off from the endpoint and passes its requests on.
struct Pair {
    deployment: Deployment,
    _proxies: [Proxy; 3],
    cut: Instance,
    neighbor: Instance,
}

impl Pair {
    fn start() -> Self {
        let deployment = Deployment::unconfigured();
        let endpoints = [&deployment.a, &deployment.b, &deployment.c];
        let proxies = endpoints.map(|endpoint| {
            let proxy = Proxy::start(endpoint.address()).expect("a proxy");
            let mut entry = endpoint.entry("ready");
            entry["addr"] = json!(proxy.address);
            deployment.store.put("servers", endpoint.name(), &entry);
            proxy
        });
        deployment.configure(2, &json!([]));
        let [cut, neighbor] = ["cut", "neighbor"].map(|name| deployment.ready_instance(name));
        until("both serve", || {
            [&cut, &neighbor].iter().all(|instance| {
                ["GET /look/1", "GET /status/1"].iter().all(|start| {
                    let headers = "X-Request-Id: w\r\nX-Shard-Key: 7\r\n";
                    let reply = instance.try_call(start, headers, "");
                    reply.is_some_and(|reply| reply.status == 200)
                })
            })
        });
        for proxy in &proxies {
            proxy.set_for(cut.callers.ip(), Mode::Reset);
        }
        until("the first is cut off", || {
            cut.try_call("GET /look/1", "X-Request-Id: c\r\nX-Shard-Key: 7\r\n", "");
            cut.try_call("GET /status/1", "X-Request-Id: c\r\n", "");
            cut.metrics().contains("citronway_cut_off 1")
        });
        Self {
            deployment,
            _proxies: proxies,
            cut,
            neighbor,
        }
    }

    /// Sends a request to the instance that is cut off, and stops one of the two once the endpoint
    /// runs it; returns the answer and how often it ran.
    fn call(&self, start: &str, stopped: &Instance) -> (Option<Reply>, usize) {
        self.deployment.c.work(WORK);
        let runs = || {
            let ran = self.deployment.c.ran();
            ran.iter().filter(|ran| ran.id == "passed").count()
        };
        let reply = std::thread::scope(|scope| {
            let call = scope.spawn(|| {
                let head = head(start, "X-Request-Id: passed\r\n", CALLER_WAIT_MS, 0);
                exchange(self.cut.callers, &head, "")
            });
            until("the endpoint runs it", || runs() > 0);
            stopped.terminate();
            call.join().expect("the caller ends")
        });
        (reply, runs())
    }
}

fn expect_whole(ended: &(Option<Reply>, usize)) {
    let (reply, runs) = ended;
    let status = reply.as_ref().map(|reply| reply.status);
    expect_that!(status, some(eq(200)));
    expect_that!(*runs, eq(1));
}

/// Guards against a neighbor that ends over a request that was passed on to it.
#[gtest]
fn a_request_at_a_neighbor_that_stops_is_answered() {
    let pair = Pair::start();
    expect_whole(&pair.call("POST /order/1", &pair.neighbor));
}

/// Guards against an instance that ends over the answer of a neighbor.
#[gtest]
fn a_request_at_a_neighbor_is_answered_when_the_instance_that_passed_it_on_stops() {
    let pair = Pair::start();
    expect_whole(&pair.call("POST /order/1", &pair.cut));
}
