//! Load of endpoints, summed over all instances.

use std::cmp::Reverse;
use std::sync::Arc;

use citronway_core::gateway::fleet_admission::{self, FleetDemand, QueueDemand};
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::gateway::report::{EndpointTotal, Report, Totals};
use citronway_core::gateway::rows::{Row, Table};
use citronway_core::time::Mono;
use indexmap::IndexMap;

use super::super::own_rows;
use super::Cluster;

/// Most endpoints whose totals are sent at once: 16 KB. Endpoints with the fewest waiting
/// requests are left out.
const MAX_TOTALS: usize = 2_000;

impl Cluster {
    /// Adds the endpoints' answers of a report, which may be this instance's own.
    pub(in super::super) fn record_traffic(&mut self, now: Mono, report: &Report) {
        self.last_heard_at = now;
        for used in &report.endpoints {
            self.paces.add(now, used.tag, &used.answers);
            if used.answers.served > 0.0 {
                self.bytes.record_answers(now, used.tag);
            }
        }
    }

    /// Sets the requests that this instance itself has in flight and waiting.
    pub(in super::super) fn set_own_use(&mut self, report: &Report) {
        let used = report.endpoints.iter().map(|used| (used.tag, *used));
        self.own_use = used.collect();
    }

    /// Requests of all instances at each endpoint.
    pub(in super::super) fn all_totals(&self, now: Mono) -> IndexMap<EndpointTag, EndpointTotal> {
        let mut totals = self.peers.endpoint_totals(now);
        for used in self.own_use.values() {
            let total = totals.entry(used.tag).or_default();
            total.tag = used.tag;
            total.in_flight += used.in_flight;
            total.waiting += used.waiting;
            total.kb = total.kb.saturating_add(used.kb);
        }
        totals
    }

    /// Totals of endpoints whose requests, in flight and waiting, exceed half of their
    /// slots, or whose bytes half of their bound; those with the most waiting requests first.
    pub(in super::super) fn contended(&self, now: Mono) -> Vec<EndpointTotal> {
        let totals = self.all_totals(now);
        let listed = self.registry.iter();
        let slots: IndexMap<_, _> = listed
            .map(|known| (EndpointTag::of(&known.listing.start), known.listing.slots))
            .collect();
        let is_contended = |total: &EndpointTotal| {
            let wanted = total.in_flight + total.waiting;
            // Requests that wait for no particular endpoint count too; their tag has no
            // slots.
            let slots = slots.get(&total.tag).copied().unwrap_or_default();
            (wanted > 0 && wanted * 2 > slots) || self.has_many_bytes(total)
        };
        let mut contended: Vec<_> = totals.into_values().filter(is_contended).collect();
        contended.sort_unstable_by_key(|total| Reverse((total.waiting, total.in_flight)));
        contended.truncate(MAX_TOTALS);
        contended
    }

    /// Sets the demand at this instance; `None` without admission control across instances.
    pub(in super::super) fn set_own_demand(&mut self, demand: Option<&[QueueDemand]>) {
        self.own_demand = demand.map(<[_]>::to_vec);
    }

    /// Demand at this instance.
    pub(in super::super) const fn own_demand(&self) -> Option<&Vec<QueueDemand>> {
        self.own_demand.as_ref()
    }

    /// Demand at this instance and at the members of this delegate.
    pub(in super::super) fn demand_with_members(&self, now: Mono) -> Option<Vec<QueueDemand>> {
        let own = self.own_demand.as_ref()?;
        let members = self.peers.members_demand(now);
        let sums = fleet_admission::add_up(own.iter().chain(members));
        Some(fleet_admission::largest(sums))
    }

    /// Demand of all instances, for the leader's totals.
    pub(in super::super) fn demand_of_all(&self, now: Mono) -> Option<Vec<QueueDemand>> {
        let own = self.own_demand.as_ref()?;
        let others = self.peers.reported_demand(now);
        let sums = fleet_admission::add_up(own.iter().chain(others));
        Some(fleet_admission::largest(sums))
    }

    /// Demand of all other instances; `None` if it is not known or not used here.
    pub(super) fn fleet_demand(&self, now: Mono) -> Option<FleetDemand> {
        let own = self.own_demand.as_ref()?;
        self.peers.fleet_demand(now, own)
    }

    /// Applies the totals that the leader sent.
    pub(in super::super) fn apply_totals(&mut self, now: Mono, totals: Totals) {
        self.last_heard_at = now;
        self.update_leader_store(now, &totals);
        if let Some(row) = &totals.row {
            let known = self.stored_leader.as_ref().map(|leader| leader.version);
            if known.is_none_or(|known| known < row.version) {
                let row = std::slice::from_ref(row);
                self.kept.keep(Table::Own, row);
                self.apply_own_rows(now, row);
                self.changed = true;
            }
        }
        self.peers.record_leader(now, &totals);
        self.crashes.apply_totals(now, &totals);
        let bounds = totals.byte_bounds.iter();
        self.bytes
            .adopt(now, bounds.map(|(service, kb)| (service, *kb)));
        for pace in &totals.paces {
            self.paces.set_leader_estimate(now, *pace);
        }
        self.peers.set_totals(now, totals);
    }

    /// Records whether the store answers the leader, whose relays this instance relies on
    /// while it is passive.
    ///
    /// Failure: the store is away, entries of living endpoints expire, and the leader
    /// relays their removal when the store is back. A passive instance has not seen the
    /// outage itself and would drop all of them at once.
    fn update_leader_store(&mut self, now: Mono, totals: &Totals) {
        let before = self.leader_store.replace((totals.term, totals.store_lost));
        if self.endpoints.lost {
            return;
        }
        let was_lost = before.is_some_and(|(_, lost)| lost);
        let same = before.is_some_and(|(term, _)| term == totals.term);
        if was_lost == totals.store_lost {
            return;
        }
        let registry = Arc::make_mut(&mut self.registry);
        match (totals.store_lost, same) {
            (true, _) => registry.store_lost(),
            (false, true) => registry.store_regained(now),
            // The store answers the new leader: only the earlier one was cut off.
            (false, false) => registry.outage_was_local(),
        }
    }

    /// The stored row that names the leader; `None` if there is none.
    pub(in super::super) fn kept_leader_row(&self) -> Option<Row> {
        let mut kept = self.kept.rows(Table::Own);
        kept.find(|row| row.key == own_rows::LEADER_KEY).cloned()
    }

    /// Number of waiting requests of all instances, by endpoint.
    pub(in super::super) fn waiting(&self, now: Mono) -> IndexMap<EndpointTag, u32> {
        let mut waiting = self.peers.waiting(now);
        for (tag, own) in &self.own_use {
            *waiting.entry(*tag).or_default() += own.waiting;
        }
        waiting
    }
}
