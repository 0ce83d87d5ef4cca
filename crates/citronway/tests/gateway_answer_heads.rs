//! Endpoints whose answers have a broken head.

mod gateway_support;

use std::time::{Duration, Instant};

use citronway_standin::shared::{After, Answers, Fault, FaultyProxy, FencedEndpoint, HeadChange};
use citronway_standin::soak::Proxy;
use gateway_support::links::cut_off;
use gateway_support::load::KEY;
use gateway_support::rows::{RowCaller, look, order};
use gateway_support::{Deployment, Instance, Reply, until};
use googletest::prelude::*;
use serde_json::json;

/// Longest time to the answer of a caller and to the close of the endpoint's connection: a third of
/// the timeout of the routes.
const WITHIN: Duration = Duration::from_secs(1);

/// A broken head of each kind that is counted, for peers that answer seldom.
const OF_EACH_KIND: [HeadChange; 5] = [
    HeadChange::Chunked("transfer-encoding: chunkd"),
    HeadChange::Framing("content-length: LENGTH, LENGTH"),
    HeadChange::StatusLine("HTTP/1.1 101 Switching Protocols"),
    HeadChange::StatusLine("HTTP/1.1 999 OK"),
    HeadChange::Line(b"a line that is no field"),
];

fn behind_proxy(deployment: &Deployment, endpoint: &FencedEndpoint) -> FaultyProxy {
    let proxy = FaultyProxy::start(endpoint.address()).expect("a proxy");
    list(deployment, endpoint, &json!(proxy.address()));
    proxy
}

fn list(deployment: &Deployment, endpoint: &FencedEndpoint, address: &serde_json::Value) {
    let mut entry = endpoint.entry("ready");
    entry["addr"] = address.clone();
    deployment.store.put("servers", endpoint.name(), &entry);
}

/// A deployment with a proxy in front of the endpoint `c`, and an instance.
fn with_proxy() -> (Deployment, FaultyProxy, Instance) {
    let deployment = Deployment::unconfigured();
    let proxy = behind_proxy(&deployment, &deployment.c);
    deployment.configure(2, &json!([]));
    let instance = deployment.ready_instance("one");
    (deployment, proxy, instance)
}

fn runs(endpoint: &FencedEndpoint, id: &str) -> usize {
    let ran = endpoint.ran();
    ran.iter().filter(|ran| ran.id == id).count()
}

/// Sends requests until one is served.
fn wait_until_served(instance: &Instance, id: &str) {
    let mut tries = 0;
    until("requests are served", || {
        tries += 1;
        let reply = instance.call("POST /order/1", &format!("{id}-{tries}"), KEY, "");
        reply.status == 200
    });
}

/// Number of wrong answers that an instance has counted.
fn wrong_answers(instance: &Instance) -> u64 {
    let metrics = instance.metrics();
    let lines = metrics.lines();
    let lines = lines.filter(|line| line.starts_with("citronway_wrong_answers_total"));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    values.sum()
}

/// Checks an answer that is not the endpoint's.
fn expect_unknown(what: &str, reply: &Reply) {
    expect_that!(reply.status, eq(502), "{what}: {reply:?}");
    expect_that!(reply.header("x-response-signature"), none(), "{what}");
}

/// Guards against a broken answer that reaches its caller as a whole one, or that holds its caller.
#[gtest]
fn an_answer_with_a_broken_head_reaches_no_caller() {
    let (deployment, proxy, instance) = with_proxy();
    for (n, change) in HeadChange::BROKEN.into_iter().enumerate() {
        for after in [After::Close, After::Open] {
            let what = format!("{change:?}, {after:?}");
            let id = format!("order-{n}-{after:?}");
            wait_until_served(&instance, &format!("warm-{id}"));
            let (counted, closed) = (wrong_answers(&instance), proxy.closed_after().len());
            proxy.set_next(1, Fault::Head(change, after), Answers::Requests);
            let began = Instant::now();
            let reply = instance.call("POST /order/1", &id, KEY, "");
            expect_that!(began.elapsed(), le(WITHIN), "{what}");
            expect_unknown(&what, &reply);
            expect_that!(runs(&deployment.c, &id), eq(1), "{what}");
            expect_that!(wrong_answers(&instance), eq(counted + 1), "{what}");
            if after == After::Open {
                until("the connection is closed", || {
                    proxy.closed_after().len() > closed
                });
                expect_that!(proxy.closed_after()[closed], le(WITHIN), "{what}");
            }
        }
    }
}

/// Guards against a broken answer that ends a request which may be sent once more.
#[gtest]
fn a_request_that_may_be_repeated_is_sent_again_after_a_broken_head() {
    let (deployment, proxy, instance) = with_proxy();
    let mut served = 0;
    for (n, change) in HeadChange::BROKEN.into_iter().enumerate() {
        let id = format!("status-{n}");
        wait_until_served(&instance, &format!("warm-{id}"));
        proxy.set_next(1, Fault::Head(change, After::Open), Answers::Requests);
        let began = Instant::now();
        let reply = instance.call("GET /status/1", &id, KEY, "");
        expect_that!(began.elapsed(), le(WITHIN), "{change:?}");
        expect_that!(runs(&deployment.c, &id), le(2), "{change:?}");
        if reply.status == 200 {
            expect_that!(reply.body, eq("answer of i-c"), "{change:?}");
            served += 1;
        } else {
            expect_unknown(&format!("{change:?}"), &reply);
        }
    }
    expect_that!(served, ge(HeadChange::BROKEN.len() / 2));
}

/// Guards against a broken answer in a row of requests that reaches a caller or holds those behind it.
#[gtest]
fn a_broken_head_in_a_row_costs_only_its_own_request() {
    let (deployment, proxy, instance) = with_proxy();
    for (n, change) in HeadChange::BROKEN.into_iter().enumerate() {
        wait_until_served(&instance, &format!("warm-row-{n}"));
        proxy.set_next(1, Fault::Head(change, After::Open), Answers::Requests);
        let mut caller = RowCaller::connect(instance.callers);
        let ids: Vec<_> = (0..4).map(|place| format!("row-{n}-{place}")).collect();
        let requests = ids.iter().map(|id| order("POST /order/1", id, "-"));
        let began = Instant::now();
        caller.send(&requests.collect::<String>());
        let mut broken = 0;
        for id in &ids {
            let Some(reply) = caller.next() else { break };
            expect_that!(
                reply.header("x-request-id"),
                some(eq(id.as_str())),
                "{change:?}"
            );
            expect_that!(reply.status, any![eq(200), eq(502), eq(503)], "{change:?}");
            if reply.status == 200 {
                expect_that!(reply.body, eq("answer of i-c"), "{change:?}");
            }
            broken += usize::from(reply.status == 502);
            expect_that!(runs(&deployment.c, id), le(1), "{change:?}");
        }
        expect_that!(broken, eq(1), "{change:?}");
        expect_that!(began.elapsed(), le(2 * WITHIN), "{change:?}");
    }
}

/// Guards against keys that stay without an owner after a broken answer to an order.
#[gtest]
fn an_answer_to_an_order_with_a_broken_head_counts_as_lost() {
    let deployment = Deployment::unconfigured();
    deployment.unlist(&deployment.b);
    let proxy = behind_proxy(&deployment, &deployment.a);
    deployment.configure(2, &json!([]));
    let instance = deployment.ready_instance("one");
    for change in OF_EACH_KIND {
        until("the key has an owner", || deployment.a.holds(KEY));
        let (counted, closed) = (wrong_answers(&instance), proxy.closed_after().len());
        proxy.set_next(1, Fault::Head(change, After::Open), Answers::Orders);
        until("the connection is closed", || {
            proxy.closed_after().len() > closed
        });
        expect_that!(proxy.closed_after()[closed], le(WITHIN), "{change:?}");
        until("it is counted", || wrong_answers(&instance) > counted);
    }
    until("the key has an owner", || deployment.a.holds(KEY));
}

/// Guards against a broken answer that reaches a caller by way of a neighbor.
#[gtest]
fn a_broken_head_at_a_neighbor_reaches_no_caller() {
    let deployment = Deployment::unconfigured();
    let proxy = FaultyProxy::start(deployment.c.address()).expect("a proxy");
    let mut links = Vec::new();
    let targets = [
        (&deployment.a, deployment.a.address()),
        (&deployment.b, deployment.b.address()),
        (&deployment.c, proxy.address()),
    ];
    for (endpoint, target) in targets {
        let link = Proxy::start(target).expect("a proxy");
        list(&deployment, endpoint, &json!(link.address));
        links.push(link);
    }
    deployment.configure(2, &json!([]));
    let cut = deployment.ready_instance("cut");
    let _neighbor = deployment.ready_instance("neighbor");
    cut_off(&cut, &links);
    for (n, change) in HeadChange::BROKEN.into_iter().enumerate() {
        let warm = format!("warm-{n}");
        until("requests are passed on", || {
            cut.call("GET /status/1", &warm, KEY, "").status == 200
        });
        let id = format!("passed-{n}");
        proxy.set_next(1, Fault::Head(change, After::Open), Answers::Requests);
        let began = Instant::now();
        let reply = cut.call("POST /order/1", &id, KEY, "");
        expect_that!(began.elapsed(), le(WITHIN), "{change:?}");
        expect_unknown(&format!("{change:?}"), &reply);
        expect_that!(runs(&deployment.c, &id), eq(1), "{change:?}");
    }
}

/// Guards against rows that are read from a broken answer of the store.
#[gtest]
fn an_answer_of_the_store_with_a_broken_head_is_not_read() {
    let deployment = Deployment::new();
    let proxy = FaultyProxy::start(deployment.store.address()).expect("a proxy");
    let instance = deployment.instance_behind("one", proxy.address());
    until("the instance is ready", || instance.is_ready());
    for (version, change) in (3..).zip(OF_EACH_KIND) {
        wait_until_served(&instance, &format!("warm-{version}"));
        let closed = proxy.closed_after().len();
        proxy.set(Fault::Head(change, After::Open), Answers::Requests);
        let path = format!("/new-{version}/");
        let added = gateway_support::route("new", &path, "idempotent", "console");
        deployment.configure(version, &json!([added]));
        until("connections are closed", || {
            proxy.closed_after().len() > closed + 1
        });
        for took in &proxy.closed_after()[closed..] {
            expect_that!(*took, le(WITHIN), "{change:?}");
        }
        proxy.set(Fault::None, Answers::Requests);
        let start = format!("GET {path}1");
        until("the configuration is in force", || {
            instance
                .call(&start, &format!("new-{version}"), KEY, "")
                .status
                == 200
        });
    }
}

/// Guards against good answers that are taken for broken ones.
#[gtest]
fn good_answers_of_all_shapes_are_passed_on() {
    let (_deployment, proxy, instance) = with_proxy();
    let closed = [
        HeadChange::Framing("x-length: LENGTH"),
        HeadChange::StatusLine("HTTP/1.0 200 OK"),
    ];
    let open = [
        HeadChange::Framing("Content-Length:LENGTH "),
        HeadChange::Framing("content-length: 0000LENGTH"),
        HeadChange::Chunked("transfer-encoding: chunked"),
        HeadChange::Chunked("Transfer-Encoding:CHUNKED "),
        HeadChange::Chunked("transfer-encoding: Chunked\r\ntrailer: x-end"),
        HeadChange::StatusLine("HTTP/1.1 200"),
        HeadChange::StatusLine("HTTP/1.1 299 Odd"),
        HeadChange::StatusLine("HTTP/1.1 404 Not Found"),
        HeadChange::StatusLine("HTTP/1.1 500 Error"),
        HeadChange::StatusLine("HTTP/1.1 599 Odd"),
        HeadChange::Line(b"empty-value:"),
        HeadChange::Line(b"above-ascii-value: \xc3\xa4"),
    ];
    let closed = closed.into_iter().map(|change| (change, After::Close));
    let open = open.into_iter().map(|change| (change, After::Open));
    for (n, (change, after)) in closed.chain(open).enumerate() {
        wait_until_served(&instance, &format!("warm-{n}"));
        proxy.set_next(1, Fault::Head(change, after), Answers::Requests);
        let id = format!("good-{n}");
        let reply = instance.call("POST /order/1", &id, KEY, "");
        expect_that!(
            reply.status,
            any![eq(200), eq(299), eq(404), eq(500), eq(599)],
            "{change:?}"
        );
        expect_that!(reply.body, eq("answer of i-c"), "{change:?}");
        expect_that!(
            reply.header("x-response-signature"),
            some(eq("signed.i-c")),
            "{change:?}"
        );
    }
    expect_that!(wrong_answers(&instance), eq(0));
}

/// Guards against a body behind an answer that has none and is taken for the next answer.
#[gtest]
fn a_body_behind_an_answer_that_has_none_belongs_to_no_request() {
    let (deployment, proxy, instance) = with_proxy();
    let statuses = ["HTTP/1.1 204 No Content", "HTTP/1.1 304 Not Modified"];
    for (n, line) in statuses.into_iter().cycle().take(8).enumerate() {
        wait_until_served(&instance, &format!("warm-{n}"));
        let closed = proxy.closed_after().len();
        let change = HeadChange::StatusLine(line);
        proxy.set_next(1, Fault::Head(change, After::Open), Answers::Requests);
        let mut caller = RowCaller::connect(instance.callers);
        let (id, next) = (format!("empty-{n}"), format!("next-{n}"));
        caller.send(&order("POST /order/1", &id, "-"));
        let reply = caller.next().expect("an answer");
        expect_that!(reply.status, any![eq(204), eq(304)]);
        expect_that!(reply.header("x-response-signature"), some(eq("signed.i-c")));
        caller.send(&look("GET /status/1", &next));
        let reply = caller.next().expect("an answer");
        expect_that!(reply.status, eq(200), "{line}");
        expect_that!(reply.body, eq("answer of i-c"), "{line}");
        expect_that!(runs(&deployment.c, &next), eq(1), "{line}");
        until("the connection is closed", || {
            proxy.closed_after().len() > closed
        });
    }
}
