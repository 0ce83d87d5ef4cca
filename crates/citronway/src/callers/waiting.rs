//! Requests that wait for their outcome.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use citronway_core::node::Event;
use citronway_core::node::events::Ticket;
use citronway_core::outcome::Outcome;
use indexmap::IndexMap;
use tokio::sync::mpsc::Sender;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::oneshot;

/// First ticket of this duty; each later one is higher.
const FIRST_TICKET: Ticket = 1;

/// Requests that wait for their outcome, up to a limit.
#[derive(Debug)]
pub(super) struct Waiting {
    limit: usize,
    next: AtomicU64,
    events: Sender<Event>,
    senders: Mutex<Senders>,
}

#[derive(Debug, Default)]
struct Senders {
    closed: bool,
    by_ticket: IndexMap<Ticket, oneshot::Sender<Outcome>>,
}

/// One request that waits; dropping it tells that its caller has gone.
#[derive(Debug)]
pub(super) struct Waiter {
    ticket: Ticket,
    outcome: oneshot::Receiver<Outcome>,
    waiting: Arc<Waiting>,
}

impl Waiting {
    pub(super) fn new(limit: usize, events: Sender<Event>) -> Self {
        Self {
            limit,
            next: AtomicU64::new(FIRST_TICKET),
            events,
            senders: Mutex::default(),
        }
    }

    /// Lets one more request wait, or `None` if too many do or none can be answered.
    pub(super) fn admit(self: &Arc<Self>) -> Option<Waiter> {
        let mut senders = self.senders();
        if senders.closed || senders.by_ticket.len() >= self.limit {
            return None;
        }
        let ticket = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        senders.by_ticket.insert(ticket, tx);
        Some(Waiter {
            ticket,
            outcome: rx,
            waiting: Arc::clone(self),
        })
    }

    /// Hands an outcome to the request that waits under `ticket`.
    pub(super) fn complete(&self, ticket: Ticket, outcome: Outcome) {
        let Some(tx) = self.senders().by_ticket.swap_remove(&ticket) else {
            log::debug!(ticket; "outcome for a caller that has gone");
            return;
        };
        if tx.send(outcome).is_err() {
            log::debug!(ticket; "caller went while its outcome came");
        }
    }

    /// No outcome will come any more.
    pub(super) fn close(&self) {
        let mut senders = self.senders();
        senders.closed = true;
        senders.by_ticket.clear();
    }

    fn senders(&self) -> MutexGuard<'_, Senders> {
        self.senders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Waiter {
    /// Ticket of the request.
    pub(super) const fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// The outcome, or `None` if none will come.
    pub(super) async fn outcome(&mut self) -> Option<Outcome> {
        (&mut self.outcome).await.ok()
    }

    /// Withdraws the request without telling that its caller has gone.
    pub(super) fn withdraw(self) {
        self.waiting.senders().by_ticket.swap_remove(&self.ticket);
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let waits = self.waiting.senders().by_ticket.swap_remove(&self.ticket);
        if waits.is_none() {
            return;
        }
        let gone = Event::CallerGone {
            ticket: self.ticket,
        };
        if let Err(TrySendError::Full(gone)) = self.waiting.events.try_send(gone) {
            send_later(self.waiting.events.clone(), gone);
        }
    }
}

// The ring is full for now. There are never more of these tasks than requests
// may wait, since each stands for one that did.
fn send_later(events: Sender<Event>, event: Event) {
    let Ok(runtime) = tokio::runtime::Handle::try_current() else {
        return;
    };
    runtime.spawn(async move {
        if events.send(event).await.is_err() {
            log::error!("no one takes events any more");
        }
    });
}
