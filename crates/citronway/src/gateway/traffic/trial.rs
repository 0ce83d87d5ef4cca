//! Trials of work under suspicion, as the traffic asks for them.

use std::rc::Rc;

use citronway_core::gateway::crashes::{Fingerprint, TrialEnd, TrialGrant};
use tokio::sync::oneshot;

use super::state::State;

/// What the traffic asks or tells `control` about trials.
#[derive(Debug)]
pub enum TrialEvent {
    /// May a copy be sent?
    Request(TrialQuery),
    /// A copy that was granted is done.
    Ended {
        /// Number of the request for it.
        number: u64,
        /// Work that was tried.
        work: Fingerprint,
        /// How it ended.
        end: TrialEnd,
    },
}

/// A request for a trial.
#[derive(Debug)]
pub struct TrialQuery {
    /// Its number within the process.
    pub number: u64,
    /// Work that is to be tried.
    pub work: Fingerprint,
    /// Time after which it is most likely done, in milliseconds.
    pub expected_ms: u64,
    /// Time after which its caller no longer waits, in milliseconds.
    pub limit_ms: u64,
    /// Takes the answer.
    pub reply: oneshot::Sender<TrialGrant>,
}

/// A trial that was granted; it ends with this.
#[derive(Debug)]
pub(super) struct Trial {
    pub state: Rc<State>,
    pub number: u64,
    pub work: Fingerprint,
    pub end: TrialEnd,
}

impl Trial {
    /// Ends it with an outcome.
    pub(super) fn ended(mut self, end: TrialEnd) {
        self.end = end;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.state
            .asks
            .trial_ended(self.number, self.work, self.end);
    }
}
