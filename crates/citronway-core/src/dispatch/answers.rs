//! Cache of answers for duplicates, bounded in bytes.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::ids::RequestId;
use crate::outcome::Answer;

/// Overhead counted for each answer in addition to its body, in bytes.
const OVERHEAD_BYTES: usize = 128;

/// Answers by request id; the oldest are evicted first.
#[derive(Debug)]
pub struct AnswerCache {
    kept: IndexMap<RequestId, Answer>,
    order: VecDeque<RequestId>,
    bytes: usize,
    max_bytes: usize,
}

impl AnswerCache {
    /// Creates an empty cache with room for `max_bytes` bytes.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            kept: IndexMap::new(),
            order: VecDeque::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// The cached answer; `None` if there is none.
    #[must_use]
    pub fn get(&self, id: RequestId) -> Option<&Answer> {
        self.kept.get(&id)
    }

    /// Caches an answer, unless it is larger than the whole cache.
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

    /// Removes an answer, if there is one.
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
    answer.body.len() + OVERHEAD_BYTES
}
