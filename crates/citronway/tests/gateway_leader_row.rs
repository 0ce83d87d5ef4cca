//! Instances that start together learn of their leader.

mod gateway_support;

use std::time::Duration;

use gateway_support::{Deployment, Logs, until};
use googletest::prelude::*;

/// Number of instances that start at the same time, and of rounds.
const INSTANCES: usize = 5;
const ROUNDS: usize = 6;

/// Delay of the former leader's start after the others.
const LEADER_LATER: Duration = Duration::from_millis(250);

/// Highest term of a leader's row that an instance has logged; 0 if there is none.
fn known_term(logs: &Logs) -> u64 {
    let lines = logs.all();
    let terms = lines.iter().filter(|line| line["message"] == "leader");
    let terms = terms.filter_map(|line| line["term"].as_u64());
    terms.max().unwrap_or_default()
}

/// Guards against an instance that misses the row of a new leader and has no leader from
/// then on.
#[gtest]
fn all_instances_that_start_together_learn_of_the_leader() {
    let deployment = Deployment::new();
    let names = (0..INSTANCES).map(|n| format!("one-{n}"));
    let mut instances: Vec<_> = names.map(|name| deployment.ready_instance(&name)).collect();
    for _ in 0..ROUNDS {
        until("no former leader is waited for", || {
            let row = deployment.store.own("keeper").expect("a leader");
            row["former"].as_array().is_some_and(Vec::is_empty)
        });
        let before = deployment.store.own("keeper").expect("a leader");
        let leader = deployment.leader().expect("a leader");
        for instance in &mut instances {
            instance.kill();
        }
        // Another instance leads next, and knows that the former leader has ended.
        instances.sort_by_key(|instance| instance.name() == leader);
        for instance in &mut instances {
            if instance.name() == leader {
                std::thread::sleep(LEADER_LATER);
            }
            *instance = deployment.start_again(instance.name(), instance);
        }
        let logs: Vec<_> = instances
            .iter_mut()
            .map(gateway_support::Instance::logs)
            .collect();
        until("another leader is there", || {
            let row = deployment.store.own("keeper");
            row.is_some_and(|row| row["term"].as_u64() > before["term"].as_u64())
        });
        for logs in &logs {
            until("each instance knows the leader", || {
                let row = deployment.store.own("keeper");
                row.and_then(|row| row["term"].as_u64()) == Some(known_term(logs))
            });
        }
    }
}
