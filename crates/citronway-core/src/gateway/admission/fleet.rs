//! Decisions by the demand of all instances: room by rank, expected waits and times to retry.
//!
//! Without demand that is young enough each function decides as if it were not there.

use super::choose::{random, range_of, still_in_flight};
use super::refuse::MIN_RETRY_MS;
use super::{Admission, Job, Refusal, RefusalReason, View};
use crate::gateway::assignment::Range;
use crate::gateway::fleet_admission::{
    AdmissionShares, DemandLedger, FleetDemand, KEPT_PART, QueueDemand, QueueSums, RETURN_STEP_MS,
    RETURN_STEPS, class_index, rank_index, whole,
};
use crate::gateway::pace::EndpointTag;
use crate::gateway::registry::ListedEndpoint;
use crate::gateway::share::{self, Demand};
use crate::time::Mono;

/// Time that a caller has to have spent to count as one that comes back, in milliseconds: the
/// shortest time to retry that is ever stated. One that repeats at once counts as a newcomer.
const RETURN_AFTER_MS: u64 = MIN_RETRY_MS;

/// Time between two sums, in milliseconds, for which a decision by them has to hold.
const SUMS_INTERVAL_MS: u64 = 200;

/// Makes the draw of the kept part independent of the one that divides room among instances.
const KEPT_PART_SEED: u64 = 0x6b65_7074_0000_0000;

/// Use of the demand of all instances.
#[derive(Debug, Default)]
pub(super) struct FleetAdmission {
    is_on: bool,
    ledger: DemandLedger,
    counts: FleetCounts,
}

/// Decisions by the demand of all instances, since the last look.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FleetCounts {
    /// Requests that arrived from callers who came back after a refusal.
    pub returned: u64,
    /// Refusals whose time to retry has room by the sums.
    pub with_room_later: u64,
    /// Refusals for which the sums show no room within a third of the caller's time.
    pub without_room: u64,
}

impl Admission {
    /// Admission that uses the demand of all instances, and reports its own, if `is_on`.
    #[must_use]
    pub fn with_fleet_admission(mut self, is_on: bool) -> Self {
        self.fleet.is_on = is_on;
        self
    }

    /// Demand of the other instances, if it is used and young enough.
    #[must_use]
    pub fn fleet_demand<'v>(&self, now: Mono, view: &'v View) -> Option<&'v FleetDemand> {
        let fleet = view.fleet.as_ref()?;
        (self.fleet.is_on && fleet.is_fresh(now)).then_some(fleet)
    }

    /// Demand at this instance for the next report; `None` if it reports none.
    ///
    /// An instance that no endpoint answers passes its requests on. It reports none that wait, so that
    /// others leave no room to requests that it cannot send.
    pub fn take_demand(&mut self, now: Mono, view: &View) -> Option<Vec<QueueDemand>> {
        if !self.fleet.is_on {
            return None;
        }
        self.fleet.ledger.update(now);
        if self.links.is_cut_off() {
            return Some(Vec::new());
        }
        let mut queues: indexmap::IndexSet<_> = self.wanted.keys().copied().collect();
        queues.extend(self.fleet.ledger.promised());
        // Arrivals at this instance count where requests wait at others.
        queues.extend(view.fleet.iter().flat_map(FleetDemand::contended));
        let demands = queues.into_iter().map(|queue| {
            let waiting = self.wanted.get(&queue).copied().unwrap_or_default();
            QueueDemand {
                returns: self.fleet.ledger.returns(now, queue, 1.0).map(whole),
                ..self.fleet.ledger.demand(queue, waiting)
            }
        });
        let has_any =
            |demand: &QueueDemand| demand.is_contended() || demand.arrivals.iter().any(|n| *n > 0);
        Some(demands.filter(has_any).collect())
    }

    /// Takes the number of decisions since the last call.
    pub fn take_fleet_counts(&mut self) -> FleetCounts {
        std::mem::take(&mut self.fleet.counts)
    }

    /// Demand of all instances for a request's queue; `None` if it is not used.
    #[must_use]
    pub fn shares(&self, now: Mono, view: &View, job: &Job) -> Option<AdmissionShares> {
        let fleet = self.fleet_demand(now, view)?;
        let queue = Self::queue_key(view, job);
        let others = fleet.queue(queue).map(|sums| sums.others);
        let others = others.unwrap_or_default();
        let reported = view.reported_loads.get(&queue);
        let others_waiting = reported.map_or(0, |reported| reported.waiting);
        let waiting = self.wanted.get(&queue).copied().unwrap_or_default();
        let own = self.fleet.ledger.demand(queue, waiting);
        Some(AdmissionShares::new(&own, &others, others_waiting))
    }

    /// Class of a request: that of its rank alone without the demand of all instances.
    pub(super) fn class(&self, now: Mono, view: &View, job: &Job) -> usize {
        let is_late = job.is_late(now) && self.fleet_demand(now, view).is_some();
        class_index(job.priority, is_late)
    }

    pub(super) fn record_arrival(&mut self, queue: EndpointTag, job: &Job) {
        // A request that returns from a failed send has arrived before.
        if !self.fleet.is_on || !job.tried.is_empty() || !job.pauses.is_empty() {
            return;
        }
        if job.has_returned() {
            self.fleet.counts.returned += 1;
            return;
        }
        let rank = rank_index(job.priority);
        self.fleet.ledger.record_arrival(queue, rank);
    }

    /// Records when the caller of a refused request is expected back.
    pub(super) fn record_refusal(&mut self, now: Mono, view: &View, job: &Job, refusal: &Refusal) {
        if !self.fleet.is_on || refusal.reason != RefusalReason::Overloaded {
            return;
        }
        if self.fleet_demand(now, view).is_some() {
            if self.step_with_room(now, view, job).is_some() {
                self.fleet.counts.with_room_later += 1;
            } else {
                self.fleet.counts.without_room += 1;
            }
        }
        let queue = Self::queue_key(view, job);
        let ledger = &mut self.fleet.ledger;
        ledger.record_promise(now, queue, refusal.retry_after_ms);
    }

    /// Whether a request with `ahead` others before it in its queue waits for them. In a time in
    /// which its rank uses the part that it keeps, it waits only for those of its class.
    pub(super) fn is_behind(&self, now: Mono, view: &View, job: &Job, ahead: u32) -> bool {
        if ahead == 0 {
            return false;
        }
        if self.fleet_demand(now, view).is_none() {
            return true;
        }
        let queue = Self::queue_key(view, job);
        let class = self.class(now, view, job);
        self.equal_ahead(queue, class, ahead) > 0 || !is_kept_time(now, view, queue, job)
    }

    /// Of `ahead` requests before one in its queue, those of its class.
    fn equal_ahead(&self, queue: EndpointTag, class: usize, ahead: u32) -> u32 {
        let counts = self.wanted.get(&queue).copied().unwrap_or_default();
        let urgent: u32 = counts.iter().take(class).sum();
        ahead.saturating_sub(urgent)
    }

    /// Whether the owner of a request's key has room for it.
    pub(super) fn owner_has_room(
        &self,
        now: Mono,
        view: &View,
        listed: &ListedEndpoint,
        job: &Job,
    ) -> bool {
        let tag = EndpointTag::of(&listed.listing.start);
        let Some(shares) = self.shares(now, view, job) else {
            let waiting = self.wanted(tag).max(1);
            return self.has_room(now, view, listed, tag, waiting, job.work_ms);
        };
        let in_flight = self.in_flight.get(&tag).copied().unwrap_or_default();
        let returning = self.rests.max_in_flight(tag);
        if returning.is_some_and(|max| in_flight >= max) {
            return false;
        }
        let class = self.class(now, view, job);
        let limit = share::in_flight_limit(listed.listing.slots)
            .saturating_sub(left_to_urgent(now, view, tag, job, &shares));
        let mine = shares.mine(class);
        let reported = view.reported_loads.get(&tag);
        if let Some(sum) = reported.filter(|reported| reported.is_sum) {
            let all_in_flight = in_flight + still_in_flight(sum.in_flight, job.work_ms);
            // Those that arrive until the next sums want a part too.
            let equal = shares.equal(class) + shares.equal_within(class, SUMS_INTERVAL_MS);
            let random = random(now, view.rank, tag);
            return share::share_of_free(limit, all_in_flight, mine, equal, random) > 0;
        }
        let sums = self.fleet_demand(now, view).and_then(|f| f.queue(tag));
        let others = reported.map_or(&[][..], |reported| &reported.others);
        let others: Vec<_> = others
            .iter()
            .map(|other| demand_of_class(*other, sums, class))
            .map(|other| with_tie_order(other, tag))
            .collect();
        let me = Demand {
            rank: view.rank,
            wanted: in_flight + mine,
        };
        in_flight < share::fair_share(limit, with_tie_order(me, tag), &others)
    }

    /// Whether a request without a key gets some of the room of its service, after what more urgent
    /// ones wait for.
    pub(super) fn rank_has_room(&self, now: Mono, view: &View, job: &Job) -> bool {
        let Some(shares) = self.shares(now, view, job) else {
            return true;
        };
        let queue = Self::queue_key(view, job);
        let class = self.class(now, view, job);
        let urgent = left_to_urgent(now, view, queue, job, &shares);
        let equal = shares.equal(class);
        let mine = shares.mine(class);
        if urgent == 0 && equal == mine {
            return true;
        }
        let free = self.free_at(now, view, job).saturating_sub(urgent);
        let equal = equal + shares.equal_within(class, SUMS_INTERVAL_MS);
        let random = random(now, view.rank, queue);
        share::share_of_free(free, 0, mine, equal, random) > 0
    }

    /// Number of requests that all endpoints which may run a request have room for.
    fn free_at(&self, now: Mono, view: &View, job: &Job) -> u32 {
        let endpoints = self.accepting(now, view, job);
        let free = endpoints.iter().map(|listed| {
            let tag = EndpointTag::of(&listed.listing.start);
            if self.is_avoided(now, tag) || self.rests.until(now, tag).is_some() {
                return 0;
            }
            let own = self.in_flight.get(&tag).copied().unwrap_or_default();
            let reported = view.reported_loads.get(&tag);
            let others = reported.map_or(0, |reported| {
                if reported.is_sum {
                    still_in_flight(reported.in_flight, job.work_ms)
                } else {
                    reported.in_flight
                }
            });
            share::in_flight_limit(listed.listing.slots).saturating_sub(own + others)
        });
        free.sum()
    }

    /// Expected wait by the demand of all instances; `None` if it is not used.
    ///
    /// Requests for a range that moves wait for its next owner, and the sums count them at the
    /// present one.
    pub(super) fn fleet_wait_ms(
        &self,
        now: Mono,
        view: &View,
        job: &Job,
        ahead: u32,
    ) -> Option<u64> {
        if range_of(view, job).is_some_and(Range::is_moving) {
            return None;
        }
        let shares = self.shares(now, view, job)?;
        let class = self.class(now, view, job);
        let before = self.equal_ahead(Self::queue_key(view, job), class, ahead);
        Some(shares.wait_ms(class, before, self.served_per_ms(now, view, job)))
    }

    /// Time to retry by the demand of all instances; `None` if it is not used.
    ///
    /// Callers honour up to a third of their time left. If there is no room by then, the longest
    /// time that they honour gives others the best chance.
    pub(super) fn fleet_retry_ms(&self, now: Mono, view: &View, job: &Job) -> Option<u64> {
        self.fleet_demand(now, view)?;
        let longest = longest_retry_ms(now, job);
        let retry_ms = match self.step_with_room(now, view, job) {
            // Callers of a step are spread over it.
            Some(step) => step * RETURN_STEP_MS + job.ticket * 37 % 100 * RETURN_STEP_MS / 100,
            None => longest * (80 + job.ticket % 21) / 100,
        };
        Some(retry_ms.min(longest).max(MIN_RETRY_MS))
    }

    /// First step in which there is room for the caller of a refused request.
    fn step_with_room(&self, now: Mono, view: &View, job: &Job) -> Option<u64> {
        let shares = self.shares(now, view, job)?;
        let queue = Self::queue_key(view, job);
        let others = f64::from(view.instances.max(1));
        let class = self.class(now, view, job);
        let factor = shares.of_all(class).min(others);
        let mut returns = self.fleet.ledger.returns(now, queue, factor);
        let sums = self.fleet_demand(now, view).and_then(|f| f.queue(queue));
        for (sum, other) in returns
            .iter_mut()
            .zip(sums.map_or([0; RETURN_STEPS], |s| s.others.returns))
        {
            *sum += f64::from(other);
        }
        let last = usize::try_from(longest_retry_ms(now, job) / RETURN_STEP_MS).ok()?;
        let per_ms = self.served_per_ms(now, view, job);
        let shares = shares.with_returns(returns);
        let class_at = |step: usize| {
            let at = now.plus(step as u64 * RETURN_STEP_MS);
            class_index(job.priority, job.is_late(at))
        };
        let step = shares.return_step(last, per_ms, class_at)?;
        u64::try_from(step).ok()
    }
}

impl Job {
    /// Whether the caller comes back after a refusal, having waited as it was told.
    #[must_use]
    pub const fn has_returned(&self) -> bool {
        self.spent_ms >= RETURN_AFTER_MS
    }
}

/// Order of queued requests with the demand of all instances; the smallest goes first.
///
/// Requests that can still meet their objective go first, by rank. Callers that come back after a
/// refusal go before newcomers.
pub(super) fn queue_order(now: Mono, job: &Job) -> (bool, u8, bool, Mono) {
    let is_new = !job.has_returned();
    (job.is_late(now), job.priority, is_new, job.deadline)
}

/// Longest time to retry that the caller honours, in milliseconds.
fn longest_retry_ms(now: Mono, job: &Job) -> u64 {
    job.caller_deadline.since(now) / 3
}

/// Room that a request leaves to more urgent ones of all instances.
fn left_to_urgent(
    now: Mono,
    view: &View,
    queue: EndpointTag,
    job: &Job,
    shares: &AdmissionShares,
) -> u32 {
    if is_kept_time(now, view, queue, job) {
        return 0;
    }
    let class = class_index(job.priority, job.is_late(now));
    shares.urgent(class) + shares.urgent_within(class, SUMS_INTERVAL_MS)
}

/// Whether the rank of a request that can be in time uses the part that it keeps at this instance
/// now: for a tenth of the time it counts as the most urgent one. An endpoint has room for a few requests only, so that
/// a tenth of them would be none.
fn is_kept_time(now: Mono, view: &View, queue: EndpointTag, job: &Job) -> bool {
    if job.is_late(now) {
        return false;
    }
    let seed = view.rank ^ KEPT_PART_SEED ^ u64::from(job.priority);
    random(now, seed, queue) < KEPT_PART
}

/// Requests of another instance in flight and waiting, of those that wait only the ones of a class.
fn demand_of_class(other: Demand, sums: Option<&QueueSums>, class: usize) -> Demand {
    let mut instances = sums.map_or(&[][..], |sums| &sums.instances).iter();
    let Some(known) = instances.find(|known| known.instance == other.rank) else {
        return other;
    };
    let waiting: u32 = known.waiting.iter().sum();
    let of_class = known.waiting.get(class).copied().unwrap_or_default();
    Demand {
        rank: other.rank,
        wanted: other.wanted.saturating_sub(waiting) + of_class,
    }
}

/// Demand with a rank that orders instances differently at each queue. Of instances with the same
/// demand the first ones get what is left over, which would always be the same ones.
fn with_tie_order(demand: Demand, queue: EndpointTag) -> Demand {
    let seed = u64::from(queue.0);
    let rank = xxhash_rust::xxh3::xxh3_64_with_seed(&demand.rank.to_le_bytes(), seed);
    Demand { rank, ..demand }
}
