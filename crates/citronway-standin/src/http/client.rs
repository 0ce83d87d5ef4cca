//! A small HTTP client for tests, the tour and the load tool.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::{Client as Pooled, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Time after which a request to a stand-in is given up.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Why a request brought no whole answer, or not the one wanted.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No connection, or it broke.
    #[error("no answer: {0}")]
    Transport(#[from] hyper_util::client::legacy::Error),
    /// The answer was cut short.
    #[error("answer cut short: {0}")]
    Body(#[from] hyper::Error),
    /// No answer in time.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The request is malformed.
    #[error("malformed request: {0}")]
    Request(#[from] http::Error),
    /// The answer is not the JSON expected.
    #[error("not the JSON expected: {0}")]
    Json(#[from] serde_json::Error),
    /// Another status than success.
    #[error("status {status}: {body}")]
    Status {
        /// The status.
        status: StatusCode,
        /// Body as text.
        body: String,
    },
}

/// Pools connections; clones share the pool.
#[derive(Debug, Clone)]
pub struct Client {
    pooled: Pooled<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            pooled: Pooled::builder(TokioExecutor::new()).build(connector),
        }
    }
}

impl Client {
    /// Sends a request and reads the whole answer, whatever its status.
    ///
    /// # Errors
    ///
    /// If there is no whole answer within the time.
    pub async fn send(
        &self,
        req: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, ClientError> {
        let exchange = async {
            let rsp = self.pooled.request(req.map(Full::new)).await?;
            let (parts, body) = rsp.into_parts();
            let body = body.collect().await?.to_bytes();
            Ok(Response::from_parts(parts, body))
        };
        let Ok(done) = tokio::time::timeout(timeout, exchange).await else {
            return Err(ClientError::Timeout(timeout));
        };
        done
    }

    /// Reads JSON.
    ///
    /// # Errors
    ///
    /// If there is no whole answer, or none of success and of the wanted shape.
    pub async fn get<T: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
    ) -> Result<T, ClientError> {
        let req = request(Method::GET, to, path, Bytes::new())?;
        let rsp = success(self.send(req, TIMEOUT).await?)?;
        Ok(serde_json::from_slice(rsp.body())?)
    }

    /// Sends JSON and expects success.
    ///
    /// # Errors
    ///
    /// If there is no whole answer, or none of success.
    pub async fn submit<T: Serialize>(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        value: &T,
    ) -> Result<Response<Bytes>, ClientError> {
        let body = Bytes::from(serde_json::to_vec(value)?);
        let req = request(method, to, path, body)?;
        success(self.send(req, TIMEOUT).await?)
    }
}

fn request(
    method: Method,
    to: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<Request<Bytes>, http::Error> {
    Request::builder()
        .method(method)
        .uri(format!("http://{to}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(body)
}

fn success(rsp: Response<Bytes>) -> Result<Response<Bytes>, ClientError> {
    if rsp.status().is_success() {
        return Ok(rsp);
    }
    Err(ClientError::Status {
        status: rsp.status(),
        body: String::from_utf8_lossy(rsp.body()).into_owned(),
    })
}
