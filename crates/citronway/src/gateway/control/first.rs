//! Limits which instances read the store at the first start of a deployment.
//!
//! Load: 295 instances start within 0.3 s. Each reads three tables while the store has no
//! rows, and asks for each of them again when rows are written: 2,400 calls before the
//! first caller comes. Therefore only the strong machines and a few others read. One of
//! them leads, and delegates in each zone send copies to the rest.

use std::sync::atomic::Ordering;
use std::time::Duration;

use citronway_core::gateway::election::Strength;
use citronway_core::gateway::pace::rank_of;
use citronway_core::gateway::rows::Table;
use citronway_core::gateway::settings::InstanceSettings;
use citronway_core::time::Mono;
use citronway_platform::store::ConditionalWrite;
use tokio::sync::mpsc;

use super::peers::InstanceRow;
use super::store::Store;
use super::store_era::StoreAccess;
use super::{Control, Event, own_rows};

/// One weak machine in this many reads the store too, for fleets without strong ones.
const READER_ONE_IN: u64 = 16;

/// Time over which weak machines list themselves in the store, in milliseconds: it writes
/// 200 rows of a table a second.
const REGISTER_SPREAD_MS: u64 = 1_500;

/// Time after the start for which copies are waited for, in milliseconds: a leader is there
/// after 0.7 s, all instances are listed 1.5 s after their start, and a delegate sends a
/// copy of a few hundred kilobytes to each of its members within 2 s.
const COPIES_TIMEOUT_MS: u64 = 5_000;

/// Whether the store lists this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Registration {
    /// The store is not known to list it.
    NotStarted,
    /// The row of this instance is being written.
    Pending,
    /// The row of this instance is stored.
    Done,
}

/// Whether this instance waits for copies at its start.
pub(super) fn starts_from_copies(cfg: &InstanceSettings) -> bool {
    let reads =
        cfg.strength == Strength::FULL || rank_of(&cfg.instance).is_multiple_of(READER_ONE_IN);
    cfg.first_start && !reads
}

/// Time from the start until this instance lists itself, in milliseconds.
pub(super) fn register_after_ms(cfg: &InstanceSettings) -> u64 {
    if cfg.strength == Strength::FULL {
        return 0;
    }
    rank_of(&cfg.instance) % REGISTER_SPREAD_MS
}

impl Control {
    /// Lists this instance in the store, after it has read the instances that are listed.
    ///
    /// Load: 295 instances start within 0.3 s, and the store writes 200 rows of a table a
    /// second. The last writes were refused and tried again, and claims of leadership
    /// waited behind them. After a restart the row is already there.
    pub(super) fn register(&mut self, events: &mpsc::Sender<Event>) {
        let can_register = self.cluster.own_loaded() || self.awaits_copies();
        if self.registration != Registration::NotStarted || !can_register {
            return;
        }
        self.registration = Registration::Pending;
        let row = self.instance_row();
        if self.cluster.is_listed_as(&row) {
            self.registration = Registration::Done;
            self.leadership.set_known_since(self.started);
            log::info!("instance is listed in the store already");
            return;
        }
        self.write_instance_row(row, events);
    }

    /// The row by which other instances find this one.
    pub(super) fn instance_row(&self) -> InstanceRow {
        InstanceRow {
            session: self.me.clone(),
            address: self.cfg.reports,
            zone: self.cfg.zone.clone(),
        }
    }

    /// Writes the row of this instance, at a time by which the instances are spread.
    pub(super) fn write_instance_row(&self, row: InstanceRow, events: &mpsc::Sender<Event>) {
        let spread_ms = register_after_ms(&self.cfg);
        let (store, events) = (self.store.clone(), events.clone());
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(spread_ms)).await;
            write_row(store, row, events).await;
        });
    }

    /// Whether this instance waits for copies instead of polling the store.
    pub(super) fn awaits_copies(&self) -> bool {
        let mut polls = self.polls.iter();
        polls.any(|(_, control)| control.awaits_copy.load(Ordering::Relaxed))
    }

    /// Starts polling the store when all tables were copied, or when copies did not come in
    /// time.
    pub(super) fn end_copy_wait(&self, now: Mono) {
        if !self.awaits_copies() {
            return;
        }
        let has_all = Table::ALL
            .iter()
            .all(|table| self.cluster.has_loaded(*table));
        if !has_all && now.since(self.started) < COPIES_TIMEOUT_MS {
            return;
        }
        for (_, control) in &self.polls {
            control.awaits_copy.store(false, Ordering::Relaxed);
            control.refresh.notify_one();
        }
    }
}

/// Writes the row by which other instances find this one, and tries again until it is
/// stored.
async fn write_row(store: StoreAccess, row: InstanceRow, events: mpsc::Sender<Event>) {
    let value = match serde_json::to_vec(&row) {
        Ok(value) => value,
        Err(e) => {
            log::error!(cause = e.to_string(); "instance row cannot be encoded");
            return;
        }
    };
    let change = ConditionalWrite {
        preconditions: Vec::new(),
        put: vec![(own_rows::instance_key(&row.session.instance), value)],
        remove: Vec::new(),
    };
    let mut store = Store::new(store);
    while let Err(e) = store.change(&change).await {
        log::info!(cause = e.to_string(); "instance not yet listed in the store");
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let _ = events.send(Event::Registered).await;
}
