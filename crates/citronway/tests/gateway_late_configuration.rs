//! A new configuration comes into force at all instances though some of them cannot read it.

mod gateway_support;

use std::time::{Duration, Instant};

use citronway_standin::soak::{Mode, Proxy};
use gateway_support::{Deployment, Instance, Reply, route, until};
use googletest::prelude::*;
use serde_json::json;

/// Time from the acknowledgement of a configuration until it is in force at all instances.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

/// Pause between two looks at an instance.
const PAUSE: Duration = Duration::from_millis(20);

/// Instances and their links to the store.
struct Fleet {
    deployment: Deployment,
    members: Vec<(Instance, Proxy)>,
}

impl Fleet {
    /// Starts instances and waits until all are ready and one leads.
    fn start(count: usize) -> Self {
        let deployment = Deployment::new();
        let start = |n: usize| {
            let link = Proxy::start(deployment.store.address()).expect("a link");
            let instance = deployment.instance_behind(&format!("n{n}"), link.address);
            (instance, link)
        };
        let members: Vec<_> = (0..count).map(start).collect();
        until("all instances are ready", || {
            members.iter().all(|(instance, _)| instance.is_ready())
        });
        // Instances that have just started wait for relays for a while.
        std::thread::sleep(APPLY_LIMIT);
        Self {
            deployment,
            members,
        }
    }

    fn leader(&self) -> usize {
        let leader = self.deployment.leader().expect("a leader");
        let mut members = self.members.iter();
        let place = members.position(|(instance, _)| instance.name() == leader);
        place.expect("the leader is one of them")
    }

    /// The leader first, then all others.
    fn order(&self) -> Vec<usize> {
        let leader = self.leader();
        let others = (0..self.members.len()).filter(|n| *n != leader);
        std::iter::once(leader).chain(others).collect()
    }

    /// Sets the links to the store of the leader and `others` other instances.
    fn set_links(&self, others: usize, mode: Mode) {
        for n in self.order().into_iter().take(others + 1) {
            self.members[n].1.set(mode);
        }
    }

    /// Writes a configuration with one more route; returns when it was acknowledged.
    fn add_route(&self, version: u64) -> Instant {
        let prefix = format!("/new{version}/");
        let more = json!([route(
            &format!("new{version}"),
            &prefix,
            "idempotent",
            "console"
        )]);
        self.deployment.configure(version, &more);
        Instant::now()
    }

    fn call(&self, n: usize, version: u64) -> Reply {
        let start = format!("GET /new{version}/1");
        self.members[n]
            .0
            .call_with(&start, "X-Request-Id: n\r\n", "")
    }

    /// Time from the acknowledgement until each instance serves the route of a version.
    fn times_to_serve(&self, version: u64, acknowledged: Instant) -> Vec<Duration> {
        let mut times = vec![None; self.members.len()];
        until("all instances serve the new route", || {
            for (n, time) in times.iter_mut().enumerate() {
                if time.is_none() && self.call(n, version).status == 200 {
                    *time = Some(acknowledged.elapsed());
                }
            }
            std::thread::sleep(PAUSE);
            times.iter().all(Option::is_some)
        });
        times.into_iter().flatten().collect()
    }
}

/// Guards against a leader without an answer of the store: nobody else reads the configuration.
#[gtest]
fn a_configuration_is_in_force_in_time_where_the_store_refuses_the_leader() {
    let fleet = Fleet::start(30);
    fleet.set_links(9, Mode::Silent);
    let acknowledged = fleet.add_route(5);
    let times = fleet.times_to_serve(5, acknowledged);
    expect_that!(times, each(le(&APPLY_LIMIT)));
}
