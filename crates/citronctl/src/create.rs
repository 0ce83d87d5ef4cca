//! `create`: what is added, with all it needs.

use std::net::SocketAddr;

use bpaf::Bpaf;

use citronway_core::config::{Class, Endpoint, Group, Rule, Service, Weights};
use citronway_core::ids::{ClassName, ServiceName, ZoneName};
use citronway_core::request::Labels;

use crate::cli::{Condition, condition};
use crate::words::{Label, WeightsWord};

const SHARDS: u32 = 256;
const CONNECTIONS: u32 = 128;

/// What `create` adds.
#[derive(Debug, Clone, PartialEq, Bpaf)]
pub enum Create {
    /// Add a service
    #[bpaf(command)]
    Service(#[bpaf(external(new_service))] NewService),
    /// Add a group of endpoints that divide keys of a service
    #[bpaf(command)]
    Group(#[bpaf(external(new_group))] NewGroup),
    /// Add an endpoint
    #[bpaf(command)]
    Endpoint(#[bpaf(external(new_endpoint))] NewEndpoint),
    /// Add a class of work
    #[bpaf(command)]
    Class(#[bpaf(external(new_class))] NewClass),
    /// Add a rule that puts work into a class
    #[bpaf(command)]
    Rule(#[bpaf(external(new_rule))] NewRule),
}

/// A service to add.
#[derive(Debug, Clone, PartialEq, Bpaf)]
pub struct NewService {
    /// Class of work that no rule matches
    #[bpaf(long, argument("CLASS"))]
    pub default_class: String,
    /// Ranges that the key space of each group is cut into
    #[bpaf(long, argument("NUMBER"), fallback(SHARDS))]
    pub shards: u32,
    /// What placement weighs: IMBALANCE,CHURN,UNAVAILABLE, such as 1,4,2
    #[bpaf(long, argument("WEIGHTS"), optional)]
    pub weights: Option<WeightsWord>,
    /// Also add a first group of the same name, for all keys, with these endpoints
    #[bpaf(long, argument("SELECTOR"), optional)]
    pub endpoints: Option<String>,
    /// NAME=VALUE; may be stated more than once
    #[bpaf(long("label"), argument("LABEL"), many)]
    pub labels: Vec<Label>,
    /// How to make the change.
    #[bpaf(external)]
    pub condition: Condition,
    /// Name of the service
    #[bpaf(positional("NAME"))]
    pub name: String,
}

/// A group to add.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
pub struct NewGroup {
    /// Service that it belongs to
    #[bpaf(long, argument("SERVICE"))]
    pub service: String,
    /// Which endpoints belong to it, by their labels
    #[bpaf(long, argument("SELECTOR"))]
    pub endpoints: String,
    /// Which keys it serves; default: all
    #[bpaf(long, argument("SELECTOR"), optional)]
    pub keys: Option<String>,
    /// Which callers may use it, by their labels; default: all
    #[bpaf(long, argument("SELECTOR"), optional)]
    pub callers: Option<String>,
    /// NAME=VALUE; may be stated more than once
    #[bpaf(long("label"), argument("LABEL"), many)]
    pub labels: Vec<Label>,
    /// Group that it goes before; default: at the end
    #[bpaf(long, argument("NAME"), optional)]
    pub before: Option<String>,
    /// How to make the change.
    #[bpaf(external)]
    pub condition: Condition,
    /// Name of the group
    #[bpaf(positional("NAME"))]
    pub name: String,
}

/// An endpoint to add.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
pub struct NewEndpoint {
    /// Where it takes orders
    #[bpaf(long, argument("IP:PORT"))]
    pub address: SocketAddr,
    /// Availability zone it stands in
    #[bpaf(long, argument("ZONE"))]
    pub zone: String,
    /// Orders that it runs at once
    #[bpaf(long, argument("NUMBER"))]
    pub slots: u32,
    /// Connections that it takes
    #[bpaf(long, argument("NUMBER"), fallback(CONNECTIONS))]
    pub connections: u32,
    /// It checks who gives it an order
    #[bpaf(long)]
    pub checks_orders: bool,
    /// NAME=VALUE; may be stated more than once
    #[bpaf(long("label"), argument("LABEL"), many)]
    pub labels: Vec<Label>,
    /// How to make the change.
    #[bpaf(external)]
    pub condition: Condition,
    /// Name of the endpoint
    #[bpaf(positional("NAME"))]
    pub name: String,
}

/// A class to add.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
pub struct NewClass {
    /// Lower numbers are served first
    #[bpaf(long, argument("NUMBER"))]
    pub priority: u8,
    /// Share of an endpoint's slots that it gets at least, in hundredths
    #[bpaf(long, argument("PERCENT"), fallback(0))]
    pub kept_share: u8,
    /// How to make the change.
    #[bpaf(external)]
    pub condition: Condition,
    /// Name of the class
    #[bpaf(positional("NAME"))]
    pub name: String,
}

/// A rule to add.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
pub struct NewRule {
    /// Service that it is for
    #[bpaf(long, argument("SERVICE"))]
    pub service: String,
    /// Class of the work
    #[bpaf(long, argument("CLASS"))]
    pub class: String,
    /// Which callers, by their labels; default: all
    #[bpaf(long, argument("SELECTOR"), optional)]
    pub callers: Option<String>,
    /// Which keys; default: all
    #[bpaf(long, argument("SELECTOR"), optional)]
    pub keys: Option<String>,
    /// Rule that it goes before; default: at the end
    #[bpaf(long, argument("NAME"), optional)]
    pub before: Option<String>,
    /// How to make the change.
    #[bpaf(external)]
    pub condition: Condition,
    /// Name of the rule
    #[bpaf(positional("NAME"))]
    pub name: String,
}

impl Create {
    /// How to make the change.
    #[must_use]
    pub const fn condition(&self) -> &Condition {
        match self {
            Self::Service(new) => &new.condition,
            Self::Group(new) => &new.condition,
            Self::Endpoint(new) => &new.condition,
            Self::Class(new) => &new.condition,
            Self::Rule(new) => &new.condition,
        }
    }
}

impl NewService {
    /// The service as it is configured.
    #[must_use]
    pub fn service(&self) -> Service {
        let weights = self.weights.map(|weights| Weights {
            imbalance: weights.imbalance,
            churn: weights.churn,
            unavailable: weights.unavailable,
        });
        Service {
            labels: labels(&self.labels),
            shards: self.shards,
            weights: weights.unwrap_or_default(),
            default_class: ClassName::new(&self.default_class),
        }
    }

    /// Its first group, if one is to be added with it.
    #[must_use]
    pub fn group(&self) -> Option<Group> {
        let endpoints = self.endpoints.clone()?;
        Some(Group {
            service: ServiceName::new(&self.name),
            labels: Labels::new(),
            endpoints,
            keys: None,
            callers: None,
        })
    }
}

impl NewGroup {
    /// The group as it is configured.
    #[must_use]
    pub fn group(&self) -> Group {
        Group {
            service: ServiceName::new(&self.service),
            labels: labels(&self.labels),
            endpoints: self.endpoints.clone(),
            keys: self.keys.clone(),
            callers: self.callers.clone(),
        }
    }
}

impl NewEndpoint {
    /// The endpoint as it is configured.
    #[must_use]
    pub fn endpoint(&self) -> Endpoint {
        Endpoint {
            address: self.address,
            zone: ZoneName::new(&self.zone),
            labels: labels(&self.labels),
            slots: self.slots,
            connections: self.connections,
            checks_orders: self.checks_orders,
            drain: false,
        }
    }
}

impl NewClass {
    /// The class as it is configured.
    #[must_use]
    pub const fn class(&self) -> Class {
        Class {
            priority: self.priority,
            kept_share: self.kept_share,
        }
    }
}

impl NewRule {
    /// The rule as it is configured.
    #[must_use]
    pub fn rule(&self) -> Rule {
        Rule {
            name: self.name.clone(),
            service: ServiceName::new(&self.service),
            callers: self.callers.clone(),
            keys: self.keys.clone(),
            class: ClassName::new(&self.class),
        }
    }
}

fn labels(given: &[Label]) -> Labels {
    let mut labels = Labels::new();
    for label in given {
        labels.insert(label.name.clone(), label.value.clone());
    }
    labels
}
