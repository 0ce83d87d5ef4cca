//! Bound on the log lines about answers that are not whole.

use std::cell::Cell;

use citronway_core::time::Mono;

use super::State;

/// Most lines in a period.
const MAX_LINES: u32 = 20;

/// Length of a period, in milliseconds.
const PERIOD_MS: u64 = 1_000;

/// Lines of the current period.
#[derive(Debug, Default)]
pub(super) struct CutLines {
    began: Cell<Mono>,
    lines: Cell<u32>,
}

impl State {
    /// Whether one more line about an answer that is not whole may be logged.
    pub(in crate::gateway::traffic) fn may_log_cut(&self, now: Mono) -> bool {
        let CutLines { began, lines } = &self.cut_lines;
        if now.since(began.get()) >= PERIOD_MS {
            began.set(now);
            lines.set(0);
        }
        lines.set(lines.get() + 1);
        lines.get() <= MAX_LINES
    }
}
