//! Answers that end before their callers have them whole.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Buf;
use citronway_platform::exchange;
use http::{HeaderValue, Method, Response, StatusCode};
use hyper::body::{Body, Frame, SizeHint};

use super::closing::unsent;
use super::progress::GuardedBody;
use super::read_ahead::ReadAhead;
use crate::clock;
use crate::gateway::memory_metrics::CutCause;
use crate::gateway::traffic::answer_buf::AnswerBuf;
use crate::gateway::traffic::outcome::display_id;
use crate::gateway::traffic::state::State;

/// An answer that a connection was given.
#[derive(Debug)]
struct Given {
    id: Option<HeaderValue>,
    length: u64,
    /// Bytes of its body that the connection has taken.
    sent: Rc<Cell<u64>>,
}

impl Given {
    fn is_sent(&self) -> bool {
        self.sent.get() == self.length
    }
}

/// Looks at a connection when it ends; unless a cause is set before, the process ends.
#[derive(Debug)]
pub(super) struct CutWatch {
    state: Rc<State>,
    reader: Rc<RefCell<ReadAhead>>,
    /// Answers that are not sent, and the last one.
    given: RefCell<VecDeque<Given>>,
    cause: Cell<CutCause>,
}

impl CutWatch {
    pub(super) fn new(state: &Rc<State>, reader: &Rc<RefCell<ReadAhead>>) -> Self {
        Self {
            state: Rc::clone(state),
            reader: Rc::clone(reader),
            given: RefCell::default(),
            cause: Cell::new(CutCause::Stop),
        }
    }

    /// Sets who ends the connection.
    pub(super) fn set_cause(&self, cause: CutCause) {
        self.cause.set(cause);
    }

    /// Counts what is sent of an answer to a request with a method.
    pub(super) fn count(
        &self,
        method: &Method,
        answer: Response<GuardedBody>,
    ) -> Response<CountedBody> {
        // The HTTP library sends no body with these.
        let is_bodiless = method == Method::HEAD
            || matches!(
                answer.status(),
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            );
        let length = if is_bodiless {
            0
        } else {
            answer.body().size_hint().exact().unwrap_or_default()
        };
        let sent = Rc::new(Cell::new(0));
        let mut given = self.given.borrow_mut();
        while given.front().is_some_and(Given::is_sent) {
            given.pop_front();
        }
        given.push_back(Given {
            id: exchange::request_id(answer.headers()).cloned(),
            length,
            sent: Rc::clone(&sent),
        });
        drop(given);
        answer.map(|body| CountedBody { body, sent })
    }
}

impl Drop for CutWatch {
    fn drop(&mut self) {
        let given = self.given.borrow();
        let Ok(reader) = self.reader.try_borrow() else {
            return;
        };
        let unsent = unsent(&reader);
        let in_progress = given.iter().find(|answer| !answer.is_sent());
        let is_unsent = unsent.is_some_and(|unsent| unsent > 0);
        let Some(cut) = in_progress.or_else(|| given.back().filter(|_| is_unsent)) else {
            return;
        };
        let cause = self.cause.get();
        self.state.metrics.memory.count_cut_answer(cause);
        if !self.state.may_log_cut(clock::mono()) {
            return;
        }
        let request = display_id(cut.id.as_ref());
        let (sent, length, cause) = (cut.sent.get(), cut.length, cause.as_str());
        log::info!(request, cause, sent, length, unsent; "answer ended before it was whole");
    }
}

/// Body of an answer whose sent bytes are counted.
#[derive(Debug)]
pub(super) struct CountedBody {
    body: GuardedBody,
    sent: Rc<Cell<u64>>,
}

impl Body for CountedBody {
    type Data = CountedBuf;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<CountedBuf>, Infallible>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        frame.map_ok(|frame| {
            frame.map_data(|buf| CountedBuf {
                buf,
                sent: Rc::clone(&self.sent),
            })
        })
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Bytes of an answer that count themselves as the connection takes them.
#[derive(Debug)]
pub(super) struct CountedBuf {
    buf: AnswerBuf,
    sent: Rc<Cell<u64>>,
}

impl Buf for CountedBuf {
    fn remaining(&self) -> usize {
        self.buf.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.buf.chunk()
    }

    fn advance(&mut self, cnt: usize) {
        self.buf.advance(cnt);
        self.sent.set(self.sent.get() + cnt as u64);
    }
}
