//! Ends the connections of callers that take no byte of their answers.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use citronway_core::time::Mono;
use http::HeaderValue;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, Sleep};

use super::outcome::display_id;
use super::state::{Charge, State};
use crate::clock;

/// Size of the buffer for unsent bytes of a caller's connection, in bytes; the system doubles it
/// for its own structures.
///
/// Failure guarded against: the system lets the buffer grow to some megabytes, which no budget
/// counts, and tells of room in it only when a third is free, so that a slow caller seems to
/// take nothing for a long time.
const SEND_BUFFER_BYTES: u32 = 64 * 1024;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens for callers, whose connections have send buffers of bounded size.
///
/// # Errors
///
/// When the address cannot be bound.
pub(super) fn listen(address: std::net::SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the size.
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The answer that was begun last on a connection.
#[derive(Debug, Default)]
pub(super) struct LastAnswer {
    /// Id of its request.
    id: RefCell<Option<HeaderValue>>,
    says_close: Cell<bool>,
}

impl LastAnswer {
    /// Sets the id of the request that is answered now, and whether the answer says that the
    /// connection closes.
    pub(super) fn set(&self, id: Option<&HeaderValue>, says_close: bool) {
        self.id.replace(id.cloned());
        self.says_close.set(says_close);
    }

    /// Whether the answer says that the connection closes.
    pub(super) const fn says_close(&self) -> bool {
        self.says_close.get()
    }
}

/// A caller's connection that fails when the caller takes no byte for too long.
#[derive(Debug)]
pub(super) struct WriteStall {
    stream: TcpStream,
    state: Rc<State>,
    last: Rc<LastAnswer>,
    /// When the connection last took a byte.
    last_write: Mono,
    is_shut: bool,
    is_ended: bool,
    /// Runs while the system's buffer for the connection is full.
    stalled: Option<Stalled>,
}

/// Time until a connection is given up whose buffer in the system is full.
#[derive(Debug)]
struct Stalled {
    timer: Pin<Box<Sleep>>,
    _buffer: Charge,
}

impl WriteStall {
    pub(super) fn new(stream: TcpStream, state: Rc<State>, last: Rc<LastAnswer>) -> Self {
        Self {
            stream,
            state,
            last,
            last_write: clock::mono(),
            is_shut: false,
            is_ended: false,
            stalled: None,
        }
    }

    /// The socket, for what is not written.
    pub(super) const fn socket(&self) -> &TcpStream {
        &self.stream
    }

    /// When the connection last took a byte.
    pub(super) const fn last_write(&self) -> Mono {
        self.last_write
    }

    /// Whether the writing side is closed.
    pub(super) const fn is_shut(&self) -> bool {
        self.is_shut
    }

    /// Whether the connection was given up because the caller took no byte.
    pub(super) const fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Has the connection reset when it is dropped, which discards what is unsent; the system would
    /// keep it for minutes otherwise.
    pub(super) fn reset(&self) {
        if let Err(e) = self.stream.set_zero_linger() {
            log::debug!(cause = e.to_string(); "a connection cannot be reset");
        }
    }

    /// Watches the result of a write.
    fn watch(
        &mut self,
        cx: &mut Context<'_>,
        wrote: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if wrote.is_ready() {
            self.stalled = None;
            self.last_write = clock::mono();
            return wrote;
        }
        let limit = Duration::from_millis(self.state.write_stall_ms);
        let memory = &self.state.memory;
        let stalled = self.stalled.get_or_insert_with(|| Stalled {
            timer: Box::pin(tokio::time::sleep_until(Instant::now() + limit)),
            _buffer: memory.reserve(u64::from(SEND_BUFFER_BYTES)),
        });
        if stalled.timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        let request_id = self.last.id.borrow();
        let request = display_id(request_id.as_ref());
        let stalled_ms = self.state.write_stall_ms;
        log::info!(request, stalled_ms; "caller takes no byte of its answer; its connection is closed");
        drop(request_id);
        self.state.metrics.memory.count_write_stall();
        self.is_ended = true;
        self.reset();
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the caller takes no byte",
        )))
    }
}

impl AsyncRead for WriteStall {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for WriteStall {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.watch(cx, wrote)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.is_shut = true;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.watch(cx, wrote)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
