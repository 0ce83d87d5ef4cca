//! Requests whose last byte comes late in the grace of an instance that stops.

mod gateway_support;

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use citronway_standin::soak::Proxy;
use gateway_support::links::cut_off;
use gateway_support::rows::{RowCaller, order};
use gateway_support::{
    Deployment, Instance, Reply, exchange, head, read_only_answer, route, until,
};
use googletest::prelude::*;
use serde_json::json;

/// Time after the signal from which a request must not be taken and then broken off.
const LATE: Duration = Duration::from_secs(3);

/// Wait that callers state, in milliseconds; longer than the grace of 6 s.
const LONG_WAIT_MS: u64 = 12_000;

/// Work that lasts beyond the grace.
const LONG_WORK: Duration = Duration::from_secs(20);

/// A deployment with a route `/patient/` whose timeout is longer than the grace.
fn deployment() -> Deployment {
    let deployment = Deployment::unconfigured();
    let mut patient = route("patient", "/patient/", "non_idempotent", "console");
    patient["timeoutS"] = json!(11.0);
    deployment.configure(2, &json!([patient]));
    deployment
}

/// Waits until `after` has passed since `from`.
fn sleep_until(from: Instant, after: Duration) {
    thread::sleep(after.saturating_sub(from.elapsed()));
}

fn runs(deployment: &Deployment, id: &str) -> usize {
    let ran = deployment.c.ran();
    ran.iter().filter(|ran| ran.id == id).count()
}

/// An upload of which the last byte has not been sent.
struct Upload(TcpStream);

impl Upload {
    fn begin(callers: SocketAddr, id: &str) -> Self {
        let mut stream = TcpStream::connect(callers).expect("a connection");
        let names = format!("X-Request-Id: {id}\r\n");
        let head = head("POST /patient/1", &names, LONG_WAIT_MS, 2);
        stream
            .write_all(format!("{head}a").as_bytes())
            .expect("it is sent");
        Self(stream)
    }

    fn end(mut self) -> Option<Reply> {
        self.0.write_all(b"b").expect("it is sent");
        read_only_answer(&mut self.0)
    }
}

/// Guards against an upload that ends late, is passed on, and is broken off by the end of the grace.
#[gtest]
fn an_upload_that_ends_late_in_the_grace_is_not_passed_on() {
    let deployment = deployment();
    let instance = deployment.ready_instance("one");
    deployment.c.work(LONG_WORK);
    let uploads: Vec<_> = (0..4).map(|n| format!("upload-{n}")).collect();
    let begun = uploads.iter().map(|id| Upload::begin(instance.callers, id));
    let begun: Vec<_> = begun.collect();
    thread::sleep(Duration::from_millis(200));
    instance.terminate();
    let signalled = Instant::now();
    for (n, (id, upload)) in (0..).zip(uploads.iter().zip(begun)) {
        sleep_until(signalled, LATE + Duration::from_millis(100 + 200 * n));
        let reply = upload.end().expect("an answer");
        expect_that!(reply.status, eq(503), "{id}");
        expect_that!(runs(&deployment, id), eq(0), "{id}");
    }
}

/// Guards against a request in a row that comes late, is passed on, and is broken off.
#[gtest]
fn a_request_that_comes_late_in_a_row_is_not_passed_on() {
    let deployment = deployment();
    let instance = deployment.ready_instance("one");
    let mut caller = RowCaller::connect(instance.callers);
    deployment.c.work(LATE + Duration::from_millis(500));
    caller.send(&order("POST /patient/1", "first", "-"));
    until("the endpoint runs it", || runs(&deployment, "first") == 1);
    deployment.c.work(LONG_WORK);
    instance.terminate();
    let signalled = Instant::now();
    let late = order("POST /patient/1", "late", "-");
    let (start, end) = late.split_at(late.len() - 1);
    caller.send(start);
    sleep_until(signalled, LATE + Duration::from_millis(100));
    caller.send(end);
    let first = caller.next().expect("an answer");
    expect_that!(first.status, eq(200));
    // The connection may close before it; then it was not read.
    if let Some(late) = caller.next() {
        expect_that!(late.status, eq(503));
    }
    expect_that!(runs(&deployment, "late"), eq(0));
}

/// Sends an upload by way of a neighbor that ends late after one of the two was told to stop, and
/// checks that it is not passed on.
fn expect_not_passed_on(stops: fn(&Instance, &Instance)) {
    let deployment = deployment();
    let links = [&deployment.a, &deployment.b, &deployment.c].map(|endpoint| {
        let link = Proxy::start(endpoint.address()).expect("a proxy");
        let mut entry = endpoint.entry("ready");
        entry["addr"] = json!(link.address);
        deployment.store.put("servers", endpoint.name(), &entry);
        link
    });
    let [cut, neighbor] = ["cut", "neighbor"].map(|name| deployment.ready_instance(name));
    cut_off(&cut, &links);
    until("requests are passed on", || {
        cut.call("GET /status/1", "warm", 0, "").status == 200
    });
    deployment.c.work(LONG_WORK);
    let upload = Upload::begin(cut.callers, "passed");
    thread::sleep(Duration::from_millis(200));
    stops(&cut, &neighbor);
    thread::sleep(LATE + Duration::from_millis(200));
    let reply = upload.end().expect("an answer");
    expect_that!(reply.status, eq(503));
    expect_that!(runs(&deployment, "passed"), eq(0));
}

/// Guards against the same at an instance that passes requests on to a neighbor.
#[gtest]
fn an_upload_that_ends_late_is_not_passed_on_to_a_neighbor() {
    expect_not_passed_on(|cut, _neighbor| cut.terminate());
}

/// Guards against an upload that ends late and is passed on to a neighbor that stops.
#[gtest]
fn an_upload_is_not_passed_on_to_a_neighbor_late_in_its_grace() {
    expect_not_passed_on(|_cut, neighbor| neighbor.terminate());
}

/// A request of a caller, and the status that it got; `None` without an answer.
type Called = (String, Option<u16>);

/// Sends requests on one connection until it ends.
fn call_until_closed(callers: SocketAddr, name: &str) -> Vec<Called> {
    let mut caller = RowCaller::connect(callers);
    let mut called = Vec::new();
    for n in 0.. {
        let id = format!("{name}-{n}");
        let request = order("POST /patient/1", &id, "-");
        if caller.stream.write_all(request.as_bytes()).is_err() {
            break;
        }
        let status = caller.next().map(|reply| reply.status);
        called.push((id, status));
        if status.is_none() {
            break;
        }
    }
    called
}

/// Sends requests on new connections until none is accepted.
fn call_until_refused(callers: SocketAddr, name: &str) -> Vec<Called> {
    let mut calls = Vec::new();
    while TcpStream::connect(callers).is_ok() {
        let id = format!("{name}-{}", calls.len());
        calls.push(thread::spawn(move || {
            let names = format!("X-Request-Id: {id}\r\n");
            let head = head("POST /patient/1", &names, LONG_WAIT_MS, 1);
            let reply = exchange(callers, &head, "x");
            (id, reply.map(|reply| reply.status))
        }));
        thread::sleep(Duration::from_millis(40));
    }
    let calls = calls.into_iter();
    calls
        .map(|call| call.join().expect("the caller ends"))
        .collect()
}

/// Stops an instance that has `busy` callers with open connections, and callers with new ones, while
/// requests take `work`. Checks that each request that was read has the endpoint's answer or a
/// refusal; returns how many were served.
fn served_at_stop(name: &str, grace_s: u64, work: Duration, busy: usize) -> usize {
    let deployment = deployment();
    let mut instance = deployment.instance(name);
    instance.kill();
    deployment.set_grace(name, grace_s);
    deployment.restart(&mut instance);
    until("the instance is ready", || instance.is_ready());
    deployment.c.work(work);
    let callers = instance.callers;
    let called: Vec<_> = thread::scope(|scope| {
        let kept = (0..busy).map(|n| {
            let name = format!("{name}-kept-{n}");
            scope.spawn(move || call_until_closed(callers, &name))
        });
        let kept: Vec<_> = kept.collect();
        thread::sleep(Duration::from_millis(300));
        instance.terminate();
        let fresh = call_until_refused(callers, name);
        let kept = kept.into_iter();
        let kept = kept.flat_map(|kept| kept.join().expect("the caller ends"));
        kept.chain(fresh).collect()
    });
    let ran = deployment.c.ran();
    for (id, status) in &called {
        let runs = ran.iter().filter(|ran| ran.id == *id).count();
        // Without an answer it must not have been passed on.
        let is_right = match status {
            Some(200) => runs == 1,
            Some(503) | None => runs == 0,
            Some(_) => false,
        };
        expect_that!(is_right, eq(true), "{id}: {status:?}, ran {runs} times");
    }
    until("the process ends", || instance.ended() == Some(0));
    called
        .iter()
        .filter(|(_, status)| *status == Some(200))
        .count()
}

/// Guards against requests that fit into a short or a long grace and are cut.
#[gtest]
fn requests_that_fit_into_the_grace_are_whole_whatever_its_length() {
    let short = served_at_stop("short", 1, Duration::from_millis(100), 0);
    expect_that!(short, ge(1));
    let long = served_at_stop("long", 30, Duration::from_secs(1), 0);
    expect_that!(long, ge(1));
}

/// Guards against requests at a busy instance that are read and cut.
#[gtest]
fn requests_at_a_busy_instance_that_stops_are_whole() {
    let served = served_at_stop("busy", 6, Duration::from_millis(20), 24);
    expect_that!(served, ge(100));
}
