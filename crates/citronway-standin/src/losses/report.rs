//! What the measurement of losses found.

use std::fmt::{self, Display};

use serde::Serialize;

use super::spread::Spread;
use crate::measure::{Promises, Record, Tally};

/// What is killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Victim {
    /// The entry that dispatches the endpoint.
    Dispatcher,
    /// The endpoint.
    Endpoint,
}

/// One loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Loss {
    /// Milliseconds from the kill until each key had been answered to a call begun
    /// after the kill.
    pub all_served_ms: u64,
    /// Milliseconds from the kill to the start of the last call without an answer;
    /// 0 if all calls begun after the kill were answered.
    pub last_unanswered_ms: u64,
}

/// Losses of one kind.
#[derive(Debug, Serialize)]
pub struct Series {
    /// What was killed.
    pub victim: Victim,
    /// Whether the endpoints check orders.
    pub checks: bool,
    /// Until each key was served again.
    pub all_served_ms: Option<Spread>,
    /// Until the last call without an answer.
    pub last_unanswered_ms: Option<Spread>,
    /// Each loss.
    pub losses: Vec<Loss>,
    /// What callers saw over the whole series.
    pub calls: Tally,
    /// Non-idempotent requests that ran more than once.
    pub ran_twice: usize,
    /// Keys that two endpoints worked on at once or in the wrong order.
    pub overlaps: usize,
    /// Requests that ran although their callers were told "not run".
    pub not_run_but_ran: usize,
}

impl Series {
    /// Sums the losses up.
    #[must_use]
    pub fn new(
        (victim, checks): (Victim, bool),
        losses: Vec<Loss>,
        records: &[Record],
        promises: &Promises,
    ) -> Self {
        Self {
            victim,
            checks,
            all_served_ms: Spread::of(losses.iter().map(|loss| loss.all_served_ms)),
            last_unanswered_ms: Spread::of(losses.iter().map(|loss| loss.last_unanswered_ms)),
            losses,
            calls: Tally::of(records),
            ran_twice: promises.ran_twice.len(),
            overlaps: promises.overlaps.len(),
            not_run_but_ran: promises.not_run_but_ran.len(),
        }
    }

    const fn is_good(&self) -> bool {
        self.ran_twice == 0 && self.overlaps == 0 && self.not_run_but_ran == 0
    }
}

/// What the measurement of losses found.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Each kind of loss.
    pub series: Vec<Series>,
}

impl Report {
    /// Whether all promises were kept.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.series.iter().all(Series::is_good)
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<11} {:<7} {:>6} | {:^31} | {:^31} | {:>6} {:>8} {:>7} {:>8} {:>5} | {:>5} {:>7}",
            "lost",
            "checks",
            "losses",
            "ms until all keys served",
            "ms until last unanswered call",
            "calls",
            "answered",
            "not run",
            "may have",
            "lost",
            "twice",
            "overlap",
        )?;
        for series in &self.series {
            write_series(f, series)?;
        }
        Ok(())
    }
}

fn write_series(f: &mut fmt::Formatter<'_>, series: &Series) -> fmt::Result {
    let victim = match series.victim {
        Victim::Dispatcher => "dispatcher",
        Victim::Endpoint => "endpoint",
    };
    let calls = &series.calls;
    writeln!(
        f,
        "{victim:<11} {:<7} {:>6} | {:>31} | {:>31} | {:>6} {:>8} {:>7} {:>8} {:>5} | {:>5} {:>7}",
        series.checks,
        series.losses.len(),
        spread_text(series.all_served_ms),
        spread_text(series.last_unanswered_ms),
        calls.calls(),
        calls.answered,
        calls.not_run + calls.not_sent,
        calls.may_have_run,
        calls.lost,
        series.ran_twice,
        series.overlaps,
    )
}

/// Min, median, nine of ten, max.
fn spread_text(spread: Option<Spread>) -> String {
    let Some(Spread {
        min,
        median,
        p90,
        max,
    }) = spread
    else {
        return "none".to_owned();
    };
    format!("{min:>7} {median:>7} {p90:>7} {max:>7}")
}
