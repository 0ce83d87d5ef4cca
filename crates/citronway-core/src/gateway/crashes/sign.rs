//! Exchange of crash observations between instances.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::Fingerprint;
use crate::gateway::pace::EndpointTag;
use crate::gateway::report::Report;
use crate::ids::{InstanceName, Session, SessionId};

/// Most signs in one report.
pub const MAX_SIGNS_PER_REPORT: usize = 128;

/// Number of reports that carry each sign, since datagrams may be lost.
const REPORTS_PER_SIGN: u8 = 8;

/// Most signs in the queue; further ones are dropped.
const MAX_WAITING: usize = 4_096;

/// An instance's observation of work that may crash endpoints.
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

/// Queue of signs to other instances; each is sent in several reports.
#[derive(Debug, Default)]
pub struct SignQueue {
    /// Sequence number of the first sign in the queue.
    first: u64,
    waiting: VecDeque<(Sign, u8)>,
}

impl SignQueue {
    /// Adds a sign, unless the queue is full.
    pub fn push(&mut self, sign: Sign) {
        if self.waiting.len() < MAX_WAITING {
            self.waiting.push_back((sign, REPORTS_PER_SIGN));
        }
    }

    /// Whether the next report would carry a sign that was in no report yet.
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        let mut next = self.waiting.iter().take(MAX_SIGNS_PER_REPORT);
        next.any(|(_, left)| *left == REPORTS_PER_SIGN)
    }

    /// Takes the signs of the next report, with the sequence number of the first of them.
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

/// Receiver of other instances' signs, which drops duplicates.
#[derive(Debug, Default)]
pub struct SignReceiver {
    /// By instance: its session and the sequence number of the next sign.
    next: IndexMap<InstanceName, (SessionId, u64)>,
}

impl SignReceiver {
    /// Signs of a report that were not received before.
    ///
    /// Failure guarded against: a sign is sent several times and is applied again after an
    /// answer has cleared its work. Each sign counts once, by its sequence number.
    pub fn new_signs<'a>(&mut self, report: &'a Report) -> &'a [Sign] {
        let from = Session {
            instance: report.instance.clone(),
            id: report.session,
        };
        self.new_signs_from(&from, report.first_sign, &report.signs)
    }

    /// Signs of a message that were not received before; `first` is the sequence number of the
    /// first sign in the message.
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
