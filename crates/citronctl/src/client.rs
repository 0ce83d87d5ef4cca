//! Client of the administration API.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST, IF_MATCH};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use citronway::operators::Refusal;
use citronway::operators::answers::Accepted;
use citronway_core::ids::Version;

use crate::failure::Failure;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Longer than an instance looks for the outcome of a write whose answer was lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(40);

/// One instance's administration API.
#[derive(Clone)]
pub struct Client {
    server: SocketAddr,
    token: String,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client")
            .field("server", &self.server)
            .finish_non_exhaustive()
    }
}

struct Answer {
    status: StatusCode,
    body: Bytes,
}

/// A change to send.
#[derive(Debug, Clone)]
pub struct Command {
    /// HTTP method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Version that the change is based on; absent if it goes with any.
    pub expected: Option<Version>,
    /// Body, JSON text.
    pub body: Vec<u8>,
}

impl Client {
    /// Speaks to the instance at `server`.
    #[must_use]
    pub const fn new(server: SocketAddr, token: String) -> Self {
        Self { server, token }
    }

    /// Asks a query.
    ///
    /// # Errors
    ///
    /// When the instance cannot be reached, refuses or is not understood.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let request = self.request(Method::GET, path, None, Vec::new())?;
        let mut sender = self.connect().await?;
        let answer = match exchange(&mut sender, request).await {
            Ok(answer) => answer,
            Err(reason) => return Err(self.unreachable(&reason)),
        };
        self.read(&answer)
    }

    /// Sends a command once.
    ///
    /// Failure: the connection breaks after the instance has taken the command;
    /// the operator is told "cannot reach" and sends another change on top.
    /// Anything but a whole answer of the instance is therefore "not known" once
    /// the request may have left, a proxy's error page included; only a
    /// connection that was never made is "cannot reach".
    ///
    /// # Errors
    ///
    /// When the instance cannot be reached, refuses, or gives no answer.
    pub async fn send(&self, command: Command) -> Result<Accepted, Failure> {
        let expected = command.expected;
        let request = self.request(command.method, &command.path, expected, command.body)?;
        let mut sender = self.connect().await?;
        let result = match exchange(&mut sender, request).await {
            Ok(answer) => self.read(&answer),
            Err(reason) => Err(self.answer(&reason)),
        };
        match result {
            Err(Failure::Answer { server, reason }) => Err(Failure::Lost {
                server,
                reason,
                expected,
            }),
            result => result,
        }
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        expected: Option<Version>,
        body: Vec<u8>,
    ) -> Result<Request<Full<Bytes>>, Failure> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.server.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(AUTHORIZATION, format!("Bearer {}", self.token));
        if let Some(version) = expected {
            request = request.header(IF_MATCH, format!("\"{version}\""));
        }
        match request.body(Full::new(Bytes::from(body))) {
            Ok(request) => Ok(request),
            Err(e) => Err(Failure::Usage(format!("cannot make a request: {e}"))),
        }
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, Failure> {
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.server)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(self.unreachable(&e)),
            Err(_) => return Err(self.unreachable(&"no connection in time")),
        };
        let (sender, connection) = match http1::handshake(TokioIo::new(stream)).await {
            Ok(parts) => parts,
            Err(e) => return Err(self.unreachable(&e)),
        };
        tokio::spawn(connection);
        Ok(sender)
    }

    fn read<T: DeserializeOwned>(&self, answer: &Answer) -> Result<T, Failure> {
        if answer.status == StatusCode::OK {
            return serde_json::from_slice(&answer.body).map_err(|e| self.answer(&e));
        }
        match serde_json::from_slice::<Refusal>(&answer.body) {
            Ok(refusal) => Err(Failure::Refused(refusal)),
            Err(e) => Err(self.answer(&format!("status {}: {e}", answer.status))),
        }
    }

    fn unreachable(&self, reason: &impl Display) -> Failure {
        Failure::Unreachable {
            server: self.server,
            reason: reason.to_string(),
        }
    }

    fn answer(&self, reason: &impl Display) -> Failure {
        Failure::Answer {
            server: self.server,
            reason: reason.to_string(),
        }
    }
}

/// Body of a command.
///
/// # Errors
///
/// When the value cannot be serialised.
pub fn body(value: &impl Serialize) -> Result<Vec<u8>, Failure> {
    match serde_json::to_vec(value) {
        Ok(text) => Ok(text),
        Err(e) => Err(Failure::Usage(e.to_string())),
    }
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<Answer, String> {
    let whole = async {
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        Ok::<Answer, hyper::Error>(Answer { status, body })
    };
    match timeout(ANSWER_TIMEOUT, whole).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(e)) => Err(e.to_string()),
        Err(_) => Err("no answer in time".to_owned()),
    }
}
