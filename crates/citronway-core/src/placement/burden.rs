//! What a shard counts for in the spread over the endpoints.

use super::loads::Loads;
use super::members::Standing;
use super::ranges::share;
use crate::ids::ShardId;
use crate::shard::Shard;

/// Part of a group's capacity that its keys count for, in hundredths.
///
/// A difference of load matters by the waiting that it causes, which is next to
/// nothing on endpoints that are mostly idle and grows towards their capacity.
/// The keys' part makes the same difference of load small beside it at low
/// utilisation and leading at high utilisation, and spreads keys evenly where
/// load says nothing.
const KEYS_PART: u64 = 10;

/// Hundredths in a whole.
const WHOLE: u64 = 100;

/// Load and keys of a shard on one scale.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Burden {
    /// Measured load and the keys' part, in thousandths of a slot.
    pub load: u64,
    /// Variance of the measured load by the chance of arrivals, in square
    /// thousandths of a slot.
    pub variance: u64,
}

impl Burden {
    /// Measured load alone, as of a single key.
    pub(super) fn measured(loads: &Loads, shard: ShardId) -> Self {
        Self {
            load: loads.of(shard),
            variance: loads.variance(shard),
        }
    }
}

/// Burdens of the shards of one group.
#[derive(Debug, Clone, Copy)]
pub(super) struct Burdens<'a> {
    loads: &'a Loads,
    /// What all keys together count for, in thousandths of a slot.
    keys: f64,
}

impl<'a> Burdens<'a> {
    /// Those of a group with these members.
    pub(super) fn new(loads: &'a Loads, members: &[Standing]) -> Self {
        let mut capacity = 0;
        for member in members {
            if member.state.takes_shards() {
                capacity += member.capacity();
            }
        }
        Self {
            loads,
            keys: (capacity * KEYS_PART / WHOLE) as f64,
        }
    }

    /// Burden of a shard.
    pub(super) fn of(&self, shard: &Shard) -> Burden {
        let keys = self.keys * share(shard.range.first, shard.range.last);
        let mut burden = Burden::measured(self.loads, shard.id);
        burden.load += rounded(keys);
        burden
    }
}

/// Whole thousandths of a slot.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of a capacity, which is a whole number of this type"
)]
fn rounded(load: f64) -> u64 {
    load.round() as u64
}
