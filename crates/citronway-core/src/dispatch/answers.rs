//! Answers kept for duplicates, up to a number of bytes.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::ids::RequestId;
use crate::outcome::Answer;

/// Bytes counted for an answer besides its body.
const OVERHEAD: usize = 128;

/// Answers by id; the oldest go first when there is no room.
#[derive(Debug)]
pub struct AnswerCache {
    kept: IndexMap<RequestId, Answer>,
    order: VecDeque<RequestId>,
    bytes: usize,
    max_bytes: usize,
}

impl AnswerCache {
    /// No answers; room for `max_bytes` bytes.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            kept: IndexMap::new(),
            order: VecDeque::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// The kept answer.
    #[must_use]
    pub fn get(&self, id: RequestId) -> Option<&Answer> {
        self.kept.get(&id)
    }

    /// Keeps an answer, unless it alone is too large.
    pub fn keep(&mut self, id: RequestId, answer: Answer) {
        let size = size(&answer);
        if size > self.max_bytes {
            return;
        }
        self.forget(id);
        self.bytes += size;
        self.kept.insert(id, answer);
        self.order.push_back(id);
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            self.drop_answer(oldest);
        }
    }

    /// Forgets an answer.
    pub fn forget(&mut self, id: RequestId) {
        if self.drop_answer(id) {
            self.order.retain(|other| *other != id);
        }
    }

    fn drop_answer(&mut self, id: RequestId) -> bool {
        let Some(answer) = self.kept.swap_remove(&id) else {
            return false;
        };
        self.bytes -= size(&answer);
        true
    }
}

const fn size(answer: &Answer) -> usize {
    answer.body.len() + OVERHEAD
}
