//! Sending of grants, revocations and probes, and handling of their answers.

use super::health::Reach;
use super::machine::Dispatcher;
use super::message::{DispatchAction, Turn};
use crate::node::events::{Grant, GrantedShard, ProbeReport, Ticket};
use crate::outcome::NotRunReason;
use crate::time::Wall;

impl Dispatcher {
    pub(super) fn on_grant_done(&mut self, ticket: Ticket, report: &ProbeReport, turn: Turn) {
        let before = self.health.reach();
        let was_cold = self.health.cold();
        self.health
            .on_probe_done(ticket, report, &self.cfg, turn.now.mono);
        match *report {
            ProbeReport::Failed => self.on_probe_failed(before, turn),
            ProbeReport::Answered { stale_epoch, .. } => {
                if before != Reach::Healthy {
                    self.next_renewal = turn.now.mono;
                }
                if self.health.cold() && !was_cold {
                    self.limit.on_cold_start();
                }
                if before == Reach::Unreachable {
                    self.on_reachable_again();
                }
                self.on_grant_answered(ticket, stale_epoch, turn);
            }
        }
        self.update_predecessor_orders();
    }

    /// Advances moving shards towards their release, as far as live grants and
    /// running orders allow.
    pub(super) fn release_shards(&mut self, turn: Turn) {
        let bounds = self.bounds();
        for range in self.grants.stop_moving(turn.now.wall, bounds) {
            self.give_up_range(&range);
        }
        let slots = &self.slots;
        let released = self
            .grants
            .pass_time(turn.now.wall, bounds, |range| slots.has_order_in(range));
        if released {
            self.next_report = turn.now.mono;
        }
    }

    /// Sends the grants and revocations that are due.
    pub(super) fn send_control(&mut self, turn: Turn) {
        let due = turn.now.mono >= self.next_renewal;
        if due {
            self.next_renewal = turn.now.mono.plus(self.cfg.renew_ms);
        }
        let may_grant = self.may_grant();
        if due || (may_grant && self.grants.has_ungranted()) {
            self.send_grant(may_grant, turn);
        }
        if may_grant && (due || self.grants.has_unrevoked()) {
            self.send_revocation();
        }
    }

    /// Whether shards may be granted. An endpoint that has stopped answering is
    /// probed without shards: each further grant would delay the time at which
    /// all its grants have ended, and with it the recovery of its keys.
    const fn may_grant(&self) -> bool {
        !self.quiet && !self.health.stale() && !self.health.has_failed_probe()
    }

    fn send_grant(&mut self, may_grant: bool, turn: Turn) {
        let shards = if may_grant {
            self.grants.to_grant()
        } else {
            Vec::new()
        };
        let end = turn.now.wall.plus(self.cfg.bounded_grant_ms());
        let ticket = self.ticket();
        self.grants.on_grant_sent(ticket, end, &shards);
        let grant = self.grant_message(end, shards);
        self.out.push(DispatchAction::Grant { ticket, grant });
    }

    fn send_revocation(&mut self) {
        let shards = self.grants.to_revoke();
        if shards.is_empty() {
            return;
        }
        let ticket = self.ticket();
        self.grants.on_revocation_sent(ticket, &shards);
        let grant = self.grant_message(Wall(0), shards);
        self.out.push(DispatchAction::Revoke { ticket, grant });
    }

    fn grant_message(&self, end: Wall, shards: Vec<GrantedShard>) -> Grant {
        Grant {
            dispatch_epoch: self.epoch,
            dispatcher: self.session.clone(),
            end,
            shards,
        }
    }

    fn on_grant_answered(&mut self, ticket: Ticket, stale_epoch: bool, turn: Turn) {
        if stale_epoch {
            self.grants.on_stale_epoch(ticket);
            self.out.push(DispatchAction::Superseded);
            self.give_up_all(NotRunReason::NotDispatcher);
            return;
        }
        if self
            .grants
            .on_confirmed(ticket, self.bounds(), turn.now.wall)
        {
            self.next_report = turn.now.mono;
        }
        if self.is_draining() {
            self.give_up_all(NotRunReason::Draining);
        }
    }

    fn on_probe_failed(&mut self, before: Reach, turn: Turn) {
        let lost = self.health.reach() == Reach::Unreachable;
        if lost && before != Reach::Unreachable {
            self.next_report = turn.now.mono;
            self.give_up_all(NotRunReason::EndpointUnreachable);
        }
    }

    fn on_reachable_again(&mut self) {
        self.quiet = false;
        self.limit.on_cold_start();
        self.out.push(DispatchAction::EndpointBack);
    }

    /// Updates the number of predecessor's orders from the endpoint's report. It
    /// only decreases, so that a report that lags behind does not count orders of
    /// this dispatcher as the predecessor's.
    fn update_predecessor_orders(&mut self) {
        let Some(running) = self.health.reported_running() else {
            return;
        };
        let others = running.saturating_sub(self.slots.used());
        self.predecessor_orders = self.predecessor_orders.min(others);
    }
}
