//! Bounds on the bytes of requests at one endpoint, learned from what all instances report.

use citronway_core::gateway::crashes::Sign;
use citronway_core::gateway::endpoint_bytes::BytesAt;
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::gateway::report::EndpointTotal;
use citronway_core::ids::ServiceName;
use citronway_core::time::Mono;

use super::Control;
use super::cluster::Cluster;

impl Cluster {
    /// Services whose endpoints have a bound, with the bound in kilobytes.
    pub(super) fn byte_bounds(&self) -> Vec<(ServiceName, u32)> {
        let all = self.bytes.all();
        all.map(|(service, kb)| (service.clone(), kb)).collect()
    }

    /// Records the bytes that all instances have at endpoints.
    fn observe_bytes(&mut self, now: Mono) {
        let totals = self.all_totals(now);
        if totals.values().all(|total| total.kb == 0) {
            return;
        }
        for known in self.registry.iter() {
            let tag = EndpointTag::of(&known.listing.start);
            let Some(total) = totals.get(&tag) else {
                continue;
            };
            let at = BytesAt {
                tag,
                service: &known.listing.service,
                kb: total.kb,
                requests: total.in_flight,
            };
            self.bytes.observe(now, at);
        }
    }

    /// Whether the bytes at an endpoint are more than half of what it may have.
    pub(super) fn has_many_bytes(&self, total: &EndpointTotal) -> bool {
        let bound = self.bytes.of_endpoint(total.tag);
        bound.is_some_and(|bound| total.kb > bound / 2)
    }
}

impl Control {
    /// Records signs of endpoints that crashed.
    pub(super) fn record_crash_bytes(&mut self, now: Mono, signs: &[Sign]) {
        for sign in signs {
            if let Sign::Crash { work, endpoint } = sign {
                self.cluster.bytes.record_crash(now, *endpoint, *work);
            }
        }
    }

    /// Learns bounds, where this instance sees the requests of all.
    pub(super) fn step_bytes(&mut self, now: Mono) {
        self.metrics
            .memory
            .set_byte_bounds(self.cluster.bytes.all().count());
        if self.cluster.peers.is_large_fleet(now) && !self.leads_large_fleet(now) {
            return;
        }
        self.cluster.observe_bytes(now);
        for learned in self.cluster.bytes.step(now) {
            let service = learned.service.as_str();
            let (bound_kb, crash_kb) = (learned.bound_kb, learned.crash_kb);
            let requests = learned.requests;
            self.cluster.changed = true;
            log::warn!(
                service, bound_kb, crash_kb, requests;
                "endpoints of a service get a bound on the bytes of requests"
            );
        }
    }
}
