//! Real entry processes under steady traffic, and what must hold at the end.

#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::sync::Arc;

use citronway::operators::answers::{ConfigAnswer, VersionAnswer};
use citronway_core::ids::{EndpointName, Session};
use citronway_core::shard::DispatchRow;
use citronway_standin::caller::{Balancer, Verdict};
use citronway_standin::env::{Entry, Env, Launcher, wait};
use citronway_standin::measure::{Promises, Record};
use citronway_standin::trial::{Deployment, Links, Traffic, TrafficPlan, begun_out_of_turn};
use googletest::prelude::*;

/// A deployment with callers at work.
pub struct Bench {
    pub deployment: Deployment,
    pub env: Env,
    pub traffic: Traffic,
}

fn launcher() -> Launcher {
    Launcher::binary(env!("CARGO_BIN_EXE_citronway"))
}

impl Bench {
    pub async fn start(deployment: Deployment) -> Self {
        let env = deployment.start(launcher()).await.unwrap();
        Self::with(deployment, env).await
    }

    pub async fn start_linked(deployment: Deployment) -> (Self, Links) {
        let (env, links) = deployment.start_linked(launcher()).await.unwrap();
        (Self::with(deployment, env).await, links)
    }

    async fn with(deployment: Deployment, env: Env) -> Self {
        let entries = env.entries().map(Entry::callers).collect::<Vec<_>>();
        let balancer = Arc::new(Balancer::start(&entries));
        let traffic = Traffic::start(TrafficPlan::default(), balancer);
        traffic.all_served().await.unwrap();
        Self {
            deployment,
            env,
            traffic,
        }
    }

    pub async fn row(&self, endpoint: &str) -> DispatchRow {
        let rows = self.env.platform().dispatch_rows().await.unwrap();
        let mut rows = rows.into_iter();
        rows.find(|row| row.endpoint.as_str() == endpoint).unwrap()
    }

    /// Name of the entry that dispatches the endpoint.
    pub async fn dispatcher(&self, endpoint: &str) -> String {
        self.row(endpoint).await.dispatcher.instance.to_string()
    }

    /// Waits until another session dispatches the endpoint and it has run for it.
    pub async fn successor_at_work(&self, endpoint: &str, old: &Session) {
        wait("a successor works", async || {
            let row = self.row(endpoint).await;
            let runs = self.env.endpoint(endpoint).unwrap().runs().unwrap();
            row.dispatcher != *old && runs.iter().any(|run| run.dispatch_epoch == row.epoch)
        })
        .await
        .unwrap();
    }

    /// Whether the endpoint owns no shard and none moves from or to it.
    pub async fn owns_nothing(&self, endpoint: &str) -> bool {
        let name = EndpointName::new(endpoint);
        self.env.platform().owns_nothing(&name).await
    }

    /// Configuration with its version, as in force at an entry.
    pub async fn config(&self, entry: &str) -> ConfigAnswer {
        let admin = self.env.entry(entry).unwrap().admin();
        admin.query("config").await.unwrap()
    }

    /// Waits until each entry says of itself that the version is in force.
    pub async fn in_force(&self, version: citronway_core::ids::Version) {
        for entry in self.env.entries() {
            wait("the version is in force", async || {
                let answer = entry.admin().query::<VersionAnswer>("version").await;
                answer.is_ok_and(|answer| answer.in_force >= version)
            })
            .await
            .unwrap();
        }
    }

    /// Ends the traffic and checks what must hold whatever failed: at most one run,
    /// one owner, one dispatcher at a time, and true outcomes.
    pub async fn finish(self) -> Vec<Record> {
        let records = self.traffic.stop().await;
        let promises = Promises::check(&records, &self.env.evidence().unwrap());
        expect_that!(promises, eq(&Promises::default()));
        for endpoint in self.env.endpoints() {
            let runs = endpoint.runs().unwrap();
            expect_that!(begun_out_of_turn(&runs), is_empty());
        }
        records
    }
}

/// Calls that neither were answered nor told that they did not run.
pub fn cut_off(records: &[Record]) -> Vec<&Record> {
    let is_cut =
        |record: &&Record| matches!(record.verdict, Verdict::Lost | Verdict::MayHaveRun(_));
    records.iter().filter(is_cut).collect()
}

/// Calls without an answer.
pub fn unanswered(records: &[Record]) -> Vec<&Record> {
    let unanswered = records.iter().filter(|record| !record.is_answered());
    unanswered.collect()
}
