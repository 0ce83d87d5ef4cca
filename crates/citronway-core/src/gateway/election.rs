//! Which instance is the leader.
//!
//! A row in the store names it. It is replaced by a conditional write when the
//! leader is silent or gives the duty up; the store decides between claimants.

use std::cmp::{Ordering, Reverse};

use serde::{Deserialize, Serialize};

use crate::gateway::leader::LeaderSettings;
use crate::gateway::pace::rank_of;
use crate::ids::{InstanceName, Session, SessionId, Version};
use crate::time::Mono;

/// Silence after which the leader is replaced, in milliseconds.
///
/// Ten reports of 100 ms: loss of a few datagrams replaces nobody, and the first
/// renewal of the successor still comes well within a hold of 3.5 s.
pub const LEADER_SILENT_MS: u64 = 1_000;

/// How much later each instance claims than the one before it, in milliseconds.
///
/// A claim takes two calls of about 5 ms at the store.
pub const CLAIM_STEP_MS: u64 = 120;

/// Time that a new leader is given to say that it is fit, in milliseconds.
///
/// Failure: the store comes back, one instance claims, and the others still have its
/// report of a moment ago, by which it could not reach the store; each claims in turn.
pub const TAKEOVER_GRACE_MS: u64 = 300;

/// Time after the start before a silent leader is replaced, in milliseconds.
///
/// A process that has just started has not yet had the time to hear anyone.
pub const STARTUP_GRACE_MS: u64 = 700;

/// How much later the weakest machine claims a duty that nobody ever had than the
/// strongest, in milliseconds: machines start within 300 ms of each other.
const WEAKNESS_MS: u64 = 600;

/// Part of a leader's work that a machine could do, in thousandths.
///
/// Failure: machines are unequal, and the first to claim has a tenth of a core and a link
/// of 10 Mbit/s, which a few changes a second fill; its rows reach nobody in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Strength(pub u16);

impl Strength {
    /// All that a leader needs.
    pub const FULL: Self = Self(1_000);

    /// Processor that a leader of 400 endpoints and 90 instances takes, in cores.
    const CORES: f64 = 0.2;

    /// Link that it takes while a hot range is cut up, in Mbit/s.
    const LINK_MBPS: f64 = 100.0;

    /// Of a machine with so many cores and such a link.
    #[must_use]
    pub fn of(cores: f64, link_mbps: f64) -> Self {
        let part = (cores / Self::CORES).min(link_mbps / Self::LINK_MBPS);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between 0 and 1,000"
        )]
        let thousandths = (part.clamp(0.0, 1.0) * f64::from(Self::FULL.0)) as u16;
        Self(thousandths)
    }

    /// How much later than the strongest it claims what nobody ever had.
    const fn delay_ms(self) -> u64 {
        (Self::FULL.0 - self.0) as u64 * WEAKNESS_MS / Self::FULL.0 as u64
    }
}

/// The stored row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderRow {
    /// Instance that keeps.
    pub instance: InstanceName,
    /// Start of its process.
    pub session: SessionId,
    /// Grows with each change of the leader.
    pub term: u64,
    /// Earlier leaders that may still be at work without knowing of this one.
    pub former: Vec<FormerLeader>,
    /// Version of the row.
    pub version: Version,
}

/// An earlier leader that may still be at work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerLeader {
    /// Which process.
    pub session: Session,
    /// When the last hold that it can have given has ended, in milliseconds of the
    /// store's clock. That clock is the only one that outlives all processes.
    pub free_at_ms: u64,
}

/// What an instance knows of another when it thinks of claiming.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerState {
    /// Which instance.
    pub instance: InstanceName,
    /// Start of its process.
    pub session: SessionId,
    /// When it was last heard.
    pub heard: Mono,
    /// Since when it is heard as it is now: this start, stopping or not, fit or not.
    pub since: Mono,
    /// Highest term of a leader that it knows.
    pub term: u64,
    /// It is about to stop.
    pub stopping: bool,
    /// It cannot do a leader's work: no store, or no endpoint answers.
    pub unfit: bool,
    /// How much of a leader's work its machine could do.
    pub strength: Strength,
}

/// What decides whether to claim.
#[derive(Debug, Clone, Copy)]
pub struct ElectionView<'a> {
    /// This instance.
    pub me: &'a InstanceName,
    /// Start of this process.
    pub session: SessionId,
    /// When this process started.
    pub started: Mono,
    /// This instance is stopping or could not do the work.
    pub unfit: bool,
    /// How much of a leader's work this machine could do.
    pub strength: Strength,
    /// Highest term of a leader that was heard of.
    pub term: u64,
    /// The row, if there is one.
    pub row: Option<&'a LeaderRow>,
    /// When the present leader was first seen in the row.
    pub row_seen: Mono,
    /// Other instances.
    pub peers: &'a [PeerState],
    /// Who claims first, as the last leader told; none in a fleet where all tell all.
    pub standbys: &'a [InstanceName],
    /// Instances that there are, this one included.
    pub instances: usize,
    /// There are too many for all to hear all.
    pub is_large_fleet: bool,
}

/// Whether this instance should claim the duty now.
#[must_use]
pub fn should_claim(now: Mono, at: &ElectionView<'_>) -> bool {
    if at.unfit {
        return false;
    }
    let vacant_since = match at.row {
        // Someone has it, and the row is on its way.
        None if at.term > 0 => return false,
        None => Some(at.started.plus(at.strength.delay_ms())),
        Some(row) => {
            let since = vacant_since(now, at, row);
            since.map(|since| since.max(at.row_seen.plus(TAKEOVER_GRACE_MS)))
        }
    };
    let Some(since) = vacant_since else {
        return false;
    };
    let steps = match at.row {
        // Nobody has heard of anybody.
        None => rank_of(at.me) % FIRST_CLAIM_STEPS,
        Some(_) => rank(now, at),
    };
    now >= since.plus(steps * CLAIM_STEP_MS)
}

/// Since when the leader does not do its work, if it does not.
fn vacant_since(now: Mono, at: &ElectionView<'_>, row: &LeaderRow) -> Option<Mono> {
    if row.instance == *at.me {
        // An earlier start of this process; it holds this instance's address, so
        // that one has ended.
        return (row.session != at.session).then_some(at.started);
    }
    let Some(peer) = at.peers.iter().find(|peer| peer.instance == row.instance) else {
        return Some(at.started.plus(STARTUP_GRACE_MS)).filter(|end| *end <= now);
    };
    if peer.session != row.session || peer.stopping || peer.unfit {
        return Some(peer.since);
    }
    let silent_at = peer
        .heard
        .plus(LEADER_SILENT_MS)
        .max(at.started.plus(STARTUP_GRACE_MS));
    (silent_at <= now).then_some(silent_at)
}

/// Instances that watch the store while nobody passes its rows on; the others rest.
///
/// One in three may be refused by the store at the same time. Whoever is says that it is
/// not fit, and the next one watches.
const WATCHERS: u64 = 3;

/// Whether this instance is to be among the first to claim if the leader does not return.
#[must_use]
pub fn watches_store(now: Mono, at: &ElectionView<'_>) -> bool {
    rank(now, at) < WATCHERS
}

/// Most instances that the leader names as those that claim first.
pub const MAX_STANDBYS: usize = 8;

/// Instances that claim in the same step where they do not know of each other.
///
/// Load: 295 instances lose power together and hear nobody yet. Claims of all at once keep
/// the store busy for 1.5 s with writes of which one succeeds.
const CLAIMS_A_STEP: u64 = 4;

/// Steps over which equally strong machines claim a duty that nobody ever had.
///
/// Load: all machines start within 0.3 s; of 21 that claimed at once, 20 were refused by
/// the store. Whoever hears of a leader does not claim.
pub const FIRST_CLAIM_STEPS: u64 = 6;

/// How many steps this instance waits for others that claim before it.
fn rank(now: Mono, at: &ElectionView<'_>) -> u64 {
    // It has the leader's address and knows that the start before it has ended.
    if at.row.is_some_and(|row| row.instance == *at.me) {
        return 0;
    }
    if !at.is_large_fleet {
        return heard_before(now, at);
    }
    if let Some(place) = at.standbys.iter().position(|standby| standby == at.me) {
        return place as u64;
    }
    // Strong machines first, all others spread over the steps after them.
    let strong = at.strength == Strength::FULL;
    let steps = (at.instances as u64).div_ceil(CLAIMS_A_STEP);
    let spread = rank_of(at.me) % if strong { CLAIMS_A_STEP } else { steps };
    let first = if strong { 0 } else { CLAIMS_A_STEP };
    at.standbys.len() as u64 + first + spread
}

/// How many fit instances that are heard go before this one.
fn heard_before(now: Mono, at: &ElectionView<'_>) -> u64 {
    let before = at.peers.iter().filter(|peer| {
        let heard = now.since(peer.heard) < LEADER_SILENT_MS;
        let goes_first = match peer.strength.cmp(&at.strength) {
            Ordering::Greater => true,
            Ordering::Equal => peer.instance < *at.me,
            Ordering::Less => false,
        };
        heard && !peer.stopping && !peer.unfit && goes_first
    });
    before.count() as u64
}

/// Who is to claim first when the leader falls silent: the strongest that are heard and fit.
#[must_use]
pub fn standbys(now: Mono, peers: &[PeerState]) -> Vec<InstanceName> {
    let fit = peers.iter().filter(|peer| {
        let heard = now.since(peer.heard) < LEADER_SILENT_MS;
        heard && !peer.stopping && !peer.unfit
    });
    let mut fit: Vec<_> = fit.collect();
    fit.sort_by_key(|peer| (Reverse(peer.strength), &peer.instance));
    fit.truncate(MAX_STANDBYS);
    fit.into_iter().map(|peer| peer.instance.clone()).collect()
}

/// Earlier leaders that may still be at work after the leader in `row` is replaced at
/// `store_ms` of the store's clock; each is to be waited for `wait_ms` at most.
#[must_use]
pub fn former_leaders_after(
    row: Option<&LeaderRow>,
    peers: &[PeerState],
    store_ms: u64,
    wait_ms: u64,
) -> Vec<FormerLeader> {
    let Some(row) = row else {
        return Vec::new();
    };
    // Whoever knows of the present leader has stopped; the leader itself may go on.
    let earlier = row.former.iter().filter(|former| {
        former.free_at_ms > store_ms && !has_stopped(&former.session, row.term, peers)
    });
    let mut former: Vec<_> = earlier.cloned().collect();
    let last = Session {
        instance: row.instance.clone(),
        id: row.session,
    };
    if !has_ended(&last, peers) {
        former.push(FormerLeader {
            session: last,
            free_at_ms: store_ms + wait_ms,
        });
    }
    former
}

/// When the last hold of earlier leaders has ended, for one that takes office at `now`;
/// `store_ms` is the store's clock by then, if it is known, and `claimed` when the claim was
/// sent at the earliest.
///
/// Failure guarded against: the answer to a claim is lost and the store takes it seconds
/// later. Until then it confirms the earlier leader, whose end was reckoned from the sending.
#[must_use]
pub fn former_holds_until(
    now: Mono,
    cfg: &LeaderSettings,
    former: &[FormerLeader],
    store_ms: Option<u64>,
    claimed: Mono,
) -> Mono {
    let Some(free_at_ms) = former.iter().map(|former| former.free_at_ms).max() else {
        // All have ended; the last hold was given before.
        return cfg.latest_hold_end(now);
    };
    let longest = cfg.former_leader_limits(now).hold_until;
    let Some(store_ms) = store_ms else {
        return longest;
    };
    let late_ms = now.since(claimed);
    let left_ms = free_at_ms.saturating_sub(store_ms) + late_ms;
    longest.min(now.plus(left_ms))
}

/// Whether a process is known to have ended: its instance has started anew.
#[must_use]
pub fn has_ended(session: &Session, peers: &[PeerState]) -> bool {
    peers
        .iter()
        .any(|peer| peer.instance == session.instance && peer.session != session.id)
}

/// Whether an earlier leader has ended or knows of `term` and so gives no holds.
#[must_use]
pub fn has_stopped(session: &Session, term: u64, peers: &[PeerState]) -> bool {
    has_ended(session, peers)
        || peers
            .iter()
            .any(|peer| peer.instance == session.instance && peer.term >= term)
}
