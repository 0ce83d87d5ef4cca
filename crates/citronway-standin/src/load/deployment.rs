//! The users' deployments at their sizes of today.
//!
//! Service times, deadlines and shares of classes are assumptions of the load
//! tool; the users have stated sizes and delays only.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use citronway_core::config::{Class, Config, Endpoint, Group, Rule, Service, Weights};
use citronway_core::ids::{ClassName, EndpointName, GroupName, ServiceName, ZoneName};
use citronway_core::request::Labels;
use serde::Serialize;
use thiserror::Error;

/// Label by which a group selects its endpoints.
const SERVES: &str = "serves";
/// Label of callers that decides their class.
const CLASS: &str = "class";
/// Entry instances; each user has 10 to 12.
pub const INSTANCES: usize = 12;
/// One of so many endpoints does not check orders.
const UNCHECKED_EVERY: usize = 3;

/// A user's deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Deployment {
    /// Migration platform, three zones.
    Migrakon,
    /// Laboratory, four sites.
    Vatuwaqa,
}

/// The name of no known thing.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("unknown name {0}")]
pub struct UnknownName(pub String);

impl FromStr for Deployment {
    type Err = UnknownName;

    fn from_str(name: &str) -> Result<Self, UnknownName> {
        match name {
            "migrakon" => Ok(Self::Migrakon),
            "vatuwaqa" => Ok(Self::Vatuwaqa),
            _ => Err(UnknownName(name.to_owned())),
        }
    }
}

/// A service with its endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Name of the service.
    pub service: &'static str,
    /// Endpoints.
    pub endpoints: usize,
    /// Slots of each endpoint.
    pub slots: u32,
    /// Connections that each endpoint takes.
    pub connections: u32,
    /// Mean time of an order, in milliseconds; assumed.
    pub service_ms: u64,
    /// Keys in use; assumed.
    pub keys: u32,
}

impl Size {
    /// Orders a second that all its slots together can run.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let slots = f64::from(self.slots) * self.endpoints as f64;
        slots * 1000.0 / self.service_ms as f64
    }
}

/// Work of one kind.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkClass {
    /// Name of the class.
    pub name: &'static str,
    /// Service it is for.
    pub service: &'static str,
    /// Lower numbers are served first.
    pub priority: u8,
    /// Part of the arrivals at its service.
    pub share: f64,
    /// Part of it that is idempotent.
    pub idempotent: f64,
    /// Time its callers wait.
    pub deadline: Duration,
}

const fn class(name: &'static str, service: &'static str, priority: u8) -> WorkClass {
    WorkClass {
        name,
        service,
        priority,
        share: 1.0,
        idempotent: 0.5,
        deadline: Duration::from_secs(2),
    }
}

const MIGRAKON: [Size; 2] = [size("migrations", 30, 6, 130), size("console", 6, 6, 130)];
const VATUWAQA: [Size; 2] = [size("intake", 25, 2, 120), size("certificates", 8, 2, 120)];

const MIGRAKON_WORK: [WorkClass; 3] = [
    WorkClass {
        share: 0.7,
        deadline: Duration::from_secs(5),
        ..class("batch", "migrations", 2)
    },
    WorkClass {
        share: 0.3,
        idempotent: 0.9,
        ..class("lookup", "migrations", 1)
    },
    WorkClass {
        deadline: Duration::from_secs(1),
        ..class("interactive", "console", 0)
    },
];
const VATUWAQA_WORK: [WorkClass; 3] = [
    WorkClass {
        share: 0.6,
        ..class("booking", "intake", 1)
    },
    WorkClass {
        share: 0.4,
        deadline: Duration::from_secs(1),
        idempotent: 1.0,
        ..class("bench", "intake", 0)
    },
    WorkClass {
        idempotent: 0.8,
        ..class("certificate", "certificates", 1)
    },
];

const fn size(service: &'static str, endpoints: usize, slots: u32, connections: u32) -> Size {
    Size {
        service,
        endpoints,
        slots,
        connections,
        service_ms: 100,
        keys: 2000,
    }
}

impl Deployment {
    /// Its services.
    #[must_use]
    pub const fn sizes(self) -> &'static [Size] {
        match self {
            Self::Migrakon => &MIGRAKON,
            Self::Vatuwaqa => &VATUWAQA,
        }
    }

    /// Its kinds of work.
    #[must_use]
    pub const fn work(self) -> &'static [WorkClass] {
        match self {
            Self::Migrakon => &MIGRAKON_WORK,
            Self::Vatuwaqa => &VATUWAQA_WORK,
        }
    }

    /// Its availability zones or sites.
    #[must_use]
    pub const fn zones(self) -> &'static [&'static str] {
        match self {
            Self::Migrakon => &["zone-a", "zone-b", "zone-c"],
            Self::Vatuwaqa => &["site-a", "site-b", "site-c", "site-d"],
        }
    }

    /// One-way delay between callers and entries.
    #[must_use]
    pub const fn client_delay(self) -> Duration {
        match self {
            Self::Migrakon => Duration::from_millis(8),
            Self::Vatuwaqa => Duration::from_millis(3),
        }
    }

    /// Longest order: the longest deadline of its kinds of work, in milliseconds.
    #[must_use]
    pub fn max_order_ms(self) -> u64 {
        let deadlines = self.work().iter().map(|work| work.deadline);
        let longest = deadlines.max().unwrap_or_default();
        u64::try_from(longest.as_millis()).unwrap_or(u64::MAX)
    }

    /// Zone of the instance or endpoint of this number.
    #[must_use]
    pub const fn zone(self, number: usize) -> &'static str {
        let zones = self.zones();
        zones[number % zones.len()]
    }

    const fn weights(self) -> Weights {
        match self {
            Self::Migrakon => Weights {
                imbalance: 1.0,
                churn: 4.0,
                unavailable: 1.0,
            },
            Self::Vatuwaqa => Weights {
                imbalance: 1.0,
                churn: 1.0,
                unavailable: 4.0,
            },
        }
    }

    /// The configuration, without endpoints.
    #[must_use]
    pub fn config(self) -> Config {
        let mut config = Config::default();
        for work in self.work() {
            let (priority, kept_share) = (work.priority, 10);
            let class = Class {
                priority,
                kept_share,
            };
            config.classes.insert(ClassName::new(work.name), class);
            config.rules.push(rule(work));
        }
        for size in self.sizes() {
            let service = Service {
                labels: Labels::new(),
                shards: 256,
                weights: self.weights(),
                default_class: ClassName::new(self.work()[0].name),
            };
            let name = ServiceName::new(size.service);
            config
                .groups
                .insert(GroupName::new(size.service), group(size));
            config.services.insert(name, service);
        }
        config
    }

    /// Whether the endpoint of this number checks orders.
    #[must_use]
    pub const fn checks(number: usize) -> bool {
        !number.is_multiple_of(UNCHECKED_EVERY)
    }

    /// Adds an endpoint to a configuration.
    pub fn add_endpoint(self, config: &mut Config, size: &Size, number: usize, at: SocketAddr) {
        let endpoint = Endpoint {
            address: at,
            zone: ZoneName::new(self.zone(number)),
            labels: label(SERVES, size.service),
            slots: size.slots,
            connections: size.connections,
            checks_orders: Self::checks(number),
            drain: false,
        };
        let name = EndpointName::new(&endpoint_name(size, number));
        config.endpoints.insert(name, endpoint);
    }
}

/// Name of an endpoint of a service.
#[must_use]
pub fn endpoint_name(size: &Size, number: usize) -> String {
    format!("{}-{number}", size.service)
}

/// Name of an entry.
#[must_use]
pub fn entry_name(number: usize) -> String {
    format!("entry-{number}")
}

/// Labels of callers with work of this class.
pub(super) const fn class_label(work: &WorkClass) -> (&'static str, &'static str) {
    (CLASS, work.name)
}

fn rule(work: &WorkClass) -> Rule {
    Rule {
        name: work.name.to_owned(),
        service: ServiceName::new(work.service),
        callers: Some(format!("{CLASS}={}", work.name)),
        keys: None,
        class: ClassName::new(work.name),
    }
}

fn group(size: &Size) -> Group {
    Group {
        service: ServiceName::new(size.service),
        labels: Labels::new(),
        endpoints: format!("{SERVES}={}", size.service),
        keys: None,
        callers: None,
    }
}

fn label(name: &str, value: &str) -> Labels {
    Labels::from([(name.to_owned(), value.to_owned())])
}
