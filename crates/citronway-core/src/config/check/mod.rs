//! Checks a configuration as a whole, before it is accepted.

mod endpoints;
mod groups;
mod rules;
mod selectors;
mod services;

use super::model::Config;
use super::names::{NAME_FORM, VALUE_FORM, is_label_value, is_name};
use crate::findings::{Finding, Findings, Kind, Place, Problem};
use crate::request::Labels;

/// Checks everything and collects all that is wrong.
#[must_use]
pub fn check(cfg: &Config) -> Findings {
    let mut findings = Findings::new();
    services::check(cfg, &mut findings);
    groups::check(cfg, &mut findings);
    services::check_classes(cfg, &mut findings);
    endpoints::check(cfg, &mut findings);
    rules::check(cfg, &mut findings);
    findings
}

fn push(findings: &mut Findings, path: &str, problem: Problem, expected: impl Into<String>) {
    findings.push(Finding::new(Place::new(path), problem, expected));
}

fn check_name(findings: &mut Findings, path: &str, name: &str) {
    if is_name(name) {
        return;
    }
    push(
        findings,
        path,
        Problem::NotAName(name.to_owned()),
        NAME_FORM,
    );
}

fn check_labels(findings: &mut Findings, path: &str, labels: &Labels) {
    for (label, value) in labels {
        let path = format!("{path}.labels.{label}");
        check_name(findings, &path, label);
        if is_label_value(value) {
            continue;
        }
        let problem = Problem::NotALabelValue(value.clone());
        push(findings, &path, problem, VALUE_FORM);
    }
}

fn check_known(findings: &mut Findings, path: &str, kind: Kind, name: &str, known: bool) {
    if known {
        return;
    }
    let problem = Problem::Dangling {
        kind,
        name: name.to_owned(),
    };
    push(
        findings,
        path,
        problem,
        format!("name of a {kind} that exists"),
    );
}

fn check_range(findings: &mut Findings, path: &str, value: u64, min: u64, max: u64) {
    if (min..=max).contains(&value) {
        return;
    }
    let problem = Problem::OutOfRange(value.to_string());
    push(findings, path, problem, format!("from {min} to {max}"));
}
