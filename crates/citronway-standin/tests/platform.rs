//! The platform stand-in and its faults behave as documented.

mod support;

use citronway_core::ids::{InstanceName, Version};
use citronway_core::platform::{InstanceList, Row};
use citronway_standin::env::wait;
use citronway_standin::http::{Client, ClientError};
use citronway_standin::platform::messages::{NotWritten, Rows, Stats, Transaction, Written};
use citronway_standin::platform::{Platform, PlatformFaults};
use googletest::prelude::*;
use http::{Method, StatusCode};
use serde_json::json;

use support::{FAR, LOOPBACK, put, row, transaction};

struct Bench {
    platform: Platform,
    client: Client,
}

impl Bench {
    fn new() -> Self {
        Self {
            platform: Platform::start(LOOPBACK, 0).expect("loopback can be listened on"),
            client: Client::default(),
        }
    }

    async fn write(&self, transaction: &Transaction) -> std::result::Result<Written, ClientError> {
        let to = self.platform.addr();
        let rsp = self
            .client
            .submit(Method::POST, to, "/transactions", transaction)
            .await?;
        Ok(serde_json::from_slice(rsp.body())?)
    }

    async fn conflict(&self, transaction: &Transaction) -> NotWritten {
        match self.write(transaction).await {
            Err(ClientError::Status {
                status: StatusCode::CONFLICT,
                body,
            }) => serde_json::from_str(&body).expect("a conflict tells the row"),
            other => panic!("no conflict: {other:?}"),
        }
    }

    async fn rows(&self) -> Vec<Row> {
        let rows: Rows = self
            .client
            .get(self.platform.addr(), "/tables/t")
            .await
            .expect("rows");
        rows.rows
    }

    async fn submit(&self, method: Method, path: &str, value: &serde_json::Value) {
        let done = self
            .client
            .submit(method, self.platform.addr(), path, value)
            .await;
        done.expect("the request succeeds");
    }

    async fn faults(&self, faults: PlatformFaults) {
        let value = serde_json::to_value(faults).expect("faults are JSON");
        self.submit(Method::POST, "/fault", &value).await;
    }

    async fn stats(&self) -> Stats {
        self.client
            .get(self.platform.addr(), "/stats")
            .await
            .expect("stats")
    }

    async fn list(&self) -> InstanceList {
        self.client
            .get(self.platform.addr(), "/instances")
            .await
            .expect("the list")
    }
}

#[gtest]
#[tokio::test]
async fn a_version_is_not_used_again_after_removal() {
    let bench = Bench::new();
    let first = bench.write(&transaction([put("a", 0, "1")])).await;
    bench
        .submit(Method::DELETE, "/tables/t/a", &json!(null))
        .await;
    let second = bench.write(&transaction([put("a", 0, "2")])).await;
    expect_that!(
        first,
        ok(field!(Written.versions, elements_are![eq(&Version(1))]))
    );
    expect_that!(
        second,
        ok(field!(Written.versions, elements_are![eq(&Version(2))]))
    );
}

#[gtest]
#[tokio::test]
async fn a_transaction_with_one_wrong_version_writes_nothing() {
    let bench = Bench::new();
    bench
        .write(&transaction([put("a", 0, "1")]))
        .await
        .expect("fresh row");
    let conflict = bench
        .conflict(&transaction([put("b", 0, "1"), put("a", 7, "2")]))
        .await;
    let expected = NotWritten {
        at: row("a"),
        found: Version(1),
    };
    expect_that!(conflict, eq(&expected));
    expect_that!(
        bench.rows().await,
        elements_are![field!(Row.value, eq("1"))]
    );
}

/// A writer loses the answer to its write and cannot tell whether it stands.
/// The write took effect first; then the connection broke.
#[gtest]
#[tokio::test]
async fn a_write_whose_answer_is_lost_stands() {
    let bench = Bench::new();
    bench
        .faults(PlatformFaults {
            lose_answers: 1,
            ..PlatformFaults::default()
        })
        .await;
    let lost = bench.write(&transaction([put("a", 0, "1")])).await;
    let next = bench.write(&transaction([put("a", 1, "2")])).await;
    expect_that!(lost, err(pat!(ClientError::Transport(_))));
    expect_that!(next, ok(anything()));
}

#[gtest]
#[tokio::test]
async fn a_refused_write_has_no_effect_and_reads_go_on() {
    let bench = Bench::new();
    bench
        .faults(PlatformFaults {
            refuse_writes: true,
            ..PlatformFaults::default()
        })
        .await;
    let refused = bench.write(&transaction([put("a", 0, "1")])).await;
    let unavailable = eq(&StatusCode::SERVICE_UNAVAILABLE);
    expect_that!(
        refused,
        err(pat!(ClientError::Status {
            status: unavailable,
            ..
        }))
    );
    expect_that!(bench.rows().await, is_empty());
}

#[gtest]
#[tokio::test]
async fn a_platform_that_is_down_drops_connections_until_it_is_up() {
    let bench = Bench::new();
    bench
        .faults(PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        })
        .await;
    let dropped = bench.write(&transaction([put("a", 0, "1")])).await;
    bench.faults(PlatformFaults::default()).await;
    expect_that!(dropped, err(pat!(ClientError::Transport(_))));
    expect_that!(bench.rows().await, is_empty());
}

/// A client gives a slow write up and believes it dead. The platform had taken
/// it in and carries it out later.
#[gtest]
#[tokio::test]
async fn a_slow_write_lands_after_its_client_has_given_up() {
    let bench = Bench::new();
    bench
        .faults(PlatformFaults {
            slow_ms: 200,
            ..PlatformFaults::default()
        })
        .await;
    let client = Client::default();
    let to = bench.platform.addr();
    let sending = tokio::spawn(async move {
        let write = transaction([put("a", 0, "1")]);
        client
            .submit(Method::POST, to, "/transactions", &write)
            .await
    });
    let arrived = async || bench.stats().await.arrived == 1;
    wait("the write has arrived", arrived)
        .await
        .expect("the state is reached");
    sending.abort();
    bench.faults(PlatformFaults::default()).await;
    let landed = async || !bench.rows().await.is_empty();
    wait("the write has landed", landed)
        .await
        .expect("the state is reached");
}

#[gtest]
#[tokio::test]
async fn the_instance_list_shows_changes_only_after_its_lag() {
    let bench = Bench::new();
    let registration = json!({"zone": "north", "peer_address": "127.0.0.1:1"});
    bench
        .submit(Method::PUT, "/instances/one", &registration)
        .await;
    expect_that!(bench.list().await.instances, len(eq(1)));
    bench
        .faults(PlatformFaults {
            list_lag_ms: Some(FAR),
            ..PlatformFaults::default()
        })
        .await;
    let lagging = bench.list().await;
    expect_that!(lagging.lag_ms, eq(FAR));
    expect_that!(lagging.instances, is_empty());
    bench.faults(PlatformFaults::default()).await;
    let name = bench.list().await.instances.remove(0).instance;
    expect_that!(name, eq(&InstanceName::new("one")));
    bench
        .submit(Method::DELETE, "/instances/one", &json!(null))
        .await;
    expect_that!(bench.list().await.instances, is_empty());
}

#[gtest]
#[tokio::test]
async fn requests_are_counted() {
    let bench = Bench::new();
    bench
        .write(&transaction([put("a", 0, "1")]))
        .await
        .expect("fresh row");
    bench.conflict(&transaction([put("a", 0, "1")])).await;
    bench.rows().await;
    let stats: Stats = bench
        .client
        .get(bench.platform.addr(), "/stats")
        .await
        .expect("stats");
    let expected = Stats {
        arrived: 3,
        reads: 1,
        writes: 2,
        conflicts: 1,
        bytes: stats.bytes,
    };
    expect_that!(stats, eq(expected));
}
