//! Control messages that wait for one link.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use citronway_wire::convert::EncodedMessage;
use citronway_wire::limits::MAX_BATCH;
use tokio::sync::Notify;

/// Bounded queue of control messages to one peer.
///
/// Failure guarded against: a frozen peer takes nothing for a long time. Its
/// messages would fill the memory, or, were the sender to wait, hold up those
/// to all other peers. Here the oldest goes, because newer ones say the same
/// with a later state.
#[derive(Debug)]
pub(super) struct ControlQueue {
    waiting: RefCell<VecDeque<Rc<Encoded>>>,
    limit: usize,
    more: Notify,
}

/// An encoded message that several links share.
pub(super) struct Encoded(pub(super) EncodedMessage);

impl std::fmt::Debug for Encoded {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Encoded({} bytes)", self.0.bytes())
    }
}

impl ControlQueue {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            waiting: RefCell::default(),
            limit: limit.max(1),
            more: Notify::new(),
        }
    }

    /// Queues a message and says how many were dropped for it.
    pub(super) fn push(&self, message: Rc<Encoded>) -> usize {
        let mut waiting = self.waiting.borrow_mut();
        let mut dropped = 0;
        while waiting.len() >= self.limit {
            waiting.pop_front();
            dropped += 1;
        }
        waiting.push_back(message);
        self.more.notify_one();
        dropped
    }

    /// Waits for messages and takes as many as go into one call of `max_bytes`,
    /// but at least one.
    pub(super) async fn next_batch(&self, max_bytes: usize) -> Vec<Rc<Encoded>> {
        loop {
            let batch = self.take_batch(max_bytes);
            if !batch.is_empty() {
                return batch;
            }
            self.more.notified().await;
        }
    }

    fn take_batch(&self, max_bytes: usize) -> Vec<Rc<Encoded>> {
        let mut waiting = self.waiting.borrow_mut();
        let mut batch = Vec::new();
        let mut bytes = 0;
        while let Some(message) = waiting.front() {
            bytes += message.0.bytes();
            let is_full = batch.len() == MAX_BATCH || bytes > max_bytes;
            if is_full && !batch.is_empty() {
                break;
            }
            batch.extend(waiting.pop_front());
        }
        batch
    }
}
