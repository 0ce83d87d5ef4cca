//! Writes whose effect is not known yet, and reads of the row.

use indexmap::IndexMap;

use crate::ids::Version;
use crate::shard::DispatchRow;
use crate::time::Mono;

/// Reads kept in mind; an answer to an older one tells nothing any more.
const READS_KEPT: usize = 8;

/// A write that may land, also later, also after it was given up.
#[derive(Debug, Clone)]
pub(super) struct PendingWrite {
    /// Number of its first submission; all since then carry the same row.
    pub first: u64,
    /// Version it expects. It is settled once the row has moved past that.
    pub expected: Version,
    /// Row it writes.
    pub row: DispatchRow,
    /// Latest submission.
    pub submitted: Mono,
    /// Whether the latest submission is still without any report.
    pub waiting: bool,
    /// Whether a submission ended without an answer and may land yet.
    pub doubtful: bool,
}

/// Reads of the row that are under way or answered.
#[derive(Debug, Clone, Default)]
pub(super) struct Reads {
    last: u64,
    started: IndexMap<u64, Mono>,
    last_start: Option<Mono>,
    answered_start: Option<Mono>,
    absent: bool,
}

impl Reads {
    /// Number of the latest read begun.
    pub const fn last(&self) -> u64 {
        self.last
    }

    /// Whether a new read is due, at most one in `interval_ms`.
    pub fn due(&self, now: Mono, interval_ms: u64) -> bool {
        self.last_start
            .is_none_or(|start| now.since(start) >= interval_ms)
    }

    /// Begins a read and returns its number.
    pub fn begin(&mut self, now: Mono) -> u64 {
        self.last += 1;
        self.last_start = Some(now);
        self.started.insert(self.last, now);
        if self.started.len() > READS_KEPT {
            self.started.shift_remove_index(0);
        }
        self.last
    }

    /// Takes a store's answer to a read.
    pub fn answered(&mut self, read: u64, absent: bool) {
        let Some(start) = self.started.shift_remove(&read) else {
            return;
        };
        if self.answered_start.is_none_or(|latest| latest <= start) {
            self.answered_start = Some(start);
            self.absent = absent;
        }
    }

    /// Takes a read without an answer: the store counts as down again.
    pub fn failed(&mut self, read: u64) {
        self.started.shift_remove(&read);
        self.answered_start = None;
    }

    /// Whether a read begun at or after `since` was answered.
    pub fn answered_since(&self, since: Mono) -> bool {
        self.answered_start.is_some_and(|start| start >= since)
    }

    /// Whether the latest answer was that there is no row.
    pub const fn absent(&self) -> bool {
        self.absent
    }
}
