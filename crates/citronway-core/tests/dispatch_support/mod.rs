//! Test harness: a dispatcher with a manual clock and a record of its actions.
#![allow(dead_code, reason = "each test binary uses a part of it")]

use bytes::Bytes;
use citronway_core::config::{Class, Endpoint};
use citronway_core::dispatch::{
    DispatchAction, DispatchEvent, DispatchSettings, Dispatcher, DispatcherBuilder, OwnedShard,
    ShardRef, Turn,
};
use citronway_core::ids::{ClassName, EndpointName, Epoch, RequestId, Session, ShardId};
use citronway_core::node::events::{OrderReply, ProbeReport, RefusedReason, Ticket};
use citronway_core::outcome::{Answer, MayHaveRunReason, NotRunReason, Outcome};
use citronway_core::request::{Repeat, Request};
use citronway_core::shard::{HashRange, KeyHash};
use citronway_core::time::{Mono, Now, Wall};
use indexmap::IndexMap;
use uuid::Builder;

/// Wall time at which every test starts, in milliseconds.
pub const START: u64 = 1_700_000_000_000;

/// A dispatcher under test. Times are milliseconds since [`START`].
#[derive(Debug)]
pub struct Harness {
    pub d: Dispatcher,
    pub ms: u64,
    pub may_act: bool,
    pub actions: Vec<DispatchAction>,
}

pub fn endpoint(slots: u32, checks_orders: bool) -> Endpoint {
    Endpoint {
        address: ([10, 0, 0, 1], 80).into(),
        zone: "a".into(),
        labels: IndexMap::new(),
        slots,
        connections: 130,
        checks_orders,
        drain: false,
    }
}

pub fn builder(slots: u32, checks_orders: bool) -> DispatcherBuilder {
    let mut classes = IndexMap::new();
    let interactive = Class {
        priority: 1,
        kept_share: 0,
    };
    let batch = Class {
        priority: 5,
        kept_share: 25,
    };
    classes.insert(ClassName::new("batch"), batch);
    classes.insert(ClassName::new("interactive"), interactive);
    let name = EndpointName::new("e1");
    Dispatcher::builder(&name, &endpoint(slots, checks_orders))
        .classes(&classes)
        .role(Epoch(3), &Session::new("i1", 7))
}

pub fn wall(ms: u64) -> Wall {
    Wall(START + ms)
}

pub fn now(ms: u64) -> Now {
    Now {
        mono: Mono(5_000 + ms),
        wall: wall(ms),
    }
}

/// Id number `n`, created at `ms`.
pub fn id(n: u8, ms: u64) -> RequestId {
    RequestId(Builder::from_unix_timestamp_millis(START + ms, &[n; 10]).into_uuid())
}

/// A non-idempotent request, created at `created` ms, with its deadline at 10 s.
pub fn booking(n: u8, created: u64) -> Request {
    Request {
        id: id(n, created),
        service: "intake".into(),
        key: format!("bottle-{n}").as_str().into(),
        tenant: "mill".to_owned(),
        class: "interactive".into(),
        repeat: Repeat::NonIdempotent,
        deadline: wall(10_000),
        method: "POST".to_owned(),
        path: "/bookings".to_owned(),
        content_type: None,
        body: Bytes::from(vec![n]),
    }
}

/// An idempotent request of class `class` with its deadline at `due` ms.
pub fn lookup(n: u8, class: &str, due: u64) -> Request {
    Request {
        class: class.into(),
        repeat: Repeat::Idempotent,
        deadline: wall(due),
        method: "GET".to_owned(),
        ..booking(n, 0)
    }
}

pub fn shard(number: u64, epoch: u64, moving: bool) -> OwnedShard {
    let range = HashRange {
        first: KeyHash(0),
        last: KeyHash(u64::MAX),
    };
    OwnedShard {
        at: shard_ref(number),
        epoch: Epoch(epoch),
        range,
        floor: Wall(0),
        moving,
    }
}

pub fn shard_ref(number: u64) -> ShardRef {
    ShardRef {
        service: "intake".into(),
        shard: ShardId(number),
    }
}

pub fn answer(text: &str) -> Answer {
    Answer {
        status: 200,
        content_type: None,
        body: Bytes::copy_from_slice(text.as_bytes()),
    }
}

pub const HEALTHY: ProbeReport = ProbeReport::Answered {
    stale_epoch: false,
    draining: false,
    running: 0,
    cold: false,
};

pub const DRAINING: ProbeReport = ProbeReport::Answered {
    stale_epoch: false,
    draining: true,
    running: 0,
    cold: false,
};

impl Harness {
    /// Starts at 0 ms with shard 1 granted.
    pub fn new(builder: DispatcherBuilder) -> Self {
        let mut harness = Self::ungranted(builder);
        harness.set_shards(&[shard(1, 1, false)]);
        harness.confirm_control(&HEALTHY);
        harness
    }

    pub fn ungranted(builder: DispatcherBuilder) -> Self {
        Self {
            d: builder.start(now(0)),
            ms: 0,
            may_act: true,
            actions: Vec::new(),
        }
    }

    /// Starts with default settings and an endpoint with `slots` slots that checks
    /// orders.
    pub fn checking(slots: u32) -> Self {
        Self::new(builder(slots, true))
    }

    pub fn with(slots: u32, cfg: DispatchSettings) -> Self {
        Self::new(builder(slots, true).settings(cfg))
    }

    pub fn apply(&mut self, event: DispatchEvent) -> Vec<DispatchAction> {
        let turn = Turn {
            now: now(self.ms),
            may_act: self.may_act,
        };
        let actions = self.d.apply(event, turn);
        self.actions.extend(actions.iter().cloned());
        actions
    }

    /// Advances the clock to `ms`; no probe is answered.
    pub fn advance_unanswered(&mut self, ms: u64) {
        while self.ms < ms {
            self.ms = (self.ms + 20).min(ms);
            self.apply(DispatchEvent::Tick);
        }
    }

    /// Advances the clock to `ms`; each probe is answered with `report` at once.
    pub fn advance_with(&mut self, ms: u64, report: &ProbeReport) {
        while self.ms < ms {
            self.ms = (self.ms + 20).min(ms);
            let actions = self.apply(DispatchEvent::Tick);
            self.answer_control(&actions, report);
        }
    }

    pub fn advance(&mut self, ms: u64) {
        self.advance_with(ms, &HEALTHY);
    }

    pub fn set_shards(&mut self, shards: &[OwnedShard]) {
        let shards = shards.to_vec();
        self.apply(DispatchEvent::SetShards { shards });
    }

    /// Answers the last grant or revocation that was sent.
    pub fn confirm_control(&mut self, report: &ProbeReport) {
        let last = self.actions.iter().rev().find_map(control_ticket);
        let ticket = last.expect("a grant or revocation was sent");
        let report = report.clone();
        self.apply(DispatchEvent::GrantDone { ticket, report });
    }

    fn answer_control(&mut self, actions: &[DispatchAction], report: &ProbeReport) {
        for ticket in actions.iter().filter_map(control_ticket) {
            let report = report.clone();
            let more = self.apply(DispatchEvent::GrantDone { ticket, report });
            self.answer_control(&more, &HEALTHY);
        }
    }

    pub fn submit(&mut self, origin: Ticket, request: Request) {
        let shard = ShardId(1);
        self.apply(DispatchEvent::Submit {
            origin,
            shard,
            request,
        });
    }

    pub fn done(&mut self, ticket: Ticket, reply: OrderReply) {
        self.apply(DispatchEvent::OrderDone { ticket, reply });
    }

    pub fn answered(&mut self, ticket: Ticket, text: &str) {
        let answer = answer(text);
        self.done(ticket, OrderReply::Answered { answer });
    }

    pub fn refused(&mut self, ticket: Ticket, reason: RefusedReason) {
        self.done(ticket, OrderReply::Refused { reason });
    }

    /// Tickets of the orders sent so far, with the ids of their requests.
    pub fn orders(&self) -> Vec<Sent> {
        self.actions.iter().filter_map(sent).collect()
    }

    pub fn last_order(&self) -> Ticket {
        self.orders().last().expect("an order was sent").ticket
    }

    /// The replies given to an origin.
    pub fn replies(&self, origin: Ticket) -> Vec<Outcome> {
        let of = |action: &DispatchAction| match action {
            DispatchAction::Reply { origin: o, outcome } if *o == origin => Some(outcome.clone()),
            _ => None,
        };
        self.actions.iter().filter_map(of).collect()
    }

    /// Text of the only reply to an origin, `-` if there is none yet.
    pub fn reply_text(&self, origin: Ticket) -> String {
        let replies = self.replies(origin);
        assert!(replies.len() <= 1, "several replies: {replies:?}");
        replies.first().map_or_else(|| "-".to_owned(), short)
    }

    /// Whether the dispatcher returned an action that matches.
    pub fn has_action(&self, wanted: impl Fn(&DispatchAction) -> bool) -> bool {
        self.actions.iter().any(wanted)
    }

    pub fn released(&self) -> bool {
        self.has_action(|action| matches!(action, DispatchAction::ShardReleased { .. }))
    }

    pub fn lost(&self, quiet: bool) -> bool {
        self.has_action(|action| *action == DispatchAction::EndpointLost { quiet })
    }
}

/// An order that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sent {
    pub ticket: Ticket,
    pub id: RequestId,
}

fn sent(action: &DispatchAction) -> Option<Sent> {
    match action {
        DispatchAction::SendOrder {
            ticket, request, ..
        } => Some(Sent {
            ticket: *ticket,
            id: request.id,
        }),
        _ => None,
    }
}

fn control_ticket(action: &DispatchAction) -> Option<Ticket> {
    match action {
        DispatchAction::Grant { ticket, .. } | DispatchAction::Revoke { ticket, .. } => {
            Some(*ticket)
        }
        _ => None,
    }
}

/// Body of an answer, or the kind of outcome and the name of its reason.
pub fn short(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Answered(answer) => String::from_utf8_lossy(&answer.body).into_owned(),
        Outcome::NotRun(not_run) => not_run_text(not_run.reason),
        Outcome::MayHaveRun(may) => may_text(may.reason),
    }
}

pub fn not_run_text(reason: NotRunReason) -> String {
    format!("not run: {reason:?}")
}

pub fn may_text(reason: MayHaveRunReason) -> String {
    format!("may have run: {reason:?}")
}
