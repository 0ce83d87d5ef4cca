//! What one instance may use of a queue's room, and when it has room, by the demand of all.

use super::{ARRIVAL_PARTS, CLASSES, QueueDemand, RANKS, RETURN_STEP_MS, RETURN_STEPS, whole};

/// Part of the room that each rank keeps for its requests that can still be in time, while more
/// urgent ones wait, so that none starves.
///
/// A rank with two less urgent ones below it gives up a fifth of the room at most. A tenth of the
/// room serves the least urgent rank in time where it is up to a tenth of the load.
pub const KEPT_PART: f64 = 0.1;

/// Part of the room that requests which will be late are assumed to get, however many in time there
/// are. They keep none, but arrivals vary.
const LATE_PART: f64 = 0.02;

/// Demand of all instances for one queue, as one instance sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionShares {
    mine: [u32; CLASSES],
    all: [u32; CLASSES],
    /// Waiting requests of instances that state no classes.
    unranked: u32,
    /// Arrivals a millisecond, by rank.
    arrivals: [f64; RANKS],
    /// Callers expected back, by step.
    returns: [f64; RETURN_STEPS],
}

impl AdmissionShares {
    /// Shares from the demand of this instance and of all others, of whom `others_waiting` requests
    /// wait, counting also those without a known class.
    #[must_use]
    pub fn new(own: &QueueDemand, others: &QueueDemand, others_waiting: u32) -> Self {
        let mut all = *own;
        all.add(others);
        let per_ms = |parts: u32| f64::from(parts) / f64::from(ARRIVAL_PARTS) / 1_000.0;
        Self {
            mine: own.waiting,
            all: all.waiting,
            unranked: others_waiting.saturating_sub(others.all_waiting()),
            arrivals: all.arrivals.map(per_ms),
            returns: all.returns.map(f64::from),
        }
    }

    /// Replaces the callers that are expected back, by step.
    #[must_use]
    pub fn with_returns(mut self, returns: [f64; RETURN_STEPS]) -> Self {
        self.returns = returns;
        self
    }

    /// Number of waiting requests of all instances that go before those of a class.
    #[must_use]
    pub fn urgent(&self, class: usize) -> u32 {
        self.all.iter().take(class).sum()
    }

    /// Number of this instance's waiting requests of a class; one that has just arrived counts.
    #[must_use]
    pub fn mine(&self, class: usize) -> u32 {
        self.mine.get(class).copied().unwrap_or_default().max(1)
    }

    /// Number of waiting requests of all instances that share the room of a class. Those without a
    /// known class share that of each.
    #[must_use]
    pub fn equal(&self, class: usize) -> u32 {
        let own = self.mine.get(class).copied().unwrap_or_default();
        let all = self.all.get(class).copied().unwrap_or_default();
        (all - own + self.mine(class)).saturating_add(self.unranked)
    }

    /// Number of requests that arrive within `ms` and go before those of a class.
    #[must_use]
    pub fn urgent_within(&self, class: usize, ms: u64) -> u32 {
        whole(self.urgent_arrivals(class) * ms as f64)
    }

    /// Number of requests of a class that arrive within `ms`.
    #[must_use]
    pub fn equal_within(&self, class: usize, ms: u64) -> u32 {
        let per_ms = self.arrivals.get(class).copied().unwrap_or_default();
        whole(per_ms * ms as f64)
    }

    /// Arrivals a millisecond that go before waiting requests of a class: newcomers of more urgent
    /// ranks, of all ranks before those that will be late.
    fn urgent_arrivals(&self, class: usize) -> f64 {
        self.arrivals.iter().take(class).sum()
    }

    /// Expected wait in milliseconds of a request before which `before` of this instance's requests
    /// of its class go, where `per_ms` requests a millisecond are served.
    ///
    /// The requests of all instances that go before its class are served first, also those that
    /// arrive meanwhile, except for the part that its rank keeps. Of its own class, this instance's
    /// requests get room in proportion to their number.
    #[must_use]
    pub fn wait_ms(&self, class: usize, before: u32, per_ms: f64) -> u64 {
        let mine = f64::from(self.mine(class).max(before + 1));
        let equal = f64::from(self.equal(class)).max(mine);
        let position = f64::from(before + 1) * equal / mine;
        let kept = per_ms * if class < RANKS { KEPT_PART } else { LATE_PART };
        let left = (per_ms - self.urgent_arrivals(class)).max(kept);
        let in_turn = (f64::from(self.urgent(class)) + position - 1.0) / left;
        let by_kept_part = position / kept;
        u64::from(whole(in_turn.min(by_kept_part)))
    }

    /// First step up to `last` in which a refused caller finds room, if it comes back then; `None`
    /// if there is none. `class_at` is its class in a step.
    ///
    /// It has room in a step in which the requests before it that wait now and are not yet served,
    /// the usual arrivals that go before it or are equal, and the callers that were told to come
    /// back in that step leave at least one place.
    #[must_use]
    pub fn return_step(
        &self,
        last: usize,
        per_ms: f64,
        class_at: impl Fn(usize) -> usize,
    ) -> Option<usize> {
        let steps = 0..RETURN_STEPS.min(last + 1);
        let mut steps = steps.filter(|step| self.has_room_in(*step, class_at(*step), per_ms));
        steps.next()
    }

    fn has_room_in(&self, step: usize, class: usize, per_ms: f64) -> bool {
        let served = per_ms * RETURN_STEP_MS as f64;
        let arrivals = self.urgent_arrivals(class + 1) * RETURN_STEP_MS as f64;
        // The refused request itself no longer waits.
        let mut backlog = f64::from(self.urgent(class) + self.equal(class)) - 1.0;
        let mut wanted = f64::INFINITY;
        for returns in self.returns.iter().take(step + 1) {
            wanted = backlog + arrivals + returns;
            backlog = (wanted - served).max(0.0);
        }
        wanted + 1.0 <= served.max(1.0)
    }

    /// How many times the requests of a class at all instances are those of this one.
    #[must_use]
    pub fn of_all(&self, class: usize) -> f64 {
        f64::from(self.equal(class)) / f64::from(self.mine(class))
    }
}
