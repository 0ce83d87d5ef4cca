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
const COLD_ANSWER: Duration = Duration::from_millis(100);

/// Time for which a cold endpoint is left alone about which nobody answers, in milliseconds.
const UNANSWERED_MS: u64 = 200;

/// Rings to `control`.
#[derive(Debug)]
pub(super) struct Asks {
    pub trials: mpsc::Sender<TrialEvent>,
    pub cold: mpsc::Sender<ColdQuery>,
}

impl Asks {
    /// Asks whether a copy of work under suspicion may be sent, as request `number`.
    pub(super) async fn trial(
        &self,
        number: u64,
        work: Fingerprint,
        expected_ms: u64,
        limit_ms: u64,
    ) -> TrialGrant {
        let (reply, granted) = oneshot::channel();
        let ask = TrialQuery {
            number,
            work,
            expected_ms,
            limit_ms,
            reply,
        };
        let busy = TrialGrant::Busy {
            for_ms: expected_ms,
        };
        if let Err(e) = self.trials.try_send(TrialEvent::Request(ask)) {
            log::warn!(cause = e.to_string(); "a request for a trial was dropped");
            return busy;
        }
        granted.await.unwrap_or(busy)
    }

    /// Tells that a trial has ended.
    pub(super) fn trial_ended(&self, number: u64, work: Fingerprint, end: TrialEnd) {
        let ended = TrialEvent::Ended { number, work, end };
        if let Err(e) = self.trials.try_send(ended) {
            log::warn!(cause = e.to_string(); "the end of a trial was not told");
        }
    }

    /// Asks whether a request may be sent to a cold endpoint, as request `number`.
    pub(super) async fn cold(&self, number: u64, req: ColdRequest) -> ColdGrant {
        let (reply, granted) = oneshot::channel();
        let busy = ColdGrant::Busy {
            for_ms: UNANSWERED_MS,
        };
        let ask = ColdQuery { number, req, reply };
        if let Err(e) = self.cold.try_send(ask) {
            log::warn!(cause = e.to_string(); "a request about a cold endpoint was dropped");
            return busy;
        }
        match timeout(COLD_ANSWER, granted).await {
            Ok(Ok(grant)) => grant,
            // `control` has no leader to ask, or the leader does not answer.
            Ok(Err(_)) | Err(_) => busy,
        }
    }
}
