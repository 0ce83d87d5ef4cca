//! The stream between a caller's socket and the HTTP library.
//!
//! It gives the library the bytes of one request at a time. What arrives behind a request that is
//! not answered yet is read ahead, up to a bound, so that the end of the connection is seen.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Buf as _, BufMut as _, BytesMut};
use citronway_core::time::Mono;
use futures::FutureExt as _;
use tokio::io::{AsyncRead as _, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use super::chunks::{Chunked, Chunks};
use super::framing::{self, BodyFrame, Head};
use super::progress::Progress;
use super::queue::{Queued, RequestQueue};
use crate::clock;
use crate::gateway::traffic::write_stall::WriteStall;

/// Most bytes that are read behind the request that is being answered.
///
/// A head has a few hundred bytes, so this is more than the most requests that are begun of one
/// connection.
const MAX_AHEAD_BYTES: usize = 64 * 1024;

/// Least room that is made for a read.
const MIN_READ_BYTES: usize = 4 * 1024;

/// Interval between checks whether the caller has left while the buffer is full. Callers that
/// leave have their work cancelled within 500 ms.
const FULL_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// How far the request has been passed on that the HTTP library reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// In its head.
    Head,
    /// In its body, of which so many bytes are missing.
    Body(u64),
    /// In its body, which is sent in chunks.
    Chunked(Chunks),
    /// It was passed on in full.
    Whole,
    /// Bytes are no longer told apart.
    Unframed,
}

/// Whether requests are read behind the one that is being answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Requests {
    Open,
    Ended,
}

/// A request that the HTTP library has got.
#[derive(Debug, Clone, Copy)]
pub(super) struct Given {
    pub arrived: Mono,
    /// Position of its first byte if it was queued.
    pub queued_at: Option<u64>,
}

/// What is known of a request when the HTTP library has parsed it.
#[derive(Debug, Clone, Copy)]
pub(super) enum Turn {
    Given(Given),
    /// Requests are no longer told apart.
    Unframed,
    /// The library parsed a request that it has not got.
    Unknown,
}

/// Reads a caller's connection ahead of the HTTP library.
#[derive(Debug)]
pub(super) struct ReadAhead {
    stream: WriteStall,
    progress: Rc<Progress>,
    position: Position,
    /// Bytes of a head that were passed on before the rest of it arrived.
    partial: Vec<u8>,
    /// Bytes that the library has not got yet.
    ahead: BytesMut,
    /// Position of the first of them in the connection.
    ahead_start: u64,
    /// Requests in them.
    queue: RequestQueue,
    /// Whether the request that was passed on last is the last one of the connection.
    is_last: bool,
    /// Requests whose heads were passed on in full.
    given: u64,
    /// The latest of them, until the library has parsed it.
    turn: Option<Given>,
    /// Whether the library waits for bytes of the socket since the last [`Self::poll_ahead`].
    is_waiting: bool,
    /// Whether the library was woken since it last read.
    is_woken: bool,
    requests: Requests,
    /// Next check whether the caller has left, while nothing is read.
    full_check: Option<Pin<Box<Sleep>>>,
}

impl ReadAhead {
    pub(super) fn new(stream: WriteStall, progress: Rc<Progress>) -> Self {
        Self {
            stream,
            progress,
            position: Position::Head,
            partial: Vec::new(),
            ahead: BytesMut::new(),
            ahead_start: 0,
            queue: RequestQueue::default(),
            is_last: false,
            given: 0,
            turn: None,
            is_waiting: false,
            is_woken: false,
            requests: Requests::Open,
            full_check: None,
        }
    }

    /// What is known of the request that the library has just parsed.
    pub(super) fn take_turn(&mut self) -> Turn {
        match (self.turn.take(), self.position) {
            (Some(given), _) => Turn::Given(given),
            (None, Position::Unframed) => Turn::Unframed,
            (None, _) => Turn::Unknown,
        }
    }

    /// The `n`th request behind the one that is being answered.
    pub(super) fn queued(&self, n: usize) -> Option<Queued> {
        // Until the library has parsed what it got, the row does not know of that request.
        if !self.is_held() || self.turn.is_some() {
            return None;
        }
        self.queue.get(n)
    }

    /// Head and body of a queued request; `None` if its body is not whole or not framed.
    pub(super) fn bytes_of(&self, queued: &Queued) -> Option<(&[u8], &[u8])> {
        let head = queued.head?;
        let start = usize::try_from(queued.start - self.ahead_start).ok()?;
        let body_start = start + head.head_bytes;
        let BodyFrame::Length(body_bytes) = head.body else {
            return None;
        };
        let end = body_start.checked_add(usize::try_from(body_bytes).ok()?)?;
        let body = self.ahead.get(body_start..end)?;
        Some((&self.ahead[start..body_start], body))
    }

    /// Reads no further request: what arrives from now on is none.
    pub(super) const fn end_requests(&mut self) {
        self.requests = Requests::Ended;
    }

    /// Whether no further request is read.
    pub(super) fn is_ended(&self) -> bool {
        self.requests == Requests::Ended
    }

    /// Whether a whole request is read and not parsed.
    pub(super) fn has_whole_request(&self) -> bool {
        if self.turn.is_some() {
            return true;
        }
        let Some(queued) = self.queue.get(0) else {
            return false;
        };
        // The library has got a part of it.
        queued.start < self.ahead_start
            || self.bytes_of(&queued).is_some()
            || self.has_whole_chunks(&queued)
    }

    /// Whether a queued request has a body in chunks of which the end is read.
    fn has_whole_chunks(&self, queued: &Queued) -> bool {
        let Some(head) = queued.head else {
            return false;
        };
        let start = usize::try_from(queued.start - self.ahead_start).ok();
        let body = start.and_then(|start| self.ahead.get(start + head.head_bytes..));
        let ends = |body| matches!(Chunks::START.follow(body), Chunked::End(_));
        head.body == BodyFrame::Chunked && body.is_some_and(ends)
    }

    /// Memory of the bytes that the library has not got yet.
    pub(super) fn buffered_bytes(&self) -> u64 {
        self.ahead.capacity() as u64
    }

    /// The socket, to write to.
    pub(super) const fn stream(&mut self) -> &mut WriteStall {
        &mut self.stream
    }

    /// Whether the writing side is closed.
    pub(super) const fn is_shut(&self) -> bool {
        self.stream.is_shut()
    }

    /// Whether the caller took no byte for too long.
    pub(super) const fn is_stalled(&self) -> bool {
        self.stream.is_ended()
    }

    /// The socket, to look at.
    pub(super) const fn socket(&self) -> &TcpStream {
        self.stream.socket()
    }

    /// Whether the library is in the middle of a body.
    pub(super) const fn is_in_body(&self) -> bool {
        matches!(self.position, Position::Body(_) | Position::Chunked(_))
    }

    /// Whether the library has got the last request as a whole.
    pub(super) fn is_whole(&self) -> bool {
        self.position == Position::Whole
    }

    /// Drops what was read ahead.
    pub(super) fn forget_ahead(&mut self) {
        self.ahead = BytesMut::new();
        self.partial = Vec::new();
    }

    /// Whether the library gets nothing because a request is not answered.
    fn is_held(&self) -> bool {
        self.position == Position::Whole && self.progress.answered() < self.given
    }

    /// Reads what the library does not read. Resolves once the caller has left behind a request
    /// that is not answered.
    ///
    /// Has to be called each time after the library has been polled. Little is read while the
    /// instance has no room.
    pub(super) fn poll_ahead(&mut self, cx: &mut Context<'_>, has_room: bool) -> Poll<()> {
        // The library has read all there is, so it sees the end of the connection itself.
        if std::mem::take(&mut self.is_waiting) {
            return Poll::Pending;
        }
        let is_passed_on = matches!(self.position, Position::Unframed);
        if self.is_held() || (is_passed_on && self.progress.is_active()) {
            if self.is_ended() {
                return self.poll_left(cx);
            }
            let most = if has_room {
                MAX_AHEAD_BYTES
            } else {
                MIN_READ_BYTES
            };
            return self.poll_fill(cx, most);
        }
        // An answer has ended after the library last tried to read. Only once: a library that
        // closes the connection does not read any more.
        let has_bytes =
            !self.ahead.is_empty() || self.stream.socket().poll_read_ready(cx).is_ready();
        if has_bytes && !self.is_woken {
            self.is_woken = true;
            cx.waker().wake_by_ref();
        }
        Poll::Pending
    }

    /// Reads into the buffer until it is full or nothing is left to read.
    fn poll_fill(&mut self, cx: &mut Context<'_>, most: usize) -> Poll<()> {
        while self.ahead.len() < most {
            self.full_check = None;
            // Room is made only once there is something to read.
            match self.stream.socket().poll_read_ready(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(_broken)) => return Poll::Ready(()),
                Poll::Ready(Ok(())) => {}
            }
            let room = most - self.ahead.len();
            self.ahead.reserve(MIN_READ_BYTES.min(room));
            match self
                .stream
                .socket()
                .try_read_buf(&mut (&mut self.ahead).limit(room))
            {
                Ok(0) => return Poll::Ready(()),
                Ok(_) => self.find_requests(clock::mono()),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_broken) => return Poll::Ready(()),
            }
        }
        self.poll_left(cx)
    }

    /// Resolves once the caller has left while nothing is read.
    fn poll_left(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let ready = self
                .stream
                .socket()
                .ready(Interest::READABLE)
                .now_or_never();
            let has_left = match ready {
                Some(Ok(ready)) => ready.is_read_closed(),
                Some(Err(_broken)) => true,
                None => false,
            };
            if has_left {
                return Poll::Ready(());
            }
            let check = self
                .full_check
                .get_or_insert_with(|| Box::pin(tokio::time::sleep(FULL_CHECK_PERIOD)));
            if check.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            self.full_check = None;
        }
    }

    /// Gives the library the next bytes of the request that it reads.
    pub(super) fn poll_read(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.is_woken = false;
        if self.is_held() {
            return Poll::Pending;
        }
        if self.position == Position::Whole {
            self.position = Position::Head;
        }
        if !self.ahead.is_empty() {
            self.take_buffered(buf);
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.is_waiting = read.is_pending();
        let new = &buf.filled()[before..];
        if new.is_empty() {
            return read;
        }
        let now = clock::mono();
        self.progress.record_bytes(now);
        let taken = self.pass(now, before, buf);
        let excess = &buf.filled()[before + taken..];
        self.skip(taken);
        if !excess.is_empty() {
            self.ahead.extend_from_slice(excess);
            self.find_requests(now);
        }
        buf.set_filled(before + taken);
        read
    }

    /// Gives the library bytes that were read ahead.
    fn take_buffered(&mut self, buf: &mut ReadBuf<'_>) {
        let now = clock::mono();
        self.progress.record_bytes(now);
        let before = buf.filled().len();
        let count = self.ahead.len().min(buf.remaining());
        buf.put_slice(&self.ahead[..count]);
        let taken = self.pass(now, before, buf);
        buf.set_filled(before + taken);
        self.ahead.advance(taken);
        self.skip(taken);
        if self.position == Position::Whole {
            self.find_requests(now);
        }
        if self.ahead.is_empty() {
            // A row ends seldom; the memory is not kept for the next one.
            self.ahead = BytesMut::new();
        }
    }

    /// Records that the library got the next `count` bytes of the connection.
    fn skip(&mut self, count: usize) {
        self.ahead_start += count as u64;
        self.queue.skip_to(self.ahead_start);
    }

    /// Finds the requests in the bytes that were read ahead, which arrived by now.
    fn find_requests(&mut self, now: Mono) {
        self.queue.find(now, &self.ahead, self.ahead_start);
    }

    /// Follows the request through the bytes of `buf` from `from` on; returns how many of them
    /// belong to it.
    fn pass(&mut self, now: Mono, from: usize, buf: &ReadBuf<'_>) -> usize {
        let new = &buf.filled()[from..];
        match self.position {
            Position::Unframed => new.len(),
            Position::Whole => 0,
            Position::Body(missing) => self.pass_body(missing, new.len()),
            Position::Chunked(chunks) => self.pass_chunks(chunks, new),
            Position::Head => self.pass_head(now, new),
        }
    }

    fn pass_body(&mut self, missing: u64, available: usize) -> usize {
        let count = usize::try_from(missing).map_or(available, |missing| missing.min(available));
        let left = missing - count as u64;
        self.position = if left == 0 {
            Position::Whole
        } else {
            Position::Body(left)
        };
        count
    }

    fn pass_chunks(&mut self, chunks: Chunks, new: &[u8]) -> usize {
        match chunks.follow(new) {
            Chunked::More(chunks) => {
                self.position = Position::Chunked(chunks);
                new.len()
            }
            Chunked::End(count) => {
                self.position = Position::Whole;
                self.queue.set_ended(self.is_last);
                count
            }
            Chunked::Unclear => {
                self.position = Position::Unframed;
                self.queue.set_ended(true);
                new.len()
            }
        }
    }

    fn pass_head(&mut self, now: Mono, new: &[u8]) -> usize {
        let known = self.partial.len();
        let head = if known == 0 {
            framing::read_head(new)
        } else {
            self.partial.extend_from_slice(new);
            if framing::has_blank_line(&self.partial, known) {
                framing::read_head(&self.partial)
            } else {
                Head::Partial
            }
        };
        match head {
            Head::Partial if known == 0 => {
                self.partial.extend_from_slice(new);
                new.len()
            }
            Head::Partial => new.len(),
            Head::Unclear => {
                self.partial = Vec::new();
                self.position = Position::Unframed;
                self.queue.set_ended(true);
                self.record_given(now);
                new.len()
            }
            Head::Plain(head) => {
                self.partial = Vec::new();
                self.given += 1;
                self.is_last = head.closes;
                if head.closes {
                    self.queue.set_ended(true);
                }
                self.record_given(now);
                let rest = head.head_bytes - known;
                let body = &new[rest..];
                rest + match head.body {
                    BodyFrame::Length(bytes) => self.pass_body(bytes, body.len()),
                    BodyFrame::Chunked => self.pass_chunks(Chunks::START, body),
                }
            }
        }
    }

    /// Records that the library got a head. It arrived now unless it was queued.
    fn record_given(&mut self, now: Mono) {
        let queued = self.queue.pop();
        self.turn = Some(Given {
            arrived: queued.map_or(now, |queued| queued.arrived),
            queued_at: queued.map(|queued| queued.start),
        });
    }
}
