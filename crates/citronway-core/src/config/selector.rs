//! Label selectors.

use thiserror::Error;

/// What is wrong with a selector.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SelectorProblem {
    /// No text, or only white space.
    #[error("empty selector")]
    Empty,
}
