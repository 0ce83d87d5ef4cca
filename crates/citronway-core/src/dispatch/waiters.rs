//! Duplicates that wait for the outcome of the request they repeat.

use indexmap::IndexMap;

use crate::ids::RequestId;
use crate::node::events::Ticket;
use crate::time::Wall;

/// A waiting duplicate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiter {
    /// Ticket of the submission, for the reply.
    pub origin: Ticket,
    /// Deadline of the duplicate itself.
    pub deadline: Wall,
}

/// Waiting duplicates by request id.
#[derive(Debug, Default)]
pub struct Waiters {
    by_id: IndexMap<RequestId, Vec<Waiter>>,
}

impl Waiters {
    /// Number of waiting duplicates of an id.
    #[must_use]
    pub fn len_of(&self, id: RequestId) -> usize {
        self.by_id.get(&id).map_or(0, Vec::len)
    }

    /// Adds a duplicate.
    pub fn add(&mut self, id: RequestId, waiter: Waiter) {
        self.by_id.entry(id).or_default().push(waiter);
    }

    /// Removes and returns all duplicates of an id.
    pub fn take(&mut self, id: RequestId) -> Vec<Waiter> {
        self.by_id.swap_remove(&id).unwrap_or_default()
    }

    /// Removes and returns the duplicates whose own deadline has come.
    pub fn expire(&mut self, now: Wall) -> Vec<Waiter> {
        let mut expired = Vec::new();
        for waiters in self.by_id.values_mut() {
            expired.extend(waiters.extract_if(.., |waiter| waiter.deadline <= now));
        }
        if !expired.is_empty() {
            self.by_id.retain(|_, waiters| !waiters.is_empty());
        }
        expired
    }
}
