//! What instances tell each other of crashes.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::Fingerprint;
use crate::gateway::pace::EndpointTag;
use crate::gateway::report::Report;
use crate::ids::{InstanceName, Session, SessionId};

/// Most signs that one report carries.
pub const MAX_SIGNS_PER_REPORT: usize = 128;

/// Reports that carry a sign: datagrams are lost now and then.
const REPEATS: u8 = 8;

/// Signs that wait to be told at most; later ones are not told.
const MOST_WAITING: usize = 4_096;

/// What an instance saw of work that may crash endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "sign", rename_all = "snake_case")]
pub enum Sign {
    /// An endpoint crashed while it had the work.
    Crash {
        /// Which work.
        work: Fingerprint,
        /// Start of the endpoint.
        endpoint: EndpointTag,
    },
    /// An endpoint ran the work to its end.
    Answered {
        /// Which work.
        work: Fingerprint,
    },
}

/// Signs on their way to other instances, each in several reports.
#[derive(Debug, Default)]
pub struct SignQueue {
    /// Number of the first one that waits.
    first: u64,
    waiting: VecDeque<(Sign, u8)>,
}

impl SignQueue {
    /// Adds a sign.
    pub fn push(&mut self, sign: Sign) {
        if self.waiting.len() < MOST_WAITING {
            self.waiting.push_back((sign, REPEATS));
        }
    }

    /// Whether the next report would be the first that carries a sign.
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        let mut next = self.waiting.iter().take(MAX_SIGNS_PER_REPORT);
        next.any(|(_, left)| *left == REPEATS)
    }

    /// Takes the signs of the next report, and the number of the first of them.
    pub fn take(&mut self) -> (u64, Vec<Sign>) {
        let first = self.first;
        let count = self.waiting.len().min(MAX_SIGNS_PER_REPORT);
        let signs = self.waiting.iter().take(count).map(|(sign, _)| *sign);
        let signs = signs.collect();
        for (_, left) in self.waiting.iter_mut().take(count) {
            *left -= 1;
        }
        while self.waiting.front().is_some_and(|(_, left)| *left == 0) {
            self.waiting.pop_front();
            self.first += 1;
        }
        (first, signs)
    }
}

/// How far the signs of other instances were taken.
#[derive(Debug, Default)]
pub struct SignReceiver {
    /// By instance: which start, and the number of the next sign.
    next: IndexMap<InstanceName, (SessionId, u64)>,
}

impl SignReceiver {
    /// Signs of a report that are new.
    ///
    /// Failure guarded against: a sign is told several times, and one that an answer has
    /// settled since is taken again. Each counts once, by its number.
    pub fn new_signs<'a>(&mut self, report: &'a Report) -> &'a [Sign] {
        let from = Session {
            instance: report.instance.clone(),
            id: report.session,
        };
        self.new_signs_from(&from, report.first_sign, &report.signs)
    }

    /// The same for signs of any message; `first` is the number of the first of them.
    pub fn new_signs_from<'a>(
        &mut self,
        from: &Session,
        first: u64,
        signs: &'a [Sign],
    ) -> &'a [Sign] {
        if signs.is_empty() {
            return &[];
        }
        let start = (from.id, 0);
        let next = self.next.entry(from.instance.clone()).or_insert(start);
        if next.0 != from.id {
            *next = start;
        }
        let known = next.1.saturating_sub(first);
        let known = usize::try_from(known).unwrap_or(usize::MAX);
        let fresh = signs.get(known..).unwrap_or_default();
        next.1 = next.1.max(first + signs.len() as u64);
        fresh
    }
}
