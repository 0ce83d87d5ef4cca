//! What the measurement under faults found.

use std::fmt::{self, Display};

use citronway_core::request::Repeat;
use indexmap::IndexMap;
use serde::Serialize;

use super::faults::FaultKind;
use crate::measure::{Promises, Record, Tally};

/// What the measurement under faults found.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Seed of the faults.
    pub seed: u64,
    /// Length of the store's outage in seconds; absent if faults were random.
    pub outage_s: Option<u64>,
    /// Calls that were begun during the outage, or all of them.
    pub calls: Tally,
    /// Non-idempotent ones among them; each may have been sent by two callers.
    pub non_idempotent: usize,
    /// Non-idempotent requests that ran more than once, over the whole trial.
    pub ran_twice: usize,
    /// Keys that two endpoints worked on at once or in the wrong order.
    pub overlaps: usize,
    /// Requests that ran although their callers were told "not run".
    pub not_run_but_ran: usize,
    /// Answers that do not fit their calls.
    pub wrong_answers: usize,
    /// How often each fault happened.
    pub faults: IndexMap<FaultKind, u32>,
    /// The first keys with two owners at once, for people.
    pub overlaps_shown: String,
}

impl Report {
    /// Counts `counted`, and the promises broken over the whole trial.
    #[must_use]
    pub fn new(seed: u64, counted: &[&Record], promises: &Promises) -> Self {
        let once = counted
            .iter()
            .filter(|record| record.repeat == Repeat::NonIdempotent);
        Self {
            seed,
            outage_s: None,
            calls: Tally::of(counted.iter().copied()),
            non_idempotent: once.count(),
            ran_twice: promises.ran_twice.len(),
            overlaps: promises.overlaps.len(),
            not_run_but_ran: promises.not_run_but_ran.len(),
            wrong_answers: promises.wrong_answers.len(),
            faults: IndexMap::new(),
            overlaps_shown: promises.describe_overlaps(),
        }
    }

    /// Whether all promises were kept, and an outage of the store cost no call.
    #[must_use]
    pub fn is_good(&self) -> bool {
        let kept = self.ran_twice + self.overlaps + self.not_run_but_ran + self.wrong_answers == 0;
        kept && (self.outage_s.is_none() || self.calls.calls() == self.calls.answered)
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let calls = &self.calls;
        writeln!(f, "calls                      {:>8}", calls.calls())?;
        writeln!(f, "non-idempotent             {:>8}", self.non_idempotent)?;
        writeln!(f, "answered                   {:>8}", calls.answered)?;
        writeln!(f, "not run                    {:>8}", calls.not_run)?;
        writeln!(f, "not sent                   {:>8}", calls.not_sent)?;
        writeln!(f, "may have run               {:>8}", calls.may_have_run)?;
        writeln!(f, "lost with their entry      {:>8}", calls.lost)?;
        writeln!(f, "wrong answers              {:>8}", self.wrong_answers)?;
        writeln!(f, "ran twice                  {:>8}", self.ran_twice)?;
        writeln!(f, "two owners of a key        {:>8}", self.overlaps)?;
        writeln!(
            f,
            "told \"not run\" but ran     {:>8}",
            self.not_run_but_ran
        )?;
        for (reason, count) in &calls.reasons {
            writeln!(f, "  reason {reason:<24} {count:>8}")?;
        }
        for (fault, count) in &self.faults {
            writeln!(f, "  fault {fault:<25?} {count:>8}")?;
        }
        f.write_str(&self.overlaps_shown)
    }
}
