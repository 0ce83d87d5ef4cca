//! The write of the row whose effect is not known yet, and the reads of the row.

use indexmap::IndexMap;

use crate::ids::Version;
use crate::shard::DispatchRow;
use crate::time::Mono;

/// Maximum number of unanswered reads that are tracked; answers to older ones are
/// ignored.
const MAX_OPEN_READS: usize = 8;

/// A write that may still take effect, even after it was given up.
#[derive(Debug, Clone)]
pub(super) struct PendingWrite {
    /// Number of the first submission. All later submissions carry the same row.
    pub first: u64,
    /// Row version that the write expects. The write is settled once the row has
    /// moved past it.
    pub expected: Version,
    /// Row to be written.
    pub row: DispatchRow,
    /// When the write was last submitted.
    pub submitted: Mono,
    /// Whether the latest submission has not been reported yet.
    pub awaiting_report: bool,
    /// Whether a submission ended without a clear answer and may still take effect.
    pub outcome_unknown: bool,
}

/// Reads of the row that are in flight or answered.
#[derive(Debug, Clone, Default)]
pub(super) struct RowReads {
    last: u64,
    started: IndexMap<u64, Mono>,
    last_start: Option<Mono>,
    answered_start: Option<Mono>,
    absent: bool,
}

impl RowReads {
    /// Number of the latest read begun.
    pub const fn last_number(&self) -> u64 {
        self.last
    }

    /// Whether a new read is due; at most one read begins per `interval_ms`.
    pub fn is_due(&self, now: Mono, interval_ms: u64) -> bool {
        self.last_start
            .is_none_or(|start| now.since(start) >= interval_ms)
    }

    /// Begins a read and returns its number.
    pub fn begin(&mut self, now: Mono) -> u64 {
        self.last += 1;
        self.last_start = Some(now);
        self.started.insert(self.last, now);
        if self.started.len() > MAX_OPEN_READS {
            self.started.shift_remove_index(0);
        }
        self.last
    }

    /// Records the store's answer to a read; `absent` means that the row does not
    /// exist.
    pub fn record_answer(&mut self, read: u64, absent: bool) {
        let Some(start) = self.started.shift_remove(&read) else {
            return;
        };
        if self.answered_start.is_none_or(|latest| latest <= start) {
            self.answered_start = Some(start);
            self.absent = absent;
        }
    }

    /// Records that a read was not answered. The store counts as unavailable until
    /// a later read is answered.
    pub fn record_failure(&mut self, read: u64) {
        self.started.shift_remove(&read);
        self.answered_start = None;
    }

    /// Whether a read begun at or after `since` was answered.
    pub fn has_answer_since(&self, since: Mono) -> bool {
        self.answered_start.is_some_and(|start| start >= since)
    }

    /// Whether the latest answer was that the row does not exist.
    pub const fn is_row_absent(&self) -> bool {
        self.absent
    }
}
