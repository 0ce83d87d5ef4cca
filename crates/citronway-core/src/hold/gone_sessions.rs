//! Detection of sessions that have ended for good.

use indexmap::{IndexMap, IndexSet};

use crate::ids::Session;
use crate::platform::InstanceList;
use crate::time::{Mono, Now};

/// A session that is not known to be gone.
#[derive(Debug, Clone, Default)]
struct Watched {
    /// When the reading of the first list began that did not show the instance,
    /// `None` if the last list showed it or no list was handled yet.
    missing_since: Option<Mono>,
}

/// Decides which sessions are gone, that is, have ended for good. One value per
/// process serves all its holds.
///
/// A session is gone when its instance has been missing from the instance list for
/// longer than the list's lag, or when a newer session of the instance answers at
/// its address.
#[derive(Debug, Clone, Default)]
pub struct GoneSessions {
    watched: IndexMap<Session, Watched>,
    gone: IndexSet<Session>,
}

impl GoneSessions {
    /// Creates a detector that watches no session.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Watches a session that a row or a peer names.
    ///
    /// Failure guarded against: an instance that has just started is not listed yet
    /// and is taken for gone. Its absence counts only from a list that is read
    /// after the session became known.
    pub fn watch(&mut self, session: &Session) {
        if !self.gone.contains(session) {
            self.watched.entry(session.clone()).or_default();
        }
    }

    /// Handles an instance list whose reading began at `begun`; returns the
    /// sessions that it proves gone.
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
        self.mark_gone(&gone);
        gone
    }

    /// Handles a handshake in which `session` answered at the address of its
    /// instance; returns the earlier sessions of the instance, which are thereby
    /// gone.
    ///
    /// Handshakes with one address must be reported in the order in which they were
    /// answered. A session known to be gone proves nothing about others.
    #[must_use]
    pub fn on_handshake(&mut self, session: &Session) -> Vec<Session> {
        if self.gone.contains(session) {
            return Vec::new();
        }
        self.watch(session);
        self.mark_predecessors_gone(session)
    }

    /// Handles a handshake in which this process itself answered at the listed
    /// address of its instance; returns the earlier sessions of the instance, which
    /// are thereby gone.
    ///
    /// Failure guarded against: all instances restart together. Each finds rows
    /// that name only earlier sessions, and knows all of them to be gone except
    /// that of its own instance. No instance may then rewrite the rows, and no key
    /// is ever served again.
    #[must_use]
    pub fn on_own_handshake(&mut self, me: &Session) -> Vec<Session> {
        self.mark_predecessors_gone(me)
    }

    fn mark_predecessors_gone(&mut self, session: &Session) -> Vec<Session> {
        let mut gone = Vec::new();
        for other in self.watched.keys() {
            if other.instance == session.instance && other != session {
                gone.push(other.clone());
            }
        }
        self.mark_gone(&gone);
        gone
    }

    /// Whether `session` is gone.
    #[must_use]
    pub fn is_gone(&self, session: &Session) -> bool {
        self.gone.contains(session)
    }

    /// All gone sessions, to be reported to a hold that is created later.
    pub fn sessions(&self) -> impl Iterator<Item = &Session> {
        self.gone.iter()
    }

    fn mark_gone(&mut self, gone: &[Session]) {
        for session in gone {
            self.watched.shift_remove(session);
            self.gone.insert(session.clone());
        }
    }
}
