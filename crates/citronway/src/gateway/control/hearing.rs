//! Datagrams from other instances: reports, relayed rows, and totals of the leader.

use std::net::SocketAddr;

use citronway_core::gateway::report::{Report, Totals};
use citronway_core::gateway::rows::{Relay, Table};
use citronway_core::gateway::tree::Role;
use citronway_core::gateway::version::{Era, RowVersion};
use citronway_wire::report::{self as datagram, Datagram};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::{Control, Event};
use crate::clock;

impl Control {
    fn on_relay(&mut self, events: &mpsc::Sender<Event>, relay: &Relay) {
        let now = clock::mono();
        self.hear_era(now, relay.position.era, "relay");
        if self.poll_control(relay.table).position() == RowVersion::NONE {
            return;
        }
        let newest = self.cluster.seen_versions().of(relay.table);
        if relay.after > newest || !self.cluster.can_patch(relay) {
            // A relay in between was lost.
            self.fetch_missed(now, relay.table, events);
            return;
        }
        self.poll_control(relay.table).advance(relay.position);
        let is_new_era = relay.position.era > newest.era;
        if relay.rows.is_empty() && relay.patches.is_empty() && !is_new_era {
            return;
        }
        let table = relay.table;
        self.cluster.apply_relay(now, relay);
        if table == Table::Own {
            self.leadership.apply_relayed_rows(&self.cluster);
        }
    }

    /// Handles a datagram that came from an address.
    pub(super) fn on_datagram(
        &mut self,
        socket: &UdpSocket,
        events: &mpsc::Sender<Event>,
        bytes: &[u8],
        from: SocketAddr,
    ) {
        match datagram::decode(bytes) {
            Ok(Datagram::Report(report)) => self.on_report(&report, from),
            Ok(Datagram::Relay(relay)) => {
                if self.tree_position.forwards_from(from) {
                    self.send_to_members(socket, bytes);
                }
                self.on_relay(events, &relay);
            }
            Ok(Datagram::Totals(totals)) => self.on_totals(socket, totals, from),
            Ok(Datagram::TrialRequest(req)) => self.on_trial_request(socket, &req, from),
            Ok(Datagram::TrialReply(reply)) => self.on_trial_reply(&reply),
            Ok(Datagram::TrialEnd(ended)) => self.on_trial_end(&ended),
            Ok(Datagram::ColdRequest(asked)) => self.on_cold_request(socket, &asked, from),
            Ok(Datagram::ColdReply(reply)) => self.on_cold_reply(&reply),
            Ok(Datagram::LimitedSendRequest(asked)) => {
                self.on_limited_request(socket, &asked, from);
            }
            Ok(Datagram::LimitedSendReply(reply)) => self.on_limited_reply(&reply),
            Err(e) => log::warn!(cause = e.to_string(); "malformed datagram dropped"),
        }
    }

    fn on_totals(&mut self, socket: &UdpSocket, mut totals: Totals, from: SocketAddr) {
        let now = clock::mono();
        let era = totals.seen.era().max(Era::of_term(totals.term));
        self.hear_era(now, era, totals.leader.instance.as_str());
        if totals.term < self.leadership.term() {
            // The sender was replaced as the leader and does not know it yet.
            self.send_term(now, socket, from);
            return;
        }
        self.leadership.observe_term(totals.term);
        let before = self.tree_position.role(now);
        if !self.tree_position.accept_totals(now, &totals, from) {
            return;
        }
        let role = self.tree_position.role(now);
        if role != before {
            let members = self.tree_position.members().len();
            log::info!(from = from.to_string(), members, term = totals.term; "told by another instance");
        }
        let leader = totals.leader.instance.clone();
        self.hear_confirmation(now, totals.confirmed, leader.as_str());
        self.pass_on_confirmation(now, &mut totals);
        let has_members = !totals.members.is_empty();
        totals.members.clear();
        if has_members {
            let bytes = datagram::encode(&Datagram::Totals(totals.clone()));
            self.send_to_members(socket, &bytes);
        }
        self.hear_limits(now, &totals.limits, leader.as_str());
        self.hear_departures(now, &totals.departures, leader.as_str());
        self.cluster.apply_totals(now, totals);
        self.publish(now);
    }

    fn send_to_members(&self, socket: &UdpSocket, bytes: &[u8]) {
        for address in self.tree_position.members() {
            self.send(socket, bytes, *address);
        }
    }

    fn on_report(&mut self, report: &Report, from: SocketAddr) {
        let now = clock::mono();
        let is_own = report.instance == self.me.instance;
        let is_new_session = !self
            .cluster
            .peers
            .knows_session(&report.instance, report.session);
        if is_own || !self.cluster.peers.record_report(now, report, from) {
            return;
        }
        let era = report.seen.era().max(Era::of_term(report.term));
        self.hear_era(now, era, report.instance.as_str());
        self.cluster.record_traffic(now, report);
        self.leadership.record_traffic(now, report);
        self.leadership.observe_term(report.term);
        let is_delegate = matches!(self.tree_position.role(now), Role::Delegate(_));
        self.record_signs(now, report, is_delegate);
        if is_new_session {
            self.cluster.stated_limits.make_all_due();
        }
        if is_new_session && self.leadership.is_leader() {
            self.cluster.crashes.resend_newest_signs();
        }
        let source = report.instance.as_str();
        self.hear_confirmation(now, report.confirmed, source);
        if is_delegate || self.leads_large_fleet(now) {
            self.observe_limits(now, &report.limits, source);
            self.observe_departures(now, &report.departures, source);
        } else {
            self.hear_limits(now, &report.limits, source);
            self.hear_departures(now, &report.departures, source);
        }
        self.hear_rests(now, &report.instance, &report.rests);
        if is_delegate {
            self.gathered.add(&report.endpoints, &report.keys);
        }
    }
}
