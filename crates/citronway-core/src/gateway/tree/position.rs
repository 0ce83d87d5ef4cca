//! Position of an instance in the tree, derived from the totals that reach it.

use std::net::SocketAddr;

use crate::gateway::report::Totals;
use crate::time::Mono;

/// Silence in milliseconds after which the parent no longer counts.
const PARENT_SILENT_MS: u64 = 1_000;

/// Time in milliseconds in which a leader that has probed an instance assigns it a delegate: a
/// report and the next totals.
const NEW_PARENT_MS: u64 = 450;

/// Role of an instance in the tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// No totals reach it.
    Alone,
    /// It reports to this address.
    Member(SocketAddr),
    /// It aggregates the reports of its members and reports to this address, the leader's.
    Delegate(SocketAddr),
}

/// Position of an instance in the tree.
#[derive(Debug, Default)]
pub struct TreePosition {
    /// Address from which the newest totals came, and the time of their receipt.
    parent: Option<(SocketAddr, Mono)>,
    /// Time since which the parent has had this address.
    since: Mono,
    members: Vec<SocketAddr>,
    /// Term and number of the newest totals.
    newest: (u64, u64),
}

impl TreePosition {
    /// Applies totals received from an address. Returns false, without effect, if they are already
    /// known or those of a former leader.
    pub fn accept_totals(&mut self, now: Mono, totals: &Totals, from: SocketAddr) -> bool {
        let at = (totals.term, totals.number);
        // The same totals may also come from the leader if it probes this instance. The sender of
        // the first copy is the parent.
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

    /// Present role of this instance.
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

    /// Whether the parent is new. The leader that has probed this instance may still assign it a
    /// delegate.
    #[must_use]
    pub fn is_new(&self, now: Mono) -> bool {
        now.since(self.since) < NEW_PARENT_MS
    }

    /// Addresses to which a delegate forwards messages of the leader.
    #[must_use]
    pub fn members(&self) -> &[SocketAddr] {
        &self.members
    }

    /// Whether messages from this address are forwarded to the members: it is the parent, and there
    /// are members.
    #[must_use]
    pub fn forwards_from(&self, from: SocketAddr) -> bool {
        let is_parent = self.parent.is_some_and(|(address, _)| address == from);
        is_parent && !self.members.is_empty()
    }
}
