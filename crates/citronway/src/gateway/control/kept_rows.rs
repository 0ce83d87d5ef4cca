//! Rows of the polled tables as they came, for instances that can't ask the store.

use citronway_core::gateway::rows::{Row, Table};
use citronway_core::gateway::version::RowVersion;
use indexmap::{IndexMap, IndexSet};

/// The newest row of each key, also of removed ones.
///
/// A removed row is kept without its value as a tombstone, so that an instance with an
/// older row learns of the removal.
#[derive(Debug, Default)]
pub(super) struct KeptRows {
    config: IndexMap<String, Row>,
    endpoints: IndexMap<String, Row>,
    own: IndexMap<String, Row>,
}

impl KeptRows {
    const fn of(&self, table: Table) -> &IndexMap<String, Row> {
        match table {
            Table::Config => &self.config,
            Table::Endpoints => &self.endpoints,
            Table::Own => &self.own,
        }
    }

    const fn of_mut(&mut self, table: Table) -> &mut IndexMap<String, Row> {
        match table {
            Table::Config => &mut self.config,
            Table::Endpoints => &mut self.endpoints,
            Table::Own => &mut self.own,
        }
    }

    /// Keeps rows, except those that are older than the kept ones.
    pub(super) fn keep(&mut self, table: Table, rows: &[Row]) {
        let kept = self.of_mut(table);
        for row in rows {
            let known = kept.get(&row.key).map(|known| known.version);
            if known.is_none_or(|known| known < row.version) {
                kept.insert(row.key.clone(), row.clone());
            }
        }
    }

    /// Keeps `rows`, all rows of a table at a version. Keys that are not in them become
    /// tombstones, so that an instance that requests newer rows learns of the removal.
    pub(super) fn replace(&mut self, table: Table, rows: &[Row], version: RowVersion) {
        let listed: IndexSet<_> = rows.iter().map(|row| row.key.as_str()).collect();
        for row in self.of_mut(table).values_mut() {
            if row.value.is_some() && !listed.contains(row.key.as_str()) {
                row.value = None;
                row.version = version;
            }
        }
        self.keep(table, rows);
    }

    /// All rows of a table, including tombstones.
    pub(super) fn rows(&self, table: Table) -> impl Iterator<Item = &Row> {
        self.of(table).values()
    }
}
