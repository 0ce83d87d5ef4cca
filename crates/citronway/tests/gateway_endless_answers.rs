//! Endpoints that send bytes without end, until the instance closes the connection.

mod gateway_support;

use std::time::{Duration, Instant};

use citronway_standin::shared::{Answers, Endless, Fault, FaultyProxy, FencedEndpoint};
use gateway_support::load::KEY;
use gateway_support::rows::{RowCaller, look};
use gateway_support::{Deployment, Instance, Usage, until};
use googletest::prelude::*;
use serde_json::json;

/// Longest time from the first byte without end to the close of the connection: a head may take a
/// second, and the rest is for a busy machine.
const CLOSED_WITHIN: Duration = Duration::from_millis(1_500);

/// Largest share of a core that an instance takes meanwhile: what a small instance has.
const MAX_CORES: f64 = 0.2;

/// Most memory that such answers take, in KB: what an instance of 120 MB has for one long answer.
const MAX_MEMORY_KB: u64 = 16 * 1024;

fn behind_proxy(deployment: &Deployment, endpoint: &FencedEndpoint) -> FaultyProxy {
    let proxy = FaultyProxy::start(endpoint.address()).expect("a proxy");
    let mut entry = endpoint.entry("ready");
    entry["addr"] = json!(proxy.address());
    deployment.store.put("servers", endpoint.name(), &entry);
    proxy
}

/// Checks what answers without end cost the instance since `before`.
fn expect_cheap(what: &str, instance: &Instance, before: Usage, proxy: &FaultyProxy, seen: usize) {
    until("the connection is closed", || {
        proxy.closed_after().len() > seen
    });
    let closed = proxy.closed_after();
    for took in &closed[seen..] {
        expect_that!(*took, le(CLOSED_WITHIN), "{what}");
    }
    let after = instance.usage();
    let second = Duration::from_secs(1);
    let share = after
        .at
        .duration_since(before.at)
        .max(second)
        .mul_f64(MAX_CORES);
    expect_that!(after.cpu.saturating_sub(before.cpu), le(share), "{what}");
    let more_kb = after.peak_kb.saturating_sub(before.peak_kb);
    expect_that!(more_kb, le(MAX_MEMORY_KB), "{what}");
}

/// Guards against an answer without end that takes the time, processor or memory of an instance.
#[gtest]
fn an_answer_without_end_is_closed_at_once() {
    let deployment = Deployment::unconfigured();
    let proxy = behind_proxy(&deployment, &deployment.c);
    deployment.configure(2, &json!([]));
    let instance = deployment.ready_instance("one");
    until("the key has an owner", || {
        deployment.a.holds(KEY) || deployment.b.holds(KEY)
    });
    for endless in Endless::ALL {
        let name = format!("{endless:?}");
        let mut tries = 0;
        until("requests are served", || {
            tries += 1;
            let reply = instance.call("POST /order/1", &format!("{name}-{tries}"), KEY, "");
            reply.status == 200
        });
        let (before, seen) = (instance.usage(), proxy.closed_after().len());
        proxy.set_next(1, Fault::Endless(endless), Answers::Requests);
        let began = Instant::now();
        let reply = instance.call("POST /order/1", &format!("{name}-bad"), KEY, "");
        let status = if endless == Endless::AfterAnswer {
            200
        } else {
            502
        };
        expect_that!(reply.status, eq(status), "{name}");
        expect_that!(began.elapsed(), le(CLOSED_WITHIN), "{name}");
        let other = instance.call("GET /look/1", &format!("{name}-other"), KEY, "");
        expect_that!(other.status, eq(200), "{name}");
        expect_cheap(&name, &instance, before, &proxy, seen);
    }
}

/// Guards against an answer without end in a row of requests that holds those behind it.
#[gtest]
fn an_answer_without_end_does_not_hold_a_row() {
    let deployment = Deployment::unconfigured();
    let proxy = behind_proxy(&deployment, &deployment.c);
    deployment.configure(2, &json!([]));
    let instance = deployment.ready_instance("one");
    for endless in [Endless::Interim, Endless::SlowHead, Endless::Chunks] {
        let (before, seen) = (instance.usage(), proxy.closed_after().len());
        proxy.set_next(1, Fault::Endless(endless), Answers::Requests);
        let began = Instant::now();
        let mut caller = RowCaller::connect(instance.callers);
        let ids: Vec<_> = (0..4).map(|n| format!("{endless:?}-{n}")).collect();
        caller.send(
            &ids.iter()
                .map(|id| look("GET /status/1", id))
                .collect::<String>(),
        );
        for id in &ids {
            let Some(reply) = caller.next() else { break };
            expect_that!(reply.header("x-request-id"), some(eq(id.as_str())));
        }
        expect_that!(began.elapsed(), le(2 * CLOSED_WITHIN), "{endless:?}");
        expect_cheap(&format!("{endless:?}"), &instance, before, &proxy, seen);
    }
}

/// Guards against answers without end to grants that take the processor or memory of the leader.
#[gtest]
fn an_answer_without_end_to_an_order_is_closed_at_once() {
    let deployment = Deployment::unconfigured();
    deployment.unlist(&deployment.b);
    let proxy = behind_proxy(&deployment, &deployment.a);
    deployment.configure(2, &json!([]));
    let instance = deployment.ready_instance("one");
    for endless in Endless::ALL {
        until("the key has an owner", || deployment.a.holds(KEY));
        let (before, seen) = (instance.usage(), proxy.closed_after().len());
        proxy.set_next(1, Fault::Endless(endless), Answers::Orders);
        expect_cheap(&format!("{endless:?}"), &instance, before, &proxy, seen);
    }
    until("the key has an owner", || deployment.a.holds(KEY));
}
