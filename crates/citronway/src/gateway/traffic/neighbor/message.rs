//! Headers of forwarded requests and of their answers.

use citronway_core::gateway::admission::{Refusal, RefusalReason, UnknownOutcomeReason};
use citronway_core::gateway::crashes::{Fingerprint, FingerprintKey};
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::ids::{InstanceName, ServiceName};
use http::header::HeaderName;
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::gateway::traffic::outcome::Outcome;

/// Sender, and a token that only instances can make for the receiver.
const SENDER: HeaderName = HeaderName::from_static("citronway-sender");
const TOKEN: HeaderName = HeaderName::from_static("citronway-token");

/// Time left for the request, in milliseconds.
const WAIT_MS: HeaderName = HeaderName::from_static("citronway-wait-ms");

/// Service that the sender chose.
const SERVICE: HeaderName = HeaderName::from_static("citronway-service");

/// Number of endpoints that may have run the request.
const RUNS: HeaderName = HeaderName::from_static("citronway-runs");

/// Whether the request may have reached an endpoint, here or at the sender; absent if not.
const REACHED: HeaderName = HeaderName::from_static("citronway-reached");

/// Outcome of a forwarded request, and its particulars.
const OUTCOME: HeaderName = HeaderName::from_static("citronway-outcome");
const REASON: HeaderName = HeaderName::from_static("citronway-reason");
const RETRY_MS: HeaderName = HeaderName::from_static("citronway-retry-ms");
const WORK: HeaderName = HeaderName::from_static("citronway-work");

/// Endpoint that answered a forwarded request.
const ENDPOINT: HeaderName = HeaderName::from_static("citronway-endpoint");

const ALL: [HeaderName; 11] = [
    SENDER, TOKEN, WAIT_MS, SERVICE, RUNS, REACHED, OUTCOME, REASON, RETRY_MS, WORK, ENDPOINT,
];

/// Cause that a caller is told where the neighbor does not know whether the request ran.
const UNKNOWN_CAUSE: &str = "it may have run at an endpoint that another instance reached";

/// What a forwarded request says beyond the caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::gateway::traffic) struct ForwardedRequest {
    /// Instance that passed it on.
    pub sender: InstanceName,
    /// Time left, in milliseconds.
    pub wait_ms: u64,
    /// Service that the sender chose.
    pub service: ServiceName,
    /// Number of endpoints that may have run the request.
    pub runs: u32,
    /// Whether it may have reached an endpoint.
    pub has_reached: bool,
}

/// Why a forwarded request is not accepted.
#[derive(Debug, thiserror::Error)]
pub(in crate::gateway::traffic) enum ForwardError {
    #[error("header {0} is missing or malformed")]
    Header(HeaderName),
    #[error("no key to check tokens is known yet")]
    NoKey,
    #[error("the token is not one for this instance")]
    Token,
}

/// Token by which `receiver` knows that `sender` belongs to the fleet.
fn token(key: &FingerprintKey, sender: &InstanceName, receiver: &InstanceName) -> Fingerprint {
    let parts: [&[u8]; 3] = [
        b"forward",
        sender.as_str().as_bytes(),
        receiver.as_str().as_bytes(),
    ];
    Fingerprint::of_parts(key, &parts)
}

impl ForwardedRequest {
    /// Adds the headers for the instance `receiver`.
    pub(super) fn write(
        &self,
        headers: &mut HeaderMap,
        key: &FingerprintKey,
        receiver: &InstanceName,
    ) {
        for name in ALL {
            headers.remove(name);
        }
        let texts = [
            (SENDER, self.sender.as_str().to_owned()),
            (TOKEN, token(key, &self.sender, receiver).to_string()),
            (WAIT_MS, self.wait_ms.to_string()),
            (SERVICE, self.service.as_str().to_owned()),
            (RUNS, self.runs.to_string()),
        ];
        for (name, text) in texts {
            // Names come from decoded settings and configurations, and are valid texts.
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(name, value);
            }
        }
        write_reached(self.has_reached, headers);
    }
}

/// States whether a request may have reached an endpoint.
pub(in crate::gateway::traffic) fn write_reached(has_reached: bool, headers: &mut HeaderMap) {
    if has_reached {
        headers.insert(REACHED, HeaderValue::from_static("1"));
    }
}

/// Whether a request may have reached an endpoint, as the other instance states.
pub(super) fn has_reached(headers: &HeaderMap) -> bool {
    headers.contains_key(REACHED)
}

/// Reads the headers of a forwarded request to the instance `receiver` and removes them.
///
/// # Errors
///
/// When one is missing or malformed, or the sender is not an instance of the fleet.
pub(in crate::gateway::traffic) fn read_forwarded(
    headers: &mut HeaderMap,
    key: Option<&FingerprintKey>,
    receiver: &InstanceName,
) -> Result<ForwardedRequest, ForwardError> {
    let key = key.ok_or(ForwardError::NoKey)?;
    let sender = InstanceName::new(text(headers, &SENDER)?);
    let stated = u64::from_str_radix(text(headers, &TOKEN)?, 16);
    // Numbers are compared, in a time that does not depend on how many digits are right.
    if stated != Ok(token(key, &sender, receiver).0) {
        return Err(ForwardError::Token);
    }
    let read = ForwardedRequest {
        sender,
        wait_ms: number(headers, &WAIT_MS)?,
        service: ServiceName::new(text(headers, &SERVICE)?),
        runs: number(headers, &RUNS)?,
        has_reached: has_reached(headers),
    };
    for name in ALL {
        headers.remove(name);
    }
    Ok(read)
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<&'a str, ForwardError> {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.ok_or_else(|| ForwardError::Header(name.clone()))
}

fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Result<T, ForwardError> {
    let number = text(headers, name)?.parse();
    number.map_err(|_malformed| ForwardError::Header(name.clone()))
}

/// Names of the outcomes.
mod name {
    pub(super) const ANSWERED: &str = "answered";
    pub(super) const NOT_RUN: &str = "not_run";
    pub(super) const HARMFUL: &str = "harmful";
    pub(super) const UNKNOWN: &str = "unknown";
    pub(super) const TIMED_OUT: &str = "timed_out";
    pub(super) const REJECTED: &str = "rejected";
}

/// States an outcome in the headers of an answer to the instance that passed the request on.
pub(in crate::gateway::traffic) fn write_outcome(outcome: &Outcome, headers: &mut HeaderMap) {
    let mut set = |header, text: &'static str| {
        headers.insert(header, HeaderValue::from_static(text));
    };
    match outcome {
        Outcome::Answered(_) => set(OUTCOME, name::ANSWERED),
        Outcome::NotRun(refusal) => {
            set(OUTCOME, name::NOT_RUN);
            set(REASON, refusal.reason.as_str());
            headers.insert(RETRY_MS, HeaderValue::from(refusal.retry_after_ms));
        }
        Outcome::Harmful(work) => {
            set(OUTCOME, name::HARMFUL);
            headers.insert(WORK, HeaderValue::from(work.0));
        }
        Outcome::Unknown(reason, _) => {
            set(OUTCOME, name::UNKNOWN);
            set(REASON, reason.as_str());
        }
        Outcome::TimedOut => set(OUTCOME, name::TIMED_OUT),
        Outcome::Rejected(..) => set(OUTCOME, name::REJECTED),
    }
}

/// Names the endpoint that answered a forwarded request.
pub(in crate::gateway::traffic) fn write_endpoint(endpoint: EndpointTag, headers: &mut HeaderMap) {
    headers.insert(ENDPOINT, HeaderValue::from(endpoint.0));
}

/// Outcome of a forwarded request as its sender reads it, without an endpoint's answer.
#[derive(Debug)]
pub(super) enum ForwardedOutcome {
    /// The answer is the endpoint's own; the endpoint, if the neighbor names it.
    Answered(Option<EndpointTag>),
    /// The request has not run at the neighbor, and will not.
    NotRun(Refusal),
    /// The request may have run, or is known to be harmful.
    Ended(Outcome),
    /// The neighbor cannot accept it, by its configuration; it has not run.
    Rejected(StatusCode),
}

/// Reads the outcome that an answer states, and removes its headers; `None` if it states none.
pub(super) fn read_outcome(
    status: StatusCode,
    headers: &mut HeaderMap,
) -> Option<ForwardedOutcome> {
    let outcome = text(headers, &OUTCOME).ok()?;
    let read = match outcome {
        name::ANSWERED => {
            ForwardedOutcome::Answered(number(headers, &ENDPOINT).ok().map(EndpointTag))
        }
        name::NOT_RUN => {
            let reason = text(headers, &REASON).ok()?;
            let all = RefusalReason::ALL.into_iter();
            ForwardedOutcome::NotRun(Refusal {
                reason: all.into_iter().find(|known| known.as_str() == reason)?,
                retry_after_ms: number(headers, &RETRY_MS).ok()?,
            })
        }
        name::HARMFUL => {
            let work = Fingerprint(number(headers, &WORK).ok()?);
            ForwardedOutcome::Ended(Outcome::Harmful(work))
        }
        name::UNKNOWN => {
            let reason = text(headers, &REASON).ok()?;
            let mut all = UnknownOutcomeReason::ALL.into_iter();
            let reason = all.find(|known| known.as_str() == reason)?;
            ForwardedOutcome::Ended(Outcome::Unknown(reason, UNKNOWN_CAUSE))
        }
        name::TIMED_OUT => ForwardedOutcome::Ended(Outcome::TimedOut),
        name::REJECTED => ForwardedOutcome::Rejected(status),
        _ => return None,
    };
    for name in ALL {
        headers.remove(name);
    }
    Some(read)
}
