//! One connection of a caller, and the end of all of them.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use citronway_core::time::Mono;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::open_requests::Open;
use super::request;
use super::state::State;
use crate::clock;

/// Smallest buffer for a head that the library takes, in bytes.
const MIN_HEAD: usize = 8_192;

/// Time between two looks at how long a connection is idle.
const IDLE_LOOK: Duration = Duration::from_millis(500);

/// Time after the signal to stop in which callers still arrive: the balancer asks
/// once a second and takes an instance out after two misses.
const STILL_ARRIVING: Duration = Duration::from_millis(2_800);

/// Part of the grace that is used, in hundredths; the rest is for ending in order.
const GRACE_USED: u64 = 92;

/// Time before the end of the process by which a request is refused that still waits,
/// in milliseconds: its answer takes up to 20 ms to a caller, and its wait is looked at
/// each 20 ms.
const ANSWER_MS: u64 = 100;

/// Where a connection stands between two requests.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Requests taken and not answered in full.
    active: Cell<u32>,
    /// When the last byte came or the last answer ended.
    touched: Cell<Mono>,
    /// Bytes have come since the last answer ended.
    reading: Cell<bool>,
}

/// Serves one connection until it ends.
pub(super) async fn serve(state: Rc<State>, stream: TcpStream) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(cause = e.to_string(); "a caller left at once");
        return;
    }
    let progress = Rc::new(Progress::default());
    progress.touched.set(clock::mono());
    let watched = Watched {
        stream,
        progress: Rc::clone(&progress),
    };
    let limits = state.limits();
    let service = service_fn(|req| {
        progress.active.set(progress.active.get() + 1);
        progress.reading.set(false);
        let done = Done {
            progress: Rc::clone(&progress),
            open: state.open.take(clock::mono()),
        };
        let answer = request::answer(Rc::clone(&state), req, done);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes.max(MIN_HEAD))
        .serve_connection(TokioIo::new(watched), service);
    tokio::pin!(connection);
    let _open = state.connection_opened();
    let mut stop = state.stop.clone();
    let mut closing = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(e) = ended {
                    log::debug!(cause = e.to_string(); "a caller's connection ended early");
                }
                return;
            }
            () = tokio::time::sleep(IDLE_LOOK), if !closing => {
                if is_overdue(&state, &progress) {
                    connection.as_mut().graceful_shutdown();
                    closing = true;
                }
            }
            () = close_now(&mut stop, &state), if !closing => {
                connection.as_mut().graceful_shutdown();
                closing = true;
            }
        }
    }
}

/// Resolves once idle connections should be closed because the instance stops.
async fn close_now(stop: &mut watch::Receiver<bool>, state: &State) {
    // The sender lives as long as the process; without it there is nothing to await.
    if stop.wait_for(|stop| *stop).await.is_err() {
        std::future::pending::<()>().await;
    }
    state.closing().await;
}

/// Whether a connection is idle for too long or its head takes too long.
fn is_overdue(state: &State, progress: &Progress) -> bool {
    if progress.active.get() > 0 {
        return false;
    }
    let limits = state.limits();
    let limit = if progress.reading.get() {
        limits.header_ms
    } else {
        limits.idle_ms
    };
    clock::mono().since(progress.touched.get()) > limit
}

/// Resolves when the instance was told to stop and has answered everything, or when
/// its grace ends.
pub(super) async fn drained(state: &State, mut stop: watch::Receiver<bool>, grace_ms: u64) {
    if stop.wait_for(|stop| *stop).await.is_err() {
        return;
    }
    let left_ms = grace_ms * GRACE_USED / 100;
    let end = tokio::time::Instant::now() + Duration::from_millis(left_ms);
    state.end_by(clock::mono().plus(left_ms).minus(ANSWER_MS));
    tokio::time::sleep(STILL_ARRIVING).await;
    let connections = state.open_connections();
    state
        .open
        .log_counts("idle connections are closed", connections);
    state.close_idle();
    while state.open_connections() > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let connections = state.open_connections();
    state
        .open
        .log_counts("the last connections end", connections);
    state.open.log_each(clock::mono());
}

/// Marks a request as answered when the last byte of its answer was taken.
#[derive(Debug)]
pub(super) struct Done {
    progress: Rc<Progress>,
    /// The request, among those without a whole answer.
    pub open: Open,
}

impl Drop for Done {
    fn drop(&mut self) {
        let progress = &self.progress;
        progress.active.set(progress.active.get().saturating_sub(1));
        progress.touched.set(clock::mono());
    }
}

/// Body of an answer that holds on to [`Done`] until it was sent.
#[derive(Debug)]
pub(super) struct Answering {
    pub body: http_body_util::Full<bytes::Bytes>,
    pub _done: Done,
}

impl hyper::body::Body for Answering {
    type Data = bytes::Bytes;
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

/// A stream that notes when bytes come.
#[derive(Debug)]
struct Watched {
    stream: TcpStream,
    progress: Rc<Progress>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before && !self.progress.reading.replace(true) {
            self.progress.touched.set(clock::mono());
        }
        read
    }
}

impl AsyncWrite for Watched {
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
        Pin::new(&mut self.stream).poll_shutdown(cx)
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
