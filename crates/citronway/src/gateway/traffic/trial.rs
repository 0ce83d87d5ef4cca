//! Trials of work under suspicion: queries and results that the traffic thread sends to
//! `control`.

use std::rc::Rc;

use citronway_core::gateway::crashes::{Fingerprint, TrialEnd, TrialGrant};
use tokio::sync::oneshot;

use super::state::State;

/// Message to `control` about a trial.
#[derive(Debug)]
pub enum TrialEvent {
    /// Asks whether a copy of the work may be sent.
    Request(TrialQuery),
    /// A copy whose trial was granted has ended.
    Ended {
        /// Number of the query for the trial.
        number: u64,
        /// Work that was tried.
        work: Fingerprint,
        /// How the trial ended.
        end: TrialEnd,
    },
}

/// A query for a trial.
#[derive(Debug)]
pub struct TrialQuery {
    /// Number of the query, unique within the process.
    pub number: u64,
    /// Work to be tried.
    pub work: Fingerprint,
    /// Time after which the work is most likely done, in milliseconds.
    pub expected_ms: u64,
    /// Time after which the caller no longer waits, in milliseconds.
    pub limit_ms: u64,
    /// Receives the answer.
    pub reply: oneshot::Sender<TrialGrant>,
}

/// Guard of a granted trial; reports its end when dropped.
#[derive(Debug)]
pub(super) struct Trial {
    pub state: Rc<State>,
    pub number: u64,
    pub work: Fingerprint,
    pub end: TrialEnd,
}

impl Trial {
    /// Ends the trial with a result.
    pub(super) fn finish(mut self, end: TrialEnd) {
        self.end = end;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.state
            .control
            .report_trial_end(self.number, self.work, self.end);
    }
}
