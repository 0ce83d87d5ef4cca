//! Verdicts, counted.

use indexmap::IndexMap;
use serde::Serialize;

use super::record::Record;
use crate::caller::Verdict;

/// Verdicts, counted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// Whole answers to the right calls.
    pub answered: u64,
    /// Said not to have run.
    pub not_run: u64,
    /// Said that they may have run.
    pub may_have_run: u64,
    /// No connection to the entry.
    pub not_sent: u64,
    /// The entry did not answer.
    pub lost: u64,
    /// Answers that do not fit their calls.
    pub wrong: u64,
    /// How often each reason was given for `not_run` and `may_have_run`.
    pub reasons: IndexMap<String, u64>,
}

impl Tally {
    /// Counts the verdicts of all records.
    pub fn of<'a>(records: impl IntoIterator<Item = &'a Record>) -> Self {
        let mut tally = Self::default();
        for record in records {
            tally.add(&record.verdict);
        }
        tally
    }

    /// All calls.
    #[must_use]
    pub const fn calls(&self) -> u64 {
        self.answered + self.not_run + self.may_have_run + self.not_sent + self.lost + self.wrong
    }

    fn add(&mut self, verdict: &Verdict) {
        match verdict {
            Verdict::Answered { .. } => self.answered += 1,
            Verdict::NotRun(unanswered) => {
                self.not_run += 1;
                self.add_reason(&unanswered.reason);
            }
            Verdict::MayHaveRun(unanswered) => {
                self.may_have_run += 1;
                self.add_reason(&unanswered.reason);
            }
            Verdict::NotSent => self.not_sent += 1,
            Verdict::Lost => self.lost += 1,
            Verdict::Wrong(_) => self.wrong += 1,
        }
    }

    fn add_reason(&mut self, reason: &str) {
        *self.reasons.entry(reason.to_owned()).or_default() += 1;
    }
}
