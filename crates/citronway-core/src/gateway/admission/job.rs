//! A request at admission and the decision about it.

use std::net::SocketAddr;

use super::timing::TimedChoice;
use crate::gateway::routes::Repeat;
use crate::ids::{EndpointStart, ServiceName};
use crate::time::Mono;

/// Multiple of the mean work time within which five in six requests end, as a fraction. The
/// work time varies by half of its mean.
const MOST_WORK_FACTOR: (u64, u64) = (8, 5);

/// First and longest pause before a request is sent again to an endpoint that rejected it, in
/// milliseconds.
const REJECTED_PAUSE_MS: (u64, u64) = (50, 800);

/// A request that is to be sent to an endpoint.
#[derive(Debug, Clone)]
pub struct Job {
    /// Number of the request, unique within the process.
    pub ticket: u64,
    /// Service that runs the request.
    pub service: ServiceName,
    /// Key of the request; `None` if the service is not sharded.
    pub key: Option<u16>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// When the request arrived.
    pub arrived: Mono,
    /// Latency objective: an answer after this time is worth less.
    pub objective_at: Mono,
    /// Time limit of the caller or the route, whichever is earlier.
    pub deadline: Mono,
    /// Time until which the caller may retry.
    pub caller_deadline: Mono,
    /// Usual work time of the route, in milliseconds.
    pub work_ms: u64,
    /// Usual size of the route's answers, in bytes.
    pub answer_bytes: u64,
    /// Size of the request's body, in bytes.
    pub body_bytes: u64,
    /// Endpoints that the request was sent to before.
    pub tried: Vec<EndpointStart>,
    /// Endpoints that rejected the request, and until when it is not sent to them again.
    pub pauses: Vec<SendPause>,
    /// Whether another instance passed the request on to this one.
    pub is_forwarded: bool,
    /// Time that the caller has spent since its first attempt, as far as it is known, in
    /// milliseconds.
    pub spent_ms: u64,
}

/// Pause of a request before it is sent again to an endpoint that rejected it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendPause {
    endpoint: EndpointStart,
    until: Mono,
    for_ms: u64,
}

impl Job {
    /// Time within which five in six requests of this kind end, in milliseconds.
    #[must_use]
    pub const fn expected_ms(&self) -> u64 {
        self.work_ms * MOST_WORK_FACTOR.0 / MOST_WORK_FACTOR.1
    }

    /// Whether the request will most likely miss its latency objective.
    #[must_use]
    pub fn is_late(&self, now: Mono) -> bool {
        now.plus(self.expected_ms()) > self.objective_at
    }

    /// Records that an endpoint rejected the request, which is not sent there again before a pause
    /// that grows each time.
    pub fn record_rejection(&mut self, now: Mono, endpoint: &EndpointStart) {
        let known = self.pauses.iter_mut().find(|p| p.endpoint == *endpoint);
        let Some(pause) = known else {
            self.pauses.push(SendPause {
                endpoint: endpoint.clone(),
                until: now.plus(REJECTED_PAUSE_MS.0),
                for_ms: REJECTED_PAUSE_MS.0,
            });
            return;
        };
        pause.for_ms = (pause.for_ms * 2).min(REJECTED_PAUSE_MS.1);
        pause.until = now.plus(pause.for_ms);
    }

    /// Whether the request is not sent to the endpoint for now, since it rejected it.
    #[must_use]
    pub fn is_paused(&self, now: Mono, endpoint: &EndpointStart) -> bool {
        let mut pauses = self.pauses.iter();
        pauses.any(|pause| pause.endpoint == *endpoint && now < pause.until)
    }
}

/// Where to send a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Start of the endpoint.
    pub endpoint: EndpointStart,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Fence of the endpoint's grant; `None` if the service is not sharded.
    pub fence: Option<u64>,
    /// Why the endpoint was chosen, if by when the request is expected to end there.
    pub timed: Option<TimedChoice>,
}

/// Decision about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Send the request.
    Send(Choice),
    /// Pass the request on to another instance: this one does not reach the endpoints that may run
    /// it.
    Forward,
    /// Refuse the request, which has not run; the caller may retry.
    Refuse(Refusal),
}

/// Refusal of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which the caller should retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// Reason why a request is refused without having run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// The configuration of the route cannot be used.
    UnusableRoute,
    /// The service has no endpoint that accepts work.
    NoEndpoint,
    /// No endpoint holds the key at the moment.
    KeyUnowned,
    /// No endpoint will have room before the deadline.
    Overloaded,
    /// The endpoint cannot be reached.
    Unreachable,
    /// The endpoint refused the request, and no retry is left.
    EndpointRefused,
    /// The instance is shutting down; another one can serve the request.
    Stopping,
    /// All endpoints of the service are in evacuated zones.
    Evacuated,
    /// The same work crashed the endpoints that ran it, under other request ids.
    CrashesEndpoints,
    /// The same work was at an endpoint that crashed, and another copy of it is under trial.
    UnderTrial,
    /// The endpoint states a limit that leaves no room for the request before its deadline.
    EndpointLimited,
    /// The endpoint that owns the key leaves, or all endpoints of the service do, and no other one
    /// can take over now.
    EndpointLeaving,
    /// The endpoints that may serve the request have asked for rest.
    EndpointResting,
    /// The configuration known here may not be the newest one, and a newer one may decide otherwise.
    UnconfirmedConfiguration,
    /// Its time ended while earlier requests of its connection were without an answer.
    BehindUnanswered,
    /// One key has more requests than its owner can serve; those beyond that are refused.
    KeyOverloaded,
    /// The instance has no memory for the request or its answer.
    OutOfMemory,
}

impl RefusalReason {
    /// All reasons, for tables in documentation and tests.
    pub const ALL: [Self; 18] = [
        Self::NoConfiguration,
        Self::UnusableRoute,
        Self::NoEndpoint,
        Self::KeyUnowned,
        Self::Overloaded,
        Self::Unreachable,
        Self::EndpointRefused,
        Self::Stopping,
        Self::Evacuated,
        Self::CrashesEndpoints,
        Self::UnderTrial,
        Self::EndpointLimited,
        Self::EndpointLeaving,
        Self::EndpointResting,
        Self::UnconfirmedConfiguration,
        Self::BehindUnanswered,
        Self::KeyOverloaded,
        Self::OutOfMemory,
    ];

    /// Name of the reason in logs, metrics and answers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::UnusableRoute => "unusable_route",
            Self::NoEndpoint => "no_endpoint",
            Self::KeyUnowned => "key_unowned",
            Self::Overloaded => "overloaded",
            Self::Unreachable => "unreachable",
            Self::EndpointRefused => "endpoint_refused",
            Self::Stopping => "stopping",
            Self::Evacuated => "evacuated",
            Self::CrashesEndpoints => "crashes_endpoints",
            Self::UnderTrial => "under_trial",
            Self::EndpointLimited => "endpoint_limited",
            Self::EndpointLeaving => "endpoint_leaving",
            Self::EndpointResting => "endpoint_resting",
            Self::UnconfirmedConfiguration => "unconfirmed_configuration",
            Self::BehindUnanswered => "behind_unanswered",
            Self::KeyOverloaded => "key_overloaded",
            Self::OutOfMemory => "out_of_memory",
        }
    }
}

/// Reason why it is unknown whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownOutcomeReason {
    /// The connection to the endpoint broke.
    Broken,
    /// The request timed out.
    Timeout,
    /// The instance stopped before the endpoint answered.
    Stopped,
    /// The endpoint crashed while it had the request, as others did before.
    Crashed,
}

impl UnknownOutcomeReason {
    /// All reasons, for tables in documentation and tests.
    pub const ALL: [Self; 4] = [Self::Broken, Self::Timeout, Self::Stopped, Self::Crashed];

    /// Name of the reason in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::Timeout => "timeout",
            Self::Stopped => "stopped",
            Self::Crashed => "crashed",
        }
    }
}
