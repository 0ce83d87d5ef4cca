//! Which sessions are gone for good.

use indexmap::{IndexMap, IndexSet};

use crate::ids::Session;
use crate::platform::InstanceList;
use crate::time::{Mono, Now};

/// A session that is not known to be gone.
#[derive(Debug, Clone, Default)]
struct Watched {
    /// First list after it became known that did not show its instance.
    missing_since: Option<Mono>,
}

/// Decides when a session counts as gone. One per process serves all its holds.
///
/// A session is gone when the instance list has shown its instance gone for
/// longer than the list's lag, or when a newer session of its instance answers
/// under its address.
#[derive(Debug, Clone, Default)]
pub struct GoneSessions {
    watched: IndexMap<Session, Watched>,
    gone: IndexSet<Session>,
}

impl GoneSessions {
    /// Watches nobody yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Watches a session that a row or a peer names.
    ///
    /// Failure guarded against: an instance that has just started is not on the
    /// list yet, which looks like gone. Absence counts only from a list read
    /// after the session was first heard of.
    pub fn watch(&mut self, session: &Session) {
        if !self.gone.contains(session) {
            self.watched.entry(session.clone()).or_default();
        }
    }

    /// Takes a list and the time at which its reading began; returns who is gone
    /// by it.
    #[must_use]
    pub fn on_instance_list(&mut self, list: &InstanceList, begun: Now) -> Vec<Session> {
        let mut gone = Vec::new();
        for (session, watched) in &mut self.watched {
            let shown = list
                .instances
                .iter()
                .any(|it| it.instance == session.instance);
            if shown {
                watched.missing_since = None;
                continue;
            }
            let since = *watched.missing_since.get_or_insert(begun.mono);
            if begun.mono.since(since) > list.lag_ms {
                gone.push(session.clone());
            }
        }
        self.bury(&gone);
        gone
    }

    /// Takes the session that answered when this process called an instance's
    /// address; returns its predecessors, which are gone.
    ///
    /// Calls to one address must be reported in the order in which they were
    /// answered. A session known to be gone proves nothing about others.
    #[must_use]
    pub fn on_handshake(&mut self, session: &Session) -> Vec<Session> {
        if self.gone.contains(session) {
            return Vec::new();
        }
        self.watch(session);
        self.bury_predecessors(session)
    }

    /// Takes the news that this process itself answers under the listed address
    /// of its instance; returns its predecessors, which are gone.
    ///
    /// Failure guarded against: all instances start again together. Each finds
    /// rows that name only earlier sessions and knows all of them to be gone but
    /// the one of its own instance, so that none of them may rewrite the rows and
    /// no key is ever served again.
    #[must_use]
    pub fn on_own_handshake(&mut self, me: &Session) -> Vec<Session> {
        self.bury_predecessors(me)
    }

    fn bury_predecessors(&mut self, session: &Session) -> Vec<Session> {
        let mut gone = Vec::new();
        for other in self.watched.keys() {
            if other.instance == session.instance && other != session {
                gone.push(other.clone());
            }
        }
        self.bury(&gone);
        gone
    }

    /// Whether a session is gone.
    #[must_use]
    pub fn is_gone(&self, session: &Session) -> bool {
        self.gone.contains(session)
    }

    /// All sessions that are gone, for a hold that is made later.
    pub fn sessions(&self) -> impl Iterator<Item = &Session> {
        self.gone.iter()
    }

    fn bury(&mut self, gone: &[Session]) {
        for session in gone {
            self.watched.shift_remove(session);
            self.gone.insert(session.clone());
        }
    }
}
