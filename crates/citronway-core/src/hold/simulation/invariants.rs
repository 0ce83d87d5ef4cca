//! Checks the invariants of the hold after every step of a simulation.

use super::node::Node;
use super::outcome::{ActiveInterval, Violation};
use crate::ids::Epoch;
use crate::time::Wall;

/// What has been observed so far.
#[derive(Debug, Default)]
pub(super) struct InvariantChecker {
    pub intervals: Vec<ActiveInterval>,
    pub violation: Option<Violation>,
    /// Epochs that ended with a handover, after which no new floor is needed.
    pub handed_over: Vec<Epoch>,
    longest_gap_ms: u64,
    last_acting_ms: u64,
}

impl InvariantChecker {
    /// Checks all nodes at the time `at`, in milliseconds from the start.
    pub fn check_nodes(&mut self, nodes: &mut [Node], at: u64) {
        let mut acting = None;
        for node in nodes {
            if node.has_version_regressed() {
                self.record_violation(Violation::Version { at });
            }
            let Some(epoch) = node.active_epoch(at) else {
                continue;
            };
            let session = node.session.clone();
            if let Some((first, _)) = acting.replace((session.clone(), epoch)) {
                let second = session;
                self.record_violation(Violation::TwoActing { at, first, second });
            }
        }
        if let Some((session, epoch)) = acting {
            self.longest_gap_ms = self.longest_gap_ms(at);
            self.last_acting_ms = at;
            self.extend_interval(ActiveInterval {
                session,
                epoch,
                from: at,
                until: at,
            });
        }
    }

    /// Checks the floor of a session that has become dispatcher.
    ///
    /// `latest_wall` gives the most advanced wall clock at a time, since callers'
    /// clocks may be as far ahead as any simulated clock.
    pub fn check_floor(
        &mut self,
        epoch: Epoch,
        floor: Wall,
        latest_wall: impl Fn(u64) -> Wall,
        at: u64,
    ) {
        let Some(last) = self.intervals.last() else {
            return;
        };
        let handed_over = self.handed_over.contains(&last.epoch);
        if last.epoch < epoch && !handed_over && floor < latest_wall(last.until) {
            self.record_violation(Violation::Floor { at, epoch });
        }
    }

    /// Records a violation; only the first one is kept.
    pub fn record_violation(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    /// Longest time in which no session could act, up to `at`, in milliseconds.
    pub fn longest_gap_ms(&self, at: u64) -> u64 {
        self.longest_gap_ms.max(at - self.last_acting_ms)
    }

    fn extend_interval(&mut self, seen: ActiveInterval) {
        let max_step_ms = super::run::TICK_INTERVAL_MS * 2;
        match self.intervals.last_mut() {
            Some(last)
                if last.session == seen.session
                    && last.epoch == seen.epoch
                    && seen.from - last.until <= max_step_ms =>
            {
                last.until = seen.until;
            }
            _ => self.intervals.push(seen),
        }
    }
}
