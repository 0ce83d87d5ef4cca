//! Estimates of many shards or keys, counted by the endpoints they are at.

use std::hash::Hash;

use indexmap::{IndexMap, IndexSet};

use super::estimate::Estimate;
use crate::ids::EndpointName;
use crate::time::Mono;

/// What was counted of a shard or a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Counted {
    /// The load.
    pub(super) estimate: Estimate,
    /// When requests were last counted.
    pub(super) at: Mono,
    /// Endpoint that they were counted at; `None` if the load was stated outright.
    by: Option<EndpointName>,
}

impl Counted {
    /// A load that was stated outright.
    pub(super) const fn exact(load: u64, at: Mono) -> Self {
        Self {
            estimate: Estimate::exact(load),
            at,
            by: None,
        }
    }
}

/// The time that a report counts requests of.
#[derive(Debug, Clone, Copy)]
pub(super) struct Span<'a> {
    /// Endpoint of the report.
    pub(super) endpoint: &'a EndpointName,
    /// Mean time of a request, in milliseconds.
    pub(super) service_ms: u64,
    /// Time since the report before, in milliseconds.
    pub(super) ms: u64,
    /// When the report came.
    pub(super) now: Mono,
}

/// Estimates by shard or key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Counts<K: Eq + Hash> {
    known: IndexMap<K, Counted>,
    /// What each endpoint has counted, so that a report costs no more than what
    /// is at its endpoint.
    at_endpoint: IndexMap<EndpointName, IndexSet<K>>,
}

impl<K: Eq + Hash> Default for Counts<K> {
    fn default() -> Self {
        Self {
            known: IndexMap::new(),
            at_endpoint: IndexMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> Counts<K> {
    pub(super) fn get(&self, key: K) -> Option<&Counted> {
        self.known.get(&key)
    }

    pub(super) fn get_mut(&mut self, key: K) -> Option<&mut Counted> {
        self.known.get_mut(&key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&K, &Counted)> {
        self.known.iter()
    }

    pub(super) fn insert(&mut self, key: K, counted: Counted) {
        if let Some(by) = &counted.by {
            let its = self.at_endpoint.entry(by.clone()).or_default();
            its.insert(key);
        }
        self.known.insert(key, counted);
    }

    pub(super) fn remove(&mut self, key: K) -> Option<Counted> {
        self.known.swap_remove(&key)
    }

    pub(super) fn retain(&mut self, mut keep: impl FnMut(&K, &Counted) -> bool) {
        self.known.retain(|key, counted| keep(key, counted));
    }

    /// Counts the requests of a report.
    ///
    /// Failure: a report names only what had requests; a shard or key that is
    /// not asked for any more would keep its last load for ever, and a hot key
    /// its own shard. Guard: what the endpoint counted last and does not name
    /// now had no requests.
    pub(super) fn count(&mut self, span: Span<'_>, requests: &IndexMap<K, u64>) {
        self.count_absent(span, requests);
        for (key, requests) in requests {
            let counted = self.known.entry(*key).or_insert_with(|| Counted {
                estimate: Estimate::default(),
                at: span.now,
                by: None,
            });
            counted.estimate.learn(*requests, span.service_ms, span.ms);
            counted.at = span.now;
            if counted.by.as_ref() == Some(span.endpoint) {
                continue;
            }
            counted.by = Some(span.endpoint.clone());
            let its = self.at_endpoint.entry(span.endpoint.clone()).or_default();
            its.insert(*key);
        }
    }

    fn count_absent(&mut self, span: Span<'_>, requests: &IndexMap<K, u64>) {
        let Some(its) = self.at_endpoint.get_mut(span.endpoint) else {
            return;
        };
        let known = &mut self.known;
        its.retain(|key| {
            let counted = known.get_mut(key);
            let Some(counted) = counted.filter(|it| it.by.as_ref() == Some(span.endpoint)) else {
                return false;
            };
            if !requests.contains_key(key) {
                counted.estimate.learn(0, span.service_ms, span.ms);
            }
            true
        });
    }
}
