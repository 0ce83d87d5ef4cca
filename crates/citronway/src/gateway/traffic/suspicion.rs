//! Whether a request's work crashes endpoints, and what its try adds to that.

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
use super::outcome::{Outcome, shown_id};
use super::trial::Trial;
use crate::clock;
use crate::gateway::http_link::Listening;

/// What a look at an endpoint shows after its connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Look {
    /// It has not crashed, or nothing is known.
    NotCrashed,
    /// It crashed while it had the work.
    Crashed,
    /// The same, and another endpoint did before.
    CrashedAgain,
}

impl Forwarding<'_> {
    /// What this try has in common with others of the same work; none while no key is known.
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
            host: &self.words.host,
            method: message.method.as_str(),
            path,
            key: self.job.key,
            body: &message.body,
        };
        Some(work.fingerprint(&key))
    }

    /// The fingerprint of this work if it is refused.
    pub(super) fn harmful(&self, now: Mono) -> Option<Fingerprint> {
        let known = self.known();
        if known.refused.is_empty() {
            return None;
        }
        self.fingerprint()
            .filter(|work| known.is_refused(now, *work))
    }

    fn known(&self) -> Arc<CrashSnapshot> {
        Arc::clone(&self.state.view.borrow().crashes)
    }

    /// Ends a try of harmful work: it has not run, unless an earlier send of it may have.
    pub(super) fn refused_as_harmful(&self, work: Fingerprint) -> Outcome {
        if self.run_by.is_empty() {
            return Outcome::Harmful(work);
        }
        Outcome::Unknown(UnknownOutcomeReason::Crashed, "endpoints that run it crash")
    }

    /// Tells a crash of the endpoint from a connection that was cut.
    ///
    /// One that has said that it leaves may end at any time. Work that was under suspicion
    /// before this crash is not sent again by this try: it costs an endpoint, and all that
    /// runs there, if the suspicion is right.
    pub(super) async fn look_at(&mut self, choice: &Choice) -> Look {
        let listening = self.state.looks.at(choice).await;
        let Some(work) = self.fingerprint().filter(|_| listening == Listening::No) else {
            return Look::NotCrashed;
        };
        let request = shown_id(self.words.id.as_ref());
        let endpoint = &choice.endpoint;
        let leaves = self.state.leaves(endpoint);
        log::info!(request, endpoint:%, work:%, leaves; "endpoint ended with the request");
        if leaves {
            return Look::NotCrashed;
        }
        self.state.crashed(work, endpoint);
        if let Some(trial) = self.trial.take() {
            let endpoint = EndpointTag::of(endpoint);
            trial.ended(TrialEnd::Crashed { endpoint });
        }
        if self.known().is_suspect(work) {
            Look::CrashedAgain
        } else {
            Look::Crashed
        }
    }

    /// Takes a trial where the work is under suspicion; a refusal if another copy is being
    /// tried.
    ///
    /// Failure guarded against: copies of harmful work gather while their key has no owner,
    /// all reach the next one in the same moment, and each of them is a send that a crash
    /// ends.
    pub(super) async fn take_trial(&mut self) -> Option<Refusal> {
        let work = self.suspect()?;
        let number = self.state.ticket();
        let limit_ms = self.job.deadline.since(clock::mono());
        let state = Rc::clone(self.state);
        // Dropped without a grant, it gives back what a late one took.
        let trial = Trial {
            state,
            number,
            work,
            end: TrialEnd::Inconclusive,
        };
        let expected_ms = self.job.expected_ms();
        let grant = self.state.asks.trial(number, work, expected_ms, limit_ms);
        let grant = grant.await;
        self.state.metrics.count_trial_request(&grant);
        let TrialGrant::Busy { for_ms } = grant else {
            self.trial = Some(trial);
            return None;
        };
        let request = shown_id(self.words.id.as_ref());
        log::info!(request, work:%, busy_ms = for_ms; "another copy of the work is being tried");
        let left_ms = self.job.caller_deadline.since(clock::mono());
        Some(Refusal {
            reason: RefusalReason::UnderTrial,
            retry_after_ms: copy_retry_after_ms(for_ms, left_ms, number),
        })
    }

    /// The fingerprint of this work if it was at an endpoint that crashed.
    fn suspect(&self) -> Option<Fingerprint> {
        let known = self.known();
        if known.suspects.is_empty() && !self.has_crashed {
            return None;
        }
        let work = self.fingerprint()?;
        (self.has_crashed || known.is_suspect(work)).then_some(work)
    }

    /// Clears work that was under suspicion: an endpoint ran it to its end.
    pub(super) fn clear_suspicion(&mut self) {
        if let Some(trial) = self.trial.take() {
            trial.ended(TrialEnd::Answered);
        }
        let known = self.known();
        if known.suspects.is_empty() {
            return;
        }
        let work = self.fingerprint();
        if let Some(work) = work.filter(|work| known.is_suspect(*work)) {
            self.state.cleared(work);
        }
    }
}
