//! What dispatchers report, and what a new planner makes of the present owners.

use indexmap::IndexSet;

use super::rows::at;
use super::{DISPATCH_TABLE, Planner};
use crate::ids::{EndpointName, Epoch};
use crate::peer::{EndpointLost, ShardReleased};
use crate::shard::{Assignment, Ownership};
use crate::time::Mono;

/// Time after an election in which loads are learnt and nothing moves for
/// balance, in milliseconds.
///
/// Endpoints that return go on to be trusted with more in the meantime, so a
/// longer time would end in a storm of moves.
const LEARNING_MS: u64 = 10_000;

impl Planner {
    pub(super) fn released(&mut self, report: ShardReleased) {
        if report.service != self.service {
            return;
        }
        // Failure: an instance that was the dispatcher before, and holds
        // nothing, reports a shard released that the present one still serves.
        // Guard: only the dispatcher that the row names is believed.
        let row = self.rows.dispatch_row(&report.from);
        if row.is_some_and(|row| row.dispatcher != report.dispatcher) {
            self.doubt_dispatch(&report.from);
            return;
        }
        let Some(assignment) = self.assignment() else {
            return;
        };
        if fits(assignment, &report) {
            self.releases.insert(report.shard, report);
        } else if is_given_up(assignment, &report) {
            self.given_up.insert(report.shard, report);
        } else {
            return;
        }
        self.dirty = true;
    }

    pub(super) fn lost(&mut self, report: &EndpointLost, now: Mono) {
        let Some(row) = self.rows.dispatch_row(&report.endpoint) else {
            self.doubt_dispatch(&report.endpoint);
            return;
        };
        if row.epoch < report.dispatch_epoch {
            self.doubt_dispatch(&report.endpoint);
            return;
        }
        if row.epoch > report.dispatch_epoch {
            return;
        }
        let Some(wanted) = &self.wanted else {
            return;
        };
        // Before all is quiet the endpoint may still come back. Waiting for it
        // spares its keys a move, not waiting spares them time without owner.
        let early = wanted.weights.unavailable > wanted.weights.churn;
        if !report.quiet && !early {
            return;
        }
        self.book.lost(&report.endpoint, now);
        self.dirty = true;
    }

    fn doubt_dispatch(&mut self, endpoint: &EndpointName) {
        let at = at(DISPATCH_TABLE, endpoint.as_str());
        self.rows.stale.insert(at);
    }

    pub(super) fn take_over(&mut self, epoch: Epoch, now: Mono) {
        if self.took_over.replace(epoch) == Some(epoch) {
            return;
        }
        self.learning_until = now.plus(LEARNING_MS);
        if let Some(assignment) = self.rows.assignment.value() {
            self.book.take_over(&next_owners(assignment), now);
        }
    }
}

/// Endpoints that own a shard, or will once it has moved.
fn next_owners(assignment: &Assignment) -> IndexSet<EndpointName> {
    let mut owners = IndexSet::new();
    for shard in assignment.shards.values() {
        match &shard.ownership {
            Ownership::Unowned => {}
            Ownership::Owned { owner } => {
                owners.insert(owner.clone());
            }
            Ownership::Moving { to, .. } => {
                owners.insert(to.clone());
            }
        }
    }
    owners
}

/// Whether the report is about a shard that its owner has not been asked for.
pub(super) fn is_given_up(assignment: &Assignment, report: &ShardReleased) -> bool {
    let Some(shard) = assignment.shards.get(&report.shard) else {
        return false;
    };
    let owned = matches!(&shard.ownership, Ownership::Owned { owner } if *owner == report.from);
    owned && shard.epoch == report.epoch
}

/// Whether the report is about the present move of its shard.
pub(super) fn fits(assignment: &Assignment, report: &ShardReleased) -> bool {
    let Some(shard) = assignment.shards.get(&report.shard) else {
        return false;
    };
    let from_same =
        matches!(&shard.ownership, Ownership::Moving { from, .. } if *from == report.from);
    from_same && shard.epoch == report.epoch
}
