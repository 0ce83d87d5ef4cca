//! Division of an endpoint's capacity among instances.
//!
//! All instances send straight to the endpoint and know from each other's reports how many
//! requests the others have in flight or waiting. While there is room for all, no instance is
//! limited. Otherwise each gets a share of the in-flight limit in proportion to its demand.

/// Number of queued requests that an endpoint is kept supplied with, for each slot.
///
/// Reports are up to 100 ms old, about half of the duration of a request: without a few queued
/// requests the endpoint's slots are idle between two reports.
const QUEUE_PER_SLOT: f64 = 0.34;

/// Maximum number of requests in flight at an endpoint with `slots` slots: one for each slot and
/// a short queue.
#[must_use]
pub fn in_flight_limit(slots: u32) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "slots are a few thousand at most"
    )]
    let queue = (f64::from(slots) * QUEUE_PER_SLOT).ceil() as u32;
    slots + queue
}

/// Demand of one instance for an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Demand {
    /// Rank of the instance among all; the same on every instance.
    pub rank: u64,
    /// Number of requests in flight and waiting.
    pub wanted: u32,
}

/// Number of requests that an instance may send now, where only totals over all instances are
/// known.
///
/// It is the instance's part of the free capacity, in proportion to its waiting requests (`mine`
/// of `all`). The fractional part is decided by `chance`, a number from 0 to 1 that each instance
/// draws at random from time to time: on average the parts add up to the free capacity, and no
/// instance is always left out.
#[must_use]
pub fn share_of_free(limit: u32, in_flight: u32, mine: u32, all: u32, chance: f64) -> u32 {
    let free = limit.saturating_sub(in_flight);
    if all <= free {
        return free;
    }
    let exact = f64::from(free) * f64::from(mine) / f64::from(all);
    let extra = u32::from(chance < exact.fract());
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "at most `limit`"
    )]
    let whole = exact as u32;
    whole + extra
}

/// Number of requests that the instance with the demand `me` may have in flight, out of `limit`.
///
/// Uses the largest remainder method: whole shares first, then one more for the largest
/// remainders, ties broken by rank. Instances that know the same demands get shares whose sum
/// is `limit`.
#[must_use]
pub fn fair_share(limit: u32, me: Demand, others: &[Demand]) -> u32 {
    let total = others.iter().map(|d| u64::from(d.wanted)).sum::<u64>() + u64::from(me.wanted);
    if total <= u64::from(limit) {
        return limit - u32::try_from(total - u64::from(me.wanted)).unwrap_or(limit);
    }
    let whole = |d: &Demand| u64::from(d.wanted) * u64::from(limit) / total;
    let remainder = |d: &Demand| u64::from(d.wanted) * u64::from(limit) % total;
    let given = whole(&me) + others.iter().map(whole).sum::<u64>();
    let left = u64::from(limit) - given;
    let ahead = others
        .iter()
        .filter(|d| {
            (remainder(d), std::cmp::Reverse(d.rank)) > (remainder(&me), std::cmp::Reverse(me.rank))
        })
        .count() as u64;
    let extra = u64::from(ahead < left && remainder(&me) > 0);
    u32::try_from(whole(&me) + extra).unwrap_or(limit)
}
