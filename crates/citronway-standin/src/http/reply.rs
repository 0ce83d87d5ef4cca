//! What a stand-in sends back, broken answers included.

use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, future, stream};
use http::{Response, StatusCode, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use serde::Serialize;
use thiserror::Error;

/// Time in which the first half of an answer reaches the client.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// The body ended before its stated length, on purpose.
#[derive(Debug, Clone, Copy, Error)]
#[error("answer cut short on purpose")]
pub struct CutShort;

/// The connection was closed without an answer, on purpose.
#[derive(Debug, Clone, Copy, Error)]
#[error("connection dropped on purpose")]
pub struct Dropped;

/// What a stand-in sends back for a request.
#[derive(Debug)]
pub enum Reply {
    /// A whole answer.
    Whole(Response<Bytes>),
    /// Half of the body, then the connection is closed.
    Half(Response<Bytes>),
    /// No byte; the connection is closed.
    Dropped,
}

impl Reply {
    pub(super) fn into_response(self) -> Result<Response<BoxBody<Bytes, CutShort>>, Dropped> {
        match self {
            Self::Whole(whole) => Ok(whole.map(whole_body)),
            Self::Half(whole) => Ok(cut(whole)),
            Self::Dropped => Err(Dropped),
        }
    }
}

/// An answer with a JSON body.
///
/// # Panics
///
/// If the value cannot be put into JSON.
#[must_use]
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Bytes> {
    let body = serde_json::to_vec(value).expect("messages of the stand-ins are plain JSON");
    let mut rsp = Response::new(Bytes::from(body));
    *rsp.status_mut() = status;
    let media_type = header::HeaderValue::from_static("application/json");
    rsp.headers_mut().insert(header::CONTENT_TYPE, media_type);
    rsp
}

/// An answer without a body.
#[must_use]
pub fn status(status: StatusCode) -> Response<Bytes> {
    let mut rsp = Response::new(Bytes::new());
    *rsp.status_mut() = status;
    rsp
}

fn whole_body(body: Bytes) -> BoxBody<Bytes, CutShort> {
    Full::new(body).map_err(|never| match never {}).boxed()
}

fn cut(whole: Response<Bytes>) -> Response<BoxBody<Bytes, CutShort>> {
    let (mut parts, body) = whole.into_parts();
    parts
        .headers
        .insert(header::CONTENT_LENGTH, body.len().into());
    let half = body.slice(..body.len() / 2);
    let head = stream::once(future::ready(Ok(Frame::data(half))));
    let break_off = stream::once(async {
        // An error at once would make hyper discard what it has not flushed.
        tokio::time::sleep(FLUSH_TIME).await;
        Err(CutShort)
    });
    let frames = head.chain(break_off);
    Response::from_parts(parts, BodyExt::boxed(StreamBody::new(frames)))
}
