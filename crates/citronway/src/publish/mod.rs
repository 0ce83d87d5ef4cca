//! Publishes the state of the instance to the administration API and metrics.

mod changes;
mod owners;
mod traffic;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use citronway_core::config::Config;
use citronway_core::dispatch::health::Reach;
use citronway_core::ids::{EndpointName, Session, SessionId, Version};
use citronway_core::node::{DispatcherStatus, Node, SeatRole, SeatStatus};
use citronway_core::platform::{ListedInstance, ListedState};
use citronway_core::shard::{Assignment, DispatchRow};
use citronway_core::time::{Mono, Now};
use indexmap::{IndexMap, IndexSet};

use crate::clock;
use crate::metrics::{EndpointReading, Metrics};
use crate::operators::snapshot::{
    EndpointState, Health, HoldRole, HoldState, InstanceState, Versioned,
};
use crate::operators::{Publisher, Snapshot};
use crate::peers::PeerCounters;

use changes::Changes;
use owners::Owners;
use traffic::Traffic;

/// Makes snapshots; keeps what has not changed since the last one.
#[derive(Debug)]
pub struct StatePublisher {
    me: Session,
    publisher: Publisher,
    metrics: Arc<Metrics>,
    config: Versioned<Arc<Config>>,
    dispatch: IndexMap<EndpointName, Versioned<Arc<DispatchRow>>>,
    held: IndexMap<EndpointName, Mono>,
    dispatched: IndexSet<EndpointName>,
    changes: Changes,
    owners: Owners,
    traffic: Option<Traffic>,
    malformed: Arc<AtomicU64>,
    /// When the process began.
    begun: Mono,
}

impl StatePublisher {
    /// Publishes for the session `me`, whose process began just now.
    pub fn new(me: Session, publisher: Publisher, metrics: Arc<Metrics>) -> Self {
        Self {
            me,
            publisher,
            metrics,
            config: Versioned {
                version: Version(0),
                row: Arc::default(),
            },
            dispatch: IndexMap::new(),
            held: IndexMap::new(),
            dispatched: IndexSet::new(),
            changes: Changes::default(),
            owners: Owners::default(),
            traffic: None,
            malformed: Arc::default(),
            begun: clock::now().mono,
        }
    }

    /// Shows the counters of the peers duty as well.
    #[must_use]
    pub fn with_peers(mut self, counters: Arc<PeerCounters>) -> Self {
        self.traffic = Some(Traffic::new(counters));
        self
    }

    /// Shows how many requests were malformed as well.
    #[must_use]
    pub fn with_malformed(mut self, malformed: Arc<AtomicU64>) -> Self {
        self.malformed = malformed;
        self
    }

    /// Publishes the present state.
    pub fn publish(&mut self, node: &Node, now: Now) {
        self.refresh(node);
        let seats = node.seats(now);
        let lapsed = self.changes.look(node, &seats, now);
        self.metrics.control.holds_lapsed.inc_by(lapsed);
        let snapshot = Snapshot {
            session: self.me.clone(),
            zone: node.zone().clone(),
            serving: node.ready(now),
            store_age_ms: self.store_age_ms(node, now.mono),
            config_version: self.config.version,
            config: Arc::clone(&self.config.row),
            assignments: assignments(node),
            dispatch: self.dispatch.values().cloned().collect(),
            holds: self.holds(&seats, now.mono),
            endpoints: endpoints(&seats),
            instances: self.instances(node, now.mono),
        };
        self.show(&snapshot, node);
        self.publisher.send_replace(Arc::new(snapshot));
    }

    /// Time since the store was last heard, or since the start if it never was.
    fn store_age_ms(&self, node: &Node, now: Mono) -> u64 {
        let age = node.view().store_age_ms(now);
        age.min(now.since(self.begun))
    }

    /// Copies the rows that are newer than the copies.
    fn refresh(&mut self, node: &Node) {
        if let Some(known) = node.view().config()
            && node.view().config_version() > self.config.version
        {
            let row = Arc::new(known.config().clone());
            self.config = Versioned {
                version: node.view().config_version(),
                row,
            };
        }
        for (endpoint, known) in node.view().dispatch() {
            let copy = self.dispatch.get(endpoint);
            if copy.is_some_and(|copy| copy.version >= known.version) {
                continue;
            }
            let row = Arc::new(known.value.clone());
            self.dispatch.insert(
                endpoint.clone(),
                Versioned {
                    version: known.version,
                    row,
                },
            );
        }
    }

    fn holds(&mut self, seats: &[SeatStatus], now: Mono) -> Vec<HoldState> {
        let mut holds = Vec::with_capacity(seats.len());
        for seat in seats {
            if seat.may_act {
                self.held.insert(seat.endpoint.clone(), now);
            }
            let held = self.held.get(&seat.endpoint);
            holds.push(HoldState {
                endpoint: seat.endpoint.clone(),
                role: match seat.role {
                    SeatRole::Dispatcher => HoldRole::Dispatcher,
                    SeatRole::Successor => HoldRole::Successor,
                    SeatRole::Former => HoldRole::Former,
                },
                may_act: seat.may_act,
                age_ms: held.map_or(0, |at| now.since(*at)),
            });
        }
        holds
    }

    fn instances(&self, node: &Node, now: Mono) -> Vec<InstanceState> {
        let mut states = vec![InstanceState {
            session: self.me.clone(),
            zone: node.zone().clone(),
            config_version: Some(self.config.version),
            heard_ms: Some(0),
            listed: listed_as(node.listed(), &self.me),
            leaving: listed_as(node.listed(), &self.me) == Some(ListedState::Leaving),
        }];
        for listed in node.listed() {
            if listed.instance == self.me.instance {
                continue;
            }
            let member = node.members().get(&listed.instance);
            let unheard = Session {
                instance: listed.instance.clone(),
                id: SessionId(0),
            };
            states.push(InstanceState {
                session: member.map_or(unheard, |it| it.session.clone()),
                zone: listed.zone.clone(),
                config_version: member.map(|it| it.config),
                heard_ms: member.map(|it| now.since(it.heard)),
                listed: Some(listed.state),
                leaving: listed.state == ListedState::Leaving
                    || member.is_some_and(|it| it.leaving),
            });
        }
        states
    }

    fn show(&mut self, snapshot: &Snapshot, node: &Node) {
        let control = &self.metrics.control;
        control.serving.set(i64::from(snapshot.serving));
        control.config_version.set(snapshot.config_version.0);
        let peers = node.members().values();
        let known = peers
            .map(|member| member.config.0)
            .max()
            .unwrap_or_default();
        control
            .config_known
            .set(known.max(snapshot.config_version.0));
        control.store_age.set(seconds(snapshot.store_age_ms));
        control
            .peers
            .set(i64::try_from(node.members().len()).unwrap_or(i64::MAX));
        self.show_endpoints(snapshot);
        let malformed = self.malformed.load(Ordering::Relaxed);
        self.metrics.requests.show_malformed(malformed);
        if let Some(traffic) = &self.traffic {
            traffic.show(&self.metrics);
        }
        let config = node.view().config().map(Arc::as_ref);
        for known in &snapshot.assignments {
            let service = &known.row.service;
            let reading = owners::service_reading(&known.row, config);
            let moved = self.owners.moved(known.version, &known.row);
            self.metrics.endpoints.show_service(service, &reading);
            self.metrics.endpoints.moved(service, moved);
        }
    }

    fn show_endpoints(&mut self, snapshot: &Snapshot) {
        let mut dispatched = IndexSet::new();
        for state in &snapshot.endpoints {
            let hold = snapshot
                .holds
                .iter()
                .find(|hold| hold.endpoint == state.endpoint);
            let reading = EndpointReading {
                queued: state.queued,
                slots: state.slots,
                limit: state.limit,
                running: state.running,
                healthy: state.health == Health::Healthy,
                may_act: hold.is_some_and(|hold| hold.may_act),
                hold_age_ms: hold.map_or(0, |hold| hold.age_ms),
            };
            self.metrics.endpoints.show(&state.endpoint, &reading);
            dispatched.insert(state.endpoint.clone());
        }
        for endpoint in self.dispatched.difference(&dispatched) {
            self.metrics.endpoints.forget(endpoint);
        }
        self.dispatched = dispatched;
    }
}

fn assignments(node: &Node) -> Vec<Versioned<Arc<Assignment>>> {
    let known = node.view().assignments().values();
    known
        .map(|it| Versioned {
            version: it.version,
            row: Arc::clone(&it.value.assignment),
        })
        .collect()
}

fn endpoints(seats: &[SeatStatus]) -> Vec<EndpointState> {
    let mut states = Vec::new();
    for seat in seats {
        let Some(status) = seat.dispatcher else {
            continue;
        };
        states.push(endpoint_state(&seat.endpoint, status));
    }
    states
}

fn endpoint_state(endpoint: &EndpointName, status: DispatcherStatus) -> EndpointState {
    EndpointState {
        endpoint: endpoint.clone(),
        health: match status.reach {
            Reach::Healthy => Health::Healthy,
            Reach::Suspect => Health::Suspect,
            Reach::Unreachable => Health::Lost,
        },
        draining: status.draining,
        slots: status.slots,
        running: status.running,
        queued: status.queued,
        limit: status.limit,
    }
}

fn listed_as(listed: &[ListedInstance], me: &Session) -> Option<ListedState> {
    let found = listed.iter().find(|it| it.instance == me.instance);
    found.map(|it| it.state)
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1000.0
}
