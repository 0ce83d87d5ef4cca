//! How far each endpoint may be loaded now, by how long it has been well.
//!
//! An endpoint that joins or returns gets shards only after a dwell time and
//! then gradually. Each loss within [`LOSS_WINDOW_MS`] doubles the dwell time,
//! so that a flapping endpoint does not draw shards that it soon loses again.

use indexmap::{IndexMap, IndexSet};

use super::wanted::{Member, MemberState, WantedGroup};
use crate::ids::{EndpointName, ZoneName};
use crate::time::Mono;

/// Time that an endpoint must have been well before it gets shards, in milliseconds.
pub const DWELL_MS: u64 = 2_000;

/// Time from the end of the dwell until the whole capacity counts, in milliseconds.
pub const RAMP_MS: u64 = 30_000;

/// Losses older than this are forgotten, in milliseconds.
pub const LOSS_WINDOW_MS: u64 = 600_000;

/// A loss that was not reported again for this long may be over, in
/// milliseconds; dispatchers repeat it each second.
pub const LOST_KEPT_MS: u64 = 3_000;

/// Most times that the dwell time is doubled.
const MOST_DOUBLINGS: u32 = 6;

/// The ramp goes up by this many hundredths at a time, so that plans do not
/// change with every millisecond.
const RAMP_STEP: u64 = 10;

/// Share of its capacity that a cold endpoint takes, in hundredths.
const COLD_USABLE: u32 = 50;

/// An endpoint as the plan sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Standing {
    /// Name.
    pub endpoint: EndpointName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Orders that it runs at once.
    pub slots: u32,
    /// Its state.
    pub state: MemberState,
    /// Share of its capacity that it may be given load for, in hundredths.
    pub usable: u32,
    /// Losses within [`LOSS_WINDOW_MS`].
    pub losses: u32,
}

impl Standing {
    /// Its whole capacity, in thousandths of a slot.
    #[must_use]
    pub fn capacity(&self) -> u64 {
        u64::from(self.slots) * 1000
    }

    /// Capacity that it may be given load for, in thousandths of a slot.
    #[must_use]
    pub fn open(&self) -> u64 {
        self.capacity() * u64::from(self.usable) / 100
    }
}

/// What is remembered of each endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MemberBook {
    entries: IndexMap<EndpointName, Entry>,
    begun: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Entry {
    state: MemberState,
    /// When it began to take shards; `None` if it was there from the start.
    since: Option<Mono>,
    losses: Vec<Mono>,
    /// Last report of a loss that is not over.
    reported_lost: Option<Mono>,
}

impl MemberBook {
    /// Takes in the present members of all groups.
    ///
    /// Those of the first call are taken for well: a new planner must not treat
    /// a whole running service as just joined.
    pub fn observe(&mut self, groups: &[WantedGroup], now: Mono) {
        for group in groups {
            for member in &group.members {
                self.observe_member(member, now);
            }
        }
        self.begun = true;
    }

    /// A dispatcher reports the endpoint lost. It stays so until [`Self::seen`].
    pub fn lost(&mut self, endpoint: &EndpointName, now: Mono) {
        let Some(entry) = self.entries.get_mut(endpoint) else {
            return;
        };
        if entry.reported_lost.replace(now).is_none() {
            entry.note_loss(now);
        }
    }

    /// A dispatcher reports load of the endpoint, and no loss any more, so it
    /// answers again.
    ///
    /// Failure: the dispatcher of a lost endpoint reports its load as well; the
    /// endpoint would count as lost anew each second, and be kept from keys long
    /// after its return. Guard: the loss must not have been reported lately.
    pub fn seen(&mut self, endpoint: &EndpointName, now: Mono) {
        let Some(entry) = self.entries.get_mut(endpoint) else {
            return;
        };
        let over = entry
            .reported_lost
            .is_some_and(|at| now.since(at) >= LOST_KEPT_MS);
        if !over {
            return;
        }
        entry.reported_lost = None;
        entry.since = Some(now);
    }

    /// This planner takes over from another one, with these endpoints in use.
    ///
    /// Failure: the predecessor knew that an endpoint is lost and had moved its
    /// keys away; the successor was never told, sees an idle endpoint and moves
    /// keys to it, where nobody serves them. Guard: an endpoint that owns
    /// nothing counts as just joined, and its dispatcher repeats that it is
    /// lost within the dwell time. What this planner was told of losses before
    /// may be just as old, so it is dropped.
    pub fn take_over(&mut self, in_use: &IndexSet<EndpointName>, now: Mono) {
        for (endpoint, entry) in &mut self.entries {
            entry.reported_lost = None;
            if !in_use.contains(endpoint) {
                entry.since = Some(now);
            }
        }
    }

    /// How far the endpoint may be loaded now.
    #[must_use]
    pub fn standing(&self, member: &Member, now: Mono) -> Standing {
        let entry = self.entries.get(&member.endpoint);
        let reported_lost = entry.is_some_and(|entry| entry.reported_lost.is_some());
        let state = if reported_lost {
            MemberState::Lost
        } else {
            member.state
        };
        Standing {
            endpoint: member.endpoint.clone(),
            zone: member.zone.clone(),
            slots: member.slots,
            state,
            usable: usable(state, entry, now),
            losses: entry.map_or(0, |entry| entry.recent_losses(now)),
        }
    }

    fn observe_member(&mut self, member: &Member, now: Mono) {
        let begun = self.begun;
        let entry = self
            .entries
            .entry(member.endpoint.clone())
            .or_insert_with(|| Entry {
                state: member.state,
                since: begun.then_some(now),
                losses: Vec::new(),
                reported_lost: None,
            });
        if entry.state == member.state {
            return;
        }
        let was_taking = entry.state.takes_shards();
        entry.state = member.state;
        if member.state == MemberState::Lost && entry.reported_lost.is_none() {
            entry.note_loss(now);
        }
        if !was_taking && member.state.takes_shards() {
            entry.reported_lost = None;
            entry.since = Some(now);
        }
    }
}

impl Entry {
    fn note_loss(&mut self, now: Mono) {
        self.losses.retain(|at| now.since(*at) < LOSS_WINDOW_MS);
        self.losses.push(now);
    }

    fn recent_losses(&self, now: Mono) -> u32 {
        let mut recent = 0;
        for at in &self.losses {
            if now.since(*at) < LOSS_WINDOW_MS {
                recent += 1;
            }
        }
        recent
    }
}

/// Guards against a storm when a zone returns and against flapping. It shows as
/// shards that move to an endpoint within moments of its return, and away again
/// with its next loss. It holds because capacity below the dwell time is zero
/// and grows afterwards by [`RAMP_STEP`] only.
fn usable(state: MemberState, entry: Option<&Entry>, now: Mono) -> u32 {
    let most = match state {
        MemberState::Live => 100,
        MemberState::Cold => COLD_USABLE,
        MemberState::Draining | MemberState::Lost => return 0,
    };
    let Some(entry) = entry else {
        return 0;
    };
    let Some(since) = entry.since else {
        return most;
    };
    let doublings = entry.recent_losses(now).min(MOST_DOUBLINGS);
    let dwell = DWELL_MS << doublings;
    let Some(ramped) = now.since(since).checked_sub(dwell) else {
        return 0;
    };
    let steps = ramped * 100 / RAMP_MS / RAMP_STEP + 1;
    let hundredths = u32::try_from(steps * RAMP_STEP).unwrap_or(most);
    hundredths.min(most)
}
