//! Endpoints that send answers which are not those to a request.

mod gateway_support;

use std::time::{Duration, Instant};

use citronway_standin::shared::{Answers, Fault, FaultyProxy, FencedEndpoint};
use citronway_standin::soak::Proxy;
use gateway_support::links::cut_off;
use gateway_support::load::KEY;
use gateway_support::rows::{RowCaller, order};
use gateway_support::{Deployment, until};
use googletest::prelude::*;
use serde_json::json;

/// Lists an endpoint at the address of a new proxy in front of it.
fn behind_proxy(deployment: &Deployment, endpoint: &FencedEndpoint) -> FaultyProxy {
    let proxy = FaultyProxy::start(endpoint.address()).expect("a proxy");
    list(deployment, endpoint, &proxy, "ready");
    proxy
}

fn list(deployment: &Deployment, endpoint: &FencedEndpoint, proxy: &FaultyProxy, state: &str) {
    let mut entry = endpoint.entry(state);
    entry["addr"] = json!(proxy.address());
    deployment.store.put("servers", endpoint.name(), &entry);
}

/// A deployment with proxies in front of the endpoints `a` and `c`, and without `b`.
fn with_proxies() -> (Deployment, FaultyProxy, FaultyProxy) {
    let deployment = Deployment::unconfigured();
    deployment.unlist(&deployment.b);
    let keyed = behind_proxy(&deployment, &deployment.a);
    let other = behind_proxy(&deployment, &deployment.c);
    deployment.configure(2, &json!([]));
    (deployment, keyed, other)
}

fn runs(endpoint: &FencedEndpoint, id: &str) -> usize {
    let ran = endpoint.ran();
    ran.iter().filter(|ran| ran.id == id).count()
}

/// Guards against a copy of an answer that is taken for the answer to the request's next send.
#[gtest]
fn a_copy_of_an_earlier_answer_is_not_the_answer_to_the_next_send() {
    let (deployment, keyed, other) = with_proxies();
    let instance = deployment.ready_instance("one");
    until("the key has an owner", || deployment.a.holds(KEY));
    let places = [
        ("POST /order/1", &deployment.c, &other),
        ("GET /status/1", &deployment.c, &other),
        ("POST /apply/1", &deployment.a, &keyed),
        ("GET /look/1", &deployment.a, &keyed),
    ];
    let mut served = 0;
    for (start, endpoint, proxy) in places {
        for status in [503, 429, 421, 400, 500] {
            for is_first in [false, true] {
                let id = format!("{}-{status}-{is_first}", start.replace(' ', "-"));
                let mut tries = 0;
                until("a connection is kept", || {
                    tries += 1;
                    let warm = format!("warm-{id}-{tries}");
                    instance.call(start, &warm, KEY, "").status == 200
                });
                // A copy before the first answer belongs to another request.
                let skipped = usize::from(!is_first);
                proxy.set_after(skipped, Fault::Copies, Answers::Requests);
                endpoint.answer_next(&[status]);
                let reply = instance.call(start, &id, KEY, "");
                proxy.set(Fault::None, Answers::Requests);
                endpoint.answer_next(&[]);
                let count = runs(endpoint, &id);
                let is_idempotent = start.starts_with("GET");
                expect_that!(count, le(if is_idempotent { 2 } else { 1 }), "{id}");
                let is_promise = [408, 421, 429, 503].contains(&reply.status);
                expect_that!(is_promise && count > 0, eq(false), "{id}: {}", reply.status);
                if !is_first && status != 500 {
                    expect_that!(reply.status, any![eq(200), eq(503)], "{id}");
                    served += usize::from(reply.status == 200);
                }
            }
        }
    }
    expect_that!(served, ge(12), "of 16 whose second send ran");
}

/// Guards against the same where a caller sends requests in a row.
#[gtest]
fn copies_between_the_answers_of_a_row_belong_to_no_request() {
    let (deployment, _keyed, other) = with_proxies();
    let instance = deployment.ready_instance("one");
    other.set(Fault::Copies, Answers::Requests);
    let mut caller = RowCaller::connect(instance.callers);
    for row in 0..8 {
        let ids: Vec<_> = (0..6).map(|n| format!("row-{row}-{n}")).collect();
        deployment
            .c
            .answer_next(&[200, 503, 429, 503][..=(row % 4)]);
        let requests = ids.iter().map(|id| order("POST /order/1", id, "-"));
        caller.send(&requests.collect::<String>());
        for id in &ids {
            let Some(reply) = caller.next() else {
                caller = RowCaller::connect(instance.callers);
                break;
            };
            expect_that!(reply.header("x-request-id"), some(eq(id.as_str())));
            let count = runs(&deployment.c, id);
            expect_that!(count, le(1), "{id}");
            expect_that!(reply.status == 503 && count > 0, eq(false), "{id}");
        }
    }
    expect_that!(other.copies(), ge(1));
}

/// Guards against the same at an instance that sends requests for a neighbor without links.
#[gtest]
fn a_copy_is_not_the_answer_to_a_request_that_a_neighbor_passed_on() {
    let deployment = Deployment::unconfigured();
    let copying = FaultyProxy::start(deployment.c.address()).expect("a proxy");
    let mut links = Vec::new();
    for endpoint in [&deployment.a, &deployment.b, &deployment.c] {
        let is_copied = endpoint.address() == deployment.c.address();
        let target = if is_copied {
            copying.address()
        } else {
            endpoint.address()
        };
        let link = Proxy::start(target).expect("a proxy");
        let mut entry = endpoint.entry("ready");
        entry["addr"] = json!(link.address);
        deployment.store.put("servers", endpoint.name(), &entry);
        links.push(link);
    }
    deployment.configure(2, &json!([]));
    let cut = deployment.ready_instance("cut");
    let _neighbor = deployment.ready_instance("neighbor");
    cut_off(&cut, &links);
    let mut served = 0;
    for n in 0..12 {
        let warm = format!("warm-{n}");
        until("requests are passed on", || {
            cut.call("GET /status/1", &warm, KEY, "").status == 200
        });
        let id = format!("passed-{n}");
        copying.set_after(1, Fault::Copies, Answers::Requests);
        deployment.c.answer_next(&[[503, 429, 421, 400][n % 4]]);
        let reply = cut.call("POST /order/1", &id, KEY, "");
        copying.set(Fault::None, Answers::Requests);
        deployment.c.answer_next(&[]);
        let count = runs(&deployment.c, &id);
        expect_that!(count, le(1), "{id}");
        expect_that!(reply.status == 503 && count > 0, eq(false), "{id}");
        served += usize::from(reply.status == 200);
    }
    expect_that!(served, ge(6), "of 12 whose second send ran");
}

/// Guards against keys that are given on while their holder works, by a copy of a seal's answer.
#[gtest]
fn keys_are_not_given_on_by_a_copy_of_an_answer_to_an_order() {
    expect_moves_after_work(true);
}

/// Guards against the same at endpoints that echo no ids in answers to orders.
#[gtest]
fn a_release_is_not_done_without_its_own_handover_proof() {
    expect_moves_after_work(false);
}

/// Moves a key four times while its holder is at work on it.
fn expect_moves_after_work(has_ids: bool) {
    let deployment = Deployment::unconfigured();
    if !has_ids {
        deployment.a.hide_order_ids();
        deployment.b.hide_order_ids();
    }
    let proxies = [&deployment.a, &deployment.b].map(|e| behind_proxy(&deployment, e));
    deployment.configure(2, &json!([]));
    let instance = deployment.ready_instance("one");
    until("the key has an owner", || {
        deployment.a.holds(KEY) || deployment.b.holds(KEY)
    });
    let work = Duration::from_millis(1_500);
    for round in 0..4 {
        let is_first = deployment.a.holds(KEY);
        let (from, to) = if is_first {
            (&deployment.a, &deployment.b)
        } else {
            (&deployment.b, &deployment.a)
        };
        let (from_proxy, to_proxy) = if is_first {
            (&proxies[0], &proxies[1])
        } else {
            (&proxies[1], &proxies[0])
        };
        from.work(work);
        let id = format!("work-{round}");
        std::thread::scope(|scope| {
            let caller = scope.spawn(|| instance.call("POST /apply/1", &id, KEY, ""));
            until("the request runs", || runs(from, &id) == 1);
            let began = Instant::now();
            from_proxy.set(Fault::Copies, Answers::Orders);
            list(&deployment, from, from_proxy, "draining");
            until("the next owner has the key", || to.holds(KEY));
            expect_that!(
                began.elapsed(),
                ge(work.saturating_sub(Duration::from_millis(100)))
            );
            let reply = caller.join().expect("the caller ends");
            expect_that!(reply.status, eq(200));
        });
        from_proxy.set(Fault::None, Answers::Orders);
        from.work(Duration::from_millis(1));
        list(&deployment, from, from_proxy, "ready");
        list(&deployment, to, to_proxy, "ready");
    }
}
