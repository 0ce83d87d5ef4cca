//! Renewals of a leader that the store does not confirm.

mod gateway_support;

use std::time::{Duration, Instant};

use citronway_standin::soak::{Mode, Proxy};
use gateway_support::{Deployment, until};
use googletest::prelude::*;

/// One key of each half of the key space.
const KEYS: [u16; 2] = [3, 65_000];

/// Age of a confirmation from which on no new connection carries a grant, and some more.
const UNCONFIRMED: Duration = Duration::from_millis(2_500);

/// Time in which several renewals are due.
const RENEWALS: Duration = Duration::from_millis(2_500);

fn starts_again(deployment: &mut Deployment) {
    deployment.a.crash();
    until("the endpoint starts again", || {
        let Ok(again) = deployment.a.start_again() else {
            return false;
        };
        deployment.a = again;
        true
    });
}

/// Guards against a renewal by an old row at a start that forgot the fence of a later leader.
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
    let [own, other] = if deployment.a.holds(KEYS[0]) {
        KEYS
    } else {
        [KEYS[1], KEYS[0]]
    };

    link.set(Mode::Silent);
    std::thread::sleep(UNCONFIRMED);
    starts_again(&mut deployment);
    let end = Instant::now() + RENEWALS;
    let mut renewed = false;
    while Instant::now() < end {
        renewed |= deployment.a.holds(own);
        std::thread::sleep(Duration::from_millis(20));
    }
    expect_that!(renewed, eq(false));
    // Where nothing has ended the connections carry renewals on.
    expect_that!(deployment.b.holds(other), eq(true));

    link.set(Mode::Pass);
    until("the new start holds keys again", || deployment.a.holds(own));
}
