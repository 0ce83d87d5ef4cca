//! Links of this instance to endpoints, by what its own requests show.
//!
//! An endpoint that does not answer one instance may answer all others: the failure may be one of
//! this instance's links. Where several endpoints fail and none answers, other endpoints are probed.
//! If none accepts a connection, the instance counts as cut off, until an endpoint answers it again.

use indexmap::IndexMap;

use crate::gateway::pace::EndpointTag;
use crate::gateway::routes::Repeat;
use crate::time::Mono;

/// Time for which a failed connection counts, in milliseconds.
const FAILURE_MEMORY_MS: u64 = 2_000;

/// Time without an answer after which an endpoint with requests in flight counts as silent, in
/// milliseconds.
const SILENT_MS: u64 = 800;

/// Time without an answer from any endpoint after which this instance may be cut off, in
/// milliseconds.
const NO_ANSWER_MS: u64 = 400;

/// Number of failing endpoints at which this instance may be cut off. One alone may have ended.
const MIN_FAILING: usize = 2;

/// Interval between probes, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 250;

/// Time after a successful probe in which one request may be sent directly, in milliseconds.
const TRIAL_WINDOW_MS: u64 = 400;

/// Successful probes in a row after which also a request that must not be repeated may be sent
/// directly.
const PROBES_FOR_ANY: u32 = 2;

/// How a connection to an endpoint failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFailure {
    /// It was not established.
    NotConnected,
    /// It was established and then reset, as a full endpoint does too.
    Reset,
}

/// What is known of the links as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Reach {
    /// Endpoints answer.
    #[default]
    Reached,
    /// Several endpoints fail, and none answers.
    Suspected,
    /// Probes failed too.
    CutOff,
}

/// State of the links to all endpoints.
#[derive(Debug, Default)]
pub(super) struct EndpointLinks {
    /// How and when the last connection to an endpoint failed, for those that have not answered
    /// since.
    failed: IndexMap<EndpointTag, (LinkFailure, Mono)>,
    /// When an endpoint last answered a request or a probe.
    last_answer_at: Option<Mono>,
    reach: Reach,
    last_probe_at: Mono,
    /// When a probe last succeeded and no request was sent on its strength.
    probe_succeeded_at: Option<Mono>,
    /// Successful probes in a row.
    probes_succeeded: u32,
}

impl EndpointLinks {
    /// Records a complete answer of an endpoint.
    pub(super) fn record_answer(&mut self, now: Mono, tag: EndpointTag) {
        self.last_answer_at = Some(now);
        self.failed.swap_remove(&tag);
        if self.reach == Reach::CutOff {
            self.failed.clear();
        }
        self.reach = Reach::Reached;
    }

    /// Records that a connection to an endpoint failed.
    pub(super) fn record_failure(&mut self, now: Mono, tag: EndpointTag, failure: LinkFailure) {
        self.failed.insert(tag, (failure, now));
    }

    /// Whether a connection to an endpoint was not established a moment ago.
    pub(super) fn is_unconnected(&self, now: Mono, tag: EndpointTag) -> bool {
        self.failed.get(&tag).is_some_and(|(failure, at)| {
            *failure == LinkFailure::NotConnected && now.since(*at) < FAILURE_MEMORY_MS
        })
    }

    /// Whether the last connection to an endpoint failed.
    pub(super) fn has_failed(&self, tag: EndpointTag) -> bool {
        self.failed.contains_key(&tag)
    }

    /// Whether no endpoint answers this instance.
    pub(super) fn is_cut_off(&self) -> bool {
        self.reach == Reach::CutOff
    }

    /// Notices that this instance may be cut off. `unanswered` are the endpoints with requests in
    /// flight, and since when none was answered.
    pub(super) fn update(&mut self, now: Mono, unanswered: &IndexMap<EndpointTag, Mono>) {
        let is_quiet = self
            .last_answer_at
            .is_none_or(|at| now.since(at) >= NO_ANSWER_MS);
        if self.reach != Reach::Reached || !is_quiet {
            return;
        }
        self.failed
            .retain(|_, (_, at)| now.since(*at) < FAILURE_MEMORY_MS);
        let silent = unanswered
            .iter()
            .filter(|(tag, since)| {
                now.since(**since) >= SILENT_MS && !self.failed.contains_key(*tag)
            })
            .count();
        if self.failed.len() + silent >= MIN_FAILING {
            self.reach = Reach::Suspected;
        }
    }

    /// Whether endpoints are to be probed now, which then counts as begun.
    pub(super) fn begin_probe(&mut self, now: Mono) -> bool {
        let is_due =
            self.reach != Reach::Reached && now.since(self.last_probe_at) >= PROBE_INTERVAL_MS;
        if is_due {
            self.last_probe_at = now;
        }
        is_due
    }

    /// Records whether an endpoint accepted a connection of a probe.
    pub(super) fn record_probe(&mut self, now: Mono, is_accepted: bool) {
        match (self.reach, is_accepted) {
            (Reach::Reached, _) => {}
            (Reach::CutOff, false) => self.probes_succeeded = 0,
            (Reach::Suspected, true) => {
                self.last_answer_at = Some(now);
                self.reach = Reach::Reached;
            }
            (Reach::Suspected, false) => {
                self.probe_succeeded_at = None;
                self.probes_succeeded = 0;
                self.reach = Reach::CutOff;
            }
            (Reach::CutOff, true) => {
                self.probe_succeeded_at = Some(now);
                self.probes_succeeded += 1;
            }
        }
    }

    /// Whether one request may be sent directly to find out whether endpoints answer again. One
    /// that must not be repeated is lost to its caller if they do not, and waits for more probes.
    pub(super) fn begin_trial(&mut self, now: Mono, repeat: Repeat) -> bool {
        if repeat == Repeat::AtMostOnce && self.probes_succeeded < PROBES_FOR_ANY {
            return false;
        }
        let succeeded_at = self.probe_succeeded_at.take();
        succeeded_at.is_some_and(|at| now.since(at) < TRIAL_WINDOW_MS)
    }
}
