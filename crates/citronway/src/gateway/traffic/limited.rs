//! Admission of requests to endpoints that state a limit.

use std::time::Duration;

use citronway_core::gateway::admission::Choice;
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::gateway::stated_limits::{SendGrant, SendRequest};
use tokio::sync::oneshot;

use super::forwarding::Forwarding;
use super::outcome::display_id;

/// Longest wait of a request for its send to the owner of its key, in milliseconds. It is limited
/// because the key may change its owner meanwhile.
const OWNER_MAX_WAIT_MS: u64 = 150;

/// Longest wait of a request for its send where other endpoints could run it, in milliseconds.
const MAX_WAIT_MS: u64 = 20;

/// A query whether requests may be sent to a limited endpoint.
#[derive(Debug)]
pub struct LimitedSendQuery {
    /// Number of the query, unique within the process.
    pub number: u64,
    /// The endpoint, its limit and the number of sends.
    pub req: SendRequest,
    /// Whether the leader has not answered, so that this instance's own share decides.
    pub leader_silent: bool,
    /// Receives the answer.
    pub reply: oneshot::Sender<SendGrant>,
}

impl Forwarding<'_> {
    /// Waits until the request may be sent to the endpoint, if that states a limit. Returns false
    /// if it may not be sent now.
    ///
    /// The limit is one on all instances together, so the leader grants the sends.
    pub(super) async fn admit_limited_send(&self, choice: &Choice) -> bool {
        let ticket = self.job.ticket;
        let Some(count) = self.state.grants_to_ask(choice, ticket) else {
            return true;
        };
        let endpoint = EndpointTag::of(&choice.endpoint);
        let Some(per_s) = self.state.limit_per_s(endpoint) else {
            // The limit has ended meanwhile.
            return true;
        };
        let max_wait_ms = match choice.fence {
            Some(_) => OWNER_MAX_WAIT_MS,
            None => MAX_WAIT_MS,
        };
        let req = SendRequest {
            endpoint,
            per_s,
            count,
            max_wait_ms,
        };
        let grant = self
            .state
            .control
            .request_limited_send(|| self.state.next_ticket(), req)
            .await;
        self.state.metrics.statements.count_limited_send(grant);
        self.state.record_grant(choice, ticket, grant);
        match grant {
            SendGrant::Granted { after_ms, .. } => {
                if after_ms > 0 {
                    tokio::time::sleep(Duration::from_millis(after_ms)).await;
                }
                true
            }
            SendGrant::Busy { .. } | SendGrant::Unavailable => {
                let request = display_id(self.metadata.id.as_ref());
                let endpoint = &choice.endpoint;
                log::debug!(request, endpoint:%, per_s; "endpoint limit leaves no room now");
                false
            }
        }
    }
}
