//! When this instance asks the store, and when it rests because others tell it.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use citronway_core::gateway::rows::Table;
use citronway_core::time::Mono;
use tokio::sync::mpsc;

use super::store::{ENTRIES_GAP_MS, Follow, Follower, OWN_GAP_MS};
use super::{Control, Event, first};

/// Time after the start in which the leader's relays are waited for, in milliseconds:
/// its election takes up to 1 s where all instances start together, and changes have to
/// be in force within 2 s.
const FIRST_REST_MS: u64 = 1_200;

/// How long this instance rests on after the leader has stopped to pass rows on, in
/// milliseconds.
///
/// Load: a leader that is lost had each of 89 instances ask for three tables at once, 640
/// calls. A successor is there 0.4 s after the silence is noticed; changes have to be in
/// force within 2 s.
const UNTOLD_REST_MS: u64 = 700;

/// Instances up to which all of them ask a silent store at the usual pace; with more, those
/// that do not watch it ask so much less often.
const ASK_OFTEN_UP_TO: u64 = 12;

impl Control {
    /// Begins to follow all tables.
    pub(super) fn follow_tables(&self, events: &mpsc::Sender<Event>) {
        let held = first::waits_for_copies(&self.cfg);
        for (table, follow) in &self.follows {
            follow.held.store(held, Ordering::Relaxed);
            if *table == Table::Endpoints {
                follow.gather_ms.store(ENTRIES_GAP_MS, Ordering::Relaxed);
            }
            let follower = Follower {
                table: *table,
                address: self.cfg.store,
                events: events.clone(),
                follow: Arc::clone(follow),
            };
            tokio::spawn(follower.run());
        }
    }

    /// How a table is followed.
    pub(super) fn follow(&self, table: Table) -> &Follow {
        match table {
            Table::Config => &self.follows[0].1,
            Table::Endpoints => &self.follows[1].1,
            Table::Own => &self.follows[2].1,
        }
    }

    /// Has all rows of the own table read, those of instances too, which are not passed on.
    pub(super) fn read_own_rows_anew(&self) {
        let follow = self.follow(Table::Own);
        follow.reload.store(true, Ordering::Relaxed);
        follow.refresh.notify_one();
    }

    /// Has tables that were not answered asked for now.
    pub(super) fn ask_all(&self) {
        for (table, follow) in &self.follows {
            if self.cluster.is_lost(*table) {
                follow.refresh.notify_one();
            }
        }
    }

    /// Has tables read anew of which others have seen newer versions for a while, or copied
    /// from one of them where the store does not answer.
    pub(super) fn refresh_stale(&mut self, now: Mono, events: &mpsc::Sender<Event>) {
        let held = self.is_held();
        for table in self.cluster.stale_tables(now, self.duty.term()) {
            if held {
                self.ask_for_copy(now, table, events);
                continue;
            }
            log::info!(table = table.as_str(); "others see newer rows, asking anew");
            if table == Table::Own && self.cluster.lacks_leader(self.duty.term()) {
                self.read_own_rows_anew();
            }
            if self.cluster.needs_copy(table) {
                self.follow(table).refresh.notify_one();
                self.ask_for_copy(now, table, events);
            } else {
                self.bring_missed(now, table, events);
            }
        }
    }

    /// Rests while a fit leader passes rows on, and asks the store otherwise.
    pub(super) fn rest_or_poll(&mut self, now: Mono) {
        let keeps = self.duty.in_office();
        // A leader that is there is heard within a moment; polls of all instances that
        // start together would be answered anew with each one that lists itself.
        // It is called once it is listed.
        let first_rest_ms = FIRST_REST_MS + first::register_after_ms(&self.cfg);
        let begins_to_hear = now.since(self.started) < first_rest_ms;
        let is_told = self.is_told(now);
        let rests = !keeps && (begins_to_hear || is_told);
        // A poll that began before this instance kept waits for longer than a leader
        // may go without being confirmed.
        let begins = keeps && !self.kept;
        self.kept = keeps;
        if begins {
            self.tree.reset();
        }
        let own_gap_ms = if keeps { OWN_GAP_MS } else { 0 };
        self.follow(Table::Own)
            .gather_ms
            .store(own_gap_ms, Ordering::Relaxed);
        for (_, follow) in &self.follows {
            let before = follow.resting.swap(rests, Ordering::Relaxed);
            if begins || (before && !rests) {
                follow.refresh.notify_one();
            }
        }
    }

    /// Whether a leader passes rows on, or the next one can be waited for.
    pub(super) fn is_told(&mut self, now: Mono) -> bool {
        if self.cluster.is_told(now) {
            self.told_at = now;
            return true;
        }
        let watches = self.duty.in_office() || self.duty.watches(now, &self.cluster);
        // Load: the store is away for 8 s, and each of 295 instances tries three tables once a
        // second. The leader and those that claim next try; they tell when it is back.
        if !watches && self.cluster.peers.are_many(now) && self.cluster.hears_leader(now) {
            self.told_at = now;
            return true;
        }
        let patience = if watches {
            1
        } else {
            let instances = self.cluster.peers.instances(now) as u64;
            instances.div_ceil(ASK_OFTEN_UP_TO).max(1)
        };
        for (_, follow) in &self.follows {
            follow.patience.store(patience, Ordering::Relaxed);
        }
        !watches && now.since(self.told_at) < UNTOLD_REST_MS
    }
}
