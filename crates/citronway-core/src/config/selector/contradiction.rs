//! Finds selectors that can match nothing.

use indexmap::{IndexMap, IndexSet};

use super::problem::{SelectorError, SelectorProblem};
use super::subject::{Over, Subject, is_whole_key, part_index};
use super::{Requirement, Selector, Test};

/// What all requirements up to one say of a label together.
#[derive(Debug, Default)]
struct Demand<'a> {
    present: bool,
    absent: bool,
    allowed: Option<IndexSet<&'a str>>,
    denied: IndexSet<&'a str>,
}

/// The first requirement that cannot hold together with those before it.
pub(super) fn find(selector: &Selector, over: Over) -> Option<SelectorError> {
    let mut demands = IndexMap::<&str, Demand<'_>>::new();
    for (requirement, column) in selector.located() {
        let label = requirement.label.as_str();
        let demand = demands.entry(label).or_default();
        demand.add(requirement);
        if demand.can_be_met(label, over) && parts_agree(&demands, over) {
            continue;
        }
        return Some(error(label, column));
    }
    no_listed_key(selector, &demands, over)
}

impl<'a> Demand<'a> {
    fn add(&mut self, requirement: &'a Requirement) {
        match &requirement.test {
            Test::In(values) => self.allow(values),
            Test::NotIn(values) => self.denied.extend(values.iter().map(String::as_str)),
            Test::Exists => self.present = true,
            Test::Absent => self.absent = true,
        }
    }

    fn allow(&mut self, values: &'a IndexSet<String>) {
        self.present = true;
        let values = values.iter().map(String::as_str);
        self.allowed = Some(match self.allowed.take() {
            None => values.collect(),
            Some(before) => values.filter(|value| before.contains(value)).collect(),
        });
    }

    fn can_be_met(&self, label: &str, over: Over) -> bool {
        if self.absent && (self.present || over.always_has(label)) {
            return false;
        }
        let Some(allowed) = &self.allowed else {
            return true;
        };
        allowed
            .iter()
            .any(|value| !self.denied.contains(value) && over.can_have(label, value))
    }
}

/// A key that has a part has all parts before it.
fn parts_agree(demands: &IndexMap<&str, Demand<'_>>, over: Over) -> bool {
    if over == Over::Labels {
        return true;
    }
    let last_present = parts(demands, |demand| demand.present).max();
    let first_absent = parts(demands, |demand| demand.absent).min();
    match (last_present, first_absent) {
        (Some(present), Some(absent)) => present < absent,
        _ => true,
    }
}

fn parts<'a>(
    demands: &'a IndexMap<&str, Demand<'a>>,
    wanted: impl Fn(&Demand<'a>) -> bool + 'a,
) -> impl Iterator<Item = usize> + 'a {
    demands
        .iter()
        .filter(move |(_, demand)| wanted(demand))
        .filter_map(|(label, _)| part_index(label))
}

/// When whole keys are listed, one of them must meet what is said of the parts.
fn no_listed_key(
    selector: &Selector,
    demands: &IndexMap<&str, Demand<'_>>,
    over: Over,
) -> Option<SelectorError> {
    if over == Over::Labels {
        return None;
    }
    let (label, demand) = demands.iter().find(|(label, _)| is_whole_key(label))?;
    let listed = demand.allowed.as_ref()?;
    if listed.iter().any(|key| selector.matches(Subject::Key(key))) {
        return None;
    }
    let (_, column) = selector.located().find(|(r, _)| r.label == **label)?;
    Some(error(label, column))
}

fn error(label: &str, column: usize) -> SelectorError {
    SelectorError {
        column,
        problem: SelectorProblem::Contradiction(label.to_owned()),
    }
}
