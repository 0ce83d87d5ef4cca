//! What this instance tells the others: its reports, and rows as their leader.

use std::net::SocketAddr;

use citronway_core::gateway::report::{self, MAX_KEYS, Report, Totals, looks_a_report};
use citronway_core::gateway::rows::Relay;
use citronway_core::time::Mono;
use citronway_wire::report::{self as datagram, Datagram};
use tokio::net::UdpSocket;

use super::Control;
use crate::clock;
use crate::gateway::traffic::Seen;

/// Of how many looks at the traffic one is reported to the leader at least: hot ranges
/// are cut up by what it hears, and their callers queue meanwhile.
const LEADER_LOOKS: u64 = 2;

/// Who gets a datagram.
#[derive(Debug, Clone, Copy)]
enum Audience {
    All,
    /// The leader has reports of its own.
    AllButLeader,
    /// The same, in this instance's availability zone.
    OwnZone,
    /// The same, in all others.
    OtherZones,
}

impl Control {
    /// Takes an account of the traffic and reports it to the others.
    pub(super) fn account(&mut self, socket: &UdpSocket, seen: &Seen) {
        let now = clock::mono();
        self.reports += 1;
        self.duty.work_seen(&seen.work_ms);
        let instances = self.cluster.peers.heard(now) + 1;
        // The leader is heard often enough that its silence is soon noticed.
        let keeps = self.duty.in_office();
        let looks = looks_a_report(instances);
        let [leader_looks, other_looks] = [LEADER_LOOKS.min(looks), looks].map(|looks| {
            if keeps {
                LEADER_LOOKS.min(looks)
            } else {
                looks
            }
        });
        for unreported in &mut self.unreported {
            unreported.add(seen.looked.clone());
        }
        if self.reports.is_multiple_of(leader_looks) {
            let seen = std::mem::take(&mut self.unreported[0]);
            let report = self.report(now, seen);
            self.duty.traffic_seen(now, &report);
            self.cluster.own_traffic(&report);
            self.send_to_leader(socket, report);
            if keeps && looks > 1 {
                self.tell_totals(now, socket);
            }
        }
        if !self.reports.is_multiple_of(other_looks) {
            return;
        }
        let mut seen = std::mem::take(&mut self.unreported[1]);
        // Only the leader places keys.
        seen.keys.clear();
        let report = self.report(now, seen);
        self.cluster.traffic_seen(now, &report);
        if looks == 1 {
            self.send_all(socket, &Datagram::Report(report), Audience::AllButLeader);
        } else {
            let has_totals = self.cluster.peers.fresh_totals(now).is_some();
            let brief = Datagram::Report(report.brief(keeps || has_totals));
            self.send_all(socket, &Datagram::Report(report), Audience::OwnZone);
            self.send_all(socket, &brief, Audience::OtherZones);
        }
        self.publish(now);
    }

    /// Tells all instances what they have at contended endpoints together.
    fn tell_totals(&self, now: Mono, socket: &UdpSocket) {
        let totals = Totals {
            term: self.duty.term(),
            number: self.reports,
            endpoints: self.cluster.contended(now),
        };
        self.send_all(socket, &Datagram::Totals(totals), Audience::All);
    }

    fn report(&self, now: Mono, mut seen: report::Seen) -> Report {
        for samples in &mut seen.keys {
            samples.keys.truncate(MAX_KEYS);
        }
        Report {
            instance: self.me.instance.clone(),
            session: self.me.id,
            number: self.reports,
            stopping: self.stopping,
            unfit: self.duty.is_unfit(now, &self.cluster),
            strength: self.cfg.strength,
            term: self.duty.term(),
            seen: self.cluster.seen(),
            endpoints: seen.endpoints,
            keys: seen.keys,
        }
    }

    fn send_to_leader(&self, socket: &UdpSocket, report: Report) {
        let Some(address) = self.cluster.leader_address() else {
            return;
        };
        let bytes = datagram::encode(&Datagram::Report(report));
        self.send(socket, &bytes, address);
    }

    fn send_all(&self, socket: &UdpSocket, content: &Datagram, audience: Audience) {
        let bytes = datagram::encode(content);
        let leader = self.cluster.leader_address();
        for (address, zone) in self.cluster.peers.addresses() {
            let near = zone == Some(&self.cfg.zone);
            let is_meant = match audience {
                Audience::All => true,
                Audience::AllButLeader => Some(address) != leader,
                Audience::OwnZone => near && Some(address) != leader,
                Audience::OtherZones => !near && Some(address) != leader,
            };
            if is_meant {
                self.send(socket, &bytes, address);
            }
        }
    }

    fn send(&self, socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
        if to == self.cfg.reports || bytes.len() > datagram::MAX_DATAGRAM {
            return;
        }
        // What is lost shows by newer numbers and positions in later reports.
        if let Err(e) = socket.try_send_to(bytes, to) {
            log::debug!(cause = e.to_string(), to = to.to_string(); "datagram not sent");
        }
    }

    /// Passes rows on to those that rest.
    pub(super) fn pass_on(&self, socket: &UdpSocket, relay: &Relay) {
        if !self.duty.in_office() {
            return;
        }
        let relay = self.cluster.with_patches(relay);
        self.send_all(socket, &Datagram::Relay(relay), Audience::All);
    }
}
