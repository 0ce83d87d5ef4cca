//! The one write and the reads that a planner has under way.

use indexmap::{IndexMap, IndexSet};

use super::events::{PlannerAction, Ticket};
use crate::ids::Version;
use crate::platform::{ConditionalPut, Row, RowKey, WriteOutcome};
use crate::time::Mono;

/// First pause after the store has failed, in milliseconds.
const FIRST_PAUSE_MS: u64 = 100;

/// Most times that the pause is doubled.
const MOST_DOUBLINGS: u32 = 5;

/// A read that is not answered yet.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Read {
    at: RowKey,
    asked: Mono,
}

/// A write that is not answered yet.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Pending {
    ticket: Ticket,
    puts: Vec<ConditionalPut>,
}

/// What the answer to a write tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Written {
    /// It answers no write under way.
    NotOurs,
    /// These rows stand.
    Stands(Vec<Row>),
    /// Nothing was written.
    Nothing,
    /// Another row was found, or no answer came: these rows have to be read.
    ReadFirst(Vec<RowKey>),
}

/// Traffic with the store: one write at a time, reads by row.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Traffic {
    last_ticket: Ticket,
    pending: Option<Pending>,
    reads: IndexMap<Ticket, Read>,
    failures: u32,
    paused_until: Mono,
}

impl Traffic {
    /// Whether the store has failed a moment ago and is left alone for now.
    #[must_use]
    pub fn is_paused(&self, now: Mono) -> bool {
        now < self.paused_until
    }

    /// The store has failed.
    ///
    /// Failure: the store refuses, each planner asks again at once, and the
    /// store is overrun as it comes back; it shows as thousands of requests a
    /// second without effect. Guard: each failure in a row doubles the pause.
    fn failed(&mut self, now: Mono) {
        let pause = FIRST_PAUSE_MS << self.failures.min(MOST_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        self.paused_until = now.plus(pause);
    }

    /// Whether a write is under way.
    #[must_use]
    pub const fn is_writing(&self) -> bool {
        self.pending.is_some()
    }

    /// Begins a write.
    pub fn write(&mut self, puts: Vec<ConditionalPut>) -> PlannerAction {
        let ticket = self.next_ticket();
        self.pending = Some(Pending {
            ticket,
            puts: puts.clone(),
        });
        PlannerAction::Write { ticket, puts }
    }

    /// Takes in the answer to a write.
    pub fn written(&mut self, ticket: Ticket, outcome: &WriteOutcome, now: Mono) -> Written {
        let Some(pending) = self.pending.take_if(|pending| pending.ticket == ticket) else {
            return Written::NotOurs;
        };
        match outcome {
            WriteOutcome::Done { versions } => {
                self.failures = 0;
                Written::Stands(rows(pending.puts, versions))
            }
            WriteOutcome::Refused => {
                self.failed(now);
                Written::Nothing
            }
            // Failure: the answer to a write is lost, the planner writes once
            // more or acts as if nothing stood, and two instances go by
            // different assignments. Guard: nothing is written or acted on
            // before all rows of the write have been read. The lost write may
            // even land after that; the next one expects the same versions, so
            // only one of the two can stand.
            WriteOutcome::Conflict { .. } | WriteOutcome::Unknown => {
                Written::ReadFirst(pending.puts.into_iter().map(|put| put.at).collect())
            }
        }
    }

    /// Begins reads of rows that are not being read yet.
    pub fn read(
        &mut self,
        stale: &IndexSet<RowKey>,
        again_ms: u64,
        now: Mono,
    ) -> Vec<PlannerAction> {
        self.reads
            .retain(|_, read| now.since(read.asked) < again_ms);
        let mut actions = Vec::new();
        for at in stale {
            if self.reads.values().any(|read| read.at == *at) {
                continue;
            }
            let ticket = self.next_ticket();
            self.reads.insert(
                ticket,
                Read {
                    at: at.clone(),
                    asked: now,
                },
            );
            actions.push(PlannerAction::ReadRow {
                ticket,
                at: at.clone(),
            });
        }
        actions
    }

    /// Takes in the answer to a read; returns the row it was for.
    pub fn read_answered(&mut self, ticket: Ticket) -> Option<RowKey> {
        let read = self.reads.shift_remove(&ticket)?;
        self.failures = 0;
        Some(read.at)
    }

    /// Takes in that a read failed.
    pub fn read_failed(&mut self, ticket: Ticket, now: Mono) {
        if self.reads.shift_remove(&ticket).is_some() {
            self.failed(now);
        }
    }

    fn next_ticket(&mut self) -> Ticket {
        self.last_ticket += 1;
        self.last_ticket
    }
}

fn rows(puts: Vec<ConditionalPut>, versions: &[Version]) -> Vec<Row> {
    let mut rows = Vec::with_capacity(puts.len());
    for (put, version) in puts.into_iter().zip(versions) {
        rows.push(Row {
            at: put.at,
            version: *version,
            value: put.value,
        });
    }
    rows
}
