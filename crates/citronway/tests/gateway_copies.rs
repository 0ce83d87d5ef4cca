//! Instances that can't read the store get its rows from another instance.
//!
//! Failure guarded against: the store refuses a third of the instances for nine seconds.
//! One of them restarts meanwhile. It knows no routes, answers 503 to all callers and is
//! not ready until the store is back, though all other instances have the rows that it
//! needs. Others miss a row when the leader changes and can't read it. They send one
//! request in ten to endpoints that no longer hold its key, until no second send is left.

mod gateway_support;

use std::time::Duration;

use citronway_standin::soak::{Mode, Proxy};
use gateway_support::{Deployment, Instance, route, until};
use googletest::prelude::*;
use serde_json::json;

/// A key in the second half of the key space.
const KEY: u16 = 65_000;

/// A second instance that was killed and starts again while its link to the store is
/// silent.
fn started_without_the_store(deployment: &Deployment) -> (Proxy, Instance) {
    let link = Proxy::start(deployment.store.address()).expect("a link");
    let mut second = deployment.instance_behind("two", link.address);
    until("the second instance is ready", || second.is_ready());
    second.kill();
    link.set(Mode::Silent);
    deployment.restart(&mut second);
    until("it is ready without the store", || second.is_ready());
    (link, second)
}

#[gtest]
fn an_instance_that_starts_without_the_store_serves_by_copied_rows() {
    let deployment = Deployment::new();
    let first = deployment.ready_instance("one");
    let (_link, second) = started_without_the_store(&deployment);
    expect_that!(second.call("GET /look/1", "k", KEY, "").status, eq(200));
    // A later change of the configuration reaches it too.
    deployment.configure(5, &json!([route("new", "/new/", "idempotent", "console")]));
    until("the new route serves", || {
        let reply = second.call_with("GET /new/1", "X-Request-Id: n\r\n", "");
        reply.status == 200
    });
    expect_that!(first.is_ready(), eq(true));
}

/// A copy is as old as the instance that sent it was at that moment. Once the store
/// answers, its rows are read again, and changes that the copy lacked come into force.
#[gtest]
fn rows_of_the_store_replace_a_copy() {
    let deployment = Deployment::new();
    let mut first = deployment.ready_instance("one");
    let (link, second) = started_without_the_store(&deployment);
    first.kill();
    deployment.configure(5, &json!([route("new", "/new/", "idempotent", "console")]));
    std::thread::sleep(Duration::from_millis(100));
    let before = second.call_with("GET /new/1", "X-Request-Id: n\r\n", "");
    expect_that!(before.status, eq(404));
    link.set(Mode::Pass);
    until("the new route serves", || {
        let reply = second.call_with("GET /new/1", "X-Request-Id: n\r\n", "");
        reply.status == 200
    });
}
