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

/// Statuses that instance `n` gives for a path during a time.
fn statuses(fleet: &Fleet, n: usize, path: &str, time: Duration) -> Vec<Reply> {
    let end = Instant::now() + time;
    let mut replies = Vec::new();
    while Instant::now() < end {
        let start = format!("GET {path}");
        replies.push(fleet.members[n].0.call_with(
            &start,
            "X-Request-Id: s\r\nX-Shard-Key: 1\r\n",
            "",
        ));
        std::thread::sleep(PAUSE);
    }
    replies
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

/// Guards against a fleet that relies on a few instances to read the store.
#[gtest]
fn a_configuration_is_in_force_in_time_where_one_instance_alone_reaches_the_store() {
    for count in [6, 30] {
        let fleet = Fleet::start(count);
        fleet.set_links(count - 2, Mode::Silent);
        let acknowledged = fleet.add_route(5);
        let times = fleet.times_to_serve(5, acknowledged);
        expect_that!(times, each(le(&APPLY_LIMIT)), "{count} instances");
    }
}

/// Guards against a leader that is suspended or lost between two changes, after it read the first.
#[gtest]
fn a_second_change_is_in_force_in_time_where_the_leader_is_lost_before_it() {
    for is_killed in [false, true] {
        let mut fleet = Fleet::start(8);
        let leader = fleet.leader();
        fleet.add_route(5);
        std::thread::sleep(Duration::from_millis(60));
        if is_killed {
            fleet.members[leader].0.kill();
        } else {
            fleet.members[leader].0.pause();
        }
        std::thread::sleep(Duration::from_millis(30));
        let acknowledged = fleet.add_route(7);
        let lost = fleet.members.remove(leader);
        let times = fleet.times_to_serve(7, acknowledged);
        expect_that!(times, each(le(&APPLY_LIMIT)), "killed: {is_killed}");
        drop(lost);
    }
}

/// Guards against a route that is rejected for good by a configuration that nobody confirms.
#[gtest]
fn an_unknown_route_is_rejected_for_good_only_by_a_confirmed_configuration() {
    let fleet = Fleet::start(1);
    let before = statuses(&fleet, 0, "/none/", Duration::from_secs(1));
    expect_that!(before, each(field!(&Reply.status, eq(404))));
    fleet.members[0].1.set(Mode::Silent);
    let replies = statuses(&fleet, 0, "/none/", Duration::from_secs(4));
    let refused: Vec<_> = replies.iter().filter(|reply| reply.status == 503).collect();
    expect_that!(refused.len(), gt(0));
    for reply in refused {
        expect_that!(reply.header("retry-after"), some(anything()));
    }
    // Nobody reaches the store, and service goes on as before.
    expect_that!(replies.last(), some(field!(&Reply.status, eq(404))));
}

/// Guards against callers who are turned away while the store is unreachable for all.
#[gtest]
fn known_routes_are_served_while_no_instance_reaches_the_store() {
    let fleet = Fleet::start(3);
    fleet.set_links(2, Mode::Silent);
    let replies = statuses(&fleet, 1, "/look/1", Duration::from_secs(5));
    let failed = replies.iter().filter(|reply| reply.status != 200).count();
    expect_that!(failed, eq(0));
}

/// Guards against a configuration that cannot be decoded and holds up those after it.
#[gtest]
fn a_change_after_one_that_cannot_be_decoded_is_in_force_in_time() {
    let fleet = Fleet::start(4);
    fleet
        .deployment
        .store
        .put("op", "config", &json!({"version": "x"}));
    std::thread::sleep(Duration::from_millis(90));
    let acknowledged = fleet.add_route(7);
    let times = fleet.times_to_serve(7, acknowledged);
    expect_that!(times, each(le(&APPLY_LIMIT)));
    // The route is dropped again.
    fleet.deployment.configure(9, &json!([]));
    std::thread::sleep(APPLY_LIMIT);
    for n in 0..fleet.members.len() {
        expect_that!(fleet.call(n, 7).status, eq(404));
    }
}
