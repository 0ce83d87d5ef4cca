//! Highest versions seen of stored rows.

use citronway_core::ids::Version;
use citronway_core::platform::{Row, RowKey};
use indexmap::IndexMap;

use super::error::PlatformError;

/// Highest version seen of each row.
///
/// Failure guarded against: a store that answers from an old copy. It shows as
/// a configuration or an owner that reverts. The guard holds because versions
/// never go back: a read that began after a version was known may not bring an
/// older one. A read that began before may, as it can be overtaken.
#[derive(Debug, Clone, Default)]
pub struct Versions {
    seen: IndexMap<RowKey, Version>,
}

impl Versions {
    /// Notes a version; lower ones than before change nothing.
    pub fn note(&mut self, at: &RowKey, version: Version) {
        let seen = self.seen.entry(at.clone()).or_insert(version);
        *seen = version.max(*seen);
    }

    /// Notes the versions of rows that were read.
    pub fn note_rows(&mut self, rows: &[Row]) {
        for row in rows {
            self.note(&row.at, row.version);
        }
    }

    /// Those of one table, as known now.
    #[must_use]
    pub fn of_table(&self, table: &str) -> Self {
        let mut seen = IndexMap::new();
        for (at, version) in &self.seen {
            if at.table != table {
                continue;
            }
            seen.insert(at.clone(), *version);
        }
        Self { seen }
    }

    /// Checks that no row went back behind what is noted here.
    ///
    /// # Errors
    ///
    /// [`PlatformError::WentBack`] for the first row that did.
    pub fn check(&self, rows: &[Row]) -> Result<(), PlatformError> {
        for row in rows {
            let Some(&known) = self.seen.get(&row.at) else {
                continue;
            };
            if row.version < known {
                return Err(PlatformError::WentBack {
                    at: row.at.clone(),
                    known,
                    found: row.version,
                });
            }
        }
        Ok(())
    }
}
