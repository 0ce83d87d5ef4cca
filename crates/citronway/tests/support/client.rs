//! A client of the administration API, for tests.

use bytes::Bytes;
use citronway::operators::{Conflict, Refusal, answers::Accepted};
use citronway_core::config::Config;
use citronway_core::ids::Version;
use http::header::{AUTHORIZATION, ETAG, IF_MATCH};
use http::{Method, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use super::{Admin, TOKEN};

/// An answer, whole.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub etag: Option<String>,
    pub text: String,
}

impl Reply {
    pub fn read<T: DeserializeOwned>(&self) -> T {
        serde_json::from_str(&self.text).unwrap()
    }

    pub fn accepted(&self) -> Accepted {
        assert_eq!(self.status, StatusCode::OK, "{}", self.text);
        self.read()
    }

    pub fn refusal(&self) -> Refusal {
        let refusal: Refusal = self.read();
        assert_eq!(self.status, refusal.status());
        refusal
    }

    pub fn conflict(&self) -> Conflict {
        match self.refusal() {
            Refusal::Conflict(conflict) => *conflict,
            other => panic!("{other:?}"),
        }
    }
}

/// One request, sent with the right token unless another is set.
#[derive(Debug)]
pub struct Send<'a> {
    admin: &'a Admin,
    method: Method,
    path: &'a str,
    token: Option<&'a str>,
    version: Option<Version>,
    body: Bytes,
}

pub fn get<'a>(admin: &'a Admin, path: &'a str) -> Send<'a> {
    request(admin, Method::GET, path)
}

pub fn post<'a>(admin: &'a Admin, path: &'a str) -> Send<'a> {
    request(admin, Method::POST, path)
}

pub async fn put_config(admin: &Admin, base: Version, config: &Config) -> Reply {
    let request = request(admin, Method::PUT, "/admin/v1/config");
    let body = serde_json::to_string(config).unwrap();
    request.version(base).body(&body).send().await
}

pub fn request<'a>(admin: &'a Admin, method: Method, path: &'a str) -> Send<'a> {
    Send {
        admin,
        method,
        path,
        token: Some(TOKEN),
        version: None,
        body: Bytes::new(),
    }
}

impl<'a> Send<'a> {
    pub fn token(mut self, token: Option<&'a str>) -> Self {
        self.token = token;
        self
    }

    pub fn version(mut self, version: Version) -> Self {
        self.version = Some(version);
        self
    }

    pub fn body(mut self, body: &str) -> Self {
        self.body = Bytes::copy_from_slice(body.as_bytes());
        self
    }

    pub async fn send(self) -> Reply {
        let mut request = http::Request::builder().method(self.method).uri(self.path);
        if let Some(token) = self.token {
            request = request.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        if let Some(version) = self.version {
            request = request.header(IF_MATCH, format!("\"{version}\""));
        }
        let stream = TcpStream::connect(self.admin.address).await.unwrap();
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        let request = request.body(Full::new(self.body)).unwrap();
        let response = sender.send_request(request).await.unwrap();
        let etag = response.headers().get(ETAG);
        Reply {
            status: response.status(),
            etag: etag.map(|value| value.to_str().unwrap().to_owned()),
            text: text(response).await,
        }
    }
}

async fn text(response: http::Response<hyper::body::Incoming>) -> String {
    let bytes = response.into_body().collect().await.unwrap().to_bytes();
    String::from_utf8(bytes.to_vec()).unwrap()
}
