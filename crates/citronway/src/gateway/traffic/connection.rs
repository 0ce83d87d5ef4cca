//! Serves callers' connections, and drains them when the instance stops.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use citronway_core::gateway::memory::{CONNECTION_BYTES, Use};
use citronway_core::time::Mono;
use citronway_platform::exchange;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::answer_buf::AnswerBuf;
use super::neighbor::Origin;
use super::open_requests::OpenGuard;
use super::request;
use super::state::{Phase, State, Stop};
use super::write_stall::{LastAnswer, WriteStall};
use crate::clock;

/// Smallest read buffer that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;

/// Interval between checks of how long a connection has been idle.
const IDLE_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Time after the stop signal in which new callers still arrive, in milliseconds: the balancer
/// probes once a second and removes an instance after two failed probes.
const LAME_DUCK_MS: u64 = 2_800;

/// Percentage of the grace after which no requests are accepted at the latest. With a short
/// grace, the accepted requests need its other half.
const CLOSE_AT_PERCENT: u64 = 50;

/// Percentage of the grace after which each request has an answer.
///
/// Endpoints get five sixths (83 %) of the grace to answer; what they still run then may be
/// aborted. The rest of the grace is for sending the answers.
const ANSWER_BY_PERCENT: u64 = 90;

/// Percentage of the grace that is left for sending the last answers; after it the process ends
/// even if a caller has not read its answer.
///
/// There are up to 40 answers, at 1 ms of processor time each: 0.4 s on a machine of 0.1 cores.
/// What remains of the grace is for flushing the log and exiting.
const FLUSH_PERCENT: u64 = 7;

/// Interval between checks of the drain's progress.
const DRAIN_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// State of a connection between two requests.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Whether a request has arrived on the connection.
    has_request: Cell<bool>,
    /// Requests received and not yet answered in full.
    active: Cell<u32>,
    /// When the first byte after the last answer arrived, or when the last answer ended.
    last_activity: Cell<Mono>,
    /// Whether bytes have arrived since the last answer ended.
    reading: Cell<bool>,
}

/// Serves one connection until it ends.
pub(super) async fn serve(state: Rc<State>, stream: TcpStream, origin: Origin) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(cause = e.to_string(); "caller disconnected at once");
        return;
    }
    let progress = Rc::new(Progress::default());
    progress.last_activity.set(clock::mono());
    let _memory = state.memory.charge(Use::Connections, CONNECTION_BYTES);
    let last = Rc::new(LastAnswer::default());
    let monitored = MonitoredStream {
        stream: WriteStall::new(stream, Rc::clone(&state), Rc::clone(&last)),
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
        let answer = request::answer(Rc::clone(&state), req, guard, origin);
        let last = Rc::clone(&last);
        async move {
            let answer = answer.await;
            last.set(exchange::request_id(answer.headers()));
            Ok::<_, Infallible>(answer)
        }
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
                    log::debug!(cause = e.to_string(); "caller connection ended early");
                }
                return;
            }
            () = tokio::time::sleep(IDLE_CHECK_PERIOD), if !closing => {
                if is_overdue(&state, &progress) {
                    // The library keeps waiting for the rest of a connection's first head.
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

/// Whether a connection has exceeded the idle timeout, or its next head the header timeout.
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

/// Resolves when the instance has been asked to stop and has answered all requests, or when its
/// grace ends.
///
/// Failure: the process ended 5.5 s after the signal while endpoints with long queues still had
/// requests; the callers saw their connections close and did not know whether the requests had
/// run. On five test days modelled on it, 290 stops left 33 requests without an answer. So the
/// drain has three steps: each request gets an answer, the answers are sent, then the process
/// ends.
///
/// If `control` has failed, no stop is announced. `default_grace_ms` then applies, so that
/// accepted requests still get their answers.
pub(super) async fn drain(state: &State, mut stop: watch::Receiver<Stop>, default_grace_ms: u64) {
    let is_requested = |stop: &Stop| matches!(stop, Stop::Within { .. });
    let grace_ms = match stop.wait_for(is_requested).await.as_deref() {
        Ok(Stop::Within { grace_ms }) => *grace_ms,
        Ok(Stop::No) | Err(_) => {
            state.log_open_requests("control has ended; traffic stops within the configured grace");
            default_grace_ms
        }
    };
    let stop_requested_at = clock::mono();
    let part = |percent| grace_ms * percent / 100;
    state.limit_deadlines(stop_requested_at.plus(part(ANSWER_BY_PERCENT)));
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
        // Failure guarded against: the process was paused or had no processor time, and resumes
        // when this phase should already be over. The answers still get their time to be sent.
        wait_until_closed(state, clock::mono().plus(part(FLUSH_PERCENT))).await;
    }
    state.log_open_requests("the last connections end");
    state.open_requests.end_all(clock::mono());
}

/// Resolves once no connection is open, or at `end`.
///
/// Uses the clock that includes time in which the machine was suspended, because the grace
/// includes it too.
async fn wait_until_closed(state: &State, end: Mono) {
    while state.open_connections() > 0 && clock::mono() < end {
        tokio::time::sleep(DRAIN_CHECK_PERIOD).await;
    }
}

/// Guard that marks a request as answered when dropped, which is when the HTTP library has
/// taken the last byte of the answer. Up to a socket buffer of it may still be in transit.
#[derive(Debug)]
pub(super) struct RequestGuard {
    progress: Rc<Progress>,
    /// Entry of the request among those without a complete answer.
    pub open: OpenGuard,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let progress = &self.progress;
        progress.active.set(progress.active.get().saturating_sub(1));
        // Bytes that arrived after the head were the body of this request.
        progress.reading.set(false);
        progress.last_activity.set(clock::mono());
    }
}

/// Response body that keeps its [`RequestGuard`] until it has been sent.
#[derive(Debug)]
pub(super) struct GuardedBody {
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

/// A stream that records when bytes arrive.
#[derive(Debug)]
struct MonitoredStream {
    stream: WriteStall,
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
