//! Sends to endpoints that state a limit.

use citronway_core::gateway::admission::Choice;
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::gateway::stated_limits::SendGrant;

use super::State;
use crate::clock;

impl State {
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
}
