//! Serves callers' connections, and drains them when the instance stops.

mod drain;
mod framing;
mod progress;
mod read_ahead;

use std::cell::RefCell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

use super::neighbor::Origin;
use super::request;
use super::state::{Phase, State};
use crate::clock;
use progress::Progress;
use read_ahead::{ReadAhead, SharedStream};

pub(super) use drain::drain;
pub(super) use progress::{GuardedBody, RequestGuard};

/// Smallest read buffer that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;

/// Interval between checks of how long a connection has been idle.
const IDLE_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Serves one connection until it ends.
pub(super) async fn serve(state: Rc<State>, stream: TcpStream, origin: Origin) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(cause = e.to_string(); "caller disconnected at once");
        return;
    }
    let progress = Rc::new(Progress::new(clock::mono()));
    let reader = Rc::new(RefCell::new(ReadAhead::new(stream, Rc::clone(&progress))));
    let limits = state.limits();
    let service = service_fn(|req| {
        let arrived = reader.borrow().arrived().unwrap_or_else(clock::mono);
        let guard = progress.begin(state.open_requests.insert(arrived));
        let answer = request::answer(Rc::clone(&state), arrived, req, guard, origin);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(SharedStream(Rc::clone(&reader))), service);
    tokio::pin!(connection);
    let _open = state.track_connection();
    let mut closing = false;
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
            () = poll_fn(|cx| reader.borrow_mut().poll_ahead(cx)) => {
                log::debug!("caller left behind requests without an answer");
                return;
            }
            () = state.wait_for_phase(Phase::Closing), if !closing => {
                connection.as_mut().graceful_shutdown();
                closing = true;
            }
            () = tokio::time::sleep(IDLE_CHECK_PERIOD), if !closing => {
                if progress.is_overdue(clock::mono(), state.limits()) {
                    // The library keeps waiting for the rest of a connection's first head.
                    if !progress.has_request() {
                        return;
                    }
                    connection.as_mut().graceful_shutdown();
                    closing = true;
                }
            }
        }
    }
}
