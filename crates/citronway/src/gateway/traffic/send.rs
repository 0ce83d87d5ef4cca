//! Sends a request to one endpoint and reads the answer.

use std::rc::Rc;
use std::time::{Duration, SystemTime};

use citronway_core::gateway::admission::Choice;
use citronway_core::gateway::routes::Repeat;
use citronway_platform::answers::{AnswerHead, AnswerKind};

use super::forwarding::{Forwarding, MIN_SEND_TIME_MS};
use super::open_requests::Stage;
use super::pool::EndpointLink;
use super::sent::{NotSentCause, SendResult, UnknownOutcome};
use crate::clock;
use crate::gateway::http_link::{self, Answer, BodyBounds, CallError, ConnectMode, Link};
use crate::gateway::metrics::Class;
use crate::gateway::wrong_answer::WrongAnswer;

/// Multiple of the usual work time after which an endpoint that has not answered is given up,
/// where another endpoint could run the request. One request in a hundred takes longer when all
/// endpoints are healthy.
const ENDPOINT_TIMEOUT_FACTOR: u64 = 5;

/// Multiple of the usual work time after which a request that tries whether endpoints answer this
/// instance again is given up, and the shortest such time, in milliseconds.
const LINK_TRIAL_FACTOR: u64 = 2;
const MIN_LINK_TRIAL_MS: u64 = 300;

impl Forwarding<'_> {
    /// Sends the request once to an endpoint and reads the answer.
    pub(super) async fn send(&mut self, choice: &Choice) -> SendResult {
        let started = clock::mono();
        let left_ms = self.job.deadline.since(started);
        if left_ms < MIN_SEND_TIME_MS {
            return SendResult::TooLate;
        }
        let sends = self.sends;
        let timeout_ms = self.endpoint_timeout_ms(choice, left_ms);
        let limit = Duration::from_millis(timeout_ms);
        // A request that may be repeated does not wait for an endpoint that no longer answers.
        let may_repeat =
            self.job.repeat == Repeat::Idempotent && self.runs() + 1 < self.route.attempts;
        let state = Rc::clone(self.state);
        let cut_off = async {
            if !may_repeat || state.is_cut_off() {
                std::future::pending::<()>().await;
            }
            state.wait_until_cut_off().await;
        };
        let exchanged = tokio::select! {
            exchanged = tokio::time::timeout(limit, self.exchange(choice)) => exchanged,
            () = cut_off => Ok(Err(CallError::Timeout)),
        };
        let is_given_up = timeout_ms < left_ms || (may_repeat && self.state.is_cut_off());
        match exchanged {
            Ok(Ok(Exchanged::Withheld)) => SendResult::Withheld,
            Ok(Ok(Exchanged::NoRetryLeft)) => SendResult::NoRetryLeft,
            Ok(Ok(Exchanged::Answer { head, answer })) => match head.kind {
                AnswerKind::Ran => {
                    self.state.record_answer(choice, self.job.key);
                    if choice.fence.is_none() {
                        self.state.record_load(&self.job, head.load);
                    }
                    if !answer.status.is_server_error() {
                        self.clear_suspicion();
                        let took = clock::mono().since(started);
                        self.state
                            .metrics
                            .record_service_time(Class::of(self.route), took);
                        let bytes = answer.body.len();
                        let route = &self.route.name;
                        self.state
                            .record_served(route, &choice.endpoint, took, bytes);
                    }
                    SendResult::Answer(answer)
                }
                AnswerKind::Full | AnswerKind::Misdirected | AnswerKind::NotRun => {
                    SendResult::Refused(head.kind)
                }
                AnswerKind::Foreign => {
                    SendResult::MayHaveRun(UnknownOutcome::Wrong(WrongAnswer::Foreign))
                }
            },
            Ok(Err(CallError::Reset)) => SendResult::NotSent(NotSentCause::Reset),
            Ok(Err(e)) if e.is_unsent() => SendResult::NotSent(NotSentCause::NoConnection(e)),
            // The time ended while the connection was being opened.
            Ok(Err(CallError::Timeout)) | Err(_) if self.sends == sends => {
                SendResult::NotSent(NotSentCause::NoConnection(CallError::Timeout))
            }
            Ok(Err(CallError::Timeout)) | Err(_) if is_given_up => {
                SendResult::MayHaveRun(UnknownOutcome::NoAnswer)
            }
            Ok(Err(CallError::Timeout)) | Err(_) => SendResult::TimedOut,
            Ok(Err(CallError::Wrong(wrong))) => {
                SendResult::MayHaveRun(UnknownOutcome::Wrong(wrong))
            }
            Ok(Err(CallError::NoMemory)) => SendResult::MayHaveRun(UnknownOutcome::NoMemory),
            Ok(Err(CallError::Truncated(_))) => SendResult::MayHaveRun(UnknownOutcome::Truncated),
            Ok(Err(_)) => SendResult::MayHaveRun(UnknownOutcome::Broken),
        }
    }

    /// How long to wait for one endpoint, in milliseconds.
    ///
    /// This is all the time left, unless another endpoint could run the request too: then the
    /// first one gets a multiple of the usual work time.
    fn endpoint_timeout_ms(&self, choice: &Choice, left_ms: u64) -> u64 {
        let may_repeat =
            self.job.repeat == Repeat::Idempotent && self.runs() + 1 < self.route.attempts;
        if may_repeat && self.state.is_cut_off() {
            // This request shows whether endpoints answer again.
            let timeout_ms = self.job.work_ms * LINK_TRIAL_FACTOR;
            return timeout_ms.max(MIN_LINK_TRIAL_MS).min(left_ms);
        }
        let other = choice.fence.is_none() && may_repeat;
        if !other {
            return left_ms;
        }
        let timeout = self.job.work_ms * ENDPOINT_TIMEOUT_FACTOR;
        timeout.max(self.route.objective_ms / 2).min(left_ms)
    }

    /// Sends the request on one connection and reads the answer.
    ///
    /// Each send passes here, and a second send is taken from the budget right before its first byte:
    /// one that is taken earlier may arrive in a later window than it was counted in.
    async fn exchange(&mut self, choice: &Choice) -> Result<Exchanged, CallError> {
        let mut link = self.acquire_link(choice).await?;
        if !self.state.may_send(&self.job, choice) {
            return Ok(Exchanged::Withheld);
        }
        let now = clock::mono();
        let is_retry = self.open.has_reached_endpoint();
        if is_retry && !self.state.take_retry(now, self.retry()) {
            return Ok(Exchanged::NoRetryLeft);
        }
        let left_ms = self.job.deadline.since(now);
        let req = self.message.for_endpoint(&choice.endpoint, left_ms);
        self.sends += 1;
        self.open.set_reached_endpoint(true);
        self.open.enter_stage(now, Stage::AtEndpoint);
        let id = self.metadata.id.as_ref();
        link.record_sent(id, self.job.deadline);
        let sent = link.http.send(req).await;
        let head = match sent {
            // The endpoint had closed the pooled connection, and nothing was sent on it. A new
            // connection is as good as the first.
            Err(CallError::NotSent) => {
                self.open.set_reached_endpoint(is_retry);
                link = self.open_link(choice).await?;
                if !self.state.may_send(&self.job, choice) {
                    self.sends -= 1;
                    return Ok(Exchanged::Withheld);
                }
                let req = self.message.for_endpoint(&choice.endpoint, left_ms);
                self.open.set_reached_endpoint(true);
                link.record_sent(id, self.job.deadline);
                link.http.send(req).await?
            }
            sent => sent?,
        };
        let decoded = AnswerHead::read(id, head.status(), head.headers(), SystemTime::now());
        self.state.record_statements(&choice.endpoint, &decoded);
        let bounds = BodyBounds::of_usual(self.job.answer_bytes);
        let room = |bytes| self.room.grow_to(bytes);
        let answer = http_link::read_answer(head, bounds, room).await?;
        if decoded.kind != AnswerKind::Foreign {
            let mut pool = self.state.pool.borrow_mut();
            pool.put(clock::mono(), choice, link, decoded.keep_alive);
        }
        Ok(Exchanged::Answer {
            head: Box::new(decoded),
            answer,
        })
    }

    async fn acquire_link(&self, choice: &Choice) -> Result<EndpointLink, CallError> {
        let now = clock::mono();
        let kept = {
            let mut pool = self.state.pool.borrow_mut();
            pool.take(now, choice, self.job.repeat, self.metadata.id.as_ref())
        };
        match kept {
            Some(link) => Ok(link),
            None => self.open_link(choice).await,
        }
    }

    async fn open_link(&self, choice: &Choice) -> Result<EndpointLink, CallError> {
        self.state.pool.borrow_mut().count_opened();
        let mode = match self.job.repeat {
            Repeat::Idempotent => ConnectMode::Immediate,
            Repeat::AtMostOnce => ConnectMode::AfterResetCheck,
        };
        let http = Link::open(self.state.dialer, choice.address, mode).await?;
        Ok(EndpointLink::new(http))
    }
}

/// What became of a request on one connection.
enum Exchanged {
    /// Nothing was sent, since the endpoint may not be sent the request any more.
    Withheld,
    /// Nothing was sent, since it would be a second send and none is left.
    NoRetryLeft,
    /// An answer and its decoded head.
    Answer {
        head: Box<AnswerHead>,
        answer: Answer,
    },
}
