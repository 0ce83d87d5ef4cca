//! The other instances, by their rows and reports and by the leader's totals.

use std::net::SocketAddr;

use citronway_core::gateway::admission::{Neighbor, ReportedLoad};
use citronway_core::gateway::budget::FleetSize;
use citronway_core::gateway::election::{LeaderRow, PeerState, Strength};
use citronway_core::gateway::fleet_admission::{FleetDemand, QueueDemand};
use citronway_core::gateway::pace::{EndpointPaces, EndpointTag, rank_of};
use citronway_core::gateway::report::{
    EndpointTotal, EndpointUse, MAX_LISTED_FULL_MESH, MemberState, Report, Totals, Versions,
};
use citronway_core::gateway::rows::Table;
use citronway_core::gateway::share::Demand;
use citronway_core::gateway::tree::Candidate;
use citronway_core::gateway::version::RowVersion;
use citronway_core::ids::{InstanceName, Session, SessionId, ZoneName};
use citronway_core::time::Mono;
use indexmap::IndexMap;

/// Silence after which a report is stale, in milliseconds. Where all report to all, this is
/// ten reports; through a delegate, it is long enough to last through a change of the
/// delegate.
const STALE_MS: u64 = 1_000;
const STALE_THROUGH_DELEGATE_MS: u64 = 1_500;

/// Silence after which the load of an instance is no longer counted where delegates sum it
/// up, in milliseconds: three reports of a member. Its next delegate counts it too.
const LOAD_STALE_MS: u64 = 600;

/// Silence of the leader after which its relays are no longer waited for, in milliseconds:
/// six reports.
const LEADER_SILENT_MS: u64 = 600;

/// Most instances to which requests may be passed on.
const MAX_NEIGHBORS: usize = 24;

/// An instance of which a row or a report was seen.
#[derive(Debug)]
struct Peer {
    address: Option<SocketAddr>,
    zone: Option<ZoneName>,
    state: Option<PeerState>,
    /// When its own last report came, as opposed to news through a delegate.
    direct_at: Option<Mono>,
    report_number: u64,
    seen: Versions,
    /// No endpoint answers it, by its own last report.
    is_cut_off: bool,
    endpoints: Vec<EndpointUse>,
    /// Demand by its own last report; `None` if it states none.
    demand: Option<Vec<QueueDemand>>,
}

/// All other instances.
#[derive(Debug, Default)]
pub(super) struct Peers {
    all: IndexMap<InstanceName, Peer>,
    /// The last totals of a leader, and when they came.
    totals: Option<(Totals, Mono)>,
    /// Number of instances, by the totals of leaders.
    fleet: FleetSize,
}

impl Peers {
    /// Records the row of an instance.
    pub(super) fn set_row(&mut self, instance: &InstanceName, row: InstanceRow) {
        let peer = self.entry(instance);
        peer.address = Some(row.address);
        peer.zone = Some(row.zone);
    }

    /// Whether this session of an instance has been heard of.
    pub(super) fn knows_session(&self, instance: &InstanceName, session: SessionId) -> bool {
        let state = self.all.get(instance).and_then(|peer| peer.state.as_ref());
        state.is_some_and(|state| state.session == session)
    }

    /// Records a report that came from an address; returns false if a newer one was
    /// recorded before.
    pub(super) fn record_report(&mut self, now: Mono, report: &Report, from: SocketAddr) -> bool {
        let peer = self.entry(&report.instance);
        // Instances send from the address at which they listen. An instance that starts
        // while the store is silent has read no rows, and knows the others only by this.
        peer.address.get_or_insert(from);
        let same = peer
            .state
            .as_ref()
            .is_some_and(|state| state.session == report.session);
        if same && report.number <= peer.report_number {
            return false;
        }
        peer.report_number = report.number;
        peer.seen = report.seen;
        peer.is_cut_off = report.is_cut_off;
        peer.direct_at = Some(now);
        peer.endpoints.clone_from(&report.endpoints);
        peer.demand.clone_from(&report.demand);
        peer.update_state(PeerState {
            instance: report.instance.clone(),
            session: report.session,
            heard: now,
            since: now,
            term: report.term,
            stopping: report.stopping,
            unfit: report.unfit,
            strength: report.strength,
        });
        for member in &report.members {
            self.record_member(now, member);
        }
        true
    }

    /// Records the state of a member that its delegate reports.
    fn record_member(&mut self, now: Mono, member: &MemberState) {
        let heard = now.minus(u64::from(member.heard_ago_ms));
        let peer = self.entry(&member.instance);
        if peer.direct_at.is_none_or(|at| at < heard) {
            // Its delegate now counts its requests in flight.
            peer.endpoints.clear();
            peer.demand = None;
        }
        if peer
            .state
            .as_ref()
            .is_some_and(|state| state.heard >= heard)
        {
            return;
        }
        peer.update_state(PeerState {
            instance: member.instance.clone(),
            session: member.session,
            heard,
            since: heard,
            term: member.term,
            stopping: member.stopping,
            unfit: member.unfit,
            strength: member.strength,
        });
    }

    /// Records the state of the leader itself from its totals.
    pub(super) fn record_leader(&mut self, now: Mono, totals: &Totals) {
        let peer = self.entry(&totals.leader.instance);
        peer.seen = totals.seen;
        peer.update_state(PeerState {
            instance: totals.leader.instance.clone(),
            session: totals.leader.id,
            heard: now,
            since: now,
            term: totals.term,
            stopping: totals.stopping,
            unfit: totals.unfit,
            strength: totals.strength,
        });
    }

    fn entry(&mut self, instance: &InstanceName) -> &mut Peer {
        self.all.entry(instance.clone()).or_insert_with(|| Peer {
            address: None,
            zone: None,
            state: None,
            direct_at: None,
            report_number: 0,
            seen: Versions::default(),
            is_cut_off: false,
            endpoints: Vec::new(),
            demand: None,
        })
    }

    /// Records the totals of a leader, unless newer ones were recorded before.
    pub(super) fn set_totals(&mut self, now: Mono, totals: Totals) {
        let newest = self.totals.as_ref().map(|(t, _)| (t.term, t.number));
        if newest.is_none_or(|newest| newest < (totals.term, totals.number)) {
            self.fleet.update(now, totals.instances);
            self.totals = Some((totals, now));
        }
    }

    /// The last totals, unless they are stale.
    pub(super) fn fresh_totals(&self, now: Mono) -> Option<&Totals> {
        let (totals, at) = self.totals.as_ref()?;
        (now.since(*at) < STALE_MS).then_some(totals)
    }

    /// Requests of all other instances in flight and waiting, by endpoint.
    pub(super) fn endpoint_totals(&self, now: Mono) -> IndexMap<EndpointTag, EndpointTotal> {
        let mut totals = IndexMap::<_, EndpointTotal>::new();
        for used in self
            .load_reporters(now)
            .flat_map(|(_, peer)| &peer.endpoints)
        {
            let total = totals.entry(used.tag).or_default();
            total.tag = used.tag;
            total.in_flight += used.in_flight;
            total.waiting += used.waiting;
            total.kb = total.kb.saturating_add(used.kb);
        }
        totals
    }

    /// Addresses to which to send reports where all report to all.
    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.all.values().filter_map(|peer| peer.address)
    }

    /// Ranks of all other instances, by which instances are ordered.
    pub(super) fn ranks(&self) -> impl Iterator<Item = u64> {
        self.all.keys().map(rank_of)
    }

    /// Number of listed instances, including this one.
    pub(super) fn listed_count(&self) -> usize {
        self.all.len() + 1
    }

    /// Number of instances that are known by rows or reports, including `me`.
    pub(super) fn known_count(&self, me: &InstanceName) -> usize {
        self.all.len() + usize::from(!self.is_known(me))
    }

    /// Whether an instance is known by its row or a report.
    pub(super) fn is_known(&self, instance: &InstanceName) -> bool {
        self.all.contains_key(instance)
    }

    /// Whether there are too many instances for all to report to all, as far as is known
    /// here.
    pub(super) fn is_large_fleet(&self, now: Mono) -> bool {
        self.listed_count() > MAX_LISTED_FULL_MESH || self.fresh_totals(now).is_some()
    }

    /// All instances to which totals can be sent.
    pub(super) fn candidates(&self) -> Vec<Candidate<'_>> {
        let all = self.all.iter().filter_map(|(instance, peer)| {
            let state = peer.state.as_ref();
            Some(Candidate {
                instance,
                address: peer.address?,
                zone: peer.zone.as_ref()?,
                heard: state.map(|state| state.heard),
                heard_directly: peer.direct_at,
                strength: state.map_or(Strength::default(), |state| state.strength),
                is_staying: state.is_some_and(|state| !state.stopping),
            })
        });
        all.collect()
    }

    /// States of this delegate's members, for its report to the leader.
    pub(super) fn members(&self, now: Mono) -> Vec<MemberState> {
        let members = self
            .direct_reporters(now)
            .filter_map(|peer| peer.state.as_ref());
        let member_state = |state: &PeerState| MemberState {
            instance: state.instance.clone(),
            session: state.session,
            heard_ago_ms: u16::try_from(now.since(state.heard)).unwrap_or(u16::MAX),
            term: state.term,
            stopping: state.stopping,
            unfit: state.unfit,
            strength: state.strength,
        };
        members.map(member_state).collect()
    }

    /// Each use of an endpoint that a member of this delegate reported.
    pub(super) fn members_use(&self, now: Mono) -> impl Iterator<Item = EndpointTotal> {
        let uses = self.direct_reporters(now).flat_map(|peer| &peer.endpoints);
        uses.map(|used| EndpointTotal {
            tag: used.tag,
            in_flight: used.in_flight,
            waiting: used.waiting,
            kb: used.kb,
        })
    }

    /// Demand that the members of this delegate reported.
    pub(super) fn members_demand(&self, now: Mono) -> impl Iterator<Item = &QueueDemand> {
        let members = self.direct_reporters(now);
        members.flat_map(|peer| peer.demand.iter().flatten())
    }

    /// Demand that all other instances reported to this one.
    pub(super) fn reported_demand(&self, now: Mono) -> impl Iterator<Item = &QueueDemand> {
        let reporters = self.load_reporters(now);
        reporters.flat_map(|(_, peer)| peer.demand.iter().flatten())
    }

    /// Demand of the other instances by the leader's totals, or by their own reports where all
    /// report to all; `None` if no one states any. `own` is what this instance itself reported.
    pub(super) fn fleet_demand(&self, now: Mono, own: &[QueueDemand]) -> Option<FleetDemand> {
        if let Some((totals, at)) = &self.totals
            && self.fresh_totals(now).is_some()
        {
            let sums = totals.demand.as_ref()?;
            return Some(FleetDemand::from_sums(*at, sums, own));
        }
        if self.is_large_fleet(now) {
            return None;
        }
        let reporters = self.load_reporters(now);
        let reports = reporters.filter_map(|(instance, peer)| {
            let demand = peer.demand.as_deref()?;
            Some((peer.direct_at?, rank_of(instance), demand))
        });
        let reports: Vec<_> = reports.collect();
        let newest = reports.iter().map(|(at, _, _)| *at).max()?;
        let demands = reports.into_iter();
        let demands: Vec<_> = demands.map(|(_, rank, demand)| (rank, demand)).collect();
        Some(FleetDemand::from_reports(newest, &demands))
    }

    /// Instances that report directly to this one.
    fn direct_reporters(&self, now: Mono) -> impl Iterator<Item = &Peer> {
        let all = self.all.values();
        all.filter(move |peer| {
            peer.direct_at
                .is_some_and(|at| now.since(at) < LOAD_STALE_MS)
        })
    }

    /// Address to which an instance's reports go; `None` if it is not known.
    pub(super) fn address(&self, instance: &InstanceName) -> Option<SocketAddr> {
        self.all.get(instance)?.address
    }

    /// State of each other instance that is known, for an election.
    pub(super) fn states(&self) -> Vec<PeerState> {
        self.all
            .values()
            .filter_map(|peer| peer.state.clone())
            .collect()
    }

    /// Whether each listed instance except `me` has reported a leader's term that is not lower than
    /// this one, so that none of them leads in an earlier era of the store.
    pub(super) fn all_know_term(&self, me: &InstanceName, term: u64) -> bool {
        let mut others = self.all.iter().filter(|(instance, _)| *instance != me);
        others.all(|(_, peer)| peer.state.as_ref().is_some_and(|state| state.term >= term))
    }

    /// Whether all instances that report to this one know its own rows of a version.
    pub(super) fn all_know_rows(&self, now: Mono, version: RowVersion) -> bool {
        let mut reporters = self.direct_reporters(now);
        reporters.all(|peer| peer.seen.own >= version)
    }

    /// Number of other instances that are heard.
    pub(super) fn heard_count(&self, now: Mono) -> usize {
        self.fresh(now).count()
    }

    /// Number of instances that share the load, including this one, as far as is known.
    ///
    /// Failure: the leader is lost, and each of hundreds of instances takes itself for one
    /// of few and uses up second sends that all of them share. So the last number from
    /// totals stays in force.
    pub(super) fn instance_count(&self, now: Mono) -> usize {
        let heard = self.heard_count(now) + 1;
        let reported = self.fleet.count() as usize;
        if reported > 0 {
            return reported.max(heard);
        }
        if self.is_large_fleet(now) {
            return self.all.len().max(heard);
        }
        heard
    }

    /// Whether any leader has ever sent totals.
    pub(super) const fn has_totals(&self) -> bool {
        self.totals.is_some()
    }

    /// Instances that claim first when the leader falls silent.
    pub(super) fn standbys(&self) -> &[InstanceName] {
        self.totals
            .as_ref()
            .map_or(&[], |(totals, _)| &totals.standbys)
    }

    /// The newest versions that any other instance has seen.
    pub(super) fn newest(&self, now: Mono) -> Versions {
        let from_totals = self.fresh_totals(now).map(|totals| totals.seen);
        let reported = self.fresh(now).map(|(_, peer)| peer.seen);
        reported
            .chain(from_totals)
            .fold(Versions::default(), Versions::newer)
    }

    /// Address of an instance with the newest rows of a table, preferably in `zone`; `None`
    /// if no heard instance has rows.
    pub(super) fn with_newest(
        &self,
        now: Mono,
        table: Table,
        zone: &ZoneName,
    ) -> Option<SocketAddr> {
        let rank = |peer: &Peer| (peer.seen.of(table), peer.zone.as_ref() == Some(zone));
        let peers = self.fresh(now).map(|(_, peer)| peer);
        let best = peers
            .filter(|peer| peer.seen.of(table) > RowVersion::NONE && peer.address.is_some())
            .max_by_key(|peer| rank(peer))?;
        best.address
    }

    /// Instances to which requests may be passed on, at the port `port` of each. Where few are heard
    /// of directly, those that are listed count too; `rank` varies which.
    pub(super) fn neighbors(
        &self,
        now: Mono,
        zone: &ZoneName,
        port: u16,
        rank: u64,
    ) -> Vec<Neighbor> {
        let is_large = self.is_large_fleet(now);
        let usable = |peer: &Peer| {
            let state = peer.state.as_ref();
            let stopping = state.is_some_and(|state| state.stopping);
            let heard = state.is_some_and(|state| now.since(state.heard) < STALE_MS);
            !stopping && !peer.is_cut_off && (heard || is_large)
        };
        let all = self.all.iter().filter_map(|(instance, peer)| {
            let address = peer.address.filter(|_| usable(peer))?;
            Some(Neighbor {
                instance: instance.clone(),
                address: SocketAddr::new(address.ip(), port),
                is_near: peer.zone.as_ref() == Some(zone),
            })
        });
        let mut all: Vec<_> = all.collect();
        if all.len() > MAX_NEIGHBORS {
            let from = usize::try_from(rank % all.len() as u64).unwrap_or_default();
            all.rotate_left(from);
            // Stable: the order within both parts stays.
            all.sort_by_key(|neighbor| !neighbor.is_near);
            let near = all.iter().filter(|neighbor| neighbor.is_near).count();
            let near_kept = near.min(MAX_NEIGHBORS / 2);
            all.drain(near_kept..near);
            all.truncate(MAX_NEIGHBORS);
        }
        all
    }

    /// Address of an instance whose own report says that it has a version of the configuration.
    pub(super) fn reporter_of_config(&self, now: Mono, version: RowVersion) -> Option<SocketAddr> {
        let mut reporters = self.direct_reporters(now);
        let holder = reporters.find(|peer| peer.seen.config >= version);
        holder?.address
    }

    /// Whether the leader that the row names is heard, fit and not stopping, so that it
    /// relays rows.
    pub(super) fn leader_relays_rows(&self, now: Mono, leader: &LeaderRow) -> bool {
        let state = self.leader_state(now, leader);
        state.is_some_and(|state| !state.unfit && !state.stopping && state.term <= leader.term)
    }

    /// Whether the leader that the row names is heard, also if it is unfit.
    pub(super) fn hears_leader(&self, now: Mono, leader: &LeaderRow) -> bool {
        self.leader_state(now, leader).is_some()
    }

    fn leader_state(&self, now: Mono, leader: &LeaderRow) -> Option<&PeerState> {
        let peer = self.all.get(&leader.instance)?;
        let state = peer.state.as_ref()?;
        let heard = now.since(state.heard) < LEADER_SILENT_MS;
        (heard && state.session == leader.session).then_some(state)
    }

    /// Waiting requests of the other instances, by endpoint.
    pub(super) fn waiting(&self, now: Mono) -> IndexMap<EndpointTag, u32> {
        let mut waiting = IndexMap::new();
        for used in self
            .load_reporters(now)
            .flat_map(|(_, peer)| &peer.endpoints)
        {
            *waiting.entry(used.tag).or_default() += used.waiting;
        }
        waiting
    }

    /// Load of each endpoint by requests of the other instances; `own` is what this
    /// instance itself reported.
    pub(super) fn reported_loads(
        &self,
        now: Mono,
        paces: &EndpointPaces,
        own: &IndexMap<EndpointTag, EndpointUse>,
    ) -> IndexMap<EndpointTag, ReportedLoad> {
        let mut all = IndexMap::<EndpointTag, ReportedLoad>::new();
        for (instance, peer) in self.load_reporters(now) {
            let rank = rank_of(instance);
            for used in &peer.endpoints {
                let wanted = used.in_flight + used.waiting;
                if wanted == 0 {
                    continue;
                }
                let load = all.entry(used.tag).or_default();
                load.kb = load.kb.saturating_add(used.kb);
                load.in_flight += used.in_flight;
                load.waiting += used.waiting;
                load.others.push(Demand { rank, wanted });
            }
        }
        for total in self.fresh_totals(now).iter().flat_map(|t| &t.endpoints) {
            let own = own.get(&total.tag).copied().unwrap_or_default();
            let load = all.entry(total.tag).or_default();
            // Direct reports are newer than totals.
            let in_flight = total.in_flight.saturating_sub(own.in_flight);
            let waiting = total.waiting.saturating_sub(own.waiting);
            load.in_flight = load.in_flight.max(in_flight);
            load.waiting = load.waiting.max(waiting);
            load.kb = load.kb.max(total.kb.saturating_sub(own.kb));
            load.is_sum = true;
        }
        for (tag, load) in &mut all {
            load.slowness = paces.slowness(now, *tag);
            load.failure_ratio = paces.failing(now, *tag);
        }
        all
    }

    fn fresh(&self, now: Mono) -> impl Iterator<Item = (&InstanceName, &Peer)> {
        let stale_ms = if self.is_large_fleet(now) {
            STALE_THROUGH_DELEGATE_MS
        } else {
            STALE_MS
        };
        self.all.iter().filter(move |(_, peer)| {
            peer.state
                .as_ref()
                .is_some_and(|state| now.since(state.heard) < stale_ms)
        })
    }

    /// Instances whose reports count towards the load of endpoints.
    fn load_reporters(&self, now: Mono) -> impl Iterator<Item = (&InstanceName, &Peer)> {
        let stale_ms = if self.is_large_fleet(now) {
            LOAD_STALE_MS
        } else {
            STALE_MS
        };
        self.all
            .iter()
            .filter(move |(_, peer)| peer.direct_at.is_some_and(|at| now.since(at) < stale_ms))
    }
}

impl Peer {
    /// Replaces the state of the instance; keeps the time since which it has been
    /// unchanged.
    fn update_state(&mut self, newer: PeerState) {
        let unchanged = |state: &&PeerState| {
            state.session == newer.session
                && state.stopping == newer.stopping
                && state.unfit == newer.unfit
        };
        let known = self.state.as_ref().filter(unchanged);
        let since = known.map_or(newer.since, |state| state.since);
        self.state = Some(PeerState { since, ..newer });
    }
}

/// Stored form of an instance's row.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub(super) struct InstanceRow {
    pub session: Session,
    pub address: SocketAddr,
    pub zone: ZoneName,
}
