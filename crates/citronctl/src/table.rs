//! Answers as tables for people.

use std::fmt::{Display, Write};

use comfy_table::Table;
use comfy_table::presets::NOTHING;

use citronway::operators::answers::{
    AssignmentAnswer, ConfigAnswer, DispatchersAnswer, EndpointsAnswer, InstancesAnswer,
    VersionAnswer,
};
use citronway::operators::snapshot::Health;
use citronway_core::config::Config;
use citronway_core::platform::ListedState;
use citronway_core::request::Labels;
use citronway_core::shard::{Ownership, Shard};

/// Stands for what is not known or not set.
const NONE: &str = "-";

/// The configuration, a table for each kind of thing.
#[must_use]
pub fn config(answer: &ConfigAnswer) -> String {
    let config = &answer.config;
    let tables = [
        ("services", services(config)),
        ("groups", groups(config)),
        ("endpoints", configured_endpoints(config)),
        ("classes", classes(config)),
        ("rules", rules(config)),
    ];
    let mut text = format!("configuration version {}\n", answer.version);
    for (name, table) in tables {
        if table.is_empty() {
            continue;
        }
        let _ = write!(text, "\n{name}\n{}\n", table.trim_fmt());
    }
    text
}

/// Shards for each service and owner.
#[must_use]
pub fn assignment(answer: &AssignmentAnswer) -> String {
    let mut table = new(&["SERVICE", "SHARD", "GROUP", "EPOCH", "STATE", "OWNER", "TO"]);
    for stored in &answer.assignments {
        for shard in stored.row.shards.values() {
            table.add_row(shard_row(stored.row.service.as_str(), shard));
        }
    }
    finish(&table)
}

/// Dispatchers by endpoint.
#[must_use]
pub fn dispatchers(answer: &DispatchersAnswer) -> String {
    let mut table = new(&["ENDPOINT", "DISPATCHER", "EPOCH", "SUCCESSORS", "MAY ACT"]);
    for view in &answer.dispatchers {
        let mut successors = Vec::new();
        for session in &view.successors {
            successors.push(session.instance.to_string());
        }
        table.add_row(vec![
            view.endpoint.to_string(),
            view.dispatcher.to_string(),
            view.epoch.to_string(),
            join(&successors),
            or_none(view.hold.as_ref().map(|hold| yes_no(hold.may_act))),
        ]);
    }
    finish(&table)
}

/// Endpoints with what the answering instance knows of them.
#[must_use]
pub fn endpoints(answer: &EndpointsAnswer) -> String {
    let header = [
        "ENDPOINT",
        "ZONE",
        "HEALTH",
        "DRAIN",
        "SLOTS",
        "LIMIT",
        "RUNNING",
        "QUEUED",
        "SHARDS",
        "DISPATCHER",
        "LABELS",
    ];
    let mut table = new(&header);
    for view in &answer.endpoints {
        let state = view.state.as_ref();
        let draining = view.drain || state.is_some_and(|state| state.draining);
        table.add_row(vec![
            view.endpoint.to_string(),
            view.zone.to_string(),
            or_none(state.map(|state| health(state.health))),
            yes_no(draining).to_owned(),
            view.slots.to_string(),
            or_none(state.map(|state| state.limit)),
            or_none(state.map(|state| state.running)),
            or_none(state.map(|state| state.queued)),
            view.shards.to_string(),
            or_none(view.dispatcher.as_ref().map(|session| &session.instance)),
            labels(&view.labels),
        ]);
    }
    finish(&table)
}

/// Instances that the answering one knows.
#[must_use]
pub fn instances(answer: &InstancesAnswer) -> String {
    let mut table = new(&[
        "INSTANCE", "ZONE", "CONFIG", "HEARD MS", "LISTED", "LEAVING",
    ]);
    for state in &answer.instances {
        table.add_row(vec![
            state.session.instance.to_string(),
            state.zone.to_string(),
            or_none(state.config_version),
            or_none(state.heard_ms),
            or_none(state.listed.map(listed)),
            yes_no(state.leaving).to_owned(),
        ]);
    }
    finish(&table)
}

/// Where which version is in force.
#[must_use]
pub fn version(answer: &VersionAnswer) -> String {
    let mut table = new(&["INSTANCE", "ZONE", "VERSION", "IN FORCE"]);
    for instance in &answer.instances {
        table.add_row(vec![
            instance.session.instance.to_string(),
            instance.zone.to_string(),
            or_none(instance.version),
            yes_no(instance.version >= Some(answer.accepted)).to_owned(),
        ]);
    }
    format!("accepted version {}\n{}", answer.accepted, finish(&table))
}

fn services(config: &Config) -> Table {
    let mut table = new(&["SERVICE", "SHARDS", "DEFAULT CLASS", "WEIGHTS", "LABELS"]);
    for (name, service) in &config.services {
        let weights = &service.weights;
        table.add_row(vec![
            name.to_string(),
            service.shards.to_string(),
            service.default_class.to_string(),
            format!(
                "{},{},{}",
                weights.imbalance, weights.churn, weights.unavailable
            ),
            labels(&service.labels),
        ]);
    }
    table
}

fn groups(config: &Config) -> Table {
    let mut table = new(&["GROUP", "SERVICE", "ENDPOINTS", "KEYS", "CALLERS", "LABELS"]);
    for (name, group) in &config.groups {
        table.add_row(vec![
            name.to_string(),
            group.service.to_string(),
            group.endpoints.clone(),
            or_none(group.keys.as_ref()),
            or_none(group.callers.as_ref()),
            labels(&group.labels),
        ]);
    }
    table
}

fn configured_endpoints(config: &Config) -> Table {
    let mut table = new(&[
        "ENDPOINT", "ADDRESS", "ZONE", "SLOTS", "CHECKS", "DRAIN", "LABELS",
    ]);
    for (name, endpoint) in &config.endpoints {
        table.add_row(vec![
            name.to_string(),
            endpoint.address.to_string(),
            endpoint.zone.to_string(),
            endpoint.slots.to_string(),
            yes_no(endpoint.checks_orders).to_owned(),
            yes_no(endpoint.drain).to_owned(),
            labels(&endpoint.labels),
        ]);
    }
    table
}

fn classes(config: &Config) -> Table {
    let mut table = new(&["CLASS", "PRIORITY", "KEPT SHARE"]);
    for (name, class) in &config.classes {
        table.add_row(vec![
            name.to_string(),
            class.priority.to_string(),
            class.kept_share.to_string(),
        ]);
    }
    table
}

fn rules(config: &Config) -> Table {
    let mut table = new(&["RULE", "SERVICE", "CALLERS", "KEYS", "CLASS"]);
    for rule in &config.rules {
        table.add_row(vec![
            rule.name.clone(),
            rule.service.to_string(),
            or_none(rule.callers.as_ref()),
            or_none(rule.keys.as_ref()),
            rule.class.to_string(),
        ]);
    }
    table
}

fn shard_row(service: &str, shard: &Shard) -> Vec<String> {
    let (state, owner, to) = match &shard.ownership {
        Ownership::Unowned => ("unowned", None, None),
        Ownership::Owned { owner } => ("owned", Some(owner), None),
        Ownership::Moving { from, to } => ("moving", Some(from), Some(to)),
    };
    vec![
        service.to_owned(),
        shard.id.to_string(),
        shard.group.to_string(),
        shard.epoch.to_string(),
        state.to_owned(),
        or_none(owner),
        or_none(to),
    ]
}

fn new(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(NOTHING).set_header(header.to_vec());
    table
}

fn finish(table: &Table) -> String {
    let mut text = table.trim_fmt();
    text.push('\n');
    text
}

fn labels(labels: &Labels) -> String {
    let mut texts = Vec::new();
    for (name, value) in labels {
        texts.push(format!("{name}={value}"));
    }
    join(&texts)
}

fn join(texts: &[String]) -> String {
    if texts.is_empty() {
        return NONE.to_owned();
    }
    texts.join(",")
}

fn or_none(value: Option<impl Display>) -> String {
    value.map_or_else(|| NONE.to_owned(), |value| value.to_string())
}

const fn yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

const fn health(health: Health) -> &'static str {
    match health {
        Health::Unknown => "unknown",
        Health::Healthy => "healthy",
        Health::Suspect => "suspect",
        Health::Lost => "lost",
    }
}

const fn listed(state: ListedState) -> &'static str {
    match state {
        ListedState::Live => "live",
        ListedState::Leaving => "leaving",
    }
}
