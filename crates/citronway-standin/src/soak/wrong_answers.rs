//! Endpoints that send copies of answers, bytes without end in place of answers, or answers with
//! broken heads.

use std::time::Duration;

use rand::RngExt as _;
use rand::rngs::StdRng;

use super::plan::{Fault, LENGTH_MS, Planned, SHARDED};
use super::proxy::Mode;
use crate::shared::{After, Endless, HeadChange};

/// Fewest and most times that an endpoint does so in one soak.
const TIMES: (usize, usize) = (3, 6);

/// Fewest and most times that an endpoint sends broken heads in one soak.
const HEAD_TIMES: (usize, usize) = (2, 4);

/// Shortest and longest time for which it does, in milliseconds.
const LASTS_MS: (u64, u64) = (300, 2_500);

/// Some endpoints send wrong answers, one kind at a time.
pub(super) fn draw(rng: &mut StdRng, plan: &mut Vec<Planned>) {
    for _ in 0..rng.random_range(TIMES.0..=TIMES.1) {
        let endpoint = rng.random_range(0..=SHARDED);
        let mode = match rng.random_range(0..3) {
            0 => Mode::Copies,
            _ => Mode::Endless(Endless::ALL[rng.random_range(0..Endless::ALL.len())]),
        };
        plan.push(planned(rng, endpoint, mode));
    }
    for _ in 0..rng.random_range(HEAD_TIMES.0..=HEAD_TIMES.1) {
        let endpoint = rng.random_range(0..=SHARDED);
        let change = HeadChange::BROKEN[rng.random_range(0..HeadChange::BROKEN.len())];
        let after = if rng.random_bool(0.5) {
            After::Close
        } else {
            After::Open
        };
        plan.push(planned(rng, endpoint, Mode::Head(change, after)));
    }
}

fn planned(rng: &mut StdRng, endpoint: usize, mode: Mode) -> Planned {
    Planned {
        at: Duration::from_millis(rng.random_range(0..LENGTH_MS * 3 / 4)),
        lasts: Duration::from_millis(rng.random_range(LASTS_MS.0..LASTS_MS.1)),
        fault: Fault::EndpointLink(endpoint, mode),
    }
}
