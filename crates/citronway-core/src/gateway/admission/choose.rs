//! The endpoint for a request, if one has room.

use crate::gateway::admission::{Admission, Choice, Job, RefusalReason, ReportedLoad, View};
use crate::gateway::assignment::Range;
use crate::gateway::pace::EndpointTag;
use crate::gateway::registry::ListedEndpoint;
use crate::gateway::report::MAX_FULL_MESH;
use crate::gateway::share::{self, Demand};
use crate::time::Mono;

/// How long a new owner is left alone until its grant has reached it, in
/// milliseconds. The row is seen about 5 ms before; a request that comes earlier is
/// refused and counts as a second send.
const FRESH_OWNER_MS: u64 = 15;

/// How long a range on its way is waited for instead of its holder, in milliseconds.
///
/// Load: the holder is told to let go within a few milliseconds of the row. With 87
/// instances and a hundred moves under way each instance met the refusal of each holder,
/// 40,000 in a day, and used up its second sends. A move that takes longer waits for a
/// holder that does not answer the leader; it may answer others.
const LEAVES_WITHIN_MS: u64 = 1_000;

/// How much slower a cold endpoint is taken for.
const COLD_SLOWNESS: f64 = 2.0;

/// Share of an endpoint's slots that must be taken before another zone is as good, for an
/// answer of no size, and how much more for each kilobyte.
///
/// Bytes between zones are paid for. A short answer crosses for a third of the slots,
/// which leaves room for a burst; one of 90 kilobytes only when nothing nearer has room.
const OTHER_ZONE_LOAD: f64 = 0.35;
const OTHER_ZONE_LOAD_PER_KB: f64 = 0.05;

/// How often an endpoint of another zone is drawn, beside one of the own.
const OTHER_ZONE_WEIGHT: f64 = 0.25;

/// Endpoints that are drawn for a request.
const DRAWS: u64 = 2;

/// Share of an endpoint's slots that a kept connection to it is worth.
///
/// Load: 89 instances that spread over all of 112 endpoints opened a connection for nearly
/// every request, each of which takes an endpoint 1 ms and a round trip more.
const KEPT_LOAD: f64 = 0.3;

/// Fewest slots of an endpoint to which instances return for a kept connection.
///
/// Load: 87 instances that each had a favourite among 74 endpoints of two slots overran
/// some of them; these keep silent then, and 2,600 of 10,166 requests that may not be
/// repeated failed, where 840 did when all were used in turn. With six slots it gained.
const KEPT_SLOTS: u32 = 4;

/// Age of the sums when they are used, on average, in milliseconds: half of the time
/// between two reports, and half of that between two of the leader's sums. A delegate in
/// between adds 50, which is left out: work takes longer in the fleets that have them.
const SUMS_AGE_MS: f64 = 200.0;

/// How long an instance keeps the chance that it drew for a fraction of a place, in
/// milliseconds: until the next sums come.
const CHANCE_MS: u64 = 200;

/// Silence of an endpoint with requests in flight that makes it suspect: this many
/// times the usual work, and at least this many milliseconds.
const SILENT_WORKS: u64 = 4;
const SILENT_MS: u64 = 500;

/// Load that is added for a suspect endpoint: it is chosen only if all others are full.
const SILENT_LOAD: f64 = 100.0;

/// Result of looking for an endpoint.
#[derive(Debug)]
pub(super) enum Finding {
    Send(Choice),
    /// None has room; the reason to state if the request is refused for it.
    Wait(RefusalReason),
}

/// The range that holds the key of a job.
pub(super) fn range_of<'a>(view: &'a View, job: &Job) -> Option<&'a Range> {
    let owners = view.owners.get(&job.service)?;
    owners.assignment.range_at(job.key?)
}

impl Admission {
    pub(super) fn find(&mut self, now: Mono, view: &View, job: &Job) -> Finding {
        match job.key {
            Some(_) => self.find_owner(now, view, job),
            None => self.find_least_loaded(now, view, job),
        }
    }

    /// Where a request waits: at the endpoint that holds its key, or at the service.
    pub(super) fn queue_key(view: &View, job: &Job) -> EndpointTag {
        range_of(view, job).map_or_else(
            || EndpointTag::of_text(job.service.as_str()),
            |range| EndpointTag::of(&range.holder.endpoint),
        )
    }

    fn find_owner(&mut self, now: Mono, view: &View, job: &Job) -> Finding {
        let Some(range) = range_of(view, job) else {
            return Finding::Wait(RefusalReason::KeyUnowned);
        };
        let holder = &range.holder;
        let fresh = self
            .fences
            .get(&holder.fence)
            .is_none_or(|at| now.since(*at) < FRESH_OWNER_MS);
        let at = (holder.fence, range.first);
        let not_held = self
            .not_held
            .get(&at)
            .is_some_and(|avoided| now < avoided.until);
        if not_held || (fresh && !range.is_moving()) || self.leaves_now(now, range) {
            return Finding::Wait(RefusalReason::KeyUnowned);
        }
        let Some(known) = view.registry.get(&holder.endpoint) else {
            return Finding::Wait(RefusalReason::KeyUnowned);
        };
        if !known.accepts_owned_work(now) {
            return Finding::Wait(without_owner(view, job));
        }
        let tag = EndpointTag::of(&holder.endpoint);
        if self.is_cold_busy(now, tag) {
            return Finding::Wait(RefusalReason::Overloaded);
        }
        if self.is_avoided(now, tag) {
            return Finding::Wait(RefusalReason::Unreachable);
        }
        let waiting = self.wanted(tag).max(1);
        if !self.has_room(now, view, known, tag, waiting, job.work_ms) {
            return Finding::Wait(RefusalReason::Overloaded);
        }
        // One request at a time tries a holder that did not hold the keys.
        if let Some(avoided) = self.not_held.get_mut(&at) {
            avoided.until = now.plus(avoided.for_ms);
        }
        Finding::Send(Choice {
            endpoint: holder.endpoint.clone(),
            address: holder.address,
            fence: Some(holder.fence),
        })
    }

    /// Whether the range is about to leave its holder.
    fn leaves_now(&self, now: Mono, range: &Range) -> bool {
        let Some(next) = &range.next else {
            return false;
        };
        let since = self.moving.get(&next.fence);
        since.is_none_or(|since| now.since(*since) < LEAVES_WITHIN_MS)
    }

    fn find_least_loaded(&mut self, now: Mono, view: &View, job: &Job) -> Finding {
        self.turn += 1;
        if !self.service_has_room(view, job) {
            return Finding::Wait(RefusalReason::Overloaded);
        }
        let endpoints: Vec<_> = view
            .registry
            .of_service(&job.service)
            .filter(|known| known.accepts_work())
            .collect();
        if endpoints.is_empty() {
            let cause = if is_evacuated(view, job) {
                RefusalReason::Evacuated
            } else {
                RefusalReason::NoEndpoint
            };
            return Finding::Wait(cause);
        }
        let untried = endpoints
            .iter()
            .any(|known| !job.tried.contains(&known.listing.start));
        let mut candidates = Vec::with_capacity(endpoints.len());
        let mut cause = RefusalReason::Unreachable;
        for (i, known) in endpoints.iter().enumerate() {
            if untried && job.tried.contains(&known.listing.start) {
                continue;
            }
            let tag = EndpointTag::of(&known.listing.start);
            if self.is_avoided(now, tag) {
                continue;
            }
            let cold_busy = self.is_cold_busy(now, tag);
            if cold_busy || !self.has_room(now, view, known, tag, 1, job.work_ms) {
                cause = RefusalReason::Overloaded;
                continue;
            }
            let mut load = self.load(now, view, known, tag) + way_of_answer(view, known, job);
            if self.is_silent(now, job, tag) {
                load += SILENT_LOAD;
            }
            let slots = known.listing.slots;
            if slots >= KEPT_SLOTS && self.kept.has(now, tag, job.repeat) {
                load -= KEPT_LOAD;
            }
            // Instances begin at different places.
            let turn = (view.rank.wrapping_add(self.turn + i as u64)) % endpoints.len() as u64;
            let weight = weight(now, view, known, tag);
            candidates.push(Candidate {
                load,
                turn,
                weight,
                known,
            });
        }
        let best = if is_told_late(view, job) {
            least_of_drawn(&candidates, view.rank, self.turn)
        } else {
            least_loaded(candidates.iter())
        };
        let Some(Candidate { known, .. }) = best else {
            return Finding::Wait(cause);
        };
        Finding::Send(Choice {
            endpoint: known.listing.start.clone(),
            address: known.listing.address,
            fence: None,
        })
    }

    /// Whether this instance may have one more request at a service.
    fn service_has_room(&self, view: &View, job: &Job) -> bool {
        let Some(limit) = self.limits.get(&job.service) else {
            return true;
        };
        let in_flight = self.in_flight_at(view, &job.service);
        limit.has_room(in_flight, drawn(view.rank, self.turn))
    }

    /// Whether the endpoint has answered nothing for longer than work takes.
    ///
    /// Failure: a machine goes dark with its connections open, and requests that may
    /// not be repeated are sent there until its entry lapses.
    fn is_silent(&self, now: Mono, job: &Job, tag: EndpointTag) -> bool {
        let limit = (job.work_ms * SILENT_WORKS).max(SILENT_MS);
        self.unanswered
            .get(&tag)
            .is_some_and(|since| now.since(*since) > limit)
    }

    fn is_avoided(&self, now: Mono, tag: EndpointTag) -> bool {
        self.avoided
            .get(&tag)
            .is_some_and(|avoided| now < avoided.until)
    }

    fn is_cold_busy(&self, now: Mono, tag: EndpointTag) -> bool {
        self.cold_busy.get(&tag).is_some_and(|until| now < *until)
    }

    fn has_room(
        &self,
        now: Mono,
        view: &View,
        known: &ListedEndpoint,
        tag: EndpointTag,
        waiting: u32,
        work_ms: u64,
    ) -> bool {
        let in_flight = self.in_flight.get(&tag).copied().unwrap_or_default();
        let me = Demand {
            rank: view.rank,
            wanted: in_flight + waiting,
        };
        let places = share::in_flight_limit(known.listing.slots);
        let standing = view.reported_loads.get(&tag);
        if let Some(sum) = standing.filter(|standing| standing.is_sum) {
            let all_in_flight = in_flight + still_in_flight(sum.in_flight, work_ms);
            let all_waiting = waiting + sum.waiting;
            let chance = chance(now, view.rank, tag);
            return share::share_of_free(places, all_in_flight, waiting, all_waiting, chance) > 0;
        }
        let others = standing.map_or(&[][..], |standing| &standing.others);
        let allowed = share::fair_share(places, me, others);
        in_flight < allowed
    }

    /// Time until a request would be done there, in units of an average request.
    fn load(&self, now: Mono, view: &View, known: &ListedEndpoint, tag: EndpointTag) -> f64 {
        let unknown = ReportedLoad::unknown();
        let standing = view.reported_loads.get(&tag).unwrap_or(&unknown);
        let in_flight = self.in_flight.get(&tag).copied().unwrap_or_default();
        let used = f64::from(in_flight + standing.in_flight) / f64::from(known.listing.slots);
        let cold = if known.is_cold(now) {
            COLD_SLOWNESS
        } else {
            1.0
        };
        let failing = 1.0 / (1.0 - standing.failure_ratio.min(0.9));
        let far = if known.listing.zone == view.zone {
            0.0
        } else {
            OTHER_ZONE_LOAD
        };
        // Below its slots an endpoint's queue is empty and only its speed counts.
        (1.0 + used + far) * standing.slowness * cold * failing
    }
}

/// Whether endpoints of the service are there, all of those that stay in evacuated zones.
fn is_evacuated(view: &View, job: &Job) -> bool {
    let mut stay = view.registry.of_service(&job.service);
    let mut any = false;
    let all = stay.all(|known| {
        any |= known.is_evacuated();
        !known.accepts_work()
    });
    all && any
}

/// Why a key cannot be served whose owner takes no more work.
fn without_owner(view: &View, job: &Job) -> RefusalReason {
    if is_evacuated(view, job) {
        return RefusalReason::Evacuated;
    }
    RefusalReason::KeyUnowned
}

/// Load that is added for the bytes of an answer from another availability zone.
fn way_of_answer(view: &View, known: &ListedEndpoint, job: &Job) -> f64 {
    if known.listing.zone == view.zone {
        return 0.0;
    }
    job.answer_bytes as f64 / 1_024.0 * OTHER_ZONE_LOAD_PER_KB
}

/// Requests of others that are still in flight of those that the sums tell.
///
/// Load: work takes 250 ms, and by the time that the sums have come half of what was in
/// flight has ended. Taken for still there, it left half of the slots idle.
fn still_in_flight(told: u32, work_ms: u64) -> u32 {
    let part = (-(SUMS_AGE_MS / work_ms.max(1) as f64)).exp();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "at most what was told"
    )]
    let left = (f64::from(told) * part).round() as u32;
    left
}

/// The chance that an instance draws for an endpoint, the same for a while: a number from 0
/// to 1.
fn chance(now: Mono, rank: u64, tag: EndpointTag) -> f64 {
    let turn = now.0 / CHANCE_MS;
    let seed = rank ^ turn.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&tag.0.to_le_bytes(), seed);
    hash as f64 / u64::MAX as f64
}

/// An endpoint that could take a request.
struct Candidate<'a> {
    /// Time until a request would be done there, in units of an average request.
    load: f64,
    /// Order among equals.
    turn: u64,
    /// How often it is drawn, beside others.
    weight: f64,
    known: &'a ListedEndpoint,
}

/// Whether what the others have at endpoints is told later than the work takes.
fn is_told_late(view: &View, job: &Job) -> bool {
    view.instances as usize > MAX_FULL_MESH && (job.work_ms as f64) < SUMS_AGE_MS
}

/// Part of all requests that an endpoint is to get beside others: what it can do, and less of
/// it from another zone.
fn weight(now: Mono, view: &View, known: &ListedEndpoint, tag: EndpointTag) -> f64 {
    let unknown = ReportedLoad::unknown();
    let standing = view.reported_loads.get(&tag).unwrap_or(&unknown);
    let cold = if known.is_cold(now) {
        COLD_SLOWNESS
    } else {
        1.0
    };
    let far = if known.listing.zone == view.zone {
        1.0
    } else {
        OTHER_ZONE_WEIGHT
    };
    let well = 1.0 - standing.failure_ratio.min(0.9);
    f64::from(known.listing.slots) * well * far / (standing.slowness * cold)
}

fn least_loaded<'c, 'k>(
    candidates: impl Iterator<Item = &'c Candidate<'k>>,
) -> Option<&'c Candidate<'k>>
where
    'k: 'c,
{
    candidates.min_by(|a, b| a.load.total_cmp(&b.load).then(a.turn.cmp(&b.turn)))
}

/// The less loaded of two endpoints that are drawn by their weights.
///
/// Load: hundreds of instances know the same of 40 endpoints and nothing of each other's last
/// 200 ms. Each sent to the one that seemed the least loaded, which reset what was beyond its
/// queue.
fn least_of_drawn<'c, 'k>(
    candidates: &'c [Candidate<'k>],
    rank: u64,
    turn: u64,
) -> Option<&'c Candidate<'k>> {
    let all = candidates.iter().map(|one| one.weight).sum::<f64>();
    let draw = |n: u64| {
        let mut left = drawn(rank, turn.wrapping_mul(DRAWS).wrapping_add(n)) * all;
        let passed = candidates.iter().position(|one| {
            left -= one.weight;
            left < 0.0
        });
        passed.or_else(|| candidates.len().checked_sub(1))
    };
    let places = (0..DRAWS).filter_map(draw);
    least_loaded(places.map(|place| &candidates[place]))
}

/// A number from 0 to 1, another one in each turn.
fn drawn(rank: u64, turn: u64) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&turn.to_le_bytes(), rank);
    hash as f64 / u64::MAX as f64
}

/// Time until a request with `ahead` before it would get its turn, in milliseconds.
pub(super) fn expected_wait_ms(view: &View, job: &Job, ahead: u32) -> u64 {
    let tag = Admission::queue_key(view, job);
    let unknown = ReportedLoad::unknown();
    let standing = view.reported_loads.get(&tag).unwrap_or(&unknown);
    let slots = match range_of(view, job) {
        Some(range) => view
            .registry
            .get(&range.holder.endpoint)
            .map_or(1, |known| known.listing.slots),
        None => view
            .registry
            .of_service(&job.service)
            .filter(|known| known.accepts_work())
            .map(|known| known.listing.slots)
            .sum(),
    };
    // The others' queues are taken to be like this one's: as many of theirs as of
    // its own are ahead of the request.
    let own = f64::from(ahead);
    let others = f64::from(view.instances.max(1) - 1);
    let theirs = f64::from(standing.waiting).min(own * others);
    let work = job.work_ms as f64 * standing.slowness;
    let wait = (own + theirs) * work / f64::from(slots.max(1));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a wait is positive and far below the range"
    )]
    let wait_ms = wait as u64;
    wait_ms
}
