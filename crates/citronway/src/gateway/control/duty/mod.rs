//! Leadership of this instance: claims it in an election, and acts as the leader while it
//! has it.

mod claims;

use citronway_core::gateway::assignment::{Assignment, RowError};
use citronway_core::gateway::cold::{self, LeaderStanding};
use citronway_core::gateway::election::{self, FormerLeader, LeaderRow, Strength};
use citronway_core::gateway::leader::{
    Action, DivisionProgress, FormerLeaderLimits, Leader, LeaderSettings, Order, OrderResult,
    WriteResult,
};
use citronway_core::gateway::report::Report;
use citronway_core::gateway::stated_limits;
use citronway_core::gateway::version::{Era, RowVersion};
use citronway_core::ids::{ServiceName, Session};
use citronway_core::time::Mono;
use citronway_platform::store::ConditionalWrite;
use indexmap::IndexMap;

use super::cluster::Cluster;
use super::own_rows;
use super::placing::Placer;
use super::store::{IDLE_WAIT_MS, LEADER_WAIT_MS};

/// Minimum time between two writes of the leader's row by this instance, in milliseconds.
const CLAIM_PAUSE_MS: u64 = 500;

/// Margin in milliseconds by which the store's clock may be ahead of the estimate of it:
/// twice the time that an answer takes when the store is slowed sixtyfold.
const CLOCK_MARGIN_MS: u64 = 500;

/// Age of the store's last confirmation, in milliseconds, at which a leader counts as
/// unfit, so that others claim leadership: longer than a poll with its timeout, and well
/// before its grants have to end.
const UNCONFIRMED_MS: u64 = 2_500;

/// A conditional write of the assignment of a service.
#[derive(Debug)]
pub(super) struct AssignmentWrite {
    pub service: ServiceName,
    pub row: Assignment,
    pub change: ConditionalWrite,
}

/// Work that [`Leadership::step`] found to be due.
#[derive(Debug)]
pub(super) struct DueActions {
    pub orders: Vec<Order>,
    pub writes: Vec<AssignmentWrite>,
    pub claim: Option<ConditionalWrite>,
    /// Divisions of hot ranges that have ended.
    pub divisions: Vec<(ServiceName, DivisionProgress)>,
    /// Longest wait of a poll of the store for changes, in milliseconds.
    pub wait_ms: u64,
}

#[derive(Debug)]
pub(super) struct Leadership {
    me: Session,
    strength: Strength,
    /// Time from which on a leader can know of this instance.
    known_since: Mono,
    cfg: LeaderSettings,
    leaders: IndexMap<ServiceName, Leader>,
    placer: Placer,
    /// The leader's row that names this instance; `None` while another instance leads.
    own_row: Option<LeaderRow>,
    /// Version of the row that was written with the claim of this leader.
    claim_version: RowVersion,
    /// Highest term of any leader that is known.
    term: u64,
    confirmed_at: Mono,
    claim_pending: bool,
    /// Term of the last claim, until it is known to have failed or another instance leads.
    claimed_term: Option<u64>,
    claim_after: Mono,
    /// The version of the leader's row that a claim is to replace, and when the first claim
    /// for it was sent.
    first_claim: Option<(RowVersion, Mono)>,
    former_leaders_stopped: bool,
    /// What former leaders may still do, and until when.
    former_limits: FormerLeaderLimits,
    /// The cause of unfitness that was last logged; `None` if this instance was fit.
    logged_unfit_cause: Option<&'static str>,
    /// No endpoint answers this instance's callers.
    is_cut_off: bool,
}

impl Leadership {
    /// A leader can know of this instance from `known_since` on at the latest.
    pub(super) fn new(me: Session, strength: Strength, known_since: Mono) -> Self {
        Self {
            me,
            strength,
            known_since,
            cfg: LeaderSettings::default(),
            leaders: IndexMap::new(),
            placer: Placer::default(),
            own_row: None,
            claim_version: RowVersion::NONE,
            term: 0,
            confirmed_at: Mono::default(),
            claim_pending: false,
            claimed_term: None,
            claim_after: Mono::default(),
            first_claim: None,
            former_leaders_stopped: false,
            former_limits: FormerLeaderLimits::default(),
            logged_unfit_cause: None,
            is_cut_off: false,
        }
    }

    /// Records that the store listed this instance already when it started, at `started`.
    pub(super) fn set_known_since(&mut self, started: Mono) {
        self.known_since = started;
    }

    /// Records whether any endpoint answers this instance's callers. One that reaches none must
    /// not lead.
    pub(super) const fn set_cut_off(&mut self, is_cut_off: bool) {
        self.is_cut_off = is_cut_off;
    }

    /// Whether no endpoint answers this instance's callers.
    pub(super) const fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    pub(super) const fn term(&self) -> u64 {
        self.term
    }

    pub(super) fn observe_term(&mut self, term: u64) {
        if term <= self.term {
            return;
        }
        // It may be the term of this instance, whose row others have read first, or that of another
        // one, which takes this instance for stopped once it reports the term.
        if self.own_row.is_some() && self.claimed_term == Some(term) {
            return;
        }
        self.term = term;
        // Failure: a leader that cannot reach the store does not see that it was replaced,
        // and grants keys at the same time as its successor. Any instance that knows the
        // successor's term makes it step down.
        if self.own_row.as_ref().is_some_and(|row| row.term < term) {
            self.step_down("a leader of a later term is known");
        }
    }

    /// Whether this instance must not lead.
    pub(super) fn is_unfit(&self, now: Mono, cluster: &Cluster) -> bool {
        self.unfit_cause(now, cluster).is_some()
    }

    /// The reason why this instance must not lead; `None` if it is fit.
    fn unfit_cause(&self, now: Mono, cluster: &Cluster) -> Option<&'static str> {
        if cluster.store_lost() {
            return Some("the store does not answer");
        }
        let is_confirmable = !self.must_claim_again(cluster) && self.own_row.is_some();
        if is_confirmable && now.since(self.confirmed_at) > UNCONFIRMED_MS {
            return Some("the store has not confirmed the leader");
        }
        if self.is_cut_off {
            return Some("no endpoint answers this instance");
        }
        let cut_off = self.leaders.values().any(|leader| leader.is_cut_off(now));
        cut_off.then_some("most endpoints do not answer")
    }

    fn log_fitness(&mut self, now: Mono, cluster: &Cluster) {
        let cause = self.unfit_cause(now, cluster);
        if cause == self.logged_unfit_cause {
            return;
        }
        self.logged_unfit_cause = cause;
        match cause {
            Some(cause) => log::info!(cause; "this instance is not fit to lead"),
            None => log::info!("this instance is fit to lead"),
        }
    }

    /// Whether this instance leads by a row of an earlier era of the store.
    fn must_claim_again(&self, cluster: &Cluster) -> bool {
        let row = self.own_row.as_ref();
        row.and_then(|row| row.era)
            .is_some_and(|era| era < cluster.era)
    }

    /// Records that the store came back from a copy, in this era. A leader renews the grants that it
    /// sent until it has claimed again or knows of another leader.
    pub(super) fn enter_era(&mut self, era: Era) {
        self.term = self.term.max(era.first_term());
        self.first_claim = None;
        // The claim is due at once.
        self.claim_after = Mono::default();
        let Some(row) = &self.own_row else { return };
        log::warn!(era = era.0, term = row.term; "this leader is not confirmed in the new era of the store");
        for leader in self.leaders.values_mut() {
            leader.store_restored();
        }
    }

    /// Whether this instance is the leader, as far as it knows.
    pub(super) const fn is_leader(&self) -> bool {
        self.own_row.is_some()
    }

    /// Share of endpoints' limits that this leader may grant now, from 0 to 1; `None` if it must
    /// grant nothing.
    pub(super) fn limited_share(&self, now: Mono) -> Option<f64> {
        let standing = self.standing()?;
        stated_limits::leader_share(now, &self.cfg, &standing)
    }

    /// Share of all sends to cold endpoints that this leader may grant now, from 0 to 1;
    /// `None` if this instance does not lead or may grant none.
    pub(super) fn cold_share(&self, now: Mono) -> Option<f64> {
        let standing = self.standing()?;
        cold::granted_share(now, &self.cfg, &standing)
    }

    fn standing(&self) -> Option<LeaderStanding> {
        let row = self.own_row.as_ref()?;
        Some(LeaderStanding {
            confirmed_at: self.confirmed_at,
            former_leader_limits: self.former_limits,
            former_leaders: row.former.iter().map(FormerLeader::most_leaders).sum(),
        })
    }

    /// Rows that a write of this leader names, with their versions; `None` if it may not write.
    pub(super) fn preconditions(&self, cluster: &Cluster) -> Option<Vec<(String, RowVersion)>> {
        let row = self.own_row.as_ref()?;
        if self.must_claim_again(cluster) {
            return None;
        }
        Some(vec![
            (own_rows::LEADER_KEY.to_owned(), row.version),
            (
                own_rows::claim_key(self.me.id, row.term),
                self.claim_version,
            ),
        ])
    }

    /// Takes rows that another instance relayed. They do not confirm this instance as the
    /// leader.
    pub(super) fn apply_relayed_rows(&mut self, cluster: &Cluster) {
        self.update_assignments(cluster);
    }

    /// Takes the assignments. A leader that they show to be replaced stops first.
    fn update_assignments(&mut self, cluster: &Cluster) {
        let leader = cluster.leader.iter().map(|row| row.term);
        let writers = cluster.owners.values().map(|owners| owners.assignment.term);
        self.observe_term(leader.chain(writers).max().unwrap_or_default());
        for (service, owners) in &cluster.owners {
            let leader = self
                .leaders
                .entry(service.clone())
                .or_insert_with(|| Leader::new(self.cfg, service.clone()));
            // After a restore the known content may be newer than the stored row.
            let stored = cluster.assignment_versions.get(service).copied();
            let version = stored.unwrap_or(owners.version);
            if version > leader.version() {
                leader.update_row(owners.assignment.as_ref().clone(), version);
            }
        }
    }

    /// Takes the rows of `cluster` after the store answered a poll that was sent at
    /// `sent_at`; `is_full` if the answer had all rows of the table. Returns true if all rows
    /// must be read from the store before this instance may lead, since it knows them from
    /// relays only.
    ///
    /// Failure: a relayed row is lost, and the next leader starts from an assignment that
    /// the store no longer has. It renews holds of an endpoint whose keys have another
    /// owner.
    pub(super) fn apply_store_rows(
        &mut self,
        now: Mono,
        sent_at: Mono,
        cluster: &Cluster,
        is_full: bool,
    ) -> bool {
        self.update_assignments(cluster);
        // Nobody is confirmed by a row of an earlier era.
        if cluster.is_restored() {
            return false;
        }
        let Some(row) = &cluster.leader else {
            return false;
        };
        self.term = self.term.max(row.term);
        if row.instance != self.me.instance || row.session != self.me.id {
            if self.own_row.is_some() {
                self.step_down("the row names another leader");
            }
            return false;
        }
        if cluster.store_lost() {
            return false;
        }
        if self
            .own_row
            .as_ref()
            .is_some_and(|own_row| own_row.term == row.term)
        {
            self.own_row = Some(row.clone());
            self.confirmed_at = self.confirmed_at.max(sent_at);
            for leader in self.leaders.values_mut() {
                leader.confirm(sent_at);
            }
        } else if row.term == self.term {
            if !is_full && cluster.peers.has_totals() && !self.must_claim_again(cluster) {
                return true;
            }
            self.become_leader(now, sent_at, row, cluster);
        }
        false
    }

    fn become_leader(&mut self, now: Mono, sent_at: Mono, row: &LeaderRow, cluster: &Cluster) {
        let former = row.former.len();
        log::info!(term = row.term, former, era = cluster.era.0, first_fence = row.first_fence.unwrap_or_default(); "this instance leads");
        self.own_row = Some(row.clone());
        self.claim_version = row.version;
        self.claimed_term = None;
        self.confirmed_at = sent_at;
        self.former_leaders_stopped = false;
        self.placer.reset();
        for service in cluster.sharded() {
            self.leaders
                .entry(service.clone())
                .or_insert_with(|| Leader::new(self.cfg, service));
        }
        self.former_limits = self.former_leader_limits(now, cluster);
        let limits = self.former_limits;
        for leader in self.leaders.values_mut() {
            begin_term(leader, sent_at, limits, row);
        }
    }

    /// What former leaders may still do, on the assumption that none is known to have
    /// stopped.
    fn former_leader_limits(&self, now: Mono, cluster: &Cluster) -> FormerLeaderLimits {
        let former = self.own_row.as_ref().map_or(&[][..], |row| &row.former);
        let store_ms = cluster.store_ms(now);
        let claimed = self.first_claim.map_or(now, |(_, at)| at);
        let mut limits = self.cfg.former_leader_limits(now);
        limits.hold_until = election::former_holds_until(now, &self.cfg, former, store_ms, claimed);
        if former.is_empty() {
            limits.connect_until = now;
        }
        limits
    }

    fn step_down(&mut self, cause: &'static str) {
        log::info!(cause; "this instance no longer leads");
        self.own_row = None;
        self.claimed_term = None;
        for leader in self.leaders.values_mut() {
            leader.end_term();
        }
    }

    pub(super) fn on_order_done(&mut self, now: Mono, order: &Order, result: &OrderResult) {
        if let Some(leader) = self.leaders.get_mut(&order.service) {
            leader.handle_order_result(now, order, result);
        }
    }

    pub(super) fn on_write_done(&mut self, now: Mono, service: &ServiceName, result: WriteResult) {
        if let Some(leader) = self.leaders.get_mut(service) {
            leader.handle_write_result(now, result);
        }
    }

    /// Whether a write of the leader's row is in progress.
    pub(super) const fn is_claim_pending(&self) -> bool {
        self.claim_pending
    }

    pub(super) const fn on_claim_done(&mut self, is_refused: bool) {
        self.claim_pending = false;
        if is_refused {
            self.claimed_term = None;
        }
    }

    /// Sets the typical service time of each service, in milliseconds.
    pub(super) fn set_work_ms(&mut self, work_ms: &[(ServiceName, f64)]) {
        self.placer.set_work_ms(work_ms);
    }

    /// Adds the sampled keys of a report, which may be this instance's own.
    pub(super) fn record_traffic(&mut self, now: Mono, report: &Report) {
        if self.own_row.is_some() {
            self.placer.record_traffic(now, report);
        }
    }

    /// Returns the actions that are due, and logs changes of fitness.
    pub(super) fn step(&mut self, now: Mono, cluster: &mut Cluster, stopping: bool) -> DueActions {
        self.log_fitness(now, cluster);
        let claim = self.claim(now, cluster, stopping);
        let mut due = DueActions {
            orders: Vec::new(),
            writes: Vec::new(),
            claim: claim.or_else(|| self.remove_former_leaders(now)),
            divisions: Vec::new(),
            wait_ms: IDLE_WAIT_MS,
        };
        let Some(own_row) = self.own_row.clone() else {
            return due;
        };
        due.wait_ms = LEADER_WAIT_MS;
        self.end_former_leader_wait(now, &own_row, cluster);
        for service in cluster.sharded() {
            self.leaders.entry(service.clone()).or_insert_with(|| {
                let mut leader = Leader::new(self.cfg, service);
                let limits = match own_row.first_fence {
                    Some(_) => self.former_limits,
                    None => FormerLeaderLimits::default(),
                };
                begin_term(&mut leader, self.confirmed_at, limits, &own_row);
                leader
            });
        }
        self.placer.place(now, cluster, &mut self.leaders);
        let preconditions = self.preconditions(cluster);
        for (service, leader) in &mut self.leaders {
            let knows = |version| cluster.peers.all_know_rows(now, version);
            for progress in leader.take_ended_divisions(now, knows) {
                due.divisions.push((service.clone(), progress));
            }
            for action in leader.step(now, &cluster.registry) {
                match action {
                    Action::Order(order) => due.orders.push(order),
                    Action::Write {
                        service,
                        row,
                        expected,
                    } => {
                        let Some(preconditions) = preconditions.clone() else {
                            continue;
                        };
                        match assignment_write(preconditions, service.clone(), row, expected) {
                            Ok(write) => due.writes.push(write),
                            Err(e) => {
                                let service = service.as_str();
                                log::error!(service, cause = e.to_string(); "assignment not written");
                            }
                        }
                    }
                }
            }
        }
        due
    }

    /// Ends the wait for former leaders as soon as all of them are known to have stopped.
    fn end_former_leader_wait(&mut self, now: Mono, own_row: &LeaderRow, cluster: &Cluster) {
        if self.former_leaders_stopped || own_row.former.is_empty() {
            return;
        }
        let states = cluster.peers.states();
        let stopped = |former: &FormerLeader| {
            if former.is_of_earlier_eras() {
                return cluster.peers.all_know_term(&self.me.instance, own_row.term);
            }
            former.session.instance == self.me.instance
                || election::has_stopped(&former.session, own_row.term, &states)
        };
        if own_row.former.iter().all(stopped) {
            self.former_leaders_stopped = true;
            self.former_limits = self
                .former_limits
                .min(self.cfg.stopped_former_leader_limits(now));
            log::info!(term = own_row.term; "former leaders have stopped");
            for leader in self.leaders.values_mut() {
                leader.former_leader_stopped(now);
            }
        }
    }
}

/// Begins the term of a leader's row; with a first fence, that of a leader after a restore.
fn begin_term(
    leader: &mut Leader,
    contact: Mono,
    former_leaders: FormerLeaderLimits,
    row: &LeaderRow,
) {
    match row.first_fence {
        Some(first_fence) => {
            leader.begin_restored_term(row.term, contact, former_leaders, first_fence);
        }
        None => leader.begin_term(row.term, contact, former_leaders),
    }
}

fn assignment_write(
    mut preconditions: Vec<(String, RowVersion)>,
    service: ServiceName,
    row: Assignment,
    expected: RowVersion,
) -> Result<AssignmentWrite, RowError> {
    let key = own_rows::assignment_key(&service);
    let value = row.to_bytes()?;
    preconditions.push((key.clone(), expected));
    Ok(AssignmentWrite {
        service,
        row,
        change: ConditionalWrite {
            preconditions,
            put: vec![(key, value)],
            remove: Vec::new(),
        },
    })
}
