//! The dispatcher and successor roles: a hold for each endpoint, and a
//! dispatcher while this session is the one that the row names.

use indexmap::IndexMap;

use crate::config::Endpoint;
use crate::dispatch::{DispatchAction, DispatchEvent, Dispatcher, Turn};
use crate::hold::{HandOverReason, Hold, HoldAction, HoldEvent, Reach, ReadOutcome};
use crate::ids::{EndpointName, Epoch, Session};
use crate::outcome::NotRunReason;
use crate::peer::{EndpointLost, HoldMessage, KnownRequests, PeerMessage, ShardReleased};
use crate::placement::wanted::Candidate;
use crate::platform::{ConditionalPut, Row, RowKey, WriteOutcome};
use crate::shard::DispatchRow;
use crate::time::{Mono, Now, Wall};

use super::Node;
use super::events::{Action, Event, ProbeReport, Ticket};
use super::probes::Probes;
use super::settings::SendPolicy;
use super::store::{ReadResult, at};
use super::tickets::{Origin, Purpose};
use super::view::DISPATCH_TABLE;

/// What this instance has to do with one endpoint.
#[derive(Debug)]
pub(super) struct Seat {
    pub(super) hold: Hold,
    pub(super) active: Option<Active>,
    /// Dispatchers that have given up the role and wait for what is in flight.
    pub(super) retired: Vec<Active>,
    pub(super) probes: Probes,
    /// A role whose dispatcher could not be started: the endpoint is not configured.
    waiting_role: Option<Role>,
    /// The role was handed over because this instance leaves.
    handed_over: bool,
}

/// End of a right that needs no hold.
const NEVER: Mono = Mono(u64::MAX);
/// Epoch of a new row: there was no dispatcher before, as rows are never removed.
const FIRST_EPOCH: Epoch = Epoch(1);

/// What a dispatcher starts from when its session has taken the role over.
#[derive(Debug, Clone)]
struct Role {
    epoch: Epoch,
    floor: Wall,
    /// An earlier dispatcher may have left orders or grants at the endpoint.
    inherited: bool,
    known: KnownRequests,
}

/// A dispatcher with the epoch it acts under.
#[derive(Debug)]
pub(super) struct Active {
    pub(super) epoch: Epoch,
    pub(super) dispatcher: Dispatcher,
    /// It needs no hold: a baseline for measurement.
    pub(super) free: bool,
}

/// All seats of an instance.
#[derive(Debug, Default)]
pub(super) struct Seats {
    pub(super) by_endpoint: IndexMap<EndpointName, Seat>,
}

impl Seat {
    fn new(hold: Hold) -> Self {
        Self {
            hold,
            active: None,
            retired: Vec::new(),
            probes: Probes::default(),
            waiting_role: None,
            handed_over: false,
        }
    }

    /// The dispatcher of an epoch, whether it still acts or not.
    fn of_epoch(&mut self, epoch: Epoch) -> Option<&mut Active> {
        let retired = self.retired.iter_mut();
        self.active
            .iter_mut()
            .chain(retired)
            .find(|active| active.epoch == epoch)
    }

    fn is_busy(&self) -> bool {
        self.active.is_some() || !self.retired.is_empty()
    }

    fn reach(&self, now: Mono) -> Reach {
        let Some(active) = &self.active else {
            return self.probes.own_reach(now);
        };
        match active.dispatcher.reach() {
            crate::dispatch::health::Reach::Unreachable => Reach::Lost,
            crate::dispatch::health::Reach::Healthy => Reach::Reached,
            crate::dispatch::health::Reach::Suspect => Reach::Unknown,
        }
    }
}

impl Seats {
    /// Whether no dispatcher has work or a role left.
    pub(super) fn is_idle(&self) -> bool {
        self.by_endpoint.values().all(|seat| !seat.is_busy())
    }

    /// Whether every role was handed over.
    pub(super) fn all_handed_over(&self) -> bool {
        self.by_endpoint.values().all(|seat| seat.handed_over)
    }

    /// Whether no row names this session as dispatcher any more.
    pub(super) fn roles_are_gone(&self) -> bool {
        self.by_endpoint
            .values()
            .all(|seat| !seat.hold.is_dispatcher())
    }

    pub(super) fn has_dispatcher(&self, endpoint: &EndpointName) -> bool {
        self.by_endpoint
            .get(endpoint)
            .is_some_and(|seat| seat.active.is_some())
    }

    pub(super) fn endpoints(&self) -> Vec<EndpointName> {
        self.by_endpoint.keys().cloned().collect()
    }

    /// Endpoints with a dispatcher here.
    pub(super) fn dispatched(&self) -> Vec<EndpointName> {
        let mut names = Vec::new();
        for (name, seat) in &self.by_endpoint {
            if seat.active.is_some() {
                names.push(name.clone());
            }
        }
        names
    }
}

impl Node {
    /// Makes a seat for each configured endpoint.
    ///
    /// A seat is never removed: its hold remembers promises, and a session that
    /// forgot one could take over from a dispatcher that counts on it.
    pub(super) fn seat_all(&mut self, now: Now, out: &mut Vec<Action>) {
        let Some(config) = self.view.config() else {
            return;
        };
        let configured = config.config().endpoints.clone();
        for (name, endpoint) in configured {
            if !self.seats.by_endpoint.contains_key(&name) {
                let hold = Hold::new(self.me.clone(), name.clone(), self.settings.hold.clone());
                self.seats.by_endpoint.insert(name.clone(), Seat::new(hold));
                self.tell_hold_the_known(&name, now, out);
                self.start_free(&name, &endpoint, now);
            }
            self.start_waiting(&name, now, out);
            let endpoint = Box::new(endpoint);
            self.tell_dispatcher(&name, DispatchEvent::SetEndpoint { endpoint }, now, out);
        }
    }

    fn tell_hold_the_known(&mut self, name: &EndpointName, now: Now, out: &mut Vec<Action>) {
        for session in self.members.gone() {
            self.tell_hold(name, &HoldEvent::Gone { session }, now, out);
        }
        self.row_to_hold(name, now, out);
    }

    /// Passes the known dispatch row on to the endpoint's hold.
    pub(super) fn row_to_hold(&mut self, name: &EndpointName, now: Now, out: &mut Vec<Action>) {
        let Some(known) = self.view.dispatch().get(name) else {
            return;
        };
        let event = HoldEvent::Row {
            version: known.version,
            row: known.value.clone(),
        };
        for session in members_of(&known.value) {
            self.members.watch(&session);
        }
        self.tell_hold(name, &event, now, out);
    }

    /// Lets time pass in every hold and dispatcher.
    ///
    /// Candidates are looked up at most once and ranked only for the holds that
    /// want them: otherwise each tick would cost endpoints times instances.
    pub(super) fn tick_seats(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut fit = None;
        for name in self.seats.endpoints() {
            let mut candidates = Vec::new();
            if self.seats.by_endpoint[&name].hold.wants_candidates(now) {
                let fit = fit.get_or_insert_with(|| self.fit(now));
                candidates = self.ranked(&name, fit);
            }
            let reach = self.seats.by_endpoint[&name].reach(now.mono);
            self.tell_hold(&name, &HoldEvent::Tick { candidates, reach }, now, out);
            if !self.seats.by_endpoint[&name].is_busy() {
                continue;
            }
            self.tell_dispatcher(&name, DispatchEvent::Tick, now, out);
            self.tick_retired(&name, now, out);
        }
    }

    /// Sessions fit for a role at present.
    fn fit(&self, now: Now) -> Vec<Candidate> {
        self.members.candidates(
            self.is_leaving(now),
            self.settings.silent_after_ms,
            now.mono,
        )
    }

    /// The same with those best for the endpoint first, alike on every instance.
    ///
    /// Zones that the row does not use yet go first, then a hash spreads the
    /// roles over the instances.
    fn ranked(&self, endpoint: &EndpointName, fit: &[Candidate]) -> Vec<Session> {
        let mut used = Vec::new();
        if let Some(known) = self.view.dispatch().get(endpoint) {
            for session in members_of(&known.value) {
                used.extend(self.members.zone_of(&session.instance).cloned());
            }
        }
        let mut ranked: Vec<_> = fit
            .iter()
            .map(|it| {
                let seed = format!("{endpoint}/{}", it.session.instance);
                let spread = xxhash_rust::xxh3::xxh3_64(seed.as_bytes());
                (used.contains(&it.zone), spread, &it.session)
            })
            .collect();
        ranked.sort();
        ranked
            .into_iter()
            .map(|(_, _, session)| session.clone())
            .collect()
    }

    pub(super) fn tell_hold(
        &mut self,
        name: &EndpointName,
        event: &HoldEvent,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        let Some(seat) = self.seats.by_endpoint.get_mut(name) else {
            return;
        };
        for action in seat.hold.apply(event, now) {
            self.do_for_hold(name, action, now, out);
        }
    }

    pub(super) fn hold_message(
        &mut self,
        from: &Session,
        endpoint: &EndpointName,
        message: HoldMessage,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        let event = HoldEvent::Message {
            from: from.clone(),
            message,
        };
        self.tell_hold(endpoint, &event, now, out);
    }

    fn do_for_hold(
        &mut self,
        name: &EndpointName,
        action: HoldAction,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        match action {
            HoldAction::Send { to, message } => {
                let message = PeerMessage::Hold {
                    endpoint: name.clone(),
                    message,
                };
                out.push(Action::Send { to, message });
            }
            HoldAction::ReadRow { read } => {
                let purpose = Purpose::HoldRead {
                    endpoint: name.clone(),
                    read,
                };
                let ticket = self.tickets.draw(purpose);
                out.push(Action::ReadRow {
                    ticket,
                    at: dispatch_at(name),
                });
            }
            HoldAction::Write {
                write,
                expected,
                row,
            } => {
                self.write_row(name, write, expected, &row, out);
            }
            HoldAction::TookOver {
                epoch,
                floor,
                known,
                ..
            } => {
                // Failure guarded against: the predecessor hands over, and its
                // grants live on at the endpoint, or its orders if it only
                // offered the role because it did not reach the endpoint. A
                // moving shard released before they end has two owners.
                let inherited = epoch > FIRST_EPOCH;
                let role = Role {
                    epoch,
                    floor,
                    inherited,
                    known,
                };
                self.start_dispatcher(name, role, now);
                self.give_shards(name, now, out);
            }
            HoldAction::Lost { .. } => {
                if let Some(seat) = self.seats.by_endpoint.get_mut(name) {
                    seat.waiting_role = None;
                }
                self.retire(name, NotRunReason::NotDispatcher, now, out);
            }
            HoldAction::OfferDeclined { .. } => {}
        }
    }

    fn write_row(
        &mut self,
        name: &EndpointName,
        write: u64,
        expected: crate::ids::Version,
        row: &DispatchRow,
        out: &mut Vec<Action>,
    ) {
        let Ok(value) = serde_json::to_string(row) else {
            return;
        };
        let purpose = Purpose::HoldWrite {
            endpoint: name.clone(),
            write,
            value: value.clone(),
        };
        let ticket = self.tickets.draw(purpose);
        let put = ConditionalPut {
            at: dispatch_at(name),
            expected,
            value,
        };
        out.push(Action::Write {
            ticket,
            puts: vec![put],
        });
    }

    pub(super) fn hold_read_done(
        &mut self,
        name: &EndpointName,
        read: u64,
        read_result: ReadResult,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        let outcome = match read_result {
            ReadResult::Failed => ReadOutcome::Failed,
            ReadResult::Absent => ReadOutcome::Absent,
            ReadResult::Found(row) => match serde_json::from_str(&row.value) {
                Ok(value) => ReadOutcome::Found {
                    version: row.version,
                    row: value,
                },
                Err(_) => ReadOutcome::Failed,
            },
        };
        self.tell_hold(name, &HoldEvent::ReadDone { read, outcome }, now, out);
    }

    pub(super) fn hold_write_done(
        &mut self,
        name: &EndpointName,
        write: u64,
        value: String,
        outcome: WriteOutcome,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        let stands = match &outcome {
            WriteOutcome::Done { versions } => versions.first().copied(),
            _ => None,
        };
        self.tell_hold(name, &HoldEvent::WriteDone { write, outcome }, now, out);
        if let Some(version) = stands {
            let row = Row {
                at: dispatch_at(name),
                version,
                value,
            };
            self.publish(row, now, out);
        }
    }

    /// Failure guarded against: the role is taken over while the endpoint is not
    /// configured; when it is put back, its hold stands but nobody dispatches.
    fn start_dispatcher(&mut self, name: &EndpointName, role: Role, now: Now) {
        let config = self.view.config().map(|config| config.config());
        let known = config.and_then(|config| Some((config, config.endpoints.get(name)?)));
        let Some(seat) = self.seats.by_endpoint.get_mut(name) else {
            return;
        };
        let Some((config, endpoint)) = known else {
            seat.waiting_role = Some(role);
            return;
        };
        seat.waiting_role = None;
        let mut builder = Dispatcher::builder(name, endpoint)
            .classes(&config.classes)
            .settings(self.settings.dispatch.clone())
            .role(role.epoch, &self.me)
            .floor(role.floor)
            .known(&role.known);
        if !role.inherited {
            builder = builder.nothing_inherited();
        }
        let dispatcher = builder.start(now);
        seat.active = Some(Active {
            epoch: role.epoch,
            dispatcher,
            free: false,
        });
    }

    /// Starts the dispatcher of an endpoint that is configured again.
    fn start_waiting(&mut self, name: &EndpointName, now: Now, out: &mut Vec<Action>) {
        let seat = self.seats.by_endpoint.get_mut(name);
        let Some(role) = seat.and_then(|seat| seat.waiting_role.take()) else {
            return;
        };
        self.start_dispatcher(name, role, now);
        self.give_shards(name, now, out);
    }

    fn free_slots(&self, slots: u32, now: Now) -> Option<u32> {
        let instances = self.members.candidates(false, u64::MAX, now.mono).len();
        let instances = u32::try_from(instances).unwrap_or(u32::MAX).max(1);
        match self.settings.policy {
            SendPolicy::Dispatcher => None,
            SendPolicy::Uncoordinated => Some(slots),
            SendPolicy::StaticSplit => Some((slots / instances).max(1)),
        }
    }

    /// Under the baseline policies every instance sends on its own.
    fn start_free(&mut self, name: &EndpointName, endpoint: &Endpoint, now: Now) {
        let Some(slots) = self.free_slots(endpoint.slots, now) else {
            return;
        };
        let endpoint = Endpoint {
            slots,
            ..endpoint.clone()
        };
        let Some(config) = self.view.config() else {
            return;
        };
        let dispatcher = Dispatcher::builder(name, &endpoint)
            .classes(&config.config().classes)
            .settings(self.settings.dispatch.clone())
            .role(Epoch(0), &self.me)
            .start(now);
        if let Some(seat) = self.seats.by_endpoint.get_mut(name) {
            seat.active = Some(Active {
                epoch: Epoch(0),
                dispatcher,
                free: true,
            });
        }
    }

    /// Feeds the dispatcher that acts at present, if there is one.
    pub(super) fn tell_dispatcher(
        &mut self,
        name: &EndpointName,
        event: DispatchEvent,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        let Some(seat) = self.seats.by_endpoint.get_mut(name) else {
            return;
        };
        let Some(active) = &mut seat.active else {
            return;
        };
        let event = match event {
            DispatchEvent::SetEndpoint { .. } if active.free => return,
            event => event,
        };
        let may_act = active.free || seat.hold.may_act(now) == Some(active.epoch);
        let epoch = active.epoch;
        for action in active.dispatcher.apply(event, Turn { now, may_act }) {
            self.do_for_dispatcher(name, epoch, action, now, out);
        }
    }

    /// Passes an answer of the endpoint on to the dispatcher that asked.
    pub(super) fn tell_epoch(
        &mut self,
        name: &EndpointName,
        epoch: Epoch,
        event: DispatchEvent,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        let Some(seat) = self.seats.by_endpoint.get_mut(name) else {
            return;
        };
        let held = seat.hold.may_act(now) == Some(epoch);
        let Some(active) = seat.of_epoch(epoch) else {
            return;
        };
        let may_act = active.free || held;
        for action in active.dispatcher.apply(event, Turn { now, may_act }) {
            self.do_for_dispatcher(name, epoch, action, now, out);
        }
    }

    fn tick_retired(&mut self, name: &EndpointName, now: Now, out: &mut Vec<Action>) {
        let epochs: Vec<Epoch> = self.seats.by_endpoint[name]
            .retired
            .iter()
            .map(|retired| retired.epoch)
            .collect();
        for epoch in epochs {
            self.tell_epoch(name, epoch, DispatchEvent::Tick, now, out);
        }
        let leaves = self.is_leaving(now);
        let Some(seat) = self.seats.by_endpoint.get_mut(name) else {
            return;
        };
        // Failure guarded against: on the way out an order that never was
        // answered frees its slot at its deadline, the dispatcher is dropped as
        // idle before its requests went to the successor, and an id runs again.
        if !leaves || seat.handed_over {
            seat.retired.retain(|retired| !retired.dispatcher.is_idle());
        }
    }

    fn do_for_dispatcher(
        &mut self,
        name: &EndpointName,
        epoch: Epoch,
        action: DispatchAction,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        match action {
            DispatchAction::Reply { origin, outcome } => {
                self.dispatched(origin, outcome, now, out);
            }
            DispatchAction::Reject { origin, fault } => {
                self.dispatched(origin, fault.outcome(), now, out);
            }
            DispatchAction::ShardReleased { at, epoch, floor } => {
                let report = ShardReleased {
                    service: at.service.clone(),
                    shard: at.shard,
                    epoch,
                    from: name.clone(),
                    dispatcher: self.me.clone(),
                    floor,
                };
                self.send_to_planner(&at.service, PeerMessage::ShardReleased(report), now, out);
            }
            DispatchAction::EndpointLost { quiet } => {
                if self.offer_role(name, now, out) {
                    return;
                }
                let report = EndpointLost {
                    endpoint: name.clone(),
                    dispatch_epoch: epoch,
                    quiet,
                };
                self.send_to_planners(&PeerMessage::EndpointLost(report), now, out);
            }
            DispatchAction::EndpointBack => {}
            DispatchAction::Superseded => {
                out.push(Action::ReadTable {
                    table: DISPATCH_TABLE.to_owned(),
                });
            }
            DispatchAction::SendOrder { .. }
            | DispatchAction::Cancel { .. }
            | DispatchAction::Grant { .. }
            | DispatchAction::Revoke { .. } => self.send_to_endpoint(name, epoch, action, out),
        }
    }

    fn send_to_endpoint(
        &mut self,
        name: &EndpointName,
        epoch: Epoch,
        action: DispatchAction,
        out: &mut Vec<Action>,
    ) {
        let Some(seat) = self.seats.by_endpoint.get_mut(name) else {
            return;
        };
        let held_until = seat.hold.held_until().unwrap_or_default();
        let Some(active) = seat.of_epoch(epoch) else {
            return;
        };
        let held_until = if active.free { NEVER } else { held_until };
        let (address, connections) = active.dispatcher.address();
        let endpoint = name.clone();
        let mut draw = |ticket| {
            self.tickets.draw(Purpose::Endpoint {
                endpoint: name.clone(),
                epoch,
                ticket,
            })
        };
        out.push(match action {
            DispatchAction::SendOrder {
                ticket,
                fence,
                request,
            } => {
                let ticket = draw(ticket);
                Action::SendOrder {
                    ticket,
                    endpoint,
                    address,
                    connections,
                    fence,
                    held_until,
                    request,
                }
            }
            DispatchAction::Cancel { id } => Action::Cancel {
                endpoint,
                address,
                id,
            },
            DispatchAction::Grant { ticket, grant } => Action::Grant {
                ticket: draw(ticket),
                endpoint,
                address,
                grant,
            },
            DispatchAction::Revoke { ticket, grant } => Action::Revoke {
                ticket: draw(ticket),
                endpoint,
                address,
                grant,
            },
            _ => return,
        });
    }

    /// The role has ended; what is in flight is waited for, nothing is sent.
    pub(super) fn retire(
        &mut self,
        name: &EndpointName,
        reason: NotRunReason,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        self.tell_dispatcher(name, DispatchEvent::Retire { reason }, now, out);
        let Some(seat) = self.seats.by_endpoint.get_mut(name) else {
            return;
        };
        if let Some(active) = seat.active.take() {
            seat.retired.push(active);
        }
    }

    /// Gives every role away: dispatchers finish what is in flight first, so
    /// that the successor learns the end of each request and needs no floor.
    pub(super) fn leave_seats(&mut self, now: Now, out: &mut Vec<Action>) {
        for name in self.seats.endpoints() {
            self.retire(&name, NotRunReason::NotDispatcher, now, out);
            let Some(seat) = self.seats.by_endpoint.get_mut(&name) else {
                continue;
            };
            let waits = seat
                .retired
                .iter()
                .any(|retired| !retired.dispatcher.is_idle());
            if seat.handed_over || waits {
                continue;
            }
            seat.handed_over = true;
            let unstarted = seat.waiting_role.take();
            let mut known = unstarted.map(|role| role.known).unwrap_or_default();
            for retired in &seat.retired {
                let more = retired.dispatcher.export();
                known.floor = known.floor.max(more.floor);
                known.requests.extend(more.requests);
            }
            let reason = HandOverReason::Leaving;
            self.tell_hold(&name, &HoldEvent::HandOver { reason, known }, now, out);
        }
    }

    /// Answers of endpoints.
    pub(super) fn endpoint_event(&mut self, event: Event, now: Now, out: &mut Vec<Action>) {
        match event {
            Event::OrderDone { ticket, reply } => {
                if let Some(Purpose::Endpoint {
                    endpoint,
                    epoch,
                    ticket,
                }) = self.tickets.take(ticket)
                {
                    let event = DispatchEvent::OrderDone { ticket, reply };
                    self.tell_epoch(&endpoint, epoch, event, now, out);
                }
            }
            Event::GrantDone { ticket, report, .. } => {
                self.grant_done(ticket, report, now, out);
            }
            Event::CancelDone {
                endpoint,
                id,
                confirmed,
            } => {
                let epochs = self.epochs_of(&endpoint);
                for epoch in epochs {
                    let event = DispatchEvent::CancelDone { id, confirmed };
                    self.tell_epoch(&endpoint, epoch, event, now, out);
                }
            }
            _ => {}
        }
    }

    fn grant_done(&mut self, ticket: Ticket, report: ProbeReport, now: Now, out: &mut Vec<Action>) {
        match self.tickets.take(ticket) {
            Some(Purpose::Endpoint {
                endpoint,
                epoch,
                ticket,
            }) => {
                let event = DispatchEvent::GrantDone { ticket, report };
                self.tell_epoch(&endpoint, epoch, event, now, out);
            }
            Some(Purpose::Probe { endpoint, asked_by }) => {
                self.probe_done(endpoint, asked_by, &report, now, out);
            }
            _ => {}
        }
    }

    fn epochs_of(&self, endpoint: &EndpointName) -> Vec<Epoch> {
        let Some(seat) = self.seats.by_endpoint.get(endpoint) else {
            return Vec::new();
        };
        seat.active
            .iter()
            .chain(&seat.retired)
            .map(|active| active.epoch)
            .collect()
    }

    pub(super) fn dispatched(
        &mut self,
        origin: Ticket,
        outcome: crate::outcome::Outcome,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        let Some(Purpose::Dispatched { origin }) = self.tickets.take(origin) else {
            return;
        };
        match origin {
            Origin::Caller(ticket) => self.settle(ticket, outcome, now, out),
            Origin::Peer(ticket) => out.push(Action::Reply { ticket, outcome }),
        }
    }
}

/// Sessions that a row names.
fn members_of(row: &DispatchRow) -> Vec<Session> {
    let mut sessions = vec![row.dispatcher.clone()];
    sessions.extend_from_slice(&row.successors);
    sessions.extend_from_slice(&row.former);
    sessions
}

fn dispatch_at(endpoint: &EndpointName) -> RowKey {
    at(DISPATCH_TABLE, endpoint.as_str())
}
