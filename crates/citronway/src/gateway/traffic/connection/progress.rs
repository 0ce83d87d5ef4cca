//! What a connection has received and answered.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use citronway_core::gateway::routes::CallerLimits;
use citronway_core::time::Mono;

use crate::clock;
use crate::gateway::traffic::answer_buf::AnswerBuf;
use crate::gateway::traffic::open_requests::OpenGuard;

/// State of a connection between two requests.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Whether a request has arrived on the connection.
    has_request: Cell<bool>,
    /// Requests received and not yet answered in full.
    active: Cell<u32>,
    /// Requests answered in full.
    answered: Cell<u64>,
    /// When the first byte after the last answer arrived, or when the last answer ended.
    last_activity: Cell<Mono>,
    /// Whether bytes have arrived since the last answer ended.
    reading: Cell<bool>,
}

impl Progress {
    /// State of a connection that begins now.
    pub(super) fn new(now: Mono) -> Self {
        let progress = Self::default();
        progress.last_activity.set(now);
        progress
    }

    /// Whether a request has arrived on the connection.
    pub(super) fn has_request(&self) -> bool {
        self.has_request.get()
    }

    /// Whether a request is not answered in full.
    pub(super) fn is_active(&self) -> bool {
        self.active.get() > 0
    }

    /// Number of requests answered in full.
    pub(super) fn answered(&self) -> u64 {
        self.answered.get()
    }

    /// Records that bytes have arrived for the request that is read.
    pub(super) fn record_bytes(&self, now: Mono) {
        if !self.reading.replace(true) {
            self.last_activity.set(now);
        }
    }

    /// Records a request.
    pub(super) fn begin(self: &Rc<Self>, open: OpenGuard) -> RequestGuard {
        self.has_request.set(true);
        self.active.set(self.active.get() + 1);
        self.reading.set(false);
        RequestGuard {
            progress: Rc::clone(self),
            open,
        }
    }

    /// Whether the connection has exceeded the idle timeout, or its next head the header timeout.
    pub(super) fn is_overdue(&self, now: Mono, limits: CallerLimits) -> bool {
        if self.is_active() {
            return false;
        }
        let limit = if self.reading.get() {
            limits.header_ms
        } else {
            limits.idle_ms
        };
        now.since(self.last_activity.get()) > limit
    }
}

/// Guard that marks a request as answered when dropped, which is when the HTTP library has
/// taken the last byte of the answer. Up to a socket buffer of it may still be in transit.
#[derive(Debug)]
pub(in crate::gateway::traffic) struct RequestGuard {
    progress: Rc<Progress>,
    /// Entry of the request among those without a complete answer.
    pub open: OpenGuard,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let progress = &self.progress;
        progress.active.set(progress.active.get().saturating_sub(1));
        progress.answered.set(progress.answered.get() + 1);
        // Bytes that arrived after the head were the body of this request.
        progress.reading.set(false);
        progress.last_activity.set(clock::mono());
    }
}

/// Response body that keeps its [`RequestGuard`] until it has been sent.
#[derive(Debug)]
pub(in crate::gateway::traffic) struct GuardedBody {
    pub body: http_body_util::Full<AnswerBuf>,
    pub _guard: RequestGuard,
}

impl hyper::body::Body for GuardedBody {
    type Data = AnswerBuf;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}
