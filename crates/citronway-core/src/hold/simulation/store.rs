//! A model of the platform's table store that holds one dispatch row.

use crate::hold::ReadOutcome;
use crate::ids::{Epoch, Version};
use crate::platform::{RowKey, WriteOutcome};
use crate::shard::DispatchRow;

/// The stored row and counts of the accesses to it.
#[derive(Debug, Clone)]
pub(super) struct Store {
    pub version: Version,
    pub row: DispatchRow,
    pub reads: u64,
    pub writes: u64,
    /// Whether a write decreased the epoch or gave it to a second session.
    pub epoch_violated: bool,
}

impl Store {
    pub const fn new(row: DispatchRow) -> Self {
        Self {
            version: Version(1),
            row,
            reads: 0,
            writes: 0,
            epoch_violated: false,
        }
    }

    pub fn read(&mut self) -> ReadOutcome {
        self.reads += 1;
        ReadOutcome::Found {
            version: self.version,
            row: self.row.clone(),
        }
    }

    pub fn write(&mut self, expected: Version, row: &DispatchRow) -> WriteOutcome {
        self.writes += 1;
        if expected != self.version {
            let at = RowKey {
                table: "dispatch".to_owned(),
                key: row.endpoint.to_string(),
            };
            return WriteOutcome::Conflict {
                at,
                found: self.version,
            };
        }
        let Epoch(old) = self.row.epoch;
        let same = self.row.dispatcher == row.dispatcher;
        let kept = row.epoch.0 == old && same;
        self.epoch_violated |= !(kept || row.epoch.0 > old);
        self.version = self.version.next();
        self.row = row.clone();
        WriteOutcome::Done {
            versions: vec![self.version],
        }
    }
}
