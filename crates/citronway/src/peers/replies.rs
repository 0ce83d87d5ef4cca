//! Forwards received from other instances that wait for their outcome.

use std::cell::{Cell, RefCell};

use citronway_core::node::events::Ticket;
use citronway_core::outcome::Outcome;
use indexmap::IndexMap;
use tokio::sync::{Notify, oneshot};

/// Tickets of forwarded requests start here, so that they never meet those of
/// callers, which count from 0.
pub const PEER_TICKET_BASE: Ticket = 1 << 63;

/// Where outcomes of received forwards are delivered.
#[derive(Debug)]
pub(super) struct Replies {
    next: Cell<Ticket>,
    waiting: RefCell<IndexMap<Ticket, oneshot::Sender<Outcome>>>,
    /// Forwards that have their outcome but have not yet passed it to the codec.
    answering: Cell<usize>,
    settled: Notify,
}

/// One received forward; its ticket ends with it.
#[derive(Debug)]
pub(super) struct Slot<'a> {
    replies: &'a Replies,
    /// Ticket for the reply.
    pub(super) ticket: Ticket,
    rx: oneshot::Receiver<Outcome>,
}

impl Replies {
    pub(super) fn new() -> Self {
        Self {
            next: Cell::new(PEER_TICKET_BASE),
            waiting: RefCell::default(),
            answering: Cell::new(0),
            settled: Notify::new(),
        }
    }

    /// Opens a slot under a ticket that was never used before.
    pub(super) fn open(&self) -> Slot<'_> {
        let ticket = self.next.get();
        self.next.set(ticket + 1);
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, tx);
        Slot {
            replies: self,
            ticket,
            rx,
        }
    }

    /// Delivers an outcome; a slot that is gone has lost its link.
    pub(super) fn deliver(&self, ticket: Ticket, outcome: Outcome) {
        let Some(tx) = self.waiting.borrow_mut().swap_remove(&ticket) else {
            log::debug!(ticket; "reply to a forward whose link is gone");
            return;
        };
        self.answering.set(self.answering.get() + 1);
        // The slot takes itself out of `waiting` before it goes, so it is there.
        let _ = tx.send(outcome);
    }

    /// Waits until all outcomes delivered so far have been passed to the codec.
    pub(super) async fn settled(&self) {
        while self.answering.get() > 0 {
            self.settled.notified().await;
        }
    }
}

impl Slot<'_> {
    /// Waits for the outcome. `None` if the duty ends first.
    pub(super) async fn outcome(&mut self) -> Option<Outcome> {
        (&mut self.rx).await.ok()
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let unanswered = self.replies.waiting.borrow_mut().swap_remove(&self.ticket);
        if unanswered.is_some() {
            return;
        }
        self.replies.answering.set(self.replies.answering.get() - 1);
        self.replies.settled.notify_waiters();
    }
}
