//! Serves callers' connections, and drains them when the instance stops.

mod chunks;
mod closing;
mod cut;
mod drain;
mod framing;
mod pipeline;
mod progress;
mod queue;
mod read_ahead;
mod stream;
mod unread;
mod unsent;

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use citronway_core::gateway::memory::{CONNECTION_BYTES, Pressure, Use};
use citronway_core::time::Mono;
use citronway_platform::exchange;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

use super::neighbor::Origin;
use super::request;
use super::state::{Phase, State};
use super::write_stall::{LastAnswer, WriteStall};
use crate::clock;
use crate::gateway::memory_metrics::CutCause;
use closing::{Arriving, End};
use cut::CutWatch;
use pipeline::{Begun, Row, TurnError};
use progress::Progress;
use read_ahead::{Given, ReadAhead, Turn};
use stream::SharedStream;
use unread::Watched;

pub(super) use drain::drain;
pub(super) use progress::{GuardedBody, RequestGuard};

/// Smallest read buffer that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;

/// Interval between checks of how long a connection has been idle.
const IDLE_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Whether a connection closes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Closing {
    No,
    /// Once the last request that is begun has its turn.
    AfterRow,
    /// After the answer that is being sent.
    AfterAnswer,
}

/// What happens to the row of requests of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RowEvent {
    /// The caller has left behind a request without an answer.
    CallerLeft,
    /// Nothing is begun behind the request whose turn it is.
    AtLast,
}

/// Why no further request of a connection is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Served {
    /// The caller has closed the connection, or the instance closes it.
    Closes,
    /// What arrived is no request, and was refused.
    Refused,
    /// The connection is broken.
    Broken,
}

/// A request whose turn it is.
enum InTurn {
    /// It was begun ahead.
    Begun(Box<Begun>),
    /// It is begun now; with its time of arrival.
    New(RequestGuard, Mono),
}

/// Serves one connection until it is closed.
pub(super) async fn serve(state: Rc<State>, stream: TcpStream, origin: Origin) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(cause = e.to_string(); "caller disconnected at once");
        return;
    }
    let _open = state.track_connection();
    let _memory = state.memory.charge(Use::Connections, CONNECTION_BYTES);
    let progress = Rc::new(Progress::new(clock::mono()));
    let last = Rc::new(LastAnswer::default());
    let stream = WriteStall::new(stream, Rc::clone(&state), Rc::clone(&last));
    let reader = Rc::new(RefCell::new(ReadAhead::new(stream, Rc::clone(&progress))));
    let watch = CutWatch::new(&state, &reader);
    let served = serve_requests(&state, &reader, &progress, &last, &watch, origin).await;
    let arriving = match served {
        Served::Broken => {
            let cause = if reader.borrow().is_stalled() {
                CutCause::Stall
            } else {
                CutCause::Caller
            };
            watch.set_cause(cause);
            return;
        }
        Served::Refused => Arriving::Discarded,
        Served::Closes if last.says_close() || reader.borrow().is_in_body() => Arriving::Discarded,
        Served::Closes => Arriving::Unread,
    };
    reader.borrow_mut().forget_ahead();
    match closing::close(&state, &reader, arriving).await {
        End::PassedOn | End::Bound => watch.set_cause(CutCause::Bound),
        End::Caller => watch.set_cause(CutCause::Caller),
        End::Stall => {
            watch.set_cause(CutCause::Stall);
            state.metrics.memory.count_write_stall();
        }
    }
}

/// Serves the requests of one connection, until none is to come.
async fn serve_requests(
    state: &Rc<State>,
    reader: &Rc<RefCell<ReadAhead>>,
    progress: &Rc<Progress>,
    last: &LastAnswer,
    watch: &CutWatch,
    origin: Origin,
) -> Served {
    let mut unread = state.memory.charge(Use::Requests, 0);
    let max_head_bytes = state.limits().header_bytes.max(MIN_HEAD_BYTES);
    let row = Row::new(state, origin, progress, max_head_bytes);
    let row = Rc::new(RefCell::new(row));
    let closing = Cell::new(Closing::No);
    let service = service_fn(|req| {
        let asks_close = asks_close(&req);
        let method = req.method().clone();
        let turn = reader.borrow_mut().take_turn();
        let answer = answer_in_turn(state, progress, reader, &row, turn, req, origin);
        let closing = &closing;
        async move {
            let answer = answer.await?;
            let says_close = asks_close
                || closing.get() == Closing::AfterAnswer
                || answer.headers().contains_key(CONNECTION);
            last.set(exchange::request_id(answer.headers()), says_close);
            Ok::<_, TurnError>(watch.count(&method, answer))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(max_head_bytes)
        .serve_connection(TokioIo::new(SharedStream(Rc::clone(reader))), service);
    tokio::pin!(connection);
    loop {
        tokio::select! {
            // Reading ahead follows what the library has read in the same round.
            biased;
            ended = connection.as_mut() => {
                let Err(e) = ended else {
                    return Served::Closes;
                };
                log::debug!(cause = e.to_string(); "caller connection ended early");
                return Served::of(&e);
            }
            event = poll_fn(|cx| {
                let event = poll_row(cx, state, reader, &row, closing.get());
                unread.set(reader.borrow().buffered_bytes());
                event
            }) => match event {
                RowEvent::CallerLeft => {
                    log::debug!("caller left behind requests without an answer");
                    return Served::Broken;
                }
                RowEvent::AtLast => {
                    connection.as_mut().graceful_shutdown();
                    closing.set(Closing::AfterAnswer);
                }
            },
            () = state.wait_for_phase(Phase::Closing), if closing.get() == Closing::No => {
                row.borrow().close();
                reader.borrow_mut().end_requests();
                closing.set(Closing::AfterRow);
            }
            () = tokio::time::sleep(IDLE_CHECK_PERIOD), if closing.get() == Closing::No => {
                if progress.is_overdue(clock::mono(), state.limits()) {
                    // The library keeps waiting for the rest of a connection's first head.
                    if !progress.has_request() {
                        return Served::Closes;
                    }
                    row.borrow().close();
                    reader.borrow_mut().end_requests();
                    closing.set(Closing::AfterRow);
                }
            }
        }
    }
}

impl Served {
    /// What an error of the HTTP library means.
    fn of(e: &hyper::Error) -> Self {
        if e.is_parse() {
            Self::Refused
        } else if e.is_user() {
            Self::Closes
        } else {
            Self::Broken
        }
    }
}

/// Whether the answer to a request says that the connection closes because its caller wants it.
fn asks_close(req: &Request<Incoming>) -> bool {
    let says = |word: &[u8]| {
        let mut values = req.headers().get_all(CONNECTION).iter();
        let has_word = |value: &HeaderValue| {
            let mut parts = value.as_bytes().split(|byte| *byte == b',');
            parts.any(|part| part.trim_ascii().eq_ignore_ascii_case(word))
        };
        values.any(has_word)
    };
    let is_old = req.version() == Version::HTTP_10;
    says(b"close") || (is_old && !says(b"keep-alive"))
}

/// Reads ahead and begins requests, after the HTTP library has been polled.
fn poll_row(
    cx: &mut Context<'_>,
    state: &State,
    reader: &RefCell<ReadAhead>,
    row: &RefCell<Row>,
    closing: Closing,
) -> Poll<RowEvent> {
    if state.is_stopping() {
        reader.borrow_mut().end_requests();
    }
    if reader
        .borrow_mut()
        .poll_ahead(cx, state.may_read_ahead())
        .is_ready()
    {
        return Poll::Ready(RowEvent::CallerLeft);
    }
    let mut row = row.borrow_mut();
    row.begin_ready(&reader.borrow());
    let is_at_last = row.is_at_last() && !reader.borrow().has_whole_request();
    if closing == Closing::AfterRow && is_at_last {
        return Poll::Ready(RowEvent::AtLast);
    }
    Poll::Pending
}

/// Answers a request that the HTTP library has parsed.
fn answer_in_turn(
    state: &Rc<State>,
    progress: &Rc<Progress>,
    reader: &Rc<RefCell<ReadAhead>>,
    row: &Rc<RefCell<Row>>,
    turn: Turn,
    req: Request<Incoming>,
    origin: Origin,
) -> impl Future<Output = Result<Response<GuardedBody>, TurnError>> + use<> {
    let (state, row, reader) = (Rc::clone(state), Rc::clone(row), Rc::clone(reader));
    let given = match turn {
        Turn::Given(given) => Ok(given),
        Turn::Unframed => Ok(Given {
            arrived: clock::mono(),
            queued_at: None,
        }),
        Turn::Unknown => Err(TurnError::Differs),
    };
    let in_turn = given.and_then(|given| {
        let mut row = row.borrow_mut();
        if let Some(begun) = row.take_begun(given.queued_at)? {
            return Ok(InTurn::Begun(Box::new(begun)));
        }
        let open = state.open_requests.insert(given.arrived);
        row.begin_in_turn(&open.request, given);
        Ok(InTurn::New(progress.begin(open), given.arrived))
    });
    let is_left = Rc::new(Cell::new(false));
    async move {
        let mut answer = match in_turn? {
            InTurn::Begun(begun) => begun.finish(req).await?,
            InTurn::New(guard, arrived) => {
                let req = req.map(|body| Watched::new(body, Rc::clone(&is_left)));
                request::answer(Rc::clone(&state), arrived, req, guard, origin).await
            }
        };
        let mut reader = reader.borrow_mut();
        // Requests that are read behind this one are answered before the connection closes, and what
        // arrives later is none.
        if state.is_stopping() || state.memory_pressure() == Pressure::Full {
            reader.end_requests();
        }
        let is_at_last = row.borrow().is_at_last() && !reader.has_whole_request();
        // The library does not read the rest of a body that nobody wants.
        let is_cut = is_left.get() && !reader.is_whole();
        if is_cut || (reader.is_ended() && is_at_last) {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        Ok(answer)
    }
}
