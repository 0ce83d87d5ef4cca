//! Forwards a request to endpoints and retries it as its route allows.

use std::cell::OnceCell;
use std::rc::Rc;

use citronway_core::gateway::admission::{
    Choice, Decision, Job, Refusal, RefusalReason, UnknownOutcomeReason,
};
use citronway_core::gateway::assignment::Range;
use citronway_core::gateway::budget::RetryCause;
use citronway_core::gateway::crashes::Fingerprint;
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::gateway::routes::{Repeat, Route};
use citronway_core::ids::EndpointStart;
use citronway_core::time::Mono;
use citronway_platform::answers::AnswerKind;
use citronway_platform::exchange::RequestMetadata;

use super::endpoint_send::EndedSend;
use super::message::Message;
use super::neighbor;
use super::open_requests::{OpenRequest, Stage};
use super::outcome::{DEFAULT_RETRY_MS, Outcome, display_id, stopping};
use super::send::{OpenSends, SendEvent};
use super::sent::{NotSentCause, SendResult, UnknownOutcome, log_send};
use super::state::{Charge, Phase, Retry, State};
use super::suspicion::CrashCheck;
use super::trial::Trial;
use crate::clock;
use crate::gateway::http_link::Answer;
use crate::gateway::metrics::Class;

/// Least time left with which a request is still sent, in milliseconds; with less, the endpoint
/// would have no time to work on it.
pub(super) const MIN_SEND_TIME_MS: u64 = 20;

/// Whether a request that has a place may be sent.
enum SendAdmission {
    Granted,
    /// Not now; an endpoint is chosen again.
    ChooseAgain,
    Refused(Outcome),
}

/// A request that is being forwarded.
pub(super) struct Forwarding<'a> {
    pub state: &'a Rc<State>,
    pub route: &'a Route,
    pub metadata: &'a RequestMetadata,
    /// Current stage of the request; decides the answer that it gets when the instance stops.
    pub open: &'a Rc<OpenRequest>,
    pub message: Rc<Message>,
    pub job: Job,
    /// Endpoints that may have run the request.
    pub may_have_run_at: Vec<EndpointStart>,
    /// Number of endpoints that may have run the request through other instances.
    pub runs_elsewhere: u32,
    /// Number of ended sends that reached an endpoint.
    pub sends: u32,
    pub open_sends: OpenSends,
    /// Answer of an endpoint that failed with a server error, kept while another endpoint is
    /// tried.
    pub failed_answer: Option<Answer>,
    /// Charge of the request, head and body.
    pub _held: Charge,
    /// Room for the answer of a neighbor, or for the answer that is returned.
    pub room: Charge,
    /// Fingerprint of the request's work, computed on first use.
    pub work: OnceCell<Fingerprint>,
    /// Trial granted for the current send, if the work is under suspicion.
    pub trial: Option<Trial>,
    /// Whether an endpoint has crashed while it ran the request.
    pub has_crashed: bool,
    /// Why the request is sent again, if it has reached an endpoint.
    pub retry_cause: RetryCause,
    /// Whether the budget of second sends had none left for it, which is logged once.
    pub lacked_retry: bool,
}

impl Forwarding<'_> {
    /// Sends the request until it is answered or no further attempt is possible.
    pub(super) async fn run(mut self) -> Outcome {
        let ending = self.state.wait_for_phase(Phase::Ending);
        let outcome = tokio::select! {
            biased;
            outcome = self.send_until_answered() => outcome,
            () = ending => self.end_for_stop(),
        };
        match (outcome, self.failed_answer) {
            (answered @ Outcome::Answered(_), _) | (answered, None) => answered,
            // An endpoint's answer says more than the fact that no other endpoint could be
            // reached.
            (_, Some(answer)) => Outcome::Answered(answer),
        }
    }

    async fn send_until_answered(&mut self) -> Outcome {
        loop {
            if let Some(outcome) = self.send_next().await {
                return outcome;
            }
            while !self.open_sends.is_empty() {
                let outcome = match self.wait_for_event().await {
                    SendEvent::Ended(ended) => self.handle_ended(*ended).await,
                    SendEvent::Silent => self.send_beside().await,
                };
                let Some(outcome) = outcome else {
                    continue;
                };
                // While a send is open, its endpoint may still answer.
                if self.open_sends.is_empty() || outcome.is_served() {
                    return outcome;
                }
                if let Outcome::Answered(failed) = outcome {
                    self.failed_answer = Some(failed);
                }
            }
        }
    }

    /// Finds a place and begins a send there. Returns the outcome if the request ends before.
    async fn send_next(&mut self) -> Option<Outcome> {
        loop {
            let began = clock::mono();
            // A request that waits for a place must not keep other copies from their trial.
            self.trial = None;
            if let Some(work) = self.harmful_work(began) {
                return Some(self.refuse_harmful(work));
            }
            self.open.enter_stage(began, Stage::Waiting);
            let choice = match self.state.find_place(self.job.clone()).await {
                Some(Decision::Send(choice)) => choice,
                Some(Decision::Refuse(refusal)) => {
                    self.log_refusal_inputs(refusal.reason);
                    return Some(self.refuse(refusal));
                }
                Some(Decision::Forward) => {
                    let Some(room) = self.reserve_answer() else {
                        return Some(self.refuse_for_memory());
                    };
                    self.room = room;
                    if let Some(outcome) = self.forward().await {
                        return Some(outcome);
                    }
                    if !self.has_time(clock::mono()) {
                        return Some(self.refuse_with(RefusalReason::Unreachable));
                    }
                    continue;
                }
                None => return Some(self.refuse_with(RefusalReason::Overloaded)),
            };
            let class = Class::of(self.route);
            let placed = clock::mono();
            let waited_ms = placed.since(self.job.arrived);
            if self.sends == 0 {
                self.state.metrics.record_wait(class, waited_ms);
            }
            self.open.set_endpoint(placed, &choice);
            let in_flight = self.state.in_flight(&choice, self.job.ticket);
            // Others may have used the last second send while the request waited.
            if self.open.has_reached_endpoint() && !self.state.has_retry(placed, self.retry()) {
                return Some(self.refuse_with(RefusalReason::EndpointRefused));
            }
            let Some(room) = self.reserve_answer() else {
                return Some(self.refuse_for_memory());
            };
            // The work may have been classified as harmful while the request waited.
            if let Some(work) = self.harmful_work(placed) {
                return Some(self.refuse_harmful(work));
            }
            match self.admit_send(&choice).await {
                SendAdmission::Granted => {}
                SendAdmission::ChooseAgain => continue,
                SendAdmission::Refused(outcome) => return Some(outcome),
            }
            if !self.begin_send(choice, in_flight, room) {
                return Some(self.refuse_with(RefusalReason::Overloaded));
            }
            return None;
        }
    }

    /// Handles an ended send. Returns `None` if the request is to be sent again.
    pub(super) async fn handle_ended(&mut self, ended: EndedSend) -> Option<Outcome> {
        let choice = ended.choice.clone();
        self.open_sends.remove(clock::mono(), &choice.endpoint);
        if ended.was_sent {
            self.sends += 1;
        }
        let sent = self.read_result(ended);
        let now = clock::mono();
        self.log_send(now, &choice, &sent);
        let is_withheld = matches!(sent, SendResult::Withheld);
        if !is_withheld && !self.job.tried.contains(&choice.endpoint) {
            self.job.tried.push(choice.endpoint.clone());
        }
        match sent {
            SendResult::Withheld => {
                let no_time = !self.has_time(now);
                no_time.then(|| self.refuse_with(RefusalReason::Overloaded))
            }
            SendResult::Answer(answer) => {
                let request = display_id(self.metadata.id.as_ref());
                self.state
                    .record_timed_answer(now, request, &self.job, &choice);
                self.handle_answer(now, &choice, answer)
            }
            SendResult::NoRetryLeft => Some(self.refuse_with(RefusalReason::EndpointRefused)),
            SendResult::NotSent(cause) => {
                self.record_unsent(&choice, &cause);
                let no_time = !self.has_time(now);
                no_time.then(|| self.refuse_with(RefusalReason::Unreachable))
            }
            SendResult::Refused(kind) => self.handle_rejection(now, &choice, kind),
            SendResult::MayHaveRun(unknown) => {
                self.handle_unknown_outcome(now, choice, unknown).await
            }
            SendResult::TimedOut => {
                self.state.record_failure(&choice.endpoint);
                Some(Outcome::TimedOut)
            }
        }
    }

    /// Asks for what a send needs besides a place: a trial, and leave to send to a cold or limited
    /// endpoint.
    async fn admit_send(&mut self, choice: &Choice) -> SendAdmission {
        if let Some(refusal) = self.admit_trial().await {
            return SendAdmission::Refused(self.refuse(refusal));
        }
        let Err(reason) = self.admit_endpoint(choice).await else {
            return SendAdmission::Granted;
        };
        if self.has_time(clock::mono()) {
            SendAdmission::ChooseAgain
        } else {
            SendAdmission::Refused(self.refuse_with(reason))
        }
    }

    /// Asks for leave to send to a cold or limited endpoint.
    pub(super) async fn admit_endpoint(&self, choice: &Choice) -> Result<(), RefusalReason> {
        if !self.admit_cold_send(choice).await {
            return Err(RefusalReason::Overloaded);
        }
        if !self.admit_limited_send(choice).await {
            return Err(RefusalReason::EndpointLimited);
        }
        Ok(())
    }

    /// Records that nothing reached the endpoint.
    fn record_unsent(&self, choice: &Choice, cause: &NotSentCause) {
        match cause {
            NotSentCause::NoConnection(_) => self.state.record_unreachable(&choice.endpoint),
            NotSentCause::Reset => {
                self.state.record_link_reset(&choice.endpoint);
                self.state.record_reset(&choice.endpoint);
                self.record_no_room(choice);
            }
        }
    }

    /// Records that the endpoint may have run the request. Returns `None` if the request is to
    /// be sent again.
    async fn handle_unknown_outcome(
        &mut self,
        now: Mono,
        choice: Choice,
        unknown: UnknownOutcome,
    ) -> Option<Outcome> {
        let crash_check = match unknown {
            UnknownOutcome::Broken | UnknownOutcome::Truncated => {
                self.check_for_crash(&choice).await
            }
            UnknownOutcome::Wrong(_) | UnknownOutcome::NoMemory => CrashCheck::NotCrashed,
        };
        if let Some(wrong) = unknown.wrong_answer() {
            self.state.record_wrong_answer(now, &choice.endpoint, wrong);
        }
        match unknown {
            UnknownOutcome::Broken => {
                self.state.record_link_reset(&choice.endpoint);
                self.state.record_reset(&choice.endpoint);
                self.record_no_room(&choice);
            }
            UnknownOutcome::Wrong(_) | UnknownOutcome::NoMemory | UnknownOutcome::Truncated => {
                self.state.record_failure(&choice.endpoint);
            }
        }
        self.has_crashed |= crash_check != CrashCheck::NotCrashed;
        self.may_have_run_at.push(choice.endpoint);
        if crash_check == CrashCheck::CrashedAgain {
            let cause = "the endpoint crashed";
            return Some(Outcome::Unknown(UnknownOutcomeReason::Crashed, cause));
        }
        if !self.may_run_again() || !self.may_send_again(now, RetryCause::Unanswered) {
            return Some(Outcome::Unknown(
                UnknownOutcomeReason::Broken,
                unknown.cause(),
            ));
        }
        None
    }

    fn log_send(&self, now: Mono, choice: &Choice, sent: &SendResult) {
        let work = match sent {
            SendResult::MayHaveRun(_) => self.fingerprint(),
            SendResult::Answer(_)
            | SendResult::Refused(_)
            | SendResult::NotSent(_)
            | SendResult::NoRetryLeft
            | SendResult::Withheld
            | SendResult::TimedOut => None,
        };
        let ms = now.since(self.job.arrived);
        log_send(self.metadata, choice, sent, self.sends, ms, work);
    }

    /// Logs the state on which a refusal was based, with versions.
    fn log_refusal_inputs(&self, reason: RefusalReason) {
        let request = display_id(self.metadata.id.as_ref());
        let service = self.job.service.as_str();
        let key = self.job.key;
        let waiting = self.state.waiting_count();
        let view = self.state.view.borrow();
        let routes = view.routes.as_ref().map_or(0, |routes| routes.version.0);
        let owners = view.owners.get(&self.job.service);
        let range = owners
            .zip(key)
            .and_then(|(owners, key)| owners.assignment.range_at(key));
        let owner = range.map_or_else(|| "-".to_owned(), |r| r.holder.endpoint.to_string());
        let fence = range.map_or(0, |range| range.holder.fence);
        let moving = range.is_some_and(Range::is_moving);
        let limit = range.and_then(|r| view.limits.get(&EndpointTag::of(&r.holder.endpoint)));
        let limit = limit.map_or_else(|| "-".to_owned(), f64::to_string);
        let leaving = range.is_some_and(|r| self.state.has_left_in(&view, &r.holder.endpoint));
        let row = owners.map_or(0, |owners| owners.version.number);
        let instances = view.instances;
        let rank = self.job.priority;
        let demand = self.state.demand_of(&view, &self.job);
        let key = key.map_or(-1, i32::from);
        let byte_bound_kb = view.byte_bounds.get(&self.job.service);
        let byte_bound_kb = byte_bound_kb.copied().unwrap_or_default();
        let body_kb = self.job.body_bytes.div_ceil(1_024);
        log::info!(
            request, service, key, owner = owner.as_str(), fence, moving, limit = limit.as_str(), leaving, row, routes, waiting, instances, rank, demand = demand.as_str(),
            byte_bound_kb, body_kb,
            reason = reason.as_str();
            "no place found"
        );
    }

    /// Handles an endpoint's answer. Returns `None` if another endpoint is to be tried.
    fn handle_answer(&mut self, now: Mono, choice: &Choice, mut answer: Answer) -> Option<Outcome> {
        if self.job.is_forwarded {
            let endpoint = EndpointTag::of(&choice.endpoint);
            neighbor::write_endpoint(endpoint, &mut answer.headers);
        }
        if answer.status.is_server_error() {
            // A server error: the endpoint ran the request and failed. Another endpoint may
            // succeed; a key has only its owner.
            self.state.record_failure(&choice.endpoint);
            self.may_have_run_at.push(choice.endpoint.clone());
            let other = choice.fence.is_none() && self.may_run_again();
            if other && now < self.job.objective_at && self.may_send_again(now, RetryCause::Failed)
            {
                self.failed_answer = Some(answer);
                return None;
            }
        }
        Some(Outcome::Answered(answer))
    }

    /// Handles a rejection by an endpoint. Returns `None` if the request is to be sent again.
    fn handle_rejection(
        &mut self,
        now: Mono,
        choice: &Choice,
        kind: AnswerKind,
    ) -> Option<Outcome> {
        self.record_refusal(choice, kind);
        let cause = match kind {
            AnswerKind::Misdirected => RetryCause::Misdirected,
            _ => RetryCause::Rejected,
        };
        if !self.may_send_again(now, cause) {
            return Some(self.refuse_with(RefusalReason::EndpointRefused));
        }
        self.job.record_rejection(now, &choice.endpoint);
        None
    }

    fn record_refusal(&self, choice: &Choice, kind: AnswerKind) {
        match (kind, choice.fence) {
            (AnswerKind::Misdirected, Some(fence)) => self.state.record_not_held(&self.job, fence),
            (AnswerKind::Misdirected, None) => self.state.record_replaced(&choice.endpoint),
            (AnswerKind::Full, _) => {
                self.state.record_failure(&choice.endpoint);
                self.record_no_room(choice);
            }
            _ => self.state.record_failure(&choice.endpoint),
        }
    }

    /// Records that an endpoint had no room, if any endpoint of its service could run the
    /// request.
    fn record_no_room(&self, choice: &Choice) {
        if choice.fence.is_none() {
            self.state.record_rejection(&self.job);
        }
    }

    pub(super) fn has_time(&self, now: Mono) -> bool {
        now.plus(MIN_SEND_TIME_MS) < self.job.deadline
    }

    pub(super) fn may_run_again(&self) -> bool {
        let attempts = self.route.attempts.max(1);
        self.job.repeat == Repeat::Idempotent && self.runs() < attempts
    }

    /// Number of endpoints that may have run the request.
    pub(super) fn runs(&self) -> u32 {
        let here = self.may_have_run_at.len() + self.open_sends.silent_count();
        let here = u32::try_from(here).unwrap_or(u32::MAX);
        here.saturating_add(self.runs_elsewhere)
    }

    /// Whether there is time and a second send left. The second send is taken right before the
    /// request is sent.
    pub(super) fn may_send_again(&mut self, now: Mono, cause: RetryCause) -> bool {
        self.retry_cause = cause;
        self.has_time(now) && self.state.has_retry(now, self.retry())
    }

    pub(super) fn retry(&self) -> Retry<'_> {
        Retry {
            request: display_id(self.metadata.id.as_ref()),
            service: &self.job.service,
            cause: self.retry_cause,
        }
    }

    /// Outcome of a request that was refused at admission.
    pub(super) fn refuse(&self, refusal: Refusal) -> Outcome {
        if self.runs() == 0 {
            return Outcome::NotRun(refusal);
        }
        Outcome::Unknown(UnknownOutcomeReason::Broken, "no other endpoint has room")
    }

    /// Reserves room for the usual answer of the route, if there is any.
    ///
    /// Failure guarded against: requests are sent on while there is memory for them, and their
    /// answers come all at once.
    pub(super) fn reserve_answer(&self) -> Option<Charge> {
        let mut room = self.state.memory.reserve(0);
        room.reserve(self.job.answer_bytes).then_some(room)
    }

    fn refuse_for_memory(&self) -> Outcome {
        self.refuse(Refusal {
            reason: RefusalReason::OutOfMemory,
            retry_after_ms: self.state.memory.retry_after_ms(self.job.answer_bytes),
        })
    }

    /// Outcome of a request that has no answer when the instance ends.
    ///
    /// A request that an endpoint has, or may have, is not reported as not run.
    fn end_for_stop(&self) -> Outcome {
        self.open.log_stopped(clock::mono());
        // Silent endpoints count as runs, whatever the stage of the next send.
        if self.runs() == 0 && !self.open.may_be_at_endpoint() {
            return stopping();
        }
        let cause = "the instance stopped before the endpoint answered";
        Outcome::Unknown(UnknownOutcomeReason::Stopped, cause)
    }

    /// Outcome of a request whose last send was refused, with the default time to retry.
    fn refuse_with(&self, reason: RefusalReason) -> Outcome {
        self.refuse(Refusal {
            reason,
            retry_after_ms: DEFAULT_RETRY_MS,
        })
    }
}
