//! What can be wrong with a selector.

use thiserror::Error;

/// Something wrong with a selector, and where.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("column {column}: {problem}")]
pub struct SelectorError {
    /// Column in the text, in characters from 1.
    pub column: usize,
    /// What is wrong there.
    pub problem: SelectorProblem,
}

/// What is wrong with a selector.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SelectorProblem {
    /// No text, or only white space.
    #[error("empty selector")]
    Empty,
    /// Longer than selectors may be.
    #[error("selector is too long")]
    TooLong,
    /// A character that has no place in a selector.
    #[error("character `{0}` has no place here")]
    BadCharacter(char),
    /// A quoted value that does not end.
    #[error("quote does not end")]
    OpenQuote,
    /// Something other than a label's name.
    #[error("no label name here")]
    NoLabel,
    /// A word that has not the form of a label's name.
    #[error("`{0}` is not a label name")]
    BadLabel(String),
    /// Something other than an operator or a comma after a label.
    #[error("no operator or comma here")]
    NoOperator,
    /// Something other than a value.
    #[error("no value here")]
    NoValue,
    /// No `(` after `in` or `notin`.
    #[error("no `(` here")]
    NoOpening,
    /// Neither `,` nor `)` after a value of a set.
    #[error("no `,` or `)` here")]
    NoClosing,
    /// A set without values.
    #[error("empty set of values")]
    EmptySet,
    /// Neither comma nor end after a requirement.
    #[error("no comma here")]
    NoComma,
    /// The requirements exclude each other, or one of them is never met.
    #[error("can never match, because of what it requires of `{0}`")]
    Contradiction(String),
    /// A label that nothing has.
    #[error("nothing has a label `{0}`")]
    UnknownLabel(String),
    /// Nothing matches at present.
    #[error("matches no endpoint")]
    MatchesNone,
}

impl SelectorProblem {
    /// What would be right.
    #[must_use]
    pub const fn expected(&self) -> &'static str {
        match self {
            Self::Empty => "at least one requirement, such as `app=console`; leave it out for all",
            Self::TooLong => "at most 4096 characters",
            Self::BadCharacter(_) => {
                "names, values, `=`, `!=`, `in`, `notin`, `!`, `,`; quote other text"
            }
            Self::OpenQuote => "a `\"` at the end of the value",
            Self::NoLabel | Self::BadLabel(_) => {
                "a label name: 1 to 63 of a-z, 0-9, `-`, `_` and `.`"
            }
            Self::NoOperator => "`=`, `!=`, `in (..)`, `notin (..)`, `,` or the end",
            Self::NoValue => "a value of A-Z, a-z, 0-9, `-`, `_`, `.`, `:`, `/`, or one in quotes",
            Self::NoOpening => "values in round brackets, such as `app in (console,batch)`",
            Self::NoClosing => "`,` and another value, or `)`",
            Self::EmptySet => "at least one value between `(` and `)`",
            Self::NoComma => "`,` and another requirement, or the end",
            Self::Contradiction(_) => "requirements that can hold together",
            Self::UnknownLabel(_) => "a label that something has",
            Self::MatchesNone => "a selector that at least one endpoint matches",
        }
    }
}
