//! Endpoints' entries, as they come from the store.
//!
//! An entry that can't be used lists no endpoint, even if an endpoint of its name was known
//! before. All other entries stay in force.

use std::sync::Arc;

use citronway_core::gateway::registry::{Listing, Registry};
use citronway_core::gateway::rows::Row;
use citronway_core::gateway::version::RowVersion;
use citronway_core::ids::EndpointName;
use citronway_core::time::Mono;

use super::cluster::Cluster;
use super::unusable::Source;

/// Content of an entry.
enum EntryState {
    Registration(Listing),
    Removed,
    /// The entry can't be used, with the cause.
    Unusable(String),
}

impl Cluster {
    /// Applies entries; `list_version` is the version of the store if `rows` are all entries.
    pub(super) fn apply_endpoint_rows(
        &mut self,
        now: Mono,
        rows: &[Row],
        list_version: Option<RowVersion>,
    ) {
        if let Some(version) = list_version {
            self.remove_unlisted(now, rows, version);
        }
        for row in rows {
            // Failure: relayed rows overtake each other, and a draining endpoint seems
            // ready again. Versions of a row only grow.
            let newest = self.entries.entry(row.key.clone()).or_default();
            if *newest > row.version {
                continue;
            }
            *newest = row.version;
            let state = self.read_entry(row);
            // Load: at a start, each of 300 instances logged 3,000 lines, on a tenth of a
            // core.
            let level = if list_version.is_some() {
                log::Level::Debug
            } else {
                log::Level::Info
            };
            self.apply_entry(now, &row.key, state, level);
        }
        if let Some(version) = list_version {
            let endpoints = self.registry.iter().count();
            log::info!(endpoints, version = version.number, era = version.era.0; "all endpoint entries read");
        }
    }

    /// Removes endpoints whose entries are not in `rows`, all entries at `version`.
    fn remove_unlisted(&mut self, now: Mono, rows: &[Row], version: RowVersion) {
        let registry = Arc::make_mut(&mut self.registry);
        for name in registry.names() {
            // An entry that was relayed since the rows were read is not in them.
            let later = self.entries.get(name.as_str());
            let is_later = later.is_some_and(|entry| *entry > version);
            if !is_later && !rows.iter().any(|row| row.key == name.as_str()) {
                log::info!(endpoint = name.as_str(); "endpoint no longer listed");
                registry.remove(now, &name);
            }
        }
    }

    fn read_entry(&self, row: &Row) -> EntryState {
        let Some(value) = &row.value else {
            return EntryState::Removed;
        };
        match citronway_platform::endpoints::decode(&row.key, value) {
            // Failure: an entry has an address of this instance, which would send requests
            // to itself.
            Ok(listing) if self.own_addresses.contains(&listing.address) => EntryState::Unusable(
                format!("{} is an address of this instance", listing.address),
            ),
            Ok(listing) => EntryState::Registration(listing),
            Err(e) => EntryState::Unusable(e.to_string()),
        }
    }

    fn apply_entry(&mut self, now: Mono, key: &str, state: EntryState, level: log::Level) {
        let registry = Arc::make_mut(&mut self.registry);
        let name = EndpointName::new(key);
        match state {
            EntryState::Registration(listing) => {
                log_listing_change(registry, &listing, level);
                registry.put(now, listing);
                self.unusable.clear(Source::Entry, key);
            }
            EntryState::Removed => {
                log::info!(endpoint = key; "endpoint no longer listed");
                registry.remove(now, &name);
                self.unusable.clear(Source::Entry, key);
            }
            EntryState::Unusable(cause) => {
                registry.discard(&name);
                self.unusable.record_row(Source::Entry, key, cause);
            }
        }
    }
}

fn log_listing_change(registry: &Registry, listing: &Listing, level: log::Level) {
    let known = registry.get(&listing.start);
    if known.is_some_and(|known| known.listing.draining == listing.draining) {
        return;
    }
    let endpoint = &listing.start;
    let address = listing.address;
    let draining = listing.draining;
    log::log!(level, endpoint:%, address:%, draining; "endpoint listed");
}
