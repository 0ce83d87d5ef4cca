//! Checks the promises of the design after every step of a replay.

use super::node::Node;
use super::outcome::{ActiveInterval, Violation};
use crate::ids::Epoch;
use crate::time::Wall;

/// What has been seen so far.
#[derive(Debug, Default)]
pub(super) struct Watch {
    pub acting: Vec<ActiveInterval>,
    pub broken: Option<Violation>,
    /// Epochs that were handed over, whose followers need no new floor.
    pub handed_over: Vec<Epoch>,
    longest_gap_ms: u64,
    acted_until: u64,
}

impl Watch {
    /// Looks at all nodes at one moment.
    pub fn look(&mut self, nodes: &mut [Node], at: u64) {
        let mut acting = None;
        for node in nodes {
            if node.went_back() {
                self.note(Violation::Version { at });
            }
            let Some(epoch) = node.acts(at) else {
                continue;
            };
            let session = node.session.clone();
            if let Some((first, _)) = acting.replace((session.clone(), epoch)) {
                let second = session;
                self.note(Violation::TwoActing { at, first, second });
            }
        }
        if let Some((session, epoch)) = acting {
            self.longest_gap_ms = self.gap_ms(at);
            self.acted_until = at;
            self.extend(ActiveInterval {
                session,
                epoch,
                from: at,
                until: at,
            });
        }
    }

    /// Checks the floor of a session that has become the row's dispatcher.
    ///
    /// Callers' clocks may be as far ahead as any clock of the world.
    pub fn floor(&mut self, epoch: Epoch, floor: Wall, latest_wall: impl Fn(u64) -> Wall, at: u64) {
        let Some(last) = self.acting.last() else {
            return;
        };
        let handed_over = self.handed_over.contains(&last.epoch);
        if last.epoch < epoch && !handed_over && floor < latest_wall(last.until) {
            self.note(Violation::Floor { at, epoch });
        }
    }

    /// Notes a promise that did not hold; the first one stays.
    pub fn note(&mut self, broken: Violation) {
        self.broken.get_or_insert(broken);
    }

    /// Longest time without anybody acting, up to `at`.
    pub fn gap_ms(&self, at: u64) -> u64 {
        self.longest_gap_ms.max(at - self.acted_until)
    }

    fn extend(&mut self, now: ActiveInterval) {
        let unbroken_ms = super::run::TICK_MS * 2;
        match self.acting.last_mut() {
            Some(last)
                if last.session == now.session
                    && last.epoch == now.epoch
                    && now.from - last.until <= unbroken_ms =>
            {
                last.until = now.until;
            }
            _ => self.acting.push(now),
        }
    }
}
