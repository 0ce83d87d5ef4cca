//! Tells whether a request's body was left before its end.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

/// Body of a request that sets a flag when it is dropped before its end.
#[derive(Debug)]
pub(super) struct Watched {
    body: Incoming,
    has_ended: bool,
    is_left: Rc<Cell<bool>>,
}

impl Watched {
    pub(super) const fn new(body: Incoming, is_left: Rc<Cell<bool>>) -> Self {
        Self {
            body,
            has_ended: false,
            is_left,
        }
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.is_left
            .set(!self.has_ended && !self.body.is_end_stream());
    }
}

impl Body for Watched {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        self.has_ended |= matches!(frame, Poll::Ready(None));
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
