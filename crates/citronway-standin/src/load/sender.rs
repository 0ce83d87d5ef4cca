//! Sends the calls of a plan when they are due, whatever became of earlier ones.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use super::deployment::class_label;
use super::plan::{Arrival, Plan};
use crate::caller::{Balancer, Call, Caller};
use crate::measure::Record;

/// A record with the class of its work.
#[derive(Debug)]
pub struct Sample {
    /// Name of the class.
    pub class: &'static str,
    /// Time its caller waits.
    pub deadline: Duration,
    /// What the caller saw.
    pub record: Record,
}

/// Sends all calls and waits for their verdicts. Times count from the call of
/// this function; `delay` is the one-way delay between callers and entries.
pub async fn send_all(plan: &Plan, balancer: Arc<Balancer>, delay: Duration) -> Vec<Sample> {
    let begun = Instant::now();
    let caller = Caller::default();
    let mut calls = JoinSet::new();
    for arrival in &plan.arrivals {
        tokio::time::sleep_until(begun + arrival.at).await;
        let arrival = *arrival;
        let (caller, balancer) = (caller.clone(), Arc::clone(&balancer));
        calls.spawn(async move {
            let call = call(&arrival, delay);
            tokio::time::sleep(delay).await;
            let verdict = caller.send_through(&balancer, &call).await;
            tokio::time::sleep(delay).await;
            Sample {
                class: arrival.work.name,
                deadline: arrival.work.deadline,
                record: Record::new(&call, arrival.at, begun.elapsed(), verdict),
            }
        });
    }
    calls.join_all().await
}

fn call(arrival: &Arrival, delay: Duration) -> Call {
    let key = format!("key-{}", arrival.key);
    let (name, value) = class_label(arrival.work);
    let timeout = arrival.work.deadline.saturating_sub(2 * delay);
    let call = Call::new(arrival.work.service, &key)
        .label(name, value)
        .label("tenant", value)
        .timeout(timeout);
    if arrival.idempotent {
        return call;
    }
    call.non_idempotent().body("work")
}
