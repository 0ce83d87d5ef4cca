//! Messages between instances and calls to the store, with their delays.

use super::queue::{Call, Step, StoreWork};
use super::run::World;
use crate::hold::{HoldEvent, ReadOutcome};
use crate::ids::Session;
use crate::platform::WriteOutcome;

/// An instance stops waiting for the store after this, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 500;

impl World<'_> {
    pub(super) fn send(&mut self, node: usize, to: Session, event: HoldEvent) {
        let target = self.nodes.iter().position(|it| it.session == to);
        let cut = target.is_some_and(|it| self.cuts.contains(&(node, it)));
        let lost = !self.mended && self.chance.happens(self.header.lost_per_mille);
        if cut || lost {
            return;
        }
        let ms = self.chance.between(1, 3) + self.slowness();
        self.queue_in(ms, Step::Arrive { to, event });
    }

    fn slowness(&mut self) -> u64 {
        let slow = !self.mended && self.chance.happens(self.header.slow_per_mille);
        if slow {
            return self.chance.between(0, self.header.slow_ms);
        }
        0
    }

    pub(super) fn call(&mut self, node: usize, what: StoreWork) {
        let mut ms = self.chance.between(2, 6) + self.slowness();
        let it = &mut self.nodes[node];
        let mut lose_answer = false;
        if let StoreWork::Write { .. } = what {
            ms += std::mem::take(&mut it.delay_write_ms);
            lose_answer = std::mem::take(&mut it.lose_answer);
        }
        let call = Call {
            from: it.session.clone(),
            begun: self.at,
            lose_answer,
            what,
        };
        self.queue_in(ms, Step::StoreCall { call });
    }

    /// The store carries a call out, also when its author is dead by now.
    pub(super) fn store_call(&mut self, call: Call) {
        let node = self.nodes.iter().position(|it| it.session == call.from);
        let unreachable = node.is_some_and(|it| self.nodes[it].store_cut);
        let back_ms = self.chance.between(2, 6) + self.slowness();
        let answer_at = self.at + back_ms;
        let timeout_at = call.begun + STORE_TIMEOUT_MS;
        let down = self.store_down || unreachable;
        // Some calls during an outage fail at once, before anything is sent.
        let refused = down && self.chance.happens(500);
        let answered = !down && !call.lose_answer && answer_at <= timeout_at;
        let event = match call.what {
            StoreWork::Read { read } => {
                let outcome = if answered {
                    self.store.read()
                } else {
                    ReadOutcome::Failed
                };
                HoldEvent::ReadDone { read, outcome }
            }
            StoreWork::Write {
                write,
                expected,
                row,
            } => {
                let mut outcome = WriteOutcome::Unknown;
                if refused {
                    outcome = WriteOutcome::Refused;
                } else if !down {
                    let done = self.store.write(expected, &row);
                    if answered {
                        outcome = done;
                    }
                }
                HoldEvent::WriteDone { write, outcome }
            }
        };
        let at = if answered || refused {
            answer_at
        } else {
            timeout_at
        };
        let ms = at.saturating_sub(self.at);
        let to = call.from;
        self.queue_in(ms, Step::StoreAnswer { to, event });
    }
}
