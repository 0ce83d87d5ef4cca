//! The leader of a service: grants, renews and moves the ranges of its keys.
//!
//! Safety rests on five rules:
//!
//! - A grant is sent only for keys that the stored row assigns to the endpoint.
//! - That row is changed only on condition that the row that names the leader is unchanged, so
//!   that two leaders never both change it.
//! - A range is taken from its holder only after the holder has confirmed a higher fence and a
//!   release, after its process is known to have ended, or after the end of every hold that any
//!   leader may have granted it.
//! - Seals and releases are sent only for moves of a row that this leader wrote in its term, so that
//!   no two leaders use the same fence for one. Moves of any other row are taken over by a write with
//!   new fences, which fails if this leader was replaced. A row of a later term ends the term.
//! - A leader that the store has not confirmed for [`LeaderSettings::contact_limit_ms`] sends
//!   no more grants, which bounds the holds that a former leader may have granted.
//!
//! An endpoint that restarts loses the fences that it confirmed. Therefore a leader sends grants
//! on a new connection only within [`LeaderSettings::connect_limit_ms`] of its last
//! confirmation, and its successor sends no seal for as long: connections of the earlier
//! leader then reach only starts that receive the seal.
//!
//! All of this rests on a store that keeps what it has acknowledged. Where it came back from an older
//! copy, `restore` applies until the holds of all earlier leaders have ended.

mod divisions;
mod holds;
mod moves;
mod orders;
mod reach;
mod restore;
mod settings;

use indexmap::IndexMap;

use crate::gateway::assignment::{Assignment, FENCES_PER_MOVE, Holder, LAST_KEY, Range};
use crate::gateway::registry::Registry;
use crate::gateway::version::RowVersion;
use crate::ids::{EndpointStart, ServiceName};
use crate::time::Mono;

use holds::Holds;
use moves::{Freed, MoveState};
use reach::Reach;
use restore::Restore;

pub use divisions::{DivisionProgress, DivisionStep};
pub use orders::{Action, Order, OrderKind, OrderResult, Span, WriteResult};
pub use settings::{FormerLeaderLimits, LeaderSettings};

/// Number of ranges for which the minimum interval between two writes of the row grows by
/// 1 ms: 500 ranges add 62 ms. A long row belongs to a large service, in which moves end all the
/// time, and each write is sent to all instances.
const RANGES_PER_MS: u64 = 8;

/// A request to move keys to another endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// Keys to move; they lie in one range of the assignment.
    pub span: Span,
    /// Endpoint that receives them.
    pub to: EndpointStart,
}

/// Leader of one service.
#[derive(Debug)]
pub struct Leader {
    cfg: LeaderSettings,
    service: ServiceName,
    row: Assignment,
    version: RowVersion,
    /// `None` while this instance does not lead the service.
    term: Option<Term>,
    /// Whether a write awaits its result.
    writing: bool,
    /// Earliest time of the next write.
    write_after: Mono,
    /// New assignment that has not been written yet.
    wanted: Option<Assignment>,
    holds: Holds,
    moves: IndexMap<u64, MoveState>,
    reach: Reach,
    /// Handover proofs of finished moves, by the fence of the new owner.
    handovers: IndexMap<u64, String>,
    /// Divisions of hot ranges whose moves have not ended.
    divisions: Vec<DivisionProgress>,
}

/// A term of leadership.
#[derive(Debug, Clone, Copy)]
struct Term {
    /// Number of the term; no other leader has it.
    number: u64,
    /// When the latest call by which the store confirmed the leader was sent.
    contact: Mono,
    /// Limits on the effects of former leaders.
    former_leaders: FormerLeaderLimits,
    /// Progress after the store came back from an older copy.
    restore: Restore,
}

impl Leader {
    /// Creates a leader that has no term and knows no row.
    #[must_use]
    pub fn new(cfg: LeaderSettings, service: ServiceName) -> Self {
        Self {
            cfg,
            service,
            row: Assignment::default(),
            version: RowVersion::NONE,
            term: None,
            writing: false,
            write_after: Mono(0),
            wanted: None,
            holds: Holds::default(),
            moves: IndexMap::new(),
            reach: Reach::default(),
            handovers: IndexMap::new(),
            divisions: Vec::new(),
        }
    }

    /// Begins the term with this number. The row must have been read since the election.
    ///
    /// `contact` is when the call that confirmed the leader was sent.
    pub fn begin_term(&mut self, number: u64, contact: Mono, former_leaders: FormerLeaderLimits) {
        self.term = Some(Term {
            number,
            contact,
            former_leaders,
            restore: Restore::Settled,
        });
        self.writing = false;
        self.wanted = None;
        self.moves.clear();
        self.holds = Holds::default();
        self.reach = Reach::default();
        self.handovers.clear();
        self.divisions.clear();
    }

    /// Ends the term at once.
    pub fn end_term(&mut self) {
        self.term = None;
    }

    /// Whether this instance leads the service.
    #[must_use]
    pub const fn is_leading(&self) -> bool {
        self.term.is_some()
    }

    /// Whether keys may be given to other endpoints.
    fn may_move(&self) -> bool {
        self.is_leading() && !self.is_restoring()
    }

    /// Records that the store confirmed the leader in a call that was sent at `at`.
    pub fn confirm(&mut self, at: Mono) {
        if let Some(term) = &mut self.term {
            term.contact = term.contact.max(at);
        }
    }

    /// Tightens the limits on former leaders, which are all known to have stopped by `at`.
    pub fn former_leader_stopped(&mut self, at: Mono) {
        let left = self.cfg.stopped_former_leader_limits(at);
        if let Some(term) = &mut self.term {
            term.former_leaders = term.former_leaders.min(left);
        }
    }

    /// Updates the row to its stored state; older versions are ignored.
    ///
    /// A row with a lower next fence than the known one, or in a new era with the same, is from a copy
    /// of the store that is older than what this instance knows. Only its version is taken, for the
    /// next write.
    pub fn update_row(&mut self, row: Assignment, version: RowVersion) {
        // The row proves that this leader was replaced, before the store can tell it.
        if self.term.is_some_and(|term| row.term > term.number) {
            self.end_term();
        }
        let is_empty = self.row.ranges.is_empty();
        if version < self.version || (version == self.version && !is_empty) {
            return;
        }
        // Failure: a write whose answer was lost takes effect after new moves were planned on
        // the older row. If these are then written over it, a range returns to an owner that has
        // released it, and two endpoints hold the range.
        if version > self.version {
            self.wanted = None;
        }
        let is_restored = version.era > self.version.era && !is_empty;
        self.version = version;
        let (stored, known) = (row.next_fence, self.row.next_fence);
        if stored < known || (is_restored && stored == known) {
            return;
        }
        self.row = row;
        let fences: Vec<_> = self
            .row
            .ranges
            .iter()
            .filter_map(|range| range.next.as_ref())
            .map(|next| next.fence)
            .collect();
        self.moves.retain(|fence, _| fences.contains(fence));
    }

    /// Newest known row.
    #[must_use]
    pub const fn row(&self) -> &Assignment {
        &self.row
    }

    /// Version of the newest known row.
    #[must_use]
    pub const fn version(&self) -> RowVersion {
        self.version
    }

    /// Whether the endpoint counts as lost: two or more orders in succession have failed, the first
    /// at least [`LeaderSettings::lost_after_ms`] ago and the last one recently.
    #[must_use]
    pub fn is_lost(&self, now: Mono, endpoint: &EndpointStart) -> bool {
        self.reach.is_lost(&self.cfg, now, endpoint)
    }

    /// Whether so many endpoints count as lost that this instance is probably cut off itself.
    #[must_use]
    pub fn is_cut_off(&self, now: Mono) -> bool {
        self.reach.is_cut_off(&self.cfg, now)
    }

    /// Whether moves can be started now: no other change of the row is under way.
    #[must_use]
    pub fn can_start_moves(&self) -> bool {
        !self.writing && self.wanted.is_none() && self.may_move()
    }

    /// Starts moves, except those that do not apply to the current row.
    ///
    /// If the row would exceed the size limit of the store, tries the first half of the list, then
    /// a quarter and so on. Returns the number of moves left out for this.
    pub fn start_moves(&mut self, moves: &[Move], registry: &Registry) -> usize {
        if !self.can_start_moves() {
            return 0;
        }
        let mut count = moves.len();
        while count > 0 && !self.try_start_moves(&moves[..count], registry) {
            count /= 2;
        }
        moves.len() - count
    }

    /// Starts moves, or returns false if they would make the row too long for the store.
    fn try_start_moves(&mut self, moves: &[Move], registry: &Registry) -> bool {
        let mut row = self.row.clone();
        let mut changed = false;
        for request in moves {
            let Some(known) = registry.get(&request.to) else {
                continue;
            };
            changed |= moves::begin_move(&mut row, request.span, &known.listing);
        }
        if changed && !row.fits_in_store() {
            return false;
        }
        if changed {
            self.wanted = Some(row);
        }
        true
    }

    /// Divides all keys among `endpoints` in proportion to their slots, if no row exists yet.
    pub fn create_assignment(&mut self, endpoints: &[&crate::gateway::registry::Listing]) {
        let idle = !self.writing && self.wanted.is_none() && self.may_move();
        if !idle || !self.row.ranges.is_empty() || endpoints.is_empty() {
            return;
        }
        let total = endpoints
            .iter()
            .map(|e| u64::from(e.slots.max(1)))
            .sum::<u64>();
        let keys = u64::from(LAST_KEY) + 1;
        let mut row = Assignment {
            next_fence: self.row.next_fence.max(1),
            term: self.row.term,
            ranges: Vec::new(),
        };
        let mut before = 0;
        for listing in endpoints {
            let first = before * keys / total;
            before += u64::from(listing.slots.max(1));
            let last = before * keys / total - 1;
            let (Ok(first), Ok(last)) = (u16::try_from(first), u16::try_from(last)) else {
                continue;
            };
            let fence = row.allocate_fences(FENCES_PER_MOVE);
            row.ranges.push(Range {
                first,
                last,
                holder: Holder {
                    endpoint: listing.start.clone(),
                    address: listing.address,
                    fence,
                },
                next: None,
            });
        }
        self.wanted = Some(row);
    }

    /// Returns the orders and writes that are due.
    pub fn step(&mut self, now: Mono, registry: &Registry) -> Vec<Action> {
        let Some(term) = self.term else {
            return Vec::new();
        };
        self.holds.prune(now);
        let mut actions = Vec::new();
        if term.restore != Restore::Settled {
            self.step_restore(now, term, registry, &mut actions);
            return actions;
        }
        // Failure: a leader that was replaced while it could not reach the store continues
        // to renew grants, and two endpoints hold the same keys. Its successor relies on
        // this limit before it reassigns the keys of an unresponsive endpoint.
        if now.since(term.contact) < self.cfg.contact_limit_ms {
            self.renew(now, term, registry, &mut actions);
        }
        if !self.has_own_moves(term) {
            self.take_over_moves(now, &mut actions);
            return actions;
        }
        if now.since(term.contact) < self.cfg.contact_limit_ms {
            self.advance_moves(now, term, &mut actions);
        }
        self.write(now, &mut actions);
        self.advance_divisions(now);
        actions
    }

    /// Handles the result of the pending write.
    pub fn handle_write_result(&mut self, now: Mono, result: WriteResult) {
        self.writing = false;
        match result {
            WriteResult::Done(row, version) => {
                // Load: a long row belongs to a large service, in which moves end all the
                // time. Each write costs a call, answers a poll and is sent to all instances.
                let gap_ms = self.cfg.write_gap_ms + row.ranges.len() as u64 / RANGES_PER_MS;
                self.write_after = now.plus(gap_ms);
                self.update_row(row, version);
            }
            // The stored row arrives by the feed or with the conflict.
            WriteResult::Conflict => self.write_after = now.plus(self.cfg.retry_ms),
            WriteResult::Unknown | WriteResult::NotDone => {
                self.write_after = now.plus(2 * self.cfg.retry_ms);
            }
        }
    }

    /// Whether all moves of the row have fences that this leader allocated in its term.
    fn has_own_moves(&self, term: Term) -> bool {
        self.row.term == term.number || !self.row.ranges.iter().any(Range::is_moving)
    }

    /// Gives new fences to the moves of a row that this leader has not written in its term.
    ///
    /// Failure: the former leader is slow or cut off and seals a holder after this leader has
    /// released it and the next owner holds the keys. With new fences the holder refuses those
    /// seals, whose fences are lower.
    fn take_over_moves(&mut self, now: Mono, actions: &mut Vec<Action>) {
        if self.writing || now < self.write_after {
            return;
        }
        let mut row = self.row.clone();
        for i in 0..row.ranges.len() {
            if !row.ranges[i].is_moving() {
                continue;
            }
            let fence = row.allocate_fences(FENCES_PER_MOVE);
            if let Some(next) = &mut row.ranges[i].next {
                next.fence = fence;
            }
        }
        self.push_write(row, actions);
    }

    /// Requests a write of the row under the number of this term.
    fn push_write(&mut self, mut row: Assignment, actions: &mut Vec<Action>) {
        row.term = self.term.map_or(0, |term| term.number);
        self.writing = true;
        actions.push(Action::Write {
            service: self.service.clone(),
            row,
            expected: self.version,
        });
    }

    fn write(&mut self, now: Mono, actions: &mut Vec<Action>) {
        if self.writing || now < self.write_after {
            return;
        }
        let mut row = self.wanted.take().unwrap_or_else(|| self.row.clone());
        for range in &mut row.ranges {
            self.complete_move(range);
        }
        row.merge();
        self.join_neighbours(&mut row);
        if row == self.row {
            return;
        }
        self.push_write(row, actions);
    }

    /// Completes a move once the old holder is known to hold the range no more.
    fn complete_move(&mut self, range: &mut Range) {
        let Some(next) = &range.next else { return };
        let Some(state) = self.moves.get(&next.fence) else {
            return;
        };
        let Some(freed) = state.freed() else { return };
        if let Freed::Released(Some(token)) = freed {
            self.handovers.insert(next.fence, token.clone());
        }
        range.holder = next.clone();
        range.next = None;
    }
}
