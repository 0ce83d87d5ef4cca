//! What the tour prints.

use std::fmt::{self, Display};
use std::time::Duration;

use super::loss::Stage;
use super::traffic::KEYS;
use crate::measure::{Gaps, Promises, Record, Tally};

/// A stage with its part of the time.
#[derive(Debug, Clone, Copy)]
pub struct Part {
    /// The stage.
    pub stage: Stage,
    /// When it began.
    pub from: Duration,
    /// When it ended.
    pub until: Duration,
}

/// What the tour found.
#[derive(Debug)]
pub struct Report<'a> {
    /// Its stages.
    pub parts: &'a [Part],
    /// All calls.
    pub records: &'a [Record],
    /// What was broken.
    pub promises: &'a Promises,
}

impl Report<'_> {
    /// Nothing ran twice, no answer was wrong, and each key was served at the end.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.promises.are_kept() && self.keys_not_served_again() == 0
    }

    /// Keys without an answer to any call of the last stage.
    fn keys_not_served_again(&self) -> usize {
        let Some(last) = self.parts.last() else {
            return KEYS as usize;
        };
        let mut served = indexmap::IndexSet::new();
        for record in self.records {
            if record.is_answered() && record.intended >= last.from {
                served.insert(&record.key);
            }
        }
        (KEYS as usize).saturating_sub(served.len())
    }

    fn write_part(&self, f: &mut fmt::Formatter<'_>, part: &Part, gaps: &Gaps) -> fmt::Result {
        let inside = |record: &&Record| (part.from..part.until).contains(&record.intended);
        let tally = Tally::of(self.records.iter().filter(inside));
        let begun = gaps.begun_in(part.from, part.until);
        let end = self.parts.last().map_or(part.until, |last| last.until);
        writeln!(
            f,
            "{:<20} {:>7} {:>9} {:>8} {:>13} {:>9} {:>6} {:>6} {:>10} {:>9.2} s",
            part.stage.title(),
            tally.calls(),
            tally.answered,
            tally.not_run,
            tally.may_have_run,
            tally.not_sent,
            tally.lost,
            tally.wrong,
            begun.keys(),
            begun.longest(end).as_secs_f64(),
        )
    }

    fn write_promises(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let promises = self.promises;
        let lines = [
            ("ran twice", promises.ran_twice.len()),
            ("wrong answers", promises.wrong_answers.len()),
            ("told \"not run\" but ran", promises.not_run_but_ran.len()),
            (
                "answered but nowhere run",
                promises.answered_but_not_ran.len(),
            ),
            ("two owners of a key at once", promises.overlaps.len()),
            ("keys not served at the end", self.keys_not_served_again()),
        ];
        for (what, count) in lines {
            writeln!(f, "{what:<30} {count:>5}")?;
        }
        f.write_str(&promises.describe_overlaps())
    }
}

impl Display for Report<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<20} {:>7} {:>9} {:>8} {:>13} {:>9} {:>6} {:>6} {:>10} {:>11}",
            "stage",
            "calls",
            "answered",
            "not run",
            "may have run",
            "not sent",
            "lost",
            "wrong",
            "keys hit",
            "longest gap",
        )?;
        let gaps = Gaps::of(self.records);
        for part in self.parts {
            self.write_part(f, part, &gaps)?;
        }
        writeln!(f)?;
        self.write_reasons(f)?;
        self.write_promises(f)
    }
}

impl Report<'_> {
    fn write_reasons(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let tally = Tally::of(self.records);
        if tally.reasons.is_empty() {
            return Ok(());
        }
        writeln!(f, "reasons:")?;
        for (reason, count) in &tally.reasons {
            writeln!(f, "  {reason:<28} {count:>5}")?;
        }
        writeln!(f)
    }
}
