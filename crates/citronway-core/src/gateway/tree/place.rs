//! Where an instance stands in the tree, by what reaches it.

use std::net::SocketAddr;

use crate::gateway::report::Totals;
use crate::time::Mono;

/// Silence after which whoever passed the sums on no longer counts, in milliseconds.
const PARENT_SILENT_MS: u64 = 1_000;

/// Time in which a leader that has called an instance names a delegate for it, in
/// milliseconds: a report and the next sums.
const NEW_MS: u64 = 450;

/// What an instance does in the tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Nobody passes sums on to it.
    Alone,
    /// It reports to this address.
    Member(SocketAddr),
    /// It sums up for others and reports to this address, which is the leader's.
    Delegate(SocketAddr),
}

/// Where an instance stands in the tree.
#[derive(Debug, Default)]
pub struct TreePosition {
    parent: Option<(SocketAddr, Mono)>,
    /// Since when it is this one.
    since: Mono,
    members: Vec<SocketAddr>,
    /// Term and number of the newest sums.
    newest: (u64, u64),
}

impl TreePosition {
    /// Takes sums that came from an address; false if they are known or an earlier leader's.
    pub fn accept_totals(&mut self, now: Mono, totals: &Totals, from: SocketAddr) -> bool {
        let at = (totals.term, totals.number);
        // The same ones may come from the leader too, which then calls this instance: who
        // names members, or comes first, is the parent.
        if at <= self.newest {
            return false;
        }
        self.newest = at;
        if self.parent.is_none_or(|(before, _)| before != from) {
            self.since = now;
        }
        self.parent = Some((from, now));
        self.members.clone_from(&totals.members);
        true
    }

    /// What this instance does at present.
    #[must_use]
    pub fn role(&self, now: Mono) -> Role {
        let parent = self.parent;
        let fresh = parent.filter(|(_, at)| now.since(*at) < PARENT_SILENT_MS);
        match fresh {
            None => Role::Alone,
            Some((address, _)) if self.members.is_empty() => Role::Member(address),
            Some((address, _)) => Role::Delegate(address),
        }
    }

    /// Whether this instance has just come to its place: a leader that calls a silent one
    /// names a delegate for it next.
    #[must_use]
    pub fn is_new(&self, now: Mono) -> bool {
        now.since(self.since) < NEW_MS
    }

    /// To whom a delegate passes on what the leader tells.
    #[must_use]
    pub fn members(&self) -> &[SocketAddr] {
        &self.members
    }

    /// Whether something from this address is passed on: it is the leader that named them.
    #[must_use]
    pub fn forwards_from(&self, from: SocketAddr) -> bool {
        let is_parent = self.parent.is_some_and(|(address, _)| address == from);
        is_parent && !self.members.is_empty()
    }
}
