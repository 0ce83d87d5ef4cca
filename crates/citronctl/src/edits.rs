//! Turns what the command line says into changes of the configuration.

use citronway_core::config::{Change, Config, Labelled, Selecting};
use citronway_core::ids::{ClassName, EndpointName, GroupName, ServiceName};

use crate::cli::Selectors;
use crate::create::Create;
use crate::failure::Failure;
use crate::words::{self, LabelEdit, Thing};

/// Stands on the command line for a selector that is to be removed.
const ALL: &str = "-";

/// Changes of labels.
#[must_use]
pub fn label(kind: words::Labelled, name: &str, edits: &[LabelEdit]) -> Vec<Change> {
    let mut changes = Vec::new();
    for edit in edits {
        let of = match kind {
            words::Labelled::Service => Labelled::Service(ServiceName::new(name)),
            words::Labelled::Group => Labelled::Group(GroupName::new(name)),
            words::Labelled::Endpoint => Labelled::Endpoint(EndpointName::new(name)),
        };
        changes.push(match edit.clone() {
            LabelEdit::Set { name: label, value } => Change::SetLabel { of, label, value },
            LabelEdit::Unset { name: label } => Change::RemoveLabel { of, label },
        });
    }
    changes
}

/// Changes of selectors.
///
/// # Errors
///
/// When no selector is stated, or one that a rule does not have.
pub fn select(
    kind: words::Selecting,
    name: &str,
    selectors: &Selectors,
) -> Result<Vec<Change>, Failure> {
    let mut changes = Vec::new();
    if let Some(text) = &selectors.endpoints {
        if kind == words::Selecting::Rule {
            return Err(Failure::Usage("a rule has no --endpoints".to_owned()));
        }
        changes.push(set(Selecting::GroupEndpoints(GroupName::new(name)), text));
    }
    if let Some(text) = &selectors.keys {
        let of = match kind {
            words::Selecting::Group => Selecting::GroupKeys(GroupName::new(name)),
            words::Selecting::Rule => Selecting::RuleKeys(name.to_owned()),
        };
        changes.push(set(of, text));
    }
    if let Some(text) = &selectors.callers {
        let of = match kind {
            words::Selecting::Group => Selecting::GroupCallers(GroupName::new(name)),
            words::Selecting::Rule => Selecting::RuleCallers(name.to_owned()),
        };
        changes.push(set(of, text));
    }
    if changes.is_empty() {
        let message = "say at least one of --endpoints, --keys and --callers";
        return Err(Failure::Usage(message.to_owned()));
    }
    Ok(changes)
}

/// The change that adds what `create` describes.
///
/// A service is added together with its first group, if one is described.
#[must_use]
pub fn create(what: &Create) -> Vec<Change> {
    match what {
        Create::Service(new) => {
            let mut changes = vec![Change::AddService {
                name: ServiceName::new(&new.name),
                service: new.service(),
            }];
            changes.extend(new.group().map(|group| Change::AddGroup {
                name: GroupName::new(&new.name),
                group,
                before: None,
            }));
            changes
        }
        Create::Group(new) => vec![Change::AddGroup {
            name: GroupName::new(&new.name),
            group: new.group(),
            before: new.before.as_deref().map(GroupName::new),
        }],
        Create::Endpoint(new) => vec![Change::AddEndpoint {
            name: EndpointName::new(&new.name),
            endpoint: new.endpoint(),
        }],
        Create::Class(new) => vec![Change::AddClass {
            name: ClassName::new(&new.name),
            class: new.class(),
        }],
        Create::Rule(new) => vec![Change::AddRule {
            rule: new.rule(),
            before: new.before.clone(),
        }],
    }
}

/// The change that makes an endpoint leave or come back.
#[must_use]
pub fn set_drain(endpoint: &str, drain: bool) -> Change {
    Change::SetDrain {
        name: EndpointName::new(endpoint),
        drain,
    }
}

/// The change that removes a thing.
#[must_use]
pub fn remove(kind: Thing, name: &str) -> Change {
    match kind {
        Thing::Service => Change::RemoveService {
            name: ServiceName::new(name),
        },
        Thing::Group => Change::RemoveGroup {
            name: GroupName::new(name),
        },
        Thing::Endpoint => Change::RemoveEndpoint {
            name: EndpointName::new(name),
        },
        Thing::Class => Change::RemoveClass {
            name: ClassName::new(name),
        },
        Thing::Rule => Change::RemoveRule {
            name: name.to_owned(),
        },
    }
}

/// The changes that remove a service with its groups and rules.
#[must_use]
pub fn remove_whole_service(config: &Config, name: &str) -> Vec<Change> {
    let service = ServiceName::new(name);
    let mut changes = Vec::new();
    for rule in &config.rules {
        if rule.service == service {
            changes.push(remove(Thing::Rule, &rule.name));
        }
    }
    for (group, content) in &config.groups {
        if content.service == service {
            changes.push(remove(Thing::Group, group.as_str()));
        }
    }
    changes.push(remove(Thing::Service, name));
    changes
}

fn set(of: Selecting, text: &str) -> Change {
    let selector = (text != ALL).then(|| text.to_owned());
    Change::SetSelector { of, selector }
}
