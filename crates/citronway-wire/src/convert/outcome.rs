//! Outcomes of requests.

use bytes::Bytes;
use citronway_core::outcome::{
    Answer, MayHaveRun, MayHaveRunReason, NotRun, NotRunReason, Outcome,
};

use super::Field;
use crate::WireError;
use crate::limits::{MAX_BODY_BYTES, MAX_CONTENT_TYPE_BYTES};
use crate::peer_capnp::{self as wire, answer, may_have_run, not_run, outcome};

const CASE: Field = Field::new("outcome", 0);
const ANSWERED: Field = Field::new("outcome.answered", 0);
const NOT_RUN: Field = Field::new("outcome.notRun", 0);
const MAY_HAVE_RUN: Field = Field::new("outcome.mayHaveRun", 0);
const CONTENT_TYPE: Field = Field::new("answer.contentType", MAX_CONTENT_TYPE_BYTES);
const BODY: Field = Field::new("answer.body", MAX_BODY_BYTES);
const NOT_RUN_REASON: Field = Field::new("notRun.reason", 0);
const MAY_HAVE_RUN_REASON: Field = Field::new("mayHaveRun.reason", 0);

/// Reads an outcome.
///
/// A case that was never set is refused: read as a default it would turn a
/// broken message into an empty answer of status 0.
///
/// # Errors
///
/// A field is missing, unknown, malformed or over its limit.
pub fn read_outcome(r: outcome::Reader<'_>) -> Result<Outcome, WireError> {
    match CASE.known(r.which())? {
        outcome::Which::Answered(got) => {
            let answer = ANSWERED.pointer(r.has_answered(), got)?;
            read_answer(answer).map(Outcome::Answered)
        }
        outcome::Which::NotRun(got) => {
            let not_run = NOT_RUN.pointer(r.has_not_run(), got)?;
            read_not_run(not_run).map(Outcome::NotRun)
        }
        outcome::Which::MayHaveRun(got) => {
            let may_have_run = MAY_HAVE_RUN.pointer(r.has_may_have_run(), got)?;
            read_may_have_run(may_have_run).map(Outcome::MayHaveRun)
        }
    }
}

/// Writes an outcome.
pub fn write_outcome(outcome: &Outcome, b: outcome::Builder<'_>) {
    match outcome {
        Outcome::Answered(answer) => write_answer(answer, b.init_answered()),
        Outcome::NotRun(not_run) => {
            let mut b = b.init_not_run();
            b.set_reason(write_not_run_reason(not_run.reason));
            b.set_retry_after_ms(not_run.retry_after_ms);
        }
        Outcome::MayHaveRun(may_have_run) => {
            let mut b = b.init_may_have_run();
            b.set_reason(write_may_have_run_reason(may_have_run.reason));
            b.set_retry_after_ms(may_have_run.retry_after_ms);
        }
    }
}

fn read_answer(r: answer::Reader<'_>) -> Result<Answer, WireError> {
    let content_type = CONTENT_TYPE.optional_text(r.has_content_type(), r.get_content_type())?;
    Ok(Answer {
        status: r.get_status(),
        content_type: content_type.map(str::to_owned),
        body: Bytes::copy_from_slice(BODY.bytes(r.has_body(), r.get_body())?),
    })
}

fn write_answer(answer: &Answer, mut b: answer::Builder<'_>) {
    b.set_status(answer.status);
    if let Some(content_type) = &answer.content_type {
        b.set_content_type(content_type);
    }
    b.set_body(&answer.body);
}

fn read_not_run(r: not_run::Reader<'_>) -> Result<NotRun, WireError> {
    let reason = NOT_RUN_REASON.known(r.get_reason())?;
    Ok(NotRun {
        reason: read_not_run_reason(reason),
        retry_after_ms: r.get_retry_after_ms(),
    })
}

fn read_may_have_run(r: may_have_run::Reader<'_>) -> Result<MayHaveRun, WireError> {
    let reason = MAY_HAVE_RUN_REASON.known(r.get_reason())?;
    Ok(MayHaveRun {
        reason: read_may_have_run_reason(reason),
        retry_after_ms: r.get_retry_after_ms(),
    })
}

/// Maps two enums of equal cases onto each other, in both directions.
macro_rules! same_cases {
    ($read:ident, $write:ident, $type:ident, [$($case:ident),+ $(,)?]) => {
        const fn $read(reason: wire::$type) -> $type {
            match reason {
                $(wire::$type::$case => $type::$case,)+
            }
        }

        const fn $write(reason: $type) -> wire::$type {
            match reason {
                $($type::$case => wire::$type::$case,)+
            }
        }
    };
}

same_cases!(
    read_not_run_reason,
    write_not_run_reason,
    NotRunReason,
    [
        StaleConfig,
        UnknownService,
        NoRoute,
        NoOwner,
        Moving,
        NotDispatcher,
        NoHold,
        DispatcherUnreachable,
        QueueFull,
        DeadlineTooClose,
        Expired,
        Draining,
        EndpointUnreachable,
        EndpointRefused,
        EndpointShed,
        HotKeyLimited,
        ShuttingDown,
        Cancelled,
        Overloaded,
        BadId,
        CrashesEndpoints,
        UnderTrial,
    ]
);

same_cases!(
    read_may_have_run_reason,
    write_may_have_run_reason,
    MayHaveRunReason,
    [
        ConnectionLost,
        Timeout,
        BadAnswer,
        DispatcherLost,
        BeforeFloor,
        AnswerGone,
    ]
);
