//! How long ago the configuration that an instance goes by was confirmed to be the newest one.
//!
//! A relayed row, a copy and a poll can each be lost without a trace, so that no news of a change is
//! no evidence that there was none. Whoever reads the store confirms that it has nothing newer, and
//! the confirmation travels with reports, totals and copies. An instance whose confirmation grows
//! old fetches the configuration by other ways, and meanwhile gives no answer that a newer version
//! may contradict.

use crate::gateway::version::RowVersion;
use crate::time::Mono;

/// Pauses between the attempts to fetch an unconfirmed configuration, in milliseconds; the last one
/// is repeated, and the first one while another instance is known to have a newer version.
const FETCH_PAUSES_MS: [u64; 4] = [500, 500, 1_000, 4_000];

/// Shortest pause between two attempts, which a version that was not known before ends, in
/// milliseconds.
const SHORTEST_PAUSE_MS: u64 = 100;

/// Number of attempts without a confirmation after which the store counts as unreachable for all
/// instances, as long as none of them is known to have a newer version.
const ATTEMPTS_UNTIL_UNREACHABLE: usize = 3;

/// Statement that the store had no newer row of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// Version of the newest row.
    pub version: RowVersion,
    /// Time since the store was in that state, in milliseconds.
    pub age_ms: u32,
}

/// What an instance may answer by the configuration that it has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trust {
    /// When the configuration was last confirmed; `None` if it never was.
    pub confirmed_at: Option<Mono>,
    /// Time until which a request without a route may be rejected for good.
    pub reject_until: Mono,
    /// Time until which requests may be served.
    pub serve_until: Mono,
}

impl Trust {
    /// Trust of an instance that has just started: nothing is confirmed, and no other version is
    /// known.
    pub const UNCONFIRMED: Self = Self {
        confirmed_at: None,
        reject_until: Mono(0),
        serve_until: Mono(u64::MAX),
    };
}

/// Version that other instances say they have and this one lacks.
#[derive(Debug, Clone, Copy)]
struct Claim {
    version: RowVersion,
    /// When this version was first heard of.
    heard_at: Mono,
    /// Since when this instance has lacked a version.
    behind_since: Mono,
}

/// Tracks how old the confirmation of an instance's configuration is.
#[derive(Debug)]
pub struct ConfigFreshness {
    /// Age of a confirmation from which other ways are tried, in milliseconds.
    fetch_ms: u64,
    /// Age of a confirmation up to which the configuration is relied on, in milliseconds.
    trust_ms: u64,
    /// Version of the newest row that this instance has.
    newest: RowVersion,
    /// Version up to which this instance has all rows.
    known: RowVersion,
    confirmed_at: Option<Mono>,
    claimed: Option<Claim>,
    /// A claimed version that the store itself did not have.
    refuted: Option<RowVersion>,
    attempts: usize,
    last_attempt_at: Mono,
    next_attempt_at: Mono,
}

impl ConfigFreshness {
    /// Nothing is known yet; a configuration has to be in force `apply_ms` milliseconds after its
    /// acknowledgement.
    #[must_use]
    pub const fn new(apply_ms: u64) -> Self {
        Self {
            fetch_ms: apply_ms / 2,
            trust_ms: apply_ms / 5 * 4,
            newest: RowVersion::NONE,
            known: RowVersion::NONE,
            confirmed_at: None,
            claimed: None,
            refuted: None,
            attempts: 0,
            last_attempt_at: Mono(0),
            next_attempt_at: Mono(0),
        }
    }

    /// Records that all rows up to the version `position` were taken, of which `newest` is the last
    /// one that changed a row.
    pub fn advance(&mut self, newest: RowVersion, position: RowVersion) {
        self.newest = self.newest.max(newest);
        self.known = self.known.max(newest).max(position);
        if self
            .claimed
            .is_some_and(|claim| claim.version <= self.known)
        {
            self.claimed = None;
        }
    }

    /// Records that the store answered this instance itself, and had nothing newer at `at`.
    pub fn confirm_by_store(&mut self, now: Mono, at: Mono) {
        if let Some(claim) = self.claimed
            && claim.heard_at <= at
        {
            self.refuted = Some(claim.version);
            self.claimed = None;
        }
        self.confirm_at(now, at);
    }

    /// Records a confirmation of another instance that is `delay_ms` milliseconds older than it
    /// says, at most.
    pub fn hear(&mut self, now: Mono, heard: Confirmation, delay_ms: u64) {
        if heard.version > self.known {
            self.observe_claim(now, heard.version);
            return;
        }
        let age_ms = u64::from(heard.age_ms).saturating_add(delay_ms);
        self.confirm_at(now, now.minus(age_ms));
    }

    fn confirm_at(&mut self, now: Mono, at: Mono) {
        if self.known == RowVersion::NONE || self.confirmed_at.is_some_and(|known| known >= at) {
            return;
        }
        self.confirmed_at = Some(at);
        if now.since(at) < self.fetch_ms && self.claimed.is_none() {
            self.attempts = 0;
            self.next_attempt_at = Mono(0);
        }
    }

    /// Records the newest version that other instances claim to have at present.
    pub fn observe_claim(&mut self, now: Mono, version: RowVersion) {
        if version <= self.known || self.refuted == Some(version) {
            self.claimed = None;
            return;
        }
        let claim = self.claimed.unwrap_or(Claim {
            version,
            heard_at: now,
            behind_since: now,
        });
        let is_known = self.claimed.is_some() && claim.version == version;
        let heard_at = if is_known { claim.heard_at } else { now };
        if !is_known {
            let earliest = self.last_attempt_at.plus(SHORTEST_PAUSE_MS);
            self.next_attempt_at = self.next_attempt_at.min(earliest);
        }
        self.claimed = Some(Claim {
            version,
            heard_at,
            ..claim
        });
    }

    /// Whether an attempt to fetch the configuration is due, which then counts as begun. Where no
    /// newer version is known, attempts begin `spread_ms` milliseconds later, so that one instance
    /// may ask for several.
    pub fn begin_attempt(&mut self, now: Mono, spread_ms: u64) -> bool {
        if self.known == RowVersion::NONE || now < self.next_attempt_at {
            return false;
        }
        let is_due = match self.claimed {
            Some(_) => true,
            None => self
                .confirmed_at
                .is_none_or(|at| now.since(at) >= self.fetch_ms + spread_ms),
        };
        if is_due {
            let last = FETCH_PAUSES_MS.len() - 1;
            let pause_ms = match self.claimed {
                Some(_) => FETCH_PAUSES_MS[0],
                None => FETCH_PAUSES_MS[self.attempts.min(last)],
            };
            self.last_attempt_at = now;
            self.next_attempt_at = now.plus(pause_ms);
            self.attempts += 1;
        }
        is_due
    }

    /// Whether attempts to have the configuration confirmed are under way.
    #[must_use]
    pub const fn is_fetching(&self) -> bool {
        self.attempts > 0
    }

    /// Number of attempts since the configuration was last confirmed in time.
    #[must_use]
    pub const fn attempts(&self) -> usize {
        self.attempts
    }

    /// Version that another instance has and this one lacks; `None` if there is none.
    #[must_use]
    pub fn missing(&self) -> Option<RowVersion> {
        self.claimed.map(|claim| claim.version)
    }

    /// The confirmation to pass on; `None` if there is none.
    #[must_use]
    pub fn confirmation(&self, now: Mono) -> Option<Confirmation> {
        let at = self.confirmed_at?;
        Some(Confirmation {
            version: self.newest,
            age_ms: u32::try_from(now.since(at)).unwrap_or(u32::MAX),
        })
    }

    /// What may be answered by the configuration at present.
    ///
    /// Where the store is unreachable for all, there is nobody to confirm it, and service goes on.
    #[must_use]
    pub fn trust(&self) -> Trust {
        let always = Mono(u64::MAX);
        let relied_on_until = self
            .confirmed_at
            .map_or(Mono(0), |at| at.plus(self.trust_ms));
        let (reject_until, serve_until) = match self.claimed {
            Some(claim) => {
                let fetched_by = claim.behind_since.plus(self.fetch_ms);
                (Mono(0), relied_on_until.max(fetched_by))
            }
            None if self.attempts >= ATTEMPTS_UNTIL_UNREACHABLE => (always, always),
            None => (relied_on_until, always),
        };
        Trust {
            confirmed_at: self.confirmed_at,
            reject_until,
            serve_until,
        }
    }

    /// Interval at which whoever reads the store for the others must read it, in milliseconds.
    #[must_use]
    pub const fn read_interval_ms(&self) -> u64 {
        self.fetch_ms / 2
    }
}
