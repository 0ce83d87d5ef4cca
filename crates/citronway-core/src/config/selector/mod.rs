//! Label selectors: requirements on labels that must all hold.

mod contradiction;
mod cover;
mod parse;
mod problem;
mod subject;
mod token;

use std::fmt;

use indexmap::IndexSet;

use super::names::is_value_byte;
use crate::ids::Key;
use crate::request::Labels;

pub use problem::{SelectorError, SelectorProblem};
pub use subject::{Over, Subject};

/// Requirements that must all hold.
#[derive(Debug, Clone)]
pub struct Selector {
    terms: Vec<Term>,
}

/// A requirement and where it begins.
#[derive(Debug, Clone)]
struct Term {
    requirement: Requirement,
    column: usize,
}

/// What one label must be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Requirement {
    /// Name of the label.
    pub label: String,
    /// What it must be.
    pub test: Test,
}

/// Test of one label.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Test {
    /// Present, with one of the values.
    In(IndexSet<String>),
    /// Absent, or with none of the values.
    NotIn(IndexSet<String>),
    /// Present.
    Exists,
    /// Absent.
    Absent,
}

impl Selector {
    /// Reads the text of a selector.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong with the syntax, and its column.
    pub fn parse(text: &str) -> Result<Self, SelectorError> {
        parse::selector(text)
    }

    /// Whether all requirements hold.
    #[must_use]
    pub fn matches(&self, subject: Subject<'_>) -> bool {
        self.requirements().all(|r| r.holds(subject))
    }

    /// Whether all requirements hold for the labels.
    #[must_use]
    pub fn matches_labels(&self, labels: &Labels) -> bool {
        self.matches(Subject::Labels(labels))
    }

    /// Whether all requirements hold for the key.
    #[must_use]
    pub fn matches_key(&self, key: &Key) -> bool {
        self.matches(Subject::Key(key.as_str()))
    }

    /// Requirements in order.
    pub fn requirements(&self) -> impl Iterator<Item = &Requirement> {
        self.terms.iter().map(|term| &term.requirement)
    }

    /// Requirements in order, each with the column where it begins.
    pub fn located(&self) -> impl Iterator<Item = (&Requirement, usize)> {
        self.terms
            .iter()
            .map(|term| (&term.requirement, term.column))
    }

    /// Why the selector can match nothing, if that shows from its text alone.
    #[must_use]
    pub fn contradiction(&self, over: Over) -> Option<SelectorError> {
        contradiction::find(self, over)
    }

    /// Whether it matches everything that `other` matches, as far as their texts show.
    #[must_use]
    pub fn covers(&self, other: &Self, over: Over) -> bool {
        cover::covers(self, other, over)
    }

    /// Whether it matches everything, as far as its text shows.
    #[must_use]
    pub fn matches_all(&self, over: Over) -> bool {
        self.requirements().all(|r| cover::always_holds(r, over))
    }
}

/// Where the requirements stand in the text makes no difference.
impl PartialEq for Selector {
    fn eq(&self, other: &Self) -> bool {
        self.requirements().eq(other.requirements())
    }
}

impl Eq for Selector {}

impl Requirement {
    /// Whether the subject's label is what it must be.
    #[must_use]
    pub fn holds(&self, subject: Subject<'_>) -> bool {
        let value = subject.get(&self.label);
        match &self.test {
            Test::In(values) => value.is_some_and(|value| values.contains(value)),
            Test::NotIn(values) => value.is_none_or(|value| !values.contains(value)),
            Test::Exists => value.is_some(),
            Test::Absent => value.is_none(),
        }
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, requirement) in self.requirements().enumerate() {
            if index > 0 {
                f.write_str(",")?;
            }
            requirement.fmt(f)?;
        }
        Ok(())
    }
}

impl fmt::Display for Requirement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let label = &self.label;
        match &self.test {
            Test::In(values) => write_values(f, label, "=", "in", values),
            Test::NotIn(values) => write_values(f, label, "!=", "notin", values),
            Test::Exists => f.write_str(label),
            Test::Absent => write!(f, "!{label}"),
        }
    }
}

fn write_values(
    f: &mut fmt::Formatter<'_>,
    label: &str,
    one: &str,
    several: &str,
    values: &IndexSet<String>,
) -> fmt::Result {
    if values.len() == 1 {
        write!(f, "{label}{one}")?;
        return write_value(f, &values[0]);
    }
    write!(f, "{label} {several} (")?;
    for (index, value) in values.iter().enumerate() {
        if index > 0 {
            f.write_str(",")?;
        }
        write_value(f, value)?;
    }
    f.write_str(")")
}

fn write_value(f: &mut fmt::Formatter<'_>, value: &str) -> fmt::Result {
    if !value.is_empty() && value.bytes().all(is_value_byte) {
        return f.write_str(value);
    }
    let escaped = value.replace('\\', "\\\\").replace('"', "\\\"");
    write!(f, "\"{escaped}\"")
}
