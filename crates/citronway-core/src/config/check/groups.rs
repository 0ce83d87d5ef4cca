//! Checks groups of endpoints.

use super::super::model::{Config, Group};
use super::super::selector::{Over, Selector, SelectorError, SelectorProblem};
use super::selectors::{self, Reach};
use super::{check_known, check_labels, check_name, push};
use crate::findings::{Findings, Kind, Problem};
use crate::ids::{GroupName, ServiceName};

/// Which keys an earlier group takes.
struct Taken<'a> {
    group: &'a GroupName,
    service: &'a ServiceName,
    keys: Reach,
}

/// Checks groups.
pub(super) fn check(cfg: &Config, findings: &mut Findings) {
    let mut earlier = Vec::<Taken<'_>>::new();
    for (name, group) in &cfg.groups {
        let path = format!("groups.{name}");
        check_name(findings, &path, name.as_str());
        check_labels(findings, &path, &group.labels);
        check_service(cfg, findings, &path, group);
        check_endpoints(cfg, findings, &path, group);
        let callers = group.callers.as_deref();
        selectors::read_optional(findings, &format!("{path}.callers"), callers, Over::Labels);
        let keys_path = format!("{path}.keys");
        let keys = group.keys.as_deref();
        let Some(keys) = selectors::read_optional(findings, &keys_path, keys, Over::Keys) else {
            continue;
        };
        let taken = Taken {
            group: name,
            service: &group.service,
            keys,
        };
        check_reached(findings, &keys_path, &taken, &earlier);
        earlier.push(taken);
    }
}

fn check_service(cfg: &Config, findings: &mut Findings, path: &str, group: &Group) {
    let known = cfg.services.contains_key(&group.service);
    let path = format!("{path}.service");
    check_known(
        findings,
        &path,
        Kind::Service,
        group.service.as_str(),
        known,
    );
}

fn check_endpoints(cfg: &Config, findings: &mut Findings, path: &str, group: &Group) {
    let path = format!("{path}.endpoints");
    let Some(selector) = selectors::read(findings, &path, &group.endpoints, Over::Labels) else {
        return;
    };
    selectors::check_labels(findings, &path, &selector, |label| has_label(cfg, label));
    if findings.at(&path) || matches_any(cfg, &selector) {
        return;
    }
    let problem = SelectorProblem::MatchesNone;
    selectors::push(findings, &path, SelectorError { column: 1, problem });
}

fn has_label(cfg: &Config, label: &str) -> bool {
    cfg.endpoints
        .values()
        .any(|endpoint| endpoint.labels.contains_key(label))
}

fn matches_any(cfg: &Config, selector: &Selector) -> bool {
    cfg.endpoints
        .values()
        .any(|endpoint| selector.matches_labels(&endpoint.labels))
}

/// A key belongs to the first group that matches, so one behind a wider group gets none.
fn check_reached(findings: &mut Findings, path: &str, taken: &Taken<'_>, earlier: &[Taken<'_>]) {
    for before in earlier {
        if before.service != taken.service || !before.keys.covers(&taken.keys, Over::Keys) {
            continue;
        }
        let problem = Problem::Unreachable {
            earlier: format!("groups.{}.keys", before.group),
        };
        push(findings, path, problem, "the narrower selector first");
        return;
    }
}
