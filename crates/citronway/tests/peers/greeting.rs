//! Who gets in.

use std::time::Duration;

use citronway_core::ids::Session;
use citronway_wire::greeting::RefusalReason;
use googletest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::LocalSet;

use crate::common::{Instance, KEY, config, raw, unless_hung};

// An instance of the test deployment is listed in production by mistake. It has
// another shared key; were it let in, it would hand production endpoints its work.
#[gtest]
#[tokio::test]
async fn another_key_is_refused() {
    let b = Instance::start("b", 2);
    let me = Session::new("a", 1);
    let mut a = Instance::with(config(&me, b"key of others").build());
    a.list(&[(&b.me, b.handle.local_addr)]).await;
    a.wait_down().await;
    expect_that!(b.handle.counters.greetings_refused.get(), ge(1));
    expect_that!(a.handle.counters.links_opened.get(), eq(0));
}

// During an upgrade an instance with a protocol of the future connects. It is
// told so, and its log can name the cause.
#[gtest]
#[tokio::test]
async fn another_version_is_refused() {
    let b = Instance::start("b", 2);
    let local = LocalSet::new();
    let refused = local.run_until(async {
        let client = raw::connect(b.handle.local_addr).await;
        let mut hello = raw::hello(&client, &Session::new("a", 1), KEY).await;
        hello.version = 99;
        raw::greet(&client, &hello).await.err()
    });
    let refusal = refused.await.expect("it is refused");
    expect_that!(refusal.reason, eq(RefusalReason::Version));
}

// Somebody who has recorded a greeting sends it again, to get in without the key.
#[gtest]
#[tokio::test]
async fn a_greeting_counts_once() {
    let b = Instance::start("b", 2);
    let (first, second) = LocalSet::new()
        .run_until(async {
            let client = raw::connect(b.handle.local_addr).await;
            let hello = raw::hello(&client, &Session::new("a", 1), KEY).await;
            let first = raw::greet(&client, &hello).await;
            let second = raw::greet(&client, &hello).await;
            (first.is_ok(), second.err())
        })
        .await;
    expect_that!(first, eq(true));
    let refusal = second.expect("it is refused");
    expect_that!(refusal.reason, eq(RefusalReason::NotChallenged));
}

// A recorded greeting is sent on another connection, which has another challenge.
#[gtest]
#[tokio::test]
async fn a_greeting_counts_on_its_connection_only() {
    let b = Instance::start("b", 2);
    let local = LocalSet::new();
    let refused = local.run_until(async {
        let recorded = raw::connect(b.handle.local_addr).await;
        let hello = raw::hello(&recorded, &Session::new("a", 1), KEY).await;
        let client = raw::connect(b.handle.local_addr).await;
        raw::hello(&client, &Session::new("a", 1), KEY).await;
        raw::greet(&client, &hello).await.err()
    });
    let refusal = refused.await.expect("it is refused");
    expect_that!(refusal.reason, eq(RefusalReason::Proof));
}

// A foreign process listens at the address of a listed instance and welcomes
// everybody. Without a proof of its own it would be handed callers' requests.
#[gtest]
#[tokio::test]
async fn a_listener_without_the_key_gets_no_work() {
    let foreign = Session::new("b", 2);
    let mut a = Instance::start("a", 1);
    LocalSet::new()
        .run_until(async {
            let address = raw::listen(foreign.clone(), b"key of others").await;
            a.list(&[(&foreign, address)]).await;
            a.wait_down().await;
        })
        .await;
    expect_that!(a.handle.counters.links_opened.get(), eq(0));
}

// The list lags: an address listed for b has already gone to c. Work for b must
// not reach c.
#[gtest]
#[tokio::test]
async fn an_address_that_belongs_to_another_instance_is_not_used() {
    let c = Instance::start("c", 3);
    let mut a = Instance::start("a", 1);
    a.list(&[(&Session::new("b", 2), c.handle.local_addr)])
        .await;
    a.wait_down().await;
    expect_that!(a.handle.counters.links_opened.get(), eq(0));
}

// A port scanner connects and says nothing. Such connections would use up the
// descriptors one by one.
#[gtest]
#[tokio::test]
async fn a_connection_without_a_greeting_is_closed() {
    let cfg = config(&Session::new("b", 2), KEY).connect_timeout(Duration::from_millis(50));
    let b = Instance::with(cfg.build());
    let mut stream = TcpStream::connect(b.handle.local_addr).await.unwrap();
    let mut buf = Vec::new();
    let read = unless_hung(stream.read_to_end(&mut buf)).await;
    expect_that!(read.unwrap_or(0), eq(0));
}
