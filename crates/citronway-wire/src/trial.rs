//! Messages about trials of work that is under suspicion.

use citronway_core::gateway::crashes::{Fingerprint, TrialEnd, TrialGrant, TrialId, TrialRequest};
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::ids::SessionId;

use crate::report::ReportError;
use crate::report_capnp::{trial_end, trial_reply, trial_request};

/// Answer of the leader to a request for a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialReply {
    /// Which request.
    pub id: TrialId,
    /// Work that is to be tried.
    pub work: Fingerprint,
    /// What was decided.
    pub grant: TrialGrant,
}

/// That a trial has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedTrial {
    /// Which request for it.
    pub id: TrialId,
    /// Work that was tried.
    pub work: Fingerprint,
    /// How it ended.
    pub end: TrialEnd,
}

pub(crate) fn write_request(from: &TrialRequest, mut to: trial_request::Builder<'_>) {
    to.set_session(from.id.session.0);
    to.set_number(from.id.number);
    to.set_work(from.work.0);
    to.set_expected_ms(short(from.expected_ms));
    to.set_limit_ms(short(from.limit_ms));
}

pub(crate) fn read_request(from: trial_request::Reader<'_>) -> TrialRequest {
    TrialRequest {
        id: id(from.get_session(), from.get_number()),
        work: Fingerprint(from.get_work()),
        expected_ms: u64::from(from.get_expected_ms()),
        limit_ms: u64::from(from.get_limit_ms()),
    }
}

pub(crate) fn write_reply(from: &TrialReply, mut to: trial_reply::Builder<'_>) {
    to.set_session(from.id.session.0);
    to.set_number(from.id.number);
    to.set_work(from.work.0);
    match from.grant {
        TrialGrant::Granted => to.set_granted(()),
        TrialGrant::Cleared => to.set_cleared(()),
        TrialGrant::Busy { for_ms } => to.set_busy_ms(short(for_ms)),
    }
}

pub(crate) fn read_reply(from: trial_reply::Reader<'_>) -> Result<TrialReply, ReportError> {
    let grant = match from.which()? {
        trial_reply::Which::Granted(()) => TrialGrant::Granted,
        trial_reply::Which::Cleared(()) => TrialGrant::Cleared,
        trial_reply::Which::BusyMs(ms) => TrialGrant::Busy {
            for_ms: u64::from(ms),
        },
    };
    Ok(TrialReply {
        id: id(from.get_session(), from.get_number()),
        work: Fingerprint(from.get_work()),
        grant,
    })
}

pub(crate) fn write_end(from: &EndedTrial, mut to: trial_end::Builder<'_>) {
    to.set_session(from.id.session.0);
    to.set_number(from.id.number);
    to.set_work(from.work.0);
    match from.end {
        TrialEnd::Answered => to.set_answered(()),
        TrialEnd::Crashed { endpoint } => to.set_crashed(endpoint.0),
        TrialEnd::Inconclusive => to.set_open(()),
    }
}

pub(crate) fn read_end(from: trial_end::Reader<'_>) -> Result<EndedTrial, ReportError> {
    let end = match from.which()? {
        trial_end::Which::Answered(()) => TrialEnd::Answered,
        trial_end::Which::Crashed(tag) => TrialEnd::Crashed {
            endpoint: EndpointTag(tag),
        },
        trial_end::Which::Open(()) => TrialEnd::Inconclusive,
    };
    Ok(EndedTrial {
        id: id(from.get_session(), from.get_number()),
        work: Fingerprint(from.get_work()),
        end,
    })
}

const fn id(session: u64, number: u64) -> TrialId {
    TrialId {
        session: SessionId(session),
        number,
    }
}

fn short(ms: u64) -> u32 {
    u32::try_from(ms).unwrap_or(u32::MAX)
}
