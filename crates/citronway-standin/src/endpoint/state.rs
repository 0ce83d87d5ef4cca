//! State of an endpoint stand-in: what it holds, runs, refuses and records.

use std::fs::File;
use std::io::Write;

use citronway_core::ids::{EndpointName, Epoch, RequestId, ServiceName, ShardId};
use citronway_core::node::events::{Grant, RefusedReason};
use citronway_core::request::Repeat;
use citronway_core::time::Wall;
use indexmap::{IndexMap, IndexSet};

use super::control::Report;
use super::faults::EndpointFaults;
use super::fences::Fences;
use super::journal::{Journal, Run};
use super::options::EndpointOptions;
use super::order::Order;
use super::pace::Strain;

/// Number of an order at work, unique within a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct WorkId(u64);

/// What becomes of an order at its commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Commit {
    /// It ran.
    Ran,
    /// It did not run, for this reason.
    Refused(RefusedReason),
    /// The endpoint restarted meanwhile and knows nothing of it.
    Forgotten,
}

/// An order that has begun.
#[derive(Debug)]
struct Work {
    order: Order,
    start: Wall,
    cancelled: bool,
}

/// State of an endpoint stand-in; the time is an argument.
#[derive(Debug)]
pub struct State {
    name: EndpointName,
    slots: u32,
    checks: bool,
    cold_ms: u64,
    shed_above: u32,
    started: Wall,
    /// Faults in force.
    pub faults: EndpointFaults,
    fences: Fences,
    cancelled: IndexSet<RequestId>,
    working: IndexMap<WorkId, Work>,
    next_work: u64,
    begun_epochs: IndexMap<(ServiceName, ShardId), Epoch>,
    committed: IndexSet<RequestId>,
    journal: Journal,
    file: Option<File>,
}

impl State {
    /// A fresh endpoint that starts at `now` and writes its runs to `file`.
    #[must_use]
    pub fn new(options: &EndpointOptions, file: Option<File>, now: Wall) -> Self {
        let name = EndpointName::new(&options.name);
        Self {
            journal: Journal::new(name.clone(), options.slots),
            name,
            slots: options.slots,
            checks: options.checks,
            cold_ms: options.cold_ms,
            shed_above: options.shed_above,
            started: now,
            faults: EndpointFaults::default(),
            fences: Fences::default(),
            cancelled: IndexSet::new(),
            working: IndexMap::new(),
            next_work: 0,
            begun_epochs: IndexMap::new(),
            committed: IndexSet::new(),
            file,
        }
    }

    /// Its name.
    #[must_use]
    pub const fn name(&self) -> &EndpointName {
        &self.name
    }

    /// What it has recorded.
    #[must_use]
    pub const fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Replaces the faults in force.
    pub fn set_faults(&mut self, mut faults: EndpointFaults, now: Wall) {
        if faults.restart {
            faults.restart = false;
            self.restart(now);
        }
        self.faults = faults;
    }

    /// Counts an order whose bytes have arrived.
    pub const fn arrived(&mut self) {
        self.journal.arrived += 1;
    }

    /// Counts an order that lacks its headers.
    pub const fn malformed(&mut self) {
        self.journal.malformed += 1;
    }

    /// Begins an order.
    ///
    /// # Errors
    ///
    /// If it refuses the order, which then does not run.
    pub fn begin(&mut self, order: Order, now: Wall) -> Result<WorkId, RefusedReason> {
        if let Some(reason) = self.refusal_to_begin(&order, now) {
            self.journal.refused.add(reason);
            return Err(reason);
        }
        self.note_epoch(&order);
        let id = WorkId(self.next_work);
        self.next_work += 1;
        let work = Work {
            order,
            start: now,
            cancelled: false,
        };
        self.working.insert(id, work);
        self.journal.peak_running = self.journal.peak_running.max(self.running());
        Ok(id)
    }

    /// Commits an order, or finds that it must not run after all.
    pub fn commit(&mut self, id: WorkId, now: Wall) -> Commit {
        let Some(work) = self.working.swap_remove(&id) else {
            return Commit::Forgotten;
        };
        if let Some(reason) = self.refusal_to_commit(&work, now) {
            self.journal.not_committed += 1;
            return Commit::Refused(reason);
        }
        let order = &work.order;
        if !self.committed.insert(order.id) && order.repeat == Repeat::NonIdempotent {
            self.journal.ran_twice.push(order.id);
        }
        let run = Run::new(order, &self.name, work.start, now);
        self.write(&run);
        self.journal.runs.push(run);
        Commit::Ran
    }

    /// Cancels a request; true if it does not run and never will.
    pub fn cancel(&mut self, id: RequestId) -> bool {
        if self.faults.ignores_cancel || self.committed.contains(&id) {
            return false;
        }
        self.cancelled.insert(id);
        for work in self.working.values_mut() {
            work.cancelled |= work.order.id == id;
        }
        true
    }

    /// Takes a grant, renewal or probe.
    pub fn grant(&mut self, grant: &Grant, now: Wall) -> Report {
        let stale = self.checks && self.fences.grant(grant);
        self.report(stale, now)
    }

    /// Takes a revocation.
    pub fn revoke(&mut self, grant: &Grant, now: Wall) -> Report {
        let stale = self.checks && self.fences.revoke(grant);
        self.report(stale, now)
    }

    /// What slows it down at the moment.
    #[must_use]
    pub fn strain(&self, now: Wall) -> Strain {
        Strain {
            running: self.running(),
            slots: self.slots,
            cold: self.is_cold(now),
            slow_factor: self.faults.slow_factor,
        }
    }

    fn refusal_to_begin(&self, order: &Order, now: Wall) -> Option<RefusedReason> {
        if self.faults.draining {
            return Some(RefusedReason::Draining);
        }
        let over_limit = self.shed_above > 0 && self.running() >= self.shed_above;
        if self.faults.sheds || over_limit {
            return Some(RefusedReason::Shed);
        }
        if order.deadline <= now || self.cancelled.contains(&order.id) {
            return Some(RefusedReason::Expired);
        }
        self.fence_refusal(order, now)
    }

    fn refusal_to_commit(&self, work: &Work, now: Wall) -> Option<RefusedReason> {
        if work.order.deadline <= now || work.cancelled {
            return Some(RefusedReason::Expired);
        }
        self.fence_refusal(&work.order, now)
    }

    fn fence_refusal(&self, order: &Order, now: Wall) -> Option<RefusedReason> {
        if !self.checks {
            return None;
        }
        self.fences.refusal(order, now)
    }

    fn note_epoch(&mut self, order: &Order) {
        let shard = (order.service.clone(), order.shard);
        let highest = self.begun_epochs.entry(shard).or_default();
        if order.shard_epoch < *highest {
            self.journal.stale_begun += 1;
            return;
        }
        *highest = order.shard_epoch;
    }

    fn report(&self, stale_epoch: bool, now: Wall) -> Report {
        let lies = self.faults.claims_healthy;
        Report {
            stale_epoch,
            draining: self.faults.draining,
            running: if lies { 0 } else { self.running() },
            cold: !lies && self.is_cold(now),
        }
    }

    fn running(&self) -> u32 {
        u32::try_from(self.working.len()).unwrap_or(u32::MAX)
    }

    const fn is_cold(&self, now: Wall) -> bool {
        now.since(self.started) < self.cold_ms
    }

    fn restart(&mut self, now: Wall) {
        self.started = now;
        self.fences = Fences::default();
        self.cancelled.clear();
        self.working.clear();
    }

    fn write(&mut self, run: &Run) {
        let Some(file) = &mut self.file else {
            return;
        };
        let mut line = serde_json::to_vec(run).expect("runs are plain JSON");
        line.push(b'\n');
        if let Err(error) = file.write_all(&line) {
            log::error!("cannot write the journal: {error}");
        }
    }
}
