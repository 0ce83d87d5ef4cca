//! An order as the endpoint protocol writes it, and the answer as it reads it.

use bytes::Bytes;
use citronway_core::ids::RequestId;
use citronway_core::node::OrderReply;
use citronway_core::node::events::RefusedReason;
use citronway_core::outcome::Answer;
use citronway_core::request::{Fence, Request};
use http::header::{CONTENT_TYPE, HOST, HeaderMap};
use http_body_util::Full;

use super::link::ExchangeError;
use crate::callers::percent;

/// Header that names the request, in orders and answers.
pub const REQUEST_ID: &str = "citronway-request-id";
/// Header of an answer that refuses an order.
pub const REFUSED: &str = "citronway-refused";

const SERVICE: &str = "citronway-service";
const KEY: &str = "citronway-key";
const SHARD: &str = "citronway-shard";
const SHARD_EPOCH: &str = "citronway-shard-epoch";
const DISPATCH_EPOCH: &str = "citronway-dispatch-epoch";
const DISPATCHER: &str = "citronway-dispatcher";
const DEADLINE_MS: &str = "citronway-deadline-ms";

/// Writes an order as an HTTP request.
///
/// # Errors
///
/// If the method, path or media type of the request cannot stand in HTTP.
pub fn http_request(
    host: &str,
    fence: &Fence,
    req: &Request,
) -> Result<http::Request<Full<Bytes>>, http::Error> {
    let mut order = http::Request::builder()
        .method(req.method.as_str())
        .uri(req.path.as_str())
        .header(HOST, host)
        .header(REQUEST_ID, req.id.to_string())
        .header(SERVICE, req.service.as_str())
        .header(KEY, percent::encode(req.key.as_str()))
        .header(SHARD, fence.shard.0)
        .header(SHARD_EPOCH, fence.shard_epoch.0)
        .header(DISPATCH_EPOCH, fence.dispatch_epoch.0)
        .header(DISPATCHER, fence.dispatcher.to_string())
        .header(DEADLINE_MS, req.deadline.0);
    if let Some(media) = &req.content_type {
        order = order.header(CONTENT_TYPE, media.as_str());
    }
    order.body(Full::new(req.body.clone()))
}

/// Reads a whole answer to the order `id`.
#[must_use]
pub fn read_answer(id: RequestId, answer: http::Response<Bytes>) -> OrderReply {
    if !names(answer.headers(), id) {
        return OrderReply::Foreign;
    }
    match refusal(answer.headers()) {
        Refusal::None => OrderReply::Answered {
            answer: whole(answer),
        },
        Refusal::Known(reason) => OrderReply::Refused { reason },
        // A reason that we do not know may mean anything; nothing is concluded.
        Refusal::Unknown => OrderReply::Lost,
    }
}

/// What an exchange without a whole answer says about the order.
#[must_use]
pub const fn read_error(err: &ExchangeError) -> OrderReply {
    match err {
        ExchangeError::NotSent(_) => OrderReply::NotSent,
        ExchangeError::Timeout => OrderReply::Timeout,
        ExchangeError::Broken(_)
        | ExchangeError::NoLength
        | ExchangeError::TooLarge { .. }
        | ExchangeError::Head(_) => OrderReply::Lost,
    }
}

// Failure guarded against: an answer reaches a request that it does not belong
// to. It shows as one caller reading another's data. The guard holds because
// the endpoint repeats the request's id in each answer, exactly once.
fn names(headers: &HeaderMap, id: RequestId) -> bool {
    let mut ids = headers.get_all(REQUEST_ID).iter();
    let first = ids.next();
    let same = first.is_some_and(|found| found.as_bytes() == id.to_string().as_bytes());
    same && ids.next().is_none()
}

enum Refusal {
    None,
    Known(RefusedReason),
    Unknown,
}

fn refusal(headers: &HeaderMap) -> Refusal {
    let mut reasons = headers.get_all(REFUSED).iter();
    let Some(first) = reasons.next() else {
        return Refusal::None;
    };
    if reasons.next().is_some() {
        return Refusal::Unknown;
    }
    match first.as_bytes() {
        b"stale_epoch" => Refusal::Known(RefusedReason::StaleEpoch),
        b"no_grant" => Refusal::Known(RefusedReason::NoGrant),
        b"expired" => Refusal::Known(RefusedReason::Expired),
        b"draining" => Refusal::Known(RefusedReason::Draining),
        b"shed" => Refusal::Known(RefusedReason::Shed),
        _ => Refusal::Unknown,
    }
}

fn whole(answer: http::Response<Bytes>) -> Answer {
    let media = answer.headers().get(CONTENT_TYPE);
    Answer {
        status: answer.status().as_u16(),
        content_type: media
            .and_then(|media| media.to_str().ok())
            .map(str::to_owned),
        body: answer.into_body(),
    }
}
