//! Callers of the tour: calls at a steady rate, whatever became of earlier ones.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, MissedTickBehavior};

use super::deployment::SERVICE;
use crate::caller::{Balancer, Call, Caller};
use crate::measure::Record;

/// Keys in use.
pub const KEYS: u32 = 48;

const TICK: Duration = Duration::from_millis(5);
const TIMEOUT: Duration = Duration::from_secs(1);
/// Every so many-th non-idempotent call is sent twice at once, through two
/// entries, as by a client that lost patience.
const TWICE_EVERY: u32 = 10;

/// Callers at work.
#[derive(Debug)]
pub struct Traffic {
    begun: Instant,
    stopped: Arc<AtomicBool>,
    sender: JoinHandle<Vec<Record>>,
}

impl Traffic {
    /// Starts to send through the balancer.
    #[must_use]
    pub fn start(balancer: Arc<Balancer>) -> Self {
        let begun = Instant::now();
        let stopped = Arc::new(AtomicBool::new(false));
        let sender = tokio::spawn(send_all(balancer, begun, Arc::clone(&stopped)));
        Self {
            begun,
            stopped,
            sender,
        }
    }

    /// Time since the start.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Stops sending and waits for the verdicts that are due.
    pub async fn stop(self) -> Vec<Record> {
        self.stopped.store(true, Ordering::Relaxed);
        self.sender.await.unwrap_or_default()
    }
}

async fn send_all(
    balancer: Arc<Balancer>,
    begun: Instant,
    stopped: Arc<AtomicBool>,
) -> Vec<Record> {
    let caller = Caller::default();
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut calls = JoinSet::new();
    let mut number = 0_u32;
    while !stopped.load(Ordering::Relaxed) {
        let intended = ticks.tick().await.duration_since(begun);
        let call = nth_call(number);
        for _ in 0..copies(number) {
            let (caller, call) = (caller.clone(), call.clone());
            let balancer = Arc::clone(&balancer);
            calls.spawn(async move {
                let verdict = caller.send_through(&balancer, &call).await;
                Record::new(&call, intended, begun.elapsed(), verdict)
            });
        }
        number += 1;
    }
    calls.join_all().await
}

/// Steps through the keys; for each key, kinds of calls alternate.
fn nth_call(number: u32) -> Call {
    let key = format!("client-{}", number % KEYS);
    let call = Call::new(SERVICE, &key).timeout(TIMEOUT);
    if is_idempotent(number) {
        return call.label("from", "console").label("tenant", "bank");
    }
    call.non_idempotent()
        .label("tenant", "shop")
        .body("ALTER TABLE")
}

const fn is_idempotent(number: u32) -> bool {
    (number / KEYS).is_multiple_of(2)
}

const fn copies(number: u32) -> u32 {
    if !is_idempotent(number) && number.is_multiple_of(TWICE_EVERY) {
        return 2;
    }
    1
}
