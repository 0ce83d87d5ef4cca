//! Messages about sends to cold endpoints.

use citronway_core::gateway::cold::{ColdGrant, ColdRequest};
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::ids::SessionId;

use crate::report::ReportError;
use crate::report_capnp::{cold_reply, cold_request};

/// A request to the leader for a send to a cold endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdAsked {
    /// The process that asks.
    pub session: SessionId,
    /// Grows with each request of the process.
    pub number: u64,
    /// What it asks for.
    pub req: ColdRequest,
}

/// The leader's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdReply {
    /// The process that asked.
    pub session: SessionId,
    /// Which of its requests.
    pub number: u64,
    /// What was decided.
    pub grant: ColdGrant,
}

pub(crate) fn write_request(from: &ColdAsked, mut to: cold_request::Builder<'_>) {
    to.set_session(from.session.0);
    to.set_number(from.number);
    to.set_endpoint(from.req.endpoint.0);
    #[expect(
        clippy::cast_possible_truncation,
        reason = "a rate; seven digits are plenty"
    )]
    let per_s = from.req.per_s as f32;
    to.set_per_s(per_s);
    to.set_patience_ms(short(from.req.max_wait_ms));
}

pub(crate) fn read_request(from: cold_request::Reader<'_>) -> ColdAsked {
    ColdAsked {
        session: SessionId(from.get_session()),
        number: from.get_number(),
        req: ColdRequest {
            endpoint: EndpointTag(from.get_endpoint()),
            per_s: f64::from(from.get_per_s()),
            max_wait_ms: u64::from(from.get_patience_ms()),
        },
    }
}

pub(crate) fn write_reply(from: &ColdReply, mut to: cold_reply::Builder<'_>) {
    to.set_session(from.session.0);
    to.set_number(from.number);
    match from.grant {
        ColdGrant::Granted { after_ms } => to.set_after_ms(short(after_ms)),
        ColdGrant::Busy { for_ms } => to.set_busy_ms(short(for_ms)),
    }
}

pub(crate) fn read_reply(from: cold_reply::Reader<'_>) -> Result<ColdReply, ReportError> {
    let grant = match from.which()? {
        cold_reply::Which::AfterMs(ms) => ColdGrant::Granted {
            after_ms: u64::from(ms),
        },
        cold_reply::Which::BusyMs(ms) => ColdGrant::Busy {
            for_ms: u64::from(ms),
        },
    };
    Ok(ColdReply {
        session: SessionId(from.get_session()),
        number: from.get_number(),
        grant,
    })
}

fn short(ms: u64) -> u32 {
    u32::try_from(ms).unwrap_or(u32::MAX)
}
