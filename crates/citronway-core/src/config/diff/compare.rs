//! Compares two configurations field by field.

use std::fmt::Display;
use std::hash::Hash;

use indexmap::IndexMap;

use super::super::model::{Class, Config, Endpoint, Group, Rule, Service};
use super::{Detail, Difference, Field};
use crate::findings::Kind;
use crate::request::Labels;

/// Compares everything.
pub(super) fn configs(before: &Config, after: &Config) -> Vec<Difference> {
    let mut all = Vec::new();
    maps(
        &mut all,
        Kind::Service,
        &before.services,
        &after.services,
        service,
    );
    maps(&mut all, Kind::Group, &before.groups, &after.groups, group);
    order(
        &mut all,
        Kind::Group,
        &names(&before.groups),
        &names(&after.groups),
    );
    maps(
        &mut all,
        Kind::Class,
        &before.classes,
        &after.classes,
        class,
    );
    maps(
        &mut all,
        Kind::Endpoint,
        &before.endpoints,
        &after.endpoints,
        endpoint,
    );
    let [old, new] = [before, after].map(rules_by_name);
    maps(&mut all, Kind::Rule, &old, &new, |to, a, b| rule(to, a, b));
    order(&mut all, Kind::Rule, &names(&old), &names(&new));
    all
}

/// Collects what differs in one thing.
struct Collector<'a> {
    all: &'a mut Vec<Difference>,
    kind: Kind,
    name: String,
}

impl Collector<'_> {
    fn push(&mut self, detail: Detail) {
        self.all.push(Difference {
            kind: self.kind,
            name: self.name.clone(),
            detail,
        });
    }

    fn field<T: PartialEq + Display>(&mut self, field: Field, before: &T, after: &T) {
        self.optional(field, Some(before), Some(after));
    }

    fn optional<T: PartialEq + Display>(
        &mut self,
        field: Field,
        before: Option<&T>,
        after: Option<&T>,
    ) {
        if before == after {
            return;
        }
        let [before, after] = [before, after].map(|value| value.map(ToString::to_string));
        self.push(Detail::Field {
            field,
            before,
            after,
        });
    }

    fn labels(&mut self, before: &Labels, after: &Labels) {
        let added = after.keys().filter(|label| !before.contains_key(*label));
        for label in before.keys().chain(added) {
            let [old, new] = [before, after].map(|labels| labels.get(label).cloned());
            if old == new {
                continue;
            }
            self.push(Detail::Label {
                label: label.clone(),
                before: old,
                after: new,
            });
        }
    }
}

fn maps<K: Hash + Eq + Display, V>(
    all: &mut Vec<Difference>,
    kind: Kind,
    before: &IndexMap<K, V>,
    after: &IndexMap<K, V>,
    compare: impl Fn(&mut Collector<'_>, &V, &V),
) {
    let added = after.keys().filter(|name| !before.contains_key(*name));
    for name in before.keys().chain(added) {
        let mut to = Collector {
            all,
            kind,
            name: name.to_string(),
        };
        match (before.get(name), after.get(name)) {
            (Some(old), Some(new)) => compare(&mut to, old, new),
            (Some(_), None) => to.push(Detail::Removed),
            _ => to.push(Detail::Added),
        }
    }
}

fn order(all: &mut Vec<Difference>, kind: Kind, before: &[String], after: &[String]) {
    let kept_before: Vec<_> = before.iter().filter(|name| after.contains(name)).collect();
    let kept_after: Vec<_> = after.iter().filter(|name| before.contains(name)).collect();
    if kept_before == kept_after {
        return;
    }
    all.push(Difference {
        kind,
        name: String::new(),
        detail: Detail::Order {
            after: after.to_vec(),
        },
    });
}

fn names<K: Display, V>(map: &IndexMap<K, V>) -> Vec<String> {
    map.keys().map(ToString::to_string).collect()
}

fn rules_by_name(cfg: &Config) -> IndexMap<&str, &Rule> {
    let rules = cfg.rules.iter();
    rules.map(|rule| (rule.name.as_str(), rule)).collect()
}

fn service(to: &mut Collector<'_>, before: &Service, after: &Service) {
    let [old, new] = [before.weights, after.weights];
    to.labels(&before.labels, &after.labels);
    to.field(Field::Shards, &before.shards, &after.shards);
    to.field(Field::Imbalance, &old.imbalance, &new.imbalance);
    to.field(Field::Churn, &old.churn, &new.churn);
    to.field(Field::Unavailable, &old.unavailable, &new.unavailable);
    to.field(
        Field::DefaultClass,
        &before.default_class,
        &after.default_class,
    );
}

fn group(to: &mut Collector<'_>, before: &Group, after: &Group) {
    to.labels(&before.labels, &after.labels);
    to.field(Field::Service, &before.service, &after.service);
    to.field(Field::Endpoints, &before.endpoints, &after.endpoints);
    to.optional(Field::Keys, before.keys.as_ref(), after.keys.as_ref());
    to.optional(
        Field::Callers,
        before.callers.as_ref(),
        after.callers.as_ref(),
    );
}

fn class(to: &mut Collector<'_>, before: &Class, after: &Class) {
    to.field(Field::Priority, &before.priority, &after.priority);
    to.field(Field::KeptShare, &before.kept_share, &after.kept_share);
}

fn endpoint(to: &mut Collector<'_>, before: &Endpoint, after: &Endpoint) {
    to.labels(&before.labels, &after.labels);
    to.field(Field::Address, &before.address, &after.address);
    to.field(Field::Zone, &before.zone, &after.zone);
    to.field(Field::Slots, &before.slots, &after.slots);
    to.field(Field::Connections, &before.connections, &after.connections);
    to.field(
        Field::ChecksOrders,
        &before.checks_orders,
        &after.checks_orders,
    );
    to.field(Field::Drain, &before.drain, &after.drain);
}

fn rule(to: &mut Collector<'_>, before: &Rule, after: &Rule) {
    to.field(Field::Service, &before.service, &after.service);
    to.optional(
        Field::Callers,
        before.callers.as_ref(),
        after.callers.as_ref(),
    );
    to.optional(Field::Keys, before.keys.as_ref(), after.keys.as_ref());
    to.field(Field::Class, &before.class, &after.class);
}
