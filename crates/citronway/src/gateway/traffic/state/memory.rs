//! Memory of callers' traffic: guards that charge the budget and release it when they are dropped.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use citronway_core::gateway::memory::{MemoryBudget, Pressure, Use};
use citronway_core::time::Mono;
use tokio::sync::Notify;

use super::State;
use crate::clock;
use crate::gateway::metrics::Metrics;

/// Longest time for which a body waits to be read under pressure. Callers send again after a
/// second without progress, so that a longer wait would be for nothing.
const BODY_WAIT: Duration = Duration::from_millis(300);

/// Least time from a log line on the pressure to one on its fall, and between two looks at the size of the
/// process, in milliseconds.
const LOG_PERIOD_MS: u64 = 1_000;

/// Memory that `control` keeps of each listed endpoint, range of keys and instance, in bytes.
/// Each is known in the view, in the rows that are kept, and in what is reported of it.
const ENDPOINT_BYTES: u64 = 4 * 1024;
const RANGE_BYTES: u64 = 512;
const INSTANCE_BYTES: u64 = 8 * 1024;

/// Memory of an idle connection to an endpoint, in bytes: buffers of the HTTP library and a task.
const LINK_BYTES: u64 = 20 * 1024;

/// The budget of an instance, shared by all guards.
#[derive(Debug)]
pub(in crate::gateway::traffic) struct Memory {
    budget: RefCell<MemoryBudget>,
    metrics: Metrics,
    /// Charge of what does not belong to a request or connection.
    base: Cell<u64>,
    /// Pressure that was logged last, and when.
    logged: Cell<(Pressure, Mono)>,
    resident: Cell<u64>,
    looked_at: Cell<Mono>,
    waiting_bodies: Cell<u32>,
    relieved: Notify,
}

/// Memory in use; released when dropped.
#[derive(Debug)]
pub(in crate::gateway::traffic) struct Charge {
    memory: Rc<Memory>,
    purpose: Use,
    bytes: u64,
    /// Bytes of it whose release is not counted as room that became free.
    uncounted: u64,
}

impl Memory {
    pub(super) fn new(budget: MemoryBudget, metrics: Metrics) -> Rc<Self> {
        metrics.memory.set_limit(budget.limit());
        Rc::new(Self {
            budget: RefCell::new(budget),
            metrics,
            base: Cell::new(0),
            logged: Cell::new((Pressure::None, Mono(0))),
            resident: Cell::new(0),
            looked_at: Cell::new(Mono(0)),
            waiting_bodies: Cell::new(0),
            relieved: Notify::new(),
        })
    }

    /// How full the budget is.
    pub(in crate::gateway::traffic) fn pressure(&self) -> Pressure {
        self.budget.borrow().pressure()
    }

    /// Whether more is in use than the budget allows.
    pub(in crate::gateway::traffic) fn is_exhausted(&self) -> bool {
        let budget = self.budget.borrow();
        budget.used() >= budget.limit()
    }

    /// Charges memory that is in use in any case.
    pub(in crate::gateway::traffic) fn charge(self: &Rc<Self>, purpose: Use, bytes: u64) -> Charge {
        self.budget.borrow_mut().charge(purpose, bytes);
        Charge {
            memory: Rc::clone(self),
            purpose,
            bytes,
            uncounted: match purpose {
                Use::Answers => 0,
                Use::Connections | Use::Requests => bytes,
            },
        }
    }

    /// Charges room for an answer, which is charged apart from it once it is known, or for a part
    /// of an answer that is on its way. Its release is not counted as room that became free.
    pub(in crate::gateway::traffic) fn reserve(self: &Rc<Self>, bytes: u64) -> Charge {
        let mut charge = self.charge(Use::Answers, bytes);
        charge.uncounted = u64::MAX;
        charge
    }

    /// Time after which room for `bytes` is expected, in milliseconds.
    pub(in crate::gateway::traffic) fn retry_after_ms(&self, bytes: u64) -> u64 {
        let mut budget = self.budget.borrow_mut();
        budget.retry_after_ms(clock::mono(), bytes)
    }

    /// Resolves once bodies may be read; returns whether that was soon enough.
    pub(in crate::gateway::traffic) async fn wait_for_bodies(&self) -> bool {
        if self.pressure() < Pressure::NoBodies {
            return true;
        }
        let _waiting = WaitingBody::new(self);
        let relieved = async {
            while self.pressure() >= Pressure::NoBodies {
                self.relieved.notified().await;
            }
        };
        tokio::time::timeout(BODY_WAIT, relieved).await.is_ok()
    }

    fn release(&self, charge: &Charge) {
        let mut budget = self.budget.borrow_mut();
        let uncounted = charge.uncounted.min(charge.bytes);
        budget.cancel(charge.purpose, uncounted);
        if charge.bytes > uncounted {
            budget.release(clock::mono(), charge.purpose, charge.bytes - uncounted);
        }
        if self.waiting_bodies.get() > 0 && budget.pressure() < Pressure::NoBodies {
            self.relieved.notify_waiters();
        }
    }

    /// Sets what does not belong to a request or connection.
    fn set_base(&self, bytes: u64) {
        let mut budget = self.budget.borrow_mut();
        budget.cancel(Use::Connections, self.base.replace(bytes));
        budget.charge(Use::Connections, bytes);
    }

    /// Updates the metrics, and logs a change of pressure with what the process really uses.
    fn observe(&self, now: Mono) {
        let pressure = self.pressure();
        let budget = self.budget.borrow();
        for purpose in Use::ALL {
            let used = budget.used_for(purpose);
            self.metrics.memory.set_used(purpose, used);
        }
        self.metrics.memory.set_pressure(pressure);
        let (logged, at) = self.logged.get();
        // A rise explains refusals, and is logged before them.
        let is_due = pressure > logged || (pressure < logged && now.since(at) >= LOG_PERIOD_MS);
        if is_due || now.since(self.looked_at.get()) >= LOG_PERIOD_MS {
            self.looked_at.set(now);
            self.resident.set(resident_bytes().unwrap_or_default());
            self.metrics.memory.set_resident(self.resident.get());
        }
        if is_due {
            self.logged.set((pressure, now));
            let kb = |bytes: u64| bytes / 1_024;
            let connections_kb = kb(budget.used_for(Use::Connections));
            let requests_kb = kb(budget.used_for(Use::Requests));
            let answers_kb = kb(budget.used_for(Use::Answers));
            let limit_kb = kb(budget.limit());
            let resident_kb = kb(self.resident.get());
            let pressure = pressure.as_str();
            log::info!(
                pressure, connections_kb, requests_kb, answers_kb, limit_kb, resident_kb;
                "pressure on memory changed"
            );
        }
    }
}

impl Charge {
    /// Charges more, up to `bytes` altogether, if there is room.
    #[must_use]
    pub(in crate::gateway::traffic) fn grow_to(&mut self, bytes: u64) -> bool {
        self.grow_by(bytes, |purpose, more, budget| match purpose {
            Use::Connections => {
                budget.charge(purpose, more);
                true
            }
            Use::Requests => budget.try_charge_body(more),
            Use::Answers => budget.try_charge_answer(more),
        })
    }

    /// Reserves room for an answer, `bytes` altogether, if there is any.
    #[must_use]
    pub(in crate::gateway::traffic) fn reserve(&mut self, bytes: u64) -> bool {
        self.grow_by(bytes, |_, more, budget| budget.try_reserve(more))
    }

    /// Charges what is in use in any case, `bytes` altogether.
    pub(in crate::gateway::traffic) fn set(&mut self, bytes: u64) {
        if bytes != self.bytes {
            let mut budget = self.memory.budget.borrow_mut();
            budget.cancel(self.purpose, self.bytes);
            budget.charge(self.purpose, bytes);
            self.bytes = bytes;
        }
    }

    fn grow_by(
        &mut self,
        bytes: u64,
        try_charge: impl FnOnce(Use, u64, &mut MemoryBudget) -> bool,
    ) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        if more == 0 {
            return true;
        }
        let mut budget = self.memory.budget.borrow_mut();
        let has_room = try_charge(self.purpose, more, &mut budget);
        if has_room {
            self.bytes = bytes;
        }
        has_room
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.memory.release(self);
    }
}

/// Guard that counts a body that waits to be read.
struct WaitingBody<'a>(&'a Memory);

impl<'a> WaitingBody<'a> {
    fn new(memory: &'a Memory) -> Self {
        memory.waiting_bodies.set(memory.waiting_bodies.get() + 1);
        Self(memory)
    }
}

impl Drop for WaitingBody<'_> {
    fn drop(&mut self) {
        self.0.waiting_bodies.set(self.0.waiting_bodies.get() - 1);
    }
}

impl State {
    /// How full the memory of this instance is.
    pub(in crate::gateway::traffic) fn memory_pressure(&self) -> Pressure {
        self.memory.pressure()
    }

    /// Updates what is charged apart from requests and connections, and the metrics.
    pub(super) fn update_memory(&self, now: Mono) {
        let view = self.view.borrow();
        let count = |n: usize| n as u64;
        let ranges = view.owners.values();
        let ranges = ranges.map(|owners| owners.assignment.ranges.len()).sum();
        let base = count(view.registry.iter().count()) * ENDPOINT_BYTES
            + count(ranges) * RANGE_BYTES
            + u64::from(view.instances) * INSTANCE_BYTES
            + count(self.pool.borrow().idle_count()) * LINK_BYTES;
        drop(view);
        self.memory.set_base(base);
        self.memory.observe(now);
    }
}

/// Size of this process in memory, in bytes; `None` where the system does not tell.
fn resident_bytes() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kb: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kb * 1_024)
}
