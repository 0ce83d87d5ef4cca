//! Orders to endpoints that are under way when the leader stops.

mod gateway_support;

use std::thread;
use std::time::Duration;

use gateway_support::{Deployment, Instance, until};
use googletest::prelude::*;

/// Time that endpoints take for a request; the answer to a release waits for it.
const WORK: Duration = Duration::from_millis(1_500);

/// A key of the service whose keys are divided.
const KEY: u16 = 3;

/// Time in which the leader begins to move the keys.
const MOVE_BEGINS: Duration = Duration::from_millis(700);

/// Guards against keys that stay without an owner, or have two, when the leader ends while they move.
#[gtest]
fn keys_move_although_the_leader_stops_meanwhile() {
    let deployment = Deployment::new();
    let instances = deployment.three_instances(KEY);
    let mut leader = None;
    until("there is a leader", || {
        leader = deployment.leader();
        leader.is_some()
    });
    let is_leader = |instance: &&Instance| Some(instance.name()) == leader.as_deref();
    let leading = instances.iter().find(is_leader).expect("the leader runs");
    let other = instances.iter().find(|instance| !is_leader(instance));
    let other = other.expect("another instance");
    let (owner, next) = if deployment.a.holds(KEY) {
        (&deployment.a, &deployment.b)
    } else {
        (&deployment.b, &deployment.a)
    };
    owner.work(WORK);
    thread::scope(|scope| {
        let begun = scope.spawn(|| other.call("POST /apply/1", "begun", KEY, ""));
        until("the owner runs it", || {
            owner.ran().iter().any(|ran| ran.id == "begun")
        });
        deployment.list(owner, "draining");
        thread::sleep(MOVE_BEGINS);
        leading.terminate();
        expect_that!(begun.join().expect("the caller ends").status, eq(200));
    });
    until("the key has another owner", || {
        // The later holder is asked first: a move between the two questions is no overlap.
        let has_two = next.holds(KEY) && owner.holds(KEY);
        assert!(!has_two, "two owners");
        let serves = other.call("GET /look/1", "after", KEY, "").status == 200;
        serves && next.holds(KEY)
    });
    let ran = [owner.ran(), next.ran()].concat();
    let times = ran.iter().filter(|ran| ran.id == "begun").count();
    expect_that!(times, eq(1));
}
