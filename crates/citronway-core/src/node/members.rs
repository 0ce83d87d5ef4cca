//! Other instances: what the platform lists and what they say themselves.

use indexmap::{IndexMap, IndexSet};

use crate::hold::GoneSessions;
use crate::ids::{InstanceName, Session, Version, ZoneName};
use crate::peer::Heartbeat;
use crate::placement::wanted::Candidate;
use crate::platform::{InstanceList, ListedInstance, ListedState};
use crate::time::{Mono, Now};

/// An instance as this one knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its present session.
    pub session: Session,
    /// When it last gave a sign of life.
    pub heard: Mono,
    /// Version of the configuration in force there.
    pub config: Version,
    /// It is shutting down.
    pub leaving: bool,
}

/// All instances known.
#[derive(Debug)]
pub(super) struct Members {
    me: Session,
    zone: ZoneName,
    list: InstanceList,
    by_instance: IndexMap<InstanceName, Member>,
    departures: GoneSessions,
    connected: IndexSet<Session>,
    /// The platform's list was read once.
    is_listed: bool,
}

impl Members {
    pub(super) fn new(me: Session, zone: ZoneName) -> Self {
        Self {
            me,
            zone,
            list: InstanceList::default(),
            by_instance: IndexMap::new(),
            departures: GoneSessions::new(),
            connected: IndexSet::new(),
            is_listed: false,
        }
    }

    /// Takes the platform's list; returns the sessions that are gone by it.
    pub(super) fn listed(&mut self, list: InstanceList, asked: Now) -> Vec<Session> {
        let gone = self.departures.on_instance_list(&list, asked);
        self.list = list;
        self.is_listed = true;
        self.drop_gone(&gone);
        gone
    }

    /// Takes a greeted session; returns earlier ones that it proves gone.
    pub(super) fn up(
        &mut self,
        session: &Session,
        at_its_address: bool,
        now: Mono,
    ) -> Vec<Session> {
        if *session == self.me {
            return self.departures.on_own_handshake(session);
        }
        if self.departures.is_gone(session) {
            return Vec::new();
        }
        if *session == self.me {
            return self.departures.on_handshake(session);
        }
        self.departures.watch(session);
        if !at_its_address {
            return Vec::new();
        }
        self.connected.insert(session.clone());
        let gone = self.departures.on_handshake(session);
        self.drop_gone(&gone);
        let fresh = Member {
            session: session.clone(),
            heard: now,
            config: Version(0),
            leaving: false,
        };
        match self.by_instance.get_mut(&session.instance) {
            Some(known) if known.session == *session => known.heard = now,
            _ => drop(self.by_instance.insert(session.instance.clone(), fresh)),
        }
        gone
    }

    /// Whether the session was greeted at its address and not lost since.
    pub(super) fn is_connected(&self, session: &Session) -> bool {
        self.connected.contains(session)
    }

    pub(super) fn down(&mut self, instance: &InstanceName) {
        self.by_instance.shift_remove(instance);
        self.connected
            .retain(|session| session.instance != *instance);
    }

    pub(super) fn heartbeat(&mut self, from: &Session, beat: &Heartbeat, now: Mono) {
        if self.departures.is_gone(from) {
            return;
        }
        self.departures.watch(from);
        let member = Member {
            session: from.clone(),
            heard: now,
            config: beat.config,
            leaving: beat.leaving,
        };
        self.by_instance.insert(from.instance.clone(), member);
    }

    /// Watches a session that a stored row names.
    pub(super) fn watch(&mut self, session: &Session) {
        if *session != self.me {
            self.departures.watch(session);
        }
    }

    pub(super) fn gone(&self) -> Vec<Session> {
        self.departures.sessions().cloned().collect()
    }

    pub(super) const fn known(&self) -> &IndexMap<InstanceName, Member> {
        &self.by_instance
    }

    /// Whether other instances can be found.
    pub(super) const fn is_listed(&self) -> bool {
        self.is_listed
    }

    pub(super) fn all_listed(&self) -> &[ListedInstance] {
        &self.list.instances
    }

    pub(super) const fn my_zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Zone of an instance, as the platform lists it.
    pub(super) fn zone_of(&self, instance: &InstanceName) -> Option<&ZoneName> {
        if *instance == self.me.instance {
            return Some(&self.zone);
        }
        let listed = self
            .list
            .instances
            .iter()
            .find(|listed| listed.instance == *instance)?;
        Some(&listed.zone)
    }

    /// Sessions fit for a role at present, by name; this one unless it `leaves`.
    pub(super) fn candidates(
        &self,
        leaves: bool,
        silent_after_ms: u64,
        now: Mono,
    ) -> Vec<Candidate> {
        let mut fit = Vec::with_capacity(self.by_instance.len() + 1);
        if !leaves {
            fit.push(Candidate {
                session: self.me.clone(),
                zone: self.zone.clone(),
            });
        }
        for listed in &self.list.instances {
            let Some(member) = self.by_instance.get(&listed.instance) else {
                continue;
            };
            let silent = now.since(member.heard) > silent_after_ms;
            if silent || member.leaving || listed.state == ListedState::Leaving {
                continue;
            }
            fit.push(Candidate {
                session: member.session.clone(),
                zone: listed.zone.clone(),
            });
        }
        fit.sort_by(|a, b| a.session.cmp(&b.session));
        fit
    }

    fn drop_gone(&mut self, gone: &[Session]) {
        self.by_instance
            .retain(|_, member| !gone.contains(&member.session));
        self.connected.retain(|session| !gone.contains(session));
    }
}
