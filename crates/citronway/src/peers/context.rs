//! What all tasks of the duty share.

use std::cell::RefCell;
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use citronway_core::ids::{InstanceName, Session};
use citronway_core::time::Wall;
use indexmap::IndexMap;
use tokio_util::sync::CancellationToken;

use super::config::PeersConfig;
use super::counters::PeerCounters;
use super::event_queue::EventQueue;
use super::remote::Remote;
use super::replies::Replies;

/// Shared by all tasks on the duty's thread.
#[derive(Debug)]
pub(super) struct Context {
    pub(super) cfg: PeersConfig,
    pub(super) counters: Arc<PeerCounters>,
    pub(super) events: EventQueue,
    pub(super) replies: Replies,
    pub(super) remotes: RefCell<IndexMap<InstanceName, Rc<Remote>>>,
    /// Cancelled when the duty is asked to stop.
    pub(super) stopping: CancellationToken,
}

impl Context {
    pub(super) fn new(cfg: PeersConfig, counters: Arc<PeerCounters>) -> Self {
        Self {
            events: EventQueue::new(cfg.max_queued_events, &counters),
            replies: Replies::new(),
            remotes: RefCell::default(),
            stopping: CancellationToken::new(),
            cfg,
            counters,
        }
    }

    /// The instance as it is kept connected, if it was ever listed.
    pub(super) fn remote(&self, instance: &InstanceName) -> Option<Rc<Remote>> {
        self.remotes.borrow().get(instance).map(Rc::clone)
    }

    /// A session has greeted this instance: an earlier session of the same
    /// instance is gone, and the link to it can be given up at once.
    pub(super) fn greeted_by(&self, session: &Session) {
        let Some(remote) = self.remote(&session.instance) else {
            return;
        };
        remote.met(session);
    }
}

/// Reads the wall clock.
pub(super) fn wall_now() -> Wall {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Wall(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

/// Draws a number for jitter; the keys of a hasher are random.
pub(super) fn random() -> u64 {
    RandomState::new().hash_one(())
}
