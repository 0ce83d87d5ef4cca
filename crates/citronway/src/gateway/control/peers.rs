//! What the other instances report.

use std::net::SocketAddr;

use citronway_core::gateway::admission::Standing;
use citronway_core::gateway::election::{LeaderRow, PeerSight};
use citronway_core::gateway::pace::{EndpointTag, Paces, rank_of};
use citronway_core::gateway::report::{
    EndpointTotal, EndpointUse, REPORT_MS, Report, Totals, Versions, looks_a_report,
};
use citronway_core::gateway::rows::Table;
use citronway_core::gateway::share::Demand;
use citronway_core::ids::{InstanceName, Session, ZoneName};
use citronway_core::time::Mono;
use indexmap::IndexMap;

/// Silence after which a report no longer counts, in milliseconds: ten reports where
/// all are sent, and three where they are rare.
const STALE_MS: u64 = 1_000;
const STALE_REPORTS: u64 = 3;

/// Silence of the leader after which its rows are no longer waited for, in
/// milliseconds: six reports.
const QUIET_MS: u64 = 600;

/// An instance of which a row or a report was seen.
#[derive(Debug)]
struct Peer {
    address: Option<SocketAddr>,
    zone: Option<ZoneName>,
    sight: Option<PeerSight>,
    number: u64,
    seen: Versions,
    endpoints: Vec<EndpointUse>,
}

/// All other instances.
#[derive(Debug, Default)]
pub(super) struct Peers {
    all: IndexMap<InstanceName, Peer>,
    /// Sums that the leader told last, and when.
    totals: Option<(Totals, Mono)>,
}

impl Peers {
    /// Takes the row of an instance.
    pub(super) fn row_seen(&mut self, instance: &InstanceName, row: InstanceRow) {
        let peer = self.entry(instance);
        peer.address = Some(row.address);
        peer.zone = Some(row.zone);
    }

    /// Takes a report that came from an address; false if a newer one was taken before.
    pub(super) fn report(&mut self, now: Mono, report: &Report, from: SocketAddr) -> bool {
        let peer = self.entry(&report.instance);
        // Instances send from the address at which they listen. Whoever starts while the
        // store is silent has read no rows and knows the others by this alone.
        peer.address.get_or_insert(from);
        let same = peer
            .sight
            .as_ref()
            .is_some_and(|sight| sight.session == report.session);
        if same && report.number <= peer.number {
            return false;
        }
        let unchanged = |sight: &&PeerSight| {
            sight.session == report.session
                && sight.stopping == report.stopping
                && sight.unfit == report.unfit
        };
        let since = peer
            .sight
            .as_ref()
            .filter(unchanged)
            .map_or(now, |s| s.since);
        peer.number = report.number;
        peer.seen = report.seen;
        peer.endpoints.clone_from(&report.endpoints);
        peer.sight = Some(PeerSight {
            instance: report.instance.clone(),
            session: report.session,
            heard: now,
            since,
            term: report.term,
            stopping: report.stopping,
            unfit: report.unfit,
            strength: report.strength,
        });
        true
    }

    fn entry(&mut self, instance: &InstanceName) -> &mut Peer {
        self.all.entry(instance.clone()).or_insert_with(|| Peer {
            address: None,
            zone: None,
            sight: None,
            number: 0,
            seen: Versions::default(),
            endpoints: Vec::new(),
        })
    }

    /// Takes the sums of a leader; older ones are ignored.
    pub(super) fn totals(&mut self, now: Mono, totals: Totals) {
        let newest = self.totals.as_ref().map(|(t, _)| (t.term, t.number));
        if newest.is_none_or(|newest| newest < (totals.term, totals.number)) {
            self.totals = Some((totals, now));
        }
    }

    /// The sums that a leader told a moment ago.
    pub(super) fn fresh_totals(&self, now: Mono) -> Option<&Totals> {
        let (totals, at) = self.totals.as_ref()?;
        (now.since(*at) < STALE_MS).then_some(totals)
    }

    /// Requests in flight and waiting of all other instances, by endpoint.
    pub(super) fn sums(&self, now: Mono) -> IndexMap<EndpointTag, EndpointTotal> {
        let mut sums = IndexMap::<_, EndpointTotal>::new();
        for used in self.fresh(now).flat_map(|(_, peer)| &peer.endpoints) {
            let sum = sums.entry(used.tag).or_default();
            sum.tag = used.tag;
            sum.in_flight += used.in_flight;
            sum.waiting += used.waiting;
        }
        sums
    }

    /// Where to send reports, and in which zone that is.
    pub(super) fn addresses(&self) -> impl Iterator<Item = (SocketAddr, Option<&ZoneName>)> {
        let all = self.all.values();
        all.filter_map(|peer| Some((peer.address?, peer.zone.as_ref())))
    }

    /// Where an instance takes reports.
    pub(super) fn address(&self, instance: &InstanceName) -> Option<SocketAddr> {
        self.all.get(instance)?.address
    }

    /// What is known of each for an election.
    pub(super) fn sights(&self) -> Vec<PeerSight> {
        self.all
            .values()
            .filter_map(|peer| peer.sight.clone())
            .collect()
    }

    /// Instances that are heard and go on serving.
    pub(super) fn heard(&self, now: Mono) -> usize {
        self.fresh(now).count()
    }

    /// The newest versions that any instance has seen.
    pub(super) fn newest(&self, now: Mono) -> Versions {
        let mut newest = Versions::default();
        for (_, peer) in self.fresh(now) {
            newest.config = newest.config.max(peer.seen.config);
            newest.endpoints = newest.endpoints.max(peer.seen.endpoints);
            newest.own = newest.own.max(peer.seen.own);
        }
        newest
    }

    /// Where an instance listens that has the newest rows of a table; those of `zone` first.
    pub(super) fn with_newest(
        &self,
        now: Mono,
        table: Table,
        zone: &ZoneName,
    ) -> Option<SocketAddr> {
        let rank = |peer: &Peer| (peer.seen.of(table), peer.zone.as_ref() == Some(zone));
        let peers = self.fresh(now).map(|(_, peer)| peer);
        let best = peers
            .filter(|peer| peer.seen.of(table) > 0 && peer.address.is_some())
            .max_by_key(|peer| rank(peer))?;
        best.address
    }

    /// Whether the leader that the row names is heard and reaches the store.
    pub(super) fn passes_rows(&self, now: Mono, leader: &LeaderRow) -> bool {
        let sight = self
            .all
            .get(&leader.instance)
            .and_then(|peer| peer.sight.as_ref());
        sight.is_some_and(|sight| {
            sight.session == leader.session
                && now.since(sight.heard) < QUIET_MS
                && !sight.unfit
                && !sight.stopping
                && sight.term <= leader.term
        })
    }

    /// Requests of others that wait for each endpoint.
    pub(super) fn waiting(&self, now: Mono) -> IndexMap<EndpointTag, u32> {
        let mut waiting = IndexMap::new();
        for used in self.fresh(now).flat_map(|(_, peer)| &peer.endpoints) {
            *waiting.entry(used.tag).or_default() += used.waiting;
        }
        waiting
    }

    /// Load of each endpoint by what is in flight elsewhere; `own` is what this instance
    /// itself reported.
    pub(super) fn standings(
        &self,
        now: Mono,
        paces: &Paces,
        own: &IndexMap<EndpointTag, EndpointUse>,
    ) -> IndexMap<EndpointTag, Standing> {
        let mut all = IndexMap::<EndpointTag, Standing>::new();
        for (instance, peer) in self.fresh(now) {
            let rank = rank_of(instance);
            for used in &peer.endpoints {
                let wanted = used.in_flight + used.waiting;
                if wanted == 0 {
                    continue;
                }
                let standing = all.entry(used.tag).or_default();
                standing.in_flight += used.in_flight;
                standing.waiting += used.waiting;
                standing.others.push(Demand { rank, wanted });
            }
        }
        for total in self.fresh_totals(now).iter().flat_map(|t| &t.endpoints) {
            let own = own.get(&total.tag).copied().unwrap_or_default();
            let standing = all.entry(total.tag).or_default();
            // The nearer reports are newer.
            let in_flight = total.in_flight.saturating_sub(own.in_flight);
            let waiting = total.waiting.saturating_sub(own.waiting);
            standing.in_flight = standing.in_flight.max(in_flight);
            standing.waiting = standing.waiting.max(waiting);
            standing.is_sum = true;
        }
        for (tag, standing) in &mut all {
            standing.slowness = paces.slowness(now, *tag);
            standing.failing = paces.failing(now, *tag);
        }
        all
    }

    fn fresh(&self, now: Mono) -> impl Iterator<Item = (&InstanceName, &Peer)> {
        let rarest = looks_a_report(self.all.len()) * REPORT_MS * STALE_REPORTS;
        let stale_ms = rarest.max(STALE_MS);
        self.all.iter().filter(move |(_, peer)| {
            peer.sight
                .as_ref()
                .is_some_and(|sight| now.since(sight.heard) < stale_ms)
        })
    }
}

/// Stored form of an instance's row.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub(super) struct InstanceRow {
    pub session: Session,
    pub address: SocketAddr,
    pub zone: ZoneName,
}
