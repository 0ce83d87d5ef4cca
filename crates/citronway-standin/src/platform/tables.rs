//! Tables in memory; transactions are conditional and all or nothing.

use citronway_core::ids::Version;
use citronway_core::platform::{ConditionalPut, Row, RowKey};
use indexmap::IndexMap;

/// A row of a transaction had another version than expected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// The first row that did not match.
    pub at: RowKey,
    /// The version it has, 0 if it does not exist.
    pub found: Version,
}

/// All rows of all tables.
#[derive(Debug, Default)]
pub struct Tables {
    slots: IndexMap<RowKey, Slot>,
}

/// Place of a row. It outlives the row, so that no version is used twice.
#[derive(Debug)]
struct Slot {
    last: Version,
    value: Option<String>,
}

impl Tables {
    /// All rows of a table.
    #[must_use]
    pub fn read_table(&self, table: &str) -> Vec<Row> {
        let mut rows = Vec::new();
        for (at, slot) in &self.slots {
            if at.table != table {
                continue;
            }
            rows.extend(row(at, slot));
        }
        rows
    }

    /// One row.
    #[must_use]
    pub fn read_row(&self, at: &RowKey) -> Option<Row> {
        row(at, self.slots.get(at)?)
    }

    /// Carries out all writes, or none.
    ///
    /// # Errors
    ///
    /// If a row has another version than its write expects.
    pub fn write(&mut self, puts: Vec<ConditionalPut>) -> Result<Vec<Version>, Conflict> {
        for put in &puts {
            let found = self.version(&put.at);
            if found != put.expected {
                let at = put.at.clone();
                return Err(Conflict { at, found });
            }
        }
        Ok(puts.into_iter().map(|put| self.put(put)).collect())
    }

    /// Removes a row; its versions stay used.
    pub fn remove(&mut self, at: &RowKey) -> bool {
        let Some(slot) = self.slots.get_mut(at) else {
            return false;
        };
        slot.value.take().is_some()
    }

    fn version(&self, at: &RowKey) -> Version {
        match self.slots.get(at) {
            Some(slot) if slot.value.is_some() => slot.last,
            _ => Version::default(),
        }
    }

    fn put(&mut self, put: ConditionalPut) -> Version {
        let slot = self.slots.entry(put.at).or_insert(Slot {
            last: Version::default(),
            value: None,
        });
        slot.last = slot.last.next();
        slot.value = Some(put.value);
        slot.last
    }
}

fn row(at: &RowKey, slot: &Slot) -> Option<Row> {
    Some(Row {
        at: at.clone(),
        version: slot.last,
        value: slot.value.clone()?,
    })
}
