//! Reads and conditional writes of the dispatch row, and how unclear results are
//! settled.

use super::pending::PendingWrite;
use super::{Hold, HoldAction, ReadOutcome};
use crate::ids::Version;
use crate::platform::WriteOutcome;
use crate::shard::DispatchRow;
use crate::time::Now;

impl Hold {
    /// Handles the result of [`HoldAction::ReadRow`].
    #[must_use]
    pub fn on_read_done(&mut self, read: u64, outcome: &ReadOutcome, now: Now) -> Vec<HoldAction> {
        let mut out = Vec::new();
        match outcome {
            ReadOutcome::Found { version, row } => {
                self.reads.record_answer(read, false);
                self.adopt_row(row, *version, now, &mut out);
                self.prove_by_row(row, read, 0);
            }
            ReadOutcome::Absent => self.reads.record_answer(read, true),
            ReadOutcome::Failed => self.reads.record_failure(read),
        }
        out
    }

    /// Handles the result of [`HoldAction::Write`].
    #[must_use]
    pub fn on_write_done(
        &mut self,
        write: u64,
        outcome: &WriteOutcome,
        now: Now,
    ) -> Vec<HoldAction> {
        let mut out = Vec::new();
        let Some(pending) = self.pending.as_mut().filter(|it| write >= it.first) else {
            return out;
        };
        if write == self.last_write {
            pending.awaiting_report = false;
        }
        match outcome {
            WriteOutcome::Done { versions } => {
                let row = pending.row.clone();
                let version = versions.first().copied().unwrap_or_default();
                self.adopt_row(&row, version, now, &mut out);
                self.prove_by_row(&row, 0, write);
            }
            // The conflict may be with an earlier submission of the same write, so
            // only the content of the row settles the write.
            WriteOutcome::Conflict { found, .. } => {
                pending.outcome_unknown = true;
                self.seen_version = self.seen_version.max(*found);
                self.read_row(now, &mut out);
            }
            WriteOutcome::Unknown => {
                pending.outcome_unknown = true;
                self.read_row(now, &mut out);
            }
            WriteOutcome::Refused => {
                if !pending.outcome_unknown {
                    self.pending = None;
                }
            }
        }
        out
    }

    /// Settles a write without a clear result: by a row that has moved past the
    /// version that the write expects, or else by submitting the same row again.
    ///
    /// Failure guarded against: the answer is lost, a read still shows the old
    /// version, and the write takes effect later. Reads alone never settle the
    /// write. When it is submitted again with the same row and expected version, at
    /// most one of the submissions takes effect, and that changes the version.
    pub(super) fn settle_write(&mut self, now: Now, out: &mut Vec<HoldAction>) {
        let Some(pending) = &self.pending else {
            return;
        };
        let submitted = pending.submitted;
        let waited_ms = now.mono.since(submitted);
        // The write may have taken effect although its answer is lost. A read of
        // the row shows it before the call times out.
        if pending.awaiting_report {
            if waited_ms >= self.cfg.ask_interval_ms / 2 {
                self.read_row(now, out);
            }
            return;
        }
        if !pending.outcome_unknown {
            return;
        }
        if !self.reads.has_answer_since(submitted.plus(1)) {
            self.read_row(now, out);
            return;
        }
        if !self.has_left && waited_ms >= self.cfg.ask_interval_ms {
            self.submit_write(now, out);
        }
    }

    /// Starts a write of `row` on the condition that the known version is
    /// unchanged.
    pub(super) fn start_write(&mut self, row: DispatchRow, now: Now, out: &mut Vec<HoldAction>) {
        let expected = self.known.as_ref().map_or(Version(0), |it| it.version);
        self.pending = Some(PendingWrite {
            first: self.last_write + 1,
            expected,
            row,
            submitted: now.mono,
            awaiting_report: false,
            outcome_unknown: false,
        });
        self.submit_write(now, out);
    }

    fn submit_write(&mut self, now: Now, out: &mut Vec<HoldAction>) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        self.last_write += 1;
        pending.submitted = now.mono;
        pending.awaiting_report = true;
        out.push(HoldAction::Write {
            write: self.last_write,
            expected: pending.expected,
            row: pending.row.clone(),
        });
    }

    /// Reads the row unless a read began less than `ask_interval_ms` ago.
    pub(super) fn read_row(&mut self, now: Now, out: &mut Vec<HoldAction>) {
        if self.reads.is_due(now.mono, self.cfg.ask_interval_ms) {
            let read = self.reads.begin(now.mono);
            out.push(HoldAction::ReadRow { read });
        }
    }

    /// Whether the store answered a read that began within the last `suspicion_ms`,
    /// so that it is likely to answer a write too.
    ///
    /// A write during a store outage stays unsettled and keeps its session from
    /// promising for as long as the outage lasts. So the store is probed with a
    /// read first.
    pub(super) fn is_store_answering(&self, now: Now) -> bool {
        let since = now.mono.minus(self.cfg.suspicion_ms);
        self.reads.has_answer_since(since)
    }

    fn prove_by_row(&mut self, row: &DispatchRow, read: u64, write: u64) {
        let Some(state) = &mut self.dispatcher_state else {
            return;
        };
        if row.dispatcher == self.me && row.epoch == state.epoch {
            state.prove_by_store(read, write);
        }
    }
}
