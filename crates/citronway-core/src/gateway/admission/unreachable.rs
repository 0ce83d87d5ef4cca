//! Requests whose endpoints this instance does not reach, and what shows that it does not.

use super::links::LinkFailure;
use super::{Admission, Decision, Job, MOVE_RETRY_MS, Refusal, RefusalReason, View};
use crate::gateway::pace::EndpointTag;
use crate::ids::EndpointStart;
use crate::time::Mono;

/// Time for which requests of a queue are not passed on after other instances did not reach its
/// endpoints either, in milliseconds.
const NOT_FORWARDED_MS: u64 = 500;

impl Admission {
    /// Decides about a request whose endpoints this instance does not reach: another instance gets
    /// it, or it is refused at once if no other one can help and waiting here is in vain. Returns
    /// `None` if it may wait here.
    pub(super) fn decide_unreachable(
        &self,
        now: Mono,
        view: &View,
        job: &Job,
        cause: RefusalReason,
    ) -> Option<Decision> {
        if cause != RefusalReason::Unreachable && !self.links.is_cut_off() {
            return None;
        }
        let queue_key = Self::queue_key(view, job);
        let helps = self
            .not_forwarded
            .get(&queue_key)
            .is_none_or(|until| now >= *until);
        let is_link_lost = self.links.is_cut_off()
            || job.key.is_none()
            || self.links.is_unconnected(now, queue_key);
        if !job.is_forwarded && helps && is_link_lost && !view.neighbors.is_empty() {
            return Some(Decision::Forward);
        }
        let is_in_vain = job.is_forwarded || self.links.is_cut_off();
        is_in_vain.then_some(Decision::Refuse(Refusal {
            reason: RefusalReason::Unreachable,
            retry_after_ms: MOVE_RETRY_MS,
        }))
    }

    /// Records that no other instance reaches the endpoints that may run a request either.
    pub fn record_not_forwarded(&mut self, now: Mono, view: &View, job: &Job) {
        let until = now.plus(NOT_FORWARDED_MS);
        self.not_forwarded.retain(|_, until| now < *until);
        self.not_forwarded.insert(Self::queue_key(view, job), until);
    }

    /// Notices whether endpoints answer this instance; returns true if none does.
    pub fn update_links(&mut self, now: Mono) -> bool {
        self.links.update(now, &self.unanswered);
        self.links.is_cut_off()
    }

    /// Whether endpoints are to be probed now, since none answers; this then counts as begun.
    pub fn begin_probe(&mut self, now: Mono) -> bool {
        self.links.begin_probe(now)
    }

    /// Records whether an endpoint accepted a connection of a probe.
    pub fn record_probe(&mut self, now: Mono, is_accepted: bool) {
        self.links.record_probe(now, is_accepted);
    }

    /// Records that a connection to the endpoint was reset, which may be a matter of the link.
    pub fn record_link_reset(&mut self, now: Mono, endpoint: &EndpointStart) {
        let tag = EndpointTag::of(endpoint);
        self.links.record_failure(now, tag, LinkFailure::Reset);
    }

    /// Whether the last connection to an endpoint failed.
    #[must_use]
    pub fn has_failed_link(&self, endpoint: &EndpointStart) -> bool {
        self.links.has_failed(EndpointTag::of(endpoint))
    }
}
