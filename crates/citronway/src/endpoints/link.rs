//! One HTTP/1.1 connection, used for one exchange at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::TRANSFER_ENCODING;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::clock::time_until;
use super::gate::{Gate, GatedStream, Until};
use crate::answer_head::{self, HeadError};

/// How long a connection may take to become ready after a whole answer.
const READY_WAIT: Duration = Duration::from_millis(50);

/// Why an exchange brought no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// Not a byte of the request was written.
    #[error("nothing was written: {0}")]
    NotSent(String),
    /// Bytes were written, and the time was up before the answer was whole.
    #[error("no whole answer in time")]
    Timeout,
    /// Bytes were written, and the connection broke.
    #[error("connection broke: {0}")]
    Broken(#[from] hyper::Error),
    /// The answer does not say where it ends, so a cut one would look whole.
    #[error("answer without a stated length")]
    NoLength,
    /// The answer is larger than allowed.
    #[error("answer larger than {limit} bytes")]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
    /// The head is not that of a valid answer.
    #[error("wrong answer: {0}")]
    Head(#[from] HeadError),
}

/// A whole answer, and the connection if it can be used again.
#[derive(Debug)]
pub struct Exchanged {
    /// The answer.
    pub answer: Response<Bytes>,
    /// The connection, idle and ready.
    pub link: Option<Link>,
}

/// An open connection without an exchange in progress.
///
/// [`Link::exchange`] consumes it and gives it back only with a whole answer.
/// A connection with a late, cut or unread answer therefore cannot be used
/// again, and its answer cannot reach the next request.
#[derive(Debug)]
pub struct Link {
    sender: SendRequest<Full<Bytes>>,
    gate: Arc<Gate>,
    driver: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.gate.shut();
        self.driver.abort();
    }
}

impl Link {
    /// Connects to `address`; `slot` is dropped once the socket is closed.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::NotSent`] if there is no connection after `wait`.
    pub async fn open<S>(
        address: SocketAddr,
        wait: Duration,
        slot: S,
    ) -> Result<Self, ExchangeError>
    where
        S: Send + 'static,
    {
        let stream = timeout(wait, TcpStream::connect(address))
            .await
            .map_err(|err| not_sent(&err))?
            .map_err(|err| not_sent(&err))?;
        stream.set_nodelay(true).map_err(|err| not_sent(&err))?;
        let gate = Arc::new(Gate::new());
        let io = TokioIo::new(GatedStream::new(stream, Arc::clone(&gate)));
        let (sender, conn) = http1::handshake(io).await.map_err(|err| not_sent(&err))?;
        let driver = tokio::spawn(async move {
            // An error also reaches the exchange in progress, which reports it.
            let _: Result<(), hyper::Error> = conn.await;
            drop(slot);
        });
        Ok(Self {
            sender,
            gate,
            driver: driver.abort_handle(),
        })
    }

    /// Whether the other side has closed the connection.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends `req` and waits for the whole answer until `until`.
    ///
    /// # Errors
    ///
    /// The connection is closed in each of them.
    pub async fn exchange(
        mut self,
        req: Request<Full<Bytes>>,
        until: Until,
        limit: usize,
    ) -> Result<Exchanged, ExchangeError> {
        self.gate.arm(until);
        let result = timeout(
            time_until(until.deadline),
            whole(&mut self.sender, req, limit),
        )
        .await;
        match result {
            Ok(Ok(answer)) => Ok(Exchanged {
                answer,
                link: self.idle().await,
            }),
            Ok(Err(err)) if self.gate.shut() => Err(err),
            Ok(Err(err)) => Err(not_sent(&err)),
            Err(_) if self.gate.shut() => Err(ExchangeError::Timeout),
            Err(_) => Err(not_sent(&"time was up")),
        }
    }

    async fn idle(mut self) -> Option<Self> {
        let ready = timeout(READY_WAIT, self.sender.ready()).await;
        matches!(ready, Ok(Ok(()))).then_some(self)
    }
}

fn not_sent(cause: &impl ToString) -> ExchangeError {
    ExchangeError::NotSent(cause.to_string())
}

async fn whole(
    sender: &mut SendRequest<Full<Bytes>>,
    req: Request<Full<Bytes>>,
    limit: usize,
) -> Result<Response<Bytes>, ExchangeError> {
    let method = req.method().clone();
    let (parts, body) = sender.send_request(req).await?.into_parts();
    answer_head::check(&method, parts.status, &parts.headers)?;
    // Failure guarded against: an answer that ends with the connection and is
    // cut on the way looks whole. It shows as a short body under a good status.
    // The guard holds because an answer must state its length or be chunked,
    // and then hyper reports a missing rest as an error.
    let is_chunked = parts.headers.contains_key(TRANSFER_ENCODING);
    if body.size_hint().exact().is_none() && !is_chunked {
        return Err(ExchangeError::NoLength);
    }
    let body = read_body(body, limit).await?;
    Ok(Response::from_parts(parts, body))
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, ExchangeError> {
    let err = match Limited::new(body, limit).collect().await {
        Ok(body) => return Ok(body.to_bytes()),
        Err(err) => err,
    };
    if err.is::<LengthLimitError>() {
        return Err(ExchangeError::TooLarge { limit });
    }
    match err.downcast::<hyper::Error>() {
        Ok(err) => Err(ExchangeError::Broken(*err)),
        Err(_) => Err(ExchangeError::NoLength),
    }
}
