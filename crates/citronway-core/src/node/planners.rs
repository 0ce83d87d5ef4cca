//! The planner role: one planner for each service, of which one in all is elected.

use indexmap::IndexMap;

use crate::config::CompiledConfig;
use crate::dispatch::health::Reach;
use crate::ids::{EndpointName, ServiceName, Session};
use crate::peer::{EndpointLoad, PeerMessage};
use crate::placement::{
    Member, MemberState, Planner, PlannerAction, PlannerEvent, Wanted, WantedGroup,
};
use crate::time::{Mono, Now};

use super::Node;
use super::events::{Action, Ticket};
use super::store::ReadResult;
use super::tickets::Purpose;

/// Time between two looks at what is wanted, in milliseconds.
const WANTED_EVERY_MS: u64 = 100;

/// How long a report that an endpoint is leaving is gone by, in milliseconds.
const DRAINING_HOLDS_MS: u64 = 5_000;

/// Planners of this instance.
#[derive(Debug, Default)]
pub(super) struct Planners {
    by_service: IndexMap<ServiceName, Seated>,
    /// Endpoints whose dispatcher last reported that they are leaving.
    draining: IndexMap<EndpointName, Mono>,
    looked: Option<Mono>,
}

#[derive(Debug)]
struct Seated {
    planner: Planner,
    wanted: Option<Wanted>,
}

impl Planners {
    pub(super) fn services(&self) -> Vec<ServiceName> {
        self.by_service.keys().cloned().collect()
    }

    /// An endpoint leaves by its own word, which only its dispatcher hears.
    fn note_draining(&mut self, load: &EndpointLoad, now: Mono) {
        if load.draining {
            self.draining.insert(load.endpoint.clone(), now);
        } else {
            self.draining.shift_remove(&load.endpoint);
        }
    }

    fn is_draining(&self, endpoint: &EndpointName, now: Mono) -> bool {
        let reported = self.draining.get(endpoint);
        reported.is_some_and(|at| now.since(*at) < DRAINING_HOLDS_MS)
    }

    /// Every planner with its service.
    pub(super) fn all(&self) -> impl Iterator<Item = (&ServiceName, &Planner)> {
        self.by_service
            .iter()
            .map(|(service, seated)| (service, &seated.planner))
    }

    /// The planner of a service.
    pub(super) fn get(&self, service: &ServiceName) -> Option<&Planner> {
        self.by_service.get(service).map(|seated| &seated.planner)
    }
}

impl Node {
    /// Lets time pass in every planner and tells them what is wanted.
    pub(super) fn tick_planners(&mut self, now: Now, out: &mut Vec<Action>) {
        let due = self
            .planners
            .looked
            .is_none_or(|at| now.mono.since(at) >= WANTED_EVERY_MS);
        if due && !self.is_leaving(now) {
            self.planners.looked = Some(now.mono);
            self.tell_wanted(now, out);
        }
        if !self.is_leaving(now) {
            self.tell_planners(&PlannerEvent::Tick, now, out);
        }
    }

    fn tell_wanted(&mut self, now: Now, out: &mut Vec<Action>) {
        let Some(config) = self.view.config() else {
            return;
        };
        let candidates = self
            .members
            .candidates(false, self.settings.silent_after_ms, now.mono);
        let mut all = Vec::new();
        for service in config.config().services.keys() {
            all.push(Wanted {
                service: service.clone(),
                config: self.view.config_version(),
                groups: self.wanted_groups(config, service, now.mono),
                weights: config.config().services[service].weights,
                candidates: candidates.clone(),
            });
        }
        for wanted in all {
            self.want(wanted, now, out);
        }
    }

    fn want(&mut self, wanted: Wanted, now: Now, out: &mut Vec<Action>) {
        let service = wanted.service.clone();
        let seated = self
            .planners
            .by_service
            .entry(service.clone())
            .or_insert_with(|| {
                let planner = Planner::new(&service, &self.me, self.settings.planner);
                Seated {
                    planner,
                    wanted: None,
                }
            });
        if seated.wanted.as_ref() == Some(&wanted) {
            return;
        }
        seated.wanted = Some(wanted.clone());
        let event = PlannerEvent::Wanted {
            wanted: Box::new(wanted),
        };
        self.tell_planner(&service, event, now, out);
    }

    pub(super) fn tell_planners(&mut self, event: &PlannerEvent, now: Now, out: &mut Vec<Action>) {
        for service in self.planners.services() {
            self.tell_planner(&service, event.clone(), now, out);
        }
    }

    pub(super) fn tell_planner(
        &mut self,
        service: &ServiceName,
        event: PlannerEvent,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        let Some(seated) = self.planners.by_service.get_mut(service) else {
            return;
        };
        let mut published = Vec::new();
        for action in seated.planner.apply(event, now) {
            match action {
                PlannerAction::Write { ticket, puts } => {
                    let purpose = Purpose::Planner {
                        service: service.clone(),
                        ticket,
                    };
                    out.push(Action::Write {
                        ticket: self.tickets.draw(purpose),
                        puts,
                    });
                }
                PlannerAction::ReadRow { ticket, at } => {
                    let purpose = Purpose::Planner {
                        service: service.clone(),
                        ticket,
                    };
                    out.push(Action::ReadRow {
                        ticket: self.tickets.draw(purpose),
                        at,
                    });
                }
                PlannerAction::Publish { row } => published.push(row),
            }
        }
        for row in published {
            self.publish(row, now, out);
        }
    }

    pub(super) fn planner_read_done(
        &mut self,
        service: &ServiceName,
        ticket: Ticket,
        read: ReadResult,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        let event = match read {
            ReadResult::Failed => PlannerEvent::ReadFailed { ticket },
            ReadResult::Absent => PlannerEvent::RowRead { ticket, row: None },
            ReadResult::Found(row) => PlannerEvent::RowRead {
                ticket,
                row: Some(row),
            },
        };
        self.tell_planner(service, event, now, out);
    }

    /// Sends a report to the elected planner of a service.
    pub(super) fn send_to_planner(
        &mut self,
        service: &ServiceName,
        message: PeerMessage,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        match self.elected(service) {
            Some(session) if session == self.me => self.report(message, now, out),
            Some(to) => out.push(Action::Send { to, message }),
            None => out.push(Action::Broadcast { message }),
        }
    }

    /// Sends a report to the elected planners of all services, once to each session.
    pub(super) fn send_to_planners(
        &mut self,
        message: &PeerMessage,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        let mut told = Vec::new();
        for service in self.planners.services() {
            let Some(session) = self.elected(&service) else {
                continue;
            };
            if told.contains(&session) {
                continue;
            }
            told.push(session.clone());
            if session == self.me {
                self.report(message.clone(), now, out);
            } else {
                out.push(Action::Send {
                    to: session,
                    message: message.clone(),
                });
            }
        }
    }

    /// Takes a report for the planners of this instance.
    pub(super) fn report(&mut self, message: PeerMessage, now: Now, out: &mut Vec<Action>) {
        match message {
            PeerMessage::ShardReleased(report) => {
                let service = report.service.clone();
                self.tell_planner(&service, PlannerEvent::Released { report }, now, out);
            }
            PeerMessage::EndpointLost(report) => {
                self.tell_planners(&PlannerEvent::Lost { report }, now, out);
            }
            PeerMessage::Load(report) => {
                self.planners.note_draining(&report, now.mono);
                self.tell_planners(&PlannerEvent::Load { report }, now, out);
            }
            PeerMessage::Heartbeat(_)
            | PeerMessage::Rows { .. }
            | PeerMessage::Hold { .. }
            | PeerMessage::Probe { .. }
            | PeerMessage::Probed { .. } => {}
        }
    }

    /// Reports the load of every endpoint dispatched here.
    pub(super) fn report_loads(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut loads = Vec::new();
        for seat in self.seats.by_endpoint.values_mut() {
            let Some(active) = &mut seat.active else {
                continue;
            };
            // A report is a sign of life of the endpoint.
            if active.dispatcher.reach() == Reach::Healthy {
                loads.push(active.dispatcher.take_load());
            }
        }
        for load in loads {
            self.send_to_planners(&PeerMessage::Load(load), now, out);
        }
    }

    fn elected(&self, service: &ServiceName) -> Option<Session> {
        let row = self.planners.get(service)?.planner_row()?;
        Some(row.session.clone())
    }
}

impl Node {
    fn wanted_groups(
        &self,
        config: &CompiledConfig,
        service: &ServiceName,
        now: Mono,
    ) -> Vec<WantedGroup> {
        let shards = config.config().services[service].shards;
        let mut groups = Vec::new();
        for (name, group) in &config.config().groups {
            if group.service != *service {
                continue;
            }
            let mut members = Vec::new();
            for endpoint in config.members(name) {
                let known = &config.config().endpoints[endpoint];
                members.push(Member {
                    endpoint: endpoint.clone(),
                    zone: known.zone.clone(),
                    slots: known.slots,
                    state: self.member_state(endpoint, known.drain, now),
                });
            }
            groups.push(WantedGroup {
                group: name.clone(),
                keys: group.keys.clone(),
                shards,
                members,
            });
        }
        groups
    }

    fn member_state(&self, endpoint: &EndpointName, drain: bool, now: Mono) -> MemberState {
        if drain || self.planners.is_draining(endpoint, now) {
            return MemberState::Draining;
        }
        MemberState::Live
    }
}
