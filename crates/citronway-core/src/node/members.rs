//! Other instances: what the platform lists and what they say themselves.

use indexmap::IndexMap;

use crate::ids::{InstanceName, Session, Version, ZoneName};
use crate::peer::Heartbeat;
use crate::platform::{InstanceList, ListedState};
use crate::time::Mono;

/// An instance as this one knows it.
#[derive(Debug, Clone)]
pub(super) struct Member {
    pub(super) session: Session,
    pub(super) heard: Mono,
    pub(super) config: Version,
    pub(super) leaving: bool,
}

/// All instances known.
#[derive(Debug)]
pub(super) struct Members {
    me: Session,
    zone: ZoneName,
    list: InstanceList,
    by_instance: IndexMap<InstanceName, Member>,
}

impl Members {
    pub(super) fn new(me: Session, zone: ZoneName) -> Self {
        Self {
            me,
            zone,
            list: InstanceList::default(),
            by_instance: IndexMap::new(),
        }
    }

    pub(super) fn listed(&mut self, list: InstanceList, _now: Mono) {
        self.list = list;
    }

    pub(super) fn up(&mut self, session: Session, now: Mono) {
        let member = Member {
            heard: now,
            config: Version(0),
            leaving: false,
            session: session.clone(),
        };
        self.by_instance.insert(session.instance, member);
    }

    pub(super) fn down(&mut self, instance: &InstanceName) {
        self.by_instance.shift_remove(instance);
    }

    pub(super) fn heartbeat(&mut self, from: &Session, beat: &Heartbeat, now: Mono) {
        let member = Member {
            session: from.clone(),
            heard: now,
            config: beat.config,
            leaving: beat.leaving,
        };
        self.by_instance.insert(from.instance.clone(), member);
    }

    /// Sessions that take part at present with their zones, this one included, by name.
    pub(super) fn live(&self) -> Vec<(Session, ZoneName)> {
        let mut live = vec![(self.me.clone(), self.zone.clone())];
        for listed in &self.list.instances {
            if listed.state == ListedState::Leaving {
                continue;
            }
            let Some(member) = self.by_instance.get(&listed.instance) else {
                continue;
            };
            if !member.leaving {
                live.push((member.session.clone(), listed.zone.clone()));
            }
        }
        live.sort();
        live
    }
}
