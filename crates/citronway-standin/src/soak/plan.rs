//! Which faults come when, drawn from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use super::proxy::Mode;
use crate::shared::StoreFault;

/// Instances of a soak.
pub const INSTANCES: usize = 3;

/// Endpoints of a soak that divide keys; one more serves without keys.
pub const SHARDED: usize = 3;

/// Length of the time with faults, in milliseconds.
pub const LENGTH_MS: u64 = 8_000;

/// Fewest and most faults of one soak.
const FAULTS: (usize, usize) = (3, 9);

/// Something that goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An instance is killed and starts again.
    Kill(usize),
    /// All instances are killed at once and start again.
    KillAll,
    /// An instance is asked to stop and starts again.
    Stop(usize),
    /// An instance stands still.
    Pause(usize),
    /// The link of an instance to the store misbehaves.
    StoreLink(usize, Mode),
    /// The store misbehaves towards all.
    Store(StoreFault),
    /// The store forgets its history.
    Forget,
    /// The link of all instances to an endpoint misbehaves.
    EndpointLink(usize, Mode),
    /// An endpoint runs requests and breaks their answers off.
    DropAnswers(usize),
    /// An endpoint refuses for want of room.
    Full(usize),
    /// An endpoint ends; another starts at its address.
    Reborn(usize),
    /// An endpoint says that it leaves, and stays after all.
    Drain(usize),
    /// A new configuration.
    Configure,
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Planned {
    /// When it begins, from the start of the soak.
    pub at: Duration,
    /// How long it lasts, where it lasts.
    pub lasts: Duration,
    /// What it is.
    pub fault: Fault,
}

/// Faults of a seed, in order of time.
#[must_use]
pub fn of_seed(seed: u64) -> Vec<Planned> {
    let mut rng = StdRng::seed_from_u64(seed);
    let count = rng.random_range(FAULTS.0..=FAULTS.1);
    let mut plan: Vec<_> = (0..count)
        .map(|_| Planned {
            at: Duration::from_millis(rng.random_range(0..LENGTH_MS * 3 / 4)),
            lasts: Duration::from_millis(rng.random_range(100..LENGTH_MS / 2)),
            fault: draw(&mut rng),
        })
        .collect();
    plan.sort_by_key(|planned| planned.at);
    plan
}

fn draw(rng: &mut StdRng) -> Fault {
    let instance = rng.random_range(0..INSTANCES);
    let endpoint = rng.random_range(0..=SHARDED);
    match rng.random_range(0..15) {
        0 | 1 => Fault::Kill(instance),
        2 => Fault::KillAll,
        3 => Fault::Stop(instance),
        4 | 5 => Fault::Pause(instance),
        6 | 7 => Fault::StoreLink(instance, mode(rng)),
        8 => Fault::Store(match rng.random_range(0..3) {
            0 => StoreFault::Busy,
            1 => StoreFault::Silent,
            _ => StoreFault::AnswersLost,
        }),
        9 => Fault::Forget,
        10 => Fault::EndpointLink(endpoint, mode(rng)),
        11 => Fault::DropAnswers(endpoint),
        12 => Fault::Full(endpoint),
        13 => Fault::Reborn(rng.random_range(0..SHARDED)),
        _ => match rng.random_range(0..2) {
            0 => Fault::Drain(rng.random_range(0..SHARDED)),
            _ => Fault::Configure,
        },
    }
}

fn mode(rng: &mut StdRng) -> Mode {
    match rng.random_range(0..5) {
        0 => Mode::Delay(Duration::from_millis(rng.random_range(5..300))),
        1 => Mode::Reset,
        2 => Mode::CutThere,
        3 => Mode::CutBack,
        _ => Mode::Silent,
    }
}
