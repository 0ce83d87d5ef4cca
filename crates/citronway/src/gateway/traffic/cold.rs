//! Admission of requests to endpoints that are cold, that is, still slow after their start.

use std::time::Duration;

use citronway_core::gateway::admission::Choice;
use citronway_core::gateway::cold::{ColdGrant, ColdRequest};
use citronway_core::gateway::pace::EndpointTag;
use tokio::sync::oneshot;

use super::forwarding::Forwarding;
use super::outcome::display_id;
use crate::clock;

/// Longest wait of a request for admission at the cold owner of its key, in milliseconds. It is
/// limited because the key may change its owner meanwhile.
const OWNER_MAX_WAIT_MS: u64 = 150;

/// Longest wait of a request for admission at a cold endpoint where other endpoints could run it,
/// in milliseconds.
const MAX_WAIT_MS: u64 = 20;

/// A query whether a request may be sent to a cold endpoint.
#[derive(Debug)]
pub struct ColdQuery {
    /// Number of the query, unique within the process.
    pub number: u64,
    /// The endpoint, its rate limit and the longest acceptable wait.
    pub req: ColdRequest,
    /// Receives the answer.
    pub reply: oneshot::Sender<ColdGrant>,
}

impl Forwarding<'_> {
    /// Waits until the request may be sent to the endpoint, if that is cold. Returns false if
    /// the endpoint takes no further request now.
    ///
    /// Failure guarded against: an endpoint has just started, each instance sends it as many
    /// requests as it could serve when warm, and it crashes.
    pub(super) async fn admit_cold_send(&self, choice: &Choice) -> bool {
        let now = clock::mono();
        let endpoint = &choice.endpoint;
        let Some(per_s) = self.state.cold_per_s(now, &self.job.service, endpoint) else {
            return true;
        };
        let max_wait_ms = match choice.fence {
            Some(_) => OWNER_MAX_WAIT_MS,
            None => MAX_WAIT_MS,
        };
        let req = ColdRequest {
            endpoint: EndpointTag::of(endpoint),
            per_s,
            max_wait_ms,
        };
        let grant = self
            .state
            .control
            .request_cold_send(self.state.next_ticket(), req)
            .await;
        self.state.metrics.count_cold_request(&grant);
        match grant {
            ColdGrant::Granted { after_ms: 0 } => true,
            ColdGrant::Granted { after_ms } => {
                tokio::time::sleep(Duration::from_millis(after_ms)).await;
                true
            }
            ColdGrant::Busy { for_ms } => {
                let request = display_id(self.metadata.id.as_ref());
                log::debug!(request, endpoint:%, for_ms; "cold endpoint takes no further request now");
                self.state.hold_back_cold(endpoint, for_ms);
                false
            }
        }
    }
}
