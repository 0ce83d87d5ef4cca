//! Limits that endpoints state in their answers: requests a second that an endpoint takes from
//! all instances together.
//!
//! Instances tell each other the newest statement of each endpoint ([`StatedLimits`]). The leader
//! grants the sends to limited endpoints ([`LimitedSendLimiter`]); while none does, each instance
//! has a share of its own ([`LocalShare`]). [`SendGrants`] keeps the grants of an instance.

mod grants;
mod limiter;

use indexmap::IndexMap;

use crate::gateway::pace::EndpointTag;
use crate::time::Mono;

pub use grants::{GrantState, SendGrants};
pub use limiter::{
    GRANT_VALID_MS, LimitedSendLimiter, LocalShare, MIN_PER_S, SendGrant, SendRequest, leader_share,
};

/// Interval in milliseconds at which an unchanged statement is reported again, so that instances
/// that have missed it learn of it.
const REPEAT_MS: u64 = 1_000;

/// Time in milliseconds for which the end of a limit is remembered and told. Older statements
/// that arrive later must not bring the limit back.
const ENDED_KEPT_MS: u64 = 10_000;

/// Time in milliseconds for which placement counts an endpoint as limited after its last statement.
///
/// Keys that left a limited endpoint would otherwise return and leave again with each limit. After
/// this time it is given keys again, since without requests it cannot state that its limit ended.
const PLACEMENT_KEPT_MS: u64 = 20_000;

/// What an endpoint stated in an answer, as instances tell each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StatedLimit {
    /// Start of the endpoint.
    pub endpoint: EndpointTag,
    /// Requests a second that it takes from all instances; `None` if it stated no limit.
    pub per_s: Option<f64>,
    /// Time since the answer, in milliseconds.
    pub age_ms: u32,
}

/// Change of an endpoint's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The endpoint had no limit.
    Begun {
        /// Requests a second.
        per_s: f64,
    },
    /// The endpoint had another limit.
    Changed {
        /// Requests a second before.
        before: f64,
        /// Requests a second now.
        per_s: f64,
    },
    /// The endpoint has no limit any more.
    Ended {
        /// Requests a second before.
        before: f64,
    },
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    per_s: Option<f64>,
    /// Last limit, which stays when the limit ends.
    last_per_s: f64,
    /// Time of the answer with the newest statement.
    stated_at: Mono,
    /// Whether the statement is to be reported.
    is_due: bool,
    /// Time of the last report of this value, by this instance or another.
    reported_at: Option<Mono>,
}

impl Entry {
    /// Marks the statement as due unless it was reported recently.
    fn make_due(&mut self, now: Mono) {
        let is_recent = |at| now.since(at) < REPEAT_MS;
        self.is_due |= !self.reported_at.is_some_and(is_recent);
    }
}

/// Newest statement of each endpoint that is or was limited.
#[derive(Debug, Clone, Default)]
pub struct StatedLimits {
    entries: IndexMap<EndpointTag, Entry>,
}

impl StatedLimits {
    /// Records a statement in an answer to this instance, or in a report to this delegate.
    pub fn observe(&mut self, now: Mono, stated: &StatedLimit) -> Option<LimitChange> {
        let change = self.apply(now, stated);
        if let Some(entry) = self.entries.get_mut(&stated.endpoint)
            && is_told(now, entry)
        {
            entry.make_due(now);
        }
        change
    }

    /// Records a statement that all instances are told by another one.
    pub fn hear(&mut self, now: Mono, stated: &StatedLimit) -> Option<LimitChange> {
        let change = self.apply(now, stated);
        if let Some(entry) = self.entries.get_mut(&stated.endpoint)
            && entry.per_s == stated.per_s
        {
            entry.reported_at = Some(now);
            entry.is_due = false;
        }
        change
    }

    /// Records a statement unless a newer one is known.
    fn apply(&mut self, now: Mono, stated: &StatedLimit) -> Option<LimitChange> {
        let stated_at = now.minus(u64::from(stated.age_ms));
        let Some(entry) = self.entries.get_mut(&stated.endpoint) else {
            let per_s = stated.per_s?;
            let entry = Entry {
                per_s: Some(per_s),
                last_per_s: per_s,
                stated_at,
                is_due: false,
                reported_at: None,
            };
            self.entries.insert(stated.endpoint, entry);
            return Some(LimitChange::Begun { per_s });
        };
        if stated_at < entry.stated_at {
            return None;
        }
        if entry.per_s == stated.per_s {
            // The time of the end stays, so that the entry is removed some time after it.
            entry.stated_at = stated.per_s.map_or(entry.stated_at, |_| stated_at);
            return None;
        }
        entry.stated_at = stated_at;
        entry.reported_at = None;
        let before = std::mem::replace(&mut entry.per_s, stated.per_s);
        entry.last_per_s = stated.per_s.unwrap_or(entry.last_per_s);
        match (before, stated.per_s) {
            (None, Some(per_s)) => Some(LimitChange::Begun { per_s }),
            (Some(before), Some(per_s)) => Some(LimitChange::Changed { before, per_s }),
            (Some(before), None) => Some(LimitChange::Ended { before }),
            (None, None) => None,
        }
    }

    /// Has all limits in force reported, to an instance that has just started.
    pub fn make_all_due(&mut self) {
        for entry in self.entries.values_mut() {
            entry.is_due |= entry.per_s.is_some();
        }
    }

    /// Takes the statements that are to be reported now.
    pub fn take_due(&mut self, now: Mono) -> Vec<StatedLimit> {
        let mut due = Vec::new();
        for (tag, entry) in &mut self.entries {
            if !std::mem::take(&mut entry.is_due) {
                continue;
            }
            entry.reported_at = Some(now);
            due.push(stated(now, *tag, entry));
        }
        due
    }

    /// All statements, for the leader's totals.
    #[must_use]
    pub fn all(&self, now: Mono) -> Vec<StatedLimit> {
        let entries = self.entries.iter();
        entries
            .filter(|(_, entry)| is_told(now, entry))
            .map(|(tag, entry)| stated(now, *tag, entry))
            .collect()
    }

    /// Limits in force, in requests a second.
    #[must_use]
    pub fn in_force(&self) -> IndexMap<EndpointTag, f64> {
        let entries = self.entries.iter();
        entries
            .filter_map(|(tag, entry)| Some((*tag, entry.per_s?)))
            .collect()
    }

    /// Limit of an endpoint in force, in requests a second.
    #[must_use]
    pub fn per_s(&self, endpoint: EndpointTag) -> Option<f64> {
        self.entries.get(&endpoint)?.per_s
    }

    /// Requests a second that placement counts on at an endpoint; `None` if it stated no limit
    /// recently.
    #[must_use]
    pub fn for_placement(&self, now: Mono, endpoint: EndpointTag) -> Option<f64> {
        let entry = self.entries.get(&endpoint)?;
        let is_recent = now.since(entry.stated_at) < PLACEMENT_KEPT_MS;
        is_recent.then_some(entry.last_per_s)
    }

    /// Removes endpoints that are not listed any more, and limits that ended long ago.
    pub fn prune(&mut self, now: Mono, is_listed: impl Fn(EndpointTag) -> bool) {
        self.entries.retain(|tag, entry| {
            let is_kept = entry.per_s.is_some() || now.since(entry.stated_at) < PLACEMENT_KEPT_MS;
            is_kept && (is_listed(*tag) || now.since(entry.stated_at) < ENDED_KEPT_MS)
        });
    }
}

fn is_told(now: Mono, entry: &Entry) -> bool {
    entry.per_s.is_some() || now.since(entry.stated_at) < ENDED_KEPT_MS
}

fn stated(now: Mono, endpoint: EndpointTag, entry: &Entry) -> StatedLimit {
    StatedLimit {
        endpoint,
        per_s: entry.per_s,
        age_ms: u32::try_from(now.since(entry.stated_at)).unwrap_or(u32::MAX),
    }
}
