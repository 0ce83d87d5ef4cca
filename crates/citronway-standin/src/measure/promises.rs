//! Promises that were broken, by what callers saw and endpoints ran.

use citronway_core::ids::RequestId;
use indexmap::IndexMap;

use super::record::Record;
use crate::caller::Verdict;
use crate::env::Evidence;
use crate::env::evidence::Overlap;

/// Most overlaps that are described.
const SHOWN: usize = 5;

/// Promises that were broken.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Promises {
    /// Non-idempotent requests that ran more than once.
    pub ran_twice: Vec<RequestId>,
    /// Keys that two endpoints worked on at once or in the wrong order.
    pub overlaps: Vec<Overlap>,
    /// Requests that ran although each of their callers was told "not run".
    pub not_run_but_ran: Vec<RequestId>,
    /// Requests with an answer that does not fit.
    pub wrong_answers: Vec<RequestId>,
    /// Requests that were answered but that no endpoint ran.
    pub answered_but_not_ran: Vec<RequestId>,
}

impl Promises {
    /// Compares records and runs.
    #[must_use]
    pub fn check(records: &[Record], evidence: &Evidence) -> Self {
        let mut promises = Self {
            ran_twice: evidence.ran_twice.clone(),
            overlaps: evidence.overlaps.clone(),
            ..Self::default()
        };
        // A request may be sent more than once; "not run" is about the request
        // only if it was said to all who sent it.
        let mut not_run = IndexMap::new();
        for record in records {
            let always = not_run.entry(record.id).or_insert(true);
            *always &= record.verdict.says_not_run();
            promises.check_record(record, evidence);
        }
        for (id, always) in not_run {
            if always && evidence.ran.contains(&id) {
                promises.not_run_but_ran.push(id);
            }
        }
        promises
    }

    /// Whether all were kept.
    #[must_use]
    pub const fn are_kept(&self) -> bool {
        self.ran_twice.is_empty()
            && self.overlaps.is_empty()
            && self.not_run_but_ran.is_empty()
            && self.wrong_answers.is_empty()
            && self.answered_but_not_ran.is_empty()
    }

    /// The first keys with two owners at once, for people.
    #[must_use]
    pub fn describe_overlaps(&self) -> String {
        let mut text = String::new();
        for overlap in self.overlaps.iter().take(SHOWN) {
            let line = format!(
                "two owners of {}/{}: {} (shard {}), then {} (shard {})\n",
                overlap.service,
                overlap.key,
                overlap.first,
                overlap.first_shard,
                overlap.second,
                overlap.second_shard,
            );
            text.push_str(&line);
        }
        text
    }

    fn check_record(&mut self, record: &Record, evidence: &Evidence) {
        match record.verdict {
            Verdict::Wrong(_) => self.wrong_answers.push(record.id),
            Verdict::Answered { .. } if !evidence.ran.contains(&record.id) => {
                self.answered_but_not_ran.push(record.id);
            }
            _ => {}
        }
    }
}
