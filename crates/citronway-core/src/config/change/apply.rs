//! Makes single changes.

use std::fmt::Display;
use std::hash::Hash;

use indexmap::IndexMap;

use super::super::model::{Config, Group, Rule};
use super::{Change, Labelled, Selecting};
use crate::findings::{Finding, Findings, Kind, Place, Problem};
use crate::ids::GroupName;
use crate::request::Labels;

/// Makes one change, or none of it.
pub(super) fn one(cfg: &mut Config, change: &Change) -> Result<(), Findings> {
    match change {
        Change::AddService { name, service } => {
            add(&mut cfg.services, Kind::Service, name, service)
        }
        Change::RemoveService { name } => remove(&mut cfg.services, Kind::Service, name),
        Change::AddGroup {
            name,
            group,
            before,
        } => add_group(&mut cfg.groups, name, group, before.as_ref()),
        Change::RemoveGroup { name } => remove(&mut cfg.groups, Kind::Group, name),
        Change::AddClass { name, class } => add(&mut cfg.classes, Kind::Class, name, class),
        Change::RemoveClass { name } => remove(&mut cfg.classes, Kind::Class, name),
        Change::AddEndpoint { name, endpoint } => {
            add(&mut cfg.endpoints, Kind::Endpoint, name, endpoint)
        }
        Change::RemoveEndpoint { name } => remove(&mut cfg.endpoints, Kind::Endpoint, name),
        Change::AddRule { rule, before } => add_rule(&mut cfg.rules, rule, before.as_deref()),
        Change::RemoveRule { name } => remove_rule(&mut cfg.rules, name),
        Change::SetLabel { of, label, value } => {
            labels(cfg, of)?.insert(label.clone(), value.clone());
            Ok(())
        }
        Change::RemoveLabel { of, label } => remove(labels(cfg, of)?, Kind::Label, label),
        Change::SetSelector { of, selector } => set_selector(cfg, of, selector.as_deref()),
        Change::SetDrain { name, drain } => {
            get(&mut cfg.endpoints, Kind::Endpoint, name)?.drain = *drain;
            Ok(())
        }
        Change::Replace { config } => {
            *cfg = config.clone();
            Ok(())
        }
    }
}

fn add<K: Hash + Eq + Clone + Display, V: Clone>(
    map: &mut IndexMap<K, V>,
    kind: Kind,
    name: &K,
    value: &V,
) -> Result<(), Findings> {
    if map.contains_key(name) {
        return Err(exists(kind, name));
    }
    map.insert(name.clone(), value.clone());
    Ok(())
}

fn remove<K: Hash + Eq + Display, V>(
    map: &mut IndexMap<K, V>,
    kind: Kind,
    name: &K,
) -> Result<(), Findings> {
    match map.shift_remove(name) {
        Some(_) => Ok(()),
        None => Err(dangling(kind, name)),
    }
}

fn get<'a, K: Hash + Eq + Display, V>(
    map: &'a mut IndexMap<K, V>,
    kind: Kind,
    name: &K,
) -> Result<&'a mut V, Findings> {
    map.get_mut(name).ok_or_else(|| dangling(kind, name))
}

fn add_group(
    groups: &mut IndexMap<GroupName, Group>,
    name: &GroupName,
    group: &Group,
    before: Option<&GroupName>,
) -> Result<(), Findings> {
    if groups.contains_key(name) {
        return Err(exists(Kind::Group, name));
    }
    let at = match before {
        None => groups.len(),
        Some(before) => groups
            .get_index_of(before)
            .ok_or_else(|| dangling(Kind::Group, before))?,
    };
    groups.shift_insert(at, name.clone(), group.clone());
    Ok(())
}

fn add_rule(rules: &mut Vec<Rule>, rule: &Rule, before: Option<&str>) -> Result<(), Findings> {
    if position(rules, &rule.name).is_ok() {
        return Err(exists(Kind::Rule, &rule.name));
    }
    let at = match before {
        None => rules.len(),
        Some(before) => position(rules, before)?,
    };
    rules.insert(at, rule.clone());
    Ok(())
}

fn remove_rule(rules: &mut Vec<Rule>, name: &str) -> Result<(), Findings> {
    let at = position(rules, name)?;
    rules.remove(at);
    Ok(())
}

fn position(rules: &[Rule], name: &str) -> Result<usize, Findings> {
    let at = rules.iter().position(|rule| rule.name == name);
    at.ok_or_else(|| dangling(Kind::Rule, &name))
}

fn labels<'a>(cfg: &'a mut Config, of: &Labelled) -> Result<&'a mut Labels, Findings> {
    Ok(match of {
        Labelled::Service(name) => &mut get(&mut cfg.services, Kind::Service, name)?.labels,
        Labelled::Group(name) => &mut get(&mut cfg.groups, Kind::Group, name)?.labels,
        Labelled::Endpoint(name) => &mut get(&mut cfg.endpoints, Kind::Endpoint, name)?.labels,
    })
}

fn set_selector(cfg: &mut Config, of: &Selecting, text: Option<&str>) -> Result<(), Findings> {
    let text = text.map(ToOwned::to_owned);
    match of {
        Selecting::GroupEndpoints(name) => {
            let group = get(&mut cfg.groups, Kind::Group, name)?;
            group.endpoints = text.ok_or_else(|| missing_endpoints(name))?;
        }
        Selecting::GroupKeys(name) => get(&mut cfg.groups, Kind::Group, name)?.keys = text,
        Selecting::GroupCallers(name) => get(&mut cfg.groups, Kind::Group, name)?.callers = text,
        Selecting::RuleCallers(name) => {
            let at = position(&cfg.rules, name)?;
            cfg.rules[at].callers = text;
        }
        Selecting::RuleKeys(name) => {
            let at = position(&cfg.rules, name)?;
            cfg.rules[at].keys = text;
        }
    }
    Ok(())
}

fn missing_endpoints(group: &GroupName) -> Findings {
    let place = Place::new(format!("groups.{group}.endpoints"));
    let expected = "a selector over endpoints' labels";
    Findings::from(Finding::new(place, Problem::Missing, expected))
}

fn exists(kind: Kind, name: &impl Display) -> Findings {
    let problem = Problem::Exists {
        kind,
        name: name.to_string(),
    };
    let place = Place::new(format!("{kind} {name}"));
    Findings::from(Finding::new(place, problem, "a new name"))
}

fn dangling(kind: Kind, name: &impl Display) -> Findings {
    let problem = Problem::Dangling {
        kind,
        name: name.to_string(),
    };
    let expected = format!("name of a {kind} that exists");
    let place = Place::new(format!("{kind} {name}"));
    Findings::from(Finding::new(place, problem, expected))
}
