//! Begins requests of a connection before the earlier ones are answered.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use citronway_core::gateway::pipeline::{Arrival, Hold, Pipeline};
use citronway_platform::exchange;
use http::request::Parts;
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Body as _, Incoming};
use thiserror::Error;
use tokio::task::JoinError;
use tokio_util::task::AbortOnDropHandle;

use super::framing;
use super::progress::{GuardedBody, Progress};
use super::queue::Queued;
use super::read_ahead::{Given, ReadAhead};
use crate::clock;
use crate::gateway::traffic::neighbor::Origin;
use crate::gateway::traffic::open_requests::OpenRequest;
use crate::gateway::traffic::outcome::display_id;
use crate::gateway::traffic::request;
use crate::gateway::traffic::state::{Pipelined, State};

/// Longest body of a request that is begun ahead, in bytes. It is kept twice until its turn.
const MAX_BODY_BYTES: usize = 16 * 1024;

/// Why a connection ends although its caller has not left.
#[derive(Debug, Error)]
pub(super) enum TurnError {
    /// The HTTP library parsed another request than the one that was begun.
    #[error("the request differs from the one that was begun")]
    Differs,
    #[error("the body broke off")]
    Body(#[source] hyper::Error),
    #[error("the request that was begun ended without an answer")]
    NoAnswer(#[source] JoinError),
}

/// The requests of one connection that are begun.
#[derive(Debug)]
pub(super) struct Row {
    state: Rc<State>,
    origin: Origin,
    progress: Rc<Progress>,
    /// Bytes of a head from which on the HTTP library refuses it.
    max_head_bytes: usize,
    pipeline: Rc<RefCell<Pipeline>>,
    /// The request whose turn it is, unless it was begun ahead.
    present: Option<Rc<OpenRequest>>,
    /// The requests behind it that are begun, in order.
    begun: VecDeque<Begun>,
    /// The request behind these, if it was looked at.
    next: Option<Next>,
}

/// A request that is begun before its turn; it is cancelled when this is dropped.
#[derive(Debug)]
pub(super) struct Begun {
    /// Position of its first byte in the connection.
    start: u64,
    head: Parts,
    body: Bytes,
    answer: AbortOnDropHandle<Response<GuardedBody>>,
    pipelined: Pipelined,
}

/// The request that would be begun next.
#[derive(Debug)]
struct Next {
    start: u64,
    host: String,
    head: Parts,
    body: Bytes,
    /// Why it is not begun.
    hold: Option<Hold>,
}

impl Row {
    pub(super) fn new(
        state: &Rc<State>,
        origin: Origin,
        progress: &Rc<Progress>,
        max_head_bytes: usize,
    ) -> Self {
        let pipeline = Pipeline::new(state.pipeline_limits());
        Self {
            state: Rc::clone(state),
            origin,
            progress: Rc::clone(progress),
            max_head_bytes,
            pipeline: Rc::new(RefCell::new(pipeline)),
            present: None,
            begun: VecDeque::new(),
            next: None,
        }
    }

    /// Begins the requests behind the one whose turn it is, as far as they may be begun.
    pub(super) fn begin_ready(&mut self, reader: &ReadAhead) {
        if self.origin != Origin::Caller {
            return;
        }
        while let Some(queued) = reader.queued(self.begun.len()) {
            if !self.begin_next(reader, &queued) {
                return;
            }
        }
    }

    /// Reads a queued request; `None` if it is not begun ahead, whatever its route.
    fn read_next(&self, reader: &ReadAhead, queued: &Queued) -> Option<Next> {
        let (head, body) = reader.bytes_of(queued)?;
        if head.len() >= self.max_head_bytes || body.len() > MAX_BODY_BYTES {
            return None;
        }
        let head = framing::build_head(head)?;
        let metadata = exchange::read_request_metadata(&head).ok()?;
        Some(Next {
            start: queued.start,
            host: metadata.host,
            head,
            body: Bytes::copy_from_slice(body),
            hold: None,
        })
    }

    /// Begins a request if it may be begun.
    fn begin_next(&mut self, reader: &ReadAhead, queued: &Queued) -> bool {
        if self.next.as_ref().map(|next| next.start) != Some(queued.start) {
            self.next = self.read_next(reader, queued);
        }
        let Some(mut next) = self.next.take() else {
            return false;
        };
        let arrival = self.arrival(&next);
        let mut pipeline = self.pipeline.borrow_mut();
        if let Some(present) = &self.present {
            pipeline.record_first(present.repeat());
        }
        if let Err(hold) = pipeline.may_begin(&arrival, self.state.pipeline_room()) {
            if next.hold.replace(hold).is_none() {
                self.state.metrics.pipeline.count_held(hold);
            }
            drop(pipeline);
            self.next = Some(next);
            return false;
        }
        let number = pipeline.begin(&arrival);
        let ahead_of_it = pipeline.begun() - 1;
        drop(pipeline);
        let request = display_id(exchange::request_id(&next.head.headers));
        log::info!(request, ahead_of_it; "begun before the earlier requests of its connection are answered");
        self.spawn(number, queued, next);
        true
    }

    /// Starts the task of a request.
    fn spawn(&mut self, number: u64, queued: &Queued, next: Next) {
        let arrived = queued.arrived;
        let guard = self
            .progress
            .begin(self.state.open_requests.insert(arrived));
        let (state, origin) = (Rc::clone(&self.state), self.origin);
        let pipeline = Rc::clone(&self.pipeline);
        let req = Request::from_parts(next.head.clone(), Full::new(next.body.clone()));
        let answer = tokio::task::spawn_local(async move {
            let answer = request::answer(state, arrived, req, guard, origin).await;
            let bytes = answer.body().size_hint().upper().unwrap_or_default();
            pipeline.borrow_mut().record_answer(number, bytes);
            answer
        });
        self.begun.push_back(Begun {
            start: next.start,
            head: next.head,
            body: next.body,
            answer: AbortOnDropHandle::new(answer),
            pipelined: self.state.track_pipelined(),
        });
    }

    fn arrival(&self, next: &Next) -> Arrival {
        let view = self.state.view.borrow();
        let routes = view.routes.as_ref();
        let route = routes.and_then(|routes| routes.find(&next.host, next.head.uri.path()));
        Arrival {
            repeat: route.map(|(_, route)| route.repeat),
            answer_bytes: route.map_or(0, |(_, route)| self.state.mean_answer_bytes(route)),
        }
    }

    /// Ends the turn of the request before, and takes the next one if it was begun.
    pub(super) fn take_begun(&mut self, start: Option<u64>) -> Result<Option<Begun>, TurnError> {
        self.present = None;
        let mut pipeline = self.pipeline.borrow_mut();
        if pipeline.begun() > self.begun.len() {
            pipeline.record_delivered();
        }
        drop(pipeline);
        match self.begun.pop_front() {
            Some(begun) if Some(begun.start) != start => Err(TurnError::Differs),
            begun => Ok(begun),
        }
    }

    /// Records that a request that was not begun ahead is begun in its turn.
    pub(super) fn begin_in_turn(&mut self, open: &Rc<OpenRequest>, given: Given) {
        let unknown = Arrival {
            repeat: None,
            answer_bytes: 0,
        };
        self.pipeline.borrow_mut().begin(&unknown);
        self.present = Some(Rc::clone(open));
        let next = self
            .next
            .take_if(|next| Some(next.start) == given.queued_at);
        let Some((next, hold)) = next.and_then(|next| next.hold.map(|hold| (next, hold))) else {
            return;
        };
        let request = display_id(exchange::request_id(&next.head.headers));
        let reason = hold.as_str();
        let ms = clock::mono().since(given.arrived);
        log::info!(request, reason, ms; "waited for the earlier requests of its connection");
    }

    /// Begins no further request before its turn.
    pub(super) fn close(&self) {
        self.pipeline.borrow_mut().close();
    }

    /// Whether no request is begun behind the one whose turn it is.
    pub(super) fn is_at_last(&self) -> bool {
        self.pipeline.borrow().is_at_last()
    }
}

impl Begun {
    /// Resolves to the answer, once the request as the HTTP library parsed it is found the same.
    pub(super) async fn finish(
        self,
        req: Request<Incoming>,
    ) -> Result<Response<GuardedBody>, TurnError> {
        drop(self.pipelined);
        let (head, body) = req.into_parts();
        let body = body.collect().await.map_err(TurnError::Body)?.to_bytes();
        let is_same = head.method == self.head.method
            && head.uri == self.head.uri
            && head.headers == self.head.headers
            && body == self.body;
        if !is_same {
            let request = display_id(exchange::request_id(&self.head.headers));
            log::error!(request; "the request differs from the one that was begun");
            return Err(TurnError::Differs);
        }
        self.answer.await.map_err(TurnError::NoAnswer)
    }
}
