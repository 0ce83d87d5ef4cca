//! When this instance polls the store, and when it is passive because the leader relays
//! rows.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use citronway_core::gateway::rows::Table;
use citronway_core::time::Mono;
use tokio::sync::mpsc;

use super::store::{ENTRIES_BATCH_MS, OWN_BATCH_MS, PollControl, TablePoller};
use super::{Control, Event, first};

/// Time after the start for which this instance waits for the leader's relays, in
/// milliseconds: an election takes up to 1 s where all instances start together, and
/// changes must be in force within 2 s.
const STARTUP_PASSIVE_MS: u64 = 1_200;

/// Time for which this instance stays passive after the leader's relays have stopped, in
/// milliseconds.
///
/// Load: when the leader was lost, each of 89 instances asked for three tables at once, 640
/// calls. A successor is there 0.4 s after the silence is noticed, and changes must be in
/// force within 2 s.
const RELAY_GRACE_MS: u64 = 700;

/// Number of instances up to which all poll a silent store at the normal rate. In larger
/// fleets, those that do not watch the store lengthen their pauses in proportion.
const FULL_RATE_INSTANCES: u64 = 12;

impl Control {
    /// Starts a poller for each table.
    pub(super) fn start_polling(&self, events: &mpsc::Sender<Event>) {
        let awaits_copy = first::starts_from_copies(&self.cfg);
        for (table, control) in &self.polls {
            control.awaits_copy.store(awaits_copy, Ordering::Relaxed);
            if *table == Table::Endpoints {
                control.batch_ms.store(ENTRIES_BATCH_MS, Ordering::Relaxed);
            }
            let poller = TablePoller {
                table: *table,
                store: self.store.clone(),
                events: events.clone(),
                control: Arc::clone(control),
            };
            tokio::spawn(poller.run());
        }
    }

    /// State shared with the poller of a table.
    pub(super) fn poll_control(&self, table: Table) -> &PollControl {
        match table {
            Table::Config => &self.polls[0].1,
            Table::Endpoints => &self.polls[1].1,
            Table::Own => &self.polls[2].1,
        }
    }

    /// Makes the poller read all rows of a table. Those of the own table include rows of
    /// instances, which are not relayed.
    pub(super) fn reload_table(&self, table: Table) {
        let control = self.poll_control(table);
        control.reload.store(true, Ordering::Relaxed);
        control.refresh.notify_one();
    }

    /// Makes the pollers of lost tables ask the store at once.
    pub(super) fn retry_lost_tables(&self) {
        for (table, control) in &self.polls {
            if self.cluster.is_lost(*table) {
                control.refresh.notify_one();
            }
        }
    }

    /// Refreshes tables of which others have had newer versions for a while, or copies them
    /// from another instance where the store does not answer.
    pub(super) fn refresh_stale_tables(&mut self, now: Mono, events: &mpsc::Sender<Event>) {
        let awaits_copies = self.awaits_copies();
        for table in self.cluster.stale_tables(now, self.leadership.term()) {
            if awaits_copies {
                self.request_copy(now, table, events);
                continue;
            }
            log::info!(table = table.as_str(); "others have newer rows; refreshing the table");
            if table == Table::Own && self.cluster.lacks_leader(self.leadership.term()) {
                self.reload_table(Table::Own);
            }
            if self.cluster.needs_copy(table) {
                self.poll_control(table).refresh.notify_one();
                self.request_copy(now, table, events);
            } else {
                self.fetch_missed(now, table, events);
            }
        }
    }

    /// Makes this instance passive while a fit leader relays rows, and makes it poll
    /// otherwise.
    pub(super) fn update_polling(&mut self, now: Mono) {
        let is_leader = self.leadership.is_leader();
        // A present leader is heard within a moment of this instance's listing. Polls of
        // instances that start together would be answered again each time that one of them
        // lists itself.
        let startup_passive_ms = STARTUP_PASSIVE_MS + first::register_after_ms(&self.cfg);
        let is_starting = now.since(self.started) < startup_passive_ms;
        let relies_on_relays = self.can_rely_on_relays(now);
        let is_passive = !is_leader && (is_starting || relies_on_relays);
        // A poll that began before this instance led waits longer than a leader may go
        // without confirmation.
        let became_leader = is_leader && !self.was_leader;
        self.was_leader = is_leader;
        if became_leader {
            self.tree.reset();
        }
        let own_batch_ms = if is_leader { OWN_BATCH_MS } else { 0 };
        self.poll_control(Table::Own)
            .batch_ms
            .store(own_batch_ms, Ordering::Relaxed);
        for (_, control) in &self.polls {
            let before = control.passive.swap(is_passive, Ordering::Relaxed);
            if became_leader || (before && !is_passive) {
                control.refresh.notify_one();
            }
        }
    }

    /// Whether a leader relays rows, or one that does is expected soon.
    pub(super) fn can_rely_on_relays(&mut self, now: Mono) -> bool {
        if self.cluster.has_relaying_leader(now) {
            self.relays_heard_at = now;
            return true;
        }
        let watches_store =
            self.leadership.is_leader() || self.leadership.watches_store(now, &self.cluster);
        // Load: the store is away for 8 s, and each of 295 instances tries three tables
        // once a second. So only the leader and the instances that claim next try, and tell
        // the others when it is back.
        if !watches_store
            && self.cluster.peers.is_large_fleet(now)
            && self.cluster.hears_leader(now)
        {
            self.relays_heard_at = now;
            return true;
        }
        let pause_factor = if watches_store {
            1
        } else {
            let instances = self.cluster.peers.instance_count(now) as u64;
            instances.div_ceil(FULL_RATE_INSTANCES).max(1)
        };
        for (_, control) in &self.polls {
            control.pause_factor.store(pause_factor, Ordering::Relaxed);
        }
        !watches_store && now.since(self.relays_heard_at) < RELAY_GRACE_MS
    }
}
