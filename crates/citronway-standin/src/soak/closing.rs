//! Instances that stop one after the other, beside hang-ups and configurations.

use std::time::Duration;

use rand::RngExt as _;
use rand::rngs::StdRng;

use super::plan::{Fault, GRACES_MS, LENGTH_MS, Planned};

/// Fewest and most rounds in which all instances stop.
const ROUNDS: (usize, usize) = (2, 3);

/// Shortest and longest time between the stops of two instances, in milliseconds.
const GAP_MS: (u64, u64) = (200, 1_500);

/// Longest time from a stop to the signal that comes beside it, in milliseconds.
const BESIDE_MS: u64 = 2_000;

/// All instances stop in rounds.
pub(super) fn draw(rng: &mut StdRng, instances: usize, plan: &mut Vec<Planned>) {
    for _ in 0..rng.random_range(ROUNDS.0..=ROUNDS.1) {
        let mut at = Duration::from_millis(rng.random_range(0..LENGTH_MS / 2));
        let first = rng.random_range(0..instances);
        for n in 0..instances {
            let instance = (first + n) % instances;
            let lasts = Duration::from_millis(rng.random_range(100..LENGTH_MS / 4));
            plan.push(Planned {
                at,
                lasts,
                fault: Fault::Stop(instance),
            });
            let later = Duration::from_millis(rng.random_range(0..BESIDE_MS));
            plan.push(Planned {
                at: at + later,
                lasts,
                fault: beside(rng, instance),
            });
            at += Duration::from_millis(rng.random_range(GAP_MS.0..GAP_MS.1));
        }
    }
}

fn beside(rng: &mut StdRng, instance: usize) -> Fault {
    match rng.random_range(0..4) {
        0 => Fault::Stop(instance),
        1 | 2 => {
            let grace = GRACES_MS[rng.random_range(0..GRACES_MS.len())];
            Fault::HangUp(instance, Duration::from_millis(grace))
        }
        _ => Fault::Configure,
    }
}
