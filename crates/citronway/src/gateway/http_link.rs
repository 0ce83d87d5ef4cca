//! HTTP/1.1 client connections to endpoints and to the store.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use citronway_core::time::Mono;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use super::head_guard::{GuardedStream, HeadGuard, MAX_HEAD_BYTES};
use super::wrong_answer::WrongAnswer;
use crate::{answer_head, clock};

/// Connect timeout.
///
/// Round trips are below 20 ms. A lost SYN is retransmitted only after a second, so a new
/// attempt is faster.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Opens connections, from a stated address of this machine or from any.
#[derive(Debug, Clone, Copy, Default)]
pub struct Dialer {
    /// Address from which connections are opened; `None` for the system's choice.
    pub source: Option<IpAddr>,
}

impl Dialer {
    /// Connects, for [`CONNECT_TIMEOUT`] at most.
    ///
    /// # Errors
    ///
    /// When no connection is established in time.
    pub async fn connect(self, address: SocketAddr) -> io::Result<TcpStream> {
        match timeout(CONNECT_TIMEOUT, self.connect_unlimited(address)).await {
            Ok(connected) => connected,
            Err(elapsed) => Err(io::Error::new(io::ErrorKind::TimedOut, elapsed)),
        }
    }

    async fn connect_unlimited(self, address: SocketAddr) -> io::Result<TcpStream> {
        let Some(source) = self.source else {
            return TcpStream::connect(address).await;
        };
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.bind(SocketAddr::new(source, 0))?;
        socket.connect(address).await
    }

    /// Whether an address accepts a connection and does not reset it at once.
    pub async fn probe_link(self, address: SocketAddr) -> bool {
        let began = Instant::now();
        match self.connect(address).await {
            Ok(stream) => !is_reset(&stream, reset_check_duration(began.elapsed())).await,
            Err(e) => {
                log::debug!(address = address.to_string(), cause = e.to_string(); "endpoint does not accept a probe");
                false
            }
        }
    }

    /// Probes whether a process listens at an address, for [`CONNECT_TIMEOUT`] at most.
    pub async fn probe_listener(self, address: SocketAddr) -> Listening {
        match self.connect(address).await {
            Ok(_stream) => Listening::Yes,
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => Listening::No,
            Err(_) => Listening::Unknown,
        }
    }
}

/// An open connection without a request in progress.
#[derive(Debug)]
pub struct Link {
    sender: SendRequest<Full<Bytes>>,
    guard: HeadGuard,
    /// Latest time at which the connection was established.
    opened: Mono,
}

/// When a new connection is considered accepted by the peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectMode {
    /// As soon as it is open.
    Immediate,
    /// As soon as it is open; it is closed with a reset when it is dropped.
    ///
    /// Failure: a call is given up while its bytes still wait in this machine or on the
    /// network, and the endpoint executes it long after. A reset discards the unsent bytes.
    ImmediateWithReset,
    /// If it has not been reset within the time that the peer needs for that, see
    /// [`reset_check_duration`].
    ///
    /// Failure: a full endpoint accepts a connection and resets it, and a request written
    /// meanwhile may or may not have run. Work that must not be repeated is then lost to its
    /// caller, although it never reached the endpoint.
    AfterResetCheck,
}

/// Longest time that an endpoint takes to reset a new connection.
const MAX_RESET_DELAY: Duration = Duration::from_millis(2);

/// Longest time for which a new connection is checked before use. A longer connect time means
/// that the SYN was lost or this instance was short of processor time.
const MAX_RESET_CHECK: Duration = Duration::from_millis(12);

/// How long a new connection is checked for a reset, given the time it took to connect.
///
/// The connection is open here half a round trip before the peer knows, and a reset takes as
/// long to come back. So the check lasts a round trip, whatever the distance.
#[must_use]
pub fn reset_check_duration(connected_in: Duration) -> Duration {
    (connected_in + MAX_RESET_DELAY).min(MAX_RESET_CHECK)
}

/// Whether the peer ends a connection on which nothing was sent.
async fn is_reset(stream: &TcpStream, check: Duration) -> bool {
    // In HTTP/1.1 the server does not send first, so readable means closed.
    timeout(check, stream.readable()).await.is_ok()
}

/// Why a call got no complete answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection was established; nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// The peer reset a connection on which nothing was sent.
    #[error("connection reset before the request was sent")]
    Reset,
    /// The connection was closed before a byte was sent.
    #[error("connection closed before the request was sent")]
    NotSent,
    /// The connection broke after bytes may have been sent.
    #[error("connection broke: {0}")]
    Broken(#[source] hyper::Error),
    /// There is no memory for the rest of the answer.
    #[error("no memory for the answer")]
    NoMemory,
    /// The answer is truncated.
    #[error("answer truncated: {0}")]
    Truncated(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The peer sent bytes that are not an answer to the call.
    #[error("wrong answer: {0}")]
    Wrong(#[source] WrongAnswer),
    /// The answer did not arrive in time.
    #[error("timed out waiting for the answer")]
    Timeout,
}

impl CallError {
    /// Whether it is certain that nothing was sent.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::NotSent | Self::Reset)
    }
}

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Whether a process listens at an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listening {
    /// The address accepts connections.
    Yes,
    /// The machine refuses the connection, so the process has ended.
    No,
    /// The machine does not answer, so nothing is known.
    Unknown,
}

impl Link {
    /// Connects. A task of the current runtime drives the connection.
    ///
    /// # Errors
    ///
    /// When no connection is established within [`CONNECT_TIMEOUT`], or when it is reset during
    /// the check of [`ConnectMode::AfterResetCheck`].
    pub async fn open(
        dialer: Dialer,
        address: SocketAddr,
        mode: ConnectMode,
    ) -> Result<Self, CallError> {
        let began = Instant::now();
        let stream = dialer.connect(address).await.map_err(CallError::Connect)?;
        stream.set_nodelay(true).map_err(CallError::Connect)?;
        if mode == ConnectMode::ImmediateWithReset {
            stream.set_zero_linger().map_err(CallError::Connect)?;
        }
        let opened = clock::mono();
        let check = reset_check_duration(began.elapsed());
        if mode == ConnectMode::AfterResetCheck && is_reset(&stream, check).await {
            return Err(CallError::Reset);
        }
        let guard = HeadGuard::default();
        let handshake = Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(GuardedStream::new(stream, guard.clone())));
        let (sender, connection) = handshake
            .await
            .map_err(|e| CallError::Connect(io::Error::other(e)))?;
        tokio::spawn(async move {
            // The call in progress returns the error; without a call, `is_usable` shows it.
            if let Err(e) = connection.await {
                log::debug!(cause = e.to_string(); "a connection ended");
            }
        });
        Ok(Self {
            sender,
            guard,
            opened,
        })
    }

    /// Latest time at which the connection was established.
    #[must_use]
    pub const fn opened(&self) -> Mono {
        self.opened
    }

    /// Whether another request can be sent.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Whether the peer has closed the connection.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request, and reads and checks the head of the answer.
    ///
    /// # Errors
    ///
    /// When nothing was sent, the connection broke, or the head exceeded a bound or is invalid. The
    /// connection must not be used again then.
    pub async fn send(&mut self, req: Request<Bytes>) -> Result<Response<Incoming>, CallError> {
        let mut req = req.map(Full::new);
        let method = req.method().clone();
        self.guard.begin(&mut req);
        let sent = self.sender.try_send_request(req).await;
        let exceeded = self.guard.end();
        let answer = sent.map_err(|mut e| {
            if e.take_message().is_some() {
                return CallError::NotSent;
            }
            let e = e.into_error();
            if let Some(exceeded) = exceeded {
                CallError::Wrong(exceeded)
            } else if e.is_parse_too_large() {
                CallError::Wrong(WrongAnswer::LongHead)
            } else if e.is_parse() {
                CallError::Wrong(WrongAnswer::Malformed)
            } else {
                CallError::Broken(e)
            }
        })?;
        match answer_head::check(&method, answer.status(), answer.headers()) {
            Ok(()) => Ok(answer),
            Err(e) => Err(CallError::Wrong(e.into())),
        }
    }

    /// Sends a request and reads the complete answer.
    ///
    /// # Errors
    ///
    /// When the head does not arrive within `limit`, or the body within [`BODY_TIMEOUT`] after
    /// it, or the body exceeds its bounds.
    pub async fn call(
        &mut self,
        req: Request<Bytes>,
        limit: Duration,
        bounds: BodyBounds,
    ) -> Result<Answer, CallError> {
        let head = timeout(limit, self.send(req)).await;
        let head = head.unwrap_or(Err(CallError::Timeout))?;
        let answer = timeout(BODY_TIMEOUT, read_answer(head, bounds, |_bytes| true)).await;
        answer.unwrap_or(Err(CallError::Timeout))
    }
}

/// Timeout for the body of an answer after its head.
///
/// Failure: a configuration of many routes takes a quarter of a second over a link of 10
/// Mbit/s, and longer when all instances fetch it. With one limit for head and body, the call
/// was aborted and restarted again and again, and the old configuration stayed in force.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest body of an answer that is read, in bytes.
///
/// Answers are read completely, so that a truncated one never looks complete to a caller.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Least bound of a body without a stated length, in bytes.
const MIN_UNSTATED_BYTES: usize = 2 * 1024 * 1024;

/// Bound of a body without a stated length, as a multiple of the usual one.
const UNSTATED_FACTOR: usize = 64;

/// Longest bodies of an answer, in bytes.
#[derive(Debug, Clone, Copy)]
pub struct BodyBounds {
    /// With a stated length.
    stated: usize,
    /// Without one: such a body may have no end.
    unstated: usize,
}

impl BodyBounds {
    /// Bounds of answers that always have a known form.
    pub const fn of_bytes(bytes: usize) -> Self {
        Self {
            stated: bytes,
            unstated: bytes,
        }
    }

    /// Bounds of the answers of the store, which lists and long configurations need.
    pub const STORE: Self = Self::of_bytes(MAX_ANSWER_BYTES);

    /// Bounds of the answer to a request whose usual answer has `usual` bytes; zero if unknown.
    pub fn of_usual(usual: u64) -> Self {
        let usual = usize::try_from(usual).unwrap_or(usize::MAX);
        let unstated = match usual {
            0 => MAX_ANSWER_BYTES,
            usual => usual.saturating_mul(UNSTATED_FACTOR),
        };
        Self {
            stated: MAX_ANSWER_BYTES,
            unstated: unstated.clamp(MIN_UNSTATED_BYTES, MAX_ANSWER_BYTES),
        }
    }
}

/// Least room that a body of unknown length is given at a time, in bytes.
const MIN_GROWTH_BYTES: usize = 8 * 1024;

/// Reads the body of an answer. `has_room` says whether so many bytes may be used for it.
///
/// # Errors
///
/// When it is truncated or exceeds its bounds, or has no room.
pub async fn read_answer(
    answer: Response<Incoming>,
    bounds: BodyBounds,
    mut has_room: impl FnMut(u64) -> bool,
) -> Result<Answer, CallError> {
    let (head, mut body) = answer.into_parts();
    let stated = body.size_hint().exact();
    let stated = stated.map(|stated| usize::try_from(stated).unwrap_or(usize::MAX));
    let max_bytes = match stated {
        Some(_) => bounds.stated,
        None => bounds.unstated,
    };
    if stated.is_some_and(|stated| stated > max_bytes) {
        return Err(CallError::Wrong(WrongAnswer::LongBody));
    }
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| CallError::Truncated(e.into()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = read.len() + data.len();
        if length > max_bytes {
            return Err(CallError::Wrong(WrongAnswer::LongBody));
        }
        if length > read.capacity() {
            let wanted = stated.unwrap_or((read.capacity() * 2).max(MIN_GROWTH_BYTES));
            let capacity = wanted.min(max_bytes).max(length);
            if !has_room(capacity as u64) {
                return Err(CallError::NoMemory);
            }
            read.reserve(capacity - read.len());
        }
        read.extend_from_slice(&data);
    }
    Ok(Answer {
        status: head.status,
        headers: head.headers,
        body: read.freeze(),
    })
}
