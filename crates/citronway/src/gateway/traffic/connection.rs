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

use super::open_requests::OpenGuard;
use super::request;
use super::state::{Phase, State, Stop};
use crate::clock;

/// Smallest buffer for a head that the library takes, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;

/// Time between two looks at how long a connection is idle.
const IDLE_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Time after the signal to stop in which callers still arrive, in milliseconds: the
/// balancer asks once a second and takes an instance out after two misses.
const LAME_DUCK_MS: u64 = 2_800;

/// Part of the grace after which no more requests are taken at the latest, in percent:
/// where the grace is short, those that were taken need the other half of it.
const CLOSE_AT_PERCENT: u64 = 50;

/// Part of the grace after which each request has an answer, in percent.
///
/// Endpoints are given five sixths of the grace, 83 percent, to answer; what they are
/// still at then may be broken off. The rest of the grace is for the answers' way out.
const ANSWER_BY_PERCENT: u64 = 90;

/// Part of the grace that the last answers have for their way out, in percent; then the
/// process ends though a caller has not taken its answer.
///
/// They are up to 40 on a machine of 0.1 cores at a millisecond of its processor each:
/// 0.4 s. What is left of the grace is for the log and the exit.
const FLUSH_PERCENT: u64 = 7;

/// Time between two looks at how far a stop has come.
const DRAIN_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Where a connection stands between two requests.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// A request was taken.
    has_request: Cell<bool>,
    /// Requests taken and not answered in full.
    active: Cell<u32>,
    /// When the last byte came or the last answer ended.
    last_activity: Cell<Mono>,
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
    progress.last_activity.set(clock::mono());
    let monitored = MonitoredStream {
        stream,
        progress: Rc::clone(&progress),
    };
    let limits = state.limits();
    let service = service_fn(|req| {
        progress.has_request.set(true);
        progress.active.set(progress.active.get() + 1);
        progress.reading.set(false);
        let guard = RequestGuard {
            progress: Rc::clone(&progress),
            open: state.open_requests.insert(clock::mono()),
        };
        let answer = request::answer(Rc::clone(&state), req, guard);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(monitored), service);
    tokio::pin!(connection);
    let _open = state.track_connection();
    let mut closing = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(e) = ended {
                    log::debug!(cause = e.to_string(); "a caller's connection ended early");
                }
                return;
            }
            () = tokio::time::sleep(IDLE_CHECK_PERIOD), if !closing => {
                if is_overdue(&state, &progress) {
                    // The library goes on waiting for the rest of a first head.
                    if !progress.has_request.get() {
                        return;
                    }
                    connection.as_mut().graceful_shutdown();
                    closing = true;
                }
            }
            () = state.wait_for_phase(Phase::Closing), if !closing => {
                connection.as_mut().graceful_shutdown();
                closing = true;
            }
        }
    }
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
    clock::mono().since(progress.last_activity.get()) > limit
}

/// Resolves when the instance was stop_requested_at to stop and has answered everything, or when
/// its grace ends.
///
/// Failure: the process ended 5.5 s after the signal with requests at endpoints that had
/// long queues; their callers saw the connection close and knew nothing. So the end of the
/// process is not the end of the waiting: first each request has an answer, then the
/// answers leave, then the process ends. On five days made like it, 290 stops left 33
/// requests without an answer; now none is left.
///
/// Where `control` has failed nobody tells; `usual_grace_ms` holds then, so that what was
/// taken has its answers all the same.
pub(super) async fn drain(state: &State, mut stop: watch::Receiver<Stop>, usual_grace_ms: u64) {
    let is_requested = |stop: &Stop| matches!(stop, Stop::Within { .. });
    let grace_ms = match stop.wait_for(is_requested).await.as_deref() {
        Ok(Stop::Within { grace_ms }) => *grace_ms,
        Ok(Stop::No) | Err(_) => {
            state.log_open_requests("control has ended, the traffic ends too");
            usual_grace_ms
        }
    };
    let stop_requested_at = clock::mono();
    let part = |percent| grace_ms * percent / 100;
    state.set_end(stop_requested_at.plus(part(ANSWER_BY_PERCENT)));
    let closes = stop_requested_at.plus(LAME_DUCK_MS.min(part(CLOSE_AT_PERCENT)));
    while clock::mono() < closes {
        tokio::time::sleep(DRAIN_CHECK_PERIOD).await;
    }
    state.log_open_requests("idle connections are closed");
    state.enter_phase(Phase::Closing);
    wait_until_closed(state, stop_requested_at.plus(part(ANSWER_BY_PERCENT))).await;
    if state.open_connections() > 0 {
        state.log_open_requests("what has no answer gets one now");
        state.enter_phase(Phase::Ending);
        // Failure guarded against: the process was paused or had no processor, and goes on
        // when this phase was to be over. The answers have their time to leave all the same.
        wait_until_closed(state, clock::mono().plus(part(FLUSH_PERCENT))).await;
    }
    state.log_open_requests("the last connections end");
    state.open_requests.end_all(clock::mono());
}

/// Resolves once no connection is open, at `end` at the latest.
///
/// By the clock that counts time in which the machine was suspended: the grace does too.
async fn wait_until_closed(state: &State, end: Mono) {
    while state.open_connections() > 0 && clock::mono() < end {
        tokio::time::sleep(DRAIN_CHECK_PERIOD).await;
    }
}

/// Marks a request as answered when the library has taken the last byte of its answer; up
/// to a socket's buffer of it may still be on the way.
#[derive(Debug)]
pub(super) struct RequestGuard {
    progress: Rc<Progress>,
    /// The request, among those without a whole answer.
    pub open: OpenGuard,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let progress = &self.progress;
        progress.active.set(progress.active.get().saturating_sub(1));
        // What has come since the head was the body of this request.
        progress.reading.set(false);
        progress.last_activity.set(clock::mono());
    }
}

/// Body of an answer that holds on to [`RequestGuard`] until it was sent.
#[derive(Debug)]
pub(super) struct GuardedBody {
    pub body: http_body_util::Full<bytes::Bytes>,
    pub _guard: RequestGuard,
}

impl hyper::body::Body for GuardedBody {
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
struct MonitoredStream {
    stream: TcpStream,
    progress: Rc<Progress>,
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before && !self.progress.reading.replace(true) {
            self.progress.last_activity.set(clock::mono());
        }
        read
    }
}

impl AsyncWrite for MonitoredStream {
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
