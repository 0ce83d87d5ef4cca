//! Endpoints that have asked instances for rest, as instances report it.
//!
//! A rest concerns the instance that was asked. An endpoint that asks many of them is overloaded,
//! and placement counts it as fully used.

use indexmap::IndexMap;

use crate::gateway::pace::EndpointTag;
use crate::ids::InstanceName;
use crate::time::Mono;

/// Number of resting instances from which an endpoint counts as fully used. In smaller fleets half
/// of the instances are enough.
const MANY_INSTANCES: u32 = 3;

/// Time in milliseconds for which an endpoint counts as fully used after that was last seen, so that
/// its keys do not return and leave again with each rest.
const FULL_KEPT_MS: u64 = 10_000;

/// Time in milliseconds for which the report of an instance counts that is not heard any more.
const REPORT_KEPT_MS: u64 = 3_000;

/// Largest number of endpoints in one report.
pub const MAX_REPORTED: usize = 32;

/// Endpoint that has asked an instance, or members of a delegate, for rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RestReport {
    /// Start of the endpoint.
    pub endpoint: EndpointTag,
    /// Time until the last rest ends, in milliseconds.
    pub left_ms: u32,
    /// Number of instances that were asked.
    pub instances: u32,
}

#[derive(Debug, Clone, Copy)]
struct Asked {
    until: Mono,
    instances: u32,
    reported_at: Mono,
}

impl Asked {
    fn counts(&self, now: Mono) -> bool {
        now < self.until && now.since(self.reported_at) < REPORT_KEPT_MS
    }
}

#[derive(Debug, Clone, Default)]
struct Entry {
    by_reporter: IndexMap<InstanceName, Asked>,
    /// Time until which the endpoint counts as fully used.
    full_until: Option<Mono>,
}

/// Rests of all endpoints, by the reports of all instances.
#[derive(Debug, Clone, Default)]
pub struct ReportedRests {
    endpoints: IndexMap<EndpointTag, Entry>,
}

impl ReportedRests {
    /// Records the rests that an instance reports, instead of those that it reported before.
    /// `instances` is the number of all instances.
    pub fn hear(
        &mut self,
        now: Mono,
        reporter: &InstanceName,
        rests: &[RestReport],
        instances: u32,
    ) {
        for entry in self.endpoints.values_mut() {
            entry.by_reporter.swap_remove(reporter);
        }
        for rest in rests.iter().take(MAX_REPORTED) {
            let entry = self.endpoints.entry(rest.endpoint).or_default();
            let asked = Asked {
                until: now.plus(u64::from(rest.left_ms)),
                instances: rest.instances,
                reported_at: now,
            };
            entry.by_reporter.insert(reporter.clone(), asked);
            if entry.count(now) >= MANY_INSTANCES.min(instances.div_ceil(2)) {
                entry.full_until = Some(now.plus(FULL_KEPT_MS));
            }
        }
        self.endpoints.retain(|_, entry| {
            entry.by_reporter.retain(|_, asked| asked.counts(now));
            !entry.by_reporter.is_empty() || entry.is_full(now)
        });
    }

    /// All rests, for the report of a delegate.
    #[must_use]
    pub fn sums(&self, now: Mono) -> Vec<RestReport> {
        let all = self.endpoints.iter().filter_map(|(tag, entry)| {
            let counted = entry.by_reporter.values().filter(|asked| asked.counts(now));
            let until = counted.map(|asked| asked.until).max()?;
            Some(RestReport {
                endpoint: *tag,
                left_ms: left_ms(now, until),
                instances: entry.count(now),
            })
        });
        all.take(MAX_REPORTED).collect()
    }

    /// The rests that one instance reported.
    #[must_use]
    pub fn reported_by(&self, now: Mono, reporter: &InstanceName) -> Vec<RestReport> {
        let all = self.endpoints.iter().filter_map(|(tag, entry)| {
            let asked = entry.by_reporter.get(reporter)?;
            asked.counts(now).then(|| RestReport {
                endpoint: *tag,
                left_ms: left_ms(now, asked.until),
                instances: asked.instances,
            })
        });
        all.take(MAX_REPORTED).collect()
    }

    /// Whether placement counts the endpoint as fully used.
    #[must_use]
    pub fn is_full(&self, now: Mono, endpoint: EndpointTag) -> bool {
        let entry = self.endpoints.get(&endpoint);
        entry.is_some_and(|entry| entry.is_full(now))
    }
}

impl Entry {
    /// Number of instances that give the endpoint rest now.
    fn count(&self, now: Mono) -> u32 {
        let resting = self.by_reporter.values().filter(|asked| asked.counts(now));
        resting.map(|asked| asked.instances).sum()
    }

    fn is_full(&self, now: Mono) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }
}

fn left_ms(now: Mono, until: Mono) -> u32 {
    u32::try_from(until.since(now)).unwrap_or(u32::MAX)
}
