//! Writes of the leader's row: claims of leadership, and the end of the wait for former leaders.

use citronway_core::gateway::election::{
    self, ElectionView, FormerLeader, LeaderRow, PeerState, RestoredView,
};
use citronway_core::gateway::leader::Leader;
use citronway_core::gateway::version::RowVersion;
use citronway_core::time::Mono;
use citronway_platform::store::ConditionalWrite;

use super::super::cluster::Cluster;
use super::super::own_rows;
use super::{CLAIM_PAUSE_MS, CLOCK_MARGIN_MS, Leadership};

impl Leadership {
    /// Removes former leaders from the leader's row once all of them are known to have
    /// stopped, or all holds that they may have granted have ended.
    ///
    /// Failure: a former leader is gone for good and never reports that it has stopped.
    /// If it stayed in the row, each later leader would wait for it again before it assigns
    /// the keys of a dead endpoint to another one.
    pub(super) fn remove_former_leaders(&mut self, now: Mono) -> Option<ConditionalWrite> {
        let own_row = self
            .own_row
            .as_ref()
            .filter(|own_row| !own_row.former.is_empty())?;
        let is_restoring = self.leaders.values().any(Leader::is_restoring);
        let has_ended = self.former_leaders_stopped || now > self.former_limits.hold_until;
        let free = has_ended && !is_restoring;
        if !free || self.claim_pending || now < self.claim_after {
            return None;
        }
        let value = own_rows::leader_value(&LeaderRow {
            former: Vec::new(),
            first_fence: None,
            ..own_row.clone()
        });
        if own_row.first_fence.is_some() {
            log::info!(term = own_row.term, first_fence = own_row.first_fence.unwrap_or_default(); "all keys have fences of the new era");
        }
        let value = value
            .inspect_err(|e| log::error!(cause = e.to_string(); "leader row not written"))
            .ok()?;
        self.claim_pending = true;
        self.claim_after = now.plus(CLAIM_PAUSE_MS);
        Some(ConditionalWrite {
            preconditions: vec![(own_rows::LEADER_KEY.to_owned(), own_row.version)],
            put: vec![(own_rows::LEADER_KEY.to_owned(), value)],
            remove: Vec::new(),
        })
    }

    fn election_view<'a>(
        &'a self,
        now: Mono,
        unfit: bool,
        cluster: &'a Cluster,
        peers: &'a [PeerState],
    ) -> ElectionView<'a> {
        ElectionView {
            me: &self.me.instance,
            session: self.me.id,
            started: self.known_since,
            unfit,
            strength: self.strength,
            term: self.term,
            row: cluster.leader.as_ref(),
            row_seen: cluster.leader_seen,
            peers,
            standbys: cluster.peers.standbys(),
            instances: cluster.peers.listed_count(),
            is_large_fleet: cluster.peers.is_large_fleet(now) || cluster.peers.has_totals(),
            restored: cluster.is_restored().then_some(RestoredView {
                learnt_at: cluster.era_learnt,
                leads: self.must_claim_again(cluster),
            }),
        }
    }

    /// Whether this instance is one of the few that poll the store while no leader relays
    /// rows.
    pub(in super::super) fn watches_store(&self, now: Mono, cluster: &Cluster) -> bool {
        let peers = cluster.peers.states();
        election::watches_store(now, &self.election_view(now, false, cluster, &peers))
    }

    /// The write by which this instance claims leadership; `None` if no claim is due.
    pub(super) fn claim(
        &mut self,
        now: Mono,
        cluster: &Cluster,
        stopping: bool,
    ) -> Option<ConditionalWrite> {
        let leads = self.own_row.is_some() && !self.must_claim_again(cluster);
        if self.claim_pending || now < self.claim_after || leads {
            return None;
        }
        let peers = cluster.peers.states();
        let unfit = stopping || self.is_unfit(now, cluster) || !cluster.own_is_current();
        if !election::should_claim(now, &self.election_view(now, unfit, cluster, &peers)) {
            return None;
        }
        let stored = cluster.stored_leader.as_ref();
        let expected = stored.map_or(RowVersion::absent(cluster.era), |row| row.version);
        let row = self.claimed_row(now, cluster, &peers)?;
        let value = match own_rows::leader_value(&row) {
            Ok(value) => value,
            Err(e) => {
                log::error!(cause = e.to_string(); "leader row not written");
                return None;
            }
        };
        log::info!(term = row.term, era = cluster.era.0, restored = cluster.is_restored(); "claiming leadership");
        self.claim_pending = true;
        self.claimed_term = Some(row.term);
        if self
            .first_claim
            .is_none_or(|(version, _)| version != expected)
        {
            self.first_claim = Some((expected, now));
        }
        self.claim_after = now.plus(CLAIM_PAUSE_MS);
        let claim = own_rows::claim_key(self.me.id, row.term);
        // Releases that know no era write no row of a claim.
        let replaced = stored.filter(|row| row.era.is_some());
        let replaced = replaced.map(|row| own_rows::claim_key(row.session, row.term));
        Some(ConditionalWrite {
            preconditions: vec![(own_rows::LEADER_KEY.to_owned(), expected)],
            put: vec![
                (own_rows::LEADER_KEY.to_owned(), value),
                (claim.clone(), b"{}".to_vec()),
            ],
            remove: replaced.into_iter().filter(|key| *key != claim).collect(),
        })
    }

    /// The row by which this instance would lead.
    fn claimed_row(&self, now: Mono, cluster: &Cluster, peers: &[PeerState]) -> Option<LeaderRow> {
        let stored = cluster.stored_leader.as_ref();
        let store_ms = cluster.store_ms(now)?;
        let wait_ms = self.cfg.former_leader_wait_ms() + CLOCK_MARGIN_MS;
        let term = stored.map_or(0, |row| row.term).max(self.term);
        let (former, first_fence) = if cluster.is_restored() {
            let all = FormerLeader::of_earlier_eras(store_ms + wait_ms);
            (vec![all], Some(cluster.era.first_fence()))
        } else {
            let former = election::former_leaders_after(stored, peers, store_ms, wait_ms);
            (former, stored.and_then(|row| row.first_fence))
        };
        Some(LeaderRow {
            instance: self.me.instance.clone(),
            session: self.me.id,
            term: term.max(cluster.first_term()) + 1,
            former,
            version: RowVersion::NONE,
            era: Some(cluster.era),
            first_fence,
        })
    }
}
