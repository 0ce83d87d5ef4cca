//! How long keys stayed unserved.

use std::time::Duration;

use citronway_core::ids::{Key, ServiceName};
use indexmap::IndexMap;

use super::record::Record;
use crate::caller::Verdict;

/// Reasons that speak of too much work, not of a key that nobody serves.
const LOAD_REASONS: [&str; 6] = [
    "queue_full",
    "deadline_too_close",
    "expired",
    "hot_key_limited",
    "endpoint_shed",
    "overloaded",
];

/// A time in which no call of a key was answered. Calls refused because of too
/// much work say nothing on whether the key is served, and are left out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gap {
    /// Service.
    pub service: ServiceName,
    /// Key.
    pub key: Key,
    /// Intended start of the first call that was not answered.
    pub from: Duration,
    /// Intended start of the next call that was, or `None` if none was.
    pub until: Option<Duration>,
}

impl Gap {
    /// Its length; up to `end` if it did not end.
    #[must_use]
    pub fn length(&self, end: Duration) -> Duration {
        self.until.unwrap_or(end).saturating_sub(self.from)
    }
}

/// All gaps of all keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Gaps {
    /// The gaps.
    pub gaps: Vec<Gap>,
}

impl Gaps {
    /// Finds them.
    #[must_use]
    pub fn of(records: &[Record]) -> Self {
        let mut gaps = Vec::new();
        for ((service, key), records) in by_key(records) {
            let mut from = None;
            for record in records {
                if is_refused_for_load(record) {
                    continue;
                }
                if !record.is_answered() {
                    from.get_or_insert(record.intended);
                    continue;
                }
                let Some(from) = from.take() else {
                    continue;
                };
                gaps.push(Gap {
                    service: service.clone(),
                    key: key.clone(),
                    from,
                    until: Some(record.intended),
                });
            }
            gaps.extend(from.map(|from| Gap {
                service: service.clone(),
                key: key.clone(),
                from,
                until: None,
            }));
        }
        Self { gaps }
    }

    /// Gaps that began in a part of the trial.
    #[must_use]
    pub fn begun_in(&self, from: Duration, until: Duration) -> Self {
        let inside = self
            .gaps
            .iter()
            .filter(|gap| from <= gap.from && gap.from < until);
        Self {
            gaps: inside.cloned().collect(),
        }
    }

    /// Keys that had a gap.
    #[must_use]
    pub fn keys(&self) -> usize {
        let mut keys = indexmap::IndexSet::new();
        for gap in &self.gaps {
            keys.insert((&gap.service, &gap.key));
        }
        keys.len()
    }

    /// The longest; gaps without an end reach up to `end`.
    #[must_use]
    pub fn longest(&self, end: Duration) -> Duration {
        let lengths = self.gaps.iter().map(|gap| gap.length(end));
        lengths.max().unwrap_or_default()
    }

    /// All gaps together.
    #[must_use]
    pub fn total(&self, end: Duration) -> Duration {
        self.gaps.iter().map(|gap| gap.length(end)).sum()
    }

    /// Gaps without an end.
    #[must_use]
    pub fn open(&self) -> usize {
        self.gaps.iter().filter(|gap| gap.until.is_none()).count()
    }
}

fn is_refused_for_load(record: &Record) -> bool {
    match &record.verdict {
        Verdict::NotRun(unanswered) => LOAD_REASONS.contains(&unanswered.reason.as_str()),
        _ => false,
    }
}

fn by_key(records: &[Record]) -> IndexMap<(&ServiceName, &Key), Vec<&Record>> {
    let mut keys: IndexMap<_, Vec<_>> = IndexMap::new();
    for record in records {
        let of_key = keys.entry((&record.service, &record.key)).or_default();
        of_key.push(record);
    }
    for of_key in keys.values_mut() {
        of_key.sort_by_key(|record| record.intended);
    }
    keys
}
