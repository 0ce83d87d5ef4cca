//! What the traffic asks `control`, which asks the leader.

use std::time::Duration;

use citronway_core::gateway::cold::{ColdGrant, ColdRequest};
use citronway_core::gateway::crashes::{Fingerprint, TrialEnd, TrialGrant};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::cold::ColdQuery;
use super::trial::{TrialEvent, TrialQuery};

/// Time for an answer about a cold endpoint; without one it gets nothing.
///
/// The leader answers within a few milliseconds; a grant that comes later no longer counts
/// where the leader counted it.
const COLD_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a cold endpoint is left alone about which nobody answers, in milliseconds.
const NO_ANSWER_PAUSE_MS: u64 = 200;

/// Rings to `control`.
#[derive(Debug)]
pub(super) struct ControlClient {
    pub trials: mpsc::Sender<TrialEvent>,
    pub cold: mpsc::Sender<ColdQuery>,
}

impl ControlClient {
    /// ControlClient whether a copy of work under suspicion may be sent, as request `number`.
    pub(super) async fn request_trial(
        &self,
        number: u64,
        work: Fingerprint,
        expected_ms: u64,
        limit_ms: u64,
    ) -> TrialGrant {
        let (reply, granted) = oneshot::channel();
        let query = TrialQuery {
            number,
            work,
            expected_ms,
            limit_ms,
            reply,
        };
        let busy = TrialGrant::Busy {
            for_ms: expected_ms,
        };
        if let Err(e) = self.trials.try_send(TrialEvent::Request(query)) {
            log::warn!(cause = e.to_string(); "a request for a trial was dropped");
            return busy;
        }
        granted.await.unwrap_or(busy)
    }

    /// Tells that a trial has ended.
    pub(super) fn report_trial_end(&self, number: u64, work: Fingerprint, end: TrialEnd) {
        let ended = TrialEvent::Ended { number, work, end };
        if let Err(e) = self.trials.try_send(ended) {
            log::warn!(cause = e.to_string(); "the end of a trial was not told");
        }
    }

    /// ControlClient whether a request may be sent to a cold endpoint, as request `number`.
    pub(super) async fn request_cold_send(&self, number: u64, req: ColdRequest) -> ColdGrant {
        let (reply, granted) = oneshot::channel();
        let busy = ColdGrant::Busy {
            for_ms: NO_ANSWER_PAUSE_MS,
        };
        let query = ColdQuery { number, req, reply };
        if let Err(e) = self.cold.try_send(query) {
            log::warn!(cause = e.to_string(); "a request about a cold endpoint was dropped");
            return busy;
        }
        match timeout(COLD_ANSWER_TIMEOUT, granted).await {
            Ok(Ok(grant)) => grant,
            // `control` has no leader to query, or the leader does not answer.
            Ok(Err(_)) | Err(_) => busy,
        }
    }
}
