//! Serves callers' connections, and drains them when the instance stops.

mod chunks;
mod drain;
mod framing;
mod pipeline;
mod progress;
mod queue;
mod read_ahead;
mod stream;

use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use citronway_core::gateway::memory::{CONNECTION_BYTES, Pressure, Use};
use citronway_core::time::Mono;
use citronway_platform::exchange;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
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
use pipeline::{Begun, Row, TurnError};
use progress::Progress;
use read_ahead::{Given, ReadAhead, Turn};
use stream::SharedStream;

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

/// A request whose turn it is.
enum InTurn {
    /// It was begun ahead.
    Begun(Box<Begun>),
    /// It is begun now; with its time of arrival.
    New(RequestGuard, Mono),
}

/// Serves one connection until it ends.
pub(super) async fn serve(state: Rc<State>, stream: TcpStream, origin: Origin) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(cause = e.to_string(); "caller disconnected at once");
        return;
    }
    let progress = Rc::new(Progress::new(clock::mono()));
    let _memory = state.memory.charge(Use::Connections, CONNECTION_BYTES);
    let mut unread = state.memory.charge(Use::Requests, 0);
    let last = Rc::new(LastAnswer::default());
    let stream = WriteStall::new(stream, Rc::clone(&state), Rc::clone(&last));
    let reader = Rc::new(RefCell::new(ReadAhead::new(stream, Rc::clone(&progress))));
    let max_head_bytes = state.limits().header_bytes.max(MIN_HEAD_BYTES);
    let row = Row::new(&state, origin, &progress, max_head_bytes);
    let row = Rc::new(RefCell::new(row));
    let service = service_fn(|req| {
        let turn = reader.borrow_mut().take_turn();
        let answer = answer_in_turn(&state, &progress, &row, turn, req, origin);
        let last = Rc::clone(&last);
        async move {
            let answer = answer.await?;
            last.set(exchange::request_id(answer.headers()));
            Ok::<_, TurnError>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(max_head_bytes)
        .serve_connection(TokioIo::new(SharedStream(Rc::clone(&reader))), service);
    tokio::pin!(connection);
    let _open = state.track_connection();
    let mut closing = Closing::No;
    loop {
        tokio::select! {
            // Reading ahead follows what the library has read in the same round.
            biased;
            ended = connection.as_mut() => {
                if let Err(e) = ended {
                    log::debug!(cause = e.to_string(); "caller connection ended early");
                }
                return;
            }
            event = poll_fn(|cx| {
                let event = poll_row(cx, &state, &reader, &row, closing);
                unread.set(reader.borrow().buffered_bytes());
                event
            }) => match event {
                RowEvent::CallerLeft => {
                    log::debug!("caller left behind requests without an answer");
                    return;
                }
                RowEvent::AtLast => {
                    connection.as_mut().graceful_shutdown();
                    closing = Closing::AfterAnswer;
                }
            },
            () = state.wait_for_phase(Phase::Closing), if closing == Closing::No => {
                row.borrow().close();
                closing = Closing::AfterRow;
            }
            () = tokio::time::sleep(IDLE_CHECK_PERIOD), if closing == Closing::No => {
                if progress.is_overdue(clock::mono(), state.limits()) {
                    // The library keeps waiting for the rest of a connection's first head.
                    if !progress.has_request() {
                        return;
                    }
                    row.borrow().close();
                    closing = Closing::AfterRow;
                }
            }
        }
    }
}

/// Reads ahead and begins requests, after the HTTP library has been polled.
fn poll_row(
    cx: &mut Context<'_>,
    state: &State,
    reader: &RefCell<ReadAhead>,
    row: &RefCell<Row>,
    closing: Closing,
) -> Poll<RowEvent> {
    if reader
        .borrow_mut()
        .poll_ahead(cx, state.may_read_ahead())
        .is_ready()
    {
        return Poll::Ready(RowEvent::CallerLeft);
    }
    let mut row = row.borrow_mut();
    row.begin_ready(&reader.borrow());
    if closing == Closing::AfterRow && row.is_at_last() {
        return Poll::Ready(RowEvent::AtLast);
    }
    Poll::Pending
}

/// Answers a request that the HTTP library has parsed.
fn answer_in_turn(
    state: &Rc<State>,
    progress: &Rc<Progress>,
    row: &Rc<RefCell<Row>>,
    turn: Turn,
    req: Request<Incoming>,
    origin: Origin,
) -> impl Future<Output = Result<Response<GuardedBody>, TurnError>> + use<> {
    let (state, row) = (Rc::clone(state), Rc::clone(row));
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
    async move {
        let mut answer = match in_turn? {
            InTurn::Begun(begun) => begun.finish(req).await?,
            InTurn::New(guard, arrived) => {
                request::answer(Rc::clone(&state), arrived, req, guard, origin).await
            }
        };
        // Requests that are begun behind this one are answered before the connection closes.
        let closes = state.is_stopping() || state.memory_pressure() == Pressure::Full;
        if closes && row.borrow().is_at_last() {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        Ok(answer)
    }
}
