//! What a move is worth: its gain over a horizon against its cost.
//!
//! Imbalance is a cost that lasts, so it is counted over the horizon; churn and
//! unavailable time are paid once. The three are brought to one scale by
//! [`UNIT_MS`]: weight 1 of each costs the same for load uneven by its whole
//! mean during a minute, for all keys changing owner once, and for all keys
//! being unavailable for a minute.

use crate::config::Weights;

/// Time that imbalance and unavailable time are counted in, in milliseconds.
pub const UNIT_MS: f64 = 60_000.0;

/// Standard deviations that a difference of utilisation has to go beyond.
///
/// The most and the least utilised of many endpoints are compared several times
/// a second, so that four deviations come up each hour by chance.
const DEVIATIONS: f64 = 4.0;

/// An endpoint that gives or takes load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Side {
    /// Its load, in thousandths of a slot.
    pub load: u64,
    /// Variance of the load by the chance of arrivals, in square thousandths of
    /// a slot.
    pub variance: u64,
    /// Its capacity, in thousandths of a slot.
    pub capacity: u64,
}

/// Load and capacity of the whole group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Whole {
    /// Sum of loads, in thousandths of a slot.
    pub load: u64,
    /// Sum of capacities, in thousandths of a slot.
    pub capacity: u64,
}

/// What a move would cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MoveCost {
    /// Share of the keys that change owner, from 0 to 1.
    pub keys: f64,
    /// How long these keys cannot be served, in milliseconds.
    pub move_ms: u64,
    /// Losses of the new owner that are expected within the horizon.
    pub losses: f64,
    /// How long a loss leaves its keys without owner, in milliseconds.
    pub loss_ms: u64,
}

/// Gain of moving `load` from one endpoint to another, in weighted cost.
///
/// Imbalance is the squared coefficient of variation of utilisation, weighted
/// by capacity; the result is negative if the move makes it worse.
#[must_use]
pub fn gain(
    weights: Weights,
    load: u64,
    from: Side,
    to: Side,
    whole: Whole,
    horizon_ms: u64,
) -> f64 {
    if to.capacity == 0 || from.capacity == 0 || whole.load == 0 {
        return 0.0;
    }
    let load = load as f64;
    let relief = load * (2.0 * from.load as f64 - load) / from.capacity as f64;
    let burden = load * (2.0 * to.load as f64 + load) / to.capacity as f64;
    let total = whole.load as f64;
    let doubt = 2.0 * load * noise(from, to);
    let less = (relief - burden - doubt) * whole.capacity as f64 / (total * total);
    weights.imbalance * less * horizon_ms as f64 / UNIT_MS
}

/// Difference of utilisation that chance alone may make.
///
/// Failure: two endpoints with the same load are measured a little apart, each
/// time another way round; shards go back and forth between them for ever, and
/// each time their keys are not served for a moment. Guard: only what goes
/// beyond chance counts.
fn noise(from: Side, to: Side) -> f64 {
    let squares = relative_variance(from) + relative_variance(to);
    DEVIATIONS * squares.sqrt()
}

fn relative_variance(side: Side) -> f64 {
    let capacity = side.capacity as f64;
    side.variance as f64 / (capacity * capacity)
}

/// Cost of a move, in weighted cost.
///
/// Each expected loss of the new owner forces the keys to move once more and
/// leaves them without owner for a while.
#[must_use]
pub fn cost(weights: Weights, cost: MoveCost) -> f64 {
    let churn = cost.keys * (1.0 + cost.losses);
    let down_ms = cost.move_ms as f64 + cost.losses * cost.loss_ms as f64;
    let unavailable = cost.keys * down_ms / UNIT_MS;
    weights.churn * churn + weights.unavailable * unavailable
}
