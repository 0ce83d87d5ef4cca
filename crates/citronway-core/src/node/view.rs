//! What an instance knows of the stored rows.
//!
//! Rows reach an instance from the store and from its peers, in any order. Only
//! a version above the known one is taken, so nothing an instance knows is ever
//! reverted by an old answer that arrives late.

use indexmap::IndexMap;

use crate::config::Config;
use crate::ids::{EndpointName, Key, ServiceName, Version};
use crate::platform::Row;
use crate::shard::{Assignment, DispatchRow, KeyHash, Ownership, Shard};
use crate::time::Mono;

/// Table of the configuration, with one row.
pub const CONFIG_TABLE: &str = "config";
/// The one row of the configuration.
pub const CONFIG_KEY: &str = "head";
/// Table of assignments by service.
pub const ASSIGNMENT_TABLE: &str = "assignment";
/// Table of dispatch rows by endpoint.
pub const DISPATCH_TABLE: &str = "dispatch";

/// Content of a row with the row's version.
#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<T> {
    /// Version of the row.
    pub version: Version,
    /// Its content.
    pub value: T,
}

/// Configuration, assignments and dispatch rows as this instance knows them.
#[derive(Debug, Default)]
pub struct View {
    config: Option<Versioned<Config>>,
    assignments: IndexMap<ServiceName, Versioned<Assignment>>,
    dispatch: IndexMap<EndpointName, Versioned<DispatchRow>>,
    heard_store: Option<Mono>,
    heard_any: Option<Mono>,
    complete: bool,
}

impl View {
    /// Configuration in force at this instance.
    #[must_use]
    pub const fn config(&self) -> Option<&Versioned<Config>> {
        self.config.as_ref()
    }

    /// Version of the configuration in force, 0 for none.
    #[must_use]
    pub fn config_version(&self) -> Version {
        self.config
            .as_ref()
            .map_or(Version(0), |config| config.version)
    }

    /// Assignments by service.
    #[must_use]
    pub const fn assignments(&self) -> &IndexMap<ServiceName, Versioned<Assignment>> {
        &self.assignments
    }

    /// Dispatch rows by endpoint.
    #[must_use]
    pub const fn dispatch(&self) -> &IndexMap<EndpointName, Versioned<DispatchRow>> {
        &self.dispatch
    }

    /// Whether the dispatch table has been read once, so that a missing row is known to be missing.
    #[must_use]
    pub const fn complete(&self) -> bool {
        self.complete
    }

    /// Whether a configuration is known and has been confirmed recently enough.
    #[must_use]
    pub fn fresh(&self, now: Mono, stale_after_ms: u64) -> bool {
        self.config.is_some()
            && self
                .heard_any
                .is_some_and(|at| now.since(at) <= stale_after_ms)
    }

    /// Milliseconds since the store last answered, `u64::MAX` for never.
    #[must_use]
    pub fn store_age_ms(&self, now: Mono) -> u64 {
        self.heard_store.map_or(u64::MAX, |at| now.since(at))
    }

    /// Notes that a peer confirmed that the known configuration is the newest.
    pub fn confirmed(&mut self, now: Mono) {
        self.heard_any = Some(now);
    }

    /// Takes over a whole table from the store.
    pub fn table_read(&mut self, table: &str, rows: Vec<Row>, now: Mono) {
        self.heard_store = Some(now);
        self.heard_any = Some(now);
        self.rows_told(rows);
        if table == DISPATCH_TABLE {
            self.complete = true;
        }
    }

    /// Takes over one row from the store.
    pub fn row_read(&mut self, row: Option<Row>, now: Mono) {
        self.heard_store = Some(now);
        if let Some(row) = row {
            self.take(&row);
        }
    }

    /// Takes over rows that somebody told.
    pub fn rows_told(&mut self, rows: Vec<Row>) {
        for row in rows {
            self.take(&row);
        }
    }

    fn take(&mut self, row: &Row) {
        match row.at.table.as_str() {
            CONFIG_TABLE => take_newer(&mut self.config, row),
            ASSIGNMENT_TABLE => {
                take_entry(&mut self.assignments, ServiceName::new(&row.at.key), row);
            }
            DISPATCH_TABLE => take_entry(&mut self.dispatch, EndpointName::new(&row.at.key), row),
            _ => {}
        }
    }

    /// The shard that a key of a service belongs to.
    #[must_use]
    pub fn shard_of(&self, service: &ServiceName, key: &Key) -> Option<&Shard> {
        let assignment = &self.assignments.get(service)?.value;
        let hash = KeyHash::of(key);
        assignment
            .shards
            .values()
            .find(|shard| shard.range.first <= hash && hash <= shard.range.last)
    }
}

impl Shard {
    /// The endpoint that serves the shard at present.
    #[must_use]
    pub const fn owner(&self) -> Option<&EndpointName> {
        match &self.ownership {
            Ownership::Owned { owner } => Some(owner),
            Ownership::Unowned | Ownership::Moving { .. } => None,
        }
    }
}

fn take_newer<T: serde::de::DeserializeOwned>(slot: &mut Option<Versioned<T>>, row: &Row) {
    if slot
        .as_ref()
        .is_some_and(|known| known.version >= row.version)
    {
        return;
    }
    let Ok(value) = serde_json::from_str(&row.value) else {
        return;
    };
    *slot = Some(Versioned {
        version: row.version,
        value,
    });
}

fn take_entry<K, T>(map: &mut IndexMap<K, Versioned<T>>, key: K, row: &Row)
where
    K: std::hash::Hash + Eq,
    T: serde::de::DeserializeOwned,
{
    let mut slot = map.get_mut(&key).map(|known| known.version);
    if slot.take().is_some_and(|version| version >= row.version) {
        return;
    }
    let Ok(value) = serde_json::from_str(&row.value) else {
        return;
    };
    map.insert(
        key,
        Versioned {
            version: row.version,
            value,
        },
    );
}
