//! The learned bound on the bytes of requests at one endpoint, over all instances.
//!
//! Load: hundreds of instances send long bodies to one endpoint, each within its own limits, and
//! the endpoint runs out of memory and crashes with all of them. Endpoints do not state how much
//! they can hold. So nothing is bounded until an endpoint has crashed while it had the bytes of
//! several requests, more than it had held before. All endpoints of its service then get a
//! bound, since they run the same program.
//!
//! Who sees the requests of all instances learns: the leader of a large fleet, which tells the
//! others in its totals, and each instance of a small one.

use indexmap::{IndexMap, IndexSet};

use crate::gateway::crashes::Fingerprint;
use crate::gateway::pace::EndpointTag;
use crate::ids::ServiceName;
use crate::time::Mono;

/// Fewest kilobytes at a crash that are taken for its cause. A server that cannot hold this much
/// cannot hold the heads of its requests either.
const MIN_CRASH_KB: u32 = 64;

/// Fewest requests at such a crash. A crash with a single one is that request's own fault; see
/// [`crate::gateway::crashes`].
const MIN_CRASH_REQUESTS: u32 = 2;

/// Time for which the most bytes at an endpoint are remembered, in milliseconds. Reports pass
/// through delegates and arrive up to half a second apart.
const PEAK_MS: u64 = 2_000;

/// Time from a sign of a crash until it is judged, in milliseconds: until the reports of all
/// instances on the moment of the crash have arrived.
const JUDGE_MS: u64 = 400;

/// Time for which an endpoint must have had bytes before an answer shows that it could hold them,
/// in milliseconds; the answer may be older than its report.
const SURVIVED_MS: u64 = 300;

/// Part of the bytes at a crash that the bound allows, and that it may grow to, in percent.
const BOUND_PERCENT: u32 = 75;
const MAX_BOUND_PERCENT: u32 = 90;

/// How much a crash must exceed what the endpoint held before, in percent. Endpoints crash for
/// other reasons too, and with those the bytes are the usual ones.
const EXCESS_PERCENT: u32 = 125;

/// Step of growth, in percent, and least time between two steps, in milliseconds.
const GROWTH_PERCENT: u32 = 110;
const GROWTH_MS: u64 = 30_000;

/// Part of the bound that must have been in use for it to grow, in percent.
const USED_PERCENT: u32 = 90;

/// Time after a crash for which the bound stays below the bytes of the crash, in milliseconds. A
/// later start may have more memory.
const CRASH_KEPT_MS: u64 = 600_000;

/// Time after which an endpoint without requests is forgotten, in milliseconds.
const FORGET_MS: u64 = 60_000;

/// Bounds of all services, and what they are learned from.
#[derive(Debug, Default)]
pub struct ByteBounds {
    endpoints: IndexMap<EndpointTag, Seen>,
    /// Crashes that are not judged yet.
    crashes: IndexMap<EndpointTag, Crash>,
    services: IndexMap<ServiceName, Bound>,
}

/// Bytes of requests at an endpoint.
#[derive(Debug)]
struct Seen {
    service: ServiceName,
    last_use: Mono,
    /// Most kilobytes lately, with the number of requests, and when.
    peak: (u32, u32, Mono),
    /// Most kilobytes since the last answer that was counted, and when they were first seen.
    tried: Option<(u32, Mono)>,
    /// Most kilobytes after which the endpoint went on to answer.
    fine: u32,
    /// Whether it has crashed.
    is_judged: bool,
}

/// Signs of a crash.
#[derive(Debug)]
struct Crash {
    since: Mono,
    /// Requests that were there, as far as signs of them have come.
    works: IndexSet<Fingerprint>,
}

/// Bound of a service.
#[derive(Debug, Clone, Copy)]
struct Bound {
    kb: u32,
    crash_kb: u32,
    crashed_at: Mono,
    changed_at: Mono,
}

/// Requests at one endpoint, summed over all instances.
#[derive(Debug, Clone, Copy)]
pub struct BytesAt<'a> {
    /// Tag of the endpoint.
    pub tag: EndpointTag,
    /// Service of the endpoint.
    pub service: &'a ServiceName,
    /// Kilobytes of the requests.
    pub kb: u32,
    /// Number of the requests.
    pub requests: u32,
}

/// A bound that was learned from a crash.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Learned {
    /// Service whose endpoints it applies to.
    pub service: ServiceName,
    /// The bound, in kilobytes.
    pub bound_kb: u32,
    /// Kilobytes at the endpoint that crashed.
    pub crash_kb: u32,
    /// Requests at that endpoint.
    pub requests: u32,
}

impl ByteBounds {
    /// Records the requests that are at an endpoint now.
    pub fn observe(&mut self, now: Mono, at: BytesAt<'_>) {
        if at.kb == 0 {
            return;
        }
        let seen = self.endpoints.entry(at.tag).or_insert_with(|| Seen {
            service: at.service.clone(),
            last_use: now,
            peak: (0, 0, now),
            tried: None,
            fine: 0,
            is_judged: false,
        });
        seen.last_use = now;
        let (peak_kb, peak_requests, peak_at) = seen.peak;
        if now.since(peak_at) > PEAK_MS {
            seen.peak = (at.kb, at.requests, now);
        } else if at.kb >= peak_kb {
            // The bytes are the most since the last report, the requests those at its end.
            seen.peak = (at.kb, at.requests.max(peak_requests), now);
        }
        if seen.tried.is_none_or(|(kb, _)| at.kb > kb) {
            seen.tried = Some((at.kb, now));
        }
    }

    /// Records that an endpoint has answered requests.
    pub fn record_answers(&mut self, now: Mono, tag: EndpointTag) {
        let Some(seen) = self.endpoints.get_mut(&tag) else {
            return;
        };
        let Some((kb, since)) = seen.tried else {
            return;
        };
        let has_crashed = seen.is_judged || self.crashes.contains_key(&tag);
        if has_crashed || now.since(since) < SURVIVED_MS {
            return;
        }
        seen.tried = None;
        seen.fine = seen.fine.max(kb);
        if let Some(bound) = self.services.get_mut(&seen.service) {
            bound.grow(now, kb);
        }
    }

    /// Records a sign that an endpoint has crashed while it had a request.
    pub fn record_crash(&mut self, now: Mono, tag: EndpointTag, work: Fingerprint) {
        let crash = self.crashes.entry(tag).or_insert_with(|| Crash {
            since: now,
            works: IndexSet::new(),
        });
        crash.works.insert(work);
    }

    /// Judges crashes, and returns the bounds that are learned from them.
    pub fn step(&mut self, now: Mono) -> Vec<Learned> {
        let mut learned = Vec::new();
        let is_due = |_: &EndpointTag, crash: &mut Crash| now.since(crash.since) >= JUDGE_MS;
        for (tag, crash) in self.crashes.extract_if(.., is_due) {
            let Some(seen) = self.endpoints.get_mut(&tag) else {
                continue;
            };
            if std::mem::replace(&mut seen.is_judged, true) {
                continue;
            }
            let (crash_kb, peak_requests, peak_at) = seen.peak;
            // Requests that came and broke off between two reports are in the signs only.
            let signs = u32::try_from(crash.works.len()).unwrap_or(u32::MAX);
            let requests = peak_requests.max(signs);
            let is_cause = crash_kb >= MIN_CRASH_KB
                && requests >= MIN_CRASH_REQUESTS
                && now.since(peak_at) <= PEAK_MS + JUDGE_MS
                && crash_kb > percent(seen.fine, EXCESS_PERCENT);
            if !is_cause {
                continue;
            }
            let kb = percent(crash_kb, BOUND_PERCENT).max(seen.fine);
            let before = self.services.get(&seen.service);
            if before.is_some_and(|before| before.kb <= kb) {
                continue;
            }
            let bound = Bound {
                kb,
                crash_kb,
                crashed_at: now,
                changed_at: now,
            };
            self.services.insert(seen.service.clone(), bound);
            learned.push(Learned {
                service: seen.service.clone(),
                bound_kb: kb,
                crash_kb,
                requests,
            });
        }
        self.endpoints
            .retain(|_, seen| now.since(seen.last_use) < FORGET_MS);
        learned
    }

    /// Takes over the bounds that the leader has sent.
    pub fn adopt<'a>(&mut self, now: Mono, bounds: impl Iterator<Item = (&'a ServiceName, u32)>) {
        let before = std::mem::take(&mut self.services);
        for (service, kb) in bounds {
            let known = before.get(service).filter(|known| known.kb == kb);
            let bound = known.copied().unwrap_or(Bound {
                kb,
                // The bytes of the crash are not told; the bound came from them.
                crash_kb: percent(kb, 100 * 100 / BOUND_PERCENT),
                crashed_at: now,
                changed_at: now,
            });
            self.services.insert(service.clone(), bound);
        }
    }

    /// All bounds, in kilobytes.
    pub fn all(&self) -> impl Iterator<Item = (&ServiceName, u32)> {
        self.services
            .iter()
            .map(|(service, bound)| (service, bound.kb))
    }

    /// Bound of an endpoint that has, or had, bytes of requests; in kilobytes.
    #[must_use]
    pub fn of_endpoint(&self, tag: EndpointTag) -> Option<u32> {
        let seen = self.endpoints.get(&tag)?;
        self.services.get(&seen.service).map(|bound| bound.kb)
    }
}

impl Bound {
    /// Raises the bound after an endpoint has held `fine_kb`.
    fn grow(&mut self, now: Mono, fine_kb: u32) {
        if fine_kb > self.kb {
            self.kb = fine_kb;
            self.changed_at = now;
            return;
        }
        let is_used = fine_kb >= percent(self.kb, USED_PERCENT);
        if !is_used || now.since(self.changed_at) < GROWTH_MS {
            return;
        }
        let most = if now.since(self.crashed_at) < CRASH_KEPT_MS {
            percent(self.crash_kb, MAX_BOUND_PERCENT)
        } else {
            u32::MAX
        };
        self.kb = percent(self.kb, GROWTH_PERCENT).min(most).max(self.kb);
        self.changed_at = now;
    }
}

fn percent(kb: u32, percent: u32) -> u32 {
    let part = u64::from(kb) * u64::from(percent) / 100;
    u32::try_from(part).unwrap_or(u32::MAX)
}

/// Bytes of this instance's requests at endpoints.
#[derive(Debug, Default)]
pub struct OwnBytes {
    /// Endpoint and bytes of each request, by ticket.
    requests: IndexMap<u64, (EndpointTag, u64)>,
    endpoints: IndexMap<EndpointTag, Present>,
}

#[derive(Debug, Default)]
struct Present {
    bytes: u64,
    /// Most bytes since the last report.
    peak: u64,
}

impl OwnBytes {
    /// Records that a request is sent to an endpoint.
    pub fn begin(&mut self, tag: EndpointTag, ticket: u64, bytes: u64) {
        if bytes == 0 {
            return;
        }
        self.end(ticket);
        self.requests.insert(ticket, (tag, bytes));
        let present = self.endpoints.entry(tag).or_default();
        present.bytes += bytes;
        present.peak = present.peak.max(present.bytes);
    }

    /// Records that a request is no longer at its endpoint.
    pub fn end(&mut self, ticket: u64) {
        let Some((tag, bytes)) = self.requests.swap_remove(&ticket) else {
            return;
        };
        if let Some(present) = self.endpoints.get_mut(&tag) {
            present.bytes = present.bytes.saturating_sub(bytes);
        }
    }

    /// Bytes at an endpoint.
    #[must_use]
    pub fn at(&self, tag: EndpointTag) -> u64 {
        self.endpoints.get(&tag).map_or(0, |present| present.bytes)
    }

    /// Most kilobytes at each endpoint since the last call.
    pub fn take_peaks(&mut self) -> IndexMap<EndpointTag, u32> {
        let peaks = self.endpoints.iter_mut().map(|(tag, present)| {
            let peak = std::mem::replace(&mut present.peak, present.bytes);
            (
                *tag,
                u32::try_from(peak.div_ceil(1_024)).unwrap_or(u32::MAX),
            )
        });
        let peaks = peaks.collect();
        self.endpoints.retain(|_, present| present.peak > 0);
        peaks
    }
}
