//! Shape of the settings. All times are in milliseconds.

use std::net::SocketAddr;
use std::path::PathBuf;

use citronway_core::ids::{InstanceName, ZoneName};
use citronway_core::node::SendPolicy;
use log::LevelFilter;

use super::secret::Secret;

/// Settings of an entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Who the instance is and where it listens.
    pub instance: Instance,
    /// The platform's services.
    pub platform: Platform,
    /// Other instances.
    pub peers: Peers,
    /// Administration API.
    pub operators: Operators,
    /// Limits towards callers.
    pub callers: Callers,
    /// Hold of the dispatcher's role.
    pub hold: Hold,
    /// What is known of clocks.
    pub clock: Clock,
    /// Work towards endpoints.
    pub dispatch: Dispatch,
    /// Logs.
    pub log: Log,
    /// Graceful shutdown.
    pub shutdown: Shutdown,
    /// Recording of events.
    pub trace: Trace,
}

/// Who the instance is and where it listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Name, as the instance list has it.
    pub name: InstanceName,
    /// Availability zone it stands in.
    pub zone: ZoneName,
    /// Address for callers.
    pub callers_listen: SocketAddr,
    /// Address for other instances.
    pub peers_listen: SocketAddr,
    /// Address that other instances use, if it is not `peers_listen`.
    pub peers_advertise: Option<SocketAddr>,
    /// Address of the administration API.
    pub operators_listen: SocketAddr,
}

impl Instance {
    /// Address that other instances use.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peers_advertise.unwrap_or(self.peers_listen)
    }
}

/// The platform's table service, object store and instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// Address, spoken to over HTTP.
    pub address: SocketAddr,
    /// Longest wait for an answer.
    pub timeout_ms: u64,
    /// Time between reads of the rows and the instance list.
    pub poll_ms: u64,
}

/// Other instances. They are found from the instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peers {
    /// Key that all instances share.
    pub shared_key: Secret,
    /// Time between heartbeats.
    pub heartbeat_ms: u64,
    /// Longest wait for an answer, apart from forwarded requests.
    pub timeout_ms: u64,
}

/// Administration API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operators {
    /// Bearer token.
    pub token: Secret,
}

/// Limits towards callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Callers {
    /// Longest body, in bytes.
    pub max_body_bytes: u64,
    /// Longest wait for the headers of a request.
    pub header_timeout_ms: u64,
    /// Longest wait for the body of a request.
    pub body_timeout_ms: u64,
    /// Time a caller waits if it does not say.
    pub default_timeout_ms: u64,
    /// Longest time a caller may ask for.
    pub max_timeout_ms: u64,
    /// Most requests at once.
    pub max_in_flight: u64,
}

/// Hold of the dispatcher's role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hold {
    /// How long a promise lasts.
    pub promise_ms: u64,
    /// Time between questions for a promise.
    pub ask_ms: u64,
    /// Silence after which a dispatcher counts as lost.
    pub suspicion_ms: u64,
}

/// What is known of clocks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Clock {
    /// Most that two wall clocks differ.
    pub skew_ms: u64,
}

/// Work towards endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// How long a grant lasts.
    pub grant_ms: u64,
    /// Time between renewals of a grant.
    pub renew_ms: u64,
    /// Longest time that an order may run.
    pub max_order_ms: u64,
    /// Most requests that wait for an endpoint.
    pub queue_limit: u64,
    /// How long a finished request's id is kept.
    pub duplicate_window_ms: u64,
    /// Longest wait for the answer to a probe of an endpoint.
    pub probe_timeout_ms: u64,
    /// How orders reach the endpoints.
    pub policy: SendPolicy,
}

/// Logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Log {
    /// Least severe level that is written.
    pub level: LevelFilter,
}

/// Graceful shutdown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shutdown {
    /// How long work is still taken after the call to stop, until the balancer
    /// has noticed.
    pub lame_duck_ms: u64,
    /// Longest wait for requests in flight.
    pub grace_ms: u64,
}

/// Recording of events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Trace {
    /// File that events are recorded in, if any.
    pub record: Option<PathBuf>,
}
