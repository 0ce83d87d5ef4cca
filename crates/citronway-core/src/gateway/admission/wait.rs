//! Expected waiting times of queued requests.

use super::choose::range_of;
use crate::gateway::admission::{Admission, Job, ReportedLoad, View};
use crate::gateway::pace::EndpointTag;
use crate::gateway::registry::ListedEndpoint;
use crate::gateway::stated_limits::MIN_PER_S;
use crate::time::Mono;

impl Admission {
    /// Expected waiting time of a request with `ahead` requests before it, in milliseconds.
    pub(super) fn expected_wait_ms(&self, now: Mono, view: &View, job: &Job, ahead: u32) -> u64 {
        let tag = Self::queue_key(view, job);
        let per_ms = self.served_per_ms(now, view, job);
        // The queues of other instances are assumed to be like this one's: each has as many requests
        // that go first, but all together no more than were reported.
        let own = f64::from(ahead);
        let others = f64::from(view.instances.max(1) - 1);
        let reported = view.reported_loads.get(&tag);
        let waiting = reported.map_or(0, |reported| reported.waiting);
        let theirs = f64::from(waiting).min(own * others);
        let wait = (own + theirs) / per_ms;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a wait is positive and far below the range"
        )]
        let wait_ms = wait as u64;
        wait_ms
    }

    /// Requests a millisecond that the endpoints which may run a request serve for all instances.
    pub(super) fn served_per_ms(&self, now: Mono, view: &View, job: &Job) -> f64 {
        let tag = Self::queue_key(view, job);
        let unknown = ReportedLoad::unknown();
        let reported = view.reported_loads.get(&tag).unwrap_or(&unknown);
        let work = job.work_ms.max(1) as f64 * reported.slowness;
        let rate = |listed: &ListedEndpoint| requests_per_ms(view, listed, work);
        let all_per_ms = match range_of(view, job) {
            Some(range) => view
                .registry
                .get(&range.holder.endpoint)
                .map_or(1.0 / work, rate),
            None => view
                .registry
                .of_service(&job.service)
                .filter(|listed| listed.accepts_work() && !self.is_resting(now, listed))
                .map(rate)
                .sum(),
        };
        if all_per_ms > 0.0 {
            all_per_ms
        } else {
            1.0 / work
        }
    }

    fn is_resting(&self, now: Mono, listed: &ListedEndpoint) -> bool {
        let tag = EndpointTag::of(&listed.listing.start);
        !self.rests.is_empty() && self.rests.until(now, tag).is_some()
    }

    /// Time until a request can be served by endpoints that all rest now, in milliseconds; `None` if
    /// one of them does not.
    ///
    /// Requests return at a rate that doubles with each that ends.
    pub(super) fn rest_wait_ms(
        &self,
        now: Mono,
        view: &View,
        job: &Job,
        ahead: u32,
    ) -> Option<u64> {
        if self.rests.is_empty() {
            return None;
        }
        let until = match range_of(view, job) {
            Some(range) => self
                .rests
                .until(now, EndpointTag::of(&range.holder.endpoint)),
            None if job.key.is_some() => None,
            None => {
                let accepting = self.accepting(now, view, job);
                let tags = accepting
                    .iter()
                    .map(|known| EndpointTag::of(&known.listing.start));
                let ends: Option<Vec<_>> = tags.map(|tag| self.rests.until(now, tag)).collect();
                ends?.into_iter().min()
            }
        };
        let doublings = u64::from((ahead + 1).ilog2());
        Some(until?.since(now) + doublings * job.work_ms)
    }
}

/// Requests a millisecond that an endpoint takes: as many as its slots allow, or its limit if
/// that is lower.
fn requests_per_ms(view: &View, listed: &ListedEndpoint, work_ms: f64) -> f64 {
    let by_slots = f64::from(listed.listing.slots) / work_ms;
    let tag = EndpointTag::of(&listed.listing.start);
    let limit = view.limits.get(&tag);
    limit.map_or(by_slots, |per_s| {
        by_slots.min(per_s.max(MIN_PER_S) / 1_000.0)
    })
}
