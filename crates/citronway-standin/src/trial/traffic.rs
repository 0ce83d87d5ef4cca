//! Steady traffic: calls at a steady rate, whatever became of earlier ones.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use citronway_core::ids::Key;
use citronway_core::request::Repeat;
use indexmap::IndexMap;
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, MissedTickBehavior};

use super::deployment::SERVICE;
use crate::caller::{Balancer, Call, Caller};
use crate::env::{EnvError, wait};
use crate::measure::Record;

/// Most calls that wait for their outcome at once.
const IN_FLIGHT: usize = 1000;
/// Every so many-th non-idempotent call is sent twice at once, as by a client
/// that lost patience.
const TWICE_EVERY: u32 = 10;

/// Which kinds of calls are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mix {
    /// Both, in turn.
    Both,
    /// Only those that may run once.
    NonIdempotent,
}

/// What is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrafficPlan {
    /// Keys in use.
    pub keys: u32,
    /// Time between two calls.
    pub tick: Duration,
    /// Time that callers wait.
    pub timeout: Duration,
    /// Kinds of calls.
    pub mix: Mix,
    /// Calls after which it ends by itself.
    pub calls: Option<u32>,
}

impl Default for TrafficPlan {
    fn default() -> Self {
        Self {
            keys: 24,
            tick: Duration::from_millis(5),
            timeout: Duration::from_secs(5),
            mix: Mix::Both,
            calls: None,
        }
    }
}

impl TrafficPlan {
    /// Steps through the keys; for each key, kinds of calls alternate.
    fn nth_call(&self, number: u32) -> Call {
        let key = format!("bottle-{}", number % self.keys);
        let call = Call::new(SERVICE, &key).timeout(self.timeout);
        let turn = (number / self.keys).is_multiple_of(2);
        match self.mix {
            Mix::Both if turn => call,
            Mix::Both | Mix::NonIdempotent => call.non_idempotent(),
        }
    }
}

/// Callers at work.
#[derive(Debug)]
pub struct Traffic {
    plan: TrafficPlan,
    begun: Instant,
    stopped: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<Record>>>,
    sender: JoinHandle<()>,
}

impl Traffic {
    /// Starts to send through the balancer.
    #[must_use]
    pub fn start(plan: TrafficPlan, balancer: Arc<Balancer>) -> Self {
        let begun = Instant::now();
        let stopped = Arc::new(AtomicBool::new(false));
        let records = Arc::default();
        let sender = Sender {
            plan,
            begun,
            balancer,
            caller: Caller::default(),
            stopped: Arc::clone(&stopped),
            records: Arc::clone(&records),
        };
        Self {
            plan,
            begun,
            stopped,
            records,
            sender: tokio::spawn(sender.send_all()),
        }
    }

    /// Time since the start.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Whether all planned calls have their outcome.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.sender.is_finished()
    }

    /// Calls that have their outcome.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        lock(&self.records).clone()
    }

    /// Calls begun since `from` that were answered.
    #[must_use]
    pub fn answered_since(&self, from: Duration) -> usize {
        let records = lock(&self.records);
        let inside = |record: &&Record| record.intended >= from && record.is_answered();
        records.iter().filter(inside).count()
    }

    /// When the first answer to a call of each key begun since `from` was there;
    /// keys without one are left out.
    #[must_use]
    pub fn first_answers_since(&self, from: Duration) -> IndexMap<Key, Duration> {
        let mut first: IndexMap<Key, Duration> = IndexMap::new();
        for record in lock(&self.records).iter() {
            if record.intended < from || !record.is_answered() {
                continue;
            }
            let earliest = first.entry(record.key.clone()).or_insert(record.ended);
            *earliest = record.ended.min(*earliest);
        }
        first
    }

    /// Waits until a call of each key begun from now on was answered; returns the
    /// time from now to the last of the first answers.
    ///
    /// # Errors
    ///
    /// If one is not.
    pub async fn all_served(&self) -> Result<Duration, EnvError> {
        let from = self.elapsed();
        let served = async || self.first_answers_since(from).len() == self.plan.keys as usize;
        wait("every key is served", served).await?;
        let first = self.first_answers_since(from);
        let last = first.into_values().max().unwrap_or(from);
        Ok(last.saturating_sub(from))
    }

    /// Waits until so many calls begun from now on were answered.
    ///
    /// # Errors
    ///
    /// If they are not.
    pub async fn answers(&self, count: usize) -> Result<(), EnvError> {
        let from = self.elapsed();
        let what = format!("{count} more calls are answered");
        wait(&what, async || self.answered_since(from) >= count).await
    }

    /// Stops sending and waits for the outcomes that are due.
    pub async fn stop(self) -> Vec<Record> {
        self.stopped.store(true, Ordering::Relaxed);
        if let Err(error) = self.sender.await {
            log::error!("traffic: {error}");
        }
        std::mem::take(&mut lock(&self.records))
    }
}

fn lock(records: &Mutex<Vec<Record>>) -> MutexGuard<'_, Vec<Record>> {
    records.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Debug)]
struct Sender {
    plan: TrafficPlan,
    begun: Instant,
    balancer: Arc<Balancer>,
    caller: Caller,
    stopped: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<Record>>>,
}

impl Sender {
    async fn send_all(self) {
        let mut ticks = tokio::time::interval(self.plan.tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let in_flight = Arc::new(Semaphore::new(IN_FLIGHT));
        let mut calls = JoinSet::new();
        for number in 0..self.plan.calls.unwrap_or(u32::MAX) {
            if self.stopped.load(Ordering::Relaxed) {
                break;
            }
            ticks.tick().await;
            let call = self.plan.nth_call(number);
            for _ in 0..copies(&call, number) {
                let permit = Arc::clone(&in_flight).acquire_owned().await;
                calls.spawn(self.one_call(call.clone(), permit.ok()));
            }
            while calls.try_join_next().is_some() {}
        }
        calls.join_all().await;
    }

    fn one_call<P: Send + 'static>(
        &self,
        call: Call,
        permit: P,
    ) -> impl Future<Output = ()> + Send + 'static {
        let intended = self.begun.elapsed();
        let begun = self.begun;
        let caller = self.caller.clone();
        let balancer = Arc::clone(&self.balancer);
        let records = Arc::clone(&self.records);
        async move {
            let verdict = caller.send_through(&balancer, &call).await;
            let record = Record::new(&call, intended, begun.elapsed(), verdict);
            lock(&records).push(record);
            drop(permit);
        }
    }
}

fn copies(call: &Call, number: u32) -> u32 {
    let twice = call.repeat == Repeat::NonIdempotent && number.is_multiple_of(TWICE_EVERY);
    1 + u32::from(twice)
}
