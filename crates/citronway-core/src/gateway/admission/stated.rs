//! What endpoints stated of themselves, as far as it decides whether they are sent requests.
//!
//! A statement in an answer to this instance counts at once; those of other instances come with the
//! view.

use indexmap::{IndexMap, IndexSet};

use super::choose::{range_of, reason_without_endpoint};
use super::{Admission, Choice, Job, RefusalReason, View};
use crate::gateway::assignment::Range;
use crate::gateway::pace::EndpointTag;
use crate::gateway::registry::ListedEndpoint;
use crate::ids::EndpointStart;
use crate::time::Mono;

/// Time in milliseconds for which a statement to this instance is kept here. By then the view has
/// it.
const KEPT_MS: u64 = 10_000;

/// Endpoints that stated to this instance that they leave.
#[derive(Debug, Default)]
pub(super) struct OwnDepartures(IndexMap<EndpointTag, OwnDeparture>);

#[derive(Debug, Clone, Copy)]
struct OwnDeparture {
    at: Mono,
    /// Time until which requests for the endpoint's keys are sent to it.
    owned_work_until: Mono,
}

impl OwnDepartures {
    pub(super) fn prune(&mut self, now: Mono) {
        self.0.retain(|_, own| now.since(own.at) < KEPT_MS);
    }
}

impl Admission {
    /// Records an answer in which an endpoint stated that it leaves. Requests for its keys are sent
    /// to it until `owned_work_until`, unless an earlier answer said so.
    pub fn record_departure(&mut self, now: Mono, endpoint: EndpointTag, owned_work_until: Mono) {
        self.departures.0.entry(endpoint).or_insert(OwnDeparture {
            at: now,
            owned_work_until,
        });
    }

    /// Records an answer in which an endpoint asked this instance for rest. Returns whether a rest has
    /// begun.
    pub fn record_rest(&mut self, now: Mono, endpoint: EndpointTag, rest_ms: u64) -> bool {
        self.rests.record(now, endpoint, rest_ms)
    }

    /// Endpoints that rest now, each with the time that is left, in milliseconds.
    pub fn resting(&self, now: Mono) -> impl Iterator<Item = (EndpointTag, u64)> {
        self.rests.resting(now)
    }

    /// Takes the endpoints whose rest has ended since the last call.
    pub fn take_ended_rests(&mut self, now: Mono) -> Vec<EndpointTag> {
        self.rests.take_ended(now)
    }

    /// Takes the number of requests that were queued for endpoints that rest, since the last call.
    pub fn take_held_for_rest(&mut self) -> u64 {
        std::mem::take(&mut self.held_for_rest)
    }

    /// Whether the request waits since the owner of its key rejected it a moment ago, or may wait
    /// for room for its bytes. Others in its queue do not wait for it.
    pub(super) fn is_paused(now: Mono, view: &View, job: &Job) -> bool {
        let is_rejected = !job.pauses.is_empty()
            && range_of(view, job).is_some_and(|range| job.is_paused(now, &range.holder.endpoint));
        is_rejected || Self::is_long(view, job)
    }

    pub(super) fn prune_rests(&mut self, now: Mono, view: &View) {
        let listed = view.registry.iter();
        let listed: IndexSet<_> = listed
            .map(|listed| EndpointTag::of(&listed.listing.start))
            .collect();
        self.rests.prune(now, |tag| listed.contains(&tag));
    }

    /// Whether the endpoint states that it leaves.
    #[must_use]
    pub fn is_leaving(&self, endpoint: EndpointTag) -> bool {
        self.departures.0.contains_key(&endpoint)
    }

    /// Whether the endpoint may be sent new requests that another one could serve too.
    pub(super) fn accepts_work(&self, listed: &ListedEndpoint, tag: EndpointTag) -> bool {
        listed.accepts_work() && !self.is_leaving(tag)
    }

    /// Whether the endpoint may be sent requests that no other one can serve.
    pub(super) fn accepts_owned_work(
        &self,
        now: Mono,
        listed: &ListedEndpoint,
        tag: EndpointTag,
    ) -> bool {
        let own = self.departures.0.get(&tag);
        listed.accepts_owned_work(now) && own.is_none_or(|own| now < own.owned_work_until)
    }

    /// Endpoints of the job's service that may be sent it: those that stay, or else those that leave
    /// and still serve.
    pub(super) fn accepting<'v>(
        &self,
        now: Mono,
        view: &'v View,
        job: &'v Job,
    ) -> Vec<&'v ListedEndpoint> {
        let all = || view.registry.of_service(&job.service);
        let tag = |listed: &ListedEndpoint| EndpointTag::of(&listed.listing.start);
        let staying: Vec<_> = all()
            .filter(|listed| self.accepts_work(listed, tag(listed)))
            .collect();
        if !staying.is_empty() {
            return staying;
        }
        all()
            .filter(|listed| self.accepts_owned_work(now, listed, tag(listed)))
            .collect()
    }

    /// Whether an admitted request may still be sent to the endpoint that was chosen for it.
    ///
    /// Time passes between the choice and the send: a request waits for a trial, for grants and for
    /// a connection, and meanwhile answers to other requests arrive.
    #[must_use]
    pub fn may_send(&self, now: Mono, view: &View, job: &Job, choice: &Choice) -> bool {
        let Some(listed) = view.registry.get(&choice.endpoint) else {
            return false;
        };
        let tag = EndpointTag::of(&choice.endpoint);
        if self.rests.until(now, tag).is_some() {
            return false;
        }
        if choice.fence.is_some() {
            let is_holder =
                range_of(view, job).is_some_and(|range| range.holder.endpoint == choice.endpoint);
            return is_holder && self.accepts_owned_work(now, listed, tag);
        }
        if self.accepts_work(listed, tag) {
            return true;
        }
        let accepting = self.accepting(now, view, job);
        let mut accepting = accepting.iter();
        accepting.any(|other| other.listing.start == choice.endpoint)
    }

    /// Reason for refusing a request whose owner gets no more work.
    pub(super) fn reason_without_owner(
        &self,
        view: &View,
        job: &Job,
        range: &Range,
        listed: &ListedEndpoint,
    ) -> RefusalReason {
        let reason = reason_without_endpoint(view, job);
        if reason != RefusalReason::NoEndpoint {
            return reason;
        }
        let tag = EndpointTag::of(&listed.listing.start);
        let leaves = listed.states_departure() || self.is_leaving(tag);
        if leaves && !range.is_moving() && !view.has_leader {
            return RefusalReason::EndpointLeaving;
        }
        RefusalReason::KeyUnowned
    }

    /// Whether the endpoint of this start states that it leaves, or is not listed.
    #[must_use]
    pub fn has_left(&self, view: &View, endpoint: &EndpointStart) -> bool {
        let known = view.registry.get(endpoint);
        known.is_none_or(ListedEndpoint::is_leaving) || self.is_leaving(EndpointTag::of(endpoint))
    }
}
