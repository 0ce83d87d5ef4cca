//! Who is sent, who waits and who is refused.
//!
//! Requests that find room are sent at once. Others wait here, not at the endpoint:
//! the more urgent first, and among equals those that can still meet their
//! objective before those that cannot, then by the end of their time. A request
//! that will not get its turn in time is refused as soon as that is known, with a
//! time to come back.

mod choose;
mod job;
mod kept;
mod view;

use indexmap::IndexMap;

use crate::gateway::limit::{EndpointLoad, ServiceLimit};
use crate::gateway::pace::EndpointTag;
use crate::ids::{EndpointStart, ServiceName};
use crate::time::Mono;

use choose::Finding;
use kept::Kept;

pub use job::{Choice, Decision, Job, Refusal, RefusalReason, UnknownOutcomeReason};
pub use kept::AT_MOST_ONCE_IDLE_MS;
pub use view::{Owners, ReportedLoad, View};

/// Shortest time to come back that a refused caller is told, in milliseconds.
const MIN_RETRY_MS: u64 = 60;

/// First and longest time for which a range is left alone after its holder said that
/// it does not hold it, in milliseconds: a grant that is under way takes a few.
///
/// After each time one request tries, not all that wait: those that are refused count
/// as second sends.
const NOT_HELD_MS: (u64, u64) = (50, 800);

/// The same for a range on its way to another owner, in milliseconds: its holder does
/// not take it back, and the next owner has another fence.
const RELEASED_MS: u64 = 1_500;

/// The same where nobody serves the request at the moment: a move takes up to this long.
const MOVE_RETRY_MS: u64 = 400;

/// The same where all endpoints of a service are in evacuated zones, in milliseconds: until one
/// is taken back, or endpoints join elsewhere.
const EVACUATED_RETRY_MS: u64 = 1_000;

/// Time to come back to another instance, in milliseconds: the balancer sends a new
/// connection to one that does not stop.
pub const STOPPING_RETRY_MS: u64 = 20;

/// Ranks of priority that are counted apart; the rest count with the last.
const RANKS: usize = 4;

/// First and longest time for which an endpoint is avoided that failed to take a
/// connection, in milliseconds.
const AVOID_MS: (u64, u64) = (250, 4_000);

/// The same for an endpoint that reset a connection, in milliseconds: it takes fewer
/// while its queue is long, and has room again once a request or two has ended.
const RESET_MS: (u64, u64) = (50, 800);

/// How long an endpoint is avoided whose address another process has, in
/// milliseconds: until its entry has lapsed.
const GONE_MS: u64 = 6_000;

/// Admission of requests at one instance.
#[derive(Debug, Default)]
pub struct Admission {
    waiting: Vec<Job>,
    in_flight: IndexMap<EndpointTag, u32>,
    /// Requests that wait, by where they do and by rank, as of the last look.
    wanted: IndexMap<EndpointTag, [u32; RANKS]>,
    avoided: IndexMap<EndpointTag, Avoided>,
    /// Requests that this instance may have at services without keys.
    limits: IndexMap<ServiceName, ServiceLimit>,
    /// Cold endpoints that are to get nothing until then.
    cold_busy: IndexMap<EndpointTag, Mono>,
    /// Holders that said they do not hold the keys, by fence and first key.
    not_held: IndexMap<(u64, u16), Avoided>,
    /// Endpoints with requests in flight: since when none was answered.
    unanswered: IndexMap<EndpointTag, Mono>,
    /// When each fence was first seen as an owner's.
    fences: IndexMap<u64, Mono>,
    /// When each move was first seen, by the fence of the next owner.
    moving: IndexMap<u64, Mono>,
    /// Endpoints to which a connection is open.
    kept: Kept,
    /// Number for choices between equals.
    turn: u64,
    /// The process ends then.
    ends_at: Option<Mono>,
}

#[derive(Debug, Clone, Copy)]
struct Avoided {
    until: Mono,
    for_ms: u64,
}

impl Admission {
    /// Decides about a request that has just come or comes back after a failed send.
    ///
    /// `None` while it waits; [`Admission::pump`] decides about it later.
    pub fn submit(&mut self, now: Mono, view: &View, mut job: Job) -> Option<Decision> {
        job.deadline = self
            .ends_at
            .map_or(job.deadline, |end| job.deadline.min(end));
        let queue_key = Self::queue_key(view, &job);
        let ahead = self.ahead(queue_key, job.priority);
        let found = if ahead > 0 {
            Finding::Wait(RefusalReason::Overloaded)
        } else {
            self.find(now, view, &job)
        };
        let cause = match found {
            Finding::Send(choice) => return Some(self.send(now, &job, choice)),
            Finding::Wait(cause) => cause,
        };
        if let Some(refusal) = hopeless(now, view, &job, ahead, cause) {
            return Some(Decision::Refuse(refusal));
        }
        self.wanted.entry(queue_key).or_default()[rank(job.priority)] += 1;
        self.waiting.push(job);
        None
    }

    /// Looks through those that wait; returns all that are decided.
    pub fn decide_waiting(&mut self, now: Mono, view: &View) -> Vec<(u64, Decision)> {
        let mut decided = Vec::new();
        let mut jobs = std::mem::take(&mut self.waiting);
        jobs.sort_by_key(|job| urgency(now, job));
        self.wanted.clear();
        for job in &jobs {
            let queue_key = Self::queue_key(view, job);
            self.wanted.entry(queue_key).or_default()[rank(job.priority)] += 1;
        }
        // Those that found no room before this one, by where they wait.
        let mut ahead = IndexMap::<EndpointTag, u32>::new();
        for job in jobs {
            let queue_key = Self::queue_key(view, &job);
            let before = ahead.get(&queue_key).copied().unwrap_or_default();
            let found = if before > 0 {
                Finding::Wait(RefusalReason::Overloaded)
            } else {
                self.find(now, view, &job)
            };
            let decision = match found {
                Finding::Send(choice) => Some(self.send(now, &job, choice)),
                Finding::Wait(cause) => {
                    hopeless(now, view, &job, before, cause).map(Decision::Refuse)
                }
            };
            let Some(decision) = decision else {
                *ahead.entry(queue_key).or_default() += 1;
                self.waiting.push(job);
                continue;
            };
            if let Some(wanted) = self.wanted.get_mut(&queue_key) {
                let count = &mut wanted[rank(job.priority)];
                *count = count.saturating_sub(1);
            }
            decided.push((job.ticket, decision));
        }
        decided
    }

    /// Has all requests that wait, and those that come, end by `end`.
    ///
    /// Failure: an instance stops while requests wait here for an owner that is busy or
    /// lost, and their connections end with the process without an answer. With the
    /// end of the process as the end of their time, those that will not get their turn
    /// are refused, and their callers go to another instance.
    pub fn limit_deadlines(&mut self, end: Mono) {
        self.ends_at = Some(end);
        for job in &mut self.waiting {
            job.deadline = job.deadline.min(end);
        }
    }

    /// Sends a request to its endpoint, unless its work would outlast this instance.
    ///
    /// Failure: a place gets free for a request that has waited at an instance that ends a
    /// moment later. Its work is broken off, and its caller does not know whether it ran.
    /// Refused, it comes to another instance within 20 ms.
    fn send(&mut self, now: Mono, job: &Job, choice: Choice) -> Decision {
        let done = now.plus(job.expected_ms());
        if self.ends_at.is_some_and(|end| done > end) {
            return Decision::Refuse(Refusal {
                reason: RefusalReason::Stopping,
                retry_after_ms: STOPPING_RETRY_MS,
            });
        }
        self.sent(now, &choice.endpoint);
        Decision::Send(choice)
    }

    /// Takes a request out whose caller has left.
    pub fn remove(&mut self, ticket: u64) {
        self.waiting.retain(|job| job.ticket != ticket);
    }

    /// Notes that a request is no longer in flight at the endpoint.
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

    /// Notes that the endpoint took no connection or fell silent.
    pub fn record_failure(&mut self, now: Mono, endpoint: &EndpointStart) {
        self.avoid(now, endpoint, AVOID_MS);
    }

    /// Notes that the endpoint reset a connection.
    ///
    /// Failure: keys in demand come to a new owner, and all instances send there before
    /// they know of each other. It resets what is beyond its limit, work that may not be
    /// repeated is then lost, and the rest is sent again at once.
    pub fn record_reset(&mut self, now: Mono, endpoint: &EndpointStart) {
        self.avoid(now, endpoint, RESET_MS);
    }

    fn avoid(&mut self, now: Mono, endpoint: &EndpointStart, bounds_ms: (u64, u64)) {
        let tag = EndpointTag::of(endpoint);
        self.kept.lost(tag);
        let before = self.avoided.get(&tag).copied();
        if before.is_some_and(|avoided| now < avoided.until) {
            return;
        }
        let (first_ms, longest_ms) = bounds_ms;
        let for_ms = before.map_or(first_ms, |avoided| (avoided.for_ms * 2).min(longest_ms));
        let until = now.plus(for_ms);
        self.avoided.insert(tag, Avoided { until, for_ms });
    }

    /// Notes that a cold endpoint is to get nothing until then: others use what it can do.
    pub fn hold_back_cold(&mut self, endpoint: &EndpointStart, until: Mono) {
        self.cold_busy.insert(EndpointTag::of(endpoint), until);
    }

    /// Takes an answer of a service without keys, and what the endpoint said of its load.
    pub fn record_load(&mut self, view: &View, service: &ServiceName, load: Option<EndpointLoad>) {
        let in_flight = self.in_flight_at(view, service);
        let limit = self.limits.entry(service.clone()).or_default();
        limit.record_answer(load, in_flight);
    }

    /// Notes that an endpoint of a service without keys had no room for a request.
    pub fn record_rejection(&mut self, now: Mono, view: &View, service: &ServiceName) {
        let in_flight = self.in_flight_at(view, service);
        let limit = self.limits.entry(service.clone()).or_default();
        limit.record_rejection(now, in_flight);
    }

    /// Requests of this instance at all endpoints of a service.
    fn in_flight_at(&self, view: &View, service: &ServiceName) -> u32 {
        let all = view.registry.of_service(service);
        let tags = all.map(|known| EndpointTag::of(&known.listing.start));
        tags.filter_map(|tag| self.in_flight.get(&tag)).sum()
    }

    /// Notes that the endpoint answered a request that it ran.
    pub fn record_answer(&mut self, now: Mono, choice: &Choice, key: Option<u16>) {
        let tag = EndpointTag::of(&choice.endpoint);
        self.avoided.swap_remove(&tag);
        self.kept.idle(now, tag);
        if let Some(since) = self.unanswered.get_mut(&tag) {
            *since = now;
        }
        if let (Some(fence), Some(_)) = (choice.fence, key) {
            self.not_held.retain(|(of, _), _| *of != fence);
        }
    }

    /// Notes that another process has the endpoint's address: it has ended.
    pub fn record_replaced(&mut self, now: Mono, endpoint: &EndpointStart) {
        let for_ms = GONE_MS;
        let until = now.plus(for_ms);
        self.avoided
            .insert(EndpointTag::of(endpoint), Avoided { until, for_ms });
    }

    /// Notes that the endpoint does not hold the keys that were granted by `fence`.
    pub fn record_not_held(&mut self, now: Mono, view: &View, job: &Job, fence: u64) {
        let Some(range) = choose::range_of(view, job) else {
            return;
        };
        let at = (fence, range.first);
        let before = self.not_held.get(&at);
        let for_ms = if range.is_moving() {
            RELEASED_MS
        } else {
            before.map_or(NOT_HELD_MS.0, |avoided| {
                (avoided.for_ms * 2).min(NOT_HELD_MS.1)
            })
        };
        let until = now.plus(for_ms);
        self.not_held.insert(at, Avoided { until, for_ms });
    }

    /// Takes a new view: notes which owners are new.
    pub fn update_view(&mut self, now: Mono, view: &View) {
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
    }

    /// Requests in flight and waiting for each endpoint, for the next report.
    pub fn usage(&self) -> impl Iterator<Item = (EndpointTag, u32, u32)> {
        let in_flight = self
            .in_flight
            .iter()
            .map(|(tag, count)| (*tag, *count, self.wanted(*tag)));
        let only_waiting = self
            .wanted
            .iter()
            .filter(|(tag, _)| !self.in_flight.contains_key(*tag))
            .map(|(tag, ranks)| (*tag, 0, ranks.iter().sum()));
        in_flight.chain(only_waiting)
    }

    /// Number of requests that wait.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    fn sent(&mut self, now: Mono, endpoint: &EndpointStart) {
        let tag = EndpointTag::of(endpoint);
        *self.in_flight.entry(tag).or_default() += 1;
        self.kept.used(tag);
        self.unanswered.entry(tag).or_insert(now);
    }

    fn wanted(&self, queue_key: EndpointTag) -> u32 {
        self.wanted
            .get(&queue_key)
            .map_or(0, |ranks| ranks.iter().sum())
    }

    /// Requests that wait in the same queue and go before one of this priority.
    fn ahead(&self, queue_key: EndpointTag, priority: u8) -> u32 {
        let ranks = self.wanted.get(&queue_key);
        ranks.map_or(0, |ranks| ranks[..=rank(priority)].iter().sum())
    }
}

/// Refuses a request that will not get its turn in time; `ahead` go before it.
fn hopeless(
    now: Mono,
    view: &View,
    job: &Job,
    ahead: u32,
    cause: RefusalReason,
) -> Option<Refusal> {
    let wait_ms = choose::expected_wait_ms(view, job, ahead);
    let due = now.plus(wait_ms + job.work_ms);
    let is_evacuated = cause == RefusalReason::Evacuated;
    // Work that misses its objective is still worth something; whoever cannot
    // meet even the end of his time only keeps others waiting.
    if due < job.deadline && !is_evacuated {
        return None;
    }
    let left = job.caller_deadline.since(now);
    let least = match cause {
        RefusalReason::Evacuated => EVACUATED_RETRY_MS,
        RefusalReason::KeyUnowned | RefusalReason::Unreachable | RefusalReason::NoEndpoint => {
            MOVE_RETRY_MS
        }
        _ => MIN_RETRY_MS,
    };
    // Spread by a fifth to either side, so that callers do not return together.
    let wish = wait_ms.max(least) * (80 + job.ticket % 41) / 100;
    Some(Refusal {
        reason: cause,
        retry_after_ms: wish.min(left / 3).max(MIN_RETRY_MS),
    })
}

/// Order among those that wait; the smallest goes first.
///
/// Load: one key is asked for twice as often as its endpoint can answer, for seconds.
/// In order of deadlines alone, all that are served are late. Those that would be late
/// go behind those that can still be in time, and take what is left.
fn urgency(now: Mono, job: &Job) -> (u8, bool, Mono) {
    let usual = now.plus(job.expected_ms());
    (job.priority, usual > job.objective_at, job.deadline)
}

/// Place of a priority among the ranks that are counted apart.
fn rank(priority: u8) -> usize {
    usize::from(priority).min(RANKS - 1)
}
