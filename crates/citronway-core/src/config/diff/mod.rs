//! Differences between two configurations.

mod compare;
mod conflict;

use std::fmt;

use serde::{Deserialize, Serialize};

use super::model::Config;
use crate::findings::Kind;

pub use conflict::Conflict;

/// One difference between an earlier and a later configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Kind of what differs.
    pub kind: Kind,
    /// Its name; empty when the order of all of its kind differs.
    pub name: String,
    /// How it differs.
    pub detail: Detail,
}

/// How something differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "detail", rename_all = "snake_case")]
pub enum Detail {
    /// Only in the later configuration.
    Added,
    /// Only in the earlier configuration.
    Removed,
    /// A field has another value.
    Field {
        /// Which.
        field: Field,
        /// Earlier value; `None` if it was absent.
        before: Option<String>,
        /// Later value; `None` if it is absent.
        after: Option<String>,
    },
    /// A label has another value.
    Label {
        /// Its name.
        label: String,
        /// Earlier value; `None` if it was absent.
        before: Option<String>,
        /// Later value; `None` if it is absent.
        after: Option<String>,
    },
    /// What is in both configurations stands in another order.
    Order {
        /// Names in their later order.
        after: Vec<String>,
    },
}

/// Fields that can differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Field {
    /// Address of an endpoint.
    Address,
    /// Selector over callers.
    Callers,
    /// Whether an endpoint checks orders.
    ChecksOrders,
    /// Weight of churn.
    Churn,
    /// Class that a rule gives.
    Class,
    /// Connections of an endpoint.
    Connections,
    /// Class of work that no rule matches.
    DefaultClass,
    /// Whether an endpoint is to leave.
    Drain,
    /// Selector over endpoints.
    Endpoints,
    /// Weight of imbalance.
    Imbalance,
    /// Share kept for a class.
    KeptShare,
    /// Selector over keys.
    Keys,
    /// Priority of a class.
    Priority,
    /// Service that something is for.
    Service,
    /// Shards of a service's groups.
    Shards,
    /// Slots of an endpoint.
    Slots,
    /// Weight of unavailable time.
    Unavailable,
    /// Zone of an endpoint.
    Zone,
}

/// What differs from `before` to `after`, kind by kind.
#[must_use]
pub fn diff(before: &Config, after: &Config) -> Vec<Difference> {
    compare::configs(before, after)
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { kind, name, detail } = self;
        match detail {
            Detail::Added => write!(f, "+ {kind} {name}"),
            Detail::Removed => write!(f, "- {kind} {name}"),
            Detail::Field {
                field,
                before,
                after,
            } => {
                write!(f, "~ {kind} {name}: {field} ")?;
                write_values(f, before.as_deref(), after.as_deref())
            }
            Detail::Label {
                label,
                before,
                after,
            } => {
                write!(f, "~ {kind} {name}: label {label} ")?;
                write_values(f, before.as_deref(), after.as_deref())
            }
            Detail::Order { after } => {
                write!(f, "~ order of {kind} entries: {}", after.join(", "))
            }
        }
    }
}

fn write_values(
    f: &mut fmt::Formatter<'_>,
    before: Option<&str>,
    after: Option<&str>,
) -> fmt::Result {
    let [before, after] = [before, after].map(|value| match value {
        Some(value) => format!("`{value}`"),
        None => "none".to_owned(),
    });
    write!(f, "{before} -> {after}")
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Address => "address",
            Self::Callers => "callers",
            Self::ChecksOrders => "checks_orders",
            Self::Churn => "weights.churn",
            Self::Class => "class",
            Self::Connections => "connections",
            Self::DefaultClass => "default_class",
            Self::Drain => "drain",
            Self::Endpoints => "endpoints",
            Self::Imbalance => "weights.imbalance",
            Self::KeptShare => "kept_share",
            Self::Keys => "keys",
            Self::Priority => "priority",
            Self::Service => "service",
            Self::Shards => "shards",
            Self::Slots => "slots",
            Self::Unavailable => "weights.unavailable",
            Self::Zone => "zone",
        })
    }
}
