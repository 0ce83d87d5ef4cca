//! The leader of a service: grants, renews and moves the ranges of its keys.
//!
//! Safety rests on four rules. Nothing is granted that the stored row does not say.
//! The row is changed only while the leader's own row stands unchanged, so that two
//! leaders never both change it. A range leaves its holder only after the holder has
//! confirmed a higher fence and a release, or after the end of every hold that any
//! leader may have given it. A leader that has not heard the store confirm it for
//! [`LeaderSettings::contact_limit_ms`] sends no more grants, which bounds what an
//! earlier leader may still have given.
//!
//! An endpoint that starts again forgets the fences that it confirmed. So a leader grants on
//! a new connection only within [`LeaderSettings::connect_limit_ms`] of its last
//! confirmation, and its successor seals nothing for as long: the connections of an earlier
//! leader then reach only starts that see the seal.

mod holds;
mod moves;
mod orders;
mod reach;
mod settings;

use indexmap::IndexMap;

use crate::gateway::assignment::{Assignment, FENCES_PER_MOVE, Holder, LAST_KEY, Range};
use crate::gateway::registry::Registry;
use crate::ids::{EndpointStart, ServiceName, Version};
use crate::time::Mono;

use holds::Holds;
use moves::{Freed, MoveState};
use reach::Reach;

pub use orders::{Action, Order, OrderKind, OrderResult, Span, WriteResult};
pub use settings::{LeaderSettings, PredecessorLimits};

/// Ranges of a row that make the time between two writes of it a millisecond longer: 70 ms
/// at 500 ranges.
const RANGES_A_MS: u64 = 8;

/// Keys that are to go to another endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// Keys; they lie in one range of the assignment.
    pub span: Span,
    /// Endpoint that gets them.
    pub to: EndpointStart,
}

/// Leader of one service.
#[derive(Debug)]
pub struct Leader {
    cfg: LeaderSettings,
    service: ServiceName,
    row: Assignment,
    version: Version,
    /// While this instance is the leader.
    tenure: Option<Tenure>,
    /// A write is under way.
    writing: bool,
    /// No write before; set after one whose outcome is unknown.
    write_after: Mono,
    /// What is left of taking over the moves of an earlier leader.
    takeover: Takeover,
    /// Set while a new assignment waits to be written.
    wanted: Option<Assignment>,
    holds: Holds,
    moves: IndexMap<u64, MoveState>,
    reach: Reach,
    /// Proofs of a finished move, by the fence of the new owner.
    handovers: IndexMap<u64, String>,
}

/// How far the moves of an earlier leader have got new fences.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Takeover {
    /// In office since a moment ago.
    Begins,
    /// Moves with a fence below this one are an earlier leader's.
    Above(u64),
    /// None is left.
    Done,
}

#[derive(Debug, Clone, Copy)]
struct Tenure {
    /// Start of the newest call that confirmed it.
    contact: Mono,
    /// What earlier leaders may still do.
    rivals: PredecessorLimits,
}

impl Leader {
    /// A leader that is not in office and knows no row.
    #[must_use]
    pub fn new(cfg: LeaderSettings, service: ServiceName) -> Self {
        Self {
            cfg,
            service,
            row: Assignment::default(),
            version: Version(0),
            tenure: None,
            writing: false,
            write_after: Mono(0),
            takeover: Takeover::Done,
            wanted: None,
            holds: Holds::default(),
            moves: IndexMap::new(),
            reach: Reach::default(),
            handovers: IndexMap::new(),
        }
    }

    /// Takes office after the row has been read again.
    ///
    /// `contact` is when the confirming call was sent.
    pub fn begin_term(&mut self, contact: Mono, rivals: PredecessorLimits) {
        self.tenure = Some(Tenure { contact, rivals });
        self.writing = false;
        self.takeover = Takeover::Begins;
        self.wanted = None;
        self.moves.clear();
        self.holds = Holds::default();
        self.reach = Reach::default();
        self.handovers.clear();
    }

    /// Leaves office at once.
    pub fn end_term(&mut self) {
        self.tenure = None;
    }

    /// Whether this instance leads the service.
    #[must_use]
    pub const fn is_leading(&self) -> bool {
        self.tenure.is_some()
    }

    /// Notes that the store confirmed the leader by a call sent at `at`.
    pub fn confirm(&mut self, at: Mono) {
        if let Some(tenure) = &mut self.tenure {
            tenure.contact = tenure.contact.max(at);
        }
    }

    /// Learns that the earlier leader stopped at `at`.
    pub fn predecessor_stopped(&mut self, at: Mono) {
        let left = self.cfg.stopped_predecessor_limits(at);
        if let Some(tenure) = &mut self.tenure {
            tenure.rivals = tenure.rivals.min(left);
        }
    }

    /// Takes the row as it stands in the store; older versions are ignored.
    pub fn update_row(&mut self, row: Assignment, version: Version) {
        if version < self.version {
            return;
        }
        // Failure: a write whose answer was lost lands after new moves were drawn up
        // from the row before it; written on top, they give a range back to an owner
        // that has let go of it, and both hold it.
        if version > self.version {
            self.wanted = None;
        }
        self.row = row;
        self.version = version;
        let fences: Vec<_> = self
            .row
            .ranges
            .iter()
            .filter_map(|range| range.next.as_ref())
            .map(|next| next.fence)
            .collect();
        self.moves.retain(|fence, _| fences.contains(fence));
    }

    /// The newest row that is known.
    #[must_use]
    pub const fn row(&self) -> &Assignment {
        &self.row
    }

    /// Version of the newest row that is known.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Whether the endpoint answered no order for as long as counts as lost.
    #[must_use]
    pub fn is_lost(&self, now: Mono, endpoint: &EndpointStart) -> bool {
        self.reach.is_lost(&self.cfg, now, endpoint)
    }

    /// Whether so few endpoints answer that this instance must be cut off itself.
    #[must_use]
    pub fn is_cut_off(&self, now: Mono) -> bool {
        self.reach.is_cut_off(&self.cfg, now)
    }

    /// Starts moves; those that do not fit the row as it stands are left out, and so are the
    /// last ones where the store would not take the row. Returns how many were left out for
    /// that.
    pub fn start_moves(&mut self, moves: &[Move], registry: &Registry) -> usize {
        if self.writing || self.wanted.is_some() || self.tenure.is_none() {
            return 0;
        }
        let mut begun = moves.len();
        while begun > 0 && !self.start_first(&moves[..begun], registry) {
            begun /= 2;
        }
        moves.len() - begun
    }

    /// Starts moves if the store takes the row with them.
    fn start_first(&mut self, moves: &[Move], registry: &Registry) -> bool {
        let mut row = self.row.clone();
        let mut changed = false;
        for wish in moves {
            let Some(known) = registry.get(&wish.to) else {
                continue;
            };
            changed |= moves::begin(&mut row, wish.span, &known.listing);
        }
        if changed && !row.fits_in_store() {
            return false;
        }
        if changed {
            self.wanted = Some(row);
        }
        true
    }

    /// Divides all keys evenly by slots among `endpoints`, where no row exists yet.
    pub fn create_assignment(&mut self, endpoints: &[&crate::gateway::registry::Listing]) {
        let idle = !self.writing && self.wanted.is_none() && self.tenure.is_some();
        if !idle || !self.row.ranges.is_empty() || endpoints.is_empty() {
            return;
        }
        let total = endpoints
            .iter()
            .map(|e| u64::from(e.slots.max(1)))
            .sum::<u64>();
        let keys = u64::from(LAST_KEY) + 1;
        let mut row = Assignment {
            next_fence: 1,
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

    /// What is due now.
    pub fn step(&mut self, now: Mono, registry: &Registry) -> Vec<Action> {
        let Some(tenure) = self.tenure else {
            return Vec::new();
        };
        self.holds.prune(now);
        let mut actions = Vec::new();
        // Failure: a leader that was replaced while it could not reach the store goes
        // on renewing, and two endpoints hold the same keys. Its successor counts on
        // this limit before it gives the keys of a silent endpoint to another.
        if now.since(tenure.contact) < self.cfg.contact_limit_ms {
            self.renew(now, tenure, registry, &mut actions);
        }
        if self.takeover != Takeover::Done {
            self.take_over(now, &mut actions);
            return actions;
        }
        if now.since(tenure.contact) < self.cfg.contact_limit_ms {
            self.advance_moves(now, tenure, &mut actions);
        }
        self.write(now, &mut actions);
        actions
    }

    /// Takes the outcome of the write that is under way.
    pub fn handle_write_result(&mut self, now: Mono, result: WriteResult) {
        self.writing = false;
        match result {
            WriteResult::Done(row, version) => {
                // Load: long rows are those of large services, in which moves end all the
                // time; each write is a call and an answered poll, and is told to all.
                let gap_ms = self.cfg.write_gap_ms + row.ranges.len() as u64 / RANGES_A_MS;
                self.write_after = now.plus(gap_ms);
                self.update_row(row, version);
            }
            // The row that stands arrives by the feed or with the conflict.
            WriteResult::Conflict => self.write_after = now.plus(self.cfg.retry_ms),
            WriteResult::Unknown | WriteResult::NotDone => {
                self.write_after = now.plus(2 * self.cfg.retry_ms);
            }
        }
    }

    /// Gives the moves of an earlier leader new fences.
    ///
    /// Failure: the earlier leader is slow or cut off and still seals a holder, after
    /// this one has released it and the next owner holds the keys. Its seals are below
    /// the new fences and the holder refuses them.
    fn take_over(&mut self, now: Mono, actions: &mut Vec<Action>) {
        let floor = match self.takeover {
            Takeover::Done => return,
            Takeover::Begins => self.row.next_fence,
            Takeover::Above(floor) => floor,
        };
        self.takeover = Takeover::Above(floor);
        if self.writing || now < self.write_after {
            return;
        }
        let mut row = self.row.clone();
        for i in 0..row.ranges.len() {
            let old = row.ranges[i]
                .next
                .as_ref()
                .is_some_and(|next| next.fence < floor);
            if !old {
                continue;
            }
            let fence = row.allocate_fences(FENCES_PER_MOVE);
            if let Some(next) = &mut row.ranges[i].next {
                next.fence = fence;
            }
        }
        if row == self.row {
            self.takeover = Takeover::Done;
            return;
        }
        self.push_write(row, actions);
    }

    fn push_write(&mut self, row: Assignment, actions: &mut Vec<Action>) {
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
            self.settle(range);
        }
        row.merge();
        self.join(&mut row);
        if row == self.row {
            return;
        }
        self.push_write(row, actions);
    }

    /// Gives a range to its next owner once its holder is known to have let go.
    fn settle(&mut self, range: &mut Range) {
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
