//! Deterministic simulation of several holds with a model of the store and injected
//! faults.
//!
//! A trace is a file of JSON lines: a [`Header`], then [`TimedFault`]s. All random
//! choices follow from the header's seed, so a trace always has the same outcome.

mod calls;
mod faults;
mod invariants;
mod node;
mod outcome;
mod queue;
mod rng;
mod run;
mod script;
mod store;

pub use outcome::{ActiveInterval, HoldOutcome, ReplayError, Violation};
pub use script::{Fault, Header, TimedFault};

/// Replays a trace given as JSON lines.
///
/// # Errors
///
/// Fails if the trace is empty, a line is malformed or a fault names an instance
/// that does not exist.
pub fn replay(trace: &str) -> Result<HoldOutcome, ReplayError> {
    let (header, faults) = parse(trace)?;
    replay_script(&header, &faults)
}

/// Replays a trace given as a header and faults.
///
/// # Errors
///
/// Fails if a fault names an instance that does not exist.
pub fn replay_script(header: &Header, faults: &[TimedFault]) -> Result<HoldOutcome, ReplayError> {
    for (index, timed) in faults.iter().enumerate() {
        for node in timed.fault.nodes() {
            if node >= header.instances {
                return Err(ReplayError::NoInstance { fault: index, node });
            }
        }
    }
    Ok(run::Simulation::new(header).run(faults))
}

fn parse(trace: &str) -> Result<(Header, Vec<TimedFault>), ReplayError> {
    let mut lines = trace.lines().enumerate();
    let (_, first) = lines.next().ok_or(ReplayError::Empty)?;
    let header =
        serde_json::from_str(first).map_err(|source| ReplayError::Line { line: 1, source })?;
    let mut faults = Vec::new();
    for (index, text) in lines {
        if text.trim().is_empty() {
            continue;
        }
        let line = index + 1;
        let fault =
            serde_json::from_str(text).map_err(|source| ReplayError::Line { line, source })?;
        faults.push(fault);
    }
    Ok((header, faults))
}
