//! Who plans for a service: one session, elected by a conditional write.

use indexmap::{IndexMap, IndexSet};

use super::events::PlannerRow;
use super::rows::Known;
use crate::ids::{Epoch, ServiceName, Session, Version};
use crate::time::Mono;

/// Steps of the delay with which instances stand for election.
const RANKS: u64 = 8;

/// Length of one step, in milliseconds.
const RANK_STEP_MS: u64 = 50;

/// What a session is with regard to the planner row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The row is not known, or names another session that may live.
    Follower,
    /// The row names nobody that lives; it is time to stand for election.
    Candidate,
    /// The row names this session.
    Elected {
        /// Epoch of the election.
        epoch: Epoch,
    },
}

/// What is known of other sessions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Election {
    me: Session,
    /// Later steps give others the first chance, in milliseconds.
    delay_ms: u64,
    heard: IndexMap<Session, Mono>,
    gone: IndexSet<Session>,
    /// Since when the row names nobody that lives.
    vacant_since: Option<Mono>,
}

impl Election {
    /// Stands for `me`; different services prefer different instances.
    #[must_use]
    pub fn new(me: Session, service: &ServiceName) -> Self {
        let seed = format!("{service}/{}", me.instance);
        let rank = xxhash_rust::xxh3::xxh3_64(seed.as_bytes()) % RANKS;
        Self {
            me,
            delay_ms: rank * RANK_STEP_MS,
            heard: IndexMap::new(),
            gone: IndexSet::new(),
            vacant_since: None,
        }
    }

    /// The session gave a sign of life.
    pub fn heard(&mut self, session: &Session, now: Mono) {
        self.heard.insert(session.clone(), now);
    }

    /// The session is gone for good.
    pub fn gone(&mut self, session: &Session) {
        self.heard.shift_remove(session);
        self.gone.insert(session.clone());
    }

    /// The row has changed; its session has shown that it lives, or has won.
    pub fn row_changed(&mut self, row: &Known<PlannerRow>, now: Mono) {
        if let Some(row) = row.value() {
            self.heard.insert(row.session.clone(), now);
        }
    }

    /// What this session is now.
    pub fn role(
        &mut self,
        row: &Known<PlannerRow>,
        config: Version,
        silence_ms: u64,
        now: Mono,
    ) -> Role {
        let holder = match row {
            Known::Unread => return Role::Follower,
            Known::Absent => None,
            Known::Present { value, .. } => Some(value),
        };
        if let Some(holder) = holder {
            if holder.session == self.me {
                self.vacant_since = None;
                return Role::Elected {
                    epoch: holder.epoch,
                };
            }
            // Failure: an instance that is behind is elected and turns the
            // partition back to an older configuration. Guard: the row names
            // the newest configuration planned from, and only who knows it stands.
            if config < holder.config || self.lives(&holder.session, silence_ms, now) {
                self.vacant_since = None;
                return Role::Follower;
            }
        }
        let since = *self.vacant_since.get_or_insert(now);
        if now.since(since) < self.delay_ms {
            return Role::Follower;
        }
        Role::Candidate
    }

    fn lives(&self, session: &Session, silence_ms: u64, now: Mono) -> bool {
        // An earlier session of this instance is gone: we hold its address.
        if session.instance == self.me.instance || self.gone.contains(session) {
            return false;
        }
        self.heard
            .get(session)
            .is_some_and(|at| now.since(*at) < silence_ms)
    }
}
