//! Turns of requests at endpoints that are cold.

use std::time::Duration;

use citronway_core::gateway::admission::Choice;
use citronway_core::gateway::cold::{ColdGrant, ColdRequest};
use citronway_core::gateway::pace::EndpointTag;
use tokio::sync::oneshot;

use super::forwarding::Forwarding;
use super::outcome::shown_id;
use crate::clock;

/// How long a request waits for its turn at the cold owner of its key, and where other
/// endpoints could run it, in milliseconds. Its key may change hands meanwhile.
const OWNER_PATIENCE_MS: u64 = 150;
const PATIENCE_MS: u64 = 20;

/// A request about a cold endpoint.
#[derive(Debug)]
pub struct ColdQuery {
    /// Its number within the process.
    pub number: u64,
    /// What is asked.
    pub req: ColdRequest,
    /// Takes the answer.
    pub reply: oneshot::Sender<ColdGrant>,
}

impl Forwarding<'_> {
    /// Waits for a turn at the endpoint if it is cold; false if it is to get nothing now.
    ///
    /// Failure guarded against: an endpoint has just started, each instance sends it what it
    /// could do when it is warm, and it crashes.
    pub(super) async fn take_cold_turn(&self, choice: &Choice) -> bool {
        let now = clock::mono();
        let endpoint = &choice.endpoint;
        let Some(per_s) = self.state.cold_per_s(now, &self.job.service, endpoint) else {
            return true;
        };
        let patience_ms = match choice.fence {
            Some(_) => OWNER_PATIENCE_MS,
            None => PATIENCE_MS,
        };
        let req = ColdRequest {
            endpoint: EndpointTag::of(endpoint),
            per_s,
            max_wait_ms: patience_ms,
        };
        let grant = self.state.asks.cold(self.state.ticket(), req).await;
        self.state.metrics.count_cold_request(&grant);
        match grant {
            ColdGrant::Granted { after_ms: 0 } => true,
            ColdGrant::Granted { after_ms } => {
                tokio::time::sleep(Duration::from_millis(after_ms)).await;
                true
            }
            ColdGrant::Busy { for_ms } => {
                let request = shown_id(self.words.id.as_ref());
                log::debug!(request, endpoint:%, for_ms; "a cold endpoint takes no more now");
                self.state.cold_busy(endpoint, for_ms);
                false
            }
        }
    }
}
