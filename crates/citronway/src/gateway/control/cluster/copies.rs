//! Copies of tables for other instances, and copies taken from them.

use citronway_core::gateway::rows::{Relay, Row, Table};
use citronway_core::gateway::version::RowVersion;
use citronway_core::time::Mono;
use indexmap::{IndexMap, IndexSet};

use super::super::own_rows;
use super::{BEHIND_MS, Cluster, RowSource};

impl Cluster {
    /// The changes that bring what this instance knows of a table to `rows`, a list of all
    /// its rows: newer rows, and removals.
    ///
    /// Failure: the store drops its history and the leader reads a table again. If it
    /// relayed nothing, all other instances would read the table too.
    pub(in super::super) fn changes_from_list(
        &self,
        table: Table,
        rows: &[Row],
        version: RowVersion,
    ) -> Relay {
        let before: IndexMap<_, _> = self
            .kept
            .rows(table)
            .filter(|row| row.value.is_some())
            .map(|row| (row.key.as_str(), row))
            .collect();
        let listed: IndexSet<_> = rows.iter().map(|row| row.key.as_str()).collect();
        let newer = rows.iter().filter(|row| {
            let known = before.get(row.key.as_str());
            known.is_none_or(|known| is_change(known, row))
        });
        let gone = before.keys().filter(|key| !listed.contains(*key));
        let gone = gone.map(|key| Row {
            key: (*key).to_owned(),
            value: None,
            version,
        });
        Relay {
            table,
            after: RowVersion::NONE,
            position: version,
            rows: newer.cloned().chain(gone).collect(),
            patches: Vec::new(),
            confirmed: None,
        }
    }

    /// Whether a table was read or copied at least once.
    pub(in super::super) const fn has_loaded(&self, table: Table) -> bool {
        match table {
            Table::Config => self.config.loaded,
            Table::Endpoints => self.endpoints.loaded,
            Table::Own => self.own.loaded,
        }
    }

    /// Whether the store can't provide a table at present: it was never read, or the last
    /// call failed.
    pub(in super::super) fn needs_copy(&mut self, table: Table) -> bool {
        let state = self.table_state(table);
        state.lost || !state.loaded
    }

    /// Applies a table as another instance knows it, while the store can't be read.
    ///
    /// The store counts as lost until it answers this instance itself. Its answer then
    /// takes precedence, as a copy is only as new as the instance that sent it.
    pub(in super::super) fn apply_copy(&mut self, now: Mono, copy: &Relay) {
        let (table, rows) = (copy.table.as_str(), copy.rows.len());
        log::info!(table, rows, position = copy.position.number, era = copy.position.era.0; "table copied from another instance");
        let list_version = match copy.table {
            // A copy of all rows removes those that it lacks.
            Table::Config | Table::Endpoints if copy.after == RowVersion::NONE => {
                Some(copy.position)
            }
            Table::Config | Table::Endpoints | Table::Own => None,
        };
        self.apply_rows(now, copy.table, RowSource::Copy, &copy.rows, list_version);
        if copy.table == Table::Own && copy.after == RowVersion::NONE {
            self.record_listing();
        }
        self.table_state(copy.table).enter_era_of(copy.position);
        self.advance_position(copy.table, copy.position);
    }

    /// Whether missed rows of a table must be read from the store: another instance was
    /// asked for them a moment ago, and they are still missing. Otherwise this call counts
    /// as such a request.
    pub(in super::super) fn needs_store_read(&mut self, now: Mono, table: Table) -> bool {
        let state = self.table_state(table);
        let requested_at = state.missed_requested_at.replace(now);
        let is_recent = requested_at.is_some_and(|at| now.since(at) < 2 * BEHIND_MS);
        if is_recent {
            state.missed_requested_at = None;
        }
        is_recent
    }

    /// Rows of a table that are newer than a version, as this instance knows them; `None`
    /// if it has never read the table.
    pub(in super::super) fn copy_since(
        &mut self,
        now: Mono,
        table: Table,
        after: RowVersion,
    ) -> Option<Relay> {
        let confirmed = match table {
            Table::Config => self.freshness.confirmation(now),
            Table::Endpoints | Table::Own => None,
        };
        let state = self.table_state(table);
        if !state.loaded {
            return None;
        }
        let position = state.position;
        let kept = self.kept.rows(table);
        let mut rows: Vec<_> = kept
            .filter(|row| !own_rows::is_assignment(&row.key) && row.version > after)
            .cloned()
            .collect();
        if table == Table::Own {
            let newer = self
                .owners
                .iter()
                .filter(|(_, owners)| owners.version > after);
            rows.extend(newer.filter_map(own_rows::assignment_as_row));
        }
        Some(Relay {
            table,
            after,
            position,
            rows,
            patches: Vec::new(),
            confirmed,
        })
    }
}

/// Whether a listed row differs from the known one. After a restore all versions are newer, and most
/// rows are the same.
fn is_change(known: &Row, listed: &Row) -> bool {
    if known.version.era < listed.version.era {
        known.value != listed.value
    } else {
        known.version < listed.version
    }
}
