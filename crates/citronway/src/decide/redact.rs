//! Takes callers' contents out of events, so that a replay still decides the same.
//!
//! The machine compares requests of one id by a hash of their contents, and keeps
//! answers by their size. So a body of a request becomes a hash, a body of an
//! answer becomes zeros of the same number.

use std::hash::{BuildHasher, RandomState};

use bytes::Bytes;
use citronway_core::node::{Event, OrderReply};
use citronway_core::outcome::{Answer, Outcome};

/// Where the query of a path begins; it may hold a caller's token.
const QUERY: char = '?';

/// Replaces contents by hashes that only this process can draw again.
#[derive(Debug)]
pub struct Redactor {
    /// Two hashers with random keys, so that 128 bits stand for a content and
    /// short contents cannot be found by trying them all.
    hashers: [RandomState; 2],
    zeros: Bytes,
}

impl Redactor {
    /// Draws the keys of the hashes.
    pub fn new() -> Self {
        Self {
            hashers: [RandomState::new(), RandomState::new()],
            zeros: Bytes::new(),
        }
    }

    /// The event without contents.
    pub fn redact(&mut self, event: &Event) -> Event {
        let mut event = event.clone();
        match &mut event {
            Event::Caller { request, .. } => {
                self.hide_request(&mut request.path, &mut request.body);
            }
            Event::Forwarded { request, .. } => {
                self.hide_request(&mut request.path, &mut request.body);
            }
            Event::OrderDone {
                reply: OrderReply::Answered { answer },
                ..
            }
            | Event::ForwardDone {
                outcome: Outcome::Answered(answer),
                ..
            } => self.hide_answer(answer),
            _ => {}
        }
        event
    }

    fn hide_request(&self, path: &mut String, body: &mut Bytes) {
        if let Some((plain, query)) = path.split_once(QUERY) {
            *path = format!("{plain}{QUERY}{}", self.hash(query.as_bytes()));
        }
        if !body.is_empty() {
            *body = Bytes::from(self.hash(body));
        }
    }

    fn hide_answer(&mut self, answer: &mut Answer) {
        let length = answer.body.len();
        if self.zeros.len() < length {
            self.zeros = Bytes::from(vec![0; length.next_power_of_two()]);
        }
        answer.body = self.zeros.slice(..length);
    }

    fn hash(&self, content: &[u8]) -> String {
        let [first, second] = &self.hashers;
        let (first, second) = (first.hash_one(content), second.hash_one(content));
        format!("{first:016x}{second:016x}")
    }
}
