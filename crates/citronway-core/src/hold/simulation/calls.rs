//! Simulated messages between instances and calls to the store, with delays and
//! losses.

use super::queue::{Step, StoreCall, StoreOperation};
use super::run::Simulation;
use crate::hold::{HoldEvent, ReadOutcome};
use crate::ids::Session;
use crate::platform::WriteOutcome;

/// Time after which an instance gives up on a call to the store, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 500;

impl Simulation<'_> {
    pub(super) fn send(&mut self, node: usize, to: Session, event: HoldEvent) {
        let target = self.nodes.iter().position(|it| it.session == to);
        let cut = target.is_some_and(|it| self.cut_links.contains(&(node, it)));
        let lost = !self.all_mended && self.rng.random_bool(self.header.lost_per_mille);
        if cut || lost {
            return;
        }
        let ms = self.rng.between(1, 3) + self.extra_delay_ms();
        self.schedule_in(ms, Step::Deliver { to, event });
    }

    fn extra_delay_ms(&mut self) -> u64 {
        let slow = !self.all_mended && self.rng.random_bool(self.header.slow_per_mille);
        if slow {
            return self.rng.between(0, self.header.slow_ms);
        }
        0
    }

    pub(super) fn call_store(&mut self, node: usize, operation: StoreOperation) {
        let mut ms = self.rng.between(2, 6) + self.extra_delay_ms();
        let it = &mut self.nodes[node];
        let mut lose_answer = false;
        if let StoreOperation::Write { .. } = operation {
            ms += std::mem::take(&mut it.delay_write_ms);
            lose_answer = std::mem::take(&mut it.lose_answer);
        }
        let call = StoreCall {
            from: it.session.clone(),
            begun: self.now_ms,
            lose_answer,
            operation,
        };
        self.schedule_in(ms, Step::StoreCall { call });
    }

    /// Executes a call at the store, even if the calling session has ended
    /// meanwhile.
    pub(super) fn run_store_call(&mut self, call: StoreCall) {
        let node = self.nodes.iter().position(|it| it.session == call.from);
        let unreachable = node.is_some_and(|it| self.nodes[it].store_cut);
        let back_ms = self.rng.between(2, 6) + self.extra_delay_ms();
        let answer_at = self.now_ms + back_ms;
        let timeout_at = call.begun + STORE_TIMEOUT_MS;
        let down = self.store_down || unreachable;
        // Half of the calls during an outage fail at once, before anything is sent.
        let refused = down && self.rng.random_bool(500);
        let answered = !down && !call.lose_answer && answer_at <= timeout_at;
        let event = match call.operation {
            StoreOperation::Read { read } => {
                let outcome = if answered {
                    self.store.read()
                } else {
                    ReadOutcome::Failed
                };
                HoldEvent::ReadDone { read, outcome }
            }
            StoreOperation::Write {
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
        let ms = at.saturating_sub(self.now_ms);
        let to = call.from;
        self.schedule_in(ms, Step::StoreAnswer { to, event });
    }
}
