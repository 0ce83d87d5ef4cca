//! Operators' changes of the configuration.

mod apply;

use serde::{Deserialize, Serialize};

use super::check::check;
use super::model::{Class, Config, Endpoint, Group, Rule, Service};
use crate::findings::Findings;
use crate::ids::{ClassName, EndpointName, GroupName, ServiceName};

/// One change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// Adds a service. Its first group has to be added together with it.
    AddService {
        /// Its name.
        name: ServiceName,
        /// The service.
        service: Service,
    },
    /// Removes a service.
    RemoveService {
        /// Its name.
        name: ServiceName,
    },
    /// Adds a group.
    AddGroup {
        /// Its name.
        name: GroupName,
        /// The group.
        group: Group,
        /// Group that it stands before; at the end if absent.
        #[serde(default)]
        before: Option<GroupName>,
    },
    /// Removes a group.
    RemoveGroup {
        /// Its name.
        name: GroupName,
    },
    /// Adds a class.
    AddClass {
        /// Its name.
        name: ClassName,
        /// The class.
        class: Class,
    },
    /// Removes a class.
    RemoveClass {
        /// Its name.
        name: ClassName,
    },
    /// Adds an endpoint.
    AddEndpoint {
        /// Its name.
        name: EndpointName,
        /// The endpoint.
        endpoint: Endpoint,
    },
    /// Removes an endpoint.
    RemoveEndpoint {
        /// Its name.
        name: EndpointName,
    },
    /// Adds a rule.
    AddRule {
        /// The rule.
        rule: Rule,
        /// Rule that it stands before; at the end if absent.
        #[serde(default)]
        before: Option<String>,
    },
    /// Removes a rule.
    RemoveRule {
        /// Its name.
        name: String,
    },
    /// Sets a label, whether it was there or not.
    SetLabel {
        /// What is labelled.
        of: Labelled,
        /// Name of the label.
        label: String,
        /// Its value.
        value: String,
    },
    /// Removes a label.
    RemoveLabel {
        /// What is labelled.
        of: Labelled,
        /// Name of the label.
        label: String,
    },
    /// Sets a selector.
    SetSelector {
        /// Which.
        of: Selecting,
        /// Its text; `None` removes it, which means everything.
        selector: Option<String>,
    },
    /// Says whether an endpoint is to leave.
    SetDrain {
        /// The endpoint.
        name: EndpointName,
        /// Whether it is to leave.
        drain: bool,
    },
    /// Puts another configuration in place of the whole.
    Replace {
        /// The other configuration.
        config: Config,
    },
}

/// What has labels.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Labelled {
    /// A service.
    Service(ServiceName),
    /// A group.
    Group(GroupName),
    /// An endpoint.
    Endpoint(EndpointName),
}

/// What has a selector.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Selecting {
    /// The endpoints of a group; this selector cannot be absent.
    GroupEndpoints(GroupName),
    /// The keys of a group.
    GroupKeys(GroupName),
    /// The callers of a group.
    GroupCallers(GroupName),
    /// The callers of a rule.
    RuleCallers(String),
    /// The keys of a rule.
    RuleKeys(String),
}

/// Makes all changes in order and checks the result as a whole.
///
/// The configuration that is passed in stays as it is.
///
/// # Errors
///
/// All changes that cannot be made; or, if all can, all that is wrong with the result.
pub fn change(cfg: &Config, changes: &[Change]) -> Result<Config, Findings> {
    let mut changed = cfg.clone();
    let mut findings = Findings::new();
    for change in changes {
        if let Err(found) = apply::one(&mut changed, change) {
            findings.append(found);
        }
    }
    if findings.is_empty() {
        findings = check(&changed);
    }
    findings.or_ok(changed)
}
