//! A range on its way from its holder to the next owner.

use crate::gateway::assignment::{self, Assignment, FENCES_PER_MOVE, Holder, MAX_RANGES, Range};
use crate::gateway::leader::holds::Given;
use crate::gateway::leader::orders::{Action, Order, OrderKind, OrderResult, Span};
use crate::gateway::leader::{Leader, LeaderSettings, Tenure};
use crate::gateway::registry::{Listing, Registry};
use crate::time::Mono;

/// Seals that are tried before a holder's time is waited for instead.
const MAX_SEALS: u64 = FENCES_PER_MOVE - 1;

/// Time between two looks at a move that waits, in milliseconds: what it waits for takes
/// 0.25 s (another try) or seconds (the end of a hold).
const LOOK_MS: u64 = 100;

/// How far the holder of a moving range has let go.
#[derive(Debug, Default)]
pub(super) struct MoveState {
    /// Seals sent so far; each has a fence of its own.
    seals: u64,
    /// The seal or release under way was not answered yet.
    pending: bool,
    /// The newest seal was confirmed.
    sealed: bool,
    /// No order before.
    order_after: Mono,
    /// Nothing new before.
    look_after: Mono,
    /// Set once the holder is known to hold nothing.
    freed: Option<Freed>,
}

/// How a holder was found to hold nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Freed {
    /// It answered a release; the proof is for the next owner.
    Released(Option<String>),
    /// Its time has run out or its process has ended.
    Lapsed,
}

impl MoveState {
    pub(super) const fn freed(&self) -> Option<&Freed> {
        self.freed.as_ref()
    }

    /// Fence of the seal that was sent last, below the next owner's.
    fn seal_fence(&self, next: &Holder) -> u64 {
        next.fence - FENCES_PER_MOVE + self.seals
    }
}

/// Most ranges of a row, by its endpoints.
fn max_ranges(row: &Assignment) -> usize {
    if row.ranges.len() < MAX_RANGES {
        // No row has to have fewer.
        return MAX_RANGES;
    }
    assignment::max_ranges(row.holder_count())
}

/// Cuts the span out of its range and starts its move; false if it does not fit.
pub(super) fn begin(row: &mut Assignment, span: Span, to: &Listing) -> bool {
    let Some(i) = row
        .ranges
        .iter()
        .position(|r| r.first <= span.first && span.last <= r.last)
    else {
        return false;
    };
    let target = |range: &Range| {
        range
            .next
            .as_ref()
            .unwrap_or(&range.holder)
            .endpoint
            .clone()
    };
    // Failure: a row that is full of small ranges took no move at all, and keys of
    // endpoints that had ended were served by nobody. Whole ranges need no room.
    let cuts =
        usize::from(row.ranges[i].first < span.first) + usize::from(span.last < row.ranges[i].last);
    let has_room = cuts == 0 || row.ranges.len() + cuts <= max_ranges(row);
    if target(&row.ranges[i]) == to.start || !has_room {
        return false;
    }
    let next = Holder {
        endpoint: to.start.clone(),
        address: to.address,
        fence: row.allocate_fences(FENCES_PER_MOVE),
    };
    let old = row.ranges.remove(i);
    let mut at = i;
    if old.first < span.first {
        let before = rest(row, &old, old.first, span.first - 1);
        row.ranges.insert(at, before);
        at += 1;
    }
    let moving = Range {
        first: span.first,
        last: span.last,
        holder: old.holder.clone(),
        next: Some(next),
    };
    row.ranges.insert(at, moving);
    if span.last < old.last {
        let after = rest(row, &old, span.last + 1, old.last);
        row.ranges.insert(at + 1, after);
    }
    true
}

/// What is left of a range from which keys were cut out.
///
/// Failure guarded against: two rests of a range on its way go on under the fence of its
/// move; the holder lets go of one of them, and both are given to the next owner.
fn rest(row: &mut Assignment, old: &Range, first: u16, last: u16) -> Range {
    let next = old.next.as_ref().map(|next| Holder {
        fence: row.allocate_fences(FENCES_PER_MOVE),
        ..next.clone()
    });
    Range {
        first,
        last,
        holder: old.holder.clone(),
        next,
    }
}

impl Assignment {
    /// Joins neighbours that were cut from one grant and need not be apart.
    pub(super) fn merge(&mut self) {
        self.ranges.dedup_by(|right, left| {
            let same = left.holder == right.holder && left.next.is_none() && right.next.is_none();
            if same {
                left.last = right.last;
            }
            same
        });
    }
}

impl Leader {
    /// Joins neighbours of one holder under a new fence, which needs no release: the
    /// holder has all of their keys, and nobody else gets any.
    ///
    /// Load: each hot range leaves dozens of cuts behind, and after some minutes the row
    /// is as long as the store takes.
    pub(super) fn join(&self, row: &mut Assignment) {
        let mut i = 1;
        while i < row.ranges.len() {
            let (left, right) = (&row.ranges[i - 1], &row.ranges[i]);
            if !self.can_join(left, right) {
                i += 1;
                continue;
            }
            let (last, fence) = (right.last, row.allocate_fences(FENCES_PER_MOVE));
            row.ranges.remove(i);
            row.ranges[i - 1].last = last;
            row.ranges[i - 1].holder.fence = fence;
            // The joined range has not been granted yet.
            i += 1;
        }
    }

    fn can_join(&self, left: &Range, right: &Range) -> bool {
        let same = left.holder.endpoint == right.holder.endpoint
            && left.holder.address == right.holder.address;
        // The proof of a move goes with the first grant of its fence.
        let granted = |range: &Range| {
            let holder = &range.holder;
            let given = self.holds.get(&holder.endpoint, range.span(), holder.fence);
            given.is_some_and(|given| given.answered && !given.pending)
                && !self.handovers.contains_key(&holder.fence)
        };
        same && !left.is_moving() && !right.is_moving() && granted(left) && granted(right)
    }

    /// Renews what the row gives and grants what is new.
    pub(super) fn renew(
        &mut self,
        now: Mono,
        tenure: Tenure,
        registry: &Registry,
        actions: &mut Vec<Action>,
    ) {
        let connect_by = self.connect_by(tenure);
        for range in &self.row.ranges {
            if range.is_moving() || self.reach.is_lost(&self.cfg, now, &range.holder.endpoint) {
                continue;
            }
            let span = range.span();
            let given = self
                .holds
                .get(&range.holder.endpoint, span, range.holder.fence);
            if !is_due(&self.cfg, now, given) {
                continue;
            }
            if self.reach.backs_off(&self.cfg, now, &range.holder.endpoint) {
                continue;
            }
            if registry.is_replaced(&range.holder.endpoint, range.holder.address) {
                continue;
            }
            let kind = OrderKind::Grant {
                hold_ms: self.cfg.hold_ms,
                handover: self.handovers.get(&range.holder.fence).cloned(),
            };
            let times = self.cfg.call_times(now);
            let holder = &range.holder;
            self.holds
                .sent(now, &holder.endpoint, span, holder.fence, times);
            let mut order = order(self, now, span, holder, holder.fence, kind);
            order.connect_by = order.connect_by.min(connect_by);
            actions.push(Action::Order(order));
        }
    }

    /// When a connection must have been made at the latest that is to carry a grant.
    const fn connect_by(&self, tenure: Tenure) -> Mono {
        tenure.contact.plus(self.cfg.connect_limit_ms)
    }

    /// Takes each moving range one step further.
    pub(super) fn advance_moves(&mut self, now: Mono, tenure: Tenure, actions: &mut Vec<Action>) {
        let connect_by = self.connect_by(tenure);
        let moving: Vec<_> = self
            .row
            .ranges
            .iter()
            .filter(|r| r.is_moving())
            .cloned()
            .collect();
        for range in moving {
            let Some(next) = &range.next else { continue };
            let state = self.moves.entry(next.fence).or_default();
            if state.freed.is_some() || now < state.look_after {
                continue;
            }
            // Load: with hundreds of moves under way a look at each of them in each step
            // took more time than the leader has.
            state.look_after = now.plus(LOOK_MS);
            let span = range.span();
            let holder = &range.holder;
            // Failure: another start has the holder's address, and a renewal that was meant
            // for the first has reached it; one that does not look whom an order names
            // holds the keys. So a start that was replaced is sealed and released like
            // any other: the one that listens now refuses the order, or lets go.
            if state.pending {
                continue;
            }
            let latest = self
                .holds
                .latest_end(&holder.endpoint, span)
                .max(tenure.rivals.hold_until);
            if now > latest {
                state.freed = Some(Freed::Lapsed);
                continue;
            }
            let lost = self.reach.is_lost(&self.cfg, now, &holder.endpoint);
            let wait = self.reach.backs_off(&self.cfg, now, &holder.endpoint);
            if now < state.order_after || wait {
                continue;
            }
            // A release extends no hold and may be tried for as long as it takes. A
            // seal does: after the last one the holder's time is waited for.
            let kind = if state.sealed {
                OrderKind::Release
            } else if state.seals < MAX_SEALS && !lost {
                // Failure: the holder confirms the seal, starts again under its name and
                // forgets it; a renewal of before that was not answered arrives, and it
                // holds keys that the next owner has by then. So a seal counts only if
                // all that was sent before it has arrived: what a start has received
                // ends with it.
                if self.holds.may_arrive(now, &holder.endpoint, span) {
                    continue;
                }
                // Failure: the same, and the renewal comes from an earlier leader that does
                // not know of this one.
                if now < tenure.rivals.connect_until {
                    continue;
                }
                state.seals += 1;
                OrderKind::Seal {
                    hold_ms: self.cfg.hold_ms,
                }
            } else {
                continue;
            };
            state.pending = true;
            let fence = state.seal_fence(next);
            let mut order = order(self, now, span, holder, fence, kind);
            if matches!(order.kind, OrderKind::Seal { .. }) {
                order.connect_by = order.connect_by.min(connect_by);
                let times = self.cfg.call_times(now);
                self.holds.sent(now, &holder.endpoint, span, fence, times);
            }
            actions.push(Action::Order(order));
        }
    }

    /// Takes what came of an order.
    pub fn answered(&mut self, now: Mono, order: &Order, result: &OrderResult) {
        match result {
            OrderResult::Done { .. } | OrderResult::Stale | OrderResult::NotThere => {
                self.reach.answered(&order.endpoint);
            }
            // Failure: a leader with too much to do begins its orders too late, takes the
            // endpoints for lost, and has even more to do by moving their keys.
            OrderResult::TooLate | OrderResult::NotConnected => {}
            OrderResult::NotSent | OrderResult::Lost => {
                // A release takes as long as the work that it waits for.
                if order.kind != OrderKind::Release || *result == OrderResult::NotSent {
                    self.reach.failed(now, &order.endpoint);
                }
            }
        }
        match &order.kind {
            OrderKind::Grant { .. } => self.grant_answered(now, order, result),
            OrderKind::Seal { .. } | OrderKind::Release => self.move_answered(now, order, result),
        }
    }

    fn grant_answered(&mut self, now: Mono, order: &Order, result: &OrderResult) {
        let ok = matches!(result, OrderResult::Done { .. });
        if result.is_unsent() {
            // The order before it was given up by now and may still arrive.
            let end = self.cfg.latest_hold_end(now.plus(self.cfg.late_arrival_ms));
            self.holds
                .not_sent(&order.endpoint, order.span, order.fence, end);
        } else {
            self.hold_answered(order, result);
        }
        if ok {
            self.handovers.swap_remove(&order.fence);
        }
    }

    /// Takes what came of a call that gives a hold.
    fn hold_answered(&mut self, order: &Order, result: &OrderResult) {
        let (endpoint, span, fence) = (&order.endpoint, order.span, order.fence);
        match result {
            OrderResult::Lost => self.holds.lost(endpoint, span, fence),
            OrderResult::Done { .. } => self.holds.answered(endpoint, span, fence, true),
            OrderResult::Stale
            | OrderResult::NotThere
            | OrderResult::NotSent
            | OrderResult::TooLate
            | OrderResult::NotConnected => self.holds.answered(endpoint, span, fence, false),
        }
    }

    fn move_answered(&mut self, now: Mono, order: &Order, result: &OrderResult) {
        let sealing = matches!(order.kind, OrderKind::Seal { .. });
        if sealing {
            self.hold_answered(order, result);
        }
        let next = self
            .row
            .ranges
            .iter()
            .filter(|r| r.span() == order.span && r.holder.endpoint == order.endpoint)
            .find_map(|r| r.next.as_ref());
        let Some(next) = next else { return };
        let Some(state) = self.moves.get_mut(&next.fence) else {
            return;
        };
        if state.seal_fence(next) != order.fence {
            return;
        }
        state.pending = false;
        state.look_after = now;
        match result {
            OrderResult::Done { .. } if sealing => state.sealed = true,
            OrderResult::Done { handover } => state.freed = Some(Freed::Released(handover.clone())),
            // The process that held the keys has ended.
            OrderResult::NotThere => state.freed = Some(Freed::Lapsed),
            OrderResult::Stale
            | OrderResult::NotSent
            | OrderResult::TooLate
            | OrderResult::NotConnected
            | OrderResult::Lost => {
                state.order_after = now.plus(self.cfg.retry_ms);
            }
        }
    }

    /// Forgets endpoints that are neither listed nor holders.
    pub fn forget_absent(&mut self, registry: &Registry) {
        let row = &self.row;
        self.reach.forget_absent(|id| {
            registry.get(id).is_some() || row.ranges.iter().any(|r| r.holder.endpoint == *id)
        });
    }
}

fn is_due(cfg: &LeaderSettings, now: Mono, given: Option<Given>) -> bool {
    let Some(given) = given else { return true };
    if given.pending {
        return false;
    }
    let period = if given.answered {
        cfg.renew_ms
    } else {
        cfg.retry_ms
    };
    now.since(given.at) >= period
}

fn order(
    leader: &Leader,
    now: Mono,
    span: Span,
    holder: &Holder,
    fence: u64,
    kind: OrderKind,
) -> Order {
    let limit_ms = match kind {
        OrderKind::Grant { .. } | OrderKind::Seal { .. } => leader.cfg.order_timeout_ms,
        OrderKind::Release => leader.cfg.release_timeout_ms,
    };
    let until = now.plus(limit_ms);
    Order {
        deadline: until,
        connect_by: until,
        service: leader.service.clone(),
        endpoint: holder.endpoint.clone(),
        address: holder.address,
        span,
        fence,
        kind,
    }
}

impl Range {
    /// Its keys.
    #[must_use]
    pub const fn span(&self) -> Span {
        Span {
            first: self.first,
            last: self.last,
        }
    }
}
