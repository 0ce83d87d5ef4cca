//! Bounds on the heads of answers.
//!
//! A peer may send bytes that never become an answer: interim answers, lines of a head, or part of a
//! head and then nothing. The HTTP library bounds the length of one head; the guard bounds all that
//! comes before the end of the final head, and the time that each head takes.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use http::Request;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

use super::wrong_answer::WrongAnswer;

/// Most bytes of an answer before the end of its head, with its interim answers.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Most interim answers before an answer.
const MAX_INTERIM: u32 = 16;

/// Longest time from the first byte of a head to its last. A head fits into a few packets, and one that
/// is lost is sent again within 0.2 s.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// State of the head that a connection waits for, shared between its stream and its caller.
#[derive(Debug, Clone, Default)]
pub struct HeadGuard(Arc<Mutex<HeadState>>);

#[derive(Debug, Default)]
struct HeadState {
    /// Whether a request was sent whose final head has not arrived.
    is_awaited: bool,
    /// Bytes that arrived since.
    bytes: usize,
    interim: u32,
    /// When the first byte of an incomplete head arrived.
    began: Option<Instant>,
    fault: Option<WrongAnswer>,
}

impl HeadGuard {
    /// Begins to wait for the answer to a request.
    pub fn begin<B>(&self, req: &mut Request<B>) {
        *self.lock() = HeadState {
            is_awaited: true,
            ..HeadState::default()
        };
        let guard = self.clone();
        hyper::ext::on_informational(req, move |_interim| guard.record_interim());
    }

    /// Ends the wait: the final head has arrived, or the connection broke. Returns the bound that
    /// the peer exceeded.
    pub fn end(&self) -> Option<WrongAnswer> {
        let mut state = self.lock();
        state.is_awaited = false;
        state.fault
    }

    fn record_interim(&self) {
        let mut state = self.lock();
        state.interim += 1;
        if state.interim > MAX_INTERIM {
            state.fault.get_or_insert(WrongAnswer::InterimAnswers);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HeadState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HeadState {
    /// Records bytes that have arrived.
    fn record(&mut self, now: Instant, bytes: &[u8]) {
        if !self.is_awaited || bytes.is_empty() {
            return;
        }
        self.bytes = self.bytes.saturating_add(bytes.len());
        let is_complete = bytes.windows(HEAD_END.len()).any(|part| part == HEAD_END);
        if is_complete {
            self.began = None;
        } else {
            self.began.get_or_insert(now);
        }
    }

    /// The bound that is exceeded before more is read.
    fn check(&mut self) -> Option<WrongAnswer> {
        if !self.is_awaited {
            return None;
        }
        if self.bytes > MAX_HEAD_BYTES {
            self.fault.get_or_insert(WrongAnswer::LongHead);
        }
        self.fault
    }

    /// When the incomplete head has to be complete.
    fn deadline(&self) -> Option<Instant> {
        let began = self.began.filter(|_| self.is_awaited)?;
        Some(began + HEAD_TIMEOUT)
    }
}

/// A connection whose reads fail once a head exceeds a bound.
#[derive(Debug)]
pub struct GuardedStream {
    stream: TcpStream,
    guard: HeadGuard,
    /// Wakes the reader at the deadline of an incomplete head.
    timer: Option<Pin<Box<Sleep>>>,
}

impl GuardedStream {
    pub const fn new(stream: TcpStream, guard: HeadGuard) -> Self {
        Self {
            stream,
            guard,
            timer: None,
        }
    }

    /// Waits for the deadline of an incomplete head, if there is one.
    fn poll_timer(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(deadline) = self.guard.lock().deadline() else {
            self.timer = None;
            return Poll::Pending;
        };
        let timer = match &mut self.timer {
            Some(timer) if timer.deadline() == deadline => timer,
            timer => timer.insert(Box::pin(sleep_until(deadline))),
        };
        timer.as_mut().poll(cx)
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(fault) = self.guard.lock().check() {
            return Poll::Ready(Err(io::Error::other(fault)));
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_pending() {
            // Only a head whose rest has not arrived is late: this process may have been paused.
            ready!(self.poll_timer(cx));
            let fault = WrongAnswer::SlowHead;
            self.guard.lock().fault.get_or_insert(fault);
            return Poll::Ready(Err(io::Error::other(fault)));
        }
        let bytes = &buf.filled()[before..];
        self.guard.lock().record(Instant::now(), bytes);
        read
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
