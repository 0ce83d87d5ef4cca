//! State machine of a dispatcher: its state and the handling of an event.

use indexmap::IndexMap;

use super::duplicates::Duplicates;
use super::grants::{Bounds, Grants};
use super::health::Health;
use super::limit::ConcurrencyLimit;
use super::message::{DispatchAction, DispatchEvent, KeyRange, KeyRef, OwnedShard, ShardRef, Turn};
use super::queue::Queue;
use super::service::ServiceTimes;
use super::settings::DispatchSettings;
use super::slots::Slots;
use super::spec::{DispatcherBuilder, DispatcherSpec};
use super::waiters::Waiters;
use crate::config::Endpoint;
use crate::hotkeys::HotKeys;
use crate::ids::{EndpointName, Epoch, RequestId, Session};
use crate::node::events::Ticket;
use crate::outcome::{NotRun, NotRunReason, Outcome};
use crate::time::{Mono, Now, Wall};

/// Number of keys counted for load reports.
const HOT_KEYS: usize = 64;

/// The dispatcher of one endpoint.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) name: EndpointName,
    pub(super) endpoint: Endpoint,
    pub(super) cfg: DispatchSettings,
    pub(super) epoch: Epoch,
    pub(super) session: Session,
    pub(super) started: Now,
    /// Whether a predecessor may have left orders or grants at the endpoint.
    pub(super) inherited: bool,
    pub(super) queue: Queue,
    pub(super) slots: Slots,
    pub(super) limit: ConcurrencyLimit,
    pub(super) service_times: ServiceTimes,
    pub(super) duplicates: Duplicates,
    pub(super) waiters: Waiters,
    pub(super) grants: Grants,
    pub(super) health: Health,
    pub(super) hot_keys: HotKeys<KeyRef>,
    pub(super) sent_by_shard: IndexMap<ShardRef, u64>,
    /// Upper bound on the predecessor's orders that run at the endpoint.
    pub(super) predecessor_orders: u32,
    pub(super) next_ticket: Ticket,
    pub(super) next_renewal: Mono,
    pub(super) next_report: Mono,
    /// Last time at which this instance held the dispatcher's role.
    pub(super) role_last_held: Mono,
    /// Why the role was given up; `None` while it is not.
    pub(super) retired: Option<NotRunReason>,
    /// Whether the endpoint is lost and no grant of it is live any more.
    pub(super) quiet: bool,
    /// Orders for which a cancellation is still to be sent.
    pub(super) cancels: Vec<RequestId>,
    pub(super) out: Vec<DispatchAction>,
}

impl Dispatcher {
    /// Returns a builder for the dispatcher of an endpoint.
    #[must_use]
    pub fn builder(name: &EndpointName, endpoint: &Endpoint) -> DispatcherBuilder {
        DispatcherBuilder::new(name, endpoint)
    }

    /// Starts a dispatcher whose only knowledge of the endpoint's past is `spec`.
    #[must_use]
    pub fn start(spec: DispatcherSpec, now: Now) -> Self {
        let mut duplicates = Duplicates::new(&spec.settings, spec.floor);
        duplicates.import(&spec.known);
        Self {
            queue: Queue::new(&spec.classes),
            slots: Slots::default(),
            limit: ConcurrencyLimit::new(usable_slots(&spec.endpoint)),
            service_times: ServiceTimes::new(spec.settings.first_service_ms),
            duplicates,
            waiters: Waiters::default(),
            grants: Grants::default(),
            health: Health::new(now.mono),
            hot_keys: HotKeys::new(HOT_KEYS),
            sent_by_shard: IndexMap::new(),
            predecessor_orders: if spec.inherited { u32::MAX } else { 0 },
            next_ticket: spec.first_ticket,
            next_renewal: now.mono,
            next_report: now.mono,
            role_last_held: now.mono,
            retired: None,
            quiet: false,
            cancels: Vec::new(),
            out: Vec::new(),
            name: spec.name,
            endpoint: spec.endpoint,
            cfg: spec.settings,
            epoch: spec.epoch,
            session: spec.session,
            started: now,
            inherited: spec.inherited,
        }
    }

    /// Processes an event and returns the actions to carry out.
    ///
    /// The event is applied before deadlines are checked: an answer that arrives
    /// exactly at the deadline counts as an answer.
    #[must_use]
    pub fn apply(&mut self, event: DispatchEvent, turn: Turn) -> Vec<DispatchAction> {
        match event {
            DispatchEvent::Submit {
                origin,
                shard,
                request,
            } => self.on_submit(origin, shard, request, turn),
            DispatchEvent::Cancel { origin } => self.on_cancel(origin),
            DispatchEvent::OrderDone { ticket, reply } => self.on_order_done(ticket, reply, turn),
            DispatchEvent::CancelDone { id, confirmed } => self.on_cancel_done(id, confirmed),
            DispatchEvent::GrantDone { ticket, report } => {
                self.on_grant_done(ticket, &report, turn);
            }
            DispatchEvent::SetShards { shards } => {
                // The planner may wait for the release of these shards, so
                // the next report is due at once.
                self.next_report = turn.now.mono;
                self.on_shards(&shards);
            }
            DispatchEvent::SetEndpoint { endpoint } => self.on_endpoint(*endpoint),
            DispatchEvent::Retire { reason } => self.on_retire(reason),
            DispatchEvent::Tick => {}
        }
        self.pass_time(turn);
        if turn.may_act && self.retired.is_none() {
            self.act(turn);
        }
        std::mem::take(&mut self.out)
    }

    fn on_shards(&mut self, shards: &[OwnedShard]) {
        for range in self.grants.set_owned_shards(shards) {
            self.give_up_range(&range);
        }
        for owned in shards {
            if owned.is_hot() {
                self.give_up_under_old_shard(owned);
            }
        }
    }

    /// Answers the queued requests for these keys as not run: the instances that
    /// accepted them look up the keys' present owner.
    pub(super) fn give_up_range(&mut self, range: &KeyRange) {
        for waiting in self.queue.drain_range(range) {
            self.give_up(&waiting, NotRunReason::Moving);
        }
    }

    /// Answers queued requests for a hot key that arrived before the key had a
    /// shard of its own. They would be sent under the surrounding shard, even
    /// after the hot shard has moved to another endpoint.
    fn give_up_under_old_shard(&mut self, hot: &OwnedShard) {
        if self.queue.has_under_other_shard(&hot.key_range(), &hot.at) {
            self.give_up_range(&hot.key_range());
        }
    }

    fn on_endpoint(&mut self, endpoint: Endpoint) {
        self.limit.set_slots(usable_slots(&endpoint));
        self.endpoint = endpoint;
        if self.is_draining() {
            self.give_up_all(NotRunReason::Draining);
        }
    }

    fn on_retire(&mut self, reason: NotRunReason) {
        self.retired = Some(reason);
        self.give_up_all(reason);
    }

    /// Handles deadlines and expiry, whether or not the role is held: a final
    /// answer never waits for the hold.
    fn pass_time(&mut self, turn: Turn) {
        if turn.may_act {
            self.role_last_held = self.role_last_held.max(turn.now.mono);
        }
        self.expire(turn);
        self.duplicates.pass_time(turn.now.wall);
        let lapsed = turn.now.mono.since(self.role_last_held) >= self.cfg.hold_grace_ms;
        if !turn.may_act && lapsed {
            self.give_up_all(NotRunReason::NoHold);
        }
    }

    /// Does what requires the role: messages to the endpoint, and reports that
    /// others rely on.
    fn act(&mut self, turn: Turn) {
        self.release_shards(turn);
        self.send_cancels();
        self.send_control(turn);
        self.send_orders(turn);
        self.report(turn);
    }

    /// Whether the endpoint is draining, by its own report or by configuration.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.endpoint.drain || self.health.draining()
    }

    pub(super) fn bounds(&self) -> Bounds {
        let longest = if self.endpoint.checks_orders {
            self.cfg.max_grant_ms
        } else {
            self.cfg.max_order_ms
        };
        Bounds {
            checks_orders: self.endpoint.checks_orders,
            inherited_until: if self.inherited {
                self.started.wall.plus(longest + self.cfg.skew_ms)
            } else {
                Wall(0)
            },
            skew_ms: self.cfg.skew_ms,
        }
    }

    pub(super) const fn ticket(&mut self) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        ticket
    }

    pub(super) fn reply(&mut self, origin: Ticket, outcome: Outcome) {
        self.out.push(DispatchAction::Reply { origin, outcome });
    }

    pub(super) fn refuse(&mut self, origin: Ticket, reason: NotRunReason, retry_after_ms: u64) {
        self.reply(origin, Outcome::NotRun(NotRun::new(reason, retry_after_ms)));
    }
}

/// Slots that can be used: each order takes a connection, so there are never
/// more slots than connections.
fn usable_slots(endpoint: &Endpoint) -> u32 {
    endpoint.slots.min(endpoint.connections)
}
