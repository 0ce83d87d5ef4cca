//! Requests that have arrived behind one that is not answered.

use std::collections::VecDeque;

use citronway_core::time::Mono;

use super::framing::{self, BodyFrame, Head, PlainHead};

/// Most requests that are told apart ahead; more than the most that may be begun, which is 256.
const MAX_QUEUED: usize = 512;

/// A request whose head has arrived behind one that is not answered.
#[derive(Debug, Clone, Copy)]
pub(super) struct Queued {
    pub arrived: Mono,
    /// Position of its first byte in the connection.
    pub start: u64,
    /// `None` if it is not framed; nothing behind it is told apart.
    pub head: Option<PlainHead>,
}

/// The requests in the bytes that the HTTP library has not got, in order.
#[derive(Debug, Default)]
pub(super) struct RequestQueue {
    requests: VecDeque<Queued>,
    /// Position in the connection of the first byte behind them.
    end: u64,
    /// Number of bytes from there on that were searched for the end of a head.
    searched: usize,
    /// Whether requests behind are not told apart.
    is_ended: bool,
}

impl RequestQueue {
    /// The `n`th request.
    pub(super) fn get(&self, n: usize) -> Option<Queued> {
        self.requests.get(n).copied()
    }

    /// Removes the first request.
    pub(super) fn pop(&mut self) -> Option<Queued> {
        self.requests.pop_front()
    }

    /// Sets whether requests behind those known are not told apart.
    pub(super) const fn set_ended(&mut self, is_ended: bool) {
        self.is_ended = is_ended;
    }

    /// Records that the HTTP library has got all bytes in front of a position. A request that was
    /// not found by then is not searched any more.
    pub(super) const fn skip_to(&mut self, position: u64) {
        if self.end < position {
            self.end = position;
            self.searched = 0;
        }
    }

    /// Finds requests in `buf`, which begins at a position of the connection and has arrived by
    /// now.
    pub(super) fn find(&mut self, now: Mono, buf: &[u8], position: u64) {
        while !self.is_ended && self.requests.len() < MAX_QUEUED {
            let offset = usize::try_from(self.end - position).ok();
            let bytes = offset.and_then(|offset| buf.get(offset..));
            let Some(bytes) = bytes.filter(|bytes| !bytes.is_empty()) else {
                return;
            };
            let searched = std::mem::replace(&mut self.searched, bytes.len());
            if !framing::has_blank_line(bytes, searched) {
                return;
            }
            let head = match framing::read_head(bytes) {
                Head::Partial => return,
                Head::Unclear => None,
                Head::Plain(head) => Some(head),
            };
            self.requests.push_back(Queued {
                arrived: now,
                start: self.end,
                head,
            });
            self.searched = 0;
            let Some(head) = head else {
                self.is_ended = true;
                return;
            };
            self.end += head.head_bytes as u64;
            self.is_ended = head.closes;
            match head.body {
                BodyFrame::Length(bytes) => self.end += bytes,
                // Its end is found when it is passed on.
                BodyFrame::Chunked => self.is_ended = true,
            }
        }
    }
}
