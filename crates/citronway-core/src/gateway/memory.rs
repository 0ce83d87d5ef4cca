//! The memory of an instance as a limit: what connections, requests and answers may use.
//!
//! Load: machines of 120 MB with hundreds of connections, bodies of up to 64 MB, and answers of
//! half a megabyte that their callers read slowly. A process that grows past its machine's memory
//! is ended, with all requests that it has.
//!
//! Everything that grows with callers is charged here. As the budget fills up, the instance first
//! reads no further requests ahead, then begins no bodies, then refuses requests. A request that
//! is refused has not run and may go to an instance with room, so each level costs callers less
//! than the next one. What an endpoint has answered is kept to the last, since it cannot be had
//! again where the request must not run twice.

use crate::time::Mono;

/// Parts of the budget at which the levels of pressure begin, in percent.
///
/// The last 15 % are for the answers of requests that were accepted before.
const NO_READ_AHEAD_PERCENT: u64 = 50;
const NO_BODIES_PERCENT: u64 = 70;
const FULL_PERCENT: u64 = 85;

const MB: u64 = 1024 * 1024;

/// Size of an answer above which no room is reserved for it while no bodies are read, in bytes.
///
/// Failure guarded against: callers of long answers read them slowly, and what they hold keeps
/// all other callers out. Most answers have a few kilobytes, and thousands of those fit between
/// [`Pressure::NoBodies`] and [`Pressure::Full`].
const LARGE_ANSWER_BYTES: u64 = 32 * 1024;

/// Memory of an open connection, in bytes: the first read buffer of the HTTP library (8 KB), its
/// write buffer, the task, and the socket's structures in the kernel.
pub const CONNECTION_BYTES: u64 = 20 * 1024;

/// Memory of a request besides its body, in bytes: its head as read and as sent on, and its task.
pub const REQUEST_BYTES: u64 = 6 * 1024;

/// Period over which the rate of released memory is measured, in milliseconds.
const RATE_PERIOD_MS: u64 = 500;

/// Bounds of the time after which a caller should retry, in milliseconds. Callers that wait for
/// more than two seconds have no time left on most routes.
const RETRY_MS: (u64, u64) = (100, 2_000);

/// What memory is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Use {
    /// Connections of callers and to endpoints, and what `control` keeps of the fleet.
    Connections,
    /// Heads and bodies of requests.
    Requests,
    /// Answers that their callers have not taken, and room reserved for those to come.
    Answers,
}

impl Use {
    /// All uses.
    pub const ALL: [Self; 3] = [Self::Connections, Self::Requests, Self::Answers];

    /// Name in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Requests => "requests",
            Self::Answers => "answers",
        }
    }
}

/// How full the budget is, and what the instance therefore does not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Pressure {
    /// Everything is served.
    #[default]
    None,
    /// No further requests of a connection are begun before the earlier ones are answered.
    NoReadAhead,
    /// In addition, no bodies are read.
    NoBodies,
    /// In addition, no requests are accepted.
    Full,
}

impl Pressure {
    /// Name in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::NoReadAhead => "no_read_ahead",
            Self::NoBodies => "no_bodies",
            Self::Full => "full",
        }
    }

    /// Number of the level in metrics.
    #[must_use]
    pub const fn level(self) -> u8 {
        match self {
            Self::None => 0,
            Self::NoReadAhead => 1,
            Self::NoBodies => 2,
            Self::Full => 3,
        }
    }
}

/// Memory that callers' traffic may use, and what it uses.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    limit: u64,
    used: [u64; Use::ALL.len()],
    /// Bytes released in the present period, and its beginning.
    released: (u64, Mono),
    /// Bytes released in the period before.
    released_before: u64,
}

impl MemoryBudget {
    /// Budget of `percent` of a machine's memory.
    #[must_use]
    pub const fn new(memory_mb: u64, percent: u8) -> Self {
        Self {
            limit: memory_mb.saturating_mul(MB) / 100 * percent as u64,
            used: [0; Use::ALL.len()],
            released: (0, Mono(0)),
            released_before: 0,
        }
    }

    /// Bytes that may be used.
    #[must_use]
    pub const fn limit(&self) -> u64 {
        self.limit
    }

    /// Bytes in use for one purpose.
    #[must_use]
    pub const fn used_for(&self, purpose: Use) -> u64 {
        self.used[purpose as usize]
    }

    /// Bytes in use.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.used.iter().sum()
    }

    /// How full the budget is.
    #[must_use]
    pub fn pressure(&self) -> Pressure {
        let used = self.used();
        if used >= self.part(FULL_PERCENT) {
            Pressure::Full
        } else if used >= self.part(NO_BODIES_PERCENT) {
            Pressure::NoBodies
        } else if used >= self.part(NO_READ_AHEAD_PERCENT) {
            Pressure::NoReadAhead
        } else {
            Pressure::None
        }
    }

    /// Charges memory that is in use in any case.
    pub const fn charge(&mut self, purpose: Use, bytes: u64) {
        let used = &mut self.used[purpose as usize];
        *used = used.saturating_add(bytes);
    }

    /// Charges memory for a body, if it leaves the budget below [`Pressure::Full`].
    ///
    /// Failure guarded against: one long body takes the room that answers of accepted requests
    /// need, or what is left to other callers.
    #[must_use]
    pub fn try_charge_body(&mut self, bytes: u64) -> bool {
        self.try_charge(Use::Requests, bytes, self.part(FULL_PERCENT))
    }

    /// Reserves room for the usual answer of a request that is not sent yet.
    #[must_use]
    pub fn try_reserve(&mut self, bytes: u64) -> bool {
        let limit = if bytes > LARGE_ANSWER_BYTES {
            self.part(NO_BODIES_PERCENT)
        } else {
            self.limit
        };
        self.try_charge(Use::Answers, bytes, limit)
    }

    /// Charges memory for an answer that is being read, if the whole budget has room.
    #[must_use]
    pub fn try_charge_answer(&mut self, bytes: u64) -> bool {
        self.try_charge(Use::Answers, bytes, self.limit)
    }

    fn try_charge(&mut self, purpose: Use, bytes: u64, limit: u64) -> bool {
        if self.used().saturating_add(bytes) > limit {
            return false;
        }
        self.charge(purpose, bytes);
        true
    }

    /// Releases memory that was charged and never used, or that each request uses for a moment.
    ///
    /// Failure guarded against: thousands of refused requests make memory look as if it were
    /// released fast, and their callers come back at once.
    pub const fn cancel(&mut self, purpose: Use, bytes: u64) {
        let used = &mut self.used[purpose as usize];
        *used = used.saturating_sub(bytes);
    }

    /// Releases memory that was used.
    pub fn release(&mut self, now: Mono, purpose: Use, bytes: u64) {
        self.cancel(purpose, bytes);
        self.begin_period(now);
        self.released.0 = self.released.0.saturating_add(bytes);
    }

    /// Time after which `bytes` are expected to find room below [`Pressure::NoBodies`], in
    /// milliseconds, at the rate at which memory was released lately.
    #[must_use]
    pub fn retry_after_ms(&mut self, now: Mono, bytes: u64) -> u64 {
        self.begin_period(now);
        let wanted = self.used().saturating_add(bytes);
        let missing = wanted.saturating_sub(self.part(NO_BODIES_PERCENT));
        let (released, since) = self.released;
        let period_ms = RATE_PERIOD_MS + now.since(since);
        let released = released.saturating_add(self.released_before).max(1);
        let wait = missing as f64 * period_ms as f64 / released as f64;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "positive; a time that is too long is limited below"
        )]
        let wait_ms = wait as u64;
        wait_ms.clamp(RETRY_MS.0, RETRY_MS.1)
    }

    fn begin_period(&mut self, now: Mono) {
        let (released, since) = self.released;
        let passed = now.since(since);
        if passed < RATE_PERIOD_MS {
            return;
        }
        // What was released before a quiet time says nothing about the present.
        self.released_before = if passed < 2 * RATE_PERIOD_MS {
            released
        } else {
            0
        };
        self.released = (0, now);
    }

    const fn part(&self, percent: u64) -> u64 {
        self.limit / 100 * percent
    }
}
