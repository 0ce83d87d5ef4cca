//! Leader election.
//!
//! A row in the store names the leader. Another instance replaces the row by a conditional write
//! when the leader is silent or resigns; the store decides between concurrent claims.

use std::cmp::{Ordering, Reverse};

use serde::{Deserialize, Serialize};

use crate::gateway::leader::LeaderSettings;
use crate::gateway::pace::rank_of;
use crate::gateway::version::{Era, RowVersion};
use crate::ids::{InstanceName, Session, SessionId};
use crate::time::Mono;

/// Silence in milliseconds after which the leader is replaced.
///
/// It is ten reports of 100 ms: losing a few datagrams does not replace a leader, and the
/// successor still renews holds of 3.5 s well in time.
pub const LEADER_SILENT_MS: u64 = 1_000;

/// Delay in milliseconds between the claims of one candidate and the next.
///
/// A claim takes two calls to the store of about 5 ms each.
pub const CLAIM_STEP_MS: u64 = 120;

/// Time in milliseconds that a new leader has to report that it is fit.
///
/// Failure guarded against: the store comes back and one instance claims. The others still have
/// its last report, which says that it could not reach the store, and one after the other
/// claims too.
pub const TAKEOVER_GRACE_MS: u64 = 300;

/// Time in milliseconds after its start before a process may replace a silent leader.
///
/// A process that has just started has not yet had the time to receive reports.
pub const STARTUP_GRACE_MS: u64 = 700;

/// Delay in milliseconds of the weakest machine against the strongest before it claims to be
/// the first leader of all. Machines start within 300 ms of each other.
const WEAKEST_DELAY_MS: u64 = 600;

/// Part of a leader's work that a machine can do, in thousandths.
///
/// Failure guarded against: machines are unequal, and the first one to claim has a tenth of a
/// core and a link of 10 Mbit/s. A few changes a second fill the link, and the rows that it
/// relays reach no instance in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Strength(pub u16);

impl Strength {
    /// Strength of a machine that can do all of a leader's work.
    pub const FULL: Self = Self(1_000);

    /// Processor time that a leader of 400 endpoints and 90 instances uses, in cores.
    const CORES: f64 = 0.2;

    /// Bandwidth that it uses while a hot range is being split, in Mbit/s.
    const LINK_MBPS: f64 = 100.0;

    /// Strength of a machine with this number of cores and this bandwidth.
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

    /// Delay in milliseconds before the machine claims to be the first leader of all.
    const fn delay_ms(self) -> u64 {
        (Self::FULL.0 - self.0) as u64 * WEAKEST_DELAY_MS / Self::FULL.0 as u64
    }
}

/// The stored row that names the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderRow {
    /// Name of the leader's instance.
    pub instance: InstanceName,
    /// Session of its process.
    pub session: SessionId,
    /// Increases with each change of the leader.
    pub term: u64,
    /// Former leaders that may still act because they do not know of this one.
    pub former: Vec<FormerLeader>,
    /// Version of the row.
    pub version: RowVersion,
    /// Era of the store in which it was elected; `None` in rows of releases that know no era.
    pub era: Option<Era>,
    /// Lowest fence of this era; `None` if no leader of an earlier era may act any more.
    pub first_fence: Option<u64>,
}

/// A former leader that may still act.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerLeader {
    /// Session of its process.
    pub session: Session,
    /// Time at which the last hold that it can have granted has ended, in milliseconds of the
    /// store's clock, the only clock that outlives all processes.
    pub free_at_ms: u64,
}

impl FormerLeader {
    /// Stands for all leaders of earlier eras of the store. Their rows may be lost, so that nobody
    /// knows which instances they are.
    #[must_use]
    pub fn of_earlier_eras(free_at_ms: u64) -> Self {
        Self {
            session: Session {
                instance: InstanceName::new(""),
                id: SessionId(0),
            },
            free_at_ms,
        }
    }

    /// Most leaders that may act beside the present one because of this entry. A leader of an earlier
    /// era may have been replaced in rows that are lost.
    #[must_use]
    pub fn most_leaders(&self) -> u32 {
        if self.is_of_earlier_eras() { 2 } else { 1 }
    }

    /// Whether this entry stands for all leaders of earlier eras.
    #[must_use]
    pub fn is_of_earlier_eras(&self) -> bool {
        self.session.instance.as_str().is_empty()
    }
}

/// State of another instance as this one knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerState {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Session of its process.
    pub session: SessionId,
    /// Time of its last report.
    pub heard: Mono,
    /// Time since which its reports have had the present values of `session`, `stopping` and
    /// `unfit`.
    pub since: Mono,
    /// Highest term of a leader that it knows.
    pub term: u64,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Whether it cannot lead: the store does not answer it, or no endpoint does.
    pub unfit: bool,
    /// Part of a leader's work that its machine can do.
    pub strength: Strength,
}

/// State on which an instance decides whether to claim leadership.
#[derive(Debug, Clone, Copy)]
pub struct ElectionView<'a> {
    /// Name of this instance.
    pub me: &'a InstanceName,
    /// Session of this process.
    pub session: SessionId,
    /// Time at which this process started.
    pub started: Mono,
    /// Whether this instance is stopping or cannot lead.
    pub unfit: bool,
    /// Part of a leader's work that this machine can do.
    pub strength: Strength,
    /// Highest known term of a leader.
    pub term: u64,
    /// Row that names the leader; `None` if there is none yet.
    pub row: Option<&'a LeaderRow>,
    /// Time at which this instance first saw the present leader in the row.
    pub row_seen: Mono,
    /// Other instances.
    pub peers: &'a [PeerState],
    /// Instances that claim first, in this order, as the last leader announced them. Empty in a
    /// small fleet.
    pub standbys: &'a [InstanceName],
    /// Number of instances, including this one.
    pub instances: usize,
    /// Whether there are too many instances for each to receive the reports of all.
    pub is_large_fleet: bool,
    /// The store came back from a copy, and no leader was elected since.
    pub restored: Option<RestoredView>,
}

/// What an instance knows of the return of the store from a copy.
#[derive(Debug, Clone, Copy)]
pub struct RestoredView {
    /// When this instance learnt of it.
    pub learnt_at: Mono,
    /// Whether this instance led when it learnt of it, and knows of no other leader.
    pub leads: bool,
}

/// Whether this instance should claim leadership now.
#[must_use]
pub fn should_claim(now: Mono, view: &ElectionView<'_>) -> bool {
    if view.unfit {
        return false;
    }
    if let Some(restored) = view.restored {
        return now >= claim_after_restore(now, view, restored);
    }
    let vacant_since = match view.row {
        // There is a leader, and its row has not arrived yet.
        None if view.term > 0 => return false,
        None => Some(view.started.plus(view.strength.delay_ms())),
        Some(row) => {
            let since = vacant_since(now, view, row);
            since.map(|since| since.max(view.row_seen.plus(TAKEOVER_GRACE_MS)))
        }
    };
    let Some(since) = vacant_since else {
        return false;
    };
    let steps = match view.row {
        // No instance knows of any other yet.
        None => rank_of(view.me) % FIRST_CLAIM_STEPS,
        Some(_) => rank(now, view),
    };
    now >= since.plus(steps * CLAIM_STEP_MS)
}

/// Time at which this instance claims after the store came back from a copy.
///
/// The leader until then goes first: the others cannot know that they have its last rows, and must
/// wait until all holds have ended.
fn claim_after_restore(now: Mono, view: &ElectionView<'_>, restored: RestoredView) -> Mono {
    if restored.leads {
        return restored.learnt_at;
    }
    let leader = view.row.and_then(|row| {
        let mut peers = view.peers.iter();
        peers.find(|peer| peer.instance == row.instance && peer.session == row.session)
    });
    let is_expected =
        leader.is_some_and(|peer| !peer.stopping && now.since(peer.heard) < LEADER_SILENT_MS);
    let first = if is_expected {
        LEADER_SILENT_MS
    } else {
        TAKEOVER_GRACE_MS
    };
    restored
        .learnt_at
        .plus(first + rank(now, view) * CLAIM_STEP_MS)
}

/// Time since which the leader in `row` does not work; `None` if it does.
fn vacant_since(now: Mono, view: &ElectionView<'_>, row: &LeaderRow) -> Option<Mono> {
    if row.instance == *view.me {
        // The row names this process or an earlier one of this instance. The earlier one has
        // ended, as this one has its address.
        return (row.session != view.session).then_some(view.started);
    }
    let Some(peer) = view.peers.iter().find(|peer| peer.instance == row.instance) else {
        return Some(view.started.plus(STARTUP_GRACE_MS)).filter(|end| *end <= now);
    };
    if peer.session != row.session || peer.stopping || peer.unfit {
        return Some(peer.since);
    }
    let silent_at = peer
        .heard
        .plus(LEADER_SILENT_MS)
        .max(view.started.plus(STARTUP_GRACE_MS));
    (silent_at <= now).then_some(silent_at)
}

/// Number of instances that watch the store while no leader relays its rows. The others wait.
///
/// The store may refuse one instance in three at the same time. A refused instance reports
/// itself unfit, and the next one watches instead.
const WATCHERS: u64 = 3;

/// Whether this instance watches the store because it is among the first to claim if the leader
/// does not return.
#[must_use]
pub fn watches_store(now: Mono, view: &ElectionView<'_>) -> bool {
    rank(now, view) < WATCHERS
}

/// Maximum number of standbys that the leader announces.
pub const MAX_STANDBYS: usize = 8;

/// Number of instances that claim in the same step where they do not know of each other.
///
/// Load: 295 instances restart together after a power loss and have received no reports yet.
/// Simultaneous claims of all keep the store busy for 1.5 s with writes of which one succeeds.
const CLAIMS_PER_STEP: u64 = 4;

/// Number of steps over which equally strong machines spread their claims to be the first leader
/// of all.
///
/// Load: all machines start within 0.3 s; of 21 simultaneous claims the store refused 20. An
/// instance that knows of a leader does not claim.
pub const FIRST_CLAIM_STEPS: u64 = 6;

/// Number of steps that this instance waits for others to claim before it.
fn rank(now: Mono, view: &ElectionView<'_>) -> u64 {
    // It is the restarted leader: it knows that the process named in the row has ended.
    if view.row.is_some_and(|row| row.instance == *view.me) {
        return 0;
    }
    if !view.is_large_fleet {
        return candidates_before(now, view);
    }
    if let Some(position) = view.standbys.iter().position(|standby| standby == view.me) {
        return position as u64;
    }
    // The standbys claim first, then machines of full strength; all others are spread over the
    // following steps.
    let strong = view.strength == Strength::FULL;
    let steps = (view.instances as u64).div_ceil(CLAIMS_PER_STEP);
    let spread = rank_of(view.me) % if strong { CLAIMS_PER_STEP } else { steps };
    let first = if strong { 0 } else { CLAIMS_PER_STEP };
    view.standbys.len() as u64 + first + spread
}

/// Number of fit instances with recent reports that claim before this one.
fn candidates_before(now: Mono, view: &ElectionView<'_>) -> u64 {
    let before = view.peers.iter().filter(|peer| {
        let heard = now.since(peer.heard) < LEADER_SILENT_MS;
        let goes_first = match peer.strength.cmp(&view.strength) {
            Ordering::Greater => true,
            Ordering::Equal => peer.instance < *view.me,
            Ordering::Less => false,
        };
        heard && !peer.stopping && !peer.unfit && goes_first
    });
    before.count() as u64
}

/// Instances that claim first when the leader falls silent: the strongest fit ones with recent
/// reports, in order.
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

/// Former leaders that may still act after the leader in `row` is replaced.
///
/// `store_ms` is the time of the replacement by the store's clock. A leader can act for at most
/// `wait_ms` after its replacement.
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
    // A former leader that knows of the leader in `row` has stopped. The leader in `row`
    // itself may go on.
    let remaining = row.former.iter().filter(|former| {
        former.free_at_ms > store_ms && !has_stopped(&former.session, row.term, peers)
    });
    let mut former: Vec<_> = remaining.cloned().collect();
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

/// Time at which the last hold granted by `former` leaders has ended, for a leader elected at
/// `now`.
///
/// `store_ms` is the time of the store's clock at `now`, or `None` if it is not known. `claimed`
/// is the earliest time at which the claim was sent.
///
/// Failure guarded against: the answer to a claim is lost, and the store applies the claim
/// seconds later. Until then the store confirms the former leader, although the end of its
/// holds was calculated from the time of sending.
#[must_use]
pub fn former_holds_until(
    now: Mono,
    cfg: &LeaderSettings,
    former: &[FormerLeader],
    store_ms: Option<u64>,
    claimed: Mono,
) -> Mono {
    let Some(free_at_ms) = former.iter().map(|former| former.free_at_ms).max() else {
        // All former leaders have ended; the last hold was granted before now.
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

/// Whether a process is known to have ended because its instance has restarted.
#[must_use]
pub fn has_ended(session: &Session, peers: &[PeerState]) -> bool {
    peers
        .iter()
        .any(|peer| peer.instance == session.instance && peer.session != session.id)
}

/// Whether a former leader has ended, or knows of `term` and therefore grants no holds.
#[must_use]
pub fn has_stopped(session: &Session, term: u64, peers: &[PeerState]) -> bool {
    has_ended(session, peers)
        || peers
            .iter()
            .any(|peer| peer.instance == session.instance && peer.term >= term)
}
