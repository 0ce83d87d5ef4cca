//! Which shards the endpoint holds, and until when at the latest.

use indexmap::IndexMap;

use super::message::{KeyRange, OwnedShard, ShardEpoch, ShardRef};
use super::sent_grants::{SentGrants, SentKind, shard_epoch};
use crate::ids::Epoch;
use crate::node::events::{GrantedShard, Ticket};
use crate::time::Wall;

/// How far a shard has come on its way in and out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Granted and renewed.
    Serving,
    /// No new work; its orders are waited for.
    Stopping,
    /// No order is left; it is being revoked.
    Revoking,
    /// The endpoint holds nothing of it. Never granted again under its epoch:
    /// the planner may have given it to another endpoint by now.
    Released,
}

/// A shard at the endpoint.
#[derive(Debug, Clone)]
pub struct HeldShard {
    /// The shard as assigned.
    pub owned: OwnedShard,
    /// How far it has come.
    pub phase: Phase,
    /// Latest end that the endpoint has confirmed.
    acked_end: Wall,
    /// Latest end that was ever sent, confirmed or not.
    latest_end: Wall,
    /// A grant, or a revocation in that phase, has been sent.
    sent_in_phase: bool,
    /// When the last order for one of its keys was sent.
    last_sent: Wall,
}

/// What is true of the endpoint beyond this dispatcher's own grants.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Whether it checks epochs and ends.
    pub checks_orders: bool,
    /// Nothing that an earlier dispatcher left there can act after this; the
    /// skew bound is included.
    pub inherited_until: Wall,
    /// Bound on the difference of two wall clocks, in milliseconds.
    pub skew_ms: u64,
}

/// A shard that its next owner may have.
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
    /// Latest end that was ever sent for any shard.
    latest_end: Wall,
}

impl Grants {
    /// A shard at the endpoint.
    #[must_use]
    pub fn get(&self, at: &ShardRef) -> Option<&HeldShard> {
        self.shards.get(at)
    }

    /// Takes in the assigned shards, all of them. Returns those that get no
    /// new work from now on.
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

    /// Stops shards that are on their way out and could be released soon.
    /// Returns them.
    ///
    /// Failure guarded against: after a takeover an endpoint that does not check
    /// may run orders of the predecessor for long. Were its moving shards stopped
    /// at once, nobody would serve their keys all that time.
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

    /// Notes that an order is being sent under a shard.
    ///
    /// One for a hot key counts for the shard around it as well, which gets the
    /// key back when it has cooled.
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

    /// Latest order under any shard that has keys in common with this one.
    fn last_sent_overlapping(&self, owned: &OwnedShard) -> Wall {
        let near = self
            .shards
            .values()
            .filter(|held| held.owned.overlaps(owned));
        near.map(|held| held.last_sent).max().unwrap_or_default()
    }

    /// Whether an order of the shard may be sent now. The grant must have been
    /// confirmed: an end that was merely sent may never have arrived.
    #[must_use]
    pub fn is_live(&self, at: &ShardRef, now: Wall) -> bool {
        let Some(held) = self.shards.get(at) else {
            return false;
        };
        held.phase == Phase::Serving && held.acked_end > now
    }

    /// Shards to grant or renew. One that is stopping is renewed as long as it
    /// has orders: the endpoint would refuse to commit them otherwise.
    #[must_use]
    pub fn to_grant(&self) -> Vec<GrantedShard> {
        self.in_phase(|phase| matches!(phase, Phase::Serving | Phase::Stopping))
    }

    /// Shards to revoke.
    #[must_use]
    pub fn to_revoke(&self) -> Vec<GrantedShard> {
        self.in_phase(|phase| phase == Phase::Revoking)
    }

    /// Whether a shard waits for its first grant.
    #[must_use]
    pub fn has_ungranted(&self) -> bool {
        let mut shards = self.shards.values();
        shards.any(|held| held.phase == Phase::Serving && !held.sent_in_phase)
    }

    /// Whether a shard waits for its first revocation.
    #[must_use]
    pub fn has_unrevoked(&self) -> bool {
        let mut shards = self.shards.values();
        shards.any(|held| held.phase == Phase::Revoking && !held.sent_in_phase)
    }

    /// Notes a grant that is being sent.
    ///
    /// A grant whose answer is missing may wait in the socket buffer of a
    /// frozen endpoint and be taken in later, so from now on the shards count
    /// as granted until `end`, whatever becomes of the message.
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

    /// Notes a revocation that is being sent.
    pub fn on_revocation_sent(&mut self, ticket: Ticket, shards: &[GrantedShard]) {
        for shard in shards {
            if let Some(held) = self.shards.get_mut(&shard_epoch(shard).at) {
                held.sent_in_phase = true;
            }
        }
        self.sent.add(ticket, SentKind::Revoke, shards);
    }

    /// The endpoint has taken in a grant or revocation. Returns whether a
    /// shard is released by that.
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
                    // A renewal that is still under way would arrive after the
                    // revocation and give the shard back to the endpoint while
                    // the next owner has it too. The revocation then proves
                    // nothing, and the latest end has to be waited for.
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

    /// The endpoint refused a grant or revocation as coming from the past: it
    /// was not taken in, and never will be.
    pub fn refused(&mut self, ticket: Ticket) {
        self.sent.take(ticket);
    }

    /// Lets time pass. `busy` tells whether an order for some keys may be running.
    /// Returns whether a shard is released by that.
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

    /// When nothing that was granted can act any more, whatever the endpoint
    /// has received. Orders are counted apart.
    #[must_use]
    pub fn quiet_at(&self, bounds: Bounds) -> Wall {
        if !bounds.checks_orders || self.latest_end == Wall(0) {
            return bounds.inherited_until;
        }
        let own = self.latest_end.plus(bounds.skew_ms);
        own.max(bounds.inherited_until)
    }

    /// Bars every shard under its present epoch. One with orders that may still
    /// act is only stopped; it is released when they are over.
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

    /// Released shards that the assignment still shows on their way out, and
    /// those that it leaves here once the endpoint is `back`.
    ///
    /// Failure guarded against: the endpoint is lost for so long that its shards
    /// are released, and is back before the planner has moved them, since nobody
    /// else takes shards or the report was lost. They stay barred and nobody serves them. So they are
    /// reported as well, and the planner gives them a new epoch.
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
    /// Ids created before this may have run here; `floor` is the dispatcher's own.
    ///
    /// No id is sent before its own time of creation, so all that was sent lies
    /// at or below the time of the last order. A later floor would answer `may
    /// have run` to requests that only waited for the move.
    fn floor_for_next(&self, floor: Wall) -> Wall {
        let sent = match self.last_sent {
            Wall(0) => Wall(0),
            last => last.plus(1),
        };
        floor.max(self.owned.floor).max(sent)
    }

    /// A shard that is first learnt of on its way out is not served.
    ///
    /// Failure guarded against: an earlier dispatcher has reported it released
    /// and was lost. The report is on its way to the planner, which gives the
    /// shard to its next owner; served here as well, its keys have two.
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

    /// When the shard can be released without the endpoint's word. An endpoint
    /// that does not check is protected only by silence: its own orders are
    /// over by now, an earlier dispatcher's must be waited out.
    fn quiet_at(&self, bounds: Bounds) -> Wall {
        if !bounds.checks_orders {
            return bounds.inherited_until;
        }
        let own = self.latest_end.plus(bounds.skew_ms);
        own.max(bounds.inherited_until)
    }
}
