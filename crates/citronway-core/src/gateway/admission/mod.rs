//! Admission control: which requests are sent, queued or refused.
//!
//! A request for which an endpoint has room is sent at once. Others are queued here, not at the
//! endpoint, by priority; among equals those that can still meet their latency objective go
//! first, then those with the earlier deadline. A request that cannot be served before its
//! deadline is refused as soon as that is known (load shedding), with a time to retry.

mod another;
mod bytes;
mod choose;
mod fleet;
mod hot_keys;
mod job;
mod kept;
mod links;
mod refuse;
mod rests;
mod stated;
mod timing;
mod unreachable;
mod view;
mod wait;

use indexmap::IndexMap;

use crate::gateway::endpoint_bytes::OwnBytes;
use crate::gateway::fleet_admission::CLASSES;
use crate::gateway::limit::{EndpointLoad, ServiceLimit};
use crate::gateway::pace::EndpointTag;
use crate::gateway::settings::Switch;
use crate::gateway::stated_limits::{SendGrant, SendGrants};
use crate::ids::{EndpointStart, ServiceName};
use crate::time::Mono;

use another::StatedLoads;
use choose::Selection;
use fleet::FleetAdmission;
use hot_keys::KeyArrivals;
use kept::IdleConnections;
use links::{EndpointLinks, LinkFailure};
use rests::Rests;
use stated::OwnDepartures;
use timing::Timing;

pub use fleet::FleetCounts;
pub use job::{Choice, Decision, Job, Refusal, RefusalReason, SendPause, UnknownOutcomeReason};
pub use kept::AT_MOST_ONCE_IDLE_MS;
pub use timing::{TimedChoice, Urgency};
pub use view::{Neighbor, Owners, ReportedLoad, View};

/// Initial and longest time for which no request is sent for a range whose holder said that it
/// does not hold it, in milliseconds. A grant in transit takes a few milliseconds.
///
/// After that time one request is sent, not all that wait, since each one that is refused
/// counts against the retry budget.
const NOT_HELD_MS: (u64, u64) = (50, 800);

/// Time for which no request is sent for a moving range whose holder said that it does not hold
/// it, in milliseconds. The holder does not get the range back, and the next owner has another
/// fence.
const RELEASED_RANGE_MS: u64 = 1_500;

/// Shortest retry-after time while no endpoint can serve the request, in milliseconds: a move
/// takes up to this long.
const MOVE_RETRY_MS: u64 = 400;

/// Retry-after time of an instance that shuts down, in milliseconds. The load balancer directs
/// a new connection to another instance.
pub const STOPPING_RETRY_MS: u64 = 20;

/// Initial and longest time for which an endpoint is avoided after it accepted no connection
/// or stopped responding, in milliseconds.
const AVOID_MS: (u64, u64) = (250, 4_000);

/// Initial and longest time for which an endpoint is avoided after it reset a connection, in
/// milliseconds. It resets connections while its queue is full and has room again once one or
/// two requests have ended.
const RESET_MS: (u64, u64) = (50, 800);

/// Time for which an endpoint is avoided after another process was found at its address, in
/// milliseconds: until its entry has expired.
const REPLACED_MS: u64 = 6_000;

/// Admission of requests at one instance.
#[derive(Debug, Default)]
pub struct Admission {
    waiting: Vec<Job>,
    in_flight: IndexMap<EndpointTag, u32>,
    /// Number of waiting requests by queue and class, as of the last decision.
    wanted: IndexMap<EndpointTag, [u32; CLASSES]>,
    /// Bytes of requests in flight.
    bytes: OwnBytes,
    avoided: IndexMap<EndpointTag, Avoided>,
    /// Limits on this instance's requests in flight at services without keys.
    limits: IndexMap<ServiceName, ServiceLimit>,
    /// Cold endpoints, and the time until which they get no requests.
    cold_busy: IndexMap<EndpointTag, Mono>,
    /// Grants for sends to endpoints that state a limit.
    send_grants: SendGrants,
    /// Ranges whose holder said that it does not hold them, by fence and first key.
    not_held: IndexMap<(u64, u16), Avoided>,
    /// Endpoints with requests in flight, and since when none was answered.
    unanswered: IndexMap<EndpointTag, Mono>,
    /// When each holder's fence was first seen.
    fences: IndexMap<u64, Mono>,
    /// When each move was first seen, by the fence of the next owner.
    moving: IndexMap<u64, Mono>,
    /// Idle open connections.
    idle_connections: IdleConnections,
    links: EndpointLinks,
    departures: OwnDepartures,
    rests: Rests,
    timing: Timing,
    stated_loads: StatedLoads,
    /// Requests that were queued for an endpoint that rests, since the last look.
    held_for_rest: u64,
    /// Queues whose endpoints no other instance reaches either, and until when that is assumed.
    not_forwarded: IndexMap<EndpointTag, Mono>,
    /// Recent arrivals for keys, at services whose hot ranges are divided at once.
    key_arrivals: KeyArrivals,
    /// Sequence number that varies the choice between equal endpoints.
    sequence: u64,
    /// When the process ends; `None` unless it is shutting down.
    ends_at: Option<Mono>,
    /// Use of the demand of all instances.
    fleet: FleetAdmission,
}

/// A time of avoidance, which grows with each failure.
#[derive(Debug, Clone, Copy)]
struct Avoided {
    until: Mono,
    for_ms: u64,
}

impl Admission {
    /// Admission that chooses endpoints of services without keys by expected end as `choice` says.
    #[must_use]
    pub fn new(choice: Switch) -> Self {
        Self {
            timing: Timing::new(choice),
            ..Self::default()
        }
    }

    /// Services without keys whose endpoints are chosen by when a request is expected to end there.
    pub fn timed_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.timing.services()
    }

    /// Decides about a request that has just arrived or returns after a failed send.
    ///
    /// Returns `None` if the request is queued; [`Admission::decide_waiting`] decides about it
    /// later.
    pub fn submit(&mut self, now: Mono, view: &View, mut job: Job) -> Option<Decision> {
        job.deadline = self
            .ends_at
            .map_or(job.deadline, |end| job.deadline.min(end));
        self.links.update(now, &self.unanswered);
        let queue_key = Self::queue_key(view, &job);
        self.record_arrival(queue_key, &job);
        self.record_key_arrival(now, view, &job);
        let class = self.class(now, view, &job);
        let ahead = self.ahead(queue_key, class);
        let ahead = ahead.saturating_sub(self.hot_ahead(view, queue_key, &job));
        let selection = if self.is_behind(now, view, &job, ahead) {
            Selection::Wait(self.reason_to_queue(now, view, &job))
        } else {
            self.find(now, view, &job)
        };
        let cause = match selection {
            Selection::Send(choice) => return Some(self.send(now, view, &job, choice)),
            Selection::Wait(cause) => cause,
        };
        if let Some(decision) = self.decide_unreachable(now, view, &job, cause) {
            return Some(decision);
        }
        if let Some(refusal) = self.refuse_if_late(now, view, &job, ahead, cause) {
            self.record_refusal(now, view, &job, &refusal);
            return Some(Decision::Refuse(refusal));
        }
        if cause == RefusalReason::EndpointResting {
            self.held_for_rest += 1;
        }
        if !Self::is_paused(now, view, &job) {
            self.wanted.entry(queue_key).or_default()[class] += 1;
        }
        self.waiting.push(job);
        None
    }

    /// Decides about queued requests that can now be sent or refused, and returns them by
    /// ticket.
    pub fn decide_waiting(&mut self, now: Mono, view: &View) -> Vec<(u64, Decision)> {
        self.links.update(now, &self.unanswered);
        let mut decided = Vec::new();
        let mut jobs = std::mem::take(&mut self.waiting);
        if self.fleet_demand(now, view).is_some() {
            jobs.sort_by_cached_key(|job| {
                let (is_late, priority, is_new, deadline) = fleet::queue_order(now, job);
                let is_hot = self.is_for_hot_key(view, job);
                (is_late, priority, is_hot, is_new, deadline)
            });
        } else {
            jobs.sort_by_cached_key(|job| {
                let (priority, is_late, deadline) = queue_order(now, job);
                (priority, self.is_for_hot_key(view, job), is_late, deadline)
            });
        }
        self.wanted.clear();
        for job in jobs.iter().filter(|job| !Self::is_paused(now, view, job)) {
            let queue_key = Self::queue_key(view, job);
            let class = self.class(now, view, job);
            self.wanted.entry(queue_key).or_default()[class] += 1;
        }
        // Number of requests that found no room before this one, by queue.
        let mut ahead = IndexMap::<EndpointTag, u32>::new();
        for job in jobs {
            let queue_key = Self::queue_key(view, &job);
            let before = ahead.get(&queue_key).copied().unwrap_or_default();
            let selection = if self.is_behind(now, view, &job, before) {
                Selection::Wait(self.reason_to_queue(now, view, &job))
            } else {
                self.find(now, view, &job)
            };
            let decision = match selection {
                Selection::Send(choice) => Some(self.send(now, view, &job, choice)),
                Selection::Wait(cause) => {
                    self.decide_unreachable(now, view, &job, cause).or_else(|| {
                        let refusal = self.refuse_if_late(now, view, &job, before, cause)?;
                        self.record_refusal(now, view, &job, &refusal);
                        Some(Decision::Refuse(refusal))
                    })
                }
            };
            let Some(decision) = decision else {
                if !Self::is_paused(now, view, &job) {
                    *ahead.entry(queue_key).or_default() += 1;
                }
                self.waiting.push(job);
                continue;
            };
            let class = self.class(now, view, &job);
            if let Some(wanted) = self.wanted.get_mut(&queue_key) {
                let count = &mut wanted[class];
                *count = count.saturating_sub(1);
            }
            decided.push((job.ticket, decision));
        }
        decided
    }

    /// Limits the deadlines of queued and future requests to `end`, the end of the process.
    ///
    /// Failure: an instance stops while requests are queued for an owner that is busy or lost,
    /// and their connections close without an answer. With the end of the process as their
    /// deadline, requests that cannot be served by then are refused, and their callers go to
    /// another instance.
    pub fn limit_deadlines(&mut self, end: Mono) {
        self.ends_at = Some(end);
        for job in &mut self.waiting {
            job.deadline = job.deadline.min(end);
        }
    }

    /// Whether the process is to end before a deadline.
    #[must_use]
    pub fn ends_before(&self, deadline: Mono) -> bool {
        self.ends_at.is_some_and(|end| end < deadline)
    }

    /// Admits a request to its endpoint, or refuses it if its work would outlast this instance.
    ///
    /// Failure: a slot becomes free for a queued request just before its instance ends. The
    /// work is aborted, and the caller does not know whether it ran. A refused request reaches
    /// another instance within 20 ms.
    fn send(&mut self, now: Mono, view: &View, job: &Job, choice: Choice) -> Decision {
        let done = now.plus(job.expected_ms());
        if self.ends_at.is_some_and(|end| done > end) {
            return Decision::Refuse(Refusal {
                reason: RefusalReason::Stopping,
                retry_after_ms: STOPPING_RETRY_MS,
            });
        }
        self.record_sent(now, &choice.endpoint);
        let tag = EndpointTag::of(&choice.endpoint);
        self.bytes.begin(tag, job.ticket, job.body_bytes);
        if view.limits.contains_key(&tag) {
            self.send_grants.begin_send(now, tag, job.ticket);
        }
        Decision::Send(choice)
    }

    /// Number of sends to a limited endpoint that an admitted request has to ask for before it is
    /// sent; `None` if it may be sent without.
    #[must_use]
    pub fn grants_to_ask(&self, endpoint: &EndpointStart, ticket: u64) -> Option<u32> {
        self.send_grants
            .count_to_ask(EndpointTag::of(endpoint), ticket)
    }

    /// Records that an admitted request ended before it had an answer to what it asked.
    pub fn withdraw_ask(&mut self, ticket: u64) {
        self.send_grants.withdraw(ticket);
    }

    /// Records the answer to a request that asked for sends.
    pub fn record_grant(
        &mut self,
        now: Mono,
        endpoint: &EndpointStart,
        ticket: u64,
        grant: SendGrant,
    ) {
        self.send_grants
            .record(now, EndpointTag::of(endpoint), ticket, grant);
    }

    /// Removes a queued request whose caller has disconnected.
    pub fn remove(&mut self, ticket: u64) {
        self.waiting.retain(|job| job.ticket != ticket);
    }

    /// Records that a request is no longer in flight at the endpoint.
    pub fn record_finished(&mut self, endpoint: &EndpointStart) {
        let tag = EndpointTag::of(endpoint);
        let Some(count) = self.in_flight.get_mut(&tag) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.in_flight.swap_remove(&tag);
            self.unanswered.swap_remove(&tag);
        }
    }

    /// Records that the endpoint accepted no connection or stopped responding.
    pub fn record_failure(&mut self, now: Mono, endpoint: &EndpointStart) {
        let tag = EndpointTag::of(endpoint);
        self.links
            .record_failure(now, tag, LinkFailure::NotConnected);
        self.avoid(now, endpoint, AVOID_MS);
    }

    /// Records that the endpoint reset a connection.
    ///
    /// Failure: keys in demand move to a new owner, and all instances send to it before they
    /// know of each other's requests. It resets the connections beyond its limit, so that
    /// non-idempotent requests are lost and the others are retried at once.
    pub fn record_reset(&mut self, now: Mono, endpoint: &EndpointStart) {
        self.avoid(now, endpoint, RESET_MS);
    }

    fn avoid(&mut self, now: Mono, endpoint: &EndpointStart, bounds_ms: (u64, u64)) {
        let tag = EndpointTag::of(endpoint);
        self.idle_connections.remove(tag);
        let before = self.avoided.get(&tag).copied();
        if before.is_some_and(|avoided| now < avoided.until) {
            return;
        }
        let (first_ms, longest_ms) = bounds_ms;
        let for_ms = before.map_or(first_ms, |avoided| (avoided.for_ms * 2).min(longest_ms));
        let until = now.plus(for_ms);
        self.avoided.insert(tag, Avoided { until, for_ms });
    }

    /// Sends nothing to a cold endpoint until `until`, since other instances use its capacity.
    pub fn hold_back_cold(&mut self, endpoint: &EndpointStart, until: Mono) {
        self.cold_busy.insert(EndpointTag::of(endpoint), until);
    }

    /// Records an answer of a service without keys, with the load that the endpoint stated.
    pub fn record_load(&mut self, view: &View, service: &ServiceName, load: Option<EndpointLoad>) {
        let in_flight = self.in_flight_at(view, service);
        let limit = self.limits.entry(service.clone()).or_default();
        limit.record_answer(load, in_flight);
    }

    /// Records that an endpoint of a service without keys had no room for a request.
    pub fn record_rejection(&mut self, now: Mono, view: &View, service: &ServiceName) {
        let in_flight = self.in_flight_at(view, service);
        let limit = self.limits.entry(service.clone()).or_default();
        limit.record_rejection(now, in_flight);
    }

    /// Number of this instance's requests in flight at all endpoints of a service.
    fn in_flight_at(&self, view: &View, service: &ServiceName) -> u32 {
        let all = view.registry.of_service(service);
        let tags = all.map(|known| EndpointTag::of(&known.listing.start));
        tags.filter_map(|tag| self.in_flight.get(&tag)).sum()
    }

    /// Records that the endpoint answered a request that it ran.
    pub fn record_answer(&mut self, now: Mono, choice: &Choice, key: Option<u16>) {
        let tag = EndpointTag::of(&choice.endpoint);
        if self.links.is_cut_off() {
            // The links are back, also those that are avoided on account of the cut.
            self.avoided.clear();
        }
        self.links.record_answer(now, tag);
        self.rests.record_answer(now, tag);
        self.avoided.swap_remove(&tag);
        self.idle_connections.record_idle(now, tag);
        if let Some(since) = self.unanswered.get_mut(&tag) {
            *since = now;
        }
        if let (Some(fence), Some(_)) = (choice.fence, key) {
            self.not_held.retain(|(of, _), _| *of != fence);
        }
    }

    /// Records that another process listens on the endpoint's address, so the endpoint has
    /// ended.
    pub fn record_replaced(&mut self, now: Mono, endpoint: &EndpointStart) {
        let for_ms = REPLACED_MS;
        let until = now.plus(for_ms);
        self.avoided
            .insert(EndpointTag::of(endpoint), Avoided { until, for_ms });
    }

    /// Records that the endpoint does not hold the keys that were granted by `fence`.
    pub fn record_not_held(&mut self, now: Mono, view: &View, job: &Job, fence: u64) {
        let Some(range) = choose::range_of(view, job) else {
            return;
        };
        let at = (fence, range.first);
        let before = self.not_held.get(&at);
        let for_ms = if range.is_moving() {
            RELEASED_RANGE_MS
        } else {
            before.map_or(NOT_HELD_MS.0, |avoided| {
                (avoided.for_ms * 2).min(NOT_HELD_MS.1)
            })
        };
        let until = now.plus(for_ms);
        self.not_held.insert(at, Avoided { until, for_ms });
    }

    /// Updates what depends on the view: when owners and moves were first seen.
    pub fn update_view(&mut self, now: Mono, view: &View) {
        self.timing.update(view);
        let mut seen = IndexMap::with_capacity(self.fences.len());
        let mut moving = IndexMap::new();
        for owners in view.owners.values() {
            for range in &owners.assignment.ranges {
                let fence = range.holder.fence;
                let at = self.fences.get(&fence).copied().unwrap_or(now);
                seen.insert(fence, at);
                if let Some(next) = &range.next {
                    let at = self.moving.get(&next.fence).copied().unwrap_or(now);
                    moving.insert(next.fence, at);
                }
            }
        }
        self.fences = seen;
        self.moving = moving;
        self.not_held
            .retain(|(fence, _), _| self.fences.contains_key(fence));
        self.cold_busy.retain(|_, until| now < *until);
        self.departures.prune(now);
        self.stated_loads.prune(now);
        self.key_arrivals.prune(now);
        self.prune_rests(now, view);
        self.send_grants
            .retain(|tag| view.limits.contains_key(&tag));
    }

    /// Number of requests in flight and waiting for each endpoint, for the next report.
    pub fn usage(&self) -> impl Iterator<Item = (EndpointTag, u32, u32)> {
        let in_flight = self
            .in_flight
            .iter()
            .map(|(tag, count)| (*tag, *count, self.wanted(*tag)));
        let only_waiting = self
            .wanted
            .iter()
            .filter(|(tag, _)| !self.in_flight.contains_key(*tag))
            .map(|(tag, counts)| (*tag, 0, counts.iter().sum()));
        in_flight.chain(only_waiting)
    }

    /// Number of queued requests.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    fn record_sent(&mut self, now: Mono, endpoint: &EndpointStart) {
        let tag = EndpointTag::of(endpoint);
        *self.in_flight.entry(tag).or_default() += 1;
        self.idle_connections.record_use(tag);
        self.unanswered.entry(tag).or_insert(now);
    }

    fn wanted(&self, queue_key: EndpointTag) -> u32 {
        self.wanted
            .get(&queue_key)
            .map_or(0, |counts| counts.iter().sum())
    }

    /// Number of requests in the same queue that go before one of this class.
    fn ahead(&self, queue_key: EndpointTag, class: usize) -> u32 {
        let counts = self.wanted.get(&queue_key);
        counts.map_or(0, |counts| counts[..=class].iter().sum())
    }
}

/// Order of queued requests; the smallest goes first.
///
/// Load: one key gets twice the requests that its endpoint can answer, for seconds. In order of
/// deadlines alone, all requests that are served miss their objective. So requests that would
/// miss it go after those that can still meet it.
fn queue_order(now: Mono, job: &Job) -> (u8, bool, Mono) {
    (job.priority, job.is_late(now), job.deadline)
}
