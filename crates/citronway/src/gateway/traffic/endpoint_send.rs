//! One send of a request to one endpoint.

use std::rc::Rc;
use std::time::{Duration, SystemTime};

use citronway_core::gateway::admission::{Choice, Job};
use citronway_core::gateway::budget::RetryCause;
use citronway_core::gateway::routes::Repeat;
use citronway_core::time::Mono;
use citronway_platform::answers::{AnswerHead, AnswerKind};
use http::HeaderValue;

use super::message::Message;
use super::open_requests::{OpenRequest, Stage};
use super::outcome::display_id;
use super::pool::EndpointLink;
use super::state::{Charge, InFlight, Retry, State};
use crate::clock;
use crate::gateway::http_link::{self, Answer, BodyBounds, CallError, ConnectMode, Link};

/// A send to one endpoint. It has all that it needs, so that several sends of a request can be open
/// at the same time; dropping it cancels it.
#[derive(Debug)]
pub(super) struct EndpointSend {
    pub state: Rc<State>,
    /// State of the request to which the send belongs.
    pub open: Rc<OpenRequest>,
    pub message: Rc<Message>,
    /// Id of the request.
    pub id: Option<HeaderValue>,
    pub job: Job,
    pub choice: Choice,
    /// Why the request is sent again, if it has reached an endpoint.
    pub cause: RetryCause,
    /// Place at the endpoint.
    pub in_flight: InFlight,
    /// Room for the answer: the usual one until it is known.
    pub room: Charge,
}

/// What became of a send.
#[derive(Debug)]
pub(super) struct EndedSend {
    pub choice: Choice,
    pub started: Mono,
    /// Whether a byte of the request was sent.
    pub was_sent: bool,
    pub result: Result<Exchanged, CallError>,
    /// Room that the answer takes.
    pub room: Charge,
}

/// What became of a request on one connection.
#[derive(Debug)]
pub(super) enum Exchanged {
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

impl EndedSend {
    /// Whether the endpoint ran the request and did not fail.
    pub(super) fn is_served(&self) -> bool {
        matches!(&self.result, Ok(Exchanged::Answer { head, answer })
            if head.kind == AnswerKind::Ran && !answer.status.is_server_error())
    }
}

impl EndpointSend {
    /// Sends the request and reads the answer, until the deadline of the request.
    pub(super) async fn run(mut self) -> EndedSend {
        let started = clock::mono();
        let limit = Duration::from_millis(self.job.deadline.since(started));
        let mut was_sent = false;
        let exchanged = tokio::time::timeout(limit, self.exchange(&mut was_sent)).await;
        drop(self.in_flight);
        EndedSend {
            choice: self.choice,
            started,
            was_sent,
            result: exchanged.unwrap_or(Err(CallError::Timeout)),
            room: self.room,
        }
    }

    /// Sends the request on one connection and reads the answer.
    ///
    /// Each send passes here, and a second send is taken from the budget right before its first byte:
    /// one that is taken earlier may arrive in a later window than it was counted in.
    async fn exchange(&mut self, was_sent: &mut bool) -> Result<Exchanged, CallError> {
        let mut link = self.acquire_link().await?;
        if !self.state.may_send(&self.job, &self.choice) {
            return Ok(Exchanged::Withheld);
        }
        let now = clock::mono();
        let is_retry = self.open.has_reached_endpoint();
        if is_retry && !self.state.take_retry(now, self.retry()) {
            return Ok(Exchanged::NoRetryLeft);
        }
        let left_ms = self.job.deadline.since(now);
        let req = self.message.for_endpoint(&self.choice.endpoint, left_ms);
        *was_sent = true;
        self.open.set_reached_endpoint(true);
        self.open.enter_stage(now, Stage::AtEndpoint);
        let id = self.id.as_ref();
        link.record_sent(id, self.job.deadline);
        let sent = link.http.send(req).await;
        let head = match sent {
            // The endpoint had closed the pooled connection, and nothing was sent on it. A new
            // connection is as good as the first.
            Err(CallError::NotSent) => {
                self.open.set_reached_endpoint(is_retry);
                link = self.open_link().await?;
                if !self.state.may_send(&self.job, &self.choice) {
                    *was_sent = false;
                    return Ok(Exchanged::Withheld);
                }
                let now = clock::mono();
                // Another send of the request may have begun meanwhile.
                let is_later = !is_retry && self.open.has_reached_endpoint();
                if is_later && !self.state.take_retry(now, self.retry()) {
                    *was_sent = false;
                    return Ok(Exchanged::NoRetryLeft);
                }
                let left_ms = self.job.deadline.since(now);
                let req = self.message.for_endpoint(&self.choice.endpoint, left_ms);
                self.open.set_reached_endpoint(true);
                link.record_sent(id, self.job.deadline);
                link.http.send(req).await?
            }
            sent => sent?,
        };
        let decoded = AnswerHead::read(id, head.status(), head.headers(), SystemTime::now());
        self.state
            .record_statements(&self.choice.endpoint, &decoded);
        let bounds = BodyBounds::of_usual(self.job.answer_bytes);
        let room = |bytes| self.room.grow_to(bytes);
        let answer = http_link::read_answer(head, bounds, room).await?;
        if decoded.kind != AnswerKind::Foreign {
            let mut pool = self.state.pool.borrow_mut();
            pool.put(clock::mono(), &self.choice, link, decoded.keep_alive);
        }
        Ok(Exchanged::Answer {
            head: Box::new(decoded),
            answer,
        })
    }

    fn retry(&self) -> Retry<'_> {
        Retry {
            request: display_id(self.id.as_ref()),
            service: &self.job.service,
            cause: self.cause,
        }
    }

    async fn acquire_link(&self) -> Result<EndpointLink, CallError> {
        let now = clock::mono();
        let kept = {
            let mut pool = self.state.pool.borrow_mut();
            pool.take(now, &self.choice, self.job.repeat, self.id.as_ref())
        };
        match kept {
            Some(link) => Ok(link),
            None => self.open_link().await,
        }
    }

    async fn open_link(&self) -> Result<EndpointLink, CallError> {
        self.state.pool.borrow_mut().count_opened();
        let mode = match self.job.repeat {
            Repeat::Idempotent => ConnectMode::Immediate,
            Repeat::AtMostOnce => ConnectMode::AfterResetCheck,
        };
        let http = Link::open(self.state.dialer, self.choice.address, mode).await?;
        Ok(EndpointLink::new(http))
    }
}
