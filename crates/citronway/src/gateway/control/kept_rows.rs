//! Rows of the followed tables as they came, for instances that cannot ask the store.

use citronway_core::gateway::rows::{Row, Table};
use citronway_core::ids::Version;
use indexmap::{IndexMap, IndexSet};

/// The newest row of each key, removed ones too.
///
/// An endpoint's entry that is gone is kept without its value, so that whoever has an older
/// one learns it.
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

    /// Keeps rows; older ones than those that are kept change nothing.
    pub(super) fn keep(&mut self, table: Table, rows: &[Row]) {
        let kept = self.of_mut(table);
        for row in rows {
            let known = kept.get(&row.key).map(|known| known.version);
            if known.is_none_or(|known| known < row.version) {
                kept.insert(row.key.clone(), row.clone());
            }
        }
    }

    /// Keeps all rows that there are at a version; keys that are no longer among them are kept
    /// as removed, so that whoever asks for newer rows learns it.
    pub(super) fn replace(&mut self, table: Table, rows: &[Row], version: Version) {
        let listed: IndexSet<_> = rows.iter().map(|row| row.key.as_str()).collect();
        for row in self.of_mut(table).values_mut() {
            if row.value.is_some() && !listed.contains(row.key.as_str()) {
                row.value = None;
                row.version = version;
            }
        }
        self.keep(table, rows);
    }

    /// All rows of a table.
    pub(super) fn rows(&self, table: Table) -> impl Iterator<Item = &Row> {
        self.of(table).values()
    }
}
