//! Moves of key ranges: seal and release at the old holder, then the grant to the next owner.

use crate::gateway::assignment::{self, Assignment, FENCES_PER_MOVE, Holder, MAX_RANGES, Range};
use crate::gateway::leader::divisions::DivisionStep;
use crate::gateway::leader::holds::{GrantStatus, Holds};
use crate::gateway::leader::orders::{Action, Order, OrderKind, OrderResult, Span};
use crate::gateway::leader::{Leader, LeaderSettings, Term};
use crate::gateway::registry::{Listing, Registry};
use crate::time::Mono;

/// Most seals that are sent before the end of the hold is awaited instead.
const MAX_SEALS: u64 = FENCES_PER_MOVE - 1;

/// Interval between two checks of a move that waits, in milliseconds. The move waits for a
/// retry, which takes 0.25 s, or for the end of a hold, which takes seconds.
const CHECK_INTERVAL_MS: u64 = 100;

/// Progress of a move.
#[derive(Debug, Default)]
pub(super) struct MoveState {
    /// Number of seals sent so far; each has a fence of its own.
    seals: u64,
    /// Whether a seal or release awaits its answer.
    pending: bool,
    /// Whether the holder has confirmed the latest seal.
    sealed: bool,
    /// Earliest time of the next order.
    order_after: Mono,
    /// Earliest time of the next check.
    check_after: Mono,
    /// How the holder gave up the range; `None` while it may still hold it.
    freed: Option<Freed>,
}

/// How a holder is known to hold a range no more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Freed {
    /// It answered a release, with a handover proof for the next owner if it has one.
    Released(Option<String>),
    /// Its hold or its process has ended.
    Lapsed,
}

impl MoveState {
    /// Step of the move, for the times of a division.
    pub(super) const fn step(&self) -> DivisionStep {
        match (&self.freed, self.sealed) {
            (Some(_), _) => DivisionStep::Released,
            (None, true) => DivisionStep::Sealed,
            (None, false) => DivisionStep::Stored,
        }
    }

    pub(super) const fn freed(&self) -> Option<&Freed> {
        self.freed.as_ref()
    }

    /// Fence of the latest seal, which is below the next owner's fence.
    fn seal_fence(&self, next: &Holder) -> u64 {
        next.fence - FENCES_PER_MOVE + self.seals
    }
}

/// Most ranges of a row, by the number of its endpoints.
fn max_ranges(row: &Assignment) -> usize {
    if row.ranges.len() < MAX_RANGES {
        // The limit is at least this for any number of endpoints.
        return MAX_RANGES;
    }
    assignment::max_ranges(row.holder_count())
}

/// Splits the span off its range and starts its move.
///
/// Returns false if no single range contains the span, if `to` is its next owner already, or its
/// owner while it does not move, or if the row has no room for more ranges.
pub(super) fn begin_move(row: &mut Assignment, span: Span, to: &Listing) -> bool {
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
    // Failure: a row that is full of small ranges accepts no move, and the keys of endpoints
    // that have ended are served by nobody. A move of a whole range needs no room.
    let splits =
        usize::from(row.ranges[i].first < span.first) + usize::from(span.last < row.ranges[i].last);
    let has_room = splits == 0 || row.ranges.len() + splits <= max_ranges(row);
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
        let before = remainder(row, &old, old.first, span.first - 1);
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
        let after = remainder(row, &old, span.last + 1, old.last);
        row.ranges.insert(at + 1, after);
    }
    true
}

/// Remainder of a range that keys were split off from.
///
/// Failure guarded against: both remainders of a moving range keep the fence of its move; the
/// holder releases one of them, and both are given to the next owner. So each remainder gets a
/// fence of its own.
fn remainder(row: &mut Assignment, old: &Range, first: u16, last: u16) -> Range {
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
    /// Merges neighbouring ranges of the same grant that do not move.
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
    /// Joins neighbouring ranges of one holder under a new fence. This needs no release, since
    /// the holder keeps all of the keys.
    ///
    /// Load: each hot range leaves dozens of splits behind, and after some minutes the row
    /// reaches the size limit of the store.
    pub(super) fn join_neighbours(&self, row: &mut Assignment) {
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
            // The joined range has no grant yet, so it cannot be joined with the next one.
            i += 1;
        }
    }

    fn can_join(&self, left: &Range, right: &Range) -> bool {
        let same = left.holder.endpoint == right.holder.endpoint
            && left.holder.address == right.holder.address;
        // The handover proof of a move is sent with the first grant of its fence, and a new
        // fence would lose it.
        let granted = |range: &Range| {
            let holder = &range.holder;
            let status = self.holds.get(&holder.endpoint, range.span(), holder.fence);
            status.is_some_and(|status| status.succeeded && !status.pending)
                && !self.handovers.contains_key(&holder.fence)
        };
        same && !left.is_moving() && !right.is_moving() && granted(left) && granted(right)
    }

    /// Renews grants that are due and sends new ones.
    pub(super) fn renew(
        &mut self,
        now: Mono,
        term: Term,
        registry: &Registry,
        actions: &mut Vec<Action>,
    ) {
        let connect_by = self.connect_by(term);
        self.renew_by(now, connect_by, |_, _| true, registry, actions);
    }

    /// Renews grants that are due and were sent before. A range that was joined of several ones is
    /// granted under its own fence if its holder has the grants of all of them.
    pub(super) fn renew_sent(
        &mut self,
        now: Mono,
        connect_by: Mono,
        registry: &Registry,
        actions: &mut Vec<Action>,
    ) {
        let was_sent =
            |holds: &Holds, range: &Range| holds.cover(&range.holder.endpoint, range.span());
        self.renew_by(now, connect_by, was_sent, registry, actions);
    }

    /// Sends the grants that are due and of which `sends` is true, on connections that were opened
    /// by `connect_by`.
    fn renew_by(
        &mut self,
        now: Mono,
        connect_by: Mono,
        sends: impl Fn(&Holds, &Range) -> bool,
        registry: &Registry,
        actions: &mut Vec<Action>,
    ) {
        for range in &self.row.ranges {
            if range.is_moving() || self.reach.is_lost(&self.cfg, now, &range.holder.endpoint) {
                continue;
            }
            let span = range.span();
            let status = self
                .holds
                .get(&range.holder.endpoint, span, range.holder.fence);
            if !is_due(&self.cfg, now, status) || !sends(&self.holds, range) {
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
                .record_sent(now, &holder.endpoint, span, holder.fence, times);
            let mut order = order(self, now, span, holder, holder.fence, kind);
            order.connect_by = order.connect_by.min(connect_by);
            actions.push(Action::Order(order));
        }
    }

    /// Latest time at which a connection that carries a grant may have been opened.
    const fn connect_by(&self, term: Term) -> Mono {
        term.contact.plus(self.cfg.connect_limit_ms)
    }

    /// Advances each moving range by one step.
    pub(super) fn advance_moves(&mut self, now: Mono, term: Term, actions: &mut Vec<Action>) {
        let connect_by = self.connect_by(term);
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
            if state.freed.is_some() || now < state.check_after {
                continue;
            }
            // Load: with hundreds of pending moves, a check of each of them in each step takes
            // more time than the leader has.
            state.check_after = now.plus(CHECK_INTERVAL_MS);
            let span = range.span();
            let holder = &range.holder;
            // Failure: another start listens on the holder's address, and a renewal addressed to
            // the earlier start has reached it. If it does not check the addressee, it holds
            // the keys. So a replaced start is sealed and released like any other: the
            // process that listens now refuses the order or releases the keys.
            if state.pending {
                continue;
            }
            let latest = self
                .holds
                .latest_end(&holder.endpoint, span)
                .max(term.former_leaders.hold_until);
            if now > latest {
                state.freed = Some(Freed::Lapsed);
                continue;
            }
            let lost = self.reach.is_lost(&self.cfg, now, &holder.endpoint);
            let wait = self.reach.backs_off(&self.cfg, now, &holder.endpoint);
            if now < state.order_after || wait {
                continue;
            }
            // A release does not extend the hold and is retried without limit. A seal extends
            // it, so after the last seal the end of the hold is awaited.
            let kind = if state.sealed {
                OrderKind::Release
            } else if state.seals < MAX_SEALS && !lost {
                // Failure: the holder confirms the seal, restarts under its name and loses the
                // fence. An earlier, unanswered renewal then arrives, and it holds keys that
                // the next owner holds by then. So a seal is sent only when no earlier grant
                // can still arrive. Grants that a start has received end with that start.
                if self.holds.may_arrive(now, &holder.endpoint, span) {
                    continue;
                }
                // Failure: the holder restarts after the seal and loses the fence, and the
                // renewal comes from a former leader that does not know of this one.
                if now < term.former_leaders.connect_until {
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
                self.holds
                    .record_sent(now, &holder.endpoint, span, fence, times);
            }
            actions.push(Action::Order(order));
        }
    }

    /// Handles the result of an order.
    pub fn handle_order_result(&mut self, now: Mono, order: &Order, result: &OrderResult) {
        match result {
            OrderResult::Done { .. } | OrderResult::Stale | OrderResult::NotThere => {
                self.reach.answered(&order.endpoint);
            }
            // Failure: an overloaded leader sends its orders too late, considers the endpoints
            // lost, and adds to its load by moving their keys.
            OrderResult::TooLate | OrderResult::NotConnected => {}
            OrderResult::NotSent | OrderResult::Lost => {
                // A release without an answer is no failure: it waits for the end of the work.
                if order.kind != OrderKind::Release || *result == OrderResult::NotSent {
                    self.reach.failed(now, &order.endpoint);
                }
            }
        }
        match &order.kind {
            OrderKind::Grant { .. } => self.record_grant(now, order, result),
            OrderKind::Seal { .. } | OrderKind::Release => self.record_move(now, order, result),
        }
    }

    /// Records the result of a grant.
    fn record_grant(&mut self, now: Mono, order: &Order, result: &OrderResult) {
        let ok = matches!(result, OrderResult::Done { .. });
        if result.is_unsent() {
            // The previous order has been abandoned by now and may still arrive.
            let end = self.cfg.latest_hold_end(now.plus(self.cfg.late_arrival_ms));
            self.holds
                .record_unsent(&order.endpoint, order.span, order.fence, end);
        } else {
            self.record_hold(order, result);
        }
        if ok {
            self.handovers.swap_remove(&order.fence);
        }
    }

    /// Records the effect of a grant or seal on the hold.
    fn record_hold(&mut self, order: &Order, result: &OrderResult) {
        let (endpoint, span, fence) = (&order.endpoint, order.span, order.fence);
        match result {
            OrderResult::Lost => self.holds.record_lost(endpoint, span, fence),
            OrderResult::Done { .. } => self.holds.record_answer(endpoint, span, fence, true),
            OrderResult::Stale
            | OrderResult::NotThere
            | OrderResult::NotSent
            | OrderResult::TooLate
            | OrderResult::NotConnected => self.holds.record_answer(endpoint, span, fence, false),
        }
    }

    /// Records the result of a seal or release.
    fn record_move(&mut self, now: Mono, order: &Order, result: &OrderResult) {
        let sealing = matches!(order.kind, OrderKind::Seal { .. });
        if sealing {
            self.record_hold(order, result);
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
        state.check_after = now;
        match result {
            OrderResult::Done { .. } if sealing => state.sealed = true,
            OrderResult::Done { handover } => state.freed = Some(Freed::Released(handover.clone())),
            // Another process listens on the address, so the holder's process has ended.
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

    /// Removes the failure records of endpoints that are neither listed nor holders.
    pub fn forget_absent(&mut self, registry: &Registry) {
        let row = &self.row;
        self.reach.forget_absent(|id| {
            registry.get(id).is_some() || row.ranges.iter().any(|r| r.holder.endpoint == *id)
        });
    }
}

/// Whether a grant is to be sent or renewed; `status` is `None` if it was not sent before.
fn is_due(cfg: &LeaderSettings, now: Mono, status: Option<GrantStatus>) -> bool {
    let Some(status) = status else { return true };
    if status.pending {
        return false;
    }
    let period = if status.succeeded {
        cfg.renew_ms
    } else {
        cfg.retry_ms
    };
    now.since(status.sent_at) >= period
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
    /// Keys of the range.
    #[must_use]
    pub const fn span(&self) -> Span {
        Span {
            first: self.first,
            last: self.last,
        }
    }
}
