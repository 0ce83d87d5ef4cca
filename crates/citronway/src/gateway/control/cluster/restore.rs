//! Rows of a store that came back from an older copy, merged with what is known.
//!
//! The operator and endpoints write again what the copy lacks, within about two seconds. Until then a
//! row that is older than the known one changes nothing, and a missing row is no removal.

use citronway_core::gateway::rows::{Row, Table};
use citronway_core::gateway::version::{Era, RowVersion};
use citronway_core::time::Mono;
use citronway_platform::endpoints;
use citronway_platform::store::CONFIG_KEY;
use indexmap::{IndexMap, IndexSet};

use super::super::store::TableUpdate;
use super::Cluster;

/// Time in milliseconds after which a restored row counts although it is older than the known one:
/// endpoints are listed again about two seconds after the store's return.
pub(in super::super) const SETTLE_MS: u64 = 2_000;

impl Cluster {
    /// Records that the store is in a later era. Returns whether this process has known an earlier
    /// one, so that rows which it knows may be lost.
    pub(in super::super) fn enter_era(&mut self, now: Mono, era: Era) -> bool {
        let tables = [&self.config, &self.endpoints, &self.own];
        let is_change = self.era > Era::FIRST || tables.iter().any(|table| table.loaded);
        self.era = era;
        self.era_learnt = now;
        self.era_changed |= is_change;
        if is_change {
            // The clock may have gone back with the copy.
            self.store_clock = None;
        }
        is_change
    }

    /// Term that is lower than that of each leader of this era; zero if none was replaced.
    pub(in super::super) fn first_term(&self) -> u64 {
        if self.is_restored() {
            self.era.first_term()
        } else {
            0
        }
    }

    /// Whether the operator may not have written again yet what a restore lost.
    pub(in super::super) fn is_settling(&self, now: Mono) -> bool {
        self.era > Era::FIRST && now.since(self.era_learnt) < SETTLE_MS
    }

    /// Whether the table was known in an earlier era than that of a list.
    fn is_restored_list(&self, table: Table, version: RowVersion) -> bool {
        let state = match table {
            Table::Config => &self.config,
            Table::Endpoints => &self.endpoints,
            Table::Own => &self.own,
        };
        state.loaded && state.newest.era < version.era
    }

    /// The update with the rows that count at present, see [`Cluster::merge_restored`].
    pub(in super::super) fn merge_update(
        &mut self,
        now: Mono,
        table: Table,
        update: TableUpdate,
    ) -> TableUpdate {
        match update {
            TableUpdate::Loaded {
                rows,
                version,
                now_ms,
            } => TableUpdate::Loaded {
                rows: self.merge_restored(now, table, rows, version),
                version,
                now_ms,
            },
            TableUpdate::Changed { .. } | TableUpdate::Lost(_) => update,
        }
    }

    /// The rows of a list of all rows, in which rows that are older than the known ones are replaced
    /// by these, and missing ones added. The table is read again after [`SETTLE_MS`].
    fn merge_restored(
        &mut self,
        now: Mono,
        table: Table,
        rows: Vec<Row>,
        version: RowVersion,
    ) -> Vec<Row> {
        // The leader alone writes own rows, and each kind has a rule of its own.
        if table == Table::Own || !self.is_restored_list(table, version) {
            return rows;
        }
        let known: IndexMap<_, _> = self
            .kept
            .rows(table)
            .map(|row| (row.key.clone(), row.clone()))
            .collect();
        let listed: IndexSet<_> = rows.iter().map(|row| row.key.clone()).collect();
        let mut merged = Vec::with_capacity(rows.len());
        let mut kept = 0;
        for row in rows {
            match known.get(&row.key) {
                Some(newer) if self.is_outdated(table, newer, &row) => {
                    kept += 1;
                    merged.extend(newer.value.is_some().then(|| newer.clone()));
                }
                Some(_) | None => merged.push(row),
            }
        }
        let missing = known.iter().filter(|(key, row)| {
            let is_missing = row.value.is_some() && !listed.contains(*key);
            kept += usize::from(is_missing);
            is_missing
        });
        merged.extend(missing.map(|(_, row)| row.clone()));
        log::info!(table = table.as_str(), era = version.era.0, rows = merged.len(), kept; "table of a restored store merged");
        if kept > 0 {
            self.unsettled.insert(table, now.plus(SETTLE_MS));
        }
        merged
    }

    /// Whether a restored row is older than the known one, by what both say.
    fn is_outdated(&self, table: Table, known: &Row, restored: &Row) -> bool {
        let Some(value) = &restored.value else {
            return known.value.is_some();
        };
        let Some(known_value) = &known.value else {
            return true;
        };
        match table {
            Table::Config if restored.key == CONFIG_KEY => {
                let restored = citronway_platform::config::decode(value);
                let in_force = self.routes.as_ref().map(|routes| routes.version);
                restored.is_ok_and(|restored| Some(restored.routes.version) < in_force)
            }
            Table::Config | Table::Own => false,
            Table::Endpoints => {
                let read = |value| endpoints::decode(&restored.key, value).ok();
                match (read(known_value), read(value)) {
                    (Some(known), Some(restored)) if known.start == restored.start => {
                        known.draining && !restored.draining
                    }
                    (Some(known), Some(restored)) => {
                        known.start.born_ms() > restored.start.born_ms()
                    }
                    (None, _) | (_, None) => false,
                }
            }
        }
    }

    /// Tables that must be read again, since others had the time to write theirs again. The rows as
    /// first read do not do: one may have been removed again without a relay.
    pub(in super::super) fn take_settled(&mut self, now: Mono) -> Vec<Table> {
        let settled = self.unsettled.iter().filter(|(_, until)| **until <= now);
        let settled: Vec<_> = settled.map(|(table, _)| *table).collect();
        self.unsettled.retain(|table, _| !settled.contains(table));
        settled
    }
}
