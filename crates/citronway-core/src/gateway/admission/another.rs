//! Requests that are at an endpoint: when it counts as silent, and where they may go besides.

use indexmap::IndexMap;

use super::choose::Selection;
use super::{Admission, Decision, EndpointLoad, Job, RefusalReason, View};
use crate::gateway::pace::EndpointTag;
use crate::gateway::routes::Repeat;
use crate::ids::EndpointStart;
use crate::time::Mono;

/// Multiple of the usual work time after which an endpoint that has not answered counts as silent.
/// One request in a hundred takes longer when all endpoints are healthy.
const SILENT_FACTOR: u64 = 5;

/// The same while no endpoint answers this instance, and the shortest such time, in milliseconds.
const LINK_TRIAL_FACTOR: u64 = 2;
const MIN_LINK_TRIAL_MS: u64 = 300;

/// Age from which on a stated load tells nothing of the present queue, in milliseconds.
const STATED_LOAD_MS: u64 = 2_000;

/// The load that each endpoint stated last.
#[derive(Debug, Default)]
pub(super) struct StatedLoads(IndexMap<EndpointTag, (Mono, EndpointLoad)>);

impl StatedLoads {
    /// Forgets loads that are too old.
    pub(super) fn prune(&mut self, now: Mono) {
        self.0.retain(|_, (at, _)| now.since(*at) < STATED_LOAD_MS);
    }

    /// Time that the queue of an endpoint takes by its last statement, in milliseconds.
    fn queue_ms(&self, now: Mono, tag: EndpointTag, work_ms: u64) -> u64 {
        match self.0.get(&tag) {
            Some((at, load)) if now.since(*at) < STATED_LOAD_MS => {
                u64::from(load.waiting) * work_ms / u64::from(load.slots.max(1))
            }
            Some(_) | None => 0,
        }
    }
}

impl Admission {
    /// Records the load that an endpoint stated.
    pub fn record_stated_load(&mut self, now: Mono, endpoint: &EndpointStart, load: EndpointLoad) {
        let tag = EndpointTag::of(endpoint);
        self.stated_loads.0.insert(tag, (now, load));
    }

    /// Time after which an endpoint that has a request counts as silent, in milliseconds; `None` if
    /// the request may go to no other endpoint. `objective_ms` is the latency objective of its route.
    #[must_use]
    pub fn silent_after_ms(
        &self,
        now: Mono,
        job: &Job,
        endpoint: &EndpointStart,
        objective_ms: u64,
    ) -> Option<u64> {
        if job.repeat != Repeat::Idempotent {
            return None;
        }
        if self.links.is_cut_off() {
            // This request shows whether endpoints answer again.
            return Some((job.work_ms * LINK_TRIAL_FACTOR).max(MIN_LINK_TRIAL_MS));
        }
        let usual_ms = (job.work_ms * SILENT_FACTOR).max(objective_ms / 2);
        let queue_ms = self
            .stated_loads
            .queue_ms(now, EndpointTag::of(endpoint), job.work_ms);
        // A statement may be wrong; it is believed up to a bound.
        let silent_ms = usual_ms + queue_ms.min(usual_ms);
        job.key.is_none().then_some(silent_ms)
    }

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
