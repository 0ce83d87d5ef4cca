//! What this instance does when the store is in a new era.

use citronway_core::gateway::version::Era;
use citronway_core::time::Mono;
use tokio::sync::mpsc;

use super::first::Registration;
use super::{Control, Event};

/// Age in milliseconds from which on the row of this instance is in any copy of the store.
const LISTED_IN_COPIES_MS: u64 = 60_000;

/// Time from a new era until this instance lists itself again, in milliseconds, if its row may be
/// lost. By then whoever polls the store has read the restored rows.
const RELIST_AFTER_MS: u64 = 500;

impl Control {
    /// Learns of an era from another instance.
    pub(super) fn hear_era(&mut self, now: Mono, era: Era, source: &str) {
        self.store.era.raise(era);
        self.observe_era(now, source);
    }

    /// Handles a new era of the store, which `source` stated, and statements of the store that
    /// cannot be used.
    pub(super) fn observe_era(&mut self, now: Mono, source: &str) {
        if let Some((cause, count)) = self.store.era.take_unusable() {
            self.cluster.unusable.record_era(cause.to_string(), count);
        }
        let era = self.store.era.get();
        if era <= self.cluster.era {
            return;
        }
        let before = self.cluster.era;
        let is_change = self.cluster.enter_era(now, era);
        log::warn!(era = era.0, before = before.0, source, restored = is_change; "era of the store");
        self.metrics.set_store_era(era);
        if !is_change {
            return;
        }
        self.leadership.enter_era(era);
        for (_, control) in &self.polls {
            if !control.is_passive() {
                control.refresh.notify_one();
            }
        }
        let is_recent = self
            .registered_at
            .is_some_and(|at| now.since(at) < LISTED_IN_COPIES_MS);
        if is_recent {
            self.relist_at = Some(now.plus(RELIST_AFTER_MS));
        }
    }

    /// Lists this instance again if its row may be lost.
    pub(super) fn relist(&mut self, now: Mono, events: &mpsc::Sender<Event>) {
        if self.relist_at.is_none_or(|at| now < at) || self.registration == Registration::Pending {
            return;
        }
        self.relist_at = None;
        let row = self.instance_row();
        if !self.cluster.is_listed_as(&row) {
            log::info!(era = self.cluster.era.0; "listing this instance again");
            self.write_instance_row(row, events);
        }
    }

    /// Reads tables again in which rows of a restored store did not count.
    pub(super) fn read_settled_tables(&mut self, now: Mono) {
        for table in self.cluster.take_settled(now) {
            log::info!(table = table.as_str(); "restored rows are in force");
            self.reload_table(table);
        }
    }
}
