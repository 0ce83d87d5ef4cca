//! Ends connections so that the other side receives all that was sent.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// How long an ended connection waits for the other side to end it too.
const LIMIT: Duration = Duration::from_secs(5);

/// Bytes that are read and discarded at a time.
const DISCARDED_BYTES: usize = 1_024;

/// A connection whose shutdown reads and discards what the other side still sends, until that ends
/// too or [`LIMIT`] is over.
///
/// The system resets a connection that is dropped with unread bytes, and discards what the other
/// side has not received.
#[derive(Debug)]
pub(super) struct Lingering {
    stream: TcpStream,
    /// Runs once nothing more is written.
    limit: Option<Pin<Box<Sleep>>>,
}

impl Lingering {
    pub(super) const fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            limit: None,
        }
    }

    /// Reads until the other side has ended the connection.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut discarded = [0; DISCARDED_BYTES];
        let mut buf = ReadBuf::new(&mut discarded);
        loop {
            buf.clear();
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf))?;
            if buf.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncRead for Lingering {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Lingering {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.limit.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            self.limit = Some(Box::pin(tokio::time::sleep_until(Instant::now() + LIMIT)));
        }
        let is_over = self
            .limit
            .as_mut()
            .is_some_and(|limit| limit.as_mut().poll(cx).is_ready());
        if is_over {
            return Poll::Ready(Ok(()));
        }
        self.poll_discard(cx)
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
}
