//! Endpoints that state in their answers that they leave.
//!
//! A statement is final for the start of the endpoint that made it. Instances tell each other the
//! earliest one of each endpoint, so that all of them stop sending at the same time.

use indexmap::IndexMap;

use crate::gateway::pace::EndpointTag;
use crate::time::Mono;

/// Interval in milliseconds at which a statement is told again, so that instances that have missed
/// it learn of it.
const REPEAT_MS: u64 = 500;

/// Time in milliseconds for which a statement is told. By then the endpoint's entry says the same,
/// or the endpoint has ended.
const TOLD_MS: u64 = 30_000;

/// Time in milliseconds for which the statement of an endpoint that is no longer listed is kept. Its
/// entry may expire and come back while the store is unavailable.
const UNLISTED_KEPT_MS: u64 = 60_000;

/// Part of the time that the platform allows in which nothing is sent any more, in milliseconds:
/// for the way of a request to the endpoint, and for an instance that is short of processor time.
const SEND_MARGIN_MS: u64 = 500;

/// Largest number of statements in one message.
pub const MAX_TOLD: usize = 32;

/// Time until which requests for its keys are sent to an endpoint that first stated at `since` that
/// it leaves. `allowed_ms` is the time that the platform allows.
#[must_use]
pub const fn owned_work_until(since: Mono, allowed_ms: u64) -> Mono {
    since.plus(allowed_ms.saturating_sub(SEND_MARGIN_MS))
}

/// A statement of an endpoint, as instances tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Departure {
    /// Start of the endpoint.
    pub endpoint: EndpointTag,
    /// Time since its first answer that stated that it leaves, in milliseconds.
    pub age_ms: u32,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    /// Time of the first answer.
    since: Mono,
    /// Time at which an instance last told all others.
    told_at: Option<Mono>,
}

/// Endpoints that leave.
#[derive(Debug, Clone, Default)]
pub struct Departures {
    entries: IndexMap<EndpointTag, Entry>,
    /// Whether the endpoints or their times have changed since the last look.
    is_changed: bool,
}

impl Departures {
    /// Records a statement in an answer to this instance, or in a report to this delegate. Returns
    /// whether it is the first one of its endpoint.
    pub fn observe(&mut self, now: Mono, departure: &Departure) -> bool {
        let since = now.minus(u64::from(departure.age_ms));
        if let Some(entry) = self.entries.get_mut(&departure.endpoint) {
            self.is_changed |= since < entry.since;
            entry.since = entry.since.min(since);
            return false;
        }
        self.is_changed = true;
        let entry = Entry {
            since,
            told_at: None,
        };
        self.entries.insert(departure.endpoint, entry);
        true
    }

    /// Records a statement that another instance told all. Returns whether it is the first one of
    /// its endpoint.
    pub fn hear(&mut self, now: Mono, departure: &Departure) -> bool {
        let is_new = self.observe(now, departure);
        if let Some(entry) = self.entries.get_mut(&departure.endpoint) {
            entry.told_at = Some(now);
        }
        is_new
    }

    /// Takes statements that are to be told now, those that were told least recently first.
    pub fn take_due(&mut self, now: Mono) -> Vec<Departure> {
        let mut due: Vec<_> = self
            .entries
            .iter_mut()
            .filter(|(_, entry)| is_due(now, entry))
            .collect();
        due.sort_by_key(|(_, entry)| entry.told_at);
        due.truncate(MAX_TOLD);
        let taken = due.into_iter().map(|(tag, entry)| {
            entry.told_at = Some(now);
            Departure {
                endpoint: *tag,
                age_ms: u32::try_from(now.since(entry.since)).unwrap_or(u32::MAX),
            }
        });
        taken.collect()
    }

    /// Time of the first statement of each endpoint that leaves.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointTag, Mono)> {
        self.entries.iter().map(|(tag, entry)| (*tag, entry.since))
    }

    /// Whether the endpoints or their times have changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.is_changed)
    }

    /// Forgets endpoints that have not been listed for long.
    pub fn prune(&mut self, now: Mono, is_listed: impl Fn(EndpointTag) -> bool) {
        let before = self.entries.len();
        self.entries
            .retain(|tag, entry| now.since(entry.since) < UNLISTED_KEPT_MS || is_listed(*tag));
        self.is_changed |= self.entries.len() < before;
    }
}

fn is_due(now: Mono, entry: &Entry) -> bool {
    now.since(entry.since) < TOLD_MS && entry.told_at.is_none_or(|at| now.since(at) >= REPEAT_MS)
}
