//! One soak, from its seed to its verdict.

use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::callers::{self, KEYS, Kind, Told, Was};
use super::fleet::Fleet;
use super::plan::{self, LENGTH_MS, Planned};
use super::verdict::{self, Violation};
use crate::http::client::Client;

/// Callers at the same time.
const CALLERS: u64 = 4;

/// Time between two looks at who holds which key.
const LOOK: Duration = Duration::from_millis(2);

/// Bound of the wait for service before and after the faults, far above what it takes:
/// 20 s where a leader and an endpoint are lost together.
const PATIENCE: Duration = Duration::from_secs(90);

/// What came of a soak.
#[derive(Debug)]
pub struct Soaked {
    /// Its seed.
    pub seed: u64,
    /// Its faults.
    pub plan: Vec<Planned>,
    /// Requests of callers.
    pub requests: usize,
    /// Requests that were answered with success.
    pub served: usize,
    /// Time until all was served again.
    pub healed: Duration,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    /// Folder with the logs, kept if a promise was broken.
    pub logs: Option<PathBuf>,
}

/// Runs the soak of a seed with instances of the program at `binary`.
///
/// # Errors
///
/// When the stand-ins or the processes cannot be had.
pub fn run(seed: u64, binary: &Path) -> io::Result<Soaked> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(soak(seed, binary))
}

async fn soak(seed: u64, binary: &Path) -> io::Result<Soaked> {
    let plan = plan::of_seed(seed);
    let mut fleet = Fleet::start(binary)?;
    let mut violations = until_served(&mut fleet, "before").await?;
    let (stop, stopped) = watch::channel(false);
    let all: Vec<_> = (0..CALLERS)
        .map(|n| {
            let seed = seed.wrapping_mul(CALLERS).wrapping_add(n);
            tokio::spawn(callers::call_on(seed, fleet.callers(), stopped.clone()))
        })
        .collect();
    violations.extend(go_wrong(&mut fleet, &plan).await?);
    stop.send_replace(true);
    let mut told = Vec::<Told>::new();
    for caller in all {
        told.extend(caller.await.map_err(io::Error::other)?);
    }
    fleet.heal();
    let healing = Instant::now();
    violations.extend(until_served(&mut fleet, "after").await?);
    let healed = healing.elapsed();
    violations.extend(verdict::check(&told, &fleet.ran()));
    let served = told.iter().filter(|told| is_served(told)).count();
    let logs = if violations.is_empty() {
        fleet.clear()?;
        None
    } else {
        Some(fleet.folder().to_owned())
    };
    Ok(Soaked {
        seed,
        plan,
        requests: told.len(),
        served,
        healed,
        violations,
        logs,
    })
}

const fn is_served(told: &Told) -> bool {
    matches!(told.was, Was::Answered { status: 200, .. })
}

/// Plays the plan; tells which keys two living endpoints held at the same time.
async fn go_wrong(fleet: &mut Fleet, plan: &[Planned]) -> io::Result<Vec<Violation>> {
    let begin = Instant::now();
    let mut starts = plan.iter().peekable();
    let mut under_way = Vec::<Planned>::new();
    let mut found = Vec::new();
    while begin.elapsed() < Duration::from_millis(LENGTH_MS) {
        let now = begin.elapsed();
        while let Some(planned) = starts.next_if(|planned| planned.at <= now) {
            fleet.begin(planned.fault)?;
            under_way.push(*planned);
        }
        while let Some(i) = under_way.iter().position(|p| p.at + p.lasts <= now) {
            fleet.end(under_way.swap_remove(i).fault)?;
        }
        for key in KEYS {
            let owners = fleet.holders(key);
            if owners.len() > 1 {
                found.push(Violation::TwoOwners { key, owners });
            }
        }
        tokio::time::sleep(LOOK).await;
    }
    found.dedup();
    Ok(found)
}

/// Waits until each instance serves each key and the service without keys.
async fn until_served(fleet: &mut Fleet, when: &str) -> io::Result<Vec<Violation>> {
    let client = Client::default();
    let end = Instant::now() + PATIENCE;
    let mut unserved = Vec::new();
    for (n, to) in fleet.callers().into_iter().enumerate() {
        for (kind, key) in KEYS
            .map(|key| (Kind::Apply, key))
            .into_iter()
            .chain([(Kind::Order, 0)])
        {
            let mut tries = 0;
            loop {
                let id = format!("{when}-{n}-{key}-{tries}");
                if is_served(&callers::ask(&client, to, kind, key, id).await) {
                    break;
                }
                if Instant::now() > end {
                    let what = format!("{kind:?} of key {key} at instance {n}, {when} the faults");
                    unserved.push(Violation::Unserved { what });
                    return Ok(unserved);
                }
                tries += 1;
                fleet.revive()?;
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    Ok(unserved)
}
