//! Which requests of one connection are begun before the earlier ones are answered.
//!
//! Callers of some routes send further requests on a connection before the earlier ones are
//! answered. Where each waits for the one in front of it, a slow first answer costs all of them
//! their objective. So requests that may run more than once are begun when they arrive, within
//! bounds; their answers are sent in order of arrival.

use std::collections::VecDeque;

use super::routes::Repeat;
use crate::time::Mono;

/// Size that is assumed of the answers of a route before the first of them is known, in bytes.
///
/// Answers of the routes whose callers pipeline have 1 to 5 KB, downloads 90 KB. With this size,
/// the least bound on answers that wait, 64 KiB, still allows three requests ahead.
const UNKNOWN_ANSWER_BYTES: u64 = 16 * 1024;

/// Bounds of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PipelineLimits {
    /// Most requests that are begun and whose answers are not delivered; with 1, none is begun
    /// ahead.
    pub requests: u32,
    /// Most bytes of answers that wait for their turn.
    pub answer_bytes: u64,
}

/// A request that has arrived and is not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Whether it may run more than once; `None` if that is not known, since it has no route.
    pub repeat: Option<Repeat>,
    /// Usual size of its answer in bytes; 0 if none is known.
    pub answer_bytes: u64,
}

/// What the instance as a whole allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceRoom {
    /// Whether the instance may begin one more request ahead.
    pub has_room: bool,
    /// Whether the instance stops.
    pub is_stopping: bool,
}

/// Why a request is not begun yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Hold {
    /// The connection closes after the answers of the requests that are begun.
    Closing,
    /// It must not run more than once, or one in front of it must not.
    InOrder,
    /// As many requests are begun as the connection may have.
    Requests,
    /// Its answer may not fit with those that wait for their turn.
    AnswerBytes,
    /// The instance begins no further requests ahead.
    Instance,
}

impl Hold {
    /// All reasons.
    pub const ALL: [Self; 5] = [
        Self::Closing,
        Self::InOrder,
        Self::Requests,
        Self::AnswerBytes,
        Self::Instance,
    ];

    /// Name of the reason in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Closing => "closing",
            Self::InOrder => "in_order",
            Self::Requests => "requests",
            Self::AnswerBytes => "answer_bytes",
            Self::Instance => "instance",
        }
    }
}

/// A request that is begun and whose answer is not delivered.
#[derive(Debug, Clone, Copy)]
struct Begun {
    number: u64,
    /// Whether nothing may be begun behind it.
    is_in_order: bool,
    /// Size of its answer: the expected one, or the real one once it is known.
    answer_bytes: u64,
}

/// The requests of one connection that are begun and not delivered, in order of arrival.
#[derive(Debug)]
pub struct Pipeline {
    limits: PipelineLimits,
    begun: VecDeque<Begun>,
    next_number: u64,
    is_closing: bool,
}

impl Pipeline {
    /// The state of a new connection.
    #[must_use]
    pub const fn new(limits: PipelineLimits) -> Self {
        Self {
            limits,
            begun: VecDeque::new(),
            next_number: 0,
            is_closing: false,
        }
    }

    /// Whether a request may be begun behind those that are begun.
    ///
    /// # Errors
    ///
    /// With the reason why not.
    pub fn may_begin(&self, next: &Arrival, instance: InstanceRoom) -> Result<(), Hold> {
        if self.is_closing || instance.is_stopping {
            return Err(Hold::Closing);
        }
        let follows_in_order = self.begun.iter().any(|begun| begun.is_in_order);
        if is_in_order(next.repeat) || follows_in_order {
            return Err(Hold::InOrder);
        }
        if self.begun.len() as u64 >= u64::from(self.limits.requests) {
            return Err(Hold::Requests);
        }
        // The answer to the first one does not wait.
        let waiting: u64 = self.begun.iter().skip(1).map(|b| b.answer_bytes).sum();
        if waiting + expected_bytes(next) > self.limits.answer_bytes {
            return Err(Hold::AnswerBytes);
        }
        if instance.has_room {
            Ok(())
        } else {
            Err(Hold::Instance)
        }
    }

    /// Records that a request is begun behind those that are begun; returns its number.
    pub fn begin(&mut self, next: &Arrival) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.begun.push_back(Begun {
            number,
            is_in_order: is_in_order(next.repeat),
            answer_bytes: expected_bytes(next),
        });
        number
    }

    /// Records the route of the first request, which was begun when its turn came.
    pub fn record_first(&mut self, repeat: Option<Repeat>) {
        if let Some(first) = self.begun.front_mut() {
            first.is_in_order = is_in_order(repeat);
        }
    }

    /// Records the size of an answer that is whole.
    pub fn record_answer(&mut self, number: u64, bytes: u64) {
        let mut begun = self.begun.iter_mut();
        if let Some(begun) = begun.find(|begun| begun.number == number) {
            begun.answer_bytes = bytes;
        }
    }

    /// Records that the answer to the first request is delivered.
    pub fn record_delivered(&mut self) {
        self.begun.pop_front();
    }

    /// Records that the connection closes: no further request is begun ahead.
    pub const fn close(&mut self) {
        self.is_closing = true;
    }

    /// Number of requests that are begun and not delivered.
    #[must_use]
    pub fn begun(&self) -> usize {
        self.begun.len()
    }

    /// Whether the first request is the last one that is begun. Only its answer may say that the
    /// connection closes.
    #[must_use]
    pub fn is_at_last(&self) -> bool {
        self.begun.len() <= 1
    }
}

/// Whether the time of a request ended before it was begun; it has not run and is refused.
#[must_use]
pub fn is_expired(now: Mono, arrived: Mono, wait_ms: u64) -> bool {
    now > arrived && now >= arrived.plus(wait_ms)
}

/// Whether requests are begun one after the other. What has no known route is taken so too: it is
/// refused when its turn comes.
const fn is_in_order(repeat: Option<Repeat>) -> bool {
    !matches!(repeat, Some(Repeat::Idempotent))
}

const fn expected_bytes(next: &Arrival) -> u64 {
    if next.answer_bytes == 0 {
        UNKNOWN_ANSWER_BYTES
    } else {
        next.answer_bytes
    }
}
