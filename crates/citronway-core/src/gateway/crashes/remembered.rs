//! Persistence of suspects in the store, so that they survive a restart of all instances.

use super::entry::Crash;
use super::{Ledger, MAX_SUSPECTS, StoredSuspect};
use crate::time::Mono;

impl Ledger {
    /// Restores a suspect from the store at startup. Its crashes count from now, and they are no
    /// evidence for a loss of machines.
    pub fn restore_suspect(&mut self, now: Mono, suspect: &StoredSuspect) {
        if !self.has_room(suspect.work) {
            return;
        }
        let entry = self.entries.entry(suspect.work).or_default();
        for endpoint in &suspect.endpoints {
            if entry.has(*endpoint) {
                continue;
            }
            self.changed = true;
            let endpoint = *endpoint;
            entry.add(Crash { endpoint, at: now });
        }
    }

    /// Suspects to be stored: the newest ones, and work that has just become harmful.
    ///
    /// Failure guarded against: work becomes harmful, so that it is no longer a suspect but not
    /// yet reported as harmful, and a row that is written in between does not name it.
    #[must_use]
    pub fn suspects_to_store(&self, now: Mono) -> Vec<StoredSuspect> {
        let settled = self.harmful(now);
        let unsettled = self.entries.iter().filter(|(work, entry)| {
            let is_settled = settled.iter().any(|refused| refused.work == **work);
            entry.was_harmful() && !entry.crashes.is_empty() && !is_settled
        });
        let unsettled = unsettled.map(|(work, _)| *work);
        let works = unsettled.chain(self.suspects(now)).take(MAX_SUSPECTS);
        let mut suspects: Vec<_> = works
            .filter_map(|work| {
                let crashes = &self.entries.get(&work)?.crashes;
                let endpoints = crashes.iter().map(|crash| crash.endpoint).collect();
                Some(StoredSuspect { work, endpoints })
            })
            .collect();
        suspects.sort_unstable();
        suspects
    }
}
