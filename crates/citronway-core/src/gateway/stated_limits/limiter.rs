//! Rate limiters for the sends of all instances to endpoints that state a limit.

use indexmap::IndexMap;

use crate::gateway::cold::{self, LeaderStanding};
use crate::gateway::leader::LeaderSettings;
use crate::gateway::pace::EndpointTag;
use crate::time::Mono;

/// Lowest rate of sends to a limited endpoint, in requests a second.
///
/// An endpoint states the end of its limit in an answer, so it has to get requests also while its
/// limit is zero.
pub const MIN_PER_S: f64 = 0.25;

/// Time for which granted sends may be made, in milliseconds.
pub const GRANT_VALID_MS: u64 = 250;

/// Unused sends that may be made later, as a time at the limited rate, in seconds.
///
/// Instances ask again some time after a send has become free, and the rate is used in full only
/// if that send is not lost meanwhile.
const DEPTH_S: f64 = 0.5;

/// Shortest and longest time after which an instance asks again, in milliseconds, unless the next
/// send is free only later.
const BUSY_MS: (f64, f64) = (20.0, 1_000.0);

/// Instances that are asked to return for each send that becomes free. Some of them have no
/// request any more when they return.
const ASKERS_PER_SEND: f64 = 2.0;

/// Part of a limit that all instances use together while they share it without a leader. Their
/// sends are not coordinated, so several may coincide.
const LOCAL_PART: f64 = 0.5;

/// Longest time after the start of its turn in which an instance without a leader may send, in
/// milliseconds.
const TURN_MS: f64 = 300.0;

/// Time by which a leader without confirmation grants its whole share longer than a successor
/// waits, in milliseconds. Confirmations of a healthy leader are up to this late, and a successor
/// grants half at first.
const OVERLAP_MS: u64 = 1_000;

/// Number of tracked endpoints from which on idle ones are removed.
const REMEMBERED_ENDPOINTS: usize = 4_096;

/// Query of an instance for sends to a limited endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SendRequest {
    /// The endpoint.
    pub endpoint: EndpointTag,
    /// Limit that the endpoint stated, in requests a second.
    pub per_s: f64,
    /// Number of sends that the instance can use within [`GRANT_VALID_MS`].
    pub count: u32,
    /// Longest time that the first send can wait, in milliseconds.
    pub max_wait_ms: u64,
}

/// Answer to a [`SendRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendGrant {
    /// Requests may be sent.
    Granted {
        /// Number of requests.
        count: u32,
        /// Delay before the first one, in milliseconds.
        after_ms: u64,
    },
    /// No request may be sent now.
    Busy {
        /// Time in milliseconds after which the instance may ask again.
        for_ms: u64,
    },
    /// The asked instance cannot decide, since it does not lead or may have been replaced.
    Unavailable,
}

/// Share of a limit that a leader may grant now; `None` if it must grant nothing.
#[must_use]
pub fn leader_share(now: Mono, cfg: &LeaderSettings, standing: &LeaderStanding) -> Option<f64> {
    cold::share_halved_after(now, cfg, standing, cfg.connect_limit_ms + OVERLAP_MS)
}

#[derive(Debug, Clone, Copy)]
struct Pace {
    /// Time of the next send if all sends were evenly spaced, in milliseconds.
    due: f64,
    /// Time at which the next instance is asked to return, in milliseconds.
    next_return: f64,
}

/// Rate limiter by which the leader grants the sends of all instances.
///
/// An endpoint that becomes tracked gets evenly spaced sends at first. What a former leader has
/// just granted and what this one grants then exceed the limit by no more than [`DEPTH_S`] of it.
#[derive(Debug, Default)]
pub struct LimitedSendLimiter {
    paces: IndexMap<EndpointTag, Pace>,
}

impl LimitedSendLimiter {
    /// Decides for a leader that may grant this share of all sends; see [`leader_share`]. A granted
    /// send counts even if it is not made.
    pub fn request(&mut self, now: Mono, req: &SendRequest, share: Option<f64>) -> SendGrant {
        let Some(share) = share else {
            return SendGrant::Unavailable;
        };
        self.remove_idle(now);
        let now_ms = now.0 as f64;
        let per_s = req.per_s.max(MIN_PER_S) * share;
        let gap_ms = 1_000.0 / per_s;
        // A send is free from this long before its even time on.
        let early_ms = DEPTH_S * 1_000.0;
        let pace = self.paces.entry(req.endpoint).or_insert(Pace {
            due: now_ms + early_ms,
            next_return: now_ms,
        });
        // The time of the next send was calculated with another limit, which may have been lower.
        let latest = now_ms + early_ms + req.max_wait_ms as f64 + gap_ms;
        pace.due = pace.due.min(latest);
        let wait_ms = (pace.due - early_ms - now_ms).max(0.0);
        if wait_ms > req.max_wait_ms as f64 {
            return pace.busy(now_ms, wait_ms, gap_ms);
        }
        let due = pace.due.max(now_ms);
        let free = ((now_ms + early_ms - due) / gap_ms).max(0.0).floor() + 1.0;
        // Half of what is free is left for other instances.
        let count = f64::from(req.count).min(free / 2.0).max(1.0).floor();
        pace.due = due + count * gap_ms;
        SendGrant::Granted {
            count: whole(count).try_into().unwrap_or(u32::MAX),
            after_ms: whole(wait_ms.ceil()),
        }
    }

    fn remove_idle(&mut self, now: Mono) {
        if self.paces.len() >= REMEMBERED_ENDPOINTS {
            self.paces.retain(|_, pace| pace.due > now.0 as f64);
        }
    }
}

impl Pace {
    /// Asks an instance to return when a send becomes free for it.
    fn busy(&mut self, now_ms: f64, wait_ms: f64, gap_ms: f64) -> SendGrant {
        let return_at = self.next_return.max(now_ms + wait_ms);
        let for_ms = (return_at - now_ms).clamp(BUSY_MS.0, BUSY_MS.1.max(wait_ms));
        self.next_return = now_ms + for_ms + gap_ms / ASKERS_PER_SEND;
        SendGrant::Busy {
            for_ms: whole(for_ms.ceil()),
        }
    }
}

/// An instance's share of limits while no leader grants sends.
#[derive(Debug, Default)]
pub struct LocalShare {
    limiter: LimitedSendLimiter,
    /// Number of the last turn that was used, by endpoint.
    turns: IndexMap<EndpointTag, u64>,
}

impl LocalShare {
    /// Decides on one send of the instance with this rank, one of `instances`.
    ///
    /// Where the share is below one send in [`TURN_MS`], the instance may send in turns. A turn
    /// that is not used is lost: hundreds of instances that each had one send left could otherwise
    /// make them all at once.
    pub fn request(
        &mut self,
        now: Mono,
        req: &SendRequest,
        rank: u64,
        instances: usize,
    ) -> SendGrant {
        let share = LOCAL_PART / instances.max(1) as f64;
        let gap_ms = 1_000.0 / (req.per_s.max(MIN_PER_S) * share);
        if gap_ms <= TURN_MS {
            return self.limiter.request(now, req, Some(share));
        }
        let tag = req.endpoint.0.to_le_bytes();
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&tag, rank);
        let phase = hash as f64 / u64::MAX as f64;
        let turns = now.0 as f64 / gap_ms + phase;
        let turn = whole(turns);
        let since_ms = turns.fract() * gap_ms;
        let is_used = self.turns.get(&req.endpoint) == Some(&turn);
        if since_ms < TURN_MS && !is_used {
            self.turns.insert(req.endpoint, turn);
            return SendGrant::Granted {
                count: 1,
                after_ms: 0,
            };
        }
        SendGrant::Busy {
            for_ms: whole((gap_ms - since_ms).ceil()),
        }
    }
}

fn whole(value: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "times and counts are positive and far below the range"
    )]
    let whole = value as u64;
    whole
}
