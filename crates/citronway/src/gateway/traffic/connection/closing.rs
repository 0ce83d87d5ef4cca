//! Closes connections in two steps (RFC 9112, section 9.6).
//!
//! The system resets a connection that is dropped with unread bytes, and discards what its caller
//! has not received. The writing side is therefore closed first, and the rest once the system has
//! passed everything on.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::time::Duration;

use citronway_core::gateway::memory::Pressure;
use citronway_core::time::Mono;
use tokio::io::AsyncWrite as _;
use tokio::net::TcpStream;

use super::read_ahead::ReadAhead;
use super::unsent::unsent_bytes;
use crate::clock;
use crate::gateway::traffic::state::State;

/// Interval between looks at what is unsent. The system does not tell when this changes.
const CHECK_PERIOD: Duration = Duration::from_millis(25);

/// Time for which a caller that has everything may keep its connection open, in milliseconds.
const QUIET_MS: u64 = 2_000;

/// The same while the instance stops, which such a caller must not hold up.
const STOPPING_QUIET_MS: u64 = 250;

/// Bytes that are read and discarded at a time.
const DISCARD_BYTES: usize = 4 * 1024;

/// Most bytes that are discarded before other connections have their turn.
const TURN_BYTES: usize = 64 * 1024;

/// What happens to bytes that arrive while a connection closes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Arriving {
    /// They are no request: the last answer said that the connection closes, or they belong to a
    /// body that is not wanted.
    Discarded,
    /// They may be a request, and stay unread, so that the reset tells its caller that it was not
    /// read.
    Unread,
}

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    /// The system has passed on all there was.
    PassedOn,
    /// The caller has broken the connection.
    Caller,
    /// The caller took no byte for too long.
    Stall,
    /// The connection took too long to close.
    Bound,
}

/// Whether more may have arrived than is discarded in one turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Turn {
    Ended,
    UsedUp,
}

/// Bounds of a connection that closes.
#[derive(Debug, Clone, Copy)]
struct Bounds {
    /// Time in all; `None` while there is memory enough.
    total_ms: Option<u64>,
    /// Time without a byte that is passed on.
    stall_ms: u64,
    /// Time after everything was passed on.
    quiet_ms: u64,
    /// Bytes that are discarded.
    bytes: u64,
}

/// A connection whose writing side is closed.
#[derive(Debug)]
struct HalfClosed {
    arriving: Arriving,
    began: Mono,
    /// When the connection last took a byte.
    last_write: Mono,
    /// Bytes that the system has not passed on; `None` if it does not tell.
    unsent: Option<u64>,
    /// When this last changed.
    changed: Mono,
    discarded: u64,
    /// Whether the caller has closed its side.
    is_eof: bool,
}

/// Closes a connection on which nothing is written any more; the caller of this drops it.
pub(super) async fn close(state: &State, reader: &RefCell<ReadAhead>, arriving: Arriving) -> End {
    let shutdown = poll_fn(|cx| Pin::new(reader.borrow_mut().stream()).poll_shutdown(cx)).await;
    if shutdown.is_err() {
        return End::Caller;
    }
    let began = clock::mono();
    let mut closing = HalfClosed {
        arriving,
        began,
        last_write: reader.borrow_mut().stream().last_write(),
        unsent: None,
        changed: began,
        discarded: 0,
        is_eof: false,
    };
    loop {
        let bounds = bounds(state);
        let now = clock::mono();
        let observed = closing.observe(now, reader.borrow().socket(), bounds);
        let is_used_up = matches!(observed, Ok(Turn::UsedUp));
        let end = match observed {
            Ok(_) => closing.end(now, bounds),
            Err(_broken) if closing.unsent.is_none_or(|unsent| unsent == 0) => Some(End::PassedOn),
            Err(_broken) => Some(End::Caller),
        };
        if let Some(end) = end {
            return end;
        }
        if is_used_up {
            tokio::task::yield_now().await;
            continue;
        }
        let period = match closing.unsent {
            Some(0) => Duration::from_millis(STOPPING_QUIET_MS),
            Some(_) | None => CHECK_PERIOD,
        };
        let readable = poll_fn(|cx| reader.borrow().socket().poll_read_ready(cx));
        tokio::select! {
            _ = readable, if closing.is_reading(bounds) => {}
            () = tokio::time::sleep(period) => {}
        }
    }
}

/// Bytes of a connection that the system has not passed on, of those that were written.
pub(super) fn unsent(reader: &ReadAhead) -> Option<u64> {
    let unsent = unsent_bytes(reader.socket())?;
    Some(unsent.saturating_sub(u64::from(reader.is_shut())))
}

fn bounds(state: &State) -> Bounds {
    Bounds {
        total_ms: (state.memory_pressure() > Pressure::None).then_some(state.traffic.closing_ms),
        stall_ms: state.write_stall_ms,
        quiet_ms: if state.is_closing() {
            STOPPING_QUIET_MS
        } else {
            QUIET_MS
        },
        bytes: state.traffic.closing_bytes,
    }
}

impl HalfClosed {
    /// Whether bytes that arrive are read.
    fn is_reading(&self, bounds: Bounds) -> bool {
        self.arriving == Arriving::Discarded && !self.is_eof && self.discarded < bounds.bytes
    }

    /// Discards what has arrived, and looks at what is unsent.
    fn observe(&mut self, now: Mono, socket: &TcpStream, bounds: Bounds) -> io::Result<Turn> {
        let mut buf = [0; DISCARD_BYTES];
        let mut left = TURN_BYTES;
        while left > 0 && self.is_reading(bounds) {
            match socket.try_read(&mut buf) {
                Ok(0) => self.is_eof = true,
                Ok(count) => {
                    self.discarded += count as u64;
                    left = left.saturating_sub(count);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        if let Some(e) = socket.take_error()? {
            return Err(e);
        }
        // The end of the stream counts as a byte.
        let unsent = unsent_bytes(socket).map(|unsent| unsent.saturating_sub(1));
        if unsent != self.unsent {
            self.unsent = unsent;
            self.changed = now;
        }
        Ok(if left == 0 { Turn::UsedUp } else { Turn::Ended })
    }

    /// How the connection ends now; `None` if it stays.
    fn end(&self, now: Mono, bounds: Bounds) -> Option<End> {
        let is_passed_on = match self.unsent {
            Some(unsent) => unsent == 0,
            None => now.since(self.last_write) >= bounds.quiet_ms,
        };
        if !is_passed_on {
            let took_ms = now.since(self.began);
            let is_over = bounds.total_ms.is_some_and(|total_ms| took_ms >= total_ms);
            let is_stalled = self.unsent.is_some() && now.since(self.changed) >= bounds.stall_ms;
            return match (is_over, is_stalled) {
                (_, true) => Some(End::Stall),
                (true, false) => Some(End::Bound),
                (false, false) => None,
            };
        }
        let stays = self.is_reading(bounds) && now.since(self.changed) < bounds.quiet_ms;
        (!stays).then_some(End::PassedOn)
    }
}
