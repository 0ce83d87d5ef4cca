//! One soak, from its seed to its verdict.

use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::callers::{Caller, Cut, KEYS, Kind, Told, Was};
use super::fleet::Fleet;
use super::kinds::Soak;
use super::plan::{self, LENGTH_MS, Planned};
use super::verdict::{self, Violation};
use crate::shared::{Excess, excessive_repeats};

/// Callers at the same time.
const CALLERS: u64 = 4;

/// The same where some of them wait for long work.
const CALLERS_OF_LONG_WORK: u64 = 12;

/// Callers that send rows of requests.
const CALLERS_OF_ROWS: u64 = 4;

/// Callers that read slowly and send on.
const CALLERS_THAT_SEND_ON: u64 = 6;

/// Sets the draws of callers that send on apart from those of the others.
const ON_STREAM: u64 = 0x6f6e_0000;

/// Sets the draws of callers of rows apart from those of the others.
const ROWS_STREAM: u64 = 0x726f_7773;

/// Instances to a caller where there are many.
const INSTANCES_A_CALLER: u64 = 3;

/// Time between two looks at who holds which key.
const LOOK: Duration = Duration::from_millis(2);

/// Bound of the wait for service before and after the faults, far above what it takes:
/// 20 s where a leader and an endpoint are lost together.
const PATIENCE: Duration = Duration::from_secs(90);

/// Time after which a crashed endpoint is back.
const BACK_AFTER: Duration = Duration::from_millis(300);

/// Crashes after which work is known to be harmful, and the time in which a healthy fleet has
/// heard of them.
const KNOWN_AFTER: usize = 3;
const KNOWN_WITHIN: Duration = Duration::from_secs(3);

/// Tries of harmful work at a healthy fleet, and how many of them may reach an endpoint.
const TRIES: usize = 12;
const ALLOWED_AFTER: usize = 3;

/// What came of a soak.
#[derive(Debug)]
pub struct Soaked {
    /// What was played.
    pub soak: Soak,
    /// Its faults.
    pub plan: Vec<Planned>,
    /// Requests of callers.
    pub requests: usize,
    /// Requests that were answered with success.
    pub served: usize,
    /// Requests that had no answer and were not read, and those that were.
    pub cut: (usize, usize),
    /// Time until all was served again.
    pub healed: Duration,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    /// Folder with the logs, kept if a promise was broken.
    pub logs: Option<PathBuf>,
}

/// Plays a soak with instances of the program at `binary`.
///
/// # Errors
///
/// When the stand-ins or the processes cannot be had.
pub fn run(soak: Soak, binary: &Path) -> io::Result<Soaked> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(play(soak, binary))
}

async fn play(soak: Soak, binary: &Path) -> io::Result<Soaked> {
    let plan = plan::of(&soak);
    let mut fleet = Fleet::start(&soak, binary)?;
    let mut violations = until_served(&mut fleet, "before").await?;
    let (stop, stopped) = watch::channel(false);
    let count = callers(&soak);
    let mut all: Vec<_> = (0..count)
        .map(|n| {
            let seed = soak.seed.wrapping_mul(count).wrapping_add(n);
            let caller = Caller::new(fleet.callers(), soak.signals);
            tokio::spawn(caller.call_on(seed, stopped.clone()))
        })
        .collect();
    for n in 0..if soak.rows { CALLERS_OF_ROWS } else { 0 } {
        let seed = (soak.seed ^ ROWS_STREAM)
            .wrapping_mul(count)
            .wrapping_add(n);
        let caller = Caller::new(fleet.callers(), false);
        all.push(tokio::spawn(caller.send_rows(seed, stopped.clone())));
    }
    for n in 0..if soak.closing {
        CALLERS_THAT_SEND_ON
    } else {
        0
    } {
        let seed = (soak.seed ^ ON_STREAM).wrapping_mul(CALLERS_THAT_SEND_ON);
        let caller = Caller::new(fleet.callers(), false);
        all.push(tokio::spawn(
            caller.send_on(seed.wrapping_add(n), stopped.clone()),
        ));
    }
    let harm = soak.harmful.then(|| {
        let caller = Caller::new(fleet.callers(), false);
        tokio::spawn(caller.do_harm(soak.seed, stopped.clone()))
    });
    violations.extend(go_wrong(&mut fleet, &plan).await?);
    fleet.heal()?;
    let healing = Instant::now();
    violations.extend(until_stopped(&mut fleet).await?);
    stop.send_replace(true);
    let mut told = Vec::<Told>::new();
    for caller in all {
        told.extend(caller.await.map_err(io::Error::other)?);
    }
    if let Some(harm) = harm {
        harm.await.map_err(io::Error::other)?;
    }
    violations.extend(until_served(&mut fleet, "after").await?);
    let healed = healing.elapsed();
    if soak.harmful {
        violations.extend(sends_on(&mut fleet).await?);
    }
    fleet.nothing_put_off().await;
    violations.extend(fleet.excesses().iter().map(over_limit));
    let late = fleet.late_arrivals();
    violations.extend(late.into_iter().map(|late| Violation::SentToLeaving {
        instance: late.sender,
        after: late.after,
    }));
    let broken = fleet.broken_rests();
    violations.extend(broken.into_iter().map(|broken| Violation::RestBroken {
        instance: broken.sender,
        got: broken.got,
    }));
    let sent = told.iter().map(|told| (told.id.clone(), told.sent));
    let repeats = excessive_repeats(&fleet.arrived(), &sent.collect());
    violations.extend(repeats.into_iter().map(Violation::Repeated));
    violations.extend(verdict::check(&told, &fleet.ran(), &fleet.excuses()));
    let served = told.iter().filter(|told| is_served(told)).count();
    let logs = if violations.is_empty() {
        fleet.clear()?;
        None
    } else {
        Some(fleet.folder().to_owned())
    };
    Ok(Soaked {
        soak,
        plan,
        requests: told.len(),
        served,
        cut: cut(&told),
        healed,
        violations,
        logs,
    })
}

fn over_limit(excess: &Excess) -> Violation {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "limits are positive and small"
    )]
    let allowed = excess.allowed as u32;
    let got = excess.got;
    Violation::OverLimit { got, allowed }
}

fn callers(soak: &Soak) -> u64 {
    if !soak.signals {
        return CALLERS;
    }
    CALLERS_OF_LONG_WORK.max(soak.instances as u64 / INSTANCES_A_CALLER)
}

fn cut(told: &[Told]) -> (usize, usize) {
    let count = |is: fn(&Cut) -> bool| {
        let all = told.iter();
        all.filter(|told| matches!(&told.was, Was::Cut(cut) if is(cut)))
            .count()
    };
    (
        count(|cut| *cut == Cut::Unread),
        count(|cut| *cut != Cut::Unread),
    )
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
        fleet.write_again();
        fleet.restart_ended()?;
        fleet.replace_crashed(BACK_AFTER)?;
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

/// Waits until all processes that were told to stop have ended.
async fn until_stopped(fleet: &mut Fleet) -> io::Result<Option<Violation>> {
    let end = Instant::now() + PATIENCE;
    while fleet.is_stopping() {
        if Instant::now() > end {
            return Ok(Some(Violation::Endless));
        }
        fleet.restart_ended()?;
        fleet.replace_crashed(BACK_AFTER)?;
        tokio::time::sleep(LOOK).await;
    }
    Ok(None)
}

/// Sends work to a healthy fleet that has crashed endpoints before, and looks whether it is
/// begun again and again.
async fn sends_on(fleet: &mut Fleet) -> io::Result<Option<Violation>> {
    // An endpoint may begin several copies before it crashes, and copies that it had put off have
    // lost their connections.
    if fleet.crashed_by_harm() < KNOWN_AFTER {
        return Ok(None);
    }
    let before = fleet.harm_done();
    tokio::time::sleep(KNOWN_WITHIN).await;
    let addresses = fleet.callers();
    let instances = addresses.len();
    let mut callers: Vec<_> = (0..instances)
        .map(|_| Caller::new(addresses.clone(), false))
        .collect();
    for round in 0..TRIES {
        // A copy at each instance, all at once; what they are told is their own affair.
        let copies = callers.iter_mut().enumerate().map(|(n, caller)| {
            let id = format!("harmful-after-{round}-{n}");
            caller.ask(n, Kind::Harmful, 0, id)
        });
        futures::future::join_all(copies).await;
        fleet.replace_crashed(Duration::ZERO)?;
    }
    let times = fleet.harm_done() - before;
    let tries = TRIES * instances;
    Ok((times > ALLOWED_AFTER).then_some(Violation::SentOn { times, tries }))
}

/// Waits until each instance serves each key and the service without keys.
async fn until_served(fleet: &mut Fleet, when: &str) -> io::Result<Vec<Violation>> {
    let callers = fleet.callers();
    let mut caller = Caller::new(callers.clone(), false);
    let end = Instant::now() + PATIENCE;
    let mut unserved = Vec::new();
    for n in 0..callers.len() {
        for (kind, key) in KEYS
            .map(|key| (Kind::Apply, key))
            .into_iter()
            .chain([(Kind::Order, 0)])
        {
            let mut tries = 0;
            loop {
                let id = format!("{when}-{n}-{key}-{tries}");
                if caller
                    .ask(n, kind, key, id)
                    .await
                    .is_some_and(|told| is_served(&told))
                {
                    break;
                }
                if Instant::now() > end {
                    let what = format!("{kind:?} of key {key} at instance {n}, {when} the faults");
                    unserved.push(Violation::Unserved { what });
                    return Ok(unserved);
                }
                tries += 1;
                fleet.revive()?;
                fleet.replace_crashed(BACK_AFTER)?;
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    Ok(unserved)
}
