//! Limits that endpoints state, as the traffic thread reads and keeps them.

use citronway_core::gateway::admission::Choice;
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::gateway::stated_limits::{SendGrant, StatedLimit};
use citronway_core::ids::EndpointStart;
use citronway_platform::DecodeError;

use super::State;
use crate::clock;
use crate::gateway::control::Source;

/// Shortest interval between two log lines about unusable limits, in milliseconds.
const UNUSABLE_LIMIT_LOG_MS: u64 = 1_000;

impl State {
    /// Records what an answer of the endpoint states of its limit.
    pub(in crate::gateway::traffic) fn record_stated_limit(
        &self,
        endpoint: &EndpointStart,
        per_s: Option<f64>,
    ) {
        let now = clock::mono();
        let mut stated = self.stated_limits.borrow_mut();
        stated.insert(EndpointTag::of(endpoint), (per_s, now));
    }

    /// Requests a second that a limited endpoint takes from all instances together.
    pub(in crate::gateway::traffic) fn limit_per_s(&self, endpoint: EndpointTag) -> Option<f64> {
        self.view.borrow().limits.get(&endpoint).copied()
    }

    /// Number of sends that an admitted request has to ask for before it is sent.
    pub(in crate::gateway::traffic) fn grants_to_ask(
        &self,
        choice: &Choice,
        ticket: u64,
    ) -> Option<u32> {
        self.admission
            .borrow()
            .grants_to_ask(&choice.endpoint, ticket)
    }

    /// Records the answer to a request that asked for sends.
    pub(in crate::gateway::traffic) fn record_grant(
        &self,
        choice: &Choice,
        ticket: u64,
        grant: SendGrant,
    ) {
        self.admission
            .borrow_mut()
            .record_grant(clock::mono(), &choice.endpoint, ticket, grant);
        self.decide_waiting();
    }

    /// Counts a limit that cannot be used; it changes nothing.
    pub(in crate::gateway::traffic) fn record_unusable_limit(
        &self,
        endpoint: &EndpointStart,
        e: &DecodeError,
    ) {
        self.metrics.count_unusable(Source::Limit, 1);
        let now = clock::mono();
        let logged_at = self.unusable_limit_logged_at.get();
        if logged_at.is_some_and(|at| now.since(at) < UNUSABLE_LIMIT_LOG_MS) {
            return;
        }
        self.unusable_limit_logged_at.set(Some(now));
        log::warn!(endpoint:%, cause = e.to_string(); "stated limit cannot be used");
    }

    /// Takes what endpoints stated since the last report.
    pub(super) fn take_stated_limits(&self) -> Vec<StatedLimit> {
        let now = clock::mono();
        let stated = self.stated_limits.take();
        let stated = stated
            .into_iter()
            .map(|(endpoint, (per_s, at))| StatedLimit {
                endpoint,
                per_s,
                age_ms: u32::try_from(now.since(at)).unwrap_or(u32::MAX),
            });
        stated.collect()
    }
}
