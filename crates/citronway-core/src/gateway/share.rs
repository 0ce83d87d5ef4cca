//! How many of an endpoint's places an instance may use.
//!
//! All instances send straight to the endpoint and know from each other's reports
//! what the others have there or want to send. While there is room for all, nobody
//! is held back. Beyond that, each gets places in proportion to what it wants.

/// Requests above its slots that an endpoint is kept supplied with, for each slot.
///
/// Reports are up to 100 ms old, about half of a request's work: without a few
/// requests waiting at the endpoint its slots stand idle between two reports.
const QUEUE_PER_SLOT: f64 = 0.34;

/// Places of an endpoint with `slots` slots: those and a short queue.
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

/// What one instance has at an endpoint or wants to send there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Demand {
    /// Order of the instance among all; the same everywhere.
    pub rank: u64,
    /// Requests in flight and waiting.
    pub wanted: u32,
}

/// Requests that an instance may send now, where only the sums of all are known.
///
/// Its part of the free places, in proportion to what waits there. The fraction of a place
/// is given by `chance`, a number from 0 to 1 that each instance draws for itself and now
/// and then anew: on average all parts together are what is free, and everybody gets a turn.
#[must_use]
pub fn share_of_free(places: u32, in_flight: u32, mine: u32, all: u32, chance: f64) -> u32 {
    let free = places.saturating_sub(in_flight);
    if all <= free {
        return free;
    }
    let exact = f64::from(free) * f64::from(mine) / f64::from(all);
    let extra = u32::from(chance < exact.fract());
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "at most `places`"
    )]
    let whole = exact as u32;
    whole + extra
}

/// Places that the instance of rank `me` may use, out of `places`.
///
/// The largest-remainder method: whole shares first, then one more for the largest
/// fractions, ties by rank. All that see the same demands come to shares whose sum
/// is `places`.
#[must_use]
pub fn fair_share(places: u32, me: Demand, others: &[Demand]) -> u32 {
    let total = others.iter().map(|d| u64::from(d.wanted)).sum::<u64>() + u64::from(me.wanted);
    if total <= u64::from(places) {
        return places - u32::try_from(total - u64::from(me.wanted)).unwrap_or(places);
    }
    let whole = |d: &Demand| u64::from(d.wanted) * u64::from(places) / total;
    let rest = |d: &Demand| u64::from(d.wanted) * u64::from(places) % total;
    let given = whole(&me) + others.iter().map(whole).sum::<u64>();
    let left = u64::from(places) - given;
    let ahead = others
        .iter()
        .filter(|d| (rest(d), std::cmp::Reverse(d.rank)) > (rest(&me), std::cmp::Reverse(me.rank)))
        .count() as u64;
    let extra = u64::from(ahead < left && rest(&me) > 0);
    u32::try_from(whole(&me) + extra).unwrap_or(places)
}
