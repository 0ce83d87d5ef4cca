//! Leases of shards to the endpoint: their phase and their latest possible end.

use indexmap::IndexMap;

use super::message::{KeyRange, OwnedShard, ShardEpoch, ShardRef};
use super::sent_grants::{SentGrants, SentKind, shard_epoch};
use crate::ids::Epoch;
use crate::node::events::{GrantedShard, Ticket};
use crate::time::Wall;

/// Phase of a shard's lease at the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Granted and renewed.
    Serving,
    /// Draining: no new orders; those in flight are waited for.
    Stopping,
    /// No order is in flight; the grant is being revoked.
    Revoking,
    /// The endpoint no longer holds the shard. It is never granted again under
    /// this epoch: the planner may have assigned it to another endpoint.
    Released,
}

/// A shard assigned to the endpoint, with the state of its lease.
#[derive(Debug, Clone)]
pub struct HeldShard {
    /// The shard as assigned.
    pub owned: OwnedShard,
    /// Phase of its lease.
    pub phase: Phase,
    /// Latest grant end that the endpoint has confirmed.
    acked_end: Wall,
    /// Latest grant end ever sent, confirmed or not.
    latest_end: Wall,
    /// Whether a grant has been sent, or a revocation if it is being revoked.
    sent_in_phase: bool,
    /// Time of the last order for one of its keys; zero if there was none.
    last_sent: Wall,
}

/// What limits the endpoint's activity apart from this dispatcher's grants.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Whether the endpoint checks the epochs and ends of grants.
    pub checks_orders: bool,
    /// Grants and orders of earlier dispatchers have ended by this time; the
    /// skew bound is included.
    pub inherited_until: Wall,
    /// Bound on the difference of two wall clocks, in milliseconds.
    pub skew_ms: u64,
}

/// A released shard, which another endpoint may own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleasedShard {
    /// The shard.
    pub at: ShardRef,
    /// Epoch under which it was held.
    pub epoch: Epoch,
    /// Ids created before this may have run here.
    pub floor: Wall,
}

/// Grants of one endpoint.
#[derive(Debug, Default)]
pub struct Grants {
    shards: IndexMap<ShardRef, HeldShard>,
    sent: SentGrants,
    /// Latest grant end ever sent for any shard.
    latest_end: Wall,
}

impl Grants {
    /// The shard's lease; `None` if the shard is not assigned to the endpoint.
    #[must_use]
    pub fn get(&self, at: &ShardRef) -> Option<&HeldShard> {
        self.shards.get(at)
    }

    /// Replaces the set of assigned shards. Returns the key ranges of the shards
    /// that are no longer served.
    pub fn set_owned_shards(&mut self, shards: &[OwnedShard]) -> Vec<KeyRange> {
        let mut stopped = Vec::new();
        for owned in shards {
            self.set_shard(owned);
        }
        for held in self.shards.values_mut() {
            if shards.iter().any(|owned| owned.at == held.owned.at) {
                continue;
            }
            held.owned.moving = true;
            if held.phase == Phase::Serving {
                held.phase = Phase::Stopping;
                stopped.push(held.owned.key_range());
            }
        }
        self.shards.retain(|at, held| {
            held.phase != Phase::Released || shards.iter().any(|owned| owned.at == *at)
        });
        stopped
    }

    /// Stops serving moving shards, once they can be released soon. Returns
    /// their key ranges.
    ///
    /// Failure guarded against: after a takeover, an endpoint that does not check
    /// orders may run the predecessor's orders for a long time. If its moving
    /// shards were stopped at once, nobody would serve their keys meanwhile.
    pub fn stop_moving(&mut self, now: Wall, bounds: Bounds) -> Vec<KeyRange> {
        let mut stopped = Vec::new();
        if !bounds.checks_orders && now < bounds.inherited_until {
            return stopped;
        }
        for held in self.shards.values_mut() {
            if held.phase == Phase::Serving && held.owned.moving {
                held.phase = Phase::Stopping;
                stopped.push(held.owned.key_range());
            }
        }
        stopped
    }

    /// Records that an order is being sent under a shard.
    ///
    /// An order for a hot key counts for the surrounding shard as well, which
    /// gets the key back when the key is no longer hot.
    pub fn record_order_sent(&mut self, at: &ShardRef, now: Wall) {
        let Some(held) = self.shards.get_mut(at) else {
            return;
        };
        held.last_sent = held.last_sent.max(now);
        if !held.owned.is_hot() {
            return;
        }
        let hot = held.owned.clone();
        for held in self.shards.values_mut() {
            if held.owned.overlaps(&hot) {
                held.last_sent = held.last_sent.max(now);
            }
        }
    }

    /// Time of the last order under any shard that has keys in common with this
    /// one; zero if there was none.
    fn last_sent_overlapping(&self, owned: &OwnedShard) -> Wall {
        let overlapping = self
            .shards
            .values()
            .filter(|held| held.owned.overlaps(owned));
        overlapping
            .map(|held| held.last_sent)
            .max()
            .unwrap_or_default()
    }

    /// Whether an order for the shard may be sent now. The grant must have been
    /// confirmed: a grant that was only sent may never have arrived.
    #[must_use]
    pub fn is_live(&self, at: &ShardRef, now: Wall) -> bool {
        let Some(held) = self.shards.get(at) else {
            return false;
        };
        held.phase == Phase::Serving && held.acked_end > now
    }

    /// Shards to grant or renew. A stopping shard is renewed while it has orders
    /// in flight: otherwise the endpoint would refuse to commit them.
    #[must_use]
    pub fn to_grant(&self) -> Vec<GrantedShard> {
        self.in_phase(|phase| matches!(phase, Phase::Serving | Phase::Stopping))
    }

    /// Shards to revoke.
    #[must_use]
    pub fn to_revoke(&self) -> Vec<GrantedShard> {
        self.in_phase(|phase| phase == Phase::Revoking)
    }

    /// Whether a served shard has not been sent a grant yet.
    #[must_use]
    pub fn has_ungranted(&self) -> bool {
        let mut shards = self.shards.values();
        shards.any(|held| held.phase == Phase::Serving && !held.sent_in_phase)
    }

    /// Whether a shard to revoke has not been sent a revocation yet.
    #[must_use]
    pub fn has_unrevoked(&self) -> bool {
        let mut shards = self.shards.values();
        shards.any(|held| held.phase == Phase::Revoking && !held.sent_in_phase)
    }

    /// Records a grant that is being sent.
    ///
    /// An unanswered grant may sit in the socket buffer of a frozen endpoint and
    /// be processed later, so the shards count as granted until `end` from now
    /// on, whatever the outcome of the message.
    pub fn on_grant_sent(&mut self, ticket: Ticket, end: Wall, shards: &[GrantedShard]) {
        for shard in shards {
            let Some(held) = self.shards.get_mut(&shard_epoch(shard).at) else {
                continue;
            };
            held.sent_in_phase = true;
            held.latest_end = held.latest_end.max(end);
            self.latest_end = self.latest_end.max(end);
        }
        self.sent.add(ticket, SentKind::Grant { end }, shards);
    }

    /// Records a revocation that is being sent.
    pub fn on_revocation_sent(&mut self, ticket: Ticket, shards: &[GrantedShard]) {
        for shard in shards {
            if let Some(held) = self.shards.get_mut(&shard_epoch(shard).at) {
                held.sent_in_phase = true;
            }
        }
        self.sent.add(ticket, SentKind::Revoke, shards);
    }

    /// Handles the endpoint's confirmation of a grant or revocation. Returns
    /// whether it released a shard.
    pub fn on_confirmed(&mut self, ticket: Ticket, bounds: Bounds, now: Wall) -> bool {
        let Some(sent) = self.sent.take(ticket) else {
            return false;
        };
        let mut released = false;
        for ShardEpoch { at, epoch } in &sent.shards {
            let Some(held) = self.shards.get_mut(at) else {
                continue;
            };
            if held.owned.epoch != *epoch {
                continue;
            }
            match sent.kind {
                SentKind::Grant { end } => held.acked_end = held.acked_end.max(end),
                SentKind::Revoke => {
                    // An unanswered renewal could arrive after the revocation
                    // and give the shard back to the endpoint while the next
                    // owner holds it too. The revocation then proves nothing,
                    // and the shard is released only after its latest end.
                    let renewed = self.sent.may_arrive(at, now, bounds.skew_ms);
                    if held.phase == Phase::Revoking && bounds.checks_orders && !renewed {
                        held.phase = Phase::Released;
                        released = true;
                    }
                }
            }
        }
        released
    }

    /// Handles a grant or revocation that the endpoint refused because of a stale
    /// epoch: it has no effect, now or later.
    pub fn on_stale_epoch(&mut self, ticket: Ticket) {
        self.sent.take(ticket);
    }

    /// Advances stopping and revoking shards whose orders or grants have ended.
    /// `busy` says whether an order for a key range may be running. Returns
    /// whether a shard was released.
    pub fn pass_time(
        &mut self,
        now: Wall,
        bounds: Bounds,
        busy: impl Fn(&KeyRange) -> bool,
    ) -> bool {
        let mut released = false;
        self.sent.pass_time(now, bounds.skew_ms);
        for held in self.shards.values_mut() {
            if held.phase == Phase::Stopping && !busy(&held.owned.key_range()) {
                held.phase = Phase::Revoking;
                held.sent_in_phase = false;
            }
            if held.phase == Phase::Revoking && held.quiet_at(bounds) <= now {
                held.phase = Phase::Released;
                released = true;
            }
        }
        released
    }

    /// Time from which no grant can be live, whatever the endpoint has received.
    /// Orders in flight are not considered.
    #[must_use]
    pub fn quiet_at(&self, bounds: Bounds) -> Wall {
        if !bounds.checks_orders || self.latest_end == Wall(0) {
            return bounds.inherited_until;
        }
        let own_end = self.latest_end.plus(bounds.skew_ms);
        own_end.max(bounds.inherited_until)
    }

    /// Releases every shard under its present epoch, save those that are busy: a
    /// shard with orders that may still act is stopped, and released when they
    /// have ended.
    pub fn release_idle(&mut self, busy: impl Fn(&KeyRange) -> bool) {
        for held in self.shards.values_mut() {
            held.phase = match held.phase {
                Phase::Serving | Phase::Stopping if busy(&held.owned.key_range()) => {
                    Phase::Stopping
                }
                _ => Phase::Released,
            };
        }
    }

    /// Released shards to report to the planner: those that are moving, and all
    /// of them once the endpoint is `back`. `floor` is the dispatcher's own.
    ///
    /// Failure guarded against: the endpoint is lost for so long that its shards
    /// are released, and comes back before the planner has moved them, since no
    /// other endpoint takes shards or the report was lost. The shards are never
    /// granted again under their epoch, so nobody serves them. They are reported
    /// as well, and the planner gives them a new epoch.
    #[must_use]
    pub fn released(&self, back: bool, floor: Wall) -> Vec<ReleasedShard> {
        let mut shards = Vec::new();
        for (at, held) in &self.shards {
            if held.phase == Phase::Released && (held.owned.moving || back) {
                shards.push(ReleasedShard {
                    at: at.clone(),
                    epoch: held.owned.epoch,
                    floor: held.floor_for_next(floor),
                });
            }
        }
        shards
    }

    fn set_shard(&mut self, owned: &OwnedShard) {
        let Some(held) = self.shards.get_mut(&owned.at) else {
            let mut held = HeldShard::new(owned.clone(), Wall(0));
            held.last_sent = self.last_sent_overlapping(owned);
            self.shards.insert(owned.at.clone(), held);
            return;
        };
        if owned.epoch < held.owned.epoch {
            return;
        }
        if owned.epoch > held.owned.epoch {
            let last_sent = held.last_sent;
            *held = HeldShard::new(owned.clone(), held.latest_end);
            held.last_sent = last_sent;
            return;
        }
        held.owned = owned.clone();
        if held.phase == Phase::Stopping && !owned.moving {
            held.phase = Phase::Serving;
        }
    }

    fn in_phase(&self, wanted: impl Fn(Phase) -> bool) -> Vec<GrantedShard> {
        let mut shards = Vec::new();
        for held in self.shards.values() {
            if !wanted(held.phase) {
                continue;
            }
            shards.push(GrantedShard {
                service: held.owned.at.service.clone(),
                shard: held.owned.at.shard,
                epoch: held.owned.epoch,
                range: held.owned.range,
            });
        }
        shards
    }
}

impl HeldShard {
    /// Floor for the next owner: ids created before it may have run here.
    /// `floor` is the dispatcher's own.
    ///
    /// No id is sent before its time of creation, so every id that was sent was
    /// created at or before the time of the last order. A later floor would answer
    /// `may have run` to requests that only waited for the move.
    fn floor_for_next(&self, floor: Wall) -> Wall {
        let sent = match self.last_sent {
            Wall(0) => Wall(0),
            last => last.plus(1),
        };
        floor.max(self.owned.floor).max(sent)
    }

    /// State of a newly assigned shard. A shard that is already moving is not
    /// served.
    ///
    /// Failure guarded against: an earlier dispatcher has reported the shard
    /// released and was lost. When the report reaches the planner, the shard gets
    /// its next owner; if it were served here as well, its keys would have two.
    fn new(owned: OwnedShard, latest_end: Wall) -> Self {
        let phase = if owned.moving {
            Phase::Stopping
        } else {
            Phase::Serving
        };
        Self {
            owned,
            phase,
            acked_end: Wall(0),
            latest_end,
            sent_in_phase: false,
            last_sent: Wall(0),
        }
    }

    /// Time from which the shard can be released without the endpoint's
    /// confirmation. The end of a grant does not bind an endpoint that does not
    /// check orders: this dispatcher's orders have ended by now, and those of an
    /// earlier dispatcher must be waited out.
    fn quiet_at(&self, bounds: Bounds) -> Wall {
        if !bounds.checks_orders {
            return bounds.inherited_until;
        }
        let own_end = self.latest_end.plus(bounds.skew_ms);
        own_end.max(bounds.inherited_until)
    }
}
