//! A request at admission and what is decided about it.

use std::net::SocketAddr;

use crate::gateway::routes::Repeat;
use crate::ids::{EndpointStart, ServiceName};
use crate::time::Mono;

/// Times the mean work within which five in six requests are done, as a fraction: work
/// is spread by half of its mean.
const SURE_WORKS: (u64, u64) = (8, 5);

/// A request that is to be sent to an endpoint.
#[derive(Debug, Clone)]
pub struct Job {
    /// Number of the request within the process.
    pub ticket: u64,
    /// Service that runs it.
    pub service: ServiceName,
    /// Its key, for a sharded service.
    pub key: Option<u16>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// When it arrived.
    pub arrived: Mono,
    /// Until then an answer is worth most.
    pub objective_at: Mono,
    /// Then its caller or its route no longer waits.
    pub deadline: Mono,
    /// Until then its caller could come back.
    pub caller_deadline: Mono,
    /// Usual time of work of its route, in milliseconds.
    pub work_ms: u64,
    /// Usual size of an answer of its route, in bytes.
    pub answer_bytes: u64,
    /// Endpoints that it was sent to.
    pub tried: Vec<EndpointStart>,
}

impl Job {
    /// Time within which five in six requests of this kind are done, in milliseconds.
    #[must_use]
    pub const fn expected_ms(&self) -> u64 {
        self.work_ms * SURE_WORKS.0 / SURE_WORKS.1
    }
}

/// Where to send a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Start of the endpoint.
    pub endpoint: EndpointStart,
    /// Where it listens.
    pub address: SocketAddr,
    /// Fence of its grant, for a sharded service.
    pub fence: Option<u64>,
}

/// What is decided about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Send it.
    Send(Choice),
    /// It has not run; the caller may come back.
    Refuse(Refusal),
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back, in milliseconds.
    pub retry_after_ms: u64,
}

/// Why a request is refused without having run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// The configuration says of its route nothing that can be used.
    UnusableRoute,
    /// The service has no endpoint that takes work.
    NoEndpoint,
    /// Nobody holds the key at the moment.
    KeyUnowned,
    /// No endpoint will be free before the request is of no use.
    Overloaded,
    /// The endpoint cannot be reached.
    Unreachable,
    /// The endpoint refused it, and no second send is left.
    EndpointRefused,
    /// The instance stops; another one serves.
    Stopping,
    /// All endpoints of the service are in evacuated zones.
    Evacuated,
    /// It crashed the endpoints that ran it, under other ids.
    CrashesEndpoints,
    /// The same work was at an endpoint that crashed, and another copy of it is being tried.
    UnderTrial,
}

impl RefusalReason {
    /// All reasons, for tables in documents and tests.
    pub const ALL: [Self; 11] = [
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
    ];

    /// Word for logs, metrics and answers.
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
        }
    }
}

/// Why it is not known whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownOutcomeReason {
    /// Its endpoint broke off.
    Broken,
    /// Its time ended.
    Timeout,
    /// Its instance stopped before the endpoint answered.
    Stopped,
    /// Its endpoint crashed with it, and others did before.
    Crashed,
}

impl UnknownOutcomeReason {
    /// All reasons, for tables in documents and tests.
    pub const ALL: [Self; 4] = [Self::Broken, Self::Timeout, Self::Stopped, Self::Crashed];

    /// Word for logs and metrics.
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
