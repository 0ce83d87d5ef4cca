//! Loads of the members of one group while a plan is made.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use super::burden::Burden;
use super::gain::{Side, Whole};
use super::members::Standing;
use crate::ids::{EndpointName, ShardId};

/// Place of a member in a [`Tally`].
pub type Seat = usize;

/// A member with its load.
#[derive(Debug, Clone)]
pub struct Tallied<'a> {
    /// The member.
    pub standing: &'a Standing,
    /// Load it has or is about to have, in thousandths of a slot.
    pub load: u64,
    /// Variance of that load, in square thousandths of a slot.
    pub variance: u64,
    /// Shards it owns that may be moved.
    pub movable: Vec<ShardId>,
    /// Capacity it may be given load for, in thousandths of a slot.
    pub open: u64,
}

/// Members that differ only in their load; the least loaded is the best choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Kind {
    open: u64,
    losses: u32,
}

/// A member in the order of load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Ranked {
    load: u64,
    seat: Seat,
}

/// Members of one group by name, with their loads.
#[derive(Debug, Clone)]
pub struct Tally<'a> {
    members: Vec<Tallied<'a>>,
    seats: IndexMap<&'a EndpointName, Seat>,
    kinds: IndexMap<Kind, BTreeSet<Ranked>>,
}

impl<'a> Tally<'a> {
    /// Starts with no load on any member.
    ///
    /// If no member has open capacity, all that take shards count whole: keys
    /// without owner are worse than an endpoint that is loaded early.
    #[must_use]
    pub fn new(standings: &'a [Standing]) -> Self {
        let mut sorted: Vec<&Standing> = standings.iter().collect();
        sorted.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
        let any_open = sorted.iter().any(|standing| standing.open() > 0);
        let mut tally = Self {
            members: Vec::with_capacity(sorted.len()),
            seats: IndexMap::with_capacity(sorted.len()),
            kinds: IndexMap::new(),
        };
        for standing in sorted {
            let open = match (standing.state.takes_shards(), any_open) {
                (false, _) => 0,
                (true, true) => standing.open(),
                (true, false) => standing.capacity(),
            };
            let seat = tally.members.len();
            tally.seats.insert(&standing.endpoint, seat);
            tally.members.push(Tallied {
                standing,
                load: 0,
                variance: 0,
                movable: Vec::new(),
                open,
            });
            tally.rank(seat);
        }
        tally
    }

    /// Place of an endpoint, or `None` if it is not a member.
    #[must_use]
    pub fn seat(&self, endpoint: &EndpointName) -> Option<Seat> {
        self.seats.get(endpoint).copied()
    }

    /// The member at a place.
    #[must_use]
    pub fn at(&self, seat: Seat) -> &Tallied<'a> {
        &self.members[seat]
    }

    /// Counts a shard that stays where it is, or comes.
    pub fn add(&mut self, seat: Seat, burden: Burden) {
        self.unrank(seat);
        self.members[seat].load += burden.load;
        self.members[seat].variance += burden.variance;
        self.rank(seat);
    }

    /// Counts a shard off that goes.
    pub fn take(&mut self, seat: Seat, burden: Burden) {
        self.unrank(seat);
        self.members[seat].load -= burden.load;
        self.members[seat].variance -= burden.variance;
        self.rank(seat);
    }

    /// Notes that a member's shard may be moved for balance.
    pub fn note_movable(&mut self, seat: Seat, shard: ShardId) {
        self.members[seat].movable.push(shard);
    }

    /// Notes that a shard is not to be moved any more.
    pub fn drop_movable(&mut self, seat: Seat, shard: ShardId) {
        self.members[seat].movable.retain(|other| *other != shard);
    }

    /// The member that is least loaded once it has the additional load, or
    /// `None` if no member takes shards.
    #[must_use]
    pub fn best(&self, load: u64) -> Option<Seat> {
        let mut best: Option<Seat> = None;
        for seat in self.least_of_each_kind() {
            let better = match best {
                None => true,
                Some(other) => self.is_below(seat, other, load),
            };
            if better {
                best = Some(seat);
            }
        }
        best
    }

    /// For each capacity and number of losses the least loaded member.
    pub fn least_of_each_kind(&self) -> impl Iterator<Item = Seat> + '_ {
        self.kinds
            .values()
            .filter_map(|ranked| ranked.first())
            .map(|ranked| ranked.seat)
    }

    /// Places of members that take shards, the most utilised first.
    #[must_use]
    pub fn by_utilisation(&self) -> Vec<Seat> {
        let mut seats: Vec<Seat> = Vec::with_capacity(self.members.len());
        for (seat, member) in self.members.iter().enumerate() {
            if member.standing.state.takes_shards() && !member.movable.is_empty() {
                seats.push(seat);
            }
        }
        seats.sort_by(|a, b| {
            let left = self.cross(*a, *b);
            let right = self.cross(*b, *a);
            right.cmp(&left).then(a.cmp(b))
        });
        seats
    }

    /// How many members take shards.
    #[must_use]
    pub fn taking_members(&self) -> u64 {
        let mut taking = 0;
        for member in &self.members {
            taking += u64::from(member.standing.state.takes_shards());
        }
        taking
    }

    /// Load and capacity of all members that take shards.
    #[must_use]
    pub fn whole(&self) -> Whole {
        let mut whole = Whole {
            load: 0,
            capacity: 0,
        };
        for member in &self.members {
            whole.load += member.load;
            if member.standing.state.takes_shards() {
                whole.capacity += member.standing.capacity();
            }
        }
        whole
    }

    /// The member as one that gives load.
    #[must_use]
    pub fn giving(&self, seat: Seat) -> Side {
        let member = &self.members[seat];
        Side {
            load: member.load,
            variance: member.variance,
            capacity: member.standing.capacity(),
        }
    }

    /// The member as one that takes load.
    #[must_use]
    pub fn taking(&self, seat: Seat) -> Side {
        let member = &self.members[seat];
        Side {
            load: member.load,
            variance: member.variance,
            capacity: member.open,
        }
    }

    /// Load of `a` over the capacity of `b`'s fraction, for comparison without division.
    fn cross(&self, a: Seat, b: Seat) -> u128 {
        u128::from(self.members[a].load) * u128::from(self.members[b].standing.capacity())
    }

    fn is_below(&self, a: Seat, b: Seat, load: u64) -> bool {
        let left = u128::from(self.members[a].load + load) * u128::from(self.members[b].open);
        let right = u128::from(self.members[b].load + load) * u128::from(self.members[a].open);
        (left, a) < (right, b)
    }

    fn rank(&mut self, seat: Seat) {
        if let Some(kind) = self.kind(seat) {
            let ranked = self.ranked(seat);
            self.kinds.entry(kind).or_default().insert(ranked);
        }
    }

    fn unrank(&mut self, seat: Seat) {
        let Some(kind) = self.kind(seat) else {
            return;
        };
        let ranked = self.ranked(seat);
        if let Some(of_kind) = self.kinds.get_mut(&kind) {
            of_kind.remove(&ranked);
        }
    }

    fn kind(&self, seat: Seat) -> Option<Kind> {
        let member = &self.members[seat];
        if member.open == 0 {
            return None;
        }
        Some(Kind {
            open: member.open,
            losses: member.standing.losses,
        })
    }

    fn ranked(&self, seat: Seat) -> Ranked {
        Ranked {
            load: self.members[seat].load,
            seat,
        }
    }
}
