//! When this instance asks the store, and when it rests because others tell it.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use citronway_core::gateway::rows::Table;
use citronway_core::time::Mono;
use tokio::sync::mpsc;

use super::store::{ENTRIES_BATCH_MS, OWN_BATCH_MS, PollControl, TablePoller};
use super::{Control, Event, first};

/// Time after the start in which the leader's relays are waited for, in milliseconds:
/// its election takes up to 1 s where all instances start together, and changes have to
/// be in force within 2 s.
const STARTUP_PASSIVE_MS: u64 = 1_200;

/// How long this instance rests on after the leader has stopped to pass rows on, in
/// milliseconds.
///
/// Load: a leader that is lost had each of 89 instances ask for three tables at once, 640
/// calls. A successor is there 0.4 s after the silence is noticed; changes have to be in
/// force within 2 s.
const RELAY_GRACE_MS: u64 = 700;

/// Instances up to which all of them ask a silent store at the usual pace; with more, those
/// that do not watch it ask so much less often.
const FULL_RATE_INSTANCES: u64 = 12;

impl Control {
    /// Begins to follow all tables.
    pub(super) fn start_polling(&self, events: &mpsc::Sender<Event>) {
        let awaits_copy = first::starts_from_copies(&self.cfg);
        for (table, control) in &self.polls {
            control.awaits_copy.store(awaits_copy, Ordering::Relaxed);
            if *table == Table::Endpoints {
                control.batch_ms.store(ENTRIES_BATCH_MS, Ordering::Relaxed);
            }
            let follower = TablePoller {
                table: *table,
                address: self.cfg.store,
                events: events.clone(),
                control: Arc::clone(control),
            };
            tokio::spawn(follower.run());
        }
    }

    /// How a table is followed.
    pub(super) fn poll_control(&self, table: Table) -> &PollControl {
        match table {
            Table::Config => &self.polls[0].1,
            Table::Endpoints => &self.polls[1].1,
            Table::Own => &self.polls[2].1,
        }
    }

    /// Has all rows of the own table read, those of instances too, which are not passed on.
    pub(super) fn reload_own_rows(&self) {
        let control = self.poll_control(Table::Own);
        control.reload.store(true, Ordering::Relaxed);
        control.refresh.notify_one();
    }

    /// Has tables that were not answered asked for now.
    pub(super) fn retry_lost_tables(&self) {
        for (table, control) in &self.polls {
            if self.cluster.is_lost(*table) {
                control.refresh.notify_one();
            }
        }
    }

    /// Has tables read anew of which others have seen newer versions for a while, or copied
    /// from one of them where the store does not answer.
    pub(super) fn refresh_stale_tables(&mut self, now: Mono, events: &mpsc::Sender<Event>) {
        let awaits_copies = self.awaits_copies();
        for table in self.cluster.stale_tables(now, self.leadership.term()) {
            if awaits_copies {
                self.request_copy(now, table, events);
                continue;
            }
            log::info!(table = table.word(); "others see newer rows, asking anew");
            if table == Table::Own && self.cluster.lacks_leader(self.leadership.term()) {
                self.reload_own_rows();
            }
            if self.cluster.needs_copy(table) {
                self.poll_control(table).refresh.notify_one();
                self.request_copy(now, table, events);
            } else {
                self.fetch_missed(now, table, events);
            }
        }
    }

    /// Rests while a fit leader passes rows on, and asks the store otherwise.
    pub(super) fn update_polling(&mut self, now: Mono) {
        let is_leader = self.leadership.is_leader();
        // A leader that is there is heard within a moment; polls of all instances that
        // start together would be answered anew with each one that lists itself.
        // It is called once it is listed.
        let startup_passive_ms = STARTUP_PASSIVE_MS + first::register_after_ms(&self.cfg);
        let is_starting = now.since(self.started) < startup_passive_ms;
        let relies_on_relays = self.can_rely_on_relays(now);
        let is_passive = !is_leader && (is_starting || relies_on_relays);
        // A poll that began before this instance kept waits for longer than a leader
        // may go without being confirmed.
        let became_leader = is_leader && !self.was_leader;
        self.was_leader = is_leader;
        if became_leader {
            self.tree.begin();
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

    /// Whether a leader passes rows on, or the next one can be waited for.
    pub(super) fn can_rely_on_relays(&mut self, now: Mono) -> bool {
        if self.cluster.has_relaying_leader(now) {
            self.relays_heard_at = now;
            return true;
        }
        let watches = self.leadership.is_leader() || self.leadership.watches(now, &self.cluster);
        // Load: the store is away for 8 s, and each of 295 instances tries three tables once a
        // second. The leader and those that claim next try; they tell when it is back.
        if !watches && self.cluster.peers.is_large_fleet(now) && self.cluster.hears_leader(now) {
            self.relays_heard_at = now;
            return true;
        }
        let pause_factor = if watches {
            1
        } else {
            let instances = self.cluster.peers.instance_count(now) as u64;
            instances.div_ceil(FULL_RATE_INSTANCES).max(1)
        };
        for (_, control) in &self.polls {
            control.pause_factor.store(pause_factor, Ordering::Relaxed);
        }
        !watches && now.since(self.relays_heard_at) < RELAY_GRACE_MS
    }
}
