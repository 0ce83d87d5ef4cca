//! Evacuations of availability zones, as stored in the operator's table.

use std::sync::Arc;

use citronway_core::gateway::evacuation::{self, ZoneChange, ZoneState};
use citronway_core::gateway::rows::Row;
use citronway_core::gateway::version::RowVersion;
use citronway_core::ids::ZoneName;
use citronway_core::time::Mono;
use citronway_platform::store;

use super::super::unusable::Source;
use super::Cluster;

impl Cluster {
    /// Applies rows of the operator's table. `learned_at` is the start of evacuations among
    /// them, or `None` if they began before the table was first read. `list_version` is the
    /// version of the store if `rows` are all rows of the table.
    pub(super) fn apply_evacuation_rows(
        &mut self,
        now: Mono,
        learned_at: Option<Mono>,
        rows: &[Row],
        list_version: Option<RowVersion>,
    ) {
        let zones = rows.iter().filter_map(|row| {
            let zone = store::evacuated_zone(&row.key)?;
            Some((zone, row))
        });
        let zones: Vec<_> = zones.collect();
        let mut changes = Vec::new();
        for (zone, row) in &zones {
            let Some(state) = self.evacuation_state(zone, row, learned_at) else {
                continue;
            };
            changes.extend(self.evacuations.apply_row(zone, row.version, state));
        }
        if let Some(version) = list_version {
            let listed = zones.into_iter().map(|(zone, _)| zone).collect();
            changes.extend(self.evacuations.apply_listing(&listed, version));
        }
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            self.log_zone_change(change);
        }
        let zones = self.evacuations.evacuated().map(|(zone, since)| {
            let until = evacuation::owned_work_until(since, self.evacuation_ms);
            (zone.clone(), until)
        });
        let zones = zones.collect();
        Arc::make_mut(&mut self.registry).set_evacuated(now, zones);
    }

    /// State of a zone by its row; `None` if the row is malformed, and the known state
    /// stays.
    fn evacuation_state(
        &mut self,
        zone: &ZoneName,
        row: &Row,
        learned_at: Option<Mono>,
    ) -> Option<ZoneState> {
        let Some(value) = &row.value else {
            self.unusable.clear(Source::Configuration, &row.key);
            return Some(ZoneState::Restored);
        };
        if let Err(e) = store::check_evacuation(zone, value) {
            self.unusable
                .record_row(Source::Configuration, &row.key, e.to_string());
            return None;
        }
        self.unusable.clear(Source::Configuration, &row.key);
        Some(ZoneState::Evacuated { since: learned_at })
    }

    /// Number of evacuated zones, and of ranges of keys whose owners are in them.
    pub(in super::super) fn count_evacuated(&self) -> (usize, usize) {
        let zones = self.evacuations.evacuated().count();
        if zones == 0 {
            return (0, 0);
        }
        let rows = self.owners.values();
        let holders = rows.flat_map(|owners| &owners.assignment.ranges);
        let ranges = holders.filter(|range| {
            let known = self.registry.get(&range.holder.endpoint);
            known.is_some_and(citronway_core::gateway::registry::ListedEndpoint::is_evacuated)
        });
        (zones, ranges.count())
    }

    fn log_zone_change(&self, change: &ZoneChange) {
        let ZoneChange {
            zone,
            state,
            version,
        } = change;
        let in_zone = self.registry.iter();
        let endpoints = in_zone.filter(|known| known.listing.zone == *zone).count();
        let zone = zone.as_str();
        let version = version.number;
        match state {
            ZoneState::Evacuated { since } => {
                let just_now = since.is_some();
                log::info!(zone, version, endpoints, just_now; "zone evacuated");
            }
            ZoneState::Restored => log::info!(zone, version, endpoints; "zone restored"),
        }
    }
}
