//! Detects work that crashes endpoints, and keeps it from being sent again.

use std::rc::Rc;
use std::sync::Arc;

use citronway_core::gateway::admission::{Choice, Refusal, RefusalReason, UnknownOutcomeReason};
use citronway_core::gateway::crashes::{
    CrashSnapshot, Fingerprint, TrialEnd, TrialGrant, Work, copy_retry_after_ms,
};
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::time::Mono;
use citronway_platform::exchange;
use http::uri::PathAndQuery;

use super::forwarding::Forwarding;
use super::outcome::{Outcome, display_id};
use super::trial::Trial;
use crate::clock;
use crate::gateway::http_link::Listening;

/// Result of probing an endpoint after its connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CrashCheck {
    /// The endpoint has not crashed, or its state is unknown.
    NotCrashed,
    /// The endpoint crashed while it had the work.
    Crashed,
    /// The endpoint crashed while it had the work, as another endpoint did before.
    CrashedAgain,
}

impl Forwarding<'_> {
    /// Fingerprint that this request shares with other requests for the same work; `None` while
    /// no fingerprint key is known.
    pub(super) fn fingerprint(&self) -> Option<Fingerprint> {
        if let Some(known) = self.work.get() {
            return Some(*known);
        }
        let made = self.make_fingerprint()?;
        Some(*self.work.get_or_init(|| made))
    }

    fn make_fingerprint(&self) -> Option<Fingerprint> {
        let key = self.state.view.borrow().crashes.key?;
        let message = &self.message;
        let path = message
            .uri
            .path_and_query()
            .map_or("/", PathAndQuery::as_str);
        let work = Work {
            caller: exchange::credentials(&message.headers),
            host: &self.metadata.host,
            method: message.method.as_str(),
            path,
            key: self.job.key,
            body: &message.body,
        };
        Some(work.fingerprint(&key))
    }

    /// The fingerprint of this work if it is refused as harmful.
    pub(super) fn harmful_work(&self, now: Mono) -> Option<Fingerprint> {
        let known = self.known_work();
        if known.refused.is_empty() {
            return None;
        }
        self.fingerprint()
            .filter(|work| known.is_refused(now, *work))
    }

    fn known_work(&self) -> Arc<CrashSnapshot> {
        Arc::clone(&self.state.view.borrow().crashes)
    }

    /// Outcome of a request whose work is harmful: it has not run, unless an earlier send of it
    /// may have.
    pub(super) fn refuse_harmful(&self, work: Fingerprint) -> Outcome {
        if self.runs() == 0 {
            return Outcome::Harmful(work);
        }
        Outcome::Unknown(UnknownOutcomeReason::Crashed, "endpoints that run it crash")
    }

    /// Checks whether the endpoint crashed or only the connection was cut.
    ///
    /// An endpoint that has announced its stop may end at any time, which is no crash. Work
    /// that was under suspicion before this crash is not sent again by this request: if the
    /// suspicion is right, that costs another endpoint and everything that runs there.
    pub(super) async fn check_for_crash(&mut self, choice: &Choice) -> CrashCheck {
        // Failure guarded against: the entry of a crashed endpoint is removed while its address is
        // probed. It then counted as a planned stop, and copies of the work were sent on.
        let had_left = self.state.has_left(&choice.endpoint);
        let mut listening = self.state.listener_probes.probe(choice).await;
        if listening == Listening::No && !self.state.reaches_another(&choice.endpoint).await {
            // This instance reaches no endpoint, so the fault may be its own link.
            listening = Listening::Unknown;
        }
        let Some(work) = self.fingerprint().filter(|_| listening == Listening::No) else {
            return CrashCheck::NotCrashed;
        };
        let request = display_id(self.metadata.id.as_ref());
        let endpoint = &choice.endpoint;
        // An endpoint that stops as planned states that it drains before its entry is removed.
        let leaves = had_left || self.state.is_draining(endpoint);
        log::info!(request, endpoint:%, work:%, leaves; "endpoint ended with the request");
        if leaves {
            return CrashCheck::NotCrashed;
        }
        self.state.record_crash(work, endpoint);
        if let Some(trial) = self.trial.take() {
            let endpoint = EndpointTag::of(endpoint);
            trial.finish(TrialEnd::Crashed { endpoint });
        }
        if self.known_work().is_suspect(work) {
            CrashCheck::CrashedAgain
        } else {
            CrashCheck::Crashed
        }
    }

    /// Requests a trial if the work is under suspicion. Returns a refusal if another copy is
    /// being tried.
    ///
    /// Failure guarded against: copies of harmful work gather while their key has no owner, all
    /// reach the next owner at the same moment, and a crash ends each of these sends.
    pub(super) async fn admit_trial(&mut self) -> Option<Refusal> {
        let work = self.suspect_work()?;
        let number = self.state.next_ticket();
        let limit_ms = self.job.deadline.since(clock::mono());
        let state = Rc::clone(self.state);
        // Dropping this without a grant returns a grant that arrives late.
        let trial = Trial {
            state,
            number,
            work,
            end: TrialEnd::Inconclusive,
        };
        let expected_ms = self.job.expected_ms();
        let grant = self
            .state
            .control
            .request_trial(number, work, expected_ms, limit_ms);
        let grant = grant.await;
        self.state.metrics.count_trial_request(&grant);
        let TrialGrant::Busy { for_ms } = grant else {
            self.trial = Some(trial);
            return None;
        };
        let request = display_id(self.metadata.id.as_ref());
        log::info!(request, work:%, busy_ms = for_ms; "another copy of the work is being tried");
        let left_ms = self.job.caller_deadline.since(clock::mono());
        Some(Refusal {
            reason: RefusalReason::UnderTrial,
            retry_after_ms: copy_retry_after_ms(for_ms, left_ms, number),
        })
    }

    /// The fingerprint of this work if it was at an endpoint that crashed.
    pub(super) fn suspect_work(&self) -> Option<Fingerprint> {
        let known = self.known_work();
        if known.suspects.is_empty() && !self.has_crashed {
            return None;
        }
        let work = self.fingerprint()?;
        (self.has_crashed || known.is_suspect(work)).then_some(work)
    }

    /// Clears work that was under suspicion, because an endpoint ran it to its end.
    pub(super) fn clear_suspicion(&mut self) {
        if let Some(trial) = self.trial.take() {
            trial.finish(TrialEnd::Answered);
        }
        let known = self.known_work();
        if known.suspects.is_empty() {
            return;
        }
        let work = self.fingerprint();
        if let Some(work) = work.filter(|work| known.is_suspect(*work)) {
            self.state.record_cleared(work);
        }
    }
}
