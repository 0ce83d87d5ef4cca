//! Rows of the followed tables as they came, for instances that cannot ask the store.

use citronway_core::gateway::rows::{Row, Table};
use indexmap::IndexMap;

/// The newest row of each key, removed ones too.
///
/// An endpoint's entry that is gone is kept without its value, so that whoever has an older
/// one learns it; such keys are dropped with the next whole list.
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

    /// Keeps all rows that there are, and none else.
    pub(super) fn replace(&mut self, table: Table, rows: &[Row]) {
        self.of_mut(table).clear();
        self.keep(table, rows);
    }

    /// All rows of a table.
    pub(super) fn rows(&self, table: Table) -> impl Iterator<Item = &Row> {
        self.of(table).values()
    }
}
