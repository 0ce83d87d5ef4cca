//! The planner of a service: elects itself, writes assignments and first
//! dispatch rows, and tells others only of what is known to stand.
//!
//! Each instance runs one for each service; at most one is elected. A write of
//! the assignment is one transaction with the planner's own row, both on their
//! expected versions. A planner that was replaced has another version of that
//! row in mind, so its write fails as a whole.

mod election;
mod events;
mod first_rows;
mod pace;
mod reports;
mod rows;
mod settings;
mod writes;

use indexmap::{IndexMap, IndexSet};

pub use election::Role;
pub use events::{
    ASSIGNMENT_TABLE, DISPATCH_TABLE, PLANNER_TABLE, PlannerAction, PlannerEvent, PlannerRow,
    Ticket,
};
pub use rows::{Known, at};
pub use settings::PlannerSettings;

use self::election::Election;
use self::pace::Pace;
use self::reports::{fits, is_given_up};
use self::rows::{Learnt, Rows};
use self::writes::{Traffic, Written};
use super::loads::Loads;
use super::members::MemberBook;
use super::moves::floor;
use super::plan::StandingGroup;
use super::propose::{ProposeError, ProposeInput, empty, propose};
use super::wanted::Wanted;
use crate::ids::{Epoch, ServiceName, Session, ShardId, Version};
use crate::peer::ShardReleased;
use crate::platform::{ConditionalPut, Row, RowKey, WriteOutcome};
use crate::shard::Assignment;
use crate::time::{Mono, Now};

/// Planner of one service on one instance.
#[derive(Debug, Clone)]
pub struct Planner {
    service: ServiceName,
    me: Session,
    settings: PlannerSettings,
    wanted: Option<Wanted>,
    rows: Rows,
    election: Election,
    traffic: Traffic,
    book: MemberBook,
    loads: Loads,
    pace: Pace,
    releases: IndexMap<ShardId, ShardReleased>,
    given_up: IndexMap<ShardId, ShardReleased>,
    /// Something has happened since the last plan.
    dirty: bool,
    planned: Mono,
    /// Election that the knowledge of members was last adjusted for.
    took_over: Option<Epoch>,
    /// Until then loads are not known well enough to move shards for balance.
    learning_until: Mono,
    failure: Option<ProposeError>,
}

impl Planner {
    /// Starts without any knowledge; the first event makes it read its rows.
    #[must_use]
    pub fn new(service: &ServiceName, me: &Session, settings: PlannerSettings) -> Self {
        Self {
            service: service.clone(),
            me: me.clone(),
            settings,
            wanted: None,
            rows: Rows::new(service),
            election: Election::new(me.clone(), service),
            traffic: Traffic::default(),
            book: MemberBook::default(),
            loads: Loads::default(),
            pace: Pace::default(),
            releases: IndexMap::new(),
            given_up: IndexMap::new(),
            dirty: true,
            planned: Mono(0),
            took_over: None,
            learning_until: Mono(0),
            failure: None,
        }
    }

    /// The assignment as it is known to stand.
    #[must_use]
    pub const fn assignment(&self) -> Option<&Assignment> {
        self.rows.assignment.value()
    }

    /// The planner row as it is known to stand.
    #[must_use]
    pub const fn planner_row(&self) -> Option<&PlannerRow> {
        self.rows.planner.value()
    }

    /// Whether the row names this session, as far as is known.
    #[must_use]
    pub fn is_elected(&self) -> bool {
        self.planner_row().is_some_and(|row| row.session == self.me)
    }

    /// Why the last plan was not used, if so.
    #[must_use]
    pub const fn failure(&self) -> Option<&ProposeError> {
        self.failure.as_ref()
    }

    /// Takes in an event and says what to do.
    pub fn apply(&mut self, event: PlannerEvent, now: Now) -> Vec<PlannerAction> {
        let mut actions = Vec::new();
        match event {
            PlannerEvent::Tick => {}
            PlannerEvent::Wanted { wanted } => self.want(*wanted, now.mono),
            PlannerEvent::Table { table, rows } => self.learn_table(&table, &rows, now.mono),
            PlannerEvent::Row { row } => self.learn(&row, now.mono),
            PlannerEvent::RowRead { ticket, row } => self.row_read(ticket, row, now.mono),
            PlannerEvent::ReadFailed { ticket } => {
                self.traffic.read_failed(ticket, now.mono);
                return actions;
            }
            PlannerEvent::WriteDone { ticket, outcome } => {
                self.write_done(ticket, &outcome, now.mono, &mut actions);
            }
            PlannerEvent::Released { report } => self.released(report),
            PlannerEvent::Lost { report } => self.lost(&report, now.mono),
            PlannerEvent::Load { report } => {
                self.book.seen(&report.endpoint, now.mono);
                self.loads.report(&self.service, &report, now.mono);
            }
            PlannerEvent::Heard { session } => self.election.heard(&session, now.mono),
            PlannerEvent::Gone { session } => self.election.gone(&session),
        }
        self.step(now, &mut actions);
        actions
    }

    fn want(&mut self, wanted: Wanted, now: Mono) {
        // A configuration never goes back; an older one arrived late.
        let newest = self.wanted.as_ref().map(|known| known.config);
        if newest.is_some_and(|newest| wanted.config < newest) {
            return;
        }
        self.book.observe(&wanted.groups, now);
        self.wanted = Some(wanted);
        self.dirty = true;
    }

    fn learn_table(&mut self, table: &str, rows: &[Row], now: Mono) {
        for row in rows {
            self.learn(row, now);
        }
        self.dirty |= self.rows.learn_table(table, rows);
    }

    fn learn(&mut self, row: &Row, now: Mono) {
        match self.rows.learn(row) {
            Learnt::Nothing => return,
            Learnt::Planner => self.election.row_changed(&self.rows.planner, now),
            Learnt::Assignment => self.assignment_changed(now),
            Learnt::Dispatch => {}
        }
        self.dirty = true;
    }

    fn row_read(&mut self, ticket: Ticket, row: Option<Row>, now: Mono) {
        let Some(at) = self.traffic.read_answered(ticket) else {
            return;
        };
        self.rows.stale.shift_remove(&at);
        self.dirty = true;
        match row {
            Some(row) => self.learn(&row, now),
            None => self.rows.learn_absent(&at),
        }
    }

    fn write_done(
        &mut self,
        ticket: Ticket,
        outcome: &WriteOutcome,
        now: Mono,
        actions: &mut Vec<PlannerAction>,
    ) {
        match self.traffic.written(ticket, outcome, now) {
            Written::NotOurs | Written::Nothing => {}
            Written::ReadFirst(rows) => self.rows.stale.extend(rows),
            Written::Stands(rows) => {
                for row in rows {
                    self.learn(&row, now);
                    actions.push(PlannerAction::Publish { row });
                }
            }
        }
    }

    fn assignment_changed(&mut self, now: Mono) {
        let Some(assignment) = self.rows.assignment.value() else {
            return;
        };
        self.pace.learn(assignment, now);
        self.loads.learn(assignment);
        self.releases.retain(|_, report| fits(assignment, report));
        self.given_up
            .retain(|_, report| is_given_up(assignment, report));
    }

    fn step(&mut self, now: Now, actions: &mut Vec<PlannerAction>) {
        if self.traffic.is_writing() || self.traffic.is_paused(now.mono) {
            return;
        }
        if !self.rows.stale.is_empty() {
            let again_ms = self.settings.read_again_ms;
            let reads = self.traffic.read(&self.rows.stale, again_ms, now.mono);
            actions.extend(reads);
            return;
        }
        let Some(config) = self.wanted.as_ref().map(|wanted| wanted.config) else {
            return;
        };
        let silence_ms = self.settings.silence_ms;
        let role = self
            .election
            .role(&self.rows.planner, config, silence_ms, now.mono);
        let put = match role {
            Role::Follower => None,
            Role::Candidate => self.planner_put(true).map(|put| vec![put]),
            Role::Elected { epoch } => self.work(epoch, now),
        };
        if let Some(puts) = put {
            actions.push(self.traffic.write(puts));
        }
    }

    /// What an elected planner writes next, if anything.
    fn work(&mut self, epoch: Epoch, now: Now) -> Option<Vec<ConditionalPut>> {
        self.take_over(epoch, now.mono);
        if let Some(puts) = self.first_dispatch_rows(now) {
            return Some(puts);
        }
        let due = now.mono.since(self.planned) >= self.settings.plan_every_ms;
        if !self.dirty && !due {
            return None;
        }
        self.dirty = false;
        self.planned = now.mono;
        self.loads.expire(now.mono);
        let next = self.next_assignment(epoch, now)?;
        let assignment = put(
            self.rows.assignment_at(),
            self.rows.assignment.version()?,
            &next,
        )?;
        Some(vec![self.planner_put(false)?, assignment])
    }

    /// The next assignment, or `None` if the present one shall stand.
    fn next_assignment(&mut self, epoch: Epoch, now: Now) -> Option<Assignment> {
        let wanted = self.wanted.as_ref()?;
        let present = match &self.rows.assignment {
            Known::Unread => return None,
            Known::Absent => empty(&self.service),
            Known::Present { value, .. } => value.clone(),
        };
        let standing = self.standing(wanted, now.mono);
        let proposed = propose(
            &present,
            &ProposeInput {
                wanted,
                standing: &standing,
                loads: &self.loads,
                releases: &self.releases,
                given_up: &self.given_up,
                resting: &self.resting(&present, now.mono),
                limits: self.settings.limits,
                move_ms: self.pace.move_ms(),
                planner_epoch: epoch,
                floor: floor(now, self.settings.skew_ms),
            },
        );
        match proposed {
            Ok(next) => {
                self.failure = None;
                (next != present).then_some(next)
            }
            Err(error) => {
                self.failure = Some(error);
                None
            }
        }
    }

    /// Shards that are not to be moved for balance now.
    ///
    /// Failure: a planner that was just elected knows no loads, takes endpoints
    /// with few but busy shards for idle, and moves shards to them. Guard: all
    /// shards rest until loads have been reported for a while.
    fn resting(&self, present: &Assignment, now: Mono) -> IndexSet<ShardId> {
        if now < self.learning_until {
            return present.shards.keys().copied().collect();
        }
        self.pace.resting(self.settings.rest_ms, now)
    }

    fn standing(&self, wanted: &Wanted, now: Mono) -> Vec<StandingGroup> {
        let mut groups = Vec::with_capacity(wanted.groups.len());
        for group in &wanted.groups {
            let mut members = Vec::with_capacity(group.members.len());
            for member in &group.members {
                members.push(self.book.standing(member, now));
            }
            groups.push(StandingGroup {
                group: group.group.clone(),
                members,
            });
        }
        groups
    }

    /// The planner's own row: a new election, or the same as before.
    ///
    /// Failure: a planner that was paused wakes up after another was elected
    /// and overwrites the other's assignment. It would show as keys that go
    /// back to an owner that has been revoked. Guard: its write expects the
    /// version of the row that names it, which the election has moved past.
    fn planner_put(&self, elect: bool) -> Option<ConditionalPut> {
        let wanted = self.wanted.as_ref()?;
        let expected = self.rows.planner.version()?;
        let before = self.rows.planner.value();
        let epoch = before.map_or(Epoch(0), |row| row.epoch);
        let config = before.map_or(Version(0), |row| row.config);
        let row = PlannerRow {
            session: self.me.clone(),
            epoch: if elect { epoch.next() } else { epoch },
            config: config.max(wanted.config),
        };
        put(self.rows.planner_at(), expected, &row)
    }
}

fn put<T: serde::Serialize>(at: &RowKey, expected: Version, value: &T) -> Option<ConditionalPut> {
    Some(ConditionalPut {
        at: at.clone(),
        expected,
        value: serde_json::to_string(value).ok()?,
    })
}
