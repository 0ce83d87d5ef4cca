//! Confirmations that the configuration is the newest one, and other ways to the configuration
//! where they fail to come.

use std::net::SocketAddr;

use citronway_core::gateway::freshness::Confirmation;
use citronway_core::gateway::report::Totals;
use citronway_core::gateway::rows::{Relay, Table};
use citronway_core::gateway::tree::Role;
use citronway_core::time::Mono;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::{Control, Event, copies};
use crate::clock;

/// Most datagrams that are handled before other events.
const MAX_DATAGRAMS_PER_TURN: usize = 64;

/// Time for which a member waits longer than its delegate before it asks the store itself, and the
/// time over which the members of a group spread, in milliseconds.
const MEMBER_DELAY_MS: u64 = 100;
const SPREAD_MS: u64 = 150;

impl Control {
    /// Handles the datagrams that have come.
    ///
    /// Load: an instance with too little processor time reads datagrams long after they came. What
    /// they say is older than they say by at most the time since no datagram was left.
    pub(super) fn receive_datagrams(
        &mut self,
        socket: &UdpSocket,
        events: &mpsc::Sender<Event>,
        buf: &mut [u8],
    ) {
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            let now = clock::mono();
            match socket.try_recv_from(buf) {
                Ok((len, from)) => self.on_datagram(socket, events, &buf[..len], from),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                    self.received_all_at = now;
                    return;
                }
                Err(e) => {
                    log::warn!(cause = e.to_string(); "datagram not received");
                    return;
                }
            }
        }
    }

    /// Takes a confirmation that came with a datagram from another instance.
    pub(super) fn hear_confirmation(
        &mut self,
        now: Mono,
        confirmed: Option<Confirmation>,
        source: &str,
    ) {
        let Some(confirmed) = confirmed else { return };
        let delay_ms = now.since(self.received_all_at);
        self.take_confirmation(now, confirmed, delay_ms, source);
    }

    /// Takes the confirmation of a copy, which was true after it was requested.
    pub(super) fn hear_copied_confirmation(&mut self, now: Mono, requested_at: Mono, copy: &Relay) {
        let Some(confirmed) = copy.confirmed else {
            return;
        };
        self.take_confirmation(now, confirmed, now.since(requested_at), "copy");
    }

    fn take_confirmation(
        &mut self,
        now: Mono,
        confirmed: Confirmation,
        delay_ms: u64,
        source: &str,
    ) {
        let was_fetching = self.cluster.freshness.is_fetching();
        self.cluster.freshness.hear(now, confirmed, delay_ms);
        self.log_confirmed(was_fetching, source);
    }

    /// Takes the word of the store, which was true at `at` or later.
    pub(super) fn confirm_by_store(&mut self, now: Mono, at: Mono) {
        let was_fetching = self.cluster.freshness.is_fetching();
        self.cluster.freshness.confirm_by_store(now, at);
        self.log_confirmed(was_fetching, "store");
    }

    fn log_confirmed(&self, was_fetching: bool, source: &str) {
        if was_fetching && !self.cluster.freshness.is_fetching() {
            let version = self.cluster.config_version();
            log::info!(version, source; "configuration confirmed again");
        }
    }

    /// Replaces the confirmation that a delegate passes on by its own, if that is newer.
    pub(super) fn pass_on_confirmation(&self, now: Mono, totals: &mut Totals) {
        totals.confirmed = self.cluster.freshness.confirmation(now);
        let own = self.cluster.seen_versions().config;
        totals.seen.config = totals.seen.config.max(own);
    }

    /// Asks the store and other instances for the configuration if it was not confirmed in time, or
    /// others are known to have a newer one.
    pub(super) fn fetch_unconfirmed_config(&mut self, now: Mono, events: &mpsc::Sender<Event>) {
        let claimed = self.cluster.peers.newest(now).config;
        self.cluster.freshness.observe_claim(now, claimed);
        let spread_ms = self.fetch_spread_ms(now);
        if !self.cluster.freshness.begin_attempt(now, spread_ms) {
            return;
        }
        let version = self.cluster.config_version();
        let confirmed_at = self.cluster.freshness.trust().confirmed_at;
        let confirmed_ms_ago = confirmed_at.map(|at| now.since(at));
        let newer = self.cluster.freshness.missing().unwrap_or_default();
        log::info!(version, confirmed_ms_ago, newer = newer.number; "configuration not confirmed; fetching it");
        self.poll_control(Table::Config).refresh.notify_one();
        let after = self.cluster.seen_versions().config;
        for address in self.config_sources(now) {
            copies::spawn_copy(address, Table::Config, after, events.clone());
        }
    }

    /// Time by which this instance fetches later than the first ones, in milliseconds.
    fn fetch_spread_ms(&self, now: Mono) -> u64 {
        if self.leadership.is_leader() {
            return 0;
        }
        let spread_ms = self.cluster.rank() % SPREAD_MS;
        match self.tree_position.role(now) {
            Role::Delegate(_) => 0,
            Role::Alone => spread_ms,
            Role::Member(_) => MEMBER_DELAY_MS + spread_ms,
        }
    }

    /// Instances to ask for the configuration: one that has a newer version or passes rows on to
    /// this one, and another one in turn.
    fn config_sources(&self, now: Mono) -> Vec<SocketAddr> {
        let peers = &self.cluster.peers;
        let parent = match self.tree_position.role(now) {
            Role::Member(to) | Role::Delegate(to) => Some(to),
            Role::Alone => None,
        };
        let missing = self.cluster.freshness.missing();
        let holder = missing.and_then(|version| peers.reporter_of_config(now, version));
        let first = holder.or(parent);
        let attempt = self.cluster.freshness.attempts() as u64;
        let turn = self.cluster.rank().wrapping_add(attempt);
        let others: Vec<_> = peers
            .addresses()
            .filter(|address| Some(*address) != first && *address != self.cfg.reports)
            .collect();
        let second = usize::try_from(turn % others.len().max(1) as u64)
            .ok()
            .and_then(|n| others.get(n).copied());
        first.into_iter().chain(second).collect()
    }

    /// Tells the traffic thread how far it may rely on the configuration, after the view with that
    /// configuration.
    pub(super) fn publish_trust(&self, now: Mono) {
        let mut trust = self.cluster.freshness.trust();
        // The restored store may not have the newest routes yet.
        if self.cluster.is_settling(now) {
            trust.reject_until = Mono(0);
        }
        self.trust.send_if_modified(|known| {
            let is_changed = *known != trust;
            *known = trust;
            is_changed
        });
        if let Some(at) = trust.confirmed_at {
            self.metrics.set_config_age(now.since(at));
        }
    }
}
