//! One HTTP/1.1 connection of this process to an endpoint or to the store.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use citronway_core::time::Mono;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::clock;

/// Time for a connection to be made.
///
/// Round trips are below 20 ms; a lost opening packet is sent again only after a
/// second, when a new attempt is faster.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A connection that is open and has no request under way.
#[derive(Debug)]
pub struct Link {
    sender: SendRequest<Full<Bytes>>,
    /// When it was made, at the latest.
    opened: Mono,
}

/// When a new connection counts as taken by the other side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectMode {
    /// Once it is open.
    Immediate,
    /// The same; it is reset when it is given up.
    ///
    /// Failure: a call is given up while its bytes wait in this machine or on the link,
    /// and the endpoint carries it out long after. A reset drops what was not sent.
    ImmediateWithReset,
    /// Once it was not reset for as long as the other side takes to do so, see [`reset_check_duration`].
    ///
    /// Failure: a full endpoint takes a connection and resets it, and a request that was
    /// written meanwhile may or may not have run. Work that may not be repeated is then
    /// lost to its caller, though it never reached the endpoint.
    AfterResetCheck,
}

/// Time that an endpoint takes from a new connection to its reset, at most.
const HANDSHAKE: Duration = Duration::from_millis(2);

/// Longest time for which a new connection is looked at before it is used: the opening packet
/// was lost, or this instance was short of processor time.
const LONGEST_LOOK: Duration = Duration::from_millis(12);

/// How long a new connection is looked at that took so long to be made.
///
/// It is open here half a round trip before the other side knows, and a reset takes as long
/// to come back; so the time of a round trip is looked at, whatever the distance.
#[must_use]
pub fn reset_check_duration(connected_in: Duration) -> Duration {
    (connected_in + HANDSHAKE).min(LONGEST_LOOK)
}

/// Whether the other side ends a connection on which nothing was sent.
async fn is_reset(stream: &TcpStream, look: Duration) -> bool {
    // Nobody speaks first on HTTP/1.1: what can be read is the end.
    timeout(look, stream.readable()).await.is_ok()
}

/// Why a call brought no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection; nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// The other side reset a connection on which nothing was sent.
    #[error("the connection was reset before the request was sent")]
    Reset,
    /// The connection had ended before a byte was sent.
    #[error("the connection had ended before the request was sent")]
    NotSent,
    /// The connection broke after bytes may have been sent.
    #[error("the connection broke: {0}")]
    Broken(#[source] hyper::Error),
    /// The answer broke off or is too long.
    #[error("the answer is not whole: {0}")]
    Truncated(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// No answer in time.
    #[error("no answer in time")]
    Timeout,
}

impl CallError {
    /// Whether it is certain that nothing was sent.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::NotSent | Self::Reset)
    }
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, complete.
    pub body: Bytes,
}

/// Whether a process listens at an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listening {
    /// It takes connections.
    Yes,
    /// Its machine answers that nobody listens: the process has ended.
    No,
    /// Nothing is known: its machine does not answer.
    Unknown,
}

/// Looks whether a process listens at an address, for [`CONNECT_TIMEOUT`] at most.
pub async fn probe_listener(address: SocketAddr) -> Listening {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_stream)) => Listening::Yes,
        Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => Listening::No,
        Ok(Err(_)) | Err(_) => Listening::Unknown,
    }
}

impl Link {
    /// Connects; the connection is driven by a task of the present runtime.
    ///
    /// # Errors
    ///
    /// When there is no connection within [`CONNECT_TIMEOUT`].
    pub async fn open(address: SocketAddr, mode: ConnectMode) -> Result<Self, CallError> {
        let began = Instant::now();
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(stream) => stream.map_err(CallError::Connect)?,
            Err(elapsed) => return Err(CallError::Connect(io::Error::other(elapsed))),
        };
        stream.set_nodelay(true).map_err(CallError::Connect)?;
        if mode == ConnectMode::ImmediateWithReset {
            stream.set_zero_linger().map_err(CallError::Connect)?;
        }
        let opened = clock::mono();
        let look = reset_check_duration(began.elapsed());
        if mode == ConnectMode::AfterResetCheck && is_reset(&stream, look).await {
            return Err(CallError::Reset);
        }
        let handshake = Builder::new()
            .max_buf_size(64 * 1024)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake
            .await
            .map_err(|e| CallError::Connect(io::Error::other(e)))?;
        tokio::spawn(async move {
            // How it ended shows at the call that was under way; without one, it shows
            // in `is_usable`.
            if let Err(e) = connection.await {
                log::debug!(cause = e.to_string(); "a connection ended");
            }
        });
        Ok(Self { sender, opened })
    }

    /// When it was made, at the latest.
    #[must_use]
    pub const fn opened(&self) -> Mono {
        self.opened
    }

    /// Whether another request can be sent.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Whether the other side has closed it.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and reads the head of the answer.
    ///
    /// # Errors
    ///
    /// When nothing was sent or the connection broke.
    pub async fn send(&mut self, req: Request<Bytes>) -> Result<Response<Incoming>, CallError> {
        let sent = self.sender.try_send_request(req.map(Full::new)).await;
        sent.map_err(|mut e| {
            if e.take_message().is_some() {
                CallError::NotSent
            } else {
                CallError::Broken(e.into_error())
            }
        })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// When its head does not come within `limit`, or its body not within
    /// [`BODY_TIMEOUT`] after it.
    pub async fn call(
        &mut self,
        req: Request<Bytes>,
        limit: Duration,
    ) -> Result<Answer, CallError> {
        let head = timeout(limit, self.send(req)).await;
        let head = head.unwrap_or(Err(CallError::Timeout))?;
        let whole = timeout(BODY_TIMEOUT, read_answer(head)).await;
        whole.unwrap_or(Err(CallError::Timeout))
    }
}

/// Longest time for the body of an answer once its head is there.
///
/// Failure: a configuration of many routes takes a quarter of a second over a link of
/// 10 Mbit/s and longer when all instances fetch it; with one limit for head and body
/// the call was given up and begun anew, and the old configuration stayed in force.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest body of an answer that is read, in bytes.
///
/// Answers are read whole, so that a cut one never looks complete to a caller.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Reads the rest of an answer.
///
/// # Errors
///
/// When it breaks off or is too long.
pub async fn read_answer(answer: Response<Incoming>) -> Result<Answer, CallError> {
    let (head, body) = answer.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(CallError::Truncated)?;
    Ok(Answer {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    })
}
