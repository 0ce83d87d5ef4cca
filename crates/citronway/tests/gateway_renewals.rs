//! Renewals of holds by a leader that the store does not confirm.

mod gateway_support;

use std::time::{Duration, Instant};

use citronway_standin::soak::{Mode, Proxy};
use gateway_support::{Deployment, until};
use googletest::prelude::*;

/// One key of each half of the key space.
const KEYS: [u16; 2] = [3, 65_000];

/// Age of the last confirmation from which on no new connection carries a grant, and a
/// margin.
const UNCONFIRMED: Duration = Duration::from_millis(2_500);

/// Time in which several renewals are due.
const RENEWALS: Duration = Duration::from_millis(2_500);

fn restart_endpoint(deployment: &mut Deployment) {
    deployment.a.crash();
    until("the endpoint starts again", || {
        let Ok(again) = deployment.a.start_again() else {
            return false;
        };
        deployment.a = again;
        true
    });
}

/// Guards against a renewal by an outdated row: an endpoint that restarts has forgotten the
/// fence of a later leader and would accept it.
#[gtest]
fn an_unconfirmed_leader_renews_nothing_at_a_new_start() {
    let mut deployment = Deployment::new();
    let link = Proxy::start(deployment.store.address()).expect("a link");
    let leader = deployment.instance_behind("one", link.address);
    until("the instance is ready", || leader.is_ready());
    let held = |deployment: &Deployment, key| deployment.a.holds(key) || deployment.b.holds(key);
    until("all keys are held", || {
        KEYS.into_iter().all(|key| held(&deployment, key))
    });
    let [key_of_a, key_of_b] = if deployment.a.holds(KEYS[0]) {
        KEYS
    } else {
        [KEYS[1], KEYS[0]]
    };

    link.set(Mode::Silent);
    std::thread::sleep(UNCONFIRMED);
    restart_endpoint(&mut deployment);
    let end = Instant::now() + RENEWALS;
    let mut renewed = false;
    while Instant::now() < end {
        renewed |= deployment.a.holds(key_of_a);
        std::thread::sleep(Duration::from_millis(20));
    }
    expect_that!(renewed, eq(false));
    // An endpoint that did not restart is still renewed over its existing connections.
    expect_that!(deployment.b.holds(key_of_b), eq(true));

    link.set(Mode::Pass);
    until("the new start holds keys again", || {
        deployment.a.holds(key_of_a)
    });
}
