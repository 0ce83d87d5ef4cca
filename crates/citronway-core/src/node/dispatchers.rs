//! The dispatchers of this instance: orders, grants and what comes back.

use crate::config::Endpoint;
use crate::dispatch::{DispatchAction, DispatchEvent, Dispatcher, Turn};
use crate::ids::{EndpointName, Epoch};
use crate::peer::{EndpointLost, PeerMessage, ShardReleased};
use crate::placement::wanted::Candidate;
use crate::time::Now;

use super::Node;
use super::events::{Action, Event, ProbeReport, Ticket};
use super::seats::{Active, NEVER, Role};
use super::settings::SendPolicy;
use super::tickets::{Origin, Purpose};
use super::view::DISPATCH_TABLE;

impl Node {
    /// Sessions fit for a role at present.
    pub(super) fn fit(&self, now: Now) -> Vec<Candidate> {
        self.members.candidates(
            self.is_leaving(now),
            self.settings.silent_after_ms,
            now.mono,
        )
    }

    /// Failure guarded against: the role is taken over while the endpoint is not
    /// configured; when it is put back, its hold stands but nobody dispatches.
    pub(super) fn start_dispatcher(&mut self, name: &EndpointName, role: Role, now: Now) {
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
    pub(super) fn start_waiting(&mut self, name: &EndpointName, now: Now, out: &mut Vec<Action>) {
        let seat = self.seats.by_endpoint.get_mut(name);
        let Some(role) = seat.and_then(|seat| seat.waiting_role.take()) else {
            return;
        };
        self.start_dispatcher(name, role, now);
        self.give_shards(name, now, out);
    }

    pub(super) fn free_slots(&self, slots: u32, now: Now) -> Option<u32> {
        let instances = self.members.candidates(false, u64::MAX, now.mono).len();
        let instances = u32::try_from(instances).unwrap_or(u32::MAX).max(1);
        match self.settings.policy {
            SendPolicy::Dispatcher => None,
            SendPolicy::Uncoordinated => Some(slots),
            SendPolicy::StaticSplit => Some((slots / instances).max(1)),
        }
    }

    /// Under the baseline policies every instance sends on its own.
    pub(super) fn start_free(&mut self, name: &EndpointName, endpoint: &Endpoint, now: Now) {
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

    pub(super) fn tick_retired(&mut self, name: &EndpointName, now: Now, out: &mut Vec<Action>) {
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

    pub(super) fn do_for_dispatcher(
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

    pub(super) fn send_to_endpoint(
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
        let work = match &action {
            DispatchAction::SendOrder { request, .. } => Some(self.crashes.fingerprint(request)),
            _ => None,
        };
        let mut draw = |ticket| {
            self.tickets.draw(Purpose::Endpoint {
                endpoint: name.clone(),
                epoch,
                ticket,
                work,
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

    /// Answers of endpoints.
    pub(super) fn endpoint_event(&mut self, event: Event, now: Now, out: &mut Vec<Action>) {
        match event {
            Event::OrderDone { ticket, reply } => {
                if let Some(Purpose::Endpoint {
                    endpoint,
                    epoch,
                    ticket,
                    work,
                }) = self.tickets.take(ticket)
                {
                    // An endpoint that leaves may end with what it runs.
                    let leaves = self.seats.leaves(&endpoint, epoch);
                    if let Some(work) = work.filter(|_| !leaves) {
                        self.crashes.replied(now.mono, &endpoint, work, &reply);
                    }
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

    pub(super) fn grant_done(
        &mut self,
        ticket: Ticket,
        report: ProbeReport,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        match self.tickets.take(ticket) {
            Some(Purpose::Endpoint {
                endpoint,
                epoch,
                ticket,
                ..
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

    pub(super) fn epochs_of(&self, endpoint: &EndpointName) -> Vec<Epoch> {
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
        let Some(Purpose::Dispatched { origin, work }) = self.tickets.take(origin) else {
            return;
        };
        if let Some(work) = work {
            self.crashes.finished(work);
        }
        match origin {
            Origin::Caller(ticket) => self.settle(ticket, outcome, now, out),
            Origin::Peer(ticket) => out.push(Action::Reply { ticket, outcome }),
        }
    }
}
