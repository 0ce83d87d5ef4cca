//! The stored row about crashes: followed by all instances, written by the leader.

use citronway_core::gateway::crashes::{FingerprintKey, Known, StoredCrashes};
use citronway_core::gateway::rows::Row;
use citronway_core::ids::Version;
use citronway_core::time::Mono;
use citronway_platform::store::Change;
use tokio::sync::mpsc;

use super::own_rows::{CRASHES_KEY, LEADER_KEY};
use super::store::Store;
use super::{Control, Event};

/// Time between two writes of the row, in milliseconds.
const WRITE_PAUSE_MS: u64 = 1_000;

/// The row about crashes, and what this instance knows of them.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    row: Option<StoredCrashes>,
    version: Version,
    writing: bool,
    write_after: Mono,
}

impl Crashes {
    /// Takes the row, or that it was removed.
    pub(super) fn row_seen(&mut self, row: &Row) -> Result<(), serde_json::Error> {
        if row.version <= self.version {
            return Ok(());
        }
        let stored = row
            .value
            .as_deref()
            .map(serde_json::from_slice)
            .transpose()?;
        let removed = stored.is_none();
        log::info!(version = row.version.0, removed; "row about crashes");
        self.version = row.version;
        self.row = stored;
        Ok(())
    }

    /// What the traffic goes by.
    pub(super) fn known(&self) -> Known {
        Known {
            key: self.row.as_ref().map(|row| row.key),
        }
    }

    /// What the leader is to write now.
    fn due(&self, now: Mono) -> Option<StoredCrashes> {
        if self.writing || now < self.write_after || self.row.is_some() {
            return None;
        }
        let key = FingerprintKey::new(uuid::Uuid::new_v4().into_bytes());
        Some(StoredCrashes { key })
    }
}

impl Control {
    /// Writes the row about crashes where something is to be changed.
    pub(super) fn write_crashes(&mut self, now: Mono, events: &mpsc::Sender<Event>) {
        let Some(office) = self.duty.office_version() else {
            return;
        };
        if self.cluster.store_lost() {
            return;
        }
        let crashes = &mut self.cluster.crashes;
        let Some(stored) = crashes.due(now) else {
            return;
        };
        let value = match serde_json::to_vec(&stored) {
            Ok(value) => value,
            Err(e) => {
                log::error!(cause = e.to_string(); "row about crashes not written");
                return;
            }
        };
        let known = match crashes.row {
            Some(_) => crashes.version,
            None => Version(0),
        };
        crashes.writing = true;
        crashes.write_after = now.plus(WRITE_PAUSE_MS);
        let change = Change {
            unless_changed: vec![
                (LEADER_KEY.to_owned(), office),
                (CRASHES_KEY.to_owned(), known),
            ],
            put: vec![(CRASHES_KEY.to_owned(), value)],
        };
        let (address, events) = (self.cfg.store, events.clone());
        tokio::spawn(async move {
            if let Err(e) = Store::new(address).change(&change).await {
                log::info!(cause = e.to_string(); "row about crashes not written");
            }
            // Nobody is left to be told when the process ends.
            let _ = events.send(Event::CrashesWritten).await;
        });
    }

    /// Notes that a write of the row has ended; what stands comes by the feed.
    pub(super) fn crashes_written(&mut self) {
        self.cluster.crashes.writing = false;
    }
}
