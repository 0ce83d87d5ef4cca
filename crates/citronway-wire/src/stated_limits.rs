//! Messages about limits that endpoints state, and about sends to such endpoints.

use citronway_core::gateway::pace::EndpointTag;
use citronway_core::gateway::stated_limits::{SendGrant, SendRequest, StatedLimit};
use citronway_core::ids::SessionId;

use crate::report::ReportError;
use crate::report_capnp::{limited_send_reply, limited_send_request, stated_limit};

/// A request to the leader for sends to a limited endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitedSendRequest {
    /// The process that asks.
    pub session: SessionId,
    /// Grows with each request of the process.
    pub number: u64,
    /// What it asks for.
    pub req: SendRequest,
}

/// The leader's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitedSendReply {
    /// The process that asked.
    pub session: SessionId,
    /// Which of its requests.
    pub number: u64,
    /// What was decided.
    pub grant: SendGrant,
}

pub(crate) fn write_request(from: &LimitedSendRequest, mut to: limited_send_request::Builder<'_>) {
    to.set_session(from.session.0);
    to.set_number(from.number);
    to.set_endpoint(from.req.endpoint.0);
    to.set_per_s(from.req.per_s);
    to.set_count(u16::try_from(from.req.count).unwrap_or(u16::MAX));
    to.set_max_wait_ms(short(from.req.max_wait_ms));
}

pub(crate) fn read_request(
    from: limited_send_request::Reader<'_>,
) -> Result<LimitedSendRequest, ReportError> {
    Ok(LimitedSendRequest {
        session: SessionId(from.get_session()),
        number: from.get_number(),
        req: SendRequest {
            endpoint: EndpointTag(from.get_endpoint()),
            per_s: rate(from.get_per_s())?,
            count: u32::from(from.get_count()),
            max_wait_ms: u64::from(from.get_max_wait_ms()),
        },
    })
}

pub(crate) fn write_reply(from: &LimitedSendReply, mut to: limited_send_reply::Builder<'_>) {
    to.set_session(from.session.0);
    to.set_number(from.number);
    match from.grant {
        SendGrant::Granted { count, after_ms } => {
            let mut granted = to.init_granted();
            granted.set_count(u16::try_from(count).unwrap_or(u16::MAX));
            granted.set_after_ms(short(after_ms));
        }
        SendGrant::Busy { for_ms } => to.set_busy_ms(short(for_ms)),
        SendGrant::Unavailable => to.set_unavailable(()),
    }
}

pub(crate) fn read_reply(
    from: limited_send_reply::Reader<'_>,
) -> Result<LimitedSendReply, ReportError> {
    let grant = match from.which()? {
        limited_send_reply::Which::Granted(granted) => SendGrant::Granted {
            count: u32::from(granted.get_count()),
            after_ms: u64::from(granted.get_after_ms()),
        },
        limited_send_reply::Which::BusyMs(ms) => SendGrant::Busy {
            for_ms: u64::from(ms),
        },
        limited_send_reply::Which::Unavailable(()) => SendGrant::Unavailable,
    };
    Ok(LimitedSendReply {
        session: SessionId(from.get_session()),
        number: from.get_number(),
        grant,
    })
}

pub(crate) fn write_all(
    from: &[StatedLimit],
    mut to: capnp::struct_list::Builder<'_, stated_limit::Owned>,
) {
    for (i, stated) in from.iter().enumerate() {
        write_limit(
            stated,
            to.reborrow().get(u32::try_from(i).unwrap_or(u32::MAX)),
        );
    }
}

pub(crate) fn read_all(
    from: capnp::struct_list::Reader<'_, stated_limit::Owned>,
) -> Result<Vec<StatedLimit>, ReportError> {
    let limits = from.iter().map(read_limit);
    limits.collect()
}

fn write_limit(from: &StatedLimit, mut to: stated_limit::Builder<'_>) {
    to.set_endpoint(from.endpoint.0);
    to.set_age_ms(from.age_ms);
    match from.per_s {
        Some(per_s) => to.set_per_s(per_s),
        None => to.set_none(()),
    }
}

fn read_limit(from: stated_limit::Reader<'_>) -> Result<StatedLimit, ReportError> {
    let per_s = match from.which()? {
        stated_limit::Which::PerS(per_s) => Some(rate(per_s)?),
        stated_limit::Which::None(()) => None,
    };
    Ok(StatedLimit {
        endpoint: EndpointTag(from.get_endpoint()),
        per_s,
        age_ms: from.get_age_ms(),
    })
}

/// Checks a number of requests a second.
fn rate(per_s: f64) -> Result<f64, ReportError> {
    if per_s.is_finite() && per_s >= 0.0 {
        return Ok(per_s);
    }
    Err(ReportError::Rate(per_s))
}

fn short(ms: u64) -> u32 {
    u32::try_from(ms).unwrap_or(u32::MAX)
}
