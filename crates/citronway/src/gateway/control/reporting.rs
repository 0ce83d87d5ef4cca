//! Messages to other instances: reports, and as the leader totals and relayed rows.

use std::net::SocketAddr;

use citronway_core::gateway::assignment::Assignment;
use citronway_core::gateway::election;
use citronway_core::gateway::report::{self, MAX_FULL_MESH, MAX_KEYS, Report, Totals};
use citronway_core::gateway::rows::{Relay, Table};
use citronway_core::gateway::tree::{Branch, Role, TOTALS_INTERVAL_MS};
use citronway_core::gateway::version::RowVersion;
use citronway_core::ids::ServiceName;
use citronway_core::time::Mono;
use citronway_wire::relays;
use citronway_wire::report::{self as datagram, Datagram};
use tokio::net::UdpSocket;

use super::limits::OWN_ANSWER;
use super::{Control, own_rows};
use crate::clock;
use crate::gateway::traffic::TrafficReport;

/// One observation of the traffic in this many is reported: by a delegate, by a member, and
/// by an instance without a delegate. The leader splits hot ranges by these reports, and
/// callers of those ranges queue until then.
const DELEGATE_PERIOD: u64 = 1;
const MEMBER_PERIOD: u64 = 2;
const ALONE_PERIOD: u64 = 6;

/// One observation of the traffic in this many is followed by a check which statements of endpoints
/// still matter.
const STATEMENT_CHECK_PERIOD: u64 = 10;

/// Rounds over which the estimates of all endpoints are sent: each endpoint's every second.
const PACE_ROUNDS: u64 = 5;

/// Time for which the standbys stay the same while the store does not answer the leader, in
/// milliseconds.
const STANDBYS_KEPT_MS: u64 = 2_000;

impl Control {
    /// Records an observation of the traffic and reports it to the other instances.
    pub(super) fn report_traffic(&mut self, socket: &UdpSocket, seen: &TrafficReport) {
        let now = clock::mono();
        self.report_number += 1;
        self.leadership.set_cut_off(seen.is_cut_off);
        self.leadership.set_work_ms(&seen.work_ms);
        self.unreported.add(seen.usage.clone());
        self.cluster.set_own_demand(seen.demand.as_deref());
        self.trials.record_crashes(&seen.signs);
        self.cluster.crashes.record_own_signs(now, &seen.signs);
        self.record_crash_bytes(now, &seen.signs);
        self.step_bytes(now);
        self.observe_limits(now, &seen.stated_limits, OWN_ANSWER);
        self.observe_departures(now, &seen.departures, OWN_ANSWER);
        let me = self.me.instance.clone();
        self.hear_rests(now, &me, &seen.rests);
        if self.report_number.is_multiple_of(STATEMENT_CHECK_PERIOD) {
            self.prune_limits(now);
            self.prune_departures(now);
        }
        if self.leads_large_fleet(now) {
            self.record_own_report(now);
            self.send_totals(now, socket);
            return;
        }
        match self.tree_position.role(now) {
            Role::Alone if !self.cluster.peers.is_large_fleet(now) => self.broadcast(now, socket),
            Role::Alone => self.report_to_parent(now, socket, ALONE_PERIOD, None),
            Role::Member(to) => self.report_to_parent(now, socket, MEMBER_PERIOD, Some(to)),
            Role::Delegate(to) => self.report_to_parent(now, socket, DELEGATE_PERIOD, Some(to)),
        }
    }

    /// Whether this instance leads a fleet that is too large for all to report to all.
    pub(super) fn leads_large_fleet(&self, now: Mono) -> bool {
        let peers = &self.cluster.peers;
        self.leadership.is_leader()
            && (peers.is_large_fleet(now) || peers.heard_count(now) >= MAX_FULL_MESH)
    }

    /// Sends a report to all others, in a small fleet.
    fn broadcast(&mut self, now: Mono, socket: &UdpSocket) {
        let mut report = self.record_own_report(now);
        report.limits = self.cluster.stated_limits.take_due(now);
        report.departures = self.cluster.departures.take_due(now);
        report.rests = self.cluster.rests.reported_by(now, &self.me.instance);
        (report.first_sign, report.signs) = self.cluster.crashes.take_signs();
        let leader = self.cluster.leader_address();
        if let Some(address) = leader {
            let bytes = datagram::encode(&Datagram::Report(report.clone()));
            self.send(socket, &bytes, address);
        }
        // Only the leader assigns keys.
        report.keys.clear();
        let bytes = datagram::encode(&Datagram::Report(report));
        for address in self.cluster.peers.addresses() {
            if Some(address) != leader {
                self.send(socket, &bytes, address);
            }
        }
        self.publish(now);
    }

    /// Reports to `to`, the delegate or leader that sums up for this instance, once every
    /// `every` observations; without one, to the leader that the store names.
    fn report_to_parent(
        &mut self,
        now: Mono,
        socket: &UdpSocket,
        every: u64,
        to: Option<SocketAddr>,
    ) {
        let is_due = self.report_number.is_multiple_of(every) || self.report_number <= 1;
        if !is_due && !self.cluster.crashes.has_unsent_signs() {
            return;
        }
        let Some(to) = to.or_else(|| self.cluster.leader_address()) else {
            return;
        };
        let own = self.record_own_report(now).into_observations();
        let members = self.cluster.peers.members(now);
        let merged = if members.is_empty() {
            own
        } else {
            let in_flight = self.cluster.peers.members_use(now);
            self.gathered.take_with(&own, in_flight)
        };
        let mut report = self.build_report(now, merged);
        report.members = members;
        report.demand = self.cluster.demand_with_members(now);
        report.limits = self.cluster.stated_limits.take_due(now);
        report.departures = self.cluster.departures.take_due(now);
        report.rests = self.cluster.rests.sums(now);
        (report.first_sign, report.signs) = self.cluster.crashes.take_signs();
        let bytes = datagram::encode(&Datagram::Report(report));
        self.send(socket, &bytes, to);
        if self.tree_position.role(now) == Role::Alone {
            // In other roles the view is published when totals come.
            self.publish(now);
        }
    }

    /// Records what this instance itself has observed since the last call, and returns it
    /// as a report.
    fn record_own_report(&mut self, now: Mono) -> Report {
        let own = std::mem::take(&mut self.unreported);
        let report = self.build_report(now, own);
        self.leadership.record_traffic(now, &report);
        self.cluster.set_own_use(&report);
        self.cluster.record_traffic(now, &report);
        report
    }

    /// As the leader, sends the totals of contended endpoints to all instances.
    fn send_totals(&mut self, now: Mono, socket: &UdpSocket) {
        if now.since(self.totals_sent_at) < TOTALS_INTERVAL_MS {
            return;
        }
        self.totals_sent_at = now;
        // The leader has counted its own signs; all others learn of them by the totals.
        self.cluster.crashes.take_signs();
        let candidates = self.cluster.peers.candidates();
        let branches = self.tree.plan(now, &candidates);
        let mut totals = self.build_totals(now);
        let without_members = datagram::encode(&Datagram::Totals(totals.clone()));
        for branch in &branches {
            if branch.members.is_empty() {
                self.send(socket, &without_members, branch.to);
                continue;
            }
            totals.members.clone_from(&branch.members);
            let bytes = datagram::encode(&Datagram::Totals(totals.clone()));
            self.send(socket, &bytes, branch.to);
        }
        self.log_tree(&branches);
        self.branches = branches;
        totals.members.clear();
        self.cluster.peers.set_totals(now, totals);
        self.publish(now);
    }

    fn log_tree(&self, branches: &[Branch]) {
        let shape = |branches: &[Branch]| {
            let members: usize = branches.iter().map(|branch| branch.members.len()).sum();
            (branches.len(), members)
        };
        let (told, members) = shape(branches);
        if (told, members) != shape(&self.branches) {
            let groups = self.tree.groups().count();
            log::info!(groups, told, members; "groups of instances changed");
        }
    }

    /// Chooses the standbys, which claim first when this leader falls silent.
    ///
    /// Failure: the store is away for all. The standbys that watch it report that they are
    /// unfit, the next ones watch it, and soon all instances ask it. So the standbys stay
    /// the same for a while then.
    fn update_standbys(&mut self, now: Mono, store_lost: bool) {
        let kept_ms = if store_lost { STANDBYS_KEPT_MS } else { 0 };
        if now.since(self.standbys.1) < kept_ms {
            return;
        }
        let states = self.cluster.peers.states();
        self.standbys = (election::standbys(now, &states), now);
    }

    fn build_totals(&mut self, now: Mono) -> Totals {
        let store_lost = self.cluster.is_lost(Table::Endpoints);
        self.update_standbys(now, store_lost);
        let departures = self.cluster.departures.take_due(now);
        let cluster = &self.cluster;
        let (refused, suspects) = cluster.crashes.totals(now);
        let newest = cluster.peers.newest(now);
        let own = cluster.seen_versions();
        Totals {
            leader: self.me.clone(),
            term: self.leadership.term(),
            number: self.report_number,
            stopping: self.stopping,
            unfit: self.leadership.is_unfit(now, cluster),
            store_lost,
            strength: self.cfg.strength,
            row: cluster.kept_leader_row(),
            seen: own.newer(newest),
            instances: u32::try_from(cluster.peers.heard_count(now) + 1).unwrap_or(u32::MAX),
            standbys: self.standbys.0.clone(),
            endpoints: cluster.contended(now),
            byte_bounds: cluster.byte_bounds(),
            paces: cluster
                .paces
                .estimates_to_send(now, self.report_number / 2, PACE_ROUNDS),
            refused,
            suspects,
            limits: cluster.stated_limits.all(now),
            departures,
            confirmed: cluster.freshness.confirmation(now),
            members: Vec::new(),
            demand: cluster.demand_of_all(now),
        }
    }

    fn build_report(&self, now: Mono, mut seen: report::Observations) -> Report {
        for samples in &mut seen.keys {
            samples.keys.truncate(MAX_KEYS);
        }
        Report {
            instance: self.me.instance.clone(),
            session: self.me.id,
            number: self.report_number,
            stopping: self.stopping,
            unfit: self.leadership.is_unfit(now, &self.cluster),
            is_cut_off: self.leadership.is_cut_off(),
            strength: self.cfg.strength,
            term: self.leadership.term(),
            seen: self.cluster.seen_versions(),
            endpoints: seen.endpoints,
            keys: seen.keys,
            members: Vec::new(),
            signs: Vec::new(),
            first_sign: 0,
            limits: Vec::new(),
            departures: Vec::new(),
            rests: Vec::new(),
            confirmed: self.cluster.freshness.confirmation(now),
            demand: self.cluster.own_demand().cloned(),
        }
    }

    /// Sends the newest known term to an instance.
    pub(super) fn send_term(&self, now: Mono, socket: &UdpSocket, to: SocketAddr) {
        let report = self.build_report(now, report::Observations::default());
        self.send(socket, &datagram::encode(&Datagram::Report(report)), to);
    }

    pub(super) fn send(&self, socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
        if to == self.cfg.reports || bytes.len() > datagram::MAX_DATAGRAM {
            return;
        }
        // The receiver notices a loss by newer numbers and positions in later messages.
        if let Err(e) = socket.try_send_to(bytes, to) {
            log::debug!(cause = e.to_string(), to = to.to_string(); "datagram not sent");
        }
    }

    /// Relays an assignment that this leader has just written, and applies it.
    pub(super) fn relay_write(
        &mut self,
        now: Mono,
        socket: &UdpSocket,
        service: &ServiceName,
        row: &Assignment,
        version: RowVersion,
    ) {
        let Some(relay) = self.cluster.relay_of_write(service, row, version) else {
            return;
        };
        self.relay_rows(now, socket, &relay);
        self.cluster.apply_relay(now, &relay);
    }

    /// As the leader, relays rows to the passive instances.
    pub(super) fn relay_rows(&self, now: Mono, socket: &UdpSocket, relay: &Relay) {
        if !self.leadership.is_leader() {
            return;
        }
        let mut relay = self.cluster.with_patches(relay);
        // Receivers must have seen the newest row before, rather than the store's position,
        // which moves with rows of all tables.
        relay.after = self.cluster.seen_versions().of(relay.table);
        if !self.leads_large_fleet(now) {
            for bytes in relays::in_datagrams(relay) {
                for address in self.cluster.peers.addresses() {
                    self.send(socket, &bytes, address);
                }
            }
            return;
        }
        // Load: 295 instances list themselves within 2 s, and each row would go to all.
        // Only a leader needs them, and reads them when it becomes leader.
        let is_for_all = |key: &str| !own_rows::is_instance(key) && !own_rows::is_claim(key);
        relay.rows.retain(|row| is_for_all(&row.key));
        let is_new_era = relay.position.era > relay.after.era;
        if relay.rows.is_empty() && relay.patches.is_empty() && !is_new_era {
            return;
        }
        for bytes in relays::in_datagrams(relay) {
            for Branch { to, .. } in &self.branches {
                self.send(socket, &bytes, *to);
            }
        }
    }
}
