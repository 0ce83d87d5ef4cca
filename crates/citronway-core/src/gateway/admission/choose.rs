//! Endpoint selection: by key owner, or by least load among the endpoints with room.

use crate::gateway::admission::{Admission, Choice, Job, RefusalReason, ReportedLoad, View};
use crate::gateway::assignment::Range;
use crate::gateway::pace::EndpointTag;
use crate::gateway::registry::ListedEndpoint;
use crate::gateway::report::MAX_FULL_MESH;
use crate::gateway::share::{self, Demand};
use crate::time::Mono;

/// Time after a new owner is first seen in which it gets no requests, in milliseconds.
///
/// The row arrives about 5 ms before the grant reaches the owner. A request that is sent
/// earlier is refused, and its retry counts against the retry budget.
const NEW_OWNER_GRACE_MS: u64 = 15;

/// Time in which requests for a moving range wait for the next owner instead of being sent to
/// the holder, in milliseconds.
///
/// Load: the holder is asked to release the range within a few milliseconds after the row is
/// written. With 87 instances and a hundred pending moves, each instance was refused by each
/// holder, 40,000 times a day, and exhausted its retry budget. A move that takes longer waits for
/// a holder that does not answer the leader but may answer other instances.
const RELEASE_WAIT_MS: u64 = 1_000;

/// Assumed slowness of a cold endpoint, relative to a warm one.
pub(super) const COLD_SLOWNESS: f64 = 2.0;

/// Load added for an endpoint in another zone: a share of its slots for an empty answer, and
/// more for each kilobyte.
///
/// Traffic between zones costs money. A request with a short answer crosses zones when a third
/// of the local slots are in use, which leaves room for a burst; one with an answer of
/// 90 kilobytes only when no local endpoint has room.
const OTHER_ZONE_LOAD: f64 = 0.35;
const OTHER_ZONE_LOAD_PER_KB: f64 = 0.05;

/// Sampling weight of an endpoint in another zone, relative to one in the own zone.
pub(super) const OTHER_ZONE_WEIGHT: f64 = 0.25;

/// Number of endpoints that are sampled for a request.
const SAMPLE_SIZE: u64 = 2;

/// Load subtracted for an endpoint with a reusable idle connection, as a share of its slots.
///
/// Load: 89 instances that spread requests over 112 endpoints opened a connection for nearly
/// every request, which costs an endpoint 1 ms and adds a round trip.
const IDLE_CONNECTION_LOAD: f64 = 0.3;

/// Fewest slots of an endpoint that is preferred for its idle connection.
///
/// Load: 87 instances that each preferred one of 74 endpoints with two slots overloaded some of
/// them. Such endpoints stop responding, and 2,600 of 10,166 non-idempotent requests failed,
/// against 840 when all endpoints were used in rotation. With six slots the preference helps.
const MIN_REUSE_SLOTS: u32 = 4;

/// Average age of the fleet-wide sums when they are used, in milliseconds: half of the interval
/// between two reports, and half of that between two of the leader's sums. A delegate on the
/// path adds 50 ms, which is left out since work takes longer in fleets with delegates.
const SUMS_AGE_MS: f64 = 200.0;

/// Time for which an instance keeps the random number that decides about a fraction of a slot,
/// in milliseconds: until the next sums arrive.
const DRAW_PERIOD_MS: u64 = 200;

/// Load added for an unresponsive endpoint, so that it is chosen only if all others are full.
const UNRESPONSIVE_LOAD: f64 = 100.0;

/// Result of the search for an endpoint.
#[derive(Debug)]
pub(super) enum Selection {
    /// Send the request to this endpoint.
    Send(Choice),
    /// No endpoint can take it now; the reason applies if the request is refused.
    Wait(RefusalReason),
}

/// Range that contains the key of a job; `None` without a key or an assignment.
pub(super) fn range_of<'a>(view: &'a View, job: &Job) -> Option<&'a Range> {
    let owners = view.owners.get(&job.service)?;
    owners.assignment.range_at(job.key?)
}

impl Admission {
    /// Searches for an endpoint that can take a job.
    pub(super) fn find(&mut self, now: Mono, view: &View, job: &Job) -> Selection {
        if self.links.is_cut_off() {
            if job.is_forwarded || !self.links.begin_trial(now, job.repeat) {
                return Selection::Wait(RefusalReason::Unreachable);
            }
            self.avoided.clear();
        }
        match job.key {
            Some(_) => self.find_owner(now, view, job),
            None => self.find_least_loaded(now, view, job),
        }
    }

    /// Queue of a request: that of the endpoint that holds its key, or that of the service.
    pub(super) fn queue_key(view: &View, job: &Job) -> EndpointTag {
        range_of(view, job).map_or_else(
            || EndpointTag::of_text(job.service.as_str()),
            |range| EndpointTag::of(&range.holder.endpoint),
        )
    }

    /// Reason for refusing a request behind others in its queue.
    pub(super) fn reason_to_queue(&self, now: Mono, view: &View, job: &Job) -> RefusalReason {
        let queue_key = Self::queue_key(view, job);
        if self.rests.until(now, queue_key).is_some() {
            return RefusalReason::EndpointResting;
        }
        if view.limits.contains_key(&queue_key) {
            return RefusalReason::EndpointLimited;
        }
        RefusalReason::Overloaded
    }

    fn find_owner(&mut self, now: Mono, view: &View, job: &Job) -> Selection {
        let Some(range) = range_of(view, job) else {
            return Selection::Wait(RefusalReason::KeyUnowned);
        };
        let holder = &range.holder;
        let is_new_owner = self
            .fences
            .get(&holder.fence)
            .is_none_or(|at| now.since(*at) < NEW_OWNER_GRACE_MS);
        let at = (holder.fence, range.first);
        let not_held = self
            .not_held
            .get(&at)
            .is_some_and(|avoided| now < avoided.until);
        if not_held || (is_new_owner && !range.is_moving()) || self.is_being_released(now, range) {
            return Selection::Wait(RefusalReason::KeyUnowned);
        }
        let Some(listed) = view.registry.get(&holder.endpoint) else {
            return Selection::Wait(RefusalReason::KeyUnowned);
        };
        let tag = EndpointTag::of(&holder.endpoint);
        if !self.accepts_owned_work(now, listed, tag) {
            return Selection::Wait(self.reason_without_owner(view, job, range, listed));
        }
        if self.rests.until(now, tag).is_some() {
            return Selection::Wait(RefusalReason::EndpointResting);
        }
        if job.is_paused(now, &holder.endpoint) {
            return Selection::Wait(RefusalReason::EndpointRefused);
        }
        if self.is_cold_busy(now, tag) {
            return Selection::Wait(RefusalReason::Overloaded);
        }
        if self.is_limit_used(now, view, tag) {
            return Selection::Wait(RefusalReason::EndpointLimited);
        }
        if self.is_avoided(now, tag) {
            return Selection::Wait(RefusalReason::Unreachable);
        }
        if !self.owner_has_room(now, view, listed, job) || !self.has_byte_room(view, job, tag) {
            return Selection::Wait(RefusalReason::Overloaded);
        }
        // Only one request at a time is sent to a holder that said it does not hold the keys.
        if let Some(avoided) = self.not_held.get_mut(&at) {
            avoided.until = now.plus(avoided.for_ms);
        }
        Selection::Send(Choice {
            endpoint: holder.endpoint.clone(),
            address: holder.address,
            fence: Some(holder.fence),
            timed: None,
        })
    }

    /// Whether the range moves and its holder is expected to release it shortly.
    fn is_being_released(&self, now: Mono, range: &Range) -> bool {
        let Some(next) = &range.next else {
            return false;
        };
        let since = self.moving.get(&next.fence);
        since.is_none_or(|since| now.since(*since) < RELEASE_WAIT_MS)
    }

    fn find_least_loaded(&mut self, now: Mono, view: &View, job: &Job) -> Selection {
        self.sequence += 1;
        if !self.service_has_room(view, job) || !self.rank_has_room(now, view, job) {
            return Selection::Wait(RefusalReason::Overloaded);
        }
        let endpoints = self.accepting(now, view, job);
        if endpoints.is_empty() {
            return Selection::Wait(reason_without_endpoint(view, job));
        }
        let has_untried = endpoints
            .iter()
            .any(|listed| !job.tried.contains(&listed.listing.start));
        let urgency = self.timing.urgency(now, job);
        let mut candidates = Vec::with_capacity(endpoints.len());
        let mut estimates = Vec::new();
        let mut cause = RefusalReason::Unreachable;
        for (i, listed) in endpoints.iter().enumerate() {
            if has_untried && job.tried.contains(&listed.listing.start) {
                continue;
            }
            let tag = EndpointTag::of(&listed.listing.start);
            if self.is_avoided(now, tag) {
                continue;
            }
            let rests = self.rests.until(now, tag).is_some();
            if rests || job.is_paused(now, &listed.listing.start) {
                if cause == RefusalReason::Unreachable {
                    cause = rejected_cause(rests);
                }
                continue;
            }
            if self.is_limit_used(now, view, tag) {
                cause = RefusalReason::EndpointLimited;
                continue;
            }
            let cold_busy = self.is_cold_busy(now, tag);
            if cold_busy
                || !self.has_room(now, view, listed, tag, 1, job.work_ms)
                || !self.has_byte_room(view, job, tag)
            {
                cause = RefusalReason::Overloaded;
                continue;
            }
            let mut load =
                self.load(now, view, listed, tag) + answer_transfer_load(view, listed, job);
            let estimate = urgency.map(|_| self.estimate(now, view, listed, tag, job));
            let by_work = || self.is_unresponsive(now, job, tag);
            if estimate.map_or_else(by_work, |estimate| estimate.is_silent) {
                load += UNRESPONSIVE_LOAD;
            }
            estimates.extend(estimate);
            let slots = listed.listing.slots;
            if slots >= MIN_REUSE_SLOTS && self.idle_connections.has_reusable(now, tag, job.repeat)
            {
                load -= IDLE_CONNECTION_LOAD;
            }
            // The rank makes instances begin at different endpoints.
            let tie_break =
                (view.rank.wrapping_add(self.sequence + i as u64)) % endpoints.len() as u64;
            let weight = weight(now, view, listed, tag);
            candidates.push(Candidate {
                load,
                tie_break,
                weight,
                listed,
            });
        }
        if let Some(urgency) = urgency
            && let Some(place) = self.choose_timed(now, view, job, urgency, &estimates)
        {
            let listing = &candidates[place].listed.listing;
            return Selection::Send(Choice {
                endpoint: listing.start.clone(),
                address: listing.address,
                fence: None,
                timed: Some(estimates[place].reason(now, job, urgency)),
            });
        }
        let best = if is_reported_late(view, job) {
            least_loaded_of_sample(&candidates, view.rank, self.sequence)
        } else {
            least_loaded(candidates.iter())
        };
        let Some(Candidate { listed, .. }) = best else {
            return Selection::Wait(cause);
        };
        Selection::Send(Choice {
            endpoint: listed.listing.start.clone(),
            address: listed.listing.address,
            fence: None,
            timed: None,
        })
    }

    /// Whether the limit of this instance at a service allows one more request.
    fn service_has_room(&self, view: &View, job: &Job) -> bool {
        let Some(limit) = self.limits.get(&job.service) else {
            return true;
        };
        let in_flight = self.in_flight_at(view, &job.service);
        limit.has_room(in_flight, random_fraction(view.rank, self.sequence))
    }

    pub(super) fn is_avoided(&self, now: Mono, tag: EndpointTag) -> bool {
        self.avoided
            .get(&tag)
            .is_some_and(|avoided| now < avoided.until)
    }

    fn is_cold_busy(&self, now: Mono, tag: EndpointTag) -> bool {
        self.cold_busy.get(&tag).is_some_and(|until| now < *until)
    }

    /// Whether the endpoint states a limit and this instance has to wait for the next send.
    fn is_limit_used(&self, now: Mono, view: &View, tag: EndpointTag) -> bool {
        let blocked = self.send_grants.blocked_until(now, tag);
        blocked.is_some() && view.limits.contains_key(&tag)
    }

    /// Whether this instance may send one more request to the endpoint.
    pub(super) fn has_room(
        &self,
        now: Mono,
        view: &View,
        listed: &ListedEndpoint,
        tag: EndpointTag,
        waiting: u32,
        work_ms: u64,
    ) -> bool {
        let in_flight = self.in_flight.get(&tag).copied().unwrap_or_default();
        let returning = self.rests.max_in_flight(tag);
        if returning.is_some_and(|max| in_flight >= max) {
            return false;
        }
        let me = Demand {
            rank: view.rank,
            wanted: in_flight + waiting,
        };
        let in_flight_limit = share::in_flight_limit(listed.listing.slots);
        let reported = view.reported_loads.get(&tag);
        if let Some(sum) = reported.filter(|reported| reported.is_sum) {
            let all_in_flight = in_flight + still_in_flight(sum.in_flight, work_ms);
            let all_waiting = waiting + sum.waiting;
            let random = random(now, view.rank, tag);
            return share::share_of_free(
                in_flight_limit,
                all_in_flight,
                waiting,
                all_waiting,
                random,
            ) > 0;
        }
        let others = reported.map_or(&[][..], |reported| &reported.others);
        let allowed = share::fair_share(in_flight_limit, me, others);
        in_flight < allowed
    }

    /// Estimated completion time of a request at the endpoint, in units of an average request.
    fn load(&self, now: Mono, view: &View, listed: &ListedEndpoint, tag: EndpointTag) -> f64 {
        let unknown = ReportedLoad::unknown();
        let reported = view.reported_loads.get(&tag).unwrap_or(&unknown);
        let in_flight = self.in_flight.get(&tag).copied().unwrap_or_default();
        let used = f64::from(in_flight + reported.in_flight) / f64::from(listed.listing.slots);
        let cold = if listed.is_cold(now) {
            COLD_SLOWNESS
        } else {
            1.0
        };
        let failing = 1.0 / (1.0 - reported.failure_ratio.min(0.9));
        let far = if listed.listing.zone == view.zone {
            0.0
        } else {
            OTHER_ZONE_LOAD
        };
        // The first term is the request itself: at an endpoint without other requests only the
        // speed and the zone count.
        (1.0 + used + far) * reported.slowness * cold * failing
    }
}

/// Reason for refusing a request for whose service no endpoint accepts work;
/// [`RefusalReason::NoEndpoint`] also if one does.
pub(super) fn reason_without_endpoint(view: &View, job: &Job) -> RefusalReason {
    let mut reason = RefusalReason::NoEndpoint;
    for listed in view.registry.of_service(&job.service) {
        if listed.accepts_work() {
            return RefusalReason::NoEndpoint;
        }
        if listed.is_evacuated() {
            reason = RefusalReason::Evacuated;
        } else if listed.states_departure() && reason == RefusalReason::NoEndpoint {
            reason = RefusalReason::EndpointLeaving;
        }
    }
    reason
}

/// Reason for refusing a request where all endpoints that it could be sent to rest, or rejected it
/// a moment ago.
const fn rejected_cause(rests: bool) -> RefusalReason {
    if rests {
        RefusalReason::EndpointResting
    } else {
        RefusalReason::EndpointRefused
    }
}

/// Load added for the transfer of an answer from another availability zone.
fn answer_transfer_load(view: &View, listed: &ListedEndpoint, job: &Job) -> f64 {
    if listed.listing.zone == view.zone {
        return 0.0;
    }
    job.answer_bytes as f64 / 1_024.0 * OTHER_ZONE_LOAD_PER_KB
}

/// Estimated number of other instances' requests that are still in flight, of those that the
/// sums count.
///
/// Load: with work of 250 ms, half of the requests in flight have ended by the time the sums
/// arrive. Counting them all left half of the slots idle.
pub(super) fn still_in_flight(reported_count: u32, work_ms: u64) -> u32 {
    let part = (-(SUMS_AGE_MS / work_ms.max(1) as f64)).exp();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "at most the reported number"
    )]
    let left = (f64::from(reported_count) * part).round() as u32;
    left
}

/// Random number from 0 to 1 that an instance uses for an endpoint; it changes every
/// [`DRAW_PERIOD_MS`].
pub(super) fn random(now: Mono, rank: u64, tag: EndpointTag) -> f64 {
    let period = now.0 / DRAW_PERIOD_MS;
    let seed = rank ^ period.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&tag.0.to_le_bytes(), seed);
    hash as f64 / u64::MAX as f64
}

/// An endpoint that could take a request.
struct Candidate<'a> {
    /// Estimated completion time of a request there, in units of an average request.
    load: f64,
    /// Order among candidates of equal load.
    tie_break: u64,
    /// Sampling weight, relative to the other candidates.
    weight: f64,
    listed: &'a ListedEndpoint,
}

/// Whether reports of other instances' requests arrive later than the work takes.
fn is_reported_late(view: &View, job: &Job) -> bool {
    view.instances as usize > MAX_FULL_MESH && (job.work_ms as f64) < SUMS_AGE_MS
}

/// Sampling weight of an endpoint: its expected throughput, reduced for another zone.
fn weight(now: Mono, view: &View, listed: &ListedEndpoint, tag: EndpointTag) -> f64 {
    let unknown = ReportedLoad::unknown();
    let reported = view.reported_loads.get(&tag).unwrap_or(&unknown);
    let cold = if listed.is_cold(now) {
        COLD_SLOWNESS
    } else {
        1.0
    };
    let far = if listed.listing.zone == view.zone {
        1.0
    } else {
        OTHER_ZONE_WEIGHT
    };
    let well = 1.0 - reported.failure_ratio.min(0.9);
    f64::from(listed.listing.slots) * well * far / (reported.slowness * cold)
}

fn least_loaded<'c, 'k>(
    candidates: impl Iterator<Item = &'c Candidate<'k>>,
) -> Option<&'c Candidate<'k>>
where
    'k: 'c,
{
    candidates.min_by(|a, b| {
        a.load
            .total_cmp(&b.load)
            .then(a.tie_break.cmp(&b.tie_break))
    })
}

/// The less loaded of two endpoints that are sampled by weight (power of two choices).
///
/// Load: hundreds of instances have the same information about 40 endpoints and none about
/// each other's last 200 ms. Each sent to the apparently least loaded endpoint, which reset the
/// connections that exceeded its queue.
fn least_loaded_of_sample<'c, 'k>(
    candidates: &'c [Candidate<'k>],
    rank: u64,
    sequence: u64,
) -> Option<&'c Candidate<'k>> {
    let all = candidates
        .iter()
        .map(|candidate| candidate.weight)
        .sum::<f64>();
    let draw = |n: u64| {
        let mut left =
            random_fraction(rank, sequence.wrapping_mul(SAMPLE_SIZE).wrapping_add(n)) * all;
        let passed = candidates.iter().position(|candidate| {
            left -= candidate.weight;
            left < 0.0
        });
        passed.or_else(|| candidates.len().checked_sub(1))
    };
    let indices = (0..SAMPLE_SIZE).filter_map(draw);
    least_loaded(indices.map(|i| &candidates[i]))
}

/// Pseudorandom number from 0 to 1 for a rank and a sequence number.
pub(super) fn random_fraction(rank: u64, sequence: u64) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&sequence.to_le_bytes(), rank);
    hash as f64 / u64::MAX as f64
}
