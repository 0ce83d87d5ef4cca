//! Simulated store that keeps its past and comes back from it.

use std::collections::VecDeque;

use citronway_core::gateway::assignment::Assignment;
use citronway_core::gateway::version::{Era, RowVersion};
use citronway_core::time::Mono;

/// Time for which copies are kept, in milliseconds.
const KEPT_MS: u64 = 30_000;

/// The stored row that names the leader.
#[derive(Debug, Clone, Copy)]
pub(super) struct LeaderEntry {
    pub instance: usize,
    pub term: u64,
    /// Key of the row that is written with the claim, and removed by the next one. Never repeats.
    pub claim: u64,
    pub era: Era,
    /// Lowest fence of the era, until earlier leaders have ended.
    pub first_fence: Option<u64>,
    pub elected: Mono,
}

/// The rows that a restore brings back.
#[derive(Debug, Clone)]
struct Copy {
    at: Mono,
    row: Assignment,
    number: u64,
    leader: LeaderEntry,
}

#[derive(Debug)]
pub(super) struct Store {
    pub row: Assignment,
    /// Version of the row. Its number repeats after a restore.
    pub version: RowVersion,
    pub leader: LeaderEntry,
    pub era: Era,
    pub away_until: Mono,
    past: VecDeque<Copy>,
    last_claim: u64,
}

impl Store {
    pub(super) fn new(start: Mono) -> Self {
        Self {
            row: Assignment::default(),
            version: RowVersion::NONE,
            leader: LeaderEntry {
                instance: 0,
                term: 1,
                claim: 0,
                era: Era::FIRST,
                first_fence: None,
                elected: start,
            },
            era: Era::FIRST,
            away_until: Mono(0),
            past: VecDeque::new(),
            last_claim: 0,
        }
    }

    pub(super) fn is_away(&self, now: Mono) -> bool {
        now < self.away_until
    }

    /// Whether no leader was elected since the store came back from a copy.
    pub(super) fn is_restored(&self) -> bool {
        self.leader.era < self.era
    }

    /// Keeps a copy of the present state.
    pub(super) fn keep(&mut self, now: Mono) {
        while self
            .past
            .front()
            .is_some_and(|copy| now.since(copy.at) > KEPT_MS)
        {
            self.past.pop_front();
        }
        self.past.push_back(Copy {
            at: now,
            row: self.row.clone(),
            number: self.version.number,
            leader: self.leader,
        });
    }

    pub(super) fn restore(&mut self, now: Mono, age_ms: u64, away_ms: u64) {
        let at = now.minus(age_ms);
        let copy = self.past.iter().rev().find(|copy| copy.at <= at);
        let Some(copy) = copy.or(self.past.front()).cloned() else {
            return;
        };
        self.era = Era(self.era.0 + 1);
        self.row = copy.row;
        self.version = RowVersion {
            era: self.era,
            number: copy.number,
        };
        self.leader = copy.leader;
        self.away_until = self.away_until.max(now.plus(away_ms));
    }

    /// Replaces the leader, and with it the row of its claim.
    pub(super) fn elect(&mut self, _now: Mono, entry: LeaderEntry) {
        self.last_claim += 1;
        self.leader = LeaderEntry {
            claim: self.last_claim,
            ..entry
        };
    }

    /// Records that no leader of an earlier era can act any more.
    pub(super) const fn settle(&mut self) {
        self.leader.first_fence = None;
    }

    /// Writes the assignment if neither the leader nor the number of the version has changed.
    pub(super) fn write(
        &mut self,
        now: Mono,
        claim: u64,
        row: &Assignment,
        expected: RowVersion,
    ) -> bool {
        let holds = claim == self.leader.claim && expected.number == self.version.number;
        if self.is_away(now) || !holds {
            return false;
        }
        self.row = row.clone();
        self.version = RowVersion {
            era: self.era,
            number: self.version.number + 1,
        };
        true
    }
}
