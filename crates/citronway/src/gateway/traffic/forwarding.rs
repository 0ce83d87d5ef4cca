//! A request on its way to endpoints, with what came of its sends so far.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use citronway_core::gateway::admission::{
    Choice, Decision, Job, Refusal, RefusalReason, UnknownOutcomeReason,
};
use citronway_core::gateway::assignment::Range;
use citronway_core::gateway::crashes::Fingerprint;
use citronway_core::gateway::routes::{Repeat, Route};
use citronway_core::ids::EndpointStart;
use citronway_core::time::Mono;
use citronway_platform::exchange::{self, AnswerKind, RequestMetadata};
use http::{Method, Request, Uri};

use super::open_requests::{OpenRequest, Stage};
use super::outcome::{DEFAULT_RETRY_MS, Outcome, shown_id, stopping};
use super::sent::{Doubt, Sent, Unsent, log_send};
use super::state::{Phase, State};
use super::suspicion::Look;
use super::trial::Trial;
use crate::clock;
use crate::gateway::http_link::{self, Answer, CallError, ConnectMode, Link};
use crate::gateway::metrics::Class;

/// Time under which a request is not sent any more, in milliseconds: it would reach
/// the endpoint with no time to work.
const MIN_LEFT_MS: u64 = 20;

/// Times the usual work that an endpoint is waited for where another could run the
/// request: one in a hundred takes longer when all are well.
const PATIENCE_WORKS: u64 = 5;

/// Shortest time after a refusal before the same request is sent again.
const AFTER_REFUSAL: Duration = Duration::from_millis(10);

/// What goes to an endpoint.
#[derive(Debug)]
pub(super) struct Message {
    pub method: Method,
    pub uri: Uri,
    pub headers: http::HeaderMap,
    pub body: Bytes,
}

impl Message {
    fn for_endpoint(&self, endpoint: &EndpointStart, left_ms: u64) -> Request<Bytes> {
        let mut req = Request::new(self.body.clone());
        *req.method_mut() = self.method.clone();
        // The path as it came: an absolute form is for proxies only.
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        if let Ok(uri) = path.parse() {
            *req.uri_mut() = uri;
        }
        let mut headers = self.headers.clone();
        exchange::set_target_headers(&mut headers, endpoint, left_ms);
        *req.headers_mut() = headers;
        req
    }
}

/// A request on its way.
pub(super) struct Forwarding<'a> {
    pub state: &'a Rc<State>,
    pub route: &'a Route,
    pub words: &'a RequestMetadata,
    /// Where it stands; what it is told at a stop rests on it.
    pub open: &'a OpenRequest,
    pub message: Message,
    pub job: Job,
    /// Endpoints that may have run it.
    pub run_by: Vec<EndpointStart>,
    /// Sends that an endpoint saw.
    pub sends: u32,
    /// Answer of an endpoint that failed, while another is asked.
    pub failed: Option<Answer>,
    /// Fingerprint of its work, once it was needed.
    pub work: OnceCell<Fingerprint>,
    /// What was granted for the present send, where its work is under suspicion.
    pub trial: Option<Trial>,
    /// An endpoint crashed with it.
    pub has_crashed: bool,
}

impl Forwarding<'_> {
    /// Sends it until it is answered or nothing is left to try.
    pub(super) async fn travel(mut self) -> Outcome {
        let ending = self.state.reached(Phase::Ending);
        let outcome = tokio::select! {
            biased;
            outcome = self.try_all() => outcome,
            () = ending => self.broken_off(),
        };
        match (outcome, self.failed) {
            (answered @ Outcome::Answered(_), _) | (answered, None) => answered,
            // What an endpoint said is worth more than that another could not be asked.
            (_, Some(answer)) => Outcome::Answered(answer),
        }
    }

    async fn try_all(&mut self) -> Outcome {
        loop {
            let began = clock::mono();
            // No copy keeps others from being tried while it waits for a place.
            self.trial = None;
            if let Some(work) = self.harmful(began) {
                return self.refused_as_harmful(work);
            }
            self.open.reach(began, Stage::Waiting);
            let choice = match self.state.place(self.job.clone()).await {
                Some(Decision::Send(choice)) => choice,
                Some(Decision::Refuse(refusal)) => {
                    self.log_inputs(refusal.reason);
                    return self.refused(refusal);
                }
                None => return self.spent(RefusalReason::Overloaded),
            };
            let class = Class::of(self.route);
            let placed = clock::mono();
            let waited_ms = placed.since(self.job.arrived);
            if self.sends == 0 {
                self.state.metrics.record_wait(class, waited_ms);
            }
            self.open.goes_to(placed, &choice);
            let in_flight = self.state.in_flight(&choice);
            // It may have become known while this try waited.
            if let Some(work) = self.harmful(placed) {
                return self.refused_as_harmful(work);
            }
            if let Some(refusal) = self.take_trial().await {
                return self.refused(refusal);
            }
            if !self.take_cold_turn(&choice).await {
                drop(in_flight);
                if !self.has_time(clock::mono()) {
                    return self.spent(RefusalReason::Overloaded);
                }
                continue;
            }
            let sent = self.send(&choice).await;
            drop(in_flight);
            let now = clock::mono();
            self.log_send(now, &choice, &sent);
            if !self.job.tried.contains(&choice.endpoint) {
                self.job.tried.push(choice.endpoint.clone());
            }
            match sent {
                Sent::Answer(answer) => {
                    if let Some(outcome) = self.answered(now, &choice, answer) {
                        return outcome;
                    }
                }
                Sent::TooLate => return self.spent(RefusalReason::Overloaded),
                Sent::Nowhere(cause) => {
                    self.not_sent(&choice, &cause);
                    if !self.has_time(now) {
                        return self.spent(RefusalReason::Unreachable);
                    }
                }
                Sent::Refused(meaning) => {
                    self.refused_by(&choice, meaning);
                    if !self.may_send_again(now) {
                        return self.spent(RefusalReason::EndpointRefused);
                    }
                    // It has not run there, and is with nobody until it is sent again.
                    self.open.reach(now, Stage::Waiting);
                    tokio::time::sleep(AFTER_REFUSAL).await;
                }
                Sent::Unknown(doubt) => {
                    if let Some(outcome) = self.in_doubt(now, choice, doubt).await {
                        return outcome;
                    }
                }
                Sent::TimedOut => {
                    self.state.refused(&choice.endpoint);
                    return Outcome::TimedOut;
                }
            }
        }
    }

    /// Notes that nothing reached the endpoint.
    fn not_sent(&self, choice: &Choice, cause: &Unsent) {
        match cause {
            Unsent::NoConnection => self.state.unreachable(&choice.endpoint),
            Unsent::Reset => {
                self.state.reset(&choice.endpoint);
                self.note_turned_away(choice);
            }
        }
    }

    /// Takes that the endpoint may have run it; none if it is to be sent again.
    async fn in_doubt(&mut self, now: Mono, choice: Choice, doubt: Doubt) -> Option<Outcome> {
        let crashed = match doubt {
            Doubt::Broken | Doubt::Truncated => self.look_at(&choice).await,
            Doubt::Foreign | Doubt::Silent => Look::NotCrashed,
        };
        match doubt {
            Doubt::Broken => {
                self.state.reset(&choice.endpoint);
                self.note_turned_away(&choice);
            }
            Doubt::Foreign | Doubt::Silent | Doubt::Truncated => {
                self.state.refused(&choice.endpoint);
            }
        }
        self.has_crashed |= crashed != Look::NotCrashed;
        self.run_by.push(choice.endpoint);
        if crashed == Look::CrashedAgain {
            let cause = "the endpoint crashed";
            return Some(Outcome::Unknown(UnknownOutcomeReason::Crashed, cause));
        }
        if !self.may_run_again() || !self.may_send_again(now) {
            return Some(Outcome::Unknown(
                UnknownOutcomeReason::Broken,
                doubt.cause(),
            ));
        }
        None
    }

    fn log_send(&self, now: Mono, choice: &Choice, sent: &Sent) {
        let work = match sent {
            Sent::Unknown(_) => self.fingerprint(),
            Sent::Answer(_)
            | Sent::Refused(_)
            | Sent::Nowhere(_)
            | Sent::TooLate
            | Sent::TimedOut => None,
        };
        let ms = now.since(self.job.arrived);
        log_send(self.words, choice, sent, self.sends, ms, work);
    }

    /// Logs what a refusal was decided by, with versions.
    fn log_inputs(&self, reason: RefusalReason) {
        let request = shown_id(self.words.id.as_ref());
        let service = self.job.service.as_str();
        let key = self.job.key;
        let waiting = self.state.waiting();
        let view = self.state.view.borrow();
        let routes = view.routes.as_ref().map_or(0, |routes| routes.version.0);
        let owners = view.owners.get(&self.job.service);
        let range = owners
            .zip(key)
            .and_then(|(owners, key)| owners.assignment.range_at(key));
        let owner = range.map_or_else(|| "-".to_owned(), |r| r.holder.endpoint.to_string());
        let fence = range.map_or(0, |range| range.holder.fence);
        let moving = range.is_some_and(Range::is_moving);
        let row = owners.map_or(0, |owners| owners.version.0);
        let instances = view.instances;
        let key = key.map_or(-1, i32::from);
        log::info!(
            request, service, key, owner = owner.as_str(), fence, moving, row, routes, waiting, instances,
            reason = reason.as_str();
            "no place found"
        );
    }

    /// Takes an endpoint's answer; `None` if another endpoint is to be asked.
    fn answered(&mut self, now: Mono, choice: &Choice, answer: Answer) -> Option<Outcome> {
        if answer.status.is_server_error() {
            // The endpoint's own failure: it ran. Another endpoint may do better; the
            // owner of a key has no other.
            self.state.refused(&choice.endpoint);
            self.run_by.push(choice.endpoint.clone());
            let other = choice.fence.is_none() && self.may_run_again();
            if other && now < self.job.objective_at && self.may_send_again(now) {
                self.failed = Some(answer);
                return None;
            }
        }
        Some(Outcome::Answered(answer))
    }

    fn refused_by(&self, choice: &Choice, meaning: AnswerKind) {
        match (meaning, choice.fence) {
            (AnswerKind::Misdirected, Some(fence)) => self.state.not_held(&self.job, fence),
            (AnswerKind::Misdirected, None) => self.state.gone(&choice.endpoint),
            (AnswerKind::Full, _) => {
                self.state.refused(&choice.endpoint);
                self.note_turned_away(choice);
            }
            _ => self.state.refused(&choice.endpoint),
        }
    }

    /// Notes that an endpoint had no room, where any endpoint of its service would do.
    fn note_turned_away(&self, choice: &Choice) {
        if choice.fence.is_none() {
            self.state.turned_away(&self.job);
        }
    }

    fn has_time(&self, now: Mono) -> bool {
        now.plus(MIN_LEFT_MS) < self.job.deadline
    }

    fn may_run_again(&self) -> bool {
        let attempts = self.route.attempts.max(1) as usize;
        self.job.repeat == Repeat::Idempotent && self.run_by.len() < attempts
    }

    fn may_send_again(&self, now: Mono) -> bool {
        self.has_time(now) && self.state.take_second_send(now, &self.job.service)
    }

    /// Ends a request that was refused at admission.
    fn refused(&self, refusal: Refusal) -> Outcome {
        if self.run_by.is_empty() {
            return Outcome::NotRun(refusal);
        }
        Outcome::Unknown(UnknownOutcomeReason::Broken, "no other endpoint has room")
    }

    /// Ends a request that has no answer when the instance ends.
    ///
    /// What an endpoint has, or may have, is not said to be not run.
    fn broken_off(&self) -> Outcome {
        self.open.log_broken_off(clock::mono());
        if self.run_by.is_empty() && !self.open.may_be_at_endpoint() {
            return stopping();
        }
        let cause = "the instance stopped before the endpoint answered";
        Outcome::Unknown(UnknownOutcomeReason::Stopped, cause)
    }

    /// Ends a request whose last send was refused.
    fn spent(&self, reason: RefusalReason) -> Outcome {
        self.refused(Refusal {
            reason,
            retry_after_ms: DEFAULT_RETRY_MS,
        })
    }

    async fn send(&mut self, choice: &Choice) -> Sent {
        let started = clock::mono();
        let left_ms = self.job.deadline.since(started);
        if left_ms < MIN_LEFT_MS {
            return Sent::TooLate;
        }
        let sends = self.sends;
        let patience_ms = self.patience_ms(choice, left_ms);
        let limit = Duration::from_millis(patience_ms);
        match tokio::time::timeout(limit, self.exchange(choice)).await {
            Ok(Ok(Exchanged { meaning, answer })) => match meaning {
                AnswerKind::Ran => {
                    self.state.answered(choice, self.job.key);
                    if choice.fence.is_none() {
                        let load = exchange::endpoint_load(&answer.headers);
                        self.state.load_told(&self.job, load);
                    }
                    if !answer.status.is_server_error() {
                        self.clear_suspicion();
                        let took = clock::mono().since(started);
                        self.state
                            .metrics
                            .record_service_time(Class::of(self.route), took);
                        let bytes = answer.body.len();
                        let route = &self.route.name;
                        self.state.served(route, &choice.endpoint, took, bytes);
                    }
                    Sent::Answer(answer)
                }
                AnswerKind::Full | AnswerKind::Misdirected | AnswerKind::NotRun => {
                    Sent::Refused(meaning)
                }
                AnswerKind::Foreign => Sent::Unknown(Doubt::Foreign),
            },
            Ok(Err(CallError::Reset)) => Sent::Nowhere(Unsent::Reset),
            Ok(Err(e)) if e.is_unsent() => Sent::Nowhere(Unsent::NoConnection),
            Ok(Err(CallError::Timeout)) | Err(_) if patience_ms < left_ms => {
                Sent::Unknown(Doubt::Silent)
            }
            // The time ended while the connection was being made.
            Ok(Err(CallError::Timeout)) | Err(_) if self.sends == sends => {
                Sent::Nowhere(Unsent::NoConnection)
            }
            Ok(Err(CallError::Timeout)) | Err(_) => Sent::TimedOut,
            Ok(Err(CallError::Truncated(_))) => Sent::Unknown(Doubt::Truncated),
            Ok(Err(_)) => Sent::Unknown(Doubt::Broken),
        }
    }

    /// How long to wait for one endpoint, in milliseconds.
    ///
    /// All the time that is left, unless another endpoint could run the request too:
    /// then the first is given several times the usual work.
    fn patience_ms(&self, choice: &Choice, left_ms: u64) -> u64 {
        let attempts = self.route.attempts as usize;
        let other = choice.fence.is_none()
            && self.job.repeat == Repeat::Idempotent
            && self.run_by.len() + 1 < attempts;
        if !other {
            return left_ms;
        }
        let patience = self.job.work_ms * PATIENCE_WORKS;
        patience.max(self.route.objective_ms / 2).min(left_ms)
    }

    async fn exchange(&mut self, choice: &Choice) -> Result<Exchanged, CallError> {
        let mut link = self.link(choice).await?;
        let now = clock::mono();
        let left_ms = self.job.deadline.since(now);
        let req = self.message.for_endpoint(&choice.endpoint, left_ms);
        self.sends += 1;
        self.open.reach(now, Stage::AtEndpoint);
        let sent = link.send(req).await;
        let head = match sent {
            // A kept connection that the endpoint has closed: a new one is as good as
            // the first.
            Err(CallError::NotSent) => {
                link = self.open(choice).await?;
                let req = self.message.for_endpoint(&choice.endpoint, left_ms);
                link.send(req).await?
            }
            sent => sent?,
        };
        let meaning = exchange::answer_kind(self.words.id.as_ref(), head.status(), head.headers());
        let answer = http_link::read_answer(head).await?;
        if meaning != AnswerKind::Foreign {
            let mut pool = self.state.pool.borrow_mut();
            pool.put(clock::mono(), choice, link, &answer.headers);
        }
        Ok(Exchanged { meaning, answer })
    }

    async fn link(&self, choice: &Choice) -> Result<Link, CallError> {
        let now = clock::mono();
        let kept = {
            let mut pool = self.state.pool.borrow_mut();
            pool.take(now, choice, self.job.repeat)
        };
        match kept {
            Some(link) => Ok(link),
            None => self.open(choice).await,
        }
    }

    async fn open(&self, choice: &Choice) -> Result<Link, CallError> {
        self.state.pool.borrow_mut().count_opened();
        let mode = match self.job.repeat {
            Repeat::Idempotent => ConnectMode::Immediate,
            Repeat::AtMostOnce => ConnectMode::AfterResetCheck,
        };
        Link::open(choice.address, mode).await
    }
}

/// An answer and what it means for the request.
struct Exchanged {
    meaning: AnswerKind,
    answer: Answer,
}
