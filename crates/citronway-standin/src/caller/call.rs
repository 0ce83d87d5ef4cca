//! One request of a caller.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use citronway_core::ids::{Key, RequestId, ServiceName};
use citronway_core::request::{Labels, Repeat};
use http::{Method, Request};
use uuid::Uuid;

use crate::http::percent;

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// One request of a caller; sending it again repeats its id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Idempotency key.
    pub id: RequestId,
    /// Service.
    pub service: ServiceName,
    /// Key of the work.
    pub key: Key,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// Labels of the caller.
    pub labels: Labels,
    /// Time the caller will wait.
    pub timeout: Duration,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// Idempotent work for a key, without labels or body.
    #[must_use]
    pub fn new(service: &str, key: &str) -> Self {
        Self {
            id: RequestId(Uuid::now_v7()),
            service: ServiceName::new(service),
            key: Key::new(key),
            repeat: Repeat::Idempotent,
            labels: Labels::new(),
            timeout: DEFAULT_TIMEOUT,
            body: Bytes::new(),
        }
    }

    /// Makes it work that must run at most once.
    #[must_use]
    pub const fn non_idempotent(mut self) -> Self {
        self.repeat = Repeat::NonIdempotent;
        self
    }

    /// Adds a label of the caller.
    #[must_use]
    pub fn label(mut self, name: &str, value: &str) -> Self {
        self.labels.insert(name.to_owned(), value.to_owned());
        self
    }

    /// Time the caller will wait.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Body of the request.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Path that the endpoint sees; it names the request, so that an answer to
    /// another one shows.
    #[must_use]
    pub fn path(&self) -> String {
        format!("/jobs/{}", self.id)
    }

    pub(super) fn to_request(&self, entry: SocketAddr) -> Result<Request<Bytes>, http::Error> {
        let (method, idempotent) = match self.repeat {
            Repeat::Idempotent => (Method::GET, "true"),
            Repeat::NonIdempotent => (Method::POST, "false"),
        };
        let (service, path) = (&self.service, self.path());
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{entry}/v1/services/{service}{path}"))
            .header("citronway-key", percent::encode(self.key.as_str()))
            .header("citronway-idempotent", idempotent)
            .header("idempotency-key", self.id.to_string())
            .header("citronway-timeout-ms", self.timeout_ms());
        for (name, value) in &self.labels {
            req = req.header(format!("citronway-label-{name}"), value);
        }
        req.body(self.body.clone())
    }

    fn timeout_ms(&self) -> u64 {
        u64::try_from(self.timeout.as_millis()).unwrap_or(u64::MAX)
    }
}
