//! The dispatcher and successor roles: a hold for each endpoint, and a
//! dispatcher while this session is the one that the row names.

use indexmap::IndexMap;

use crate::dispatch::{DispatchEvent, Dispatcher};
use crate::hold::{EndpointReach, Hold, HoldEvent};
use crate::ids::{EndpointName, Epoch, Session};
use crate::peer::KnownRequests;
use crate::placement::wanted::Candidate;
use crate::shard::DispatchRow;
use crate::time::{Mono, Now, Wall};

use super::Node;
use super::events::Action;
use super::probes::Probes;

/// What this instance has to do with one endpoint.
#[derive(Debug)]
pub(super) struct Seat {
    pub(super) hold: Hold,
    pub(super) active: Option<Active>,
    /// Dispatchers that have given up the role and wait for what is in flight.
    pub(super) retired: Vec<Active>,
    pub(super) probes: Probes,
    /// A role whose dispatcher could not be started: the endpoint is not configured.
    pub(super) waiting_role: Option<Role>,
    /// The role was handed over because this instance leaves.
    pub(super) handed_over: bool,
}

/// End of a right that needs no hold.
pub(super) const NEVER: Mono = Mono(u64::MAX);
/// Epoch of a new row: there was no dispatcher before, as rows are never removed.
pub(super) const FIRST_EPOCH: Epoch = Epoch(1);

/// What a dispatcher starts from when its session has taken the role over.
#[derive(Debug, Clone)]
pub(super) struct Role {
    pub(super) epoch: Epoch,
    pub(super) floor: Wall,
    /// An earlier dispatcher may have left orders or grants at the endpoint.
    pub(super) inherited: bool,
    pub(super) known: KnownRequests,
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
    pub(super) fn new(hold: Hold) -> Self {
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
    pub(super) fn of_epoch(&mut self, epoch: Epoch) -> Option<&mut Active> {
        let retired = self.retired.iter_mut();
        self.active
            .iter_mut()
            .chain(retired)
            .find(|active| active.epoch == epoch)
    }

    pub(super) fn is_busy(&self) -> bool {
        self.active.is_some() || !self.retired.is_empty()
    }

    pub(super) fn reach(&self, now: Mono) -> EndpointReach {
        let Some(active) = &self.active else {
            return self.probes.own_reach(now);
        };
        match active.dispatcher.reach() {
            crate::dispatch::health::Reach::Unreachable => EndpointReach::Lost,
            crate::dispatch::health::Reach::Healthy => EndpointReach::Reached,
            crate::dispatch::health::Reach::Suspect => EndpointReach::Unknown,
        }
    }
}

impl Seats {
    /// Whether an endpoint leaves, as the dispatcher of an epoch knows it.
    pub(super) fn leaves(&mut self, endpoint: &EndpointName, epoch: Epoch) -> bool {
        let seat = self.by_endpoint.get_mut(endpoint);
        let active = seat.and_then(|seat| seat.of_epoch(epoch));
        active.is_some_and(|active| active.dispatcher.is_draining())
    }

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

    /// Lets time pass in every hold and dispatcher.
    ///
    /// Candidates are looked up at most once and ranked only for the holds that
    /// want them: otherwise each tick would cost endpoints times instances.
    pub(super) fn tick_seats(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut fit = None;
        for name in self.seats.endpoints() {
            let mut candidates = Vec::new();
            if self.seats.by_endpoint[&name].hold.needs_candidates(now) {
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

    /// The same with those best for the endpoint first, alike on every instance.
    ///
    /// Zones that the row does not use yet go first, then a hash spreads the
    /// roles over the instances.
    pub(super) fn ranked(&self, endpoint: &EndpointName, fit: &[Candidate]) -> Vec<Session> {
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
}

/// Sessions that a row names.
pub(super) fn members_of(row: &DispatchRow) -> Vec<Session> {
    let mut sessions = vec![row.dispatcher.clone()];
    sessions.extend_from_slice(&row.successors);
    sessions.extend_from_slice(&row.former);
    sessions
}
