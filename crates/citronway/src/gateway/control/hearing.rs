//! What this instance hears from the others: reports, relayed rows, sums.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use citronway_core::gateway::report::{Report, Totals};
use citronway_core::gateway::rows::{Relay, Table};
use citronway_core::gateway::tree::Role;
use citronway_wire::report::{self as datagram, Datagram};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::{Control, Event};
use crate::clock;

impl Control {
    fn relay_came(&mut self, events: &mpsc::Sender<Event>, relay: &Relay) {
        let now = clock::mono();
        let position = &self.follow(relay.table).position;
        if position.load(Ordering::Relaxed) == 0 {
            return;
        }
        let newest = self.cluster.seen().of(relay.table);
        if relay.after.0 > newest || !self.cluster.can_patch(relay) {
            // Something in between was lost.
            self.bring_missed(now, relay.table, events);
            return;
        }
        position.fetch_max(relay.position.0, Ordering::Relaxed);
        if relay.rows.is_empty() && relay.patches.is_empty() {
            return;
        }
        let table = relay.table;
        self.cluster.relayed(now, relay);
        if table == Table::Own {
            self.duty.rows_relayed(&self.cluster);
        }
    }

    /// Takes a datagram that came from an address.
    pub(super) fn datagram_came(
        &mut self,
        socket: &UdpSocket,
        events: &mpsc::Sender<Event>,
        bytes: &[u8],
        from: SocketAddr,
    ) {
        match datagram::decode(bytes) {
            Ok(Datagram::Report(report)) => self.report_came(&report, from),
            Ok(Datagram::Relay(relay)) => {
                if self.place.forwards_from(from) {
                    self.send_to_members(socket, bytes);
                }
                self.relay_came(events, &relay);
            }
            Ok(Datagram::Totals(totals)) => self.totals_came(socket, totals, from),
            Ok(Datagram::TrialRequest(req)) => self.trial_requested(socket, &req, from),
            Ok(Datagram::TrialReply(reply)) => self.trial_replied(&reply),
            Ok(Datagram::TrialEnd(ended)) => self.trial_end_came(&ended),
            Ok(Datagram::ColdRequest(asked)) => self.cold_requested(socket, &asked, from),
            Ok(Datagram::ColdReply(reply)) => self.cold_replied(&reply),
            Err(e) => log::warn!(cause = e.to_string(); "a datagram was dropped"),
        }
    }

    fn totals_came(&mut self, socket: &UdpSocket, mut totals: Totals, from: SocketAddr) {
        let now = clock::mono();
        if totals.term < self.duty.term() {
            // A leader that was replaced and does not know it yet.
            self.report_term(now, socket, from);
            return;
        }
        self.duty.term_heard(totals.term);
        let before = self.place.role(now);
        if !self.place.accept_totals(now, &totals, from) {
            return;
        }
        let role = self.place.role(now);
        if role != before {
            let members = self.place.members().len();
            log::info!(from = from.to_string(), members, term = totals.term; "told by another instance");
        }
        let has_members = !totals.members.is_empty();
        totals.members.clear();
        if has_members {
            let bytes = datagram::encode(&Datagram::Totals(totals.clone()));
            self.send_to_members(socket, &bytes);
        }
        self.cluster.totals_told(now, totals);
        self.publish(now);
    }

    fn send_to_members(&self, socket: &UdpSocket, bytes: &[u8]) {
        for address in self.place.members() {
            self.send(socket, bytes, *address);
        }
    }

    fn report_came(&mut self, report: &Report, from: SocketAddr) {
        let now = clock::mono();
        let is_own = report.instance == self.me.instance;
        let has_started = !self.cluster.peers.knows(&report.instance, report.session);
        if is_own || !self.cluster.peers.report(now, report, from) {
            return;
        }
        self.cluster.traffic_seen(now, report);
        self.duty.traffic_seen(now, report);
        self.duty.term_heard(report.term);
        let sums_up = matches!(self.place.role(now), Role::Delegate(_));
        self.signs_came(now, report, sums_up);
        if has_started && self.duty.in_office() {
            self.cluster.crashes.tell_again();
        }
        if sums_up {
            self.gathered.add(&report.endpoints, &report.keys);
        }
    }
}
