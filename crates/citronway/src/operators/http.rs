//! Requests and answers of the administration API over HTTP.

use std::future::{Ready, ready};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, ETAG, IF_MATCH};
use http::{HeaderMap, HeaderValue, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;
use viz::{Body, Request, RequestExt, Response, Router};

use citronway_core::config::Change;
use citronway_core::ids::{EndpointName, Version};

use crate::metrics;

use super::answers::{Accepted, ConfigAnswer};
use super::cx::Cx;
use super::refusal::Refusal;
use super::{commands, queries};

/// Longest body of a command, in bytes.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Longest wait for the body of a command.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

const JSON: &str = "application/json";
const TEXT: &str = "text/plain; charset=utf-8";

#[derive(Debug, Clone, Copy)]
enum Open {
    Health,
    Metrics,
}

#[derive(Debug, Clone, Copy)]
enum Query {
    Config,
    StoredConfig,
    Assignment,
    Dispatchers,
    Endpoints,
    Instances,
    Version,
}

#[derive(Debug, Clone, Copy)]
enum Command {
    Replace,
    Change,
    Drain,
    Undrain,
}

/// All paths of the administration API.
pub(super) fn router(cx: &Arc<Cx>) -> Router {
    let mut router = Router::new();
    for (path, open) in [("/healthz", Open::Health), ("/metrics", Open::Metrics)] {
        let cx = Arc::clone(cx);
        router = router.get(path, move |_| on_open(&cx, open));
    }
    for (path, query) in [
        ("/admin/v1/config", Query::Config),
        ("/admin/v1/config/stored", Query::StoredConfig),
        ("/admin/v1/assignment", Query::Assignment),
        ("/admin/v1/dispatchers", Query::Dispatchers),
        ("/admin/v1/endpoints", Query::Endpoints),
        ("/admin/v1/instances", Query::Instances),
        ("/admin/v1/version", Query::Version),
    ] {
        let cx = Arc::clone(cx);
        router = router.get(path, move |req| on_query(Arc::clone(&cx), query, req));
    }
    for (path, command) in [
        ("/admin/v1/changes", Command::Change),
        ("/admin/v1/endpoints/:name/drain", Command::Drain),
        ("/admin/v1/endpoints/:name/undrain", Command::Undrain),
    ] {
        let cx = Arc::clone(cx);
        router = router.post(path, move |req| on_command(Arc::clone(&cx), command, req));
    }
    let cx = Arc::clone(cx);
    router.put("/admin/v1/config", move |req| {
        on_command(Arc::clone(&cx), Command::Replace, req)
    })
}

/// Needs no token: the balancer and the collector of metrics have none.
fn on_open(cx: &Cx, open: Open) -> Ready<viz::Result<Response>> {
    ready(Ok(match open {
        Open::Health => health(cx),
        Open::Metrics => metrics_text(cx),
    }))
}

async fn on_query(cx: Arc<Cx>, query: Query, req: Request) -> viz::Result<Response> {
    if let Err(refusal) = authorize(&cx, req.headers()) {
        return Ok(refused(&refusal));
    }
    match run_query(&cx, query).await {
        Ok(response) => Ok(response),
        Err(refusal) => Ok(refused(&refusal)),
    }
}

async fn run_query(cx: &Cx, query: Query) -> Result<Response, Refusal> {
    let snapshot = cx.snapshot();
    let response = match query {
        Query::Config => config_response(&queries::config(&snapshot)),
        Query::StoredConfig => config_response(&queries::stored_config(cx).await?),
        Query::Assignment => json(StatusCode::OK, &queries::assignment(&snapshot)),
        Query::Dispatchers => json(StatusCode::OK, &queries::dispatchers(&snapshot)),
        Query::Endpoints => json(StatusCode::OK, &queries::endpoints(&snapshot)),
        Query::Instances => json(StatusCode::OK, &queries::instances(&snapshot)),
        Query::Version => json(StatusCode::OK, &queries::version(&snapshot, cx.newest())),
    };
    Ok(response)
}

async fn on_command(cx: Arc<Cx>, command: Command, req: Request) -> viz::Result<Response> {
    if let Err(refusal) = authorize(&cx, req.headers()) {
        return Ok(refused(&refusal));
    }
    match run_command(&cx, command, req).await {
        Ok(accepted) => Ok(with_etag(json(StatusCode::OK, &accepted), accepted.version)),
        Err(refusal) => {
            log::warn!(status = refusal.status().as_u16(); "command refused: {refusal}");
            Ok(refused(&refusal))
        }
    }
}

async fn run_command(cx: &Cx, command: Command, req: Request) -> Result<Accepted, Refusal> {
    match command {
        Command::Replace => {
            let expected = if_match(req.headers())?;
            commands::replace(cx, expected, body(req).await?).await
        }
        Command::Change => {
            let expected = if_match(req.headers())?;
            let changes: Vec<Change> = body(req).await?;
            commands::apply(cx, expected, &changes).await
        }
        Command::Drain => commands::set_drain(cx, &endpoint(&req)?, true).await,
        Command::Undrain => commands::set_drain(cx, &endpoint(&req)?, false).await,
    }
}

fn authorize(cx: &Cx, headers: &HeaderMap) -> Result<(), Refusal> {
    let given = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    if cx.token.matches(given) {
        return Ok(());
    }
    let message = match given {
        Some(_) => "the token is wrong",
        None => "no token; send `Authorization: Bearer TOKEN`",
    };
    Err(Refusal::Unauthorized {
        message: message.to_owned(),
    })
}

/// The version that a command is based on.
///
/// Failure: two operators change the same labels and the later one silently
/// undoes the earlier. A command must say what it is based on; one that does
/// not is refused, never taken as "whatever stands".
fn if_match(headers: &HeaderMap) -> Result<Version, Refusal> {
    let Some(value) = headers.get(IF_MATCH) else {
        return Err(Refusal::VersionMissing {
            message: "say which version the change is based on: `If-Match: VERSION`".to_owned(),
        });
    };
    let number = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().trim_matches('"').parse().ok());
    match number {
        Some(number) => Ok(Version(number)),
        None => Err(malformed("`If-Match` is not the number of a version")),
    }
}

fn endpoint(req: &Request) -> Result<EndpointName, Refusal> {
    let name: String = req
        .param("name")
        .map_err(|e| malformed(&format!("the path has no endpoint: {e}")))?;
    Ok(EndpointName::new(&name))
}

async fn body<T: DeserializeOwned>(req: Request) -> Result<T, Refusal> {
    let limited = Limited::new(req.into_body(), MAX_BODY_BYTES);
    let Ok(collected) = timeout(BODY_TIMEOUT, limited.collect()).await else {
        return Err(malformed("the body did not arrive in time"));
    };
    let bytes = match collected {
        Ok(collected) => collected.to_bytes(),
        Err(e) if e.is::<LengthLimitError>() => {
            return Err(Refusal::TooLarge {
                message: format!("the body is longer than {MAX_BODY_BYTES} bytes"),
            });
        }
        Err(_) => return Err(malformed("the body was cut off")),
    };
    match serde_json::from_slice(&bytes) {
        Ok(value) => Ok(value),
        Err(e) => Err(malformed(&format!("the body cannot be read: {e}"))),
    }
}

fn malformed(message: &str) -> Refusal {
    Refusal::Malformed {
        message: message.to_owned(),
    }
}

fn health(cx: &Cx) -> Response {
    if cx.snapshot().serving {
        return response(StatusCode::OK, TEXT, Bytes::from_static(b"ok\n"));
    }
    let text = Bytes::from_static(b"takes no work\n");
    response(StatusCode::SERVICE_UNAVAILABLE, TEXT, text)
}

fn metrics_text(cx: &Cx) -> Response {
    match cx.metrics.text() {
        Ok(text) => response(StatusCode::OK, metrics::MEDIA_TYPE, Bytes::from(text)),
        Err(e) => response(
            StatusCode::INTERNAL_SERVER_ERROR,
            TEXT,
            Bytes::from(e.to_string()),
        ),
    }
}

fn config_response(answer: &ConfigAnswer) -> Response {
    with_etag(json(StatusCode::OK, answer), answer.version)
}

fn with_etag(mut response: Response, version: Version) -> Response {
    if let Ok(value) = HeaderValue::from_str(&format!("\"{version}\"")) {
        response.headers_mut().insert(ETAG, value);
    }
    response
}

fn refused(refusal: &Refusal) -> Response {
    json(refusal.status(), refusal)
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(text) => response(status, JSON, Bytes::from(text)),
        Err(e) => response(
            StatusCode::INTERNAL_SERVER_ERROR,
            TEXT,
            Bytes::from(e.to_string()),
        ),
    }
}

fn response(status: StatusCode, media_type: &'static str, text: Bytes) -> Response {
    let mut response = Response::new(Body::from(Full::new(text)));
    *response.status_mut() = status;
    let value = HeaderValue::from_static(media_type);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
