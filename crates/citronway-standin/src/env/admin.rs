//! Client of the administration API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use citronway_core::config::Config;
use citronway_core::ids::Version;
use http::{Method, Request, Response, StatusCode, header};
use serde::de::DeserializeOwned;

use crate::http::{Client, ClientError};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Client of the administration API of one entry.
#[derive(Debug, Clone)]
pub struct Admin {
    address: SocketAddr,
    token: String,
    client: Client,
}

impl Admin {
    /// Talks to the operators' address of an entry.
    #[must_use]
    pub fn new(address: SocketAddr, token: &str, client: Client) -> Self {
        Self {
            address,
            token: token.to_owned(),
            client,
        }
    }

    /// Sends a request below `/admin/v1/`, whatever comes back.
    ///
    /// # Errors
    ///
    /// If there is no whole answer.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        if_match: Option<Version>,
        body: Bytes,
    ) -> Result<Response<Bytes>, ClientError> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{}/admin/v1/{path}", self.address))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(version) = if_match {
            req = req.header(header::IF_MATCH, version.to_string());
        }
        self.client.send(req.body(body)?, TIMEOUT).await
    }

    /// Answer to a query as JSON.
    ///
    /// # Errors
    ///
    /// If there is no whole answer of success and of the wanted shape.
    pub async fn query<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let rsp = self.send(Method::GET, path, None, Bytes::new()).await?;
        Ok(serde_json::from_slice(success(rsp)?.body())?)
    }

    /// Replaces the configuration if it has the given version.
    ///
    /// # Errors
    ///
    /// If it is not accepted.
    pub async fn put_config(&self, config: &Config, version: Version) -> Result<(), ClientError> {
        let body = Bytes::from(serde_json::to_vec(config)?);
        let rsp = self
            .send(Method::PUT, "config", Some(version), body)
            .await?;
        success(rsp)?;
        Ok(())
    }
}

fn success(rsp: Response<Bytes>) -> Result<Response<Bytes>, ClientError> {
    if rsp.status().is_success() {
        return Ok(rsp);
    }
    let status: StatusCode = rsp.status();
    let body = String::from_utf8_lossy(rsp.body()).into_owned();
    Err(ClientError::Status { status, body })
}
