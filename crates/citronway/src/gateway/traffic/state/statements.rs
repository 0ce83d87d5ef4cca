//! What endpoints state of themselves in their answers, as the traffic thread keeps it.

use citronway_core::gateway::departures::{Departure, owned_work_until};
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::gateway::rests::{MAX_REPORTED, RestReport};
use citronway_core::gateway::stated_limits::StatedLimit;
use citronway_core::ids::EndpointStart;
use citronway_core::time::Mono;
use citronway_platform::DecodeError;
use citronway_platform::answers::{AnswerHead, AnswerKind};
use indexmap::IndexMap;

use super::State;
use crate::clock;
use crate::gateway::control::Source;
use crate::gateway::wrong_answer::{AnswerTo, WrongAnswer};

/// Shortest interval between two log lines about unusable statements, or about wrong answers, in
/// milliseconds.
const UNUSABLE_LOG_MS: u64 = 1_000;

/// Statements since the last report to `control`.
#[derive(Debug, Default)]
pub(super) struct Unreported {
    /// Limits, and when they were stated.
    limits: IndexMap<EndpointTag, (Option<f64>, Mono)>,
    /// Endpoints that leave, and when they first said so.
    departures: IndexMap<EndpointTag, Mono>,
    /// When an unusable statement was last logged.
    unusable_logged_at: Option<Mono>,
    /// When a wrong answer was last logged.
    wrong_logged_at: Option<Mono>,
}

impl State {
    /// Records what an answer states of its endpoint.
    ///
    /// An answer to another request states nothing, as it may come from another endpoint. One that
    /// rejects the request as misdirected may come from a later process at the address, which has
    /// a limit of its own; that it leaves applies to both, since the earlier one has ended.
    pub(in crate::gateway::traffic) fn record_statements(
        &self,
        endpoint: &EndpointStart,
        head: &AnswerHead,
    ) {
        if head.kind == AnswerKind::Foreign {
            return;
        }
        match &head.leaving {
            Ok(true) => self.record_departure(EndpointTag::of(endpoint)),
            Ok(false) => {}
            Err(e) => self.record_unusable(endpoint, Source::Leaving, e),
        }
        if head.kind == AnswerKind::Misdirected {
            return;
        }
        match &head.rest_ms {
            Ok(Some(rest_ms)) => self.record_rest(endpoint, *rest_ms),
            Ok(None) => {}
            Err(e) => self.record_unusable(endpoint, Source::Rest, e),
        }
        match &head.limit {
            Ok(per_s) => {
                let stated = (*per_s, clock::mono());
                let mut unreported = self.unreported.borrow_mut();
                unreported.limits.insert(EndpointTag::of(endpoint), stated);
            }
            Err(e) => self.record_unusable(endpoint, Source::Limit, e),
        }
    }

    /// Records that an endpoint states that it leaves.
    pub(in crate::gateway::traffic) fn record_departure(&self, endpoint: EndpointTag) {
        let now = clock::mono();
        let until = owned_work_until(now, self.drain_ms);
        let mut admission = self.admission.borrow_mut();
        admission.record_departure(now, endpoint, until);
        let mut unreported = self.unreported.borrow_mut();
        unreported.departures.entry(endpoint).or_insert(now);
    }

    fn record_rest(&self, endpoint: &EndpointStart, rest_ms: u64) {
        let mut admission = self.admission.borrow_mut();
        if admission.record_rest(clock::mono(), EndpointTag::of(endpoint), rest_ms) {
            log::info!(endpoint:%, rest_ms; "endpoint asks for rest");
        }
    }

    /// Endpoints that rest now.
    pub(super) fn rests(&self) -> Vec<RestReport> {
        let admission = self.admission.borrow();
        let resting = admission.resting(clock::mono());
        let reports = resting.map(|(endpoint, left_ms)| RestReport {
            endpoint,
            left_ms: u32::try_from(left_ms).unwrap_or(u32::MAX),
            instances: 1,
        });
        reports.take(MAX_REPORTED).collect()
    }

    /// Logs rests that have ended, and updates the metric.
    pub(super) fn update_rests(&self) {
        let now = clock::mono();
        let ended = self.admission.borrow_mut().take_ended_rests(now);
        if !ended.is_empty() {
            let view = self.view.borrow();
            let listed = view.registry.iter().map(|known| &known.listing.start);
            for endpoint in listed.filter(|start| ended.contains(&EndpointTag::of(start))) {
                log::info!(endpoint:%; "rest of an endpoint has ended");
            }
        }
        let resting = self.admission.borrow().resting(now).count();
        self.metrics.statements.set_resting_endpoints(resting);
        let held = self.admission.borrow_mut().take_held_for_rest();
        self.metrics.statements.count_held_for_rest(held);
    }

    /// Counts a statement that cannot be used; it changes nothing.
    fn record_unusable(&self, endpoint: &EndpointStart, source: Source, e: &DecodeError) {
        self.metrics.count_unusable(source, 1);
        let now = clock::mono();
        let mut unreported = self.unreported.borrow_mut();
        let logged_at = unreported.unusable_logged_at;
        if logged_at.is_some_and(|at| now.since(at) < UNUSABLE_LOG_MS) {
            return;
        }
        unreported.unusable_logged_at = Some(now);
        log::warn!(endpoint:%, cause = e.to_string(); "statement of an endpoint cannot be used");
    }

    /// Counts a wrong answer of an endpoint.
    pub(in crate::gateway::traffic) fn record_wrong_answer(
        &self,
        now: Mono,
        endpoint: &EndpointStart,
        wrong: WrongAnswer,
    ) {
        self.metrics.wrong_answers.count(wrong, AnswerTo::Request);
        let mut unreported = self.unreported.borrow_mut();
        let logged_at = unreported.wrong_logged_at;
        if logged_at.is_some_and(|at| now.since(at) < UNUSABLE_LOG_MS) {
            return;
        }
        unreported.wrong_logged_at = Some(now);
        log::warn!(endpoint:%, kind = wrong.as_str(); "an endpoint sends wrong answers");
    }

    /// Takes the limits that endpoints stated since the last report.
    pub(super) fn take_stated_limits(&self) -> Vec<StatedLimit> {
        let now = clock::mono();
        let stated = std::mem::take(&mut self.unreported.borrow_mut().limits);
        let stated = stated
            .into_iter()
            .map(|(endpoint, (per_s, at))| StatedLimit {
                endpoint,
                per_s,
                age_ms: age_ms(now, at),
            });
        stated.collect()
    }

    /// Keeps departures for the next report.
    pub(super) fn restore_departures(&self, departures: &[Departure]) {
        let now = clock::mono();
        let mut unreported = self.unreported.borrow_mut();
        for departure in departures {
            let at = now.minus(u64::from(departure.age_ms));
            let known = unreported
                .departures
                .entry(departure.endpoint)
                .or_insert(at);
            *known = at.min(*known);
        }
    }

    /// Takes the endpoints that stated since the last report that they leave.
    pub(super) fn take_departures(&self) -> Vec<Departure> {
        let now = clock::mono();
        let stated = std::mem::take(&mut self.unreported.borrow_mut().departures);
        let stated = stated.into_iter().map(|(endpoint, at)| Departure {
            endpoint,
            age_ms: age_ms(now, at),
        });
        stated.collect()
    }
}

fn age_ms(now: Mono, at: Mono) -> u32 {
    u32::try_from(now.since(at)).unwrap_or(u32::MAX)
}
