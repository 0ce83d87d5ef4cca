//! Events on their way to the ring that the decisions read.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::sync::Arc;

use citronway_core::node::Event;
use tokio::sync::{Notify, mpsc};

use super::counters::PeerCounters;

/// Holds events until the ring has room.
///
/// Failure guarded against: the decisions stall and the ring fills. If the
/// reactor waited for the ring, no link would be read or written any more, and
/// peers would take a slow instance for a dead one. Events wait here instead;
/// control messages and forwards are limited in number, and the rest is bounded
/// by what this process itself has asked for.
#[derive(Debug)]
pub(super) struct EventQueue {
    waiting: RefCell<VecDeque<Event>>,
    limit: usize,
    more: Notify,
    counters: Arc<PeerCounters>,
}

impl EventQueue {
    pub(super) fn new(limit: usize, counters: &Arc<PeerCounters>) -> Self {
        Self {
            waiting: RefCell::default(),
            limit,
            more: Notify::new(),
            counters: Arc::clone(counters),
        }
    }

    /// Whether a forwarded request may be queued.
    pub(super) fn has_room(&self) -> bool {
        self.waiting.borrow().len() < self.limit
    }

    /// Queues an event that must not be lost.
    pub(super) fn push(&self, event: Event) {
        self.waiting.borrow_mut().push_back(event);
        self.more.notify_one();
    }

    /// Queues a control message; without room the oldest one goes, because newer
    /// ones say the same with a later state.
    pub(super) fn push_control(&self, event: Event) {
        if !self.has_room() {
            self.drop_oldest_control();
        }
        self.push(event);
    }

    /// Moves events into the ring for as long as somebody reads it.
    pub(super) async fn pump(&self, events: mpsc::Sender<Event>) {
        loop {
            let Some(event) = self.pop() else {
                self.more.notified().await;
                continue;
            };
            if events.send(event).await.is_err() {
                return;
            }
        }
    }

    fn pop(&self) -> Option<Event> {
        self.waiting.borrow_mut().pop_front()
    }

    fn drop_oldest_control(&self) {
        let mut waiting = self.waiting.borrow_mut();
        let is_control = |event: &Event| matches!(event, Event::Peer { .. });
        let Some(oldest) = waiting.iter().position(is_control) else {
            return;
        };
        waiting.remove(oldest);
        self.counters.events_dropped.add(1);
    }
}
