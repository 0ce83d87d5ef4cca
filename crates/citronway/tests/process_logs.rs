//! What a real entry process logs of its roles, endpoints and shutdown.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;

use citronway_core::ids::RequestId;
use citronway_standin::caller::{Call, Caller};
use citronway_standin::env::{Env, Launcher, wait};
use citronway_standin::http::answer;
use citronway_standin::trial::{Deployment, SERVICE, entry_name};
use googletest::prelude::*;
use serde_json::Value;
use uuid::{NoContext, Timestamp, Uuid};

const ENDPOINT: &str = "endpoint-0";

/// Lines of the one entry of a deployment.
struct Lines(PathBuf);

impl Lines {
    fn of(env: &mut Env) -> Self {
        Self(env.keep_files().join(format!("{}.log", entry_name(0))))
    }

    fn with(&self, message: &str) -> Vec<Value> {
        let text = fs::read_to_string(&self.0).unwrap();
        let lines = text.lines().map(|line| serde_json::from_str(line).unwrap());
        let found = lines.filter(|line: &Value| line["message"] == message);
        found.collect()
    }

    async fn wait_for(&self, message: &str) {
        wait(message, async || !self.with(message).is_empty())
            .await
            .unwrap();
    }
}

/// An operator looks in the logs for what happened in the night and finds
/// connections only: no role, no endpoint, no version, no request that may have
/// run, and nothing of why the process took so long to stop.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn each_change_of_state_is_one_line() {
    let launcher = Launcher::binary(env!("CARGO_BIN_EXE_citronway"));
    let mut env = Deployment::new(1).entries(1).start(launcher).await.unwrap();
    let lines = Lines::of(&mut env);
    lines.wait_for("dispatcher role taken over").await;
    let old = old_call();
    let entry = env.entry(&entry_name(0)).unwrap().callers();
    drop(Caller::default().send(entry, &old).await);
    env.endpoint_mut(ENDPOINT).unwrap().kill();
    lines.wait_for("endpoint lost").await;
    env.restart_endpoint(ENDPOINT).unwrap();
    lines.wait_for("endpoint back").await;
    env.entry_mut(&entry_name(0))
        .unwrap()
        .shut_down()
        .await
        .unwrap();

    for message in ["endpoint lost", "dispatcher role taken over"] {
        let found = lines.with(message);
        expect_that!(found, len(eq(1)), "{message}");
        expect_that!(found[0]["endpoint"], eq(ENDPOINT));
        expect_that!(found[0]["epoch"].as_u64(), some(gt(0)));
    }
    expect_that!(lines.with("configuration in force"), not(is_empty()));
    expect_that!(lines.with("planner elected"), len(eq(1)));
    let asked = lines.with("shutdown: asked to stop, still takes work");
    expect_that!(asked, len(eq(1)));
    let unclear = lines.with("may have run");
    expect_that!(unclear, len(eq(1)));
    expect_that!(unclear[0]["request_id"], eq(old.id.to_string().as_str()));
    expect_that!(unclear[0]["reason"], eq("before_floor"));
}

/// Work whose id is older than the dispatcher, which cannot know whether it ran.
fn old_call() -> Call {
    let created = Timestamp::from_unix(NoContext, 1_700_000_000, 0);
    Call {
        id: RequestId(Uuid::new_v7(created)),
        ..Call::new(SERVICE, "bottle-1").non_idempotent()
    }
}

/// Alarms stand on metrics that are registered and never set: they read 0 whatever
/// happens.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn metrics_move_with_the_instance() {
    let launcher = Launcher::binary(env!("CARGO_BIN_EXE_citronway"));
    let deployment = Deployment::new(2).entries(2);
    let mut env = deployment.start(launcher).await.unwrap();
    let entry = env.entry(&entry_name(0)).unwrap();
    let operators = entry.settings().operators;
    let callers = entry.callers();
    expect_that!(ask(callers, "/v1/services/x"), starts_with("HTTP/1.1 400"));
    env.endpoint_mut(ENDPOINT).unwrap().kill();
    for name in [
        "requests_total{service=\"none\",tenant=\"none\",class=\"none\",outcome=\"not_run\",reason=\"bad_request\"}",
        "control_messages_total{direction=\"sent\",kind=\"control\"}",
        "control_messages_total{direction=\"received\",kind=\"control\"}",
        "control_bytes_total{direction=\"sent\",kind=\"control\"}",
        "shard_moves_total{service=\"bookings\"}",
    ] {
        wait(name, async || {
            value(&ask(operators, "/metrics"), name) > 0.0
        })
        .await
        .unwrap();
    }
    // The endpoint that is left has all shards, the mean of the two is half of them.
    let ratio = "imbalance_ratio{service=\"bookings\"}";
    wait(ratio, async || {
        (value(&ask(operators, "/metrics"), ratio) - 2.0).abs() < 0.01
    })
    .await
    .unwrap();
}

fn ask(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut text = Vec::new();
    stream.read_to_end(&mut text).unwrap();
    let whole = answer::first(&text).unwrap().expect("a whole answer");
    assert_eq!(whole.length, text.len());
    String::from_utf8(text).unwrap()
}

/// Value of a metric, 0 if it is not shown.
fn value(text: &str, name: &str) -> f64 {
    let mut lines = text.lines();
    let found = lines.find_map(|line| line.strip_prefix("citronway_")?.strip_prefix(name));
    found.map_or(0.0, |value| value.trim().parse().unwrap())
}
