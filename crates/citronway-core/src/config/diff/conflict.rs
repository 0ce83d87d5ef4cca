//! A change that was refused because another one came first.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::super::model::Config;
use super::{Difference, diff};
use crate::ids::Version;

/// Two operators changed the same version; this one came second.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{}", self.text())]
pub struct Conflict {
    /// Version that the refused change was made from.
    pub seen: Version,
    /// Version that is stored.
    pub found: Version,
    /// What others changed since; `None` if the seen version is not known any more.
    pub theirs: Option<Vec<Difference>>,
    /// What the refused change would have changed: of the seen version if that
    /// is known, of the stored one otherwise.
    pub yours: Vec<Difference>,
}

impl Conflict {
    /// Compares all three configurations.
    #[must_use]
    pub fn new(
        (seen, base): (Version, Option<&Config>),
        (found, stored): (Version, &Config),
        wanted: &Config,
    ) -> Self {
        Self {
            seen,
            found,
            theirs: base.map(|base| diff(base, stored)),
            yours: diff(base.unwrap_or(stored), wanted),
        }
    }

    fn text(&self) -> String {
        let mut lines = vec![format!(
            "made from version {}, but version {} is stored; nothing was changed",
            self.seen, self.found
        )];
        match &self.theirs {
            Some(theirs) => {
                lines.push("changed since:".to_owned());
                lines.extend(theirs.iter().map(ToString::to_string));
                lines.push("refused:".to_owned());
            }
            None => lines.push("refused, compared with what is stored:".to_owned()),
        }
        lines.extend(self.yours.iter().map(ToString::to_string));
        lines.join("\n")
    }
}
