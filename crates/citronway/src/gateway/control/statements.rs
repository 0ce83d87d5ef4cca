//! Endpoints that state in their answers that they leave, or ask for rest.

use citronway_core::gateway::departures::Departure;
use citronway_core::gateway::leader::Order;
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::gateway::rests::RestReport;
use citronway_core::ids::InstanceName;
use citronway_core::time::Mono;
use citronway_platform::DecodeError;
use indexmap::IndexSet;

use super::{Control, Source};

/// Source of a statement in logs: the answer to an order of this leader.
pub(super) const ORDER_ANSWER: &str = "answer to an order";

impl Control {
    /// Records statements that no other instance may know yet.
    pub(super) fn observe_departures(&mut self, now: Mono, all: &[Departure], source: &str) {
        for departure in all {
            if self.cluster.departures.observe(now, departure) {
                self.log_departure(*departure, source);
            }
        }
        self.cluster.apply_departures();
    }

    /// Records statements that another instance told all others.
    pub(super) fn hear_departures(&mut self, now: Mono, all: &[Departure], source: &str) {
        for departure in all {
            if self.cluster.departures.hear(now, departure) {
                self.log_departure(*departure, source);
            }
        }
        self.cluster.apply_departures();
    }

    /// Records that the answer to an order stated that its endpoint leaves.
    pub(super) fn observe_departure_of(&mut self, now: Mono, order: &Order) {
        let departure = Departure {
            endpoint: EndpointTag::of(&order.endpoint),
            age_ms: 0,
        };
        self.observe_departures(now, &[departure], ORDER_ANSWER);
    }

    /// Counts a statement in the answer to an order that cannot be used; it changes nothing.
    pub(super) fn record_unusable_statement(&mut self, order: &Order, e: &DecodeError) {
        let endpoint = order.endpoint.to_string();
        let unusable = &mut self.cluster.unusable;
        unusable.record_row(Source::Leaving, &endpoint, e.to_string());
    }

    /// Forgets endpoints that have not been listed for long, and updates the metric.
    pub(super) fn prune_departures(&mut self, now: Mono) {
        let listed = self.cluster.registry.iter();
        let listed: IndexSet<_> = listed
            .map(|known| EndpointTag::of(&known.listing.start))
            .collect();
        self.cluster
            .departures
            .prune(now, |tag| listed.contains(&tag));
        self.cluster.apply_departures();
        let leaving = self.cluster.departures.iter();
        let leaving = leaving.filter(|(tag, _)| listed.contains(tag)).count();
        self.metrics.statements.set_leaving_endpoints(leaving);
    }

    /// Records the endpoints that asked an instance for rest.
    pub(super) fn hear_rests(&mut self, now: Mono, from: &InstanceName, rests: &[RestReport]) {
        let instances = self.cluster.peers.instance_count(now);
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        self.cluster.rests.hear(now, from, rests, instances);
    }

    fn log_departure(&self, departure: Departure, source: &str) {
        let endpoint = self.endpoint_name(departure.endpoint);
        let age_ms = departure.age_ms;
        log::info!(endpoint = endpoint.as_str(), source, age_ms; "endpoint states that it leaves");
    }
}
