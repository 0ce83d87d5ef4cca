//! What selectors are matched against.

use crate::request::Labels;

/// Label that holds the whole text of a key.
const KEY: &str = "key";

/// Start of the labels that hold the parts of a key between `/`.
const PART: &str = "part";

/// What a selector is matched against.
#[derive(Debug, Clone, Copy)]
pub enum Subject<'a> {
    /// Labels of a caller or an endpoint.
    Labels(&'a Labels),
    /// A key, whose labels are derived from its text: `key` is the whole text,
    /// `part0`, `part1` and so on its parts between `/`.
    Key(&'a str),
}

impl<'a> Subject<'a> {
    /// Value of a label.
    #[must_use]
    pub fn get(self, label: &str) -> Option<&'a str> {
        match self {
            Self::Labels(labels) => labels.get(label).map(String::as_str),
            Self::Key(text) if label == KEY => Some(text),
            Self::Key(text) => text.split('/').nth(part_index(label)?),
        }
    }
}

/// Kind of subject that a selector is written for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Over {
    /// Labels of callers or endpoints; any may be absent.
    Labels,
    /// Keys.
    Keys,
}

impl Over {
    /// Whether a subject can have the label.
    #[must_use]
    pub fn knows(self, label: &str) -> bool {
        match self {
            Self::Labels => true,
            Self::Keys => label == KEY || part_index(label).is_some(),
        }
    }

    /// Whether every subject has the label.
    pub(super) fn always_has(self, label: &str) -> bool {
        match self {
            Self::Labels => false,
            Self::Keys => label == KEY || part_index(label) == Some(0),
        }
    }

    /// Whether the label of some subject can have the value.
    pub(super) fn can_have(self, label: &str, value: &str) -> bool {
        match self {
            Self::Labels => true,
            Self::Keys => label == KEY || !value.contains('/'),
        }
    }
}

/// Whether the label is that of a whole key.
pub(super) fn is_whole_key(label: &str) -> bool {
    label == KEY
}

/// Number of the part that the label names; `part01` names none.
pub(super) fn part_index(label: &str) -> Option<usize> {
    let digits = label.strip_prefix(PART)?;
    let index = digits.parse::<usize>().ok()?;
    (index.to_string() == digits).then_some(index)
}
