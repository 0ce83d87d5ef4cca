//! Which faults come when, drawn from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use super::kinds::Soak;
use super::proxy::Mode;
use super::{closing, refusals, wrong_answers};
use crate::shared::StoreFault;

/// Endpoints of a soak that divide keys; one more serves without keys.
pub const SHARDED: usize = 3;

/// Length of the time with faults, in milliseconds.
pub const LENGTH_MS: u64 = 8_000;

/// Fewest and most faults of one soak.
const FAULTS: (usize, usize) = (3, 9);

/// Fewest and most series of signals of one soak.
const SERIES: (usize, usize) = (2, 4);

/// Most signals of one series to one instance.
const MOST_SIGNALS: usize = 4;

/// Longest time between two signals of a series, in milliseconds: some come while the one
/// before is still being carried out, some after it.
const BETWEEN_MS: u64 = 1_500;

/// Graces that operators set while instances run, in milliseconds. The last hundredths of
/// the shortest are long beside the time for which a busy machine holds a process up.
pub(super) const GRACES_MS: [u64; 3] = [4_000, 6_000, 8_000];

/// Fewest and most limits of one soak.
const LIMITS: (usize, usize) = (4, 8);

/// Limits that endpoints state, in requests a second: from none to more than callers send.
const LIMITS_PER_S: [f64; 7] = [0.0, 0.4, 1.5, 4.0, 10.0, 30.0, 300.0];

/// Shortest time for which an endpoint states a limit, in milliseconds.
const SHORTEST_LIMIT_MS: u64 = 3_500;

/// Fewest and most cuts of one soak.
const CUTS: (usize, usize) = (2, 5);

/// Fewest and most endpoints that leave in one soak.
const DEPARTURES: (usize, usize) = (2, 5);

/// Shortest and longest time from an endpoint's first statement that it leaves to its end, in
/// milliseconds.
const LEAVES_MS: (u64, u64) = (2_500, 5_000);

/// Fewest and most times that endpoints ask for rest in one soak.
const RESTS: (usize, usize) = (3, 6);

/// Rests for which endpoints ask, in milliseconds.
const RESTS_MS: [u64; 4] = [400, 1_000, 2_500, 4_000];

/// Fewest and most times that the store comes back from a copy in one soak.
const RESTORES: (usize, usize) = (1, 3);

/// Longest time for which the store is away before it comes back, in milliseconds.
const AWAY_MS: u64 = 1_500;

/// Sets the draws of the refusals apart from those of the other faults.
const REFUSALS_STREAM: u64 = 0x7265_6675_7365;

/// Sets the draws of the stops one after the other apart from those of the other faults.
const CLOSING_STREAM: u64 = 0x636c_6f73_6500;

/// Sets the draws of the wrong answers apart from those of the other faults.
const WRONG_ANSWERS_STREAM: u64 = 0x7772_6f6e_6700;

/// Sets the draws of the restores apart from those of the other faults.
const RESTORES_STREAM: u64 = 0x7265_7374_6f72;

/// Sets the draws of the rests apart from those of the other faults.
const RESTS_STREAM: u64 = 0x7265_7374_7300;

/// Sets the draws of the endpoints that leave apart from those of the other faults.
const DEPARTURES_STREAM: u64 = 0x6c65_6176_6573;

/// Sets the draws of the cuts apart from those of the other faults.
const CUTS_STREAM: u64 = 0x0063_7574_7300;

/// Sets the draws of the limits apart from those of the other faults.
const LIMITS_STREAM: u64 = 0x006c_696d_6974;

/// Sets the draws of the signals apart from those of the other faults.
const SIGNALS_STREAM: u64 = 0x5167_6e61_6c73;

/// Something that goes wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// An instance is killed and starts again.
    Kill(usize),
    /// All instances are killed at once and start again.
    KillAll,
    /// An instance is asked to stop and starts again.
    Stop(usize),
    /// An instance stands still.
    Pause(usize),
    /// An instance reads its settings again, with another grace.
    HangUp(usize, Duration),
    /// The link of an instance to the store misbehaves.
    StoreLink(usize, Mode),
    /// The store misbehaves towards all.
    Store(StoreFault),
    /// The store forgets its history.
    Forget,
    /// A copy of the store is taken at the beginning, and the store comes back from it at the end.
    /// The number tells copies apart.
    Restore(usize),
    /// The link of all instances to an endpoint misbehaves.
    EndpointLink(usize, Mode),
    /// The links of an instance to all endpoints misbehave, or to one.
    InstanceCut(usize, Option<usize>, Mode),
    /// An endpoint runs requests and breaks their answers off.
    DropAnswers(usize),
    /// An endpoint refuses for want of room.
    Full(usize),
    /// An endpoint has work that is longer than a stop takes.
    Slow(usize),
    /// An endpoint takes requests and begins nothing until so much later.
    Late(usize, Duration),
    /// An endpoint ends; another starts at its address.
    Reborn(usize),
    /// An endpoint says that it leaves, and stays after all.
    Drain(usize),
    /// A new configuration.
    Configure,
    /// An endpoint states a limit, in requests a second.
    Limit(usize, f64),
    /// An endpoint states that it leaves; its entry says so too if the second value is set. When
    /// the time is over it ends and another one starts at its address.
    Leave(usize, bool),
    /// An endpoint rejects all requests and asks for rest each time.
    Rest(usize, Duration),
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Planned {
    /// When it begins, from the start of the soak.
    pub at: Duration,
    /// How long it lasts, where it lasts.
    pub lasts: Duration,
    /// What it is.
    pub fault: Fault,
}

/// Faults of a soak, in order of time.
#[must_use]
pub fn of(soak: &Soak) -> Vec<Planned> {
    let mut rng = StdRng::seed_from_u64(soak.seed);
    let count = rng.random_range(FAULTS.0..=FAULTS.1);
    let mut plan: Vec<_> = (0..count)
        .map(|_| Planned {
            at: Duration::from_millis(rng.random_range(0..LENGTH_MS * 3 / 4)),
            lasts: Duration::from_millis(rng.random_range(100..LENGTH_MS / 2)),
            fault: draw(&mut rng, soak.instances),
        })
        .collect();
    if soak.signals {
        let mut rng = StdRng::seed_from_u64(soak.seed ^ SIGNALS_STREAM);
        for _ in 0..rng.random_range(SERIES.0..=SERIES.1) {
            series(&mut rng, soak.instances, &mut plan);
        }
    }
    if soak.limits {
        let mut rng = StdRng::seed_from_u64(soak.seed ^ LIMITS_STREAM);
        for _ in 0..rng.random_range(LIMITS.0..=LIMITS.1) {
            plan.push(limit(&mut rng));
        }
    }
    if soak.departures {
        let mut rng = StdRng::seed_from_u64(soak.seed ^ DEPARTURES_STREAM);
        for _ in 0..rng.random_range(DEPARTURES.0..=DEPARTURES.1) {
            plan.push(departure(&mut rng));
        }
    }
    if soak.rests {
        let mut rng = StdRng::seed_from_u64(soak.seed ^ RESTS_STREAM);
        for _ in 0..rng.random_range(RESTS.0..=RESTS.1) {
            plan.push(rest(&mut rng));
        }
    }
    if soak.restores {
        let mut rng = StdRng::seed_from_u64(soak.seed ^ RESTORES_STREAM);
        for n in 0..rng.random_range(RESTORES.0..=RESTORES.1) {
            restore(&mut rng, n, &mut plan);
        }
    }
    if soak.refusals {
        let mut rng = StdRng::seed_from_u64(soak.seed ^ REFUSALS_STREAM);
        refusals::draw(&mut rng, soak.instances, &mut plan);
    }
    if soak.wrong_answers {
        let mut rng = StdRng::seed_from_u64(soak.seed ^ WRONG_ANSWERS_STREAM);
        wrong_answers::draw(&mut rng, &mut plan);
    }
    if soak.closing {
        let mut rng = StdRng::seed_from_u64(soak.seed ^ CLOSING_STREAM);
        closing::draw(&mut rng, soak.instances, &mut plan);
    }
    if soak.cuts {
        let mut rng = StdRng::seed_from_u64(soak.seed ^ CUTS_STREAM);
        for _ in 0..rng.random_range(CUTS.0..=CUTS.1) {
            cut(&mut rng, soak.instances, &mut plan);
        }
    }
    plan.sort_by_key(|planned| planned.at);
    plan
}

/// Some instances, or all, lose their links to endpoints at the same time.
fn cut(rng: &mut StdRng, instances: usize, plan: &mut Vec<Planned>) {
    let at = Duration::from_millis(rng.random_range(0..LENGTH_MS * 3 / 4));
    let lasts = Duration::from_millis(rng.random_range(200..LENGTH_MS / 2));
    let endpoint = match rng.random_range(0..3) {
        0 => Some(rng.random_range(0..=SHARDED)),
        _ => None,
    };
    let mode = match rng.random_range(0..3) {
        0 => Mode::Silent,
        _ => Mode::Reset,
    };
    let first = rng.random_range(0..instances);
    for n in 0..rng.random_range(1..=instances) {
        plan.push(Planned {
            at,
            lasts,
            fault: Fault::InstanceCut((first + n) % instances, endpoint, mode),
        });
    }
}

/// The store is away and comes back from a copy; every other time it answers all the while.
fn restore(rng: &mut StdRng, number: usize, plan: &mut Vec<Planned>) {
    let at = Duration::from_millis(rng.random_range(0..LENGTH_MS / 2));
    let lasts = Duration::from_millis(rng.random_range(300..LENGTH_MS / 2));
    plan.push(Planned {
        at,
        lasts,
        fault: Fault::Restore(number),
    });
    if rng.random_range(0..2) == 0 {
        return;
    }
    let away = Duration::from_millis(rng.random_range(100..AWAY_MS));
    plan.push(Planned {
        at: (at + lasts).saturating_sub(away),
        lasts: away,
        fault: Fault::Store(StoreFault::Silent),
    });
}

/// Signals to several instances at the same time, while an endpoint holds work up.
fn series(rng: &mut StdRng, instances: usize, plan: &mut Vec<Planned>) {
    let begin = Duration::from_millis(rng.random_range(0..LENGTH_MS * 3 / 4));
    let first = rng.random_range(0..instances);
    // Every other time the one without keys, at which patient routes end.
    let endpoint = match rng.random_range(0..2) {
        0 => SHARDED,
        _ => rng.random_range(0..SHARDED),
    };
    let after = Duration::from_millis(rng.random_range(1_000..LENGTH_MS));
    plan.push(Planned {
        at: begin.saturating_sub(Duration::from_millis(rng.random_range(0..BETWEEN_MS))),
        lasts: Duration::from_millis(rng.random_range(1_000..LENGTH_MS)),
        fault: match rng.random_range(0..2) {
            0 => Fault::Slow(endpoint),
            _ => Fault::Late(endpoint, after),
        },
    });
    for n in 0..rng.random_range(1..=instances) {
        let instance = (first + n) % instances;
        let mut at = begin;
        for _ in 0..rng.random_range(1..=MOST_SIGNALS) {
            plan.push(Planned {
                at,
                lasts: Duration::from_millis(rng.random_range(50..LENGTH_MS / 4)),
                fault: signal(rng, instance),
            });
            at += Duration::from_millis(rng.random_range(0..BETWEEN_MS));
        }
    }
}

fn limit(rng: &mut StdRng) -> Planned {
    let per_s = LIMITS_PER_S[rng.random_range(0..LIMITS_PER_S.len())];
    Planned {
        at: Duration::from_millis(rng.random_range(0..LENGTH_MS / 3)),
        lasts: Duration::from_millis(rng.random_range(SHORTEST_LIMIT_MS..LENGTH_MS)),
        fault: Fault::Limit(rng.random_range(0..=SHARDED), per_s),
    }
}

fn rest(rng: &mut StdRng) -> Planned {
    let rest = RESTS_MS[rng.random_range(0..RESTS_MS.len())];
    Planned {
        at: Duration::from_millis(rng.random_range(0..LENGTH_MS * 3 / 4)),
        lasts: Duration::from_millis(rng.random_range(200..LENGTH_MS / 2)),
        fault: Fault::Rest(rng.random_range(0..=SHARDED), Duration::from_millis(rest)),
    }
}

fn departure(rng: &mut StdRng) -> Planned {
    Planned {
        at: Duration::from_millis(rng.random_range(0..LENGTH_MS / 2)),
        lasts: Duration::from_millis(rng.random_range(LEAVES_MS.0..LEAVES_MS.1)),
        fault: Fault::Leave(rng.random_range(0..=SHARDED), rng.random_range(0..2) == 0),
    }
}

/// A stop is likeliest: it is what the others are to fall into.
fn signal(rng: &mut StdRng, instance: usize) -> Fault {
    match rng.random_range(0..10) {
        0..=4 => Fault::Stop(instance),
        5 | 6 => {
            let grace = GRACES_MS[rng.random_range(0..GRACES_MS.len())];
            Fault::HangUp(instance, Duration::from_millis(grace))
        }
        7 => Fault::Pause(instance),
        8 => Fault::Kill(instance),
        _ => Fault::Configure,
    }
}

fn draw(rng: &mut StdRng, instances: usize) -> Fault {
    let instance = rng.random_range(0..instances);
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
