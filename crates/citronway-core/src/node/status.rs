//! What an instance can say of itself to operators.

use indexmap::IndexMap;

use crate::dispatch::health::Reach;
use crate::ids::{EndpointName, Epoch, InstanceName, ServiceName, Session, ZoneName};
use crate::platform::ListedInstance;
use crate::shard::DispatchRow;
use crate::time::Now;

use super::members::Member;
use super::seats::Seat;
use super::store::RefusedConfig;
use super::{Node, View};

/// Part of this session in the dispatch row of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeatRole {
    /// The row names it as dispatcher.
    Dispatcher,
    /// It may take over.
    Successor,
    /// It was a member.
    Former,
}

/// What this instance has to do with an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeatStatus {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Part of this session in its row.
    pub role: SeatRole,
    /// Whether it may send orders now.
    pub may_act: bool,
    /// State of the endpoint, if this session dispatches it.
    pub dispatcher: Option<DispatcherStatus>,
}

/// An endpoint as its dispatcher sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatcherStatus {
    /// Whether it answers.
    pub reach: Reach,
    /// Whether it gets no new work.
    pub draining: bool,
    /// Slots as configured.
    pub slots: u32,
    /// Slots that may be used now.
    pub limit: u32,
    /// Slots in use.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
}

/// How far a shutdown has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownStep {
    /// Asked to stop; work is still taken until the balancer has noticed.
    LameDuck,
    /// Requests taken before are finished.
    Finishing,
    /// Roles are handed over.
    HandingOver,
    /// Nothing but requests on their way here keeps the process.
    Lingering,
    /// Time is up, whatever is unfinished.
    GraceOver,
}

impl Node {
    /// How far the shutdown has come, if the process was asked to stop.
    #[must_use]
    pub fn shutdown_step(&self, now: Now) -> Option<ShutdownStep> {
        self.stopped?;
        if self.grace_is_over(now) {
            return Some(ShutdownStep::GraceOver);
        }
        if !self.is_leaving(now) {
            return Some(ShutdownStep::LameDuck);
        }
        if self.left.is_some() {
            return Some(ShutdownStep::Lingering);
        }
        if self.entry_is_done(now) {
            return Some(ShutdownStep::HandingOver);
        }
        Some(ShutdownStep::Finishing)
    }

    /// The planner of each service with its epoch, as far as is known here.
    #[must_use]
    pub fn elected_planners(&self) -> Vec<(&ServiceName, &Session, Epoch)> {
        let mut all = Vec::new();
        for (service, planner) in self.planners.all() {
            if let Some(row) = planner.planner_row() {
                all.push((service, &row.session, row.epoch));
            }
        }
        all
    }

    /// Every endpoint whose row names this session.
    #[must_use]
    pub fn seats(&self, now: Now) -> Vec<SeatStatus> {
        let mut all = Vec::new();
        for (endpoint, seat) in &self.seats.by_endpoint {
            let Some(role) = self.role_in(endpoint) else {
                continue;
            };
            all.push(SeatStatus {
                endpoint: endpoint.clone(),
                role,
                may_act: seat.hold.may_act(now).is_some(),
                dispatcher: dispatcher_status(&self.view, endpoint, seat),
            });
        }
        all
    }

    /// Other instances with which this one is in touch.
    #[must_use]
    pub const fn members(&self) -> &IndexMap<InstanceName, Member> {
        self.members.known()
    }

    /// Instances as the platform lists them.
    #[must_use]
    pub fn listed(&self) -> &[ListedInstance] {
        self.members.all_listed()
    }

    /// Availability zone of this instance.
    #[must_use]
    pub const fn zone(&self) -> &ZoneName {
        self.members.my_zone()
    }

    /// The newest stored configuration that could not be put in force.
    #[must_use]
    pub const fn refused_config(&self) -> Option<&RefusedConfig> {
        self.refused.as_ref()
    }

    /// Callers' requests that have no outcome yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.entry.len()
    }

    fn role_in(&self, endpoint: &EndpointName) -> Option<SeatRole> {
        let row: &DispatchRow = &self.view.dispatch().get(endpoint)?.value;
        if row.dispatcher == self.me {
            return Some(SeatRole::Dispatcher);
        }
        if row.successors.contains(&self.me) {
            return Some(SeatRole::Successor);
        }
        row.former.contains(&self.me).then_some(SeatRole::Former)
    }
}

fn dispatcher_status(
    view: &View,
    endpoint: &EndpointName,
    seat: &Seat,
) -> Option<DispatcherStatus> {
    let dispatcher = &seat.active.as_ref()?.dispatcher;
    let known = view.config()?.config().endpoints.get(endpoint)?;
    Some(DispatcherStatus {
        reach: dispatcher.reach(),
        draining: dispatcher.draining(),
        slots: known.slots,
        limit: dispatcher.limit(),
        running: dispatcher.running(),
        queued: u32::try_from(dispatcher.waiting()).unwrap_or(u32::MAX),
    })
}
