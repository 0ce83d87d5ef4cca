//! Limits that endpoints state: what this instance knows of them.

use citronway_core::gateway::pace::EndpointTag;
use citronway_core::gateway::stated_limits::{LimitChange, StatedLimit};
use citronway_core::time::Mono;
use indexmap::IndexSet;

use super::Control;

/// Source of a statement in logs: an answer to this instance.
pub(super) const OWN_ANSWER: &str = "own answer";

impl Control {
    /// Records statements that no other instance may know yet.
    pub(super) fn observe_limits(&mut self, now: Mono, all: &[StatedLimit], source: &str) {
        for stated in all {
            if let Some(change) = self.cluster.stated_limits.observe(now, stated) {
                self.log_limit_change(stated, change, source);
            }
        }
    }

    /// Forgets endpoints that are no longer listed, and updates the metric.
    pub(super) fn prune_limits(&mut self, now: Mono) {
        let listed = self.cluster.registry.iter();
        let listed: IndexSet<_> = listed
            .map(|known| EndpointTag::of(&known.listing.start))
            .collect();
        self.cluster
            .stated_limits
            .prune(now, |tag| listed.contains(&tag));
        let limited = self.cluster.stated_limits.in_force().len();
        self.metrics.set_limited_endpoints(limited);
    }

    fn log_limit_change(&self, stated: &StatedLimit, change: LimitChange, source: &str) {
        let mut listed = self.cluster.registry.iter();
        let known = listed.find(|known| EndpointTag::of(&known.listing.start) == stated.endpoint);
        let endpoint = known.map_or_else(
            || format!("{:08x}", stated.endpoint.0),
            |known| known.listing.start.to_string(),
        );
        let endpoint = endpoint.as_str();
        let age_ms = stated.age_ms;
        match change {
            LimitChange::Begun { per_s } => {
                log::info!(endpoint, per_s, source, age_ms; "endpoint states a limit");
            }
            LimitChange::Changed { before, per_s } => {
                log::info!(endpoint, before, per_s, source, age_ms; "endpoint changes its limit");
            }
            LimitChange::Ended { before } => {
                log::info!(endpoint, before, source, age_ms; "endpoint states no limit any more");
            }
        }
    }
}
