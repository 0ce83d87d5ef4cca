//! Shape of the configuration as operators write it and the store keeps it.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{ClassName, EndpointName, GroupName, ServiceName, ZoneName};
use crate::request::Labels;

/// The whole configuration. Its version is the version of the row that holds it.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Services by name.
    #[serde(default)]
    pub services: IndexMap<ServiceName, Service>,
    /// Groups by name, in order: a key belongs to the first group of its service
    /// whose `keys` selector matches.
    #[serde(default)]
    pub groups: IndexMap<GroupName, Group>,
    /// Classes of work by name.
    #[serde(default)]
    pub classes: IndexMap<ClassName, Class>,
    /// Endpoints by name.
    #[serde(default)]
    pub endpoints: IndexMap<EndpointName, Endpoint>,
    /// Rules in order; the first that matches a request decides its class.
    #[serde(default)]
    pub rules: Vec<Rule>,
}

/// A service that callers send work to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Labels for selectors and reports.
    #[serde(default)]
    pub labels: Labels,
    /// Ranges that the key space of each group is cut into.
    #[serde(default = "default_shards")]
    pub shards: u32,
    /// What placement weighs.
    #[serde(default)]
    pub weights: Weights,
    /// Class of work that no rule matches.
    pub default_class: ClassName,
}

/// Cost weights of placement, without unit; only their ratios count.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Of uneven load.
    pub imbalance: f64,
    /// Of keys that change owner.
    pub churn: f64,
    /// Of time that keys cannot be served.
    pub unavailable: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            imbalance: 1.0,
            churn: 1.0,
            unavailable: 1.0,
        }
    }
}

/// Endpoints that divide keys of a service among them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Service it belongs to.
    pub service: ServiceName,
    /// Labels for reports.
    #[serde(default)]
    pub labels: Labels,
    /// Selector over endpoints' labels: which endpoints belong to it.
    pub endpoints: String,
    /// Selector over keys: which keys it serves; absent means all.
    #[serde(default)]
    pub keys: Option<String>,
    /// Selector over callers' labels: who may use it; absent means everybody.
    #[serde(default)]
    pub callers: Option<String>,
}

/// A class of work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Lower numbers are served first.
    pub priority: u8,
    /// Share of an endpoint's slots, in hundredths, that the class gets at least
    /// while it has work waiting.
    #[serde(default)]
    pub kept_share: u8,
}

/// A server that holds state for the keys it owns.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Availability zone it stands in.
    pub zone: ZoneName,
    /// Labels for selectors.
    #[serde(default)]
    pub labels: Labels,
    /// Orders that it runs at once.
    pub slots: u32,
    /// Connections that it takes.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Whether it checks epochs and ends of orders; absent means that it does not.
    #[serde(default)]
    pub checks_orders: bool,
    /// The operator wants it to leave: it gets no new work.
    #[serde(default)]
    pub drain: bool,
}

/// Decides the class of the work it matches.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Name for reports.
    pub name: String,
    /// Service it is for.
    pub service: ServiceName,
    /// Selector over callers' labels; absent matches every caller.
    #[serde(default)]
    pub callers: Option<String>,
    /// Selector over keys; absent matches every key.
    #[serde(default)]
    pub keys: Option<String>,
    /// Class of the work.
    pub class: ClassName,
}

const fn default_shards() -> u32 {
    256
}

const fn default_connections() -> u32 {
    128
}
