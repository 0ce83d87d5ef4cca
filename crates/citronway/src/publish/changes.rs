//! Logs what has changed at the instance since the last look at it.

use citronway_core::dispatch::health::Reach;
use citronway_core::ids::{EndpointName, Epoch, ServiceName, Session, Version};
use citronway_core::node::{Node, SeatRole, SeatStatus, ShutdownStep};
use citronway_core::time::Now;
use indexmap::IndexMap;

/// The instance as it was at the last look.
#[derive(Debug, Default)]
pub struct Changes {
    roles: IndexMap<EndpointName, Role>,
    config: Version,
    refused: Version,
    planners: IndexMap<ServiceName, (Session, Epoch)>,
    shutdown: Option<ShutdownStep>,
}

/// The dispatcher's role of an endpoint.
#[derive(Debug, Clone, Copy)]
struct Role {
    epoch: Epoch,
    lost: bool,
    may_act: bool,
}

impl Changes {
    /// Logs what has changed; returns how many holds have lapsed meanwhile.
    pub fn look(&mut self, node: &Node, seats: &[SeatStatus], now: Now) -> u64 {
        self.configuration(node);
        self.planners(node);
        self.shutdown(node, now);
        self.roles(node, seats)
    }

    fn configuration(&mut self, node: &Node) {
        let version = node.view().config_version();
        if version != self.config {
            log::info!(version = version.0, was = self.config.0; "configuration in force");
            self.config = version;
        }
        let Some(refused) = node.refused_config() else {
            return;
        };
        if refused.version != self.refused {
            let (version, findings) = (refused.version.0, refused.findings.as_str());
            log::warn!(version, findings; "stored configuration refused");
            self.refused = refused.version;
        }
    }

    fn planners(&mut self, node: &Node) {
        for (service, session, epoch) in node.elected_planners() {
            let elected = (session.clone(), epoch);
            if self.planners.get(service) == Some(&elected) {
                continue;
            }
            log::info!(service:%, session:%, epoch = epoch.0; "planner elected");
            self.planners.insert(service.clone(), elected);
        }
    }

    fn shutdown(&mut self, node: &Node, now: Now) {
        let step = node.shutdown_step(now);
        if step == self.shutdown {
            return;
        }
        self.shutdown = step;
        let pending = node.pending();
        let words = match step {
            None => return,
            Some(ShutdownStep::LameDuck) => "shutdown: asked to stop, still takes work",
            Some(ShutdownStep::Finishing) => "shutdown: takes no work, finishes requests",
            Some(ShutdownStep::HandingOver) => "shutdown: hands its roles over",
            Some(ShutdownStep::Lingering) => "shutdown: roles are gone, about to exit",
            Some(ShutdownStep::GraceOver) => "shutdown: grace is over, about to exit",
        };
        log::info!(pending; "{words}");
    }

    fn roles(&mut self, node: &Node, seats: &[SeatStatus]) -> u64 {
        let mut roles = IndexMap::new();
        let mut lapsed = 0;
        for seat in seats {
            if seat.role != SeatRole::Dispatcher {
                continue;
            }
            let Some(row) = node.view().dispatch().get(&seat.endpoint) else {
                continue;
            };
            let reach = seat.dispatcher.map(|status| status.reach);
            let role = Role {
                epoch: row.value.epoch,
                lost: reach == Some(Reach::Unreachable),
                may_act: seat.may_act,
            };
            let was = self.roles.get(&seat.endpoint).copied();
            let ended = log_role(&seat.endpoint, role, was);
            lapsed += u64::from(ended && self.shutdown.is_none());
            roles.insert(seat.endpoint.clone(), role);
        }
        for (endpoint, was) in &self.roles {
            if !roles.contains_key(endpoint) {
                self.log_lost(node, endpoint, *was);
            }
        }
        self.roles = roles;
        lapsed
    }

    fn log_lost(&self, node: &Node, endpoint: &EndpointName, was: Role) {
        let epoch = was.epoch.0;
        let row = node.view().dispatch().get(endpoint);
        let to = row.map_or_else(String::new, |row| row.value.dispatcher.to_string());
        if self.shutdown.is_some() {
            log::info!(endpoint:%, epoch, to; "dispatcher role handed over at shutdown");
        } else {
            log::info!(endpoint:%, epoch, to; "dispatcher role lost");
        }
    }
}

/// Logs what is new about a role; returns whether its hold has lapsed.
fn log_role(endpoint: &EndpointName, role: Role, was: Option<Role>) -> bool {
    let epoch = role.epoch.0;
    let was = was.filter(|was| was.epoch == role.epoch);
    if was.is_none() {
        log::info!(endpoint:%, epoch; "dispatcher role taken over");
    }
    let was_lost = was.is_some_and(|was| was.lost);
    match (was_lost, role.lost) {
        (false, true) => log::warn!(endpoint:%, epoch; "endpoint lost"),
        (true, false) => log::info!(endpoint:%, epoch; "endpoint back"),
        _ => {}
    }
    let lapsed = was.is_some_and(|was| was.may_act) && !role.may_act;
    if lapsed {
        log::warn!(endpoint:%, epoch; "hold lapsed, the endpoint gets no work from here");
    }
    lapsed
}
