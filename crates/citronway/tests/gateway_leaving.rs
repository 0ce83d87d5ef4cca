//! Slots of endpoints after callers leave.

mod gateway_support;

use std::io::Write as _;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use gateway_support::{Deployment, Instance, head, until};
use googletest::prelude::*;

/// Number of concurrent requests: more than the instance may have at the endpoint, which
/// has 6 slots.
const REQUESTS: usize = 30;

/// Service time that is longer than the test.
const ENDLESS: Duration = Duration::from_mins(1);

/// Sends a request and reads nothing.
fn send(instance: &Instance, id: usize) -> TcpStream {
    let mut stream = TcpStream::connect(instance.callers).expect("a connection");
    let names = format!("X-Request-Id: {id}\r\n");
    let head = head("POST /order/1", &names, 3_000, 0);
    stream.write_all(head.as_bytes()).expect("it is sent");
    stream
}

/// Whether the metrics have a gauge at a value.
fn has_gauge(instance: &Instance, gauge: &str, value: usize) -> bool {
    let line = format!("{gauge} {value}");
    instance.metrics().lines().any(|found| found == line)
}

/// Failure guarded against: a load balancer resets all connections at once. Requests at an
/// endpoint end, and their slots go to waiting requests whose callers leave at the same
/// moment, so that nobody uses or returns them. The endpoint is idle from then on, and the
/// instance refuses each request for it as overloaded until it is restarted.
#[gtest]
fn places_given_to_callers_that_leave_at_the_same_moment_are_free_again() {
    let deployment = Deployment::new();
    deployment.c.work(ENDLESS);
    let instance = deployment.ready_instance("one");
    let callers: Vec<_> = (0..REQUESTS).map(|id| send(&instance, id)).collect();
    let mut at_endpoint = 0;
    until("the endpoint has what it may, the rest waits", || {
        at_endpoint = deployment.c.ran().len();
        at_endpoint > 0 && has_gauge(&instance, "citronway_waiting", REQUESTS - at_endpoint)
    });
    // After the pause, the instance sees all callers leave at once.
    instance.pause();
    for caller in callers {
        caller.shutdown(Shutdown::Both).expect("it leaves");
    }
    instance.resume();
    until("nobody waits", || {
        has_gauge(&instance, "citronway_waiting", 0)
    });
    deployment.c.work(Duration::from_millis(1));
    let reply = instance.call("POST /order/1", "later", 0, "");
    expect_that!(reply.status, eq(200));
    until("all places are free", || {
        has_gauge(&instance, "citronway_in_flight", 0)
    });
}
