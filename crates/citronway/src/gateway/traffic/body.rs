//! Reads the bodies of callers' requests within the memory of the instance.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use citronway_core::gateway::admission::RefusalReason;
use citronway_core::gateway::memory::{REQUEST_BYTES, Use};
use http::StatusCode;
use http_body_util::BodyExt as _;
use hyper::body::Body;

use super::open_requests::OpenRequest;
use super::outcome::{self, Outcome, not_run};
use super::state::{Charge, Phase, State};
use crate::clock;

/// Longest body that is read under pressure, in bytes. It has arrived with the head, so that
/// not reading it would save nothing.
const SMALL_BODY_BYTES: u64 = 4 * 1024;

/// Least room that a body of unknown length is given at a time, in bytes.
const MIN_GROWTH_BYTES: usize = 8 * 1024;

/// Time for which the rest of a refused body is read and dropped.
const DISCARD_LIMIT: Duration = Duration::from_secs(3);

/// A request's body with the memory that it takes.
#[derive(Debug)]
pub(super) struct HeldBody {
    pub bytes: Bytes,
    /// Charge of the request, head and body.
    pub charge: Charge,
}

/// Reads the body of a request, unless it is too long, has no room, takes longer than `limit`, or
/// the instance ends.
pub(super) async fn read<B>(
    state: &State,
    body: B,
    max_bytes: usize,
    limit: Duration,
    open: &OpenRequest,
) -> Result<HeldBody, Outcome>
where
    B: Body<Data = Bytes> + Unpin + 'static,
{
    let read = tokio::time::timeout(limit, read_within(state, body, max_bytes));
    tokio::select! {
        biased;
        read = read => match read {
            Ok(read) => read,
            // Failure guarded against: a caller states a long body and never sends it, and its
            // room is kept for as long as the connection is open.
            Err(_elapsed) => {
                let status = StatusCode::REQUEST_TIMEOUT;
                Err(Outcome::Rejected(status, "body not whole in time"))
            }
        },
        () = state.wait_for_phase(Phase::Ending) => {
            open.log_stopped(clock::mono());
            Err(outcome::stopping())
        }
    }
}

async fn read_within<B>(state: &State, mut body: B, max_bytes: usize) -> Result<HeldBody, Outcome>
where
    B: Body<Data = Bytes> + Unpin + 'static,
{
    let read = collect(state, &mut body, max_bytes).await;
    if read.is_err() && !body.is_end_stream() {
        tokio::task::spawn_local(discard(body));
    }
    read
}

/// Reads the rest of a refused body and drops it.
///
/// Failure guarded against: the connection is closed with unread bytes, which resets it, and the
/// caller never sees that its request has not run.
async fn discard<B>(mut body: B)
where
    B: Body<Data = Bytes> + Unpin,
{
    let rest = async { while let Some(Ok(_)) = body.frame().await {} };
    if tokio::time::timeout(DISCARD_LIMIT, rest).await.is_err() {
        log::debug!("a caller goes on sending a refused body; its connection is closed");
    }
}

async fn collect<B>(state: &State, body: &mut B, max_bytes: usize) -> Result<HeldBody, Outcome>
where
    B: Body<Data = Bytes> + Unpin,
{
    let too_large = Outcome::Rejected(StatusCode::PAYLOAD_TOO_LARGE, "body too large");
    let mut charge = state.memory.charge(Use::Requests, REQUEST_BYTES);
    let hint = body.size_hint();
    let stated = hint.exact();
    if stated.is_some_and(|stated| stated > max_bytes as u64) {
        return Err(too_large);
    }
    let expected = stated.unwrap_or(u64::MAX);
    if !charge.grow_to(REQUEST_BYTES + stated.unwrap_or_default()) {
        return Err(out_of_memory(state, stated.unwrap_or_default()));
    }
    if expected > SMALL_BODY_BYTES && !state.memory.wait_for_bodies().await {
        return Err(out_of_memory(state, stated.unwrap_or_default()));
    }
    let mut read = BytesMut::new();
    if let Some(stated) = stated {
        read.reserve(usize::try_from(stated).unwrap_or(max_bytes));
    }
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            let status = StatusCode::BAD_REQUEST;
            return Err(Outcome::Rejected(status, "body not whole"));
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = read.len() + data.len();
        if length > max_bytes {
            return Err(too_large);
        }
        if length > read.capacity() {
            let doubled = (read.capacity() * 2).max(MIN_GROWTH_BYTES);
            let capacity = doubled.min(max_bytes).max(length);
            if !charge.grow_to(REQUEST_BYTES + capacity as u64) {
                return Err(out_of_memory(state, capacity as u64));
            }
            read.reserve(capacity - read.len());
        }
        read.extend_from_slice(&data);
    }
    Ok(HeldBody {
        bytes: read.freeze(),
        charge,
    })
}

/// Refusal of a request that has no room, with the time after which there is room for `bytes`.
pub(super) fn out_of_memory(state: &State, bytes: u64) -> Outcome {
    not_run(
        RefusalReason::OutOfMemory,
        state.memory.retry_after_ms(bytes),
    )
}
