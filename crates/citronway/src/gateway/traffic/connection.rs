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
use super::state::{Phase, State, Stop};
use crate::clock;

/// Smallest buffer for a head that the library takes, in bytes.
const MIN_HEAD: usize = 8_192;

/// Time between two looks at how long a connection is idle.
const IDLE_LOOK: Duration = Duration::from_millis(500);

/// Time after the signal to stop in which callers still arrive, in milliseconds: the
/// balancer asks once a second and takes an instance out after two misses.
const STILL_ARRIVING_MS: u64 = 2_800;

/// Part of the grace after which no more requests are taken at the latest, in hundredths:
/// where the grace is short, those that were taken need the other half of it.
const CLOSED_AT: u64 = 50;

/// Part of the grace after which each request has an answer, in hundredths.
///
/// Endpoints are given five sixths of the grace, 83 hundredths, to answer; what they are
/// still at then may be broken off. The rest of the grace is for the answers' way out.
const ANSWERED_AT: u64 = 90;

/// Part of the grace that the last answers have for their way out, in hundredths; then the
/// process ends though a caller has not taken its answer.
///
/// They are up to 40 on a machine of 0.1 cores at a millisecond of its processor each:
/// 0.4 s. What is left of the grace is for the log and the exit.
const WAY_OUT: u64 = 7;

/// Time between two looks at how far a stop has come.
const END_LOOK: Duration = Duration::from_millis(20);

/// Where a connection stands between two requests.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// A request was taken.
    taken: Cell<bool>,
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
        progress.taken.set(true);
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
                    // The library goes on waiting for the rest of a first head.
                    if !progress.taken.get() {
                        return;
                    }
                    connection.as_mut().graceful_shutdown();
                    closing = true;
                }
            }
            () = state.reached(Phase::Closing), if !closing => {
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
    clock::mono().since(progress.touched.get()) > limit
}

/// Resolves when the instance was told to stop and has answered everything, or when
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
pub(super) async fn drained(state: &State, mut stop: watch::Receiver<Stop>, usual_grace_ms: u64) {
    let is_told = |stop: &Stop| matches!(stop, Stop::Within { .. });
    let grace_ms = match stop.wait_for(is_told).await.as_deref() {
        Ok(Stop::Within { grace_ms }) => *grace_ms,
        Ok(Stop::No) | Err(_) => {
            state.log_open("control has ended, the traffic ends too");
            usual_grace_ms
        }
    };
    let told = clock::mono();
    let part = |hundredths| grace_ms * hundredths / 100;
    state.end_by(told.plus(part(ANSWERED_AT)));
    let closes = told.plus(STILL_ARRIVING_MS.min(part(CLOSED_AT)));
    while clock::mono() < closes {
        tokio::time::sleep(END_LOOK).await;
    }
    state.log_open("idle connections are closed");
    state.enter(Phase::Closing);
    all_ended_by(state, told.plus(part(ANSWERED_AT))).await;
    if state.open_connections() > 0 {
        state.log_open("what has no answer gets one now");
        state.enter(Phase::Ending);
        // Failure guarded against: the process was paused or had no processor, and goes on
        // when this phase was to be over. The answers have their time to leave all the same.
        all_ended_by(state, clock::mono().plus(part(WAY_OUT))).await;
    }
    state.log_open("the last connections end");
    state.open.end_all(clock::mono());
}

/// Resolves once no connection is open, at `end` at the latest.
///
/// By the clock that counts time in which the machine was suspended: the grace does too.
async fn all_ended_by(state: &State, end: Mono) {
    while state.open_connections() > 0 && clock::mono() < end {
        tokio::time::sleep(END_LOOK).await;
    }
}

/// Marks a request as answered when the library has taken the last byte of its answer; up
/// to a socket's buffer of it may still be on the way.
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
        // What has come since the head was the body of this request.
        progress.reading.set(false);
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
