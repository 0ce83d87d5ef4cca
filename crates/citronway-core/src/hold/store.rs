//! Reads and writes of the dispatch row, and what an unclear answer means.

use super::pending::PendingWrite;
use super::{Hold, HoldAction, ReadOutcome};
use crate::ids::Version;
use crate::platform::WriteOutcome;
use crate::shard::DispatchRow;
use crate::time::Now;

impl Hold {
    /// Takes the result of [`HoldAction::ReadRow`].
    #[must_use]
    pub fn on_read_done(&mut self, read: u64, outcome: &ReadOutcome, now: Now) -> Vec<HoldAction> {
        let mut out = Vec::new();
        match outcome {
            ReadOutcome::Found { version, row } => {
                self.reads.answered(read, false);
                self.learn(row, *version, now, &mut out);
                self.prove_by_row(row, read, 0);
            }
            ReadOutcome::Absent => self.reads.answered(read, true),
            ReadOutcome::Failed => self.reads.failed(read),
        }
        out
    }

    /// Takes the result of [`HoldAction::Write`].
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
            pending.waiting = false;
        }
        match outcome {
            WriteOutcome::Done { versions } => {
                let row = pending.row.clone();
                let version = versions.first().copied().unwrap_or_default();
                self.learn(&row, version, now, &mut out);
                self.prove_by_row(&row, 0, write);
            }
            // An earlier submission may be what moved the row, so only its
            // content settles the write.
            WriteOutcome::Conflict { found, .. } => {
                pending.doubtful = true;
                self.seen_version = self.seen_version.max(*found);
                self.read(now, &mut out);
            }
            WriteOutcome::Unknown => {
                pending.doubtful = true;
                self.read(now, &mut out);
            }
            WriteOutcome::Refused => {
                if !pending.doubtful {
                    self.pending = None;
                }
            }
        }
        out
    }

    /// Settles a write without a clear answer: by a row that has moved past the
    /// version it expected, else by submitting the same row again.
    ///
    /// Failure guarded against: the answer is lost and the row still shows the
    /// old version, but the write lands later. Reading alone never settles it.
    /// Submitted again with the same content and expectation, one of the two at
    /// most takes effect, and either moves the version.
    pub(super) fn settle(&mut self, now: Now, out: &mut Vec<HoldAction>) {
        let Some(pending) = &self.pending else {
            return;
        };
        let submitted = pending.submitted;
        let waited_ms = now.mono.since(submitted);
        // The write may have taken effect although its answer is lost; the row
        // tells before the call times out.
        if pending.waiting {
            if waited_ms >= self.cfg.ask_interval_ms / 2 {
                self.read(now, out);
            }
            return;
        }
        if !pending.doubtful {
            return;
        }
        if !self.reads.answered_since(submitted.plus(1)) {
            self.read(now, out);
            return;
        }
        if !self.left && waited_ms >= self.cfg.ask_interval_ms {
            self.submit(now, out);
        }
    }

    /// Starts a write of `row`.
    pub(super) fn write(&mut self, row: DispatchRow, now: Now, out: &mut Vec<HoldAction>) {
        let expected = self.known.as_ref().map_or(Version(0), |it| it.version);
        self.pending = Some(PendingWrite {
            first: self.last_write + 1,
            expected,
            row,
            submitted: now.mono,
            waiting: false,
            doubtful: false,
        });
        self.submit(now, out);
    }

    fn submit(&mut self, now: Now, out: &mut Vec<HoldAction>) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        self.last_write += 1;
        pending.submitted = now.mono;
        pending.waiting = true;
        out.push(HoldAction::Write {
            write: self.last_write,
            expected: pending.expected,
            row: pending.row.clone(),
        });
    }

    /// Reads the row unless a read was begun shortly before.
    pub(super) fn read(&mut self, now: Now, out: &mut Vec<HoldAction>) {
        if self.reads.due(now.mono, self.cfg.ask_interval_ms) {
            let read = self.reads.begin(now.mono);
            out.push(HoldAction::ReadRow { read });
        }
    }

    /// Whether the store answered a read begun so shortly before that a write is
    /// likely to be answered too.
    ///
    /// A write during an outage would stay unsettled and keep its author silent
    /// for as long as the outage lasts, so the store is tried with a read first.
    pub(super) fn store_answers(&self, now: Now) -> bool {
        let since = now.mono.minus(self.cfg.suspicion_ms);
        self.reads.answered_since(since)
    }

    fn prove_by_row(&mut self, row: &DispatchRow, read: u64, write: u64) {
        let Some(tenure) = &mut self.tenure else {
            return;
        };
        if row.dispatcher == self.me && row.epoch == tenure.epoch {
            tenure.proved_by_store(read, write);
        }
    }
}
