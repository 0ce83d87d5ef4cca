//! Simulates how long no session acts after the loss of a dispatcher.
//!
//! `cargo run --release -p citronway-core --example hold_takeover [SEEDS]`

use std::error::Error;

use citronway_core::hold::HandOverReason;
use citronway_core::hold::simulation::{Fault, Header, TimedFault, replay_script};

const DEFAULT_SEEDS: u64 = 10_000;
const LOSS_MS: u64 = 2_000;
/// The loss falls within this time after [`LOSS_MS`], in milliseconds.
const SPREAD_MS: u64 = 1_000;

/// A kind of loss and the faults that cause it.
struct Loss {
    name: &'static str,
    faults: fn(at: u64) -> Vec<TimedFault>,
}

const LOSSES: [Loss; 6] = [
    Loss {
        name: "killed",
        faults: |at| vec![timed(at, Fault::Crash { node: 0 })],
    },
    Loss {
        name: "killed with a successor",
        faults: |at| {
            let faults = [0, 1].map(|node| timed(at, Fault::Crash { node }));
            faults.to_vec()
        },
    },
    Loss {
        name: "paused",
        faults: |at| vec![timed(at, Fault::Pause { node: 0 })],
    },
    Loss {
        name: "killed, restarted after 100 ms",
        faults: |at| {
            let restart = timed(at + 100, Fault::Restart { node: 0 });
            vec![timed(at, Fault::Crash { node: 0 }), restart]
        },
    },
    Loss {
        name: "cut off both ways",
        faults: |at| {
            let mut faults = vec![timed(at, Fault::CutStore { node: 0 })];
            for other in 1..4 {
                faults.push(timed(at, Fault::Cut { from: 0, to: other }));
                faults.push(timed(at, Fault::Cut { from: other, to: 0 }));
            }
            faults
        },
    },
    Loss {
        name: "handed over",
        faults: |at| {
            let reason = HandOverReason::Leaving;
            vec![timed(at, Fault::HandOver { node: 0, reason })]
        },
    },
];

const fn timed(at: u64, fault: Fault) -> TimedFault {
    TimedFault { at, fault }
}

/// Simulated time from the loss until another session acts, in milliseconds.
fn takeover_ms(loss: &Loss, seed: u64) -> Result<u64, Box<dyn Error>> {
    let at = LOSS_MS + seed * 7 % SPREAD_MS;
    let header = Header {
        seed,
        ..Header::default()
    };
    let outcome = replay_script(&header, &(loss.faults)(at))?;
    let next = outcome.acting.iter().find(|it| it.epoch.0 > 1);
    let from = next.ok_or("no session took over")?.from;
    Ok(from.saturating_sub(at))
}

fn main() -> Result<(), Box<dyn Error>> {
    let seeds = match std::env::args().nth(1) {
        Some(text) => text.parse()?,
        None => DEFAULT_SEEDS,
    };
    println!("ms from the loss until another dispatcher acts, {seeds} seeds");
    for loss in LOSSES {
        let mut times = Vec::new();
        for seed in 0..seeds {
            times.push(takeover_ms(&loss, seed)?);
        }
        times.sort_unstable();
        let at = |per_mille: usize| times[(times.len() - 1) * per_mille / 1000];
        println!(
            "{:32} min {:5}  p50 {:5}  p99 {:5}  max {:5}",
            loss.name,
            at(0),
            at(500),
            at(990),
            at(1000)
        );
    }
    Ok(())
}
