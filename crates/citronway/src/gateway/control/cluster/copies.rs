//! What this instance gives of its rows to others, and takes from them.

use citronway_core::gateway::rows::{Relay, Row, Table};
use citronway_core::ids::Version;
use citronway_core::time::Mono;
use indexmap::{IndexMap, IndexSet};

use super::super::own_rows;
use super::{BEHIND_MS, Cluster};

impl Cluster {
    /// What a whole list changes of what is known: rows that are newer, and removals.
    ///
    /// Failure: the store forgets its history, the leader reads a table anew and passes
    /// nothing on, and all instances read it too.
    pub(in super::super) fn changes_from_list(
        &self,
        table: Table,
        rows: &[Row],
        version: Version,
    ) -> Relay {
        let before: IndexMap<_, _> = self
            .kept
            .rows(table)
            .filter(|row| row.value.is_some())
            .map(|row| (row.key.as_str(), row.version))
            .collect();
        let listed: IndexSet<_> = rows.iter().map(|row| row.key.as_str()).collect();
        let newer = rows.iter().filter(|row| {
            let known = before.get(row.key.as_str());
            known.is_none_or(|known| *known < row.version)
        });
        let gone = before.keys().filter(|key| !listed.contains(*key));
        let gone = gone.map(|key| Row {
            key: (*key).to_owned(),
            value: None,
            version,
        });
        Relay {
            table,
            after: Version(0),
            position: version,
            rows: newer.cloned().chain(gone).collect(),
            patches: Vec::new(),
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

    /// Whether a table cannot be had from the store at present.
    pub(in super::super) fn needs_copy(&mut self, table: Table) -> bool {
        let state = self.table_state(table);
        state.lost || !state.loaded
    }

    /// Takes a table as another instance has it, since the store cannot be asked.
    ///
    /// The store stays lost until it answers this instance itself: what it says then goes
    /// before the copy, which is only as new as its giver was.
    pub(in super::super) fn apply_copy(&mut self, now: Mono, copy: &Relay) {
        let (table, rows) = (copy.table.word(), copy.rows.len());
        log::info!(table, rows, position = copy.position.0; "table copied from another instance");
        let whole = match copy.table {
            // What is not among all of them is gone.
            Table::Config | Table::Endpoints if copy.after == Version(0) => Some(copy.position),
            Table::Config | Table::Endpoints | Table::Own => None,
        };
        self.apply_rows(now, copy.table, &copy.rows, whole);
        self.table_state(copy.table).advance_position(copy.position);
    }

    /// Whether rows of a table that are missed are to come from the store this time: another
    /// instance was asked a moment ago, and they still are.
    pub(in super::super) fn needs_store_read(&mut self, now: Mono, table: Table) -> bool {
        let state = self.table_state(table);
        let requested_at = state.missed_requested_at.replace(now);
        let is_recent = requested_at.is_some_and(|at| now.since(at) < 2 * BEHIND_MS);
        if is_recent {
            state.missed_requested_at = None;
        }
        is_recent
    }

    /// The rows of a table after a version as this instance knows them, if it has read it.
    pub(in super::super) fn copy_since(&mut self, table: Table, after: Version) -> Option<Relay> {
        let state = self.table_state(table);
        if !state.loaded {
            return None;
        }
        let position = Version(state.position);
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
        })
    }
}
