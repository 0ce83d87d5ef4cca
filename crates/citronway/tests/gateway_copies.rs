//! Instances that cannot ask the store and get its rows from one that has them.
//!
//! Story: the store turns a third of the instances away for nine seconds. One of them is
//! restarted meanwhile: it knows no routes, answers 503 to everybody and is not ready until
//! the store is back, though all its neighbours have what it needs. Others missed a row when
//! the leader changed, could not ask for it, and sent one request in ten to endpoints that no
//! longer held its key, until no second send was left.

mod gateway_support;

use std::time::Duration;

use citronway_standin::soak::{Mode, Proxy};
use gateway_support::{Deployment, Instance, route, until};
use googletest::prelude::*;
use serde_json::json;

/// Key of the second half of the key space.
const KEY: u16 = 65_000;

/// A second instance that was killed and starts again while its link to the store is silent.
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
fn an_instance_that_starts_without_the_store_serves_by_its_neighbours_rows() {
    let deployment = Deployment::new();
    let first = deployment.ready_instance("one");
    let (_link, second) = started_without_the_store(&deployment);
    expect_that!(second.call("GET /look/1", "k", KEY, "").status, eq(200));
    // What changes meanwhile reaches it too.
    deployment.configure(5, &json!([route("new", "/new/", "idempotent", "console")]));
    until("the new route serves", || {
        let reply = second.call_with("GET /new/1", "X-Request-Id: n\r\n", "");
        reply.status == 200
    });
    expect_that!(first.is_ready(), eq(true));
}

/// A copy is what one neighbour knew at one moment. Once the store answers, its rows are
/// asked for again, and what the copy lacked comes into force.
#[gtest]
fn a_copy_does_not_outlast_the_store() {
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
