//! What an instance knows of the stored rows.
//!
//! Rows reach an instance from the store and from its peers, in any order. Only
//! a version above the known one is taken, so nothing an instance knows is ever
//! reverted by an old answer that arrives late.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::config::version::{ConfigAction, ConfigEvent, InForce};
use crate::config::{CompiledConfig, CompiledPartition};
use crate::ids::{EndpointName, Key, ServiceName, Version};
use crate::outcome::NotRunReason;
use crate::placement::lookup::Lookup;
use crate::platform::{Row, RowKey};
use crate::shard::{Assignment, DispatchRow, KeyHash, Ownership, Shard};
use crate::time::Mono;

pub use crate::placement::planner::{ASSIGNMENT_TABLE, DISPATCH_TABLE, PLANNER_TABLE};

/// Table of the configuration, with one row.
pub const CONFIG_TABLE: &str = "config";
/// The one row of the configuration.
pub const CONFIG_KEY: &str = "head";

/// Content of a row with the row's version.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// Version of the row.
    pub version: Version,
    /// Its content.
    pub value: T,
}

/// An assignment that is ready to be asked for each request.
#[derive(Debug, Clone)]
pub struct Indexed {
    /// The assignment as stored.
    pub assignment: Arc<Assignment>,
    partition: CompiledPartition,
    lookup: Lookup,
}

/// What a row changed in the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Learnt {
    /// Nothing: it was known, or is of no concern, or cannot be used.
    Nothing,
    /// The assignment of a service.
    Assignment(ServiceName),
    /// The dispatch row of an endpoint.
    Dispatch(EndpointName),
}

/// Configuration, assignments and dispatch rows as this instance knows them.
#[derive(Debug, Default)]
pub struct View {
    in_force: InForce,
    assignments: IndexMap<ServiceName, Versioned<Indexed>>,
    dispatch: IndexMap<EndpointName, Versioned<DispatchRow>>,
    heard_store: Option<Mono>,
    unusable: u64,
}

impl View {
    /// Configuration in force at this instance.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<CompiledConfig>> {
        self.in_force.current()
    }

    /// Version of the configuration in force, 0 for none.
    #[must_use]
    pub fn config_version(&self) -> Version {
        self.in_force.version()
    }

    /// Assignments by service.
    #[must_use]
    pub const fn assignments(&self) -> &IndexMap<ServiceName, Versioned<Indexed>> {
        &self.assignments
    }

    /// Dispatch rows by endpoint.
    #[must_use]
    pub const fn dispatch(&self) -> &IndexMap<EndpointName, Versioned<DispatchRow>> {
        &self.dispatch
    }

    /// Rows that were newer but could not be used; the older ones stay in force.
    #[must_use]
    pub const fn unusable(&self) -> u64 {
        self.unusable
    }

    /// The configuration to serve by, if it is known to be new enough.
    ///
    /// # Errors
    ///
    /// `StaleConfig`; see [`InForce::config`].
    pub fn servable(&self, now: Mono) -> Result<&Arc<CompiledConfig>, NotRunReason> {
        self.in_force.config(now)
    }

    /// Content of the configuration's row, to offer it to peers.
    #[must_use]
    pub fn config_row(&self) -> Option<Row> {
        let at = RowKey {
            table: CONFIG_TABLE.to_owned(),
            key: CONFIG_KEY.to_owned(),
        };
        let value = self.in_force.value()?.to_owned();
        Some(Row {
            at,
            version: self.in_force.version(),
            value,
        })
    }

    /// Milliseconds since the store last answered, `u64::MAX` for never.
    #[must_use]
    pub fn store_age_ms(&self, now: Mono) -> u64 {
        self.heard_store.map_or(u64::MAX, |at| now.since(at))
    }

    /// Every row known here, as stored.
    #[must_use]
    pub fn rows(&self) -> Vec<Row> {
        let mut rows: Vec<Row> = self.config_row().into_iter().collect();
        for (service, known) in &self.assignments {
            let value = known.value.assignment.as_ref();
            rows.extend(row(
                ASSIGNMENT_TABLE,
                service.as_str(),
                known.version,
                value,
            ));
        }
        for (endpoint, known) in &self.dispatch {
            rows.extend(row(
                DISPATCH_TABLE,
                endpoint.as_str(),
                known.version,
                &known.value,
            ));
        }
        rows
    }

    pub(super) const fn heard_store(&mut self, now: Mono) {
        self.heard_store = Some(now);
    }

    /// Passes on what is learnt of the configuration.
    pub(super) fn config_event(&mut self, event: &ConfigEvent, now: Mono) -> Vec<ConfigAction> {
        self.in_force.apply(event, now)
    }

    /// Takes over an assignment or dispatch row that the store or a peer told.
    pub(super) fn learn(&mut self, row: &Row) -> Learnt {
        match row.at.table.as_str() {
            ASSIGNMENT_TABLE => self.learn_assignment(row),
            DISPATCH_TABLE => self.learn_dispatch(row),
            _ => Learnt::Nothing,
        }
    }

    fn learn_assignment(&mut self, row: &Row) -> Learnt {
        let service = ServiceName::new(&row.at.key);
        let known = self.assignments.get(&service);
        if known.is_some_and(|known| row.version <= known.version) {
            return Learnt::Nothing;
        }
        let Some(value) = parse::<Assignment>(row).and_then(Indexed::new) else {
            self.unusable += 1;
            return Learnt::Nothing;
        };
        self.assignments.insert(
            service.clone(),
            Versioned {
                version: row.version,
                value,
            },
        );
        Learnt::Assignment(service)
    }

    fn learn_dispatch(&mut self, row: &Row) -> Learnt {
        let endpoint = EndpointName::new(&row.at.key);
        let known = self.dispatch.get(&endpoint);
        if known.is_some_and(|known| row.version <= known.version) {
            return Learnt::Nothing;
        }
        let Some(value) = parse::<DispatchRow>(row) else {
            self.unusable += 1;
            return Learnt::Nothing;
        };
        self.dispatch.insert(
            endpoint.clone(),
            Versioned {
                version: row.version,
                value,
            },
        );
        Learnt::Dispatch(endpoint)
    }

    /// The shard that a key of a service belongs to.
    #[must_use]
    pub fn shard_of(&self, service: &ServiceName, key: &Key) -> Option<&Shard> {
        self.assignments.get(service)?.value.shard_of(key)
    }
}

impl Indexed {
    fn new(assignment: Assignment) -> Option<Self> {
        let partition = CompiledPartition::new(&assignment.partition).ok()?;
        let lookup = Lookup::new(&assignment).ok()?;
        Some(Self {
            assignment: Arc::new(assignment),
            partition,
            lookup,
        })
    }

    fn shard_of(&self, key: &Key) -> Option<&Shard> {
        let group = self.partition.part_of(key)?;
        let id = self.lookup.shard(group, KeyHash::of(key))?;
        self.assignment.shards.get(&id)
    }
}

impl Shard {
    /// The endpoint that serves the shard at present. One that has to release
    /// it does so until its dispatcher stops it.
    #[must_use]
    pub const fn server(&self) -> Option<&EndpointName> {
        match &self.ownership {
            Ownership::Owned { owner: server } | Ownership::Moving { from: server, .. } => {
                Some(server)
            }
            Ownership::Unowned => None,
        }
    }
}

fn parse<T: DeserializeOwned>(row: &Row) -> Option<T> {
    serde_json::from_str(&row.value).ok()
}

fn row<T: Serialize>(table: &str, key: &str, version: Version, value: &T) -> Option<Row> {
    let at = RowKey {
        table: table.to_owned(),
        key: key.to_owned(),
    };
    let value = serde_json::to_string(value).ok()?;
    Some(Row { at, version, value })
}
