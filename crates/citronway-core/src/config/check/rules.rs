//! Checks the rules that class work.

use super::super::model::{Config, Rule};
use super::super::selector::Over;
use super::selectors::{self, Reach};
use super::{check_known, check_name, push};
use crate::findings::{Findings, Kind, Problem};

/// Which requests an earlier rule takes.
struct Taken<'a> {
    rule: &'a Rule,
    callers: Reach,
    keys: Reach,
}

impl Taken<'_> {
    fn covers(&self, later: &Self) -> bool {
        self.rule.service == later.rule.service
            && self.callers.covers(&later.callers, Over::Labels)
            && self.keys.covers(&later.keys, Over::Keys)
    }
}

/// Checks rules.
pub(super) fn check(cfg: &Config, findings: &mut Findings) {
    let mut earlier = Vec::<Taken<'_>>::new();
    for (index, rule) in cfg.rules.iter().enumerate() {
        let path = format!("rules.{}", rule.name);
        check_name(findings, &path, &rule.name);
        if cfg.rules[..index]
            .iter()
            .any(|other| other.name == rule.name)
        {
            push(findings, &path, Problem::Repeated, "a name of its own");
        }
        check_references(cfg, findings, &path, rule);
        let Some(taken) = read(findings, &path, rule) else {
            continue;
        };
        check_reached(findings, &path, &taken, &earlier);
        earlier.push(taken);
    }
}

fn check_references(cfg: &Config, findings: &mut Findings, path: &str, rule: &Rule) {
    let service = &rule.service;
    let known = cfg.services.contains_key(service);
    let service_path = format!("{path}.service");
    check_known(
        findings,
        &service_path,
        Kind::Service,
        service.as_str(),
        known,
    );
    let known = cfg.classes.contains_key(&rule.class);
    let class_path = format!("{path}.class");
    check_known(
        findings,
        &class_path,
        Kind::Class,
        rule.class.as_str(),
        known,
    );
}

fn read<'a>(findings: &mut Findings, path: &str, rule: &'a Rule) -> Option<Taken<'a>> {
    let callers = rule.callers.as_deref();
    let callers_path = format!("{path}.callers");
    let callers = selectors::read_optional(findings, &callers_path, callers, Over::Labels);
    let keys = rule.keys.as_deref();
    let keys_path = format!("{path}.keys");
    let keys = selectors::read_optional(findings, &keys_path, keys, Over::Keys);
    Some(Taken {
        rule,
        callers: callers?,
        keys: keys?,
    })
}

fn check_reached(findings: &mut Findings, path: &str, taken: &Taken<'_>, earlier: &[Taken<'_>]) {
    for before in earlier {
        if !before.covers(taken) {
            continue;
        }
        let problem = Problem::Unreachable {
            earlier: format!("rules.{}", before.rule.name),
        };
        push(findings, path, problem, "the narrower rule first");
        return;
    }
}
