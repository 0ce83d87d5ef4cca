//! The store comes back from an older copy of itself.

mod gateway_support;

use std::time::{Duration, Instant};

use citronway_standin::shared::{SharedStore, StoreFault};
use gateway_support::{Deployment, until};
use googletest::prelude::*;

/// A key of the first range.
const KEY: u16 = 1_000;

/// Time for which two holders of a key are looked for after a restart: longer than a hold.
const WATCH: Duration = Duration::from_secs(8);

/// Name of the endpoints that the stored assignment names.
fn assigned(store: &SharedStore) -> String {
    store
        .own("keys/batch")
        .map(|row| row["endpoints"].to_string())
        .unwrap_or_default()
}

/// A deployment of three instances in which all keys have moved from `i-a` to `i-b` since the
/// returned copy of the store.
fn moved_since_a_copy() -> (
    Deployment,
    [gateway_support::Instance; 3],
    citronway_standin::shared::StoreCopy,
) {
    let deployment = Deployment::new();
    let instances = deployment.three_instances(KEY);
    until("both endpoints hold keys", || {
        deployment.a.holds(KEY) && deployment.b.holds(60_000)
    });
    let copy = deployment.store.copy();
    deployment.list(&deployment.a, "draining");
    until("all keys have moved", || {
        let row = assigned(&deployment.store);
        !row.contains("i-a") && deployment.b.holds(KEY) && !deployment.a.holds(KEY)
    });
    (deployment, instances, copy)
}

/// Guards against a leader that disbelieves a restored store and whose writes are refused from then
/// on, so that the stored assignment stays as it was in the copy.
#[gtest]
fn assignments_are_written_again_after_a_restore() {
    let (deployment, _instances, copy) = moved_since_a_copy();
    deployment.store.fail(StoreFault::Silent);
    let lost = deployment.store.restore(copy);
    deployment.store.fail(StoreFault::None);
    deployment.store.write_again(lost);
    until("the stored assignment names the holders", || {
        !assigned(&deployment.store).contains("i-a")
    });
}

/// Guards against a second holder when all instances restart after the store was restored.
#[gtest]
fn keys_have_one_holder_when_all_instances_restart_after_a_restore() {
    let (deployment, mut instances, copy) = moved_since_a_copy();
    let lost = deployment.store.restore(copy);
    deployment.store.write_again(lost);
    std::thread::sleep(Duration::from_secs(3));
    for instance in &mut instances {
        instance.kill();
    }
    for instance in &mut instances {
        *instance = deployment.start_again(instance.name(), instance);
    }
    let end = Instant::now() + WATCH;
    while Instant::now() < end {
        let two = deployment.a.holds(KEY) && deployment.b.holds(KEY);
        expect_that!(two, eq(false), "two holders");
        if two {
            return;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}
