//! After the store came back from an older copy: what a leader still does, and new fences for all
//! ranges.
//!
//! Assignments that were stored after the copy are lost, and with them the knowledge of which
//! endpoints hold keys. So nothing is granted to an endpoint until the last hold of any leader of an
//! earlier era has ended, with two exceptions that cannot give a key to a second endpoint:
//!
//! - A leader that led when it learnt of the new era renews grants that it had sent before. A leader
//!   that replaced it unknown to it cannot have counted these holds as ended: it had to wait for
//!   longer than the first one may go without a confirmation, and no row was stored meanwhile. Where
//!   that one released them, the endpoint refuses the lower fence; one that restarted and forgot the
//!   fence is not reached, since no connection is opened.
//! - The row is written again with a higher next fence, without a change of owners.

use crate::gateway::assignment::{Assignment, FENCES_PER_MOVE};
use crate::gateway::leader::orders::Action;
use crate::gateway::leader::{FormerLeaderLimits, Leader, Term};
use crate::gateway::registry::Registry;
use crate::time::Mono;

/// Progress of a leader after the store came back from an older copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Restore {
    /// The stored row and the holds are known as usual.
    Settled,
    /// The store has not confirmed this leader in the new era.
    Unconfirmed {
        /// Latest time at which a connection that carries renewals may have been opened.
        connect_by: Mono,
    },
    /// Holds that leaders of earlier eras granted may not have ended.
    Waiting {
        /// Like that of [`Restore::Unconfirmed`]; `None` if this leader renews nothing, as it did
        /// not lead before.
        connect_by: Option<Mono>,
        /// All fences of the new era are at least this high.
        first_fence: u64,
    },
}

impl Leader {
    /// Records that the store came back from a copy. Until the next term begins, only grants that
    /// were sent before are renewed.
    pub fn store_restored(&mut self) {
        let connect_limit_ms = self.cfg.connect_limit_ms;
        let Some(term) = &mut self.term else { return };
        let frozen = match term.restore {
            Restore::Settled => Some(term.contact.plus(connect_limit_ms)),
            Restore::Unconfirmed { connect_by } => Some(connect_by),
            Restore::Waiting { connect_by, .. } => connect_by,
        };
        self.wanted = None;
        match frozen {
            Some(connect_by) => term.restore = Restore::Unconfirmed { connect_by },
            None => self.term = None,
        }
    }

    /// Begins the term with this number in a new era of the store, in which all fences are
    /// `first_fence` or higher. The row must have been read in this era.
    ///
    /// A leader that led until the store came back, and was confirmed within
    /// [`contact_limit_ms`](crate::gateway::leader::LeaderSettings::contact_limit_ms) of learning of
    /// it, goes on with its own row and holds.
    pub fn begin_restored_term(
        &mut self,
        number: u64,
        contact: Mono,
        former_leaders: FormerLeaderLimits,
        first_fence: u64,
    ) {
        let before = self.term;
        let connect_by = before.and_then(|term| match term.restore {
            Restore::Unconfirmed { connect_by }
                if contact.since(term.contact) < self.cfg.contact_limit_ms =>
            {
                Some(connect_by)
            }
            Restore::Settled | Restore::Unconfirmed { .. } | Restore::Waiting { .. } => None,
        });
        if connect_by.is_none() {
            self.begin_term(number, contact, former_leaders);
        }
        self.writing = false;
        self.wanted = None;
        self.term = Some(Term {
            number,
            contact,
            former_leaders,
            restore: Restore::Waiting {
                connect_by,
                first_fence,
            },
        });
    }

    /// Whether the last term began after the store came back from a copy, and keys do not have
    /// their new fences yet.
    #[must_use]
    pub fn is_restoring(&self) -> bool {
        self.term
            .is_some_and(|term| term.restore != Restore::Settled)
    }

    /// Does what is due while the term is not settled.
    pub(super) fn step_restore(
        &mut self,
        now: Mono,
        mut term: Term,
        registry: &Registry,
        actions: &mut Vec<Action>,
    ) {
        let (connect_by, first_fence) = match term.restore {
            Restore::Settled => return,
            Restore::Unconfirmed { connect_by } => (Some(connect_by), None),
            Restore::Waiting {
                connect_by,
                first_fence,
            } => (connect_by, Some(first_fence)),
        };
        let is_confirmed = now.since(term.contact) < self.cfg.contact_limit_ms;
        if let Some(connect_by) = connect_by.filter(|_| is_confirmed) {
            self.renew_sent(now, connect_by, registry, actions);
        }
        let Some(first_fence) = first_fence else {
            return;
        };
        if self.row.ranges.is_empty() {
            self.row.next_fence = self.row.next_fence.max(first_fence);
        }
        let has_ended = now > term.former_leaders.hold_until;
        if has_ended && self.has_only_fences_from(first_fence) {
            term.restore = Restore::Settled;
            self.term = Some(term);
            return;
        }
        if self.writing || now < self.write_after {
            return;
        }
        if self.row.next_fence < first_fence {
            let mut row = self.row.clone();
            row.next_fence = first_fence;
            self.push_write(row, actions);
        } else if has_ended {
            let row = self.with_new_fences();
            self.push_write(row, actions);
        }
    }

    fn has_only_fences_from(&self, first_fence: u64) -> bool {
        let ranges = &self.row.ranges;
        ranges.iter().all(|range| range.holder.fence >= first_fence)
    }

    /// The row with a new fence for each owner and next owner. An endpoint that has seen a fence of a
    /// leader whose rows were lost refuses the lower one of the row.
    fn with_new_fences(&mut self) -> Assignment {
        let mut row = self.row.clone();
        for i in 0..row.ranges.len() {
            let fence = row.allocate_fences(FENCES_PER_MOVE);
            let holder = &mut row.ranges[i].holder;
            if let Some(token) = self.handovers.get(&holder.fence).cloned() {
                self.handovers.insert(fence, token);
            }
            holder.fence = fence;
            if row.ranges[i].next.is_none() {
                continue;
            }
            let fence = row.allocate_fences(FENCES_PER_MOVE);
            if let Some(next) = &mut row.ranges[i].next {
                next.fence = fence;
            }
        }
        row
    }
}
