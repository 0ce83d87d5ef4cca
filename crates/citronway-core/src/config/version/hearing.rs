//! When an instance last had news of the configuration.

use crate::time::Mono;

/// Silence after which the configuration counts as stale, in milliseconds.
pub const STALE_AFTER_MS: u64 = 5_000;

/// Time between two events after which the process must have been paused.
const PAUSE_MS: u64 = 1_000;

/// Time after a pause in which old messages are read from buffers.
const SETTLE_MS: u64 = 1_000;

/// When the store or a peer was last heard.
///
/// A process that was frozen finds heartbeats from before in its socket buffers.
/// They would make it look well informed while it serves by a configuration that
/// was replaced long ago. An answer is therefore counted from when its question
/// was asked, and messages that answer no question count only once the process
/// has run for a while without a pause.
#[derive(Debug, Clone, Default)]
pub(super) struct Hearing {
    heard: Option<Mono>,
    last_event: Option<Mono>,
    awake_since: Mono,
}

impl Hearing {
    /// Notes that the process runs.
    pub(super) fn observe(&mut self, now: Mono) {
        let paused = match self.last_event {
            None => true,
            Some(last) => now.since(last) >= PAUSE_MS,
        };
        if paused {
            self.awake_since = now;
        }
        self.last_event = Some(now);
    }

    /// Notes an answer to a question asked at that time.
    pub(super) fn answer(&mut self, asked: Mono) {
        self.heard = self.heard.max(Some(asked));
    }

    /// Notes a message that answers no question.
    pub(super) fn message(&mut self, now: Mono) {
        if now.since(self.awake_since) >= SETTLE_MS {
            self.answer(now);
        }
    }

    /// Whether there was no news for too long.
    pub(super) fn is_stale(&self, now: Mono) -> bool {
        self.heard
            .is_none_or(|heard| now.since(heard) >= STALE_AFTER_MS)
    }
}
