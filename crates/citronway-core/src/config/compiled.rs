//! A checked configuration, made ready to be asked for each request.

use indexmap::IndexMap;

use super::check::check;
use super::model::{Class, Config};
use super::selector::Selector;
use crate::findings::{Finding, Findings, Place, Problem};
use crate::ids::{ClassName, EndpointName, GroupName, Key, ServiceName};
use crate::outcome::NotRunReason;
use crate::request::Labels;
use crate::shard::Part;

/// What the configuration says of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route<'a> {
    /// Group that the key belongs to, which admits the caller.
    ///
    /// Who owns the key is told by the stored assignment alone; see
    /// [`CompiledPartition`].
    pub group: &'a GroupName,
    /// Class of the work.
    pub class: &'a ClassName,
    /// Priority of the class; lower numbers are served first.
    pub priority: u8,
}

/// A checked configuration with its selectors parsed.
#[derive(Debug, Clone)]
pub struct CompiledConfig {
    config: Config,
    services: IndexMap<ServiceName, CompiledService>,
    members: IndexMap<GroupName, Vec<EndpointName>>,
}

#[derive(Debug, Clone, Default)]
struct CompiledService {
    groups: Vec<CompiledGroup>,
    rules: Vec<CompiledRule>,
}

#[derive(Debug, Clone)]
struct CompiledGroup {
    name: GroupName,
    keys: Option<Selector>,
    callers: Option<Selector>,
}

#[derive(Debug, Clone)]
struct CompiledRule {
    callers: Option<Selector>,
    keys: Option<Selector>,
    class: ClassName,
}

impl CompiledConfig {
    /// Checks the configuration and makes it ready.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with it.
    pub fn new(config: Config) -> Result<Self, Findings> {
        let findings = check(&config);
        if !findings.is_empty() {
            return Err(findings);
        }
        let mut services = IndexMap::new();
        for name in config.services.keys() {
            services.insert(name.clone(), compile_service(&config, name)?);
        }
        let mut members = IndexMap::new();
        for (name, group) in &config.groups {
            let selector = compile(&format!("groups.{name}.endpoints"), &group.endpoints)?;
            members.insert(name.clone(), matching(&config, &selector));
        }
        Ok(Self {
            config,
            services,
            members,
        })
    }

    /// The configuration itself.
    #[must_use]
    pub const fn config(&self) -> &Config {
        &self.config
    }

    /// Which group and class a request belongs to.
    ///
    /// The group depends on the key alone, because a key has one owner whoever
    /// asks; the caller's labels only decide whether it is admitted, and the class.
    ///
    /// # Errors
    ///
    /// `UnknownService`, or `NoRoute` when no group takes the key or its group
    /// does not admit the caller.
    pub fn route(
        &self,
        service: &ServiceName,
        caller: &Labels,
        key: &Key,
    ) -> Result<Route<'_>, NotRunReason> {
        let compiled = self
            .services
            .get(service)
            .ok_or(NotRunReason::UnknownService)?;
        let group = compiled.group_of(key).ok_or(NotRunReason::NoRoute)?;
        if !selects_labels(group.callers.as_ref(), caller) {
            return Err(NotRunReason::NoRoute);
        }
        let class = match compiled.class_of(caller, key) {
            Some(class) => class,
            None => &self.config.services[service].default_class,
        };
        Ok(Route {
            group: &group.name,
            class,
            priority: self.config.classes[class].priority,
        })
    }

    /// Endpoints that belong to the group, draining ones included.
    #[must_use]
    pub fn members(&self, group: &GroupName) -> &[EndpointName] {
        self.members.get(group).map_or(&[], Vec::as_slice)
    }

    /// Settings of a class.
    #[must_use]
    pub fn class(&self, name: &ClassName) -> Option<&Class> {
        self.config.classes.get(name)
    }

    /// How the configuration splits the keys of a service into groups, as an
    /// assignment stores it.
    #[must_use]
    pub fn partition(&self, service: &ServiceName) -> Vec<Part> {
        let groups = self.config.groups.iter();
        groups
            .filter(|(_, group)| group.service == *service)
            .map(|(name, group)| Part {
                group: name.clone(),
                keys: group.keys.clone(),
            })
            .collect()
    }
}

impl CompiledService {
    fn group_of(&self, key: &Key) -> Option<&CompiledGroup> {
        self.groups
            .iter()
            .find(|group| selects_key(group.keys.as_ref(), key))
    }

    fn class_of(&self, caller: &Labels, key: &Key) -> Option<&ClassName> {
        for rule in &self.rules {
            if !selects_labels(rule.callers.as_ref(), caller) {
                continue;
            }
            if selects_key(rule.keys.as_ref(), key) {
                return Some(&rule.class);
            }
        }
        None
    }
}

/// The split of a service's keys into groups that is in force, from its stored
/// assignment.
#[derive(Debug, Clone)]
pub struct CompiledPartition {
    parts: Vec<CompiledPart>,
}

#[derive(Debug, Clone)]
struct CompiledPart {
    group: GroupName,
    keys: Option<Selector>,
}

impl CompiledPartition {
    /// Parses the selectors of a stored partition.
    ///
    /// # Errors
    ///
    /// Selectors that cannot be parsed.
    pub fn new(partition: &[Part]) -> Result<Self, Findings> {
        let mut parts = Vec::new();
        for part in partition {
            let path = format!("partition.{}.keys", part.group);
            parts.push(CompiledPart {
                group: part.group.clone(),
                keys: compile_optional(&path, part.keys.as_deref())?,
            });
        }
        Ok(Self { parts })
    }

    /// Group that the key belongs to: the first part that matches.
    #[must_use]
    pub fn part_of(&self, key: &Key) -> Option<&GroupName> {
        for part in &self.parts {
            if selects_key(part.keys.as_ref(), key) {
                return Some(&part.group);
            }
        }
        None
    }
}

fn compile_service(cfg: &Config, service: &ServiceName) -> Result<CompiledService, Findings> {
    let mut compiled = CompiledService::default();
    for (name, group) in &cfg.groups {
        if group.service != *service {
            continue;
        }
        let path = format!("groups.{name}");
        compiled.groups.push(CompiledGroup {
            name: name.clone(),
            keys: compile_optional(&format!("{path}.keys"), group.keys.as_deref())?,
            callers: compile_optional(&format!("{path}.callers"), group.callers.as_deref())?,
        });
    }
    for rule in &cfg.rules {
        if rule.service != *service {
            continue;
        }
        let path = format!("rules.{}", rule.name);
        compiled.rules.push(CompiledRule {
            callers: compile_optional(&format!("{path}.callers"), rule.callers.as_deref())?,
            keys: compile_optional(&format!("{path}.keys"), rule.keys.as_deref())?,
            class: rule.class.clone(),
        });
    }
    Ok(compiled)
}

fn compile_optional(path: &str, text: Option<&str>) -> Result<Option<Selector>, Findings> {
    text.map(|text| compile(path, text)).transpose()
}

fn compile(path: &str, text: &str) -> Result<Selector, Findings> {
    Selector::parse(text).map_err(|error| {
        let place = Place::new(path).column(error.column);
        let expected = error.problem.expected();
        Findings::from(Finding::new(
            place,
            Problem::Selector(error.problem),
            expected,
        ))
    })
}

fn matching(cfg: &Config, selector: &Selector) -> Vec<EndpointName> {
    let endpoints = cfg.endpoints.iter();
    endpoints
        .filter(|(_, endpoint)| selector.matches_labels(&endpoint.labels))
        .map(|(name, _)| name.clone())
        .collect()
}

fn selects_labels(selector: Option<&Selector>, labels: &Labels) -> bool {
    selector.is_none_or(|selector| selector.matches_labels(labels))
}

fn selects_key(selector: Option<&Selector>, key: &Key) -> bool {
    selector.is_none_or(|selector| selector.matches_key(key))
}
