//! Findings of a check: collected with their place and reported together.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::config::selector::SelectorProblem;

/// Where something was found.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Place {
    /// File, for settings.
    pub file: Option<String>,
    /// Path of the value, such as `groups.console.endpoints` or `hold.ask_ms`.
    pub path: String,
    /// Line in the file, from 1.
    pub line: Option<usize>,
    /// Column in the value, in characters from 1.
    pub column: Option<usize>,
}

impl Place {
    /// Names a value by its path.
    #[must_use]
    pub fn new(path: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            ..Self::default()
        }
    }

    /// Adds the column in the value, in characters from 1.
    #[must_use]
    pub const fn column(mut self, column: usize) -> Self {
        self.column = Some(column);
        self
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(file) = &self.file {
            write!(f, "{file}:")?;
        }
        if let Some(line) = self.line {
            write!(f, "{line}:")?;
        }
        if self.file.is_some() || self.line.is_some() {
            f.write_str(" ")?;
        }
        f.write_str(&self.path)?;
        let Some(column) = self.column else {
            return Ok(());
        };
        write!(f, " column {column}")
    }
}

/// What is wrong. Never holds the text of a secret.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Problem {
    /// A file cannot be read.
    #[error("cannot be read: {0}")]
    Unreadable(String),
    /// A line or a value does not have the form of its kind.
    #[error("malformed")]
    Malformed,
    /// No section of this name exists.
    #[error("unknown section")]
    UnknownSection,
    /// No key of this name exists in the section.
    #[error("unknown key")]
    UnknownKey,
    /// A required value is absent.
    #[error("missing")]
    Missing,
    /// Present but empty.
    #[error("empty")]
    Empty,
    /// Stated more than once.
    #[error("stated more than once")]
    Repeated,
    /// Stated although another value excludes it.
    #[error("excluded by `{0}`")]
    Excluded(String),
    /// Not a whole number.
    #[error("`{0}` is not a whole number")]
    NotANumber(String),
    /// Outside its range.
    #[error("{0} is out of range")]
    OutOfRange(String),
    /// Not an IP number and port.
    #[error("`{0}` is not an IP number and port")]
    NotAnAddress(String),
    /// Not one of a closed set of words.
    #[error("`{0}` is not known")]
    UnknownWord(String),
    /// Does not have the form of a name.
    #[error("`{0}` is not a name")]
    NotAName(String),
    /// Does not have the form of a label's value.
    #[error("`{0}` is not a label value")]
    NotALabelValue(String),
    /// Two values do not go together.
    #[error("does not go with `{other}`")]
    Clash {
        /// Path of the other value.
        other: String,
    },
    /// Too short to be safe; the text itself is never shown.
    #[error("too short")]
    SecretTooShort,
    /// Names something that does not exist.
    #[error("there is no {kind} `{name}`")]
    Dangling {
        /// Kind of thing.
        kind: Kind,
        /// Name that leads nowhere.
        name: String,
    },
    /// Something of this name exists already.
    #[error("{kind} `{name}` exists already")]
    Exists {
        /// Kind of thing.
        kind: Kind,
        /// Its name.
        name: String,
    },
    /// Two endpoints have the same address.
    #[error("address {address} is already that of `{other}`")]
    SameAddress {
        /// The address.
        address: String,
        /// Endpoint that has it too.
        other: String,
    },
    /// Something earlier matches everything that this matches.
    #[error("never reached, because `{earlier}` matches all that it matches")]
    Unreachable {
        /// Path of what comes first.
        earlier: String,
    },
    /// A sum is above its limit.
    #[error("the sum is {sum}")]
    SumTooHigh {
        /// The sum.
        sum: u64,
    },
    /// A selector is wrong.
    #[error(transparent)]
    Selector(#[from] SelectorProblem),
}

/// Kinds of things in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A service.
    Service,
    /// A group of endpoints.
    Group,
    /// A class of work.
    Class,
    /// An endpoint.
    Endpoint,
    /// A rule.
    Rule,
    /// A label of something.
    Label,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Service => "service",
            Self::Group => "group",
            Self::Class => "class",
            Self::Endpoint => "endpoint",
            Self::Rule => "rule",
            Self::Label => "label",
        })
    }
}

/// One finding.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize)]
#[error("{place}: {problem}; expected {expected}")]
#[serde(into = "FindingText")]
pub struct Finding {
    /// Where.
    pub place: Place,
    /// What is wrong.
    pub problem: Problem,
    /// What would be right.
    pub expected: String,
}

impl Finding {
    /// States what is wrong at `place` and what would be right.
    #[must_use]
    pub fn new(place: Place, problem: Problem, expected: impl Into<String>) -> Self {
        Self {
            place,
            problem,
            expected: expected.into(),
        }
    }
}

/// A finding as it crosses processes: its parts as text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindingText {
    /// Where.
    pub place: String,
    /// What is wrong.
    pub problem: String,
    /// What would be right.
    pub expected: String,
}

impl From<Finding> for FindingText {
    fn from(finding: Finding) -> Self {
        Self {
            place: finding.place.to_string(),
            problem: finding.problem.to_string(),
            expected: finding.expected,
        }
    }
}

/// All findings of a check, in order; displayed one a line.
#[derive(Debug, Clone, PartialEq, Eq, Default, Error, Serialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// No findings.
    #[must_use]
    pub const fn new() -> Self {
        Self(Vec::new())
    }

    /// Adds a finding.
    pub fn push(&mut self, finding: Finding) {
        self.0.push(finding);
    }

    /// Adds all findings of another check.
    pub fn append(&mut self, other: Self) {
        self.0.extend(other.0);
    }

    /// Findings in order.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.0.iter()
    }

    /// Whether nothing was found.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// How many there are.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether something was found at the path.
    #[must_use]
    pub fn at(&self, path: &str) -> bool {
        self.0.iter().any(|finding| finding.place.path == path)
    }

    /// Gives the value if nothing was found.
    ///
    /// # Errors
    ///
    /// The findings, if there are any.
    pub fn or_ok<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl From<Finding> for Findings {
    fn from(finding: Finding) -> Self {
        Self(vec![finding])
    }
}

impl<'a> IntoIterator for &'a Findings {
    type Item = &'a Finding;
    type IntoIter = std::slice::Iter<'a, Finding>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            finding.fmt(f)?;
        }
        Ok(())
    }
}
