//! Checks services and classes of work.

use super::super::model::{Config, Service, Weights};
use super::{check_known, check_labels, check_name, check_range, push};
use crate::findings::{Findings, Kind, Problem};
use crate::ids::ServiceName;

/// Most ranges that the key space of a group is cut into.
pub const MAX_SHARDS: u32 = 4096;

/// Most of all kept shares together, in hundredths of an endpoint's slots.
const WHOLE: u64 = 100;

/// Checks services.
pub(super) fn check(cfg: &Config, findings: &mut Findings) {
    for (name, service) in &cfg.services {
        let path = format!("services.{name}");
        check_name(findings, &path, name.as_str());
        check_labels(findings, &path, &service.labels);
        check_service(cfg, findings, &path, service);
        check_has_group(cfg, findings, &path, name);
    }
}

/// Checks classes.
pub(super) fn check_classes(cfg: &Config, findings: &mut Findings) {
    let mut sum = 0;
    for (name, class) in &cfg.classes {
        let path = format!("classes.{name}");
        check_name(findings, &path, name.as_str());
        let share = u64::from(class.kept_share);
        check_range(findings, &format!("{path}.kept_share"), share, 0, WHOLE);
        sum += share;
    }
    if sum > WHOLE {
        let problem = Problem::SumTooHigh { sum };
        push(
            findings,
            "classes",
            problem,
            "kept shares of at most 100 in all",
        );
    }
}

fn check_service(cfg: &Config, findings: &mut Findings, path: &str, service: &Service) {
    let shards = u64::from(service.shards);
    let max = u64::from(MAX_SHARDS);
    check_range(findings, &format!("{path}.shards"), shards, 1, max);
    let class = &service.default_class;
    let known = cfg.classes.contains_key(class);
    let class_path = format!("{path}.default_class");
    check_known(findings, &class_path, Kind::Class, class.as_str(), known);
    check_weights(findings, path, service.weights);
}

fn check_has_group(cfg: &Config, findings: &mut Findings, path: &str, name: &ServiceName) {
    if cfg.groups.values().any(|group| group.service == *name) {
        return;
    }
    push(
        findings,
        path,
        Problem::Missing,
        "at least one group of the service",
    );
}

fn check_weights(findings: &mut Findings, path: &str, weights: Weights) {
    let all = [
        ("imbalance", weights.imbalance),
        ("churn", weights.churn),
        ("unavailable", weights.unavailable),
    ];
    for (name, weight) in all {
        if weight.is_finite() && weight >= 0.0 {
            continue;
        }
        let path = format!("{path}.weights.{name}");
        let problem = Problem::OutOfRange(weight.to_string());
        push(findings, &path, problem, "a finite number, not below 0");
    }
    if all.iter().all(|(_, weight)| *weight == 0.0) {
        let path = format!("{path}.weights");
        let problem = Problem::OutOfRange("0".to_owned());
        push(findings, &path, problem, "at least one weight above 0");
    }
}
