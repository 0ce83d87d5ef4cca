//! Tells from two selectors' texts whether one matches all that the other does.

use super::subject::Over;
use super::{Requirement, Selector, Test};

/// Whether each requirement of `wide` follows from one of `narrow`.
///
/// `false` says nothing: there may be reasons that the texts do not show.
pub(super) fn covers(wide: &Selector, narrow: &Selector, over: Over) -> bool {
    wide.requirements().all(|wanted| {
        always_holds(wanted, over) || narrow.requirements().any(|given| follows(wanted, given))
    })
}

/// Whether the requirement holds for every subject.
pub(super) fn always_holds(requirement: &Requirement, over: Over) -> bool {
    let label = requirement.label.as_str();
    match &requirement.test {
        Test::In(_) | Test::Absent => false,
        Test::NotIn(values) => values.iter().all(|value| !over.can_have(label, value)),
        Test::Exists => over.always_has(label),
    }
}

/// Whether `wanted` holds wherever `given` does.
fn follows(wanted: &Requirement, given: &Requirement) -> bool {
    if wanted.label != given.label {
        return false;
    }
    match (&wanted.test, &given.test) {
        (Test::Exists, Test::Exists | Test::In(_))
        | (Test::Absent | Test::NotIn(_), Test::Absent) => true,
        (Test::In(wide), Test::In(narrow)) => narrow.is_subset(wide),
        (Test::NotIn(denied), Test::In(values)) => values.is_disjoint(denied),
        (Test::NotIn(few), Test::NotIn(many)) => few.is_subset(many),
        _ => false,
    }
}
