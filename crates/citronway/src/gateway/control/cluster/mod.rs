//! What this instance knows of the configuration, endpoints, owners of keys and other
//! instances.

mod copies;
mod evacuations;
mod load;
mod restore;
mod sharing;
mod table;

use std::net::SocketAddr;
use std::sync::Arc;

use citronway_core::gateway::admission::{Owners, View};
use citronway_core::gateway::departures::{Departures, owned_work_until};
use citronway_core::gateway::election::LeaderRow;
use citronway_core::gateway::endpoint_bytes::ByteBounds;
use citronway_core::gateway::evacuation::Evacuations;
use citronway_core::gateway::fleet_admission::QueueDemand;
use citronway_core::gateway::freshness::ConfigFreshness;
use citronway_core::gateway::hot_range;
use citronway_core::gateway::outage::Outage;
use citronway_core::gateway::pace::{EndpointPaces, EndpointTag, rank_of};
use citronway_core::gateway::registry::Registry;
use citronway_core::gateway::report::{EndpointUse, Versions};
use citronway_core::gateway::rests::ReportedRests;
use citronway_core::gateway::routes::{CheckedRoutes, RouteTable};
use citronway_core::gateway::rows::{Relay, Row, Table};
use citronway_core::gateway::settings::{InstanceSettings, Switch};
use citronway_core::gateway::stated_limits::StatedLimits;
use citronway_core::gateway::version::{Era, RowVersion};
use citronway_core::ids::{InstanceName, ServiceName, ZoneName};
use citronway_core::time::Mono;
use citronway_platform::store::CONFIG_KEY;
use indexmap::IndexMap;

use super::crashes::Crashes;
use super::kept_rows::KeptRows;
use super::own_rows;
use super::peers::{InstanceRow, Peers};
use super::store::TableUpdate;
use super::unusable::{Source, Unusable};
use table::{RowSource, TableState};

/// Time in milliseconds for which others may have newer rows of a table before its poll
/// counts as hung. Polls are answered within a few milliseconds of a change.
const BEHIND_MS: u64 = 400;

/// Like [`BEHIND_MS`], for a table that was never read: at a start the store answers within
/// 20 ms when all is well, and callers are refused until then.
const NEVER_READ_MS: u64 = 100;

/// Silence of the store and of all other instances, in milliseconds, after which this
/// instance considers itself cut off.
const CUT_OFF_MS: u64 = 4_000;

/// Change of the store's reachability that a poll showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StoreStatus {
    /// The store answers as before.
    Steady,
    /// The store does not answer, or refuses this instance.
    Lost,
    /// The store answers again after it was lost.
    Regained,
}

#[derive(Debug)]
pub(super) struct Cluster {
    instance: InstanceName,
    /// Whether this instance had no row when the rows of all were first read; `None` before that.
    is_new: Option<bool>,
    zone: ZoneName,
    rank: u64,
    /// Highest known era of the store.
    pub era: Era,
    /// Whether this process has known an earlier era.
    pub(super) era_changed: bool,
    /// When the era was learnt.
    pub era_learnt: Mono,
    /// Whether the deployment was started for the first time with this process.
    pub(super) first_start: bool,
    /// Tables of a restored store of which known rows were kept, and when to read them again.
    unsettled: IndexMap<Table, Mono>,
    /// The row that names the leader, as the store has it.
    pub(super) stored_leader: Option<LeaderRow>,
    /// Version of the stored assignment of each service, also where a newer content is known.
    pub(super) assignment_versions: IndexMap<ServiceName, RowVersion>,
    /// Port on which instances take requests from each other; `None` for none.
    neighbor_port: Option<u16>,
    routes: Option<Arc<RouteTable>>,
    fast_division: Switch,
    pub registry: Arc<Registry>,
    pub owners: IndexMap<ServiceName, Owners>,
    /// The newest leader that is known. After a restore it may be newer than the stored one.
    pub leader: Option<LeaderRow>,
    /// When the current leader was first seen.
    pub leader_seen: Mono,
    pub peers: Peers,
    pub paces: EndpointPaces,
    pub crashes: Crashes,
    pub evacuations: Evacuations,
    pub stated_limits: StatedLimits,
    pub departures: Departures,
    pub rests: ReportedRests,
    /// Bounds on the bytes of requests at an endpoint.
    pub(super) bytes: ByteBounds,
    pub freshness: ConfigFreshness,
    /// Time allowed for an evacuation, in milliseconds.
    evacuation_ms: u64,
    /// Time for which a leaving endpoint goes on serving, in milliseconds.
    drain_ms: u64,
    config: TableState,
    endpoints: TableState,
    outage: Outage,
    pub(super) own: TableState,
    /// Last reading of the store's clock in milliseconds, and when it came.
    store_clock: Option<(u64, Mono)>,
    /// Term of the last leader that sent totals, and whether the store was lost for it.
    leader_store: Option<(u64, bool)>,
    /// Requests that this instance itself has in flight and waiting, by endpoint.
    own_use: IndexMap<EndpointTag, EndpointUse>,
    /// Demand at this instance; `None` without admission control across instances.
    own_demand: Option<Vec<QueueDemand>>,
    /// Newest version of each endpoint's entry, also of removed ones.
    pub(super) entries: IndexMap<String, RowVersion>,
    /// Addresses of this instance and of the store, which no endpoint may have.
    pub(super) own_addresses: [SocketAddr; 5],
    last_heard_at: Mono,
    pub(super) unusable: Unusable,
    kept: KeptRows,
    pub(super) changed: bool,
}

impl Cluster {
    pub(super) fn new(cfg: &InstanceSettings) -> Self {
        Self {
            instance: cfg.instance.clone(),
            is_new: None,
            zone: cfg.zone.clone(),
            rank: rank_of(&cfg.instance),
            era: Era::FIRST,
            era_changed: false,
            era_learnt: Mono::default(),
            first_start: cfg.first_start,
            unsettled: IndexMap::new(),
            stored_leader: None,
            assignment_versions: IndexMap::new(),
            neighbor_port: cfg.neighbors.map(|address| address.port()),
            routes: None,
            fast_division: cfg.traffic.fast_division,
            registry: Arc::default(),
            owners: IndexMap::new(),
            leader: None,
            leader_seen: Mono::default(),
            peers: Peers::default(),
            paces: EndpointPaces::default(),
            crashes: Crashes::new(rank_of(&cfg.instance)),
            evacuations: Evacuations::default(),
            stated_limits: StatedLimits::default(),
            departures: Departures::default(),
            rests: ReportedRests::default(),
            bytes: ByteBounds::default(),
            freshness: ConfigFreshness::new(cfg.config_apply_ms),
            evacuation_ms: cfg.evacuation_ms,
            drain_ms: cfg.drain_ms,
            config: TableState::default(),
            endpoints: TableState::default(),
            outage: Outage::default(),
            own: TableState::default(),
            store_clock: None,
            leader_store: None,
            own_use: IndexMap::new(),
            own_demand: None,
            entries: IndexMap::new(),
            own_addresses: [cfg.callers, cfg.ready, cfg.reports, cfg.metrics, cfg.store],
            last_heard_at: Mono::default(),
            unusable: Unusable::default(),
            kept: KeptRows::default(),
            changed: false,
        }
    }

    fn table_state(&mut self, table: Table) -> &mut TableState {
        match table {
            Table::Config => &mut self.config,
            Table::Endpoints => &mut self.endpoints,
            Table::Own => &mut self.own,
        }
    }

    /// Applies the result of a poll; returns how the store's reachability changed.
    pub(super) fn apply_update(
        &mut self,
        now: Mono,
        table: Table,
        update: TableUpdate,
    ) -> StoreStatus {
        let (rows, list_version, position) = match update {
            TableUpdate::Loaded {
                rows,
                version,
                now_ms,
            } => {
                self.store_clock = Some((now_ms, now));
                (rows, Some(version), version)
            }
            TableUpdate::Changed { relay, now_ms } => {
                self.store_clock = Some((now_ms, now));
                (relay.rows, None, relay.position)
            }
            TableUpdate::Lost(cause) => {
                self.mark_lost(table, &cause);
                return StoreStatus::Lost;
            }
        };
        self.last_heard_at = now;
        let status = self.mark_regained(now, table);
        self.apply_rows(now, table, RowSource::Store, &rows, list_version);
        self.table_state(table).enter_era_of(position);
        self.advance_position(table, position);
        status
    }

    /// Records that all rows of a table up to a position were taken.
    fn advance_position(&mut self, table: Table, position: RowVersion) {
        let state = self.table_state(table);
        state.advance_position(position);
        let (newest, position) = (state.newest, state.position);
        if table == Table::Config {
            self.freshness.advance(newest, position);
        }
    }

    /// Whether the last call for a table failed.
    pub(super) const fn is_lost(&self, table: Table) -> bool {
        match table {
            Table::Config => self.config.lost,
            Table::Endpoints => self.endpoints.lost,
            Table::Own => self.own.lost,
        }
    }

    /// Applies rows that the leader relayed.
    pub(super) fn apply_relay(&mut self, now: Mono, relay: &Relay) {
        self.last_heard_at = now;
        self.mark_regained(now, relay.table);
        self.apply_rows(now, relay.table, RowSource::Relay, &relay.rows, None);
        for patch in &relay.patches {
            self.apply_patch(patch);
        }
        self.table_state(relay.table).enter_era_of(relay.position);
        self.advance_position(relay.table, relay.position);
    }

    /// Rank of this instance, by which all instances are ordered.
    pub(super) const fn rank(&self) -> u64 {
        self.rank
    }

    /// Address at which the leader receives reports; `None` if it is not known.
    pub(super) fn leader_address(&self) -> Option<SocketAddr> {
        let leader = self.leader.as_ref()?;
        self.peers.address(&leader.instance)
    }

    /// Applies rows of a table. `list_version` is the version of the store if `rows` are all rows
    /// of the table.
    fn apply_rows(
        &mut self,
        now: Mono,
        table: Table,
        source: RowSource,
        rows: &[Row],
        list_version: Option<RowVersion>,
    ) {
        if rows.is_empty() && list_version.is_none() {
            return;
        }
        // Only sequenced rows show a gap: in large fleets rows of instances are not
        // relayed, and the leader's row comes apart from the others, with the totals.
        let sequenced = rows.iter().filter(|row| own_rows::is_sequenced(&row.key));
        let newest = sequenced.map(|row| row.version).max().unwrap_or_default();
        let state = self.table_state(table);
        state.observe_version(newest);
        if let Some(version) = list_version {
            state.enter_era_of(version);
        }
        let is_first = !std::mem::replace(&mut state.loaded, true);
        match list_version {
            Some(version) => self.kept.replace(table, rows, version),
            None => self.kept.keep(table, rows),
        }
        match table {
            Table::Config => {
                self.apply_config_rows(source, rows);
                let learned_at = (!is_first).then_some(now);
                self.apply_evacuation_rows(now, learned_at, rows, list_version);
            }
            Table::Endpoints => self.apply_endpoint_rows(now, rows, list_version),
            Table::Own => {
                self.apply_own_rows(now, rows);
                if let Some(version) = list_version {
                    self.apply_absent_own_rows(rows, version);
                    self.record_listing();
                }
            }
        }
        self.changed = true;
    }

    fn mark_lost(&mut self, table: Table, cause: &str) {
        let state = self.table_state(table);
        if state.lost {
            return;
        }
        state.lost = true;
        log::warn!(table = table.as_str(), cause; "store lost");
        if table == Table::Endpoints {
            Arc::make_mut(&mut self.registry).store_lost();
        }
    }

    fn mark_regained(&mut self, now: Mono, table: Table) -> StoreStatus {
        let state = self.table_state(table);
        if !state.lost {
            return StoreStatus::Steady;
        }
        state.lost = false;
        // Failure: this instance alone was cut off, and takes the entry of an endpoint that
        // left meanwhile for one that expired with the store. Others that saw newer rows
        // show that the store was up.
        let store_went_on = self.outage.is_local();
        log::info!(table = table.as_str(), store_went_on; "store regained");
        if table == Table::Endpoints {
            let registry = Arc::make_mut(&mut self.registry);
            if store_went_on {
                registry.outage_was_local();
            } else {
                registry.store_regained(now);
            }
        }
        StoreStatus::Regained
    }

    fn apply_config_rows(&mut self, source: RowSource, rows: &[Row]) {
        for row in rows {
            let Some(value) = row.value.as_deref().filter(|_| row.key == CONFIG_KEY) else {
                continue;
            };
            let CheckedRoutes { routes, findings } = match citronway_platform::config::decode(value)
            {
                Ok(checked) => checked,
                Err(e) => {
                    log::error!(cause = e.to_string(); "configuration cannot be decoded");
                    self.unusable.count(Source::Configuration, 1);
                    continue;
                }
            };
            let old = self.routes.as_ref().map(|routes| routes.version);
            if old.is_some_and(|old| routes.version <= old) {
                continue;
            }
            let (version, row, source) = (routes.version.0, row.version.number, source.as_str());
            log::info!(version, row, source; "configuration in force");
            self.unusable.record_findings(&findings);
            let services = routes.services.keys().cloned().collect();
            Arc::make_mut(&mut self.registry).set_services(services);
            self.routes = Some(Arc::new(routes));
        }
    }

    /// Version of the configuration in force; `None` until the first one is known.
    pub(super) fn config_version(&self) -> Option<u64> {
        self.routes.as_ref().map(|routes| routes.version.0)
    }

    /// Whether the leader is heard, also if it is unfit.
    pub(super) fn hears_leader(&self, now: Mono) -> bool {
        let leader = self.leader.as_ref();
        leader.is_some_and(|row| self.peers.hears_leader(now, row))
    }

    /// Drops entries of endpoints that stayed missing after an outage of the store.
    pub(super) fn expire(&mut self, now: Mono) {
        if self.registry.has_expired(now) {
            self.changed |= Arc::make_mut(&mut self.registry).expire(now);
        }
    }

    /// Applies changes of the endpoints that state that they leave.
    pub(super) fn apply_departures(&mut self) {
        if !self.departures.take_changed() {
            return;
        }
        let leaving = self.departures.iter();
        let leaving = leaving.map(|(tag, since)| (tag, owned_work_until(since, self.drain_ms)));
        Arc::make_mut(&mut self.registry).set_leaving(leaving.collect());
        self.changed = true;
    }

    pub(super) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Names of services whose keys are divided among their endpoints.
    pub(super) fn sharded(&self) -> Vec<ServiceName> {
        let Some(routes) = &self.routes else {
            return Vec::new();
        };
        let sharded = routes
            .services
            .iter()
            .filter(|(_, service)| service.sharded);
        sharded.map(|(name, _)| name.clone()).collect()
    }

    /// Whether hot ranges of a service are divided at once.
    pub(super) fn divides_fast(&self, now: Mono, service: &ServiceName) -> bool {
        let instances = self.peers.instance_count(now);
        hot_range::is_used(
            self.fast_division,
            self.routes.as_deref(),
            service,
            instances,
        )
    }

    /// Whether this instance knows enough to serve callers, and is not cut off.
    pub(super) fn is_ready(&self, now: Mono) -> bool {
        let store_lost = self.config.lost && self.endpoints.lost && self.own.lost;
        let cut_off = store_lost && self.peers.heard_count(now) == 0;
        let known = self
            .sharded()
            .iter()
            .all(|service| self.owners.contains_key(service));
        self.routes.is_some() && known && !(cut_off && now.since(self.last_heard_at) > CUT_OFF_MS)
    }

    /// Whether the store does not answer, or refuses, this instance.
    pub(super) const fn store_lost(&self) -> bool {
        self.own.lost
    }

    /// Whether the leader is heard and fit, so that it relays rows.
    pub(super) fn has_relaying_leader(&self, now: Mono) -> bool {
        self.leader
            .as_ref()
            .is_some_and(|row| self.peers.leader_relays_rows(now, row))
    }

    /// Number of assigned ranges of all services.
    pub(super) fn ranges(&self) -> usize {
        let rows = self.owners.values();
        rows.map(|owners| owners.assignment.ranges.len()).sum()
    }

    /// Estimate of the store's clock in milliseconds, a little behind and never ahead;
    /// `None` before the first answer.
    pub(super) fn store_ms(&self, now: Mono) -> Option<u64> {
        self.store_clock.map(|(ms, at)| ms + now.since(at))
    }

    /// Whether the store lists this instance with the address and zone of `row`.
    pub(super) fn is_listed_as(&self, row: &InstanceRow) -> bool {
        let key = own_rows::instance_key(&row.session.instance);
        let mut kept = self.kept.rows(Table::Own);
        let value = kept
            .find(|kept| kept.key == key && kept.version.era == self.era)
            .and_then(|kept| kept.value.as_deref());
        let listed = value.and_then(|value| serde_json::from_slice::<InstanceRow>(value).ok());
        listed.is_some_and(|listed| listed.address == row.address && listed.zone == row.zone)
    }

    /// Whether the table of own rows was read or copied at least once.
    pub(super) const fn own_loaded(&self) -> bool {
        self.own.loaded
    }

    /// Whether the table of own rows was read in the present era of the store.
    pub(super) fn own_is_current(&self) -> bool {
        self.own.loaded && self.own.newest.era == self.era
    }

    pub(super) const fn seen_versions(&self) -> Versions {
        Versions {
            config: self.config.newest,
            endpoints: self.endpoints.newest,
            own: self.own.newest,
        }
    }

    /// Whether others know a leader of `term` whose row this instance has not seen.
    ///
    /// Failure guarded against: the row that names a new leader is missed, and rows that
    /// the leader relays move the position past it. A poll from that position no longer
    /// returns the row, and the instance has no leader until the next one is elected.
    pub(super) fn lacks_leader(&self, term: u64) -> bool {
        // The first term of an era is that of no leader.
        let is_of_leader = term > Era::of_term(term).first_term();
        let known = self.leader.as_ref().map_or(0, |row| row.term);
        self.own.loaded && is_of_leader && known < term
    }

    /// Tables of which others have had newer rows for longer than a poll takes; `term` is
    /// the highest known term of a leader.
    pub(super) fn stale_tables(&mut self, now: Mono, term: u64) -> Vec<Table> {
        let newest = self.peers.newest(now);
        self.outage.observe(now, self.endpoints.lost, newest);
        let lacks_leader = self.lacks_leader(term);
        let tables = [
            (Table::Config, newest.config),
            (Table::Endpoints, newest.endpoints),
            (Table::Own, newest.own),
        ];
        let mut stale = Vec::new();
        for (table, others) in tables {
            let state = self.table_state(table);
            let lacks_row = table == Table::Own && lacks_leader;
            if others <= state.newest && !lacks_row {
                state.behind_since = None;
                continue;
            }
            let since = *state.behind_since.get_or_insert(now);
            let limit_ms = if state.loaded {
                BEHIND_MS
            } else {
                NEVER_READ_MS
            };
            if now.since(since) >= limit_ms {
                state.behind_since = None;
                stale.push(table);
            }
        }
        stale
    }

    pub(super) fn view(&self, now: Mono) -> View {
        let mut divided_fast = self.sharded();
        divided_fast.retain(|service| self.divides_fast(now, service));
        View {
            divided_fast,
            routes: self.routes.clone(),
            registry: Arc::clone(&self.registry),
            owners: self.owners.clone(),
            reported_loads: self.peers.reported_loads(now, &self.paces, &self.own_use),
            paces: self.paces.estimates(now),
            zone: self.zone.clone(),
            rank: self.rank,
            instances: u32::try_from(self.peers.instance_count(now)).unwrap_or(u32::MAX),
            sharing: self.sharing(now),
            crashes: self.crashes.known(),
            neighbors: match self.neighbor_port {
                Some(port) => self.peers.neighbors(now, &self.zone, port, self.rank),
                None => Vec::new(),
            },
            has_leader: self.has_relaying_leader(now),
            limits: self.stated_limits.in_force(),
            fleet: self.fleet_demand(now),
            byte_bounds: self.byte_bounds().into_iter().collect(),
        }
    }
}
