//! Queries from the traffic thread to `control`, which forwards them to the leader.

use std::time::Duration;

use citronway_core::gateway::cold::{ColdGrant, ColdRequest};
use citronway_core::gateway::crashes::{Fingerprint, TrialEnd, TrialGrant};
use citronway_core::gateway::stated_limits::{SendGrant, SendRequest};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::cold::ColdQuery;
use super::limited::LimitedSendQuery;
use super::trial::{TrialEvent, TrialQuery};

/// Timeout for the leader's answer about a cold endpoint; without an answer nothing is sent.
///
/// The leader answers within a few milliseconds. A grant that arrives later would be used at
/// another time than the one for which the leader counted it.
const COLD_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Timeout for the leader's answer about a limited endpoint; without an answer this instance's own
/// share decides.
const LIMITED_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a cold endpoint receives no requests after a query about it was not answered,
/// in milliseconds.
const NO_ANSWER_PAUSE_MS: u64 = 200;

/// Sending halves of the channels to `control` on which the traffic thread asks for permission.
#[derive(Debug)]
pub(super) struct ControlClient {
    pub trials: mpsc::Sender<TrialEvent>,
    pub cold: mpsc::Sender<ColdQuery>,
    pub limited: mpsc::Sender<LimitedSendQuery>,
}

impl ControlClient {
    /// Asks whether a copy of work under suspicion may be sent as request `number`.
    ///
    /// Returns `Busy` if the query cannot be queued or is dropped without an answer.
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
            log::warn!(cause = e.to_string(); "trial query dropped");
            return busy;
        }
        granted.await.unwrap_or(busy)
    }

    /// Reports to `control` that the trial of request `number` has ended.
    pub(super) fn report_trial_end(&self, number: u64, work: Fingerprint, end: TrialEnd) {
        let ended = TrialEvent::Ended { number, work, end };
        if let Err(e) = self.trials.try_send(ended) {
            log::warn!(cause = e.to_string(); "end of a trial not reported");
        }
    }

    /// Asks whether request `number` may be sent to a cold endpoint.
    ///
    /// Returns `Busy` if the query cannot be queued or is not answered within
    /// [`COLD_ANSWER_TIMEOUT`].
    pub(super) async fn request_cold_send(&self, number: u64, req: ColdRequest) -> ColdGrant {
        let (reply, granted) = oneshot::channel();
        let busy = ColdGrant::Busy {
            for_ms: NO_ANSWER_PAUSE_MS,
        };
        let query = ColdQuery { number, req, reply };
        if let Err(e) = self.cold.try_send(query) {
            log::warn!(cause = e.to_string(); "cold endpoint query dropped");
            return busy;
        }
        match timeout(COLD_ANSWER_TIMEOUT, granted).await {
            Ok(Ok(grant)) => grant,
            // `control` knows no leader, or the leader does not answer.
            Ok(Err(_)) | Err(_) => busy,
        }
    }

    /// Asks whether requests may be sent to an endpoint that states a limit. `next_number` numbers
    /// the queries.
    ///
    /// Returns `Busy` if no query can be queued.
    pub(super) async fn request_limited_send(
        &self,
        next_number: impl Fn() -> u64,
        req: SendRequest,
    ) -> SendGrant {
        for leader_silent in [false, true] {
            let (reply, granted) = oneshot::channel();
            let query = LimitedSendQuery {
                number: next_number(),
                req,
                leader_silent,
                reply,
            };
            if let Err(e) = self.limited.try_send(query) {
                log::warn!(cause = e.to_string(); "limited endpoint query dropped");
                break;
            }
            if let Ok(Ok(grant)) = timeout(LIMITED_ANSWER_TIMEOUT, granted).await {
                return grant;
            }
        }
        SendGrant::Busy {
            for_ms: NO_ANSWER_PAUSE_MS,
        }
    }
}
