//! Checks selectors.

use super::super::selector::{Over, Selector, SelectorError, SelectorProblem};
use crate::findings::{Finding, Findings, Place, Problem};

/// Reads a selector and reports what is wrong with it by itself.
pub(super) fn read(
    findings: &mut Findings,
    path: &str,
    text: &str,
    over: Over,
) -> Option<Selector> {
    let selector = match Selector::parse(text) {
        Ok(selector) => selector,
        Err(error) => {
            push(findings, path, error);
            return None;
        }
    };
    if let Some(error) = selector.contradiction(over) {
        push(findings, path, error);
    }
    check_labels(findings, path, &selector, |label| over.knows(label));
    Some(selector)
}

/// Reads a selector that may be absent, which matches everything.
pub(super) fn read_optional(
    findings: &mut Findings,
    path: &str,
    text: Option<&str>,
    over: Over,
) -> Option<Reach> {
    let Some(text) = text else {
        return Some(Reach::All);
    };
    read(findings, path, text, over).map(Reach::Selected)
}

/// Reports labels that nothing has, each with its place.
pub(super) fn check_labels(
    findings: &mut Findings,
    path: &str,
    selector: &Selector,
    known: impl Fn(&str) -> bool,
) {
    for (requirement, column) in selector.located() {
        if known(&requirement.label) {
            continue;
        }
        let problem = SelectorProblem::UnknownLabel(requirement.label.clone());
        push(findings, path, SelectorError { column, problem });
    }
}

/// Reports an error of the selector at the path.
pub(super) fn push(findings: &mut Findings, path: &str, error: SelectorError) {
    let place = Place::new(path).column(error.column);
    let expected = error.problem.expected();
    findings.push(Finding::new(
        place,
        Problem::Selector(error.problem),
        expected,
    ));
}

/// What an optional selector reaches.
#[derive(Debug)]
pub(super) enum Reach {
    /// Everything.
    All,
    /// What the selector matches.
    Selected(Selector),
}

impl Reach {
    /// Whether it reaches all that `other` reaches, as far as their texts show.
    pub(super) fn covers(&self, other: &Self, over: Over) -> bool {
        match (self, other) {
            (Self::All, _) => true,
            (Self::Selected(wide), Self::All) => wide.matches_all(over),
            (Self::Selected(wide), Self::Selected(narrow)) => wide.covers(narrow, over),
        }
    }
}
