//! The leader's duty on this instance: claiming it, and keeping while it has it.

use citronway_core::gateway::assignment::{Assignment, RowError};
use citronway_core::gateway::cold::{self, LeaderStanding};
use citronway_core::gateway::election::{
    self, ElectionView, FormerLeader, LeaderRow, PeerState, Strength,
};
use citronway_core::gateway::leader::{
    Action, FormerLeaderLimits, Leader, LeaderSettings, Order, OrderResult, WriteResult,
};
use citronway_core::gateway::report::Report;
use citronway_core::ids::{ServiceName, Session, Version};
use citronway_core::time::Mono;
use citronway_platform::store::ConditionalWrite;
use indexmap::IndexMap;

use super::cluster::Cluster;
use super::own_rows;
use super::placing::Placing;
use super::store::{IDLE_WAIT_MS, LEADER_WAIT_MS};

/// Time between two claims that failed, in milliseconds.
const CLAIM_PAUSE_MS: u64 = 500;

/// How far the store's clock may be ahead of what is reckoned of it, in milliseconds:
/// the time that an answer takes when the store is slowed sixtyfold, twice over.
const CLOCK_MARGIN_MS: u64 = 500;

/// Age of the last confirmation at which a leader gives the duty up, in
/// milliseconds: longer than a poll with its limit, well before its grants have to end.
const UNCONFIRMED_MS: u64 = 2_500;

/// A row to be written.
#[derive(Debug)]
pub(super) struct RowWrite {
    pub service: ServiceName,
    pub row: Assignment,
    pub change: ConditionalWrite,
}

/// What is due.
#[derive(Debug)]
pub(super) struct Due {
    pub orders: Vec<Order>,
    pub writes: Vec<RowWrite>,
    pub claim: Option<ConditionalWrite>,
    /// How long to wait at the store for changes, in milliseconds.
    pub wait_ms: u64,
}

#[derive(Debug)]
pub(super) struct Duty {
    me: Session,
    strength: Strength,
    /// Since when a leader could know of this instance.
    known_since: Mono,
    cfg: LeaderSettings,
    leaders: IndexMap<ServiceName, Leader>,
    placing: Placing,
    /// Row by which this instance is in office.
    office: Option<LeaderRow>,
    /// Highest term that was heard of.
    term: u64,
    contact: Mono,
    claiming: bool,
    claim_after: Mono,
    /// When the first claim was sent that replaces a version of the leader's row, and which.
    claimed: Option<(Version, Mono)>,
    cleared: bool,
    /// What earlier leaders may still do.
    rivals: FormerLeaderLimits,
    /// Why this instance is not fit to lead, as it was last logged.
    unfit_for: Option<&'static str>,
}

impl Duty {
    /// `known_since` is when a leader can know of this instance at the latest.
    pub(super) fn new(me: Session, strength: Strength, known_since: Mono) -> Self {
        Self {
            me,
            strength,
            known_since,
            cfg: LeaderSettings::default(),
            leaders: IndexMap::new(),
            placing: Placing::default(),
            office: None,
            term: 0,
            contact: Mono::default(),
            claiming: false,
            claim_after: Mono::default(),
            claimed: None,
            cleared: false,
            rivals: FormerLeaderLimits::default(),
            unfit_for: None,
        }
    }

    /// Notes that the store lists this instance since before its start.
    pub(super) fn listed_at(&mut self, started: Mono) {
        self.known_since = started;
    }

    pub(super) const fn term(&self) -> u64 {
        self.term
    }

    pub(super) fn term_heard(&mut self, term: u64) {
        if term <= self.term {
            return;
        }
        self.term = term;
        // Failure: a leader that cannot reach the store does not see that it was
        // replaced, and grants beside its successor. Any instance that knows of the
        // successor stops it.
        if self.office.as_ref().is_some_and(|row| row.term < term) {
            self.leave_office("a later leader is heard of");
        }
    }

    /// Whether this instance should not keep.
    pub(super) fn is_unfit(&self, now: Mono, cluster: &Cluster) -> bool {
        self.unfitness(now, cluster).is_some()
    }

    /// Why this instance should not keep, if there is a reason.
    fn unfitness(&self, now: Mono, cluster: &Cluster) -> Option<&'static str> {
        if cluster.store_lost() {
            return Some("the store does not answer");
        }
        if self.office.is_some() && now.since(self.contact) > UNCONFIRMED_MS {
            return Some("the store has not confirmed the leader");
        }
        let cut_off = self.leaders.values().any(|leader| leader.is_cut_off(now));
        cut_off.then_some("most endpoints do not answer")
    }

    fn note_fitness(&mut self, now: Mono, cluster: &Cluster) {
        let cause = self.unfitness(now, cluster);
        if cause == self.unfit_for {
            return;
        }
        self.unfit_for = cause;
        match cause {
            Some(cause) => log::info!(cause; "this instance is not fit to lead"),
            None => log::info!("this instance is fit to lead"),
        }
    }

    /// Whether this instance is the leader as far as it knows.
    pub(super) const fn in_office(&self) -> bool {
        self.office.is_some()
    }

    /// Which part of all sends to cold endpoints this leader grants now.
    pub(super) fn cold_part(&self, now: Mono) -> Option<f64> {
        let row = self.office.as_ref()?;
        let office = LeaderStanding {
            confirmed_at: self.contact,
            rivals: self.rivals,
            earlier_leaders: u32::try_from(row.former.len()).unwrap_or(u32::MAX),
        };
        cold::granted_share(now, &self.cfg, &office)
    }

    /// Version of the row by which this instance leads, while it does.
    pub(super) fn office_version(&self) -> Option<Version> {
        self.office.as_ref().map(|row| row.version)
    }

    /// Takes rows that another instance passed on; they confirm nothing.
    pub(super) fn rows_relayed(&mut self, cluster: &Cluster) {
        self.take_assignments(cluster);
        let Some(row) = &cluster.leader else { return };
        self.term_heard(row.term);
    }

    fn take_assignments(&mut self, cluster: &Cluster) {
        for (service, owners) in &cluster.owners {
            let leader = self
                .leaders
                .entry(service.clone())
                .or_insert_with(|| Leader::new(self.cfg, service.clone()));
            if owners.version > leader.version() {
                leader.update_row(owners.assignment.as_ref().clone(), owners.version);
            }
        }
    }

    /// Takes the rows as believed after an answer to a call sent at `asked`; `whole` if it
    /// brought all of them. Returns whether all are to be read first, because this instance is
    /// to lead and knows rows only as a leader passed them on.
    ///
    /// Failure: a relayed row was lost, and the next leader goes by an assignment that the
    /// store no longer has. It renews holds of an endpoint whose keys have another owner.
    pub(super) fn rows_seen(
        &mut self,
        now: Mono,
        asked: Mono,
        cluster: &Cluster,
        whole: bool,
    ) -> bool {
        self.take_assignments(cluster);
        let Some(row) = &cluster.leader else {
            return false;
        };
        self.term = self.term.max(row.term);
        if row.instance != self.me.instance || row.session != self.me.id {
            if self.office.is_some() {
                self.leave_office("the row names another leader");
            }
            return false;
        }
        if cluster.store_lost() {
            return false;
        }
        if self
            .office
            .as_ref()
            .is_some_and(|office| office.term == row.term)
        {
            self.office = Some(row.clone());
            self.contact = self.contact.max(asked);
            for leader in self.leaders.values_mut() {
                leader.confirm(asked);
            }
        } else if row.term == self.term {
            if !whole && cluster.peers.was_told() {
                return true;
            }
            self.take_office(now, asked, row, cluster);
        }
        false
    }

    fn take_office(&mut self, now: Mono, asked: Mono, row: &LeaderRow, cluster: &Cluster) {
        let former = row.former.len();
        log::info!(term = row.term, former; "this instance leads");
        self.office = Some(row.clone());
        self.contact = asked;
        self.cleared = false;
        self.placing.begin();
        for service in cluster.sharded() {
            self.leaders
                .entry(service.clone())
                .or_insert_with(|| Leader::new(self.cfg, service));
        }
        self.rivals = self.rivals(now, cluster);
        for leader in self.leaders.values_mut() {
            leader.begin_term(asked, self.rivals);
        }
    }

    /// What earlier leaders may still do, if none is known to have stopped.
    fn rivals(&self, now: Mono, cluster: &Cluster) -> FormerLeaderLimits {
        let former = self.office.as_ref().map_or(&[][..], |row| &row.former);
        let store_ms = cluster.store_ms(now);
        let claimed = self.claimed.map_or(now, |(_, at)| at);
        let mut rivals = self.cfg.former_leader_limits(now);
        rivals.hold_until = election::former_holds_until(now, &self.cfg, former, store_ms, claimed);
        if former.is_empty() {
            rivals.connect_until = now;
        }
        rivals
    }

    fn leave_office(&mut self, cause: &'static str) {
        log::info!(cause; "this instance no longer leads");
        self.office = None;
        for leader in self.leaders.values_mut() {
            leader.end_term();
        }
    }

    pub(super) fn ordered(&mut self, now: Mono, order: &Order, result: &OrderResult) {
        if let Some(leader) = self.leaders.get_mut(&order.service) {
            leader.handle_order_result(now, order, result);
        }
    }

    pub(super) fn wrote(&mut self, now: Mono, service: &ServiceName, result: WriteResult) {
        if let Some(leader) = self.leaders.get_mut(service) {
            leader.handle_write_result(now, result);
        }
    }

    /// Whether a write of the leader's row is under way.
    pub(super) const fn is_claiming(&self) -> bool {
        self.claiming
    }

    pub(super) fn claim_ended(&mut self) {
        self.claiming = false;
    }

    /// Takes the usual time of work at each service.
    pub(super) fn work_seen(&mut self, work_ms: &[(ServiceName, f64)]) {
        self.placing.work_seen(work_ms);
    }

    /// Takes the keys that an instance, this one too, was asked for.
    pub(super) fn traffic_seen(&mut self, now: Mono, report: &Report) {
        if self.office.is_some() {
            self.placing.traffic_seen(now, report);
        }
    }

    /// What is due now.
    pub(super) fn step(&mut self, now: Mono, cluster: &mut Cluster, stopping: bool) -> Due {
        self.note_fitness(now, cluster);
        let claim = self.claim(now, cluster, stopping);
        let mut due = Due {
            orders: Vec::new(),
            writes: Vec::new(),
            claim: claim.or_else(|| self.forget_former(now)),
            wait_ms: IDLE_WAIT_MS,
        };
        let Some(office) = self.office.clone() else {
            return due;
        };
        due.wait_ms = LEADER_WAIT_MS;
        self.clear_rivals(now, &office, cluster);
        for service in cluster.sharded() {
            self.leaders.entry(service.clone()).or_insert_with(|| {
                let mut leader = Leader::new(self.cfg, service);
                leader.begin_term(self.contact, FormerLeaderLimits::default());
                leader
            });
        }
        self.placing.place(now, cluster, &mut self.leaders);
        for leader in self.leaders.values_mut() {
            for action in leader.step(now, &cluster.registry) {
                match action {
                    Action::Order(order) => due.orders.push(order),
                    Action::Write {
                        service,
                        row,
                        expected,
                    } => match row_write(&office, service.clone(), row, expected) {
                        Ok(write) => due.writes.push(write),
                        Err(e) => {
                            let service = service.as_str();
                            log::error!(service, cause = e.to_string(); "row not written");
                        }
                    },
                }
            }
        }
        due
    }

    /// Lifts the wait for earlier leaders once all are known to have stopped.
    fn clear_rivals(&mut self, now: Mono, office: &LeaderRow, cluster: &Cluster) {
        if self.cleared || office.former.is_empty() {
            return;
        }
        let sights = cluster.peers.sights();
        let stopped = |former: &FormerLeader| {
            former.session.instance == self.me.instance
                || election::has_stopped(&former.session, office.term, &sights)
        };
        if office.former.iter().all(stopped) {
            self.cleared = true;
            self.rivals = self.rivals.min(self.cfg.stopped_former_leader_limits(now));
            log::info!(term = office.term; "earlier leaders have stopped");
            for leader in self.leaders.values_mut() {
                leader.former_leader_stopped(now);
            }
        }
    }

    /// Takes earlier leaders out of the row once they cannot have given holds.
    ///
    /// Failure: an instance that kept is gone for good and never says that it has
    /// stopped. Left in the row, each later leader would wait for it anew before it
    /// gives the keys of a dead endpoint to another.
    fn forget_former(&mut self, now: Mono) -> Option<ConditionalWrite> {
        let office = self
            .office
            .as_ref()
            .filter(|office| !office.former.is_empty())?;
        let free = self.cleared || now > self.rivals.hold_until;
        if !free || self.claiming || now < self.claim_after {
            return None;
        }
        let value = own_rows::leader_value(&self.me, office.term, Vec::new());
        let value = value
            .inspect_err(|e| log::error!(cause = e.to_string(); "leader row not written"))
            .ok()?;
        self.claiming = true;
        self.claim_after = now.plus(CLAIM_PAUSE_MS);
        Some(ConditionalWrite {
            preconditions: vec![(own_rows::LEADER_KEY.to_owned(), office.version)],
            put: vec![(own_rows::LEADER_KEY.to_owned(), value)],
        })
    }

    fn situation<'a>(
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
            instances: cluster.peers.listed(),
            is_large_fleet: cluster.peers.are_many(now) || cluster.peers.was_told(),
        }
    }

    /// Whether this instance is among those that follow the store while nobody tells the
    /// others of it.
    pub(super) fn watches(&self, now: Mono, cluster: &Cluster) -> bool {
        let peers = cluster.peers.sights();
        election::watches_store(now, &self.situation(now, false, cluster, &peers))
    }

    fn claim(&mut self, now: Mono, cluster: &Cluster, stopping: bool) -> Option<ConditionalWrite> {
        if self.claiming || now < self.claim_after || self.office.is_some() {
            return None;
        }
        let peers = cluster.peers.sights();
        let unfit = stopping || self.is_unfit(now, cluster) || !cluster.own_loaded();
        if !election::should_claim(now, &self.situation(now, unfit, cluster, &peers)) {
            return None;
        }
        let row = cluster.leader.as_ref();
        let term = row.map_or(0, |row| row.term).max(self.term) + 1;
        let store_ms = cluster.store_ms(now)?;
        let wait_ms = self.cfg.former_leader_wait_ms() + CLOCK_MARGIN_MS;
        let former = election::former_leaders_after(row, &peers, store_ms, wait_ms);
        let expected = row.map_or(Version(0), |row| row.version);
        let value = match own_rows::leader_value(&self.me, term, former) {
            Ok(value) => value,
            Err(e) => {
                log::error!(cause = e.to_string(); "leader row not written");
                return None;
            }
        };
        log::info!(term; "claiming the leader's duty");
        self.claiming = true;
        if self.claimed.is_none_or(|(version, _)| version != expected) {
            self.claimed = Some((expected, now));
        }
        self.claim_after = now.plus(CLAIM_PAUSE_MS);
        Some(ConditionalWrite {
            preconditions: vec![(own_rows::LEADER_KEY.to_owned(), expected)],
            put: vec![(own_rows::LEADER_KEY.to_owned(), value)],
        })
    }
}

fn row_write(
    office: &LeaderRow,
    service: ServiceName,
    row: Assignment,
    expected: Version,
) -> Result<RowWrite, RowError> {
    let key = own_rows::assignment_key(&service);
    let value = row.to_bytes()?;
    Ok(RowWrite {
        service,
        row,
        change: ConditionalWrite {
            preconditions: vec![
                (own_rows::LEADER_KEY.to_owned(), office.version),
                (key.clone(), expected),
            ],
            put: vec![(key, value)],
        },
    })
}
