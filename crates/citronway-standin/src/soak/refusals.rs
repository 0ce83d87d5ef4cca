//! Endpoints that refuse everything while instances are killed one after the other.

use std::time::Duration;

use rand::RngExt as _;
use rand::rngs::StdRng;

use super::plan::{Fault, LENGTH_MS, Planned, SHARDED};

/// Shortest and longest time for which endpoints refuse everything, in milliseconds.
const REFUSALS_MS: (u64, u64) = (4_000, 7_000);

/// Time between two kills while endpoints refuse, in milliseconds.
const KILLS_GAP_MS: u64 = 500;

/// All endpoints refuse for want of room while instances are killed and start again.
pub(super) fn draw(rng: &mut StdRng, instances: usize, plan: &mut Vec<Planned>) {
    let begin = rng.random_range(0..LENGTH_MS - REFUSALS_MS.1);
    let lasts = rng.random_range(REFUSALS_MS.0..REFUSALS_MS.1);
    let planned = |at, lasts, fault| Planned {
        at: Duration::from_millis(at),
        lasts: Duration::from_millis(lasts),
        fault,
    };
    for endpoint in 0..=SHARDED {
        plan.push(planned(begin, lasts, Fault::Full(endpoint)));
    }
    for n in 0..lasts / KILLS_GAP_MS {
        let at = begin + n * KILLS_GAP_MS;
        let instance = rng.random_range(0..instances);
        plan.push(planned(at, KILLS_GAP_MS / 2, Fault::Kill(instance)));
    }
}
