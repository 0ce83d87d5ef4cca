//! Places for requests that are at an endpoint already.

use super::choose::Selection;
use super::{Admission, Decision, Job, RefusalReason, View};
use crate::ids::EndpointStart;
use crate::time::Mono;

impl Admission {
    /// Finds another place for a request that is still at the endpoints `open_at`.
    ///
    /// Returns `None` unless a place is free now: the request is not queued, since an endpoint works
    /// on it, and those in the queue go first.
    pub fn find_another(
        &mut self,
        now: Mono,
        view: &View,
        job: &Job,
        open_at: &[EndpointStart],
    ) -> Option<Decision> {
        self.links.update(now, &self.unanswered);
        if self.links.is_cut_off() {
            let decision = self.decide_unreachable(now, view, job, RefusalReason::Unreachable);
            return decision.filter(|decision| *decision == Decision::Forward);
        }
        let ahead = self.ahead(Self::queue_key(view, job), self.class(now, view, job));
        if self.is_behind(now, view, job, ahead) {
            return None;
        }
        let Selection::Send(choice) = self.find(now, view, job) else {
            return None;
        };
        if open_at.contains(&choice.endpoint) {
            return None;
        }
        match self.send(now, view, job, choice) {
            decision @ Decision::Send(_) => Some(decision),
            Decision::Forward | Decision::Refuse(_) => None,
        }
    }
}
