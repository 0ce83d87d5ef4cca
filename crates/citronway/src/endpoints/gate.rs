//! Last check before a request is written, and the evidence whether it was.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};

use citronway_core::time::{Mono, Wall};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::clock;

/// Until when a request may leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Until {
    /// Deadline of the request.
    pub deadline: Wall,
    /// End of the sender's right to send it.
    pub held: Mono,
}

impl Until {
    /// Until the deadline, as long as the right to send is held.
    #[must_use]
    pub const fn held(deadline: Wall, held: Mono) -> Self {
        Self { deadline, held }
    }
}

impl From<Wall> for Until {
    /// What needs no right is only bound by its deadline.
    fn from(deadline: Wall) -> Self {
        Self::held(deadline, Mono(u64::MAX))
    }
}

/// State of the gate of one connection.
///
/// Failure guarded against: a request is said not to have run although the
/// endpoint received it. It shows as an order that runs twice. The guard holds
/// because every byte of a connection passes [`GatedStream`], which notes the
/// first one, and because nothing passes any more once the note has been read.
#[derive(Debug)]
pub struct Gate {
    deadline: AtomicU64,
    held: AtomicU64,
    written: AtomicBool,
    shut: AtomicBool,
}

impl Gate {
    /// A gate that lets nothing pass until it is armed.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            deadline: AtomicU64::new(0),
            held: AtomicU64::new(0),
            written: AtomicBool::new(false),
            shut: AtomicBool::new(false),
        }
    }

    /// Lets one request pass, if its first byte is written before `until`.
    pub fn arm(&self, until: Until) {
        self.deadline.store(until.deadline.0, Ordering::SeqCst);
        self.held.store(until.held.0, Ordering::SeqCst);
        self.written.store(false, Ordering::SeqCst);
    }

    /// Lets nothing pass any more; tells whether any byte of the request did.
    pub fn shut(&self) -> bool {
        self.shut.store(true, Ordering::SeqCst);
        self.written.load(Ordering::SeqCst)
    }

    fn check(&self) -> io::Result<()> {
        if self.shut.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        if self.written.load(Ordering::SeqCst) {
            return Ok(());
        }
        // Failure guarded against: the process is paused between its decision
        // and the write, and an order leaves after its deadline, or after a
        // successor has taken the endpoint over. It shows as work that runs
        // after its caller was told otherwise, or for two dispatchers. This is
        // the last step before the system call; a pause within the call is left
        // to endpoints that check deadlines and epochs themselves.
        let now = clock::now();
        let late = now.wall.0 >= self.deadline.load(Ordering::SeqCst);
        if late || now.mono.0 >= self.held.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    fn note(&self, result: &Poll<io::Result<usize>>) {
        if matches!(result, Poll::Ready(Ok(1..))) {
            self.written.store(true, Ordering::SeqCst);
        }
    }
}

impl Default for Gate {
    fn default() -> Self {
        Self::new()
    }
}

/// A connection whose writes pass a [`Gate`].
#[derive(Debug)]
pub struct GatedStream {
    stream: TcpStream,
    gate: Arc<Gate>,
}

impl GatedStream {
    /// Puts `gate` before the writes of `stream`.
    #[must_use]
    pub const fn new(stream: TcpStream, gate: Arc<Gate>) -> Self {
        Self { stream, gate }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.gate.check()?;
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.gate.note(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.gate.check()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.gate.note(&result);
        result
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
