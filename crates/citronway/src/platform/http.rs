//! The platform over HTTP/1.1 with JSON.
//!
//! Each request has its own connection: the few requests a second do not pay
//! for a pool, and an answer cannot meet another request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use citronway_core::ids::Version;
use citronway_core::platform::{ConditionalPut, InstanceList, Row, RowKey, WriteOutcome};
use http::header::{CONTENT_TYPE, HOST};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use super::check;
use super::config::PlatformConfig;
use super::error::PlatformError;
use super::service::Platform;
use crate::callers::percent::encode;
use crate::endpoints::clock::wall_now;
use crate::endpoints::link::Link;

const JSON: &str = "application/json";
const BYTES: &str = "application/octet-stream";

/// Client of the platform over HTTP.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    address: SocketAddr,
    timeout_ms: u64,
    max_answer_bytes: usize,
}

#[derive(Debug, Deserialize)]
struct Rows {
    rows: Vec<Row>,
}

#[derive(Debug, Serialize)]
struct Transaction<'a> {
    puts: &'a [ConditionalPut],
}

#[derive(Debug, Deserialize)]
struct Written {
    versions: Vec<Version>,
}

#[derive(Debug, Deserialize)]
struct Mismatch {
    at: RowKey,
    found: Version,
}

impl HttpPlatform {
    /// A client of the service that `cfg` names.
    #[must_use]
    pub const fn new(cfg: &PlatformConfig) -> Self {
        Self {
            address: cfg.address,
            timeout_ms: cfg.timeout_ms,
            max_answer_bytes: cfg.max_answer_bytes,
        }
    }

    async fn get(&self, path: &str) -> Result<Response<Bytes>, PlatformError> {
        self.send(Method::GET, path, JSON, Bytes::new()).await
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        media: &str,
        body: Bytes,
    ) -> Result<Response<Bytes>, PlatformError> {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, media)
            .body(Full::new(body))?;
        let until = wall_now().plus(self.timeout_ms);
        let wait = Duration::from_millis(self.timeout_ms);
        let link = Link::open(self.address, wait, ()).await?;
        let done = link
            .exchange(req, until.into(), self.max_answer_bytes)
            .await?;
        Ok(done.answer)
    }

    async fn transact(&self, puts: &[ConditionalPut]) -> Result<WriteOutcome, PlatformError> {
        let body = Bytes::from(serde_json::to_vec(&Transaction { puts })?);
        let answer = self.send(Method::POST, "/transactions", JSON, body).await?;
        match answer.status() {
            StatusCode::OK => {
                let written: Written = serde_json::from_slice(answer.body())?;
                check::written(puts, &written.versions)?;
                Ok(WriteOutcome::Done {
                    versions: written.versions,
                })
            }
            StatusCode::CONFLICT => {
                let found: Mismatch = serde_json::from_slice(answer.body())?;
                check::mismatch(puts, &found.at, found.found)?;
                Ok(WriteOutcome::Conflict {
                    at: found.at,
                    found: found.found,
                })
            }
            status => Err(PlatformError::Status(status)),
        }
    }
}

impl Platform for HttpPlatform {
    async fn read_table(&self, table: &str) -> Result<Vec<Row>, PlatformError> {
        let answer = self.get(&format!("/tables/{}", encode(table))).await?;
        let rows: Rows = serde_json::from_slice(good(&answer)?)?;
        check::table(table, &rows.rows)?;
        Ok(rows.rows)
    }

    async fn read_row(&self, at: &RowKey) -> Result<Option<Row>, PlatformError> {
        let path = format!("/tables/{}/{}", encode(&at.table), encode(&at.key));
        let answer = self.get(&path).await?;
        if answer.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let row: Row = serde_json::from_slice(good(&answer)?)?;
        check::row(at, &row)?;
        Ok(Some(row))
    }

    async fn write(&self, puts: &[ConditionalPut]) -> WriteOutcome {
        let err = match self.transact(puts).await {
            Ok(outcome) => return outcome,
            Err(err) => err,
        };
        log::warn!(error:% = err; "write to the platform has no clear outcome");
        match err {
            PlatformError::NotSent(_) | PlatformError::Http(_) => WriteOutcome::Refused,
            // Failure guarded against: a write whose answer was lost is taken
            // for one that failed. It shows as a dispatcher or an owner that a
            // row names but nobody knows. The guard holds because whatever was
            // sent and is not clearly answered stays unknown until it is read.
            _ => WriteOutcome::Unknown,
        }
    }

    async fn instances(&self) -> Result<InstanceList, PlatformError> {
        let answer = self.get("/instances").await?;
        let list: InstanceList = serde_json::from_slice(good(&answer)?)?;
        check::instances(&list)?;
        Ok(list)
    }

    async fn put_object(&self, name: &str, content: Bytes) -> Result<(), PlatformError> {
        let path = format!("/objects/{}", encode(name));
        let answer = self.send(Method::PUT, &path, BYTES, content).await?;
        match answer.status() {
            status if status.is_success() => Ok(()),
            status => Err(PlatformError::Status(status)),
        }
    }

    async fn get_object(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let answer = self.get(&format!("/objects/{}", encode(name))).await?;
        if answer.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        good(&answer)?;
        Ok(Some(answer.into_body()))
    }
}

fn good(answer: &Response<Bytes>) -> Result<&Bytes, PlatformError> {
    match answer.status() {
        StatusCode::OK => Ok(answer.body()),
        status => Err(PlatformError::Status(status)),
    }
}
