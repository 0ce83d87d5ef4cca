//! Starts the threads of an instance on the platform and waits for their end.

use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use citronway_core::gateway::admission::View;
use citronway_core::gateway::freshness::Trust;
use citronway_core::gateway::settings::InstanceSettings;
use citronway_core::ids::{Session, SessionId};
use citronway_core::time::Mono;
use tokio::runtime::Builder;
use tokio::sync::{mpsc, oneshot, watch};

use crate::clock;
use crate::gateway::metrics::Metrics;
use crate::gateway::ready::Ready;
use crate::gateway::traffic::{ControlSenders, Stop, Views};
use crate::gateway::{control, traffic};
use crate::logs;

/// Capacity of the channel of traffic reports to `control`.
///
/// There is one report every 100 ms. If the channel is full, a report is dropped, never a
/// request.
const REPORTS_CAPACITY: usize = 16;

/// Capacity of the channel of trial queries to `control`. A query that does not fit is refused,
/// and its caller retries.
const TRIALS_CAPACITY: usize = 256;

/// Capacity of the channel of queries about cold endpoints.
const COLD_CAPACITY: usize = 256;

/// Capacity of the channel of queries about endpoints that state a limit.
const LIMITED_CAPACITY: usize = 256;

/// How long the end of a process that was not asked to stop waits for the last lines of the logs.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

/// Time of the grace that is left for the exit itself, in milliseconds.
const EXIT_MS: u64 = 50;

/// Why an instance could not start, or failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The process was not started by the platform.
    #[error("the platform states no settings file")]
    NoPlatform,
    /// The settings file cannot be read.
    #[error("settings file {path}: {cause}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Cause of the failure.
        cause: io::Error,
    },
    /// The settings are invalid.
    #[error("settings file {path}: {cause}")]
    Settings {
        /// Path of the file.
        path: String,
        /// What is wrong with them.
        cause: citronway_platform::DecodeError,
    },
    /// A thread could not be started, or an address could not be bound.
    #[error("the {duty} duty could not be started: {cause}")]
    Start {
        /// Name of the duty.
        duty: &'static str,
        /// Cause of the failure.
        cause: io::Error,
    },
    /// A thread panicked.
    #[error("the {duty} duty panicked: {cause}")]
    Panicked {
        /// Name of the duty.
        duty: &'static str,
        /// Message of the panic.
        cause: String,
    },
}

/// Path of the settings file that the platform states.
///
/// # Errors
///
/// When it states none.
pub fn settings_path() -> Result<PathBuf, Error> {
    citronway_platform::settings::path().ok_or(Error::NoPlatform)
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// When it cannot be read or is invalid.
pub fn load(path: &Path) -> Result<InstanceSettings, Error> {
    let shown = || path.display().to_string();
    let text = std::fs::read(path).map_err(|cause| Error::Unreadable {
        path: shown(),
        cause,
    })?;
    citronway_platform::settings::decode(&text).map_err(|cause| Error::Settings {
        path: shown(),
        cause,
    })
}

/// Checks a settings file and prints the result.
///
/// # Errors
///
/// Everything that is wrong with the file.
pub fn check(path: &Path) -> Result<ExitCode, Error> {
    load(path)?;
    println!("{}: ok", path.display());
    Ok(ExitCode::SUCCESS)
}

/// Runs an instance until it is asked to stop.
///
/// # Errors
///
/// When the settings are invalid, or a duty could not be started or failed.
pub fn run(path: &Path) -> Result<ExitCode, Error> {
    let cfg = load(path)?;
    if logs::to_ring(&cfg.instance, &cfg.zone).is_err() {
        eprintln!("a logger is already set; logs go to it");
    }
    logs::log_panics();
    let ended = run_duties(cfg, path);
    // The lines on how the last requests ended come last.
    let ends_by = ended.as_ref().ok().copied().flatten();
    logs::flush(flush_limit(clock::mono(), ends_by));
    ended.map(|_ends_by| ExitCode::SUCCESS)
}

/// How long the last lines of the logs are waited for.
fn flush_limit(now: Mono, ends_by: Option<Mono>) -> Duration {
    ends_by.map_or(FLUSH_LIMIT, |end| {
        Duration::from_millis(end.since(now).saturating_sub(EXIT_MS))
    })
}

/// Runs all duties until they end; returns when the grace of the stop ends, if one was asked for.
///
/// # Errors
///
/// When a duty could not be started or failed.
fn run_duties(cfg: InstanceSettings, path: &Path) -> Result<Option<Mono>, Error> {
    let (high, low) = uuid::Uuid::new_v4().as_u64_pair();
    let own_session = Session {
        instance: cfg.instance.clone(),
        id: SessionId(high ^ low),
    };
    log::info!(session = own_session.to_string(), callers = cfg.callers.to_string(); "instance starts");
    let ready = Ready::default();
    let rank = citronway_core::gateway::pace::rank_of(&cfg.instance);
    let (view_tx, view_rx) = watch::channel(View::empty(cfg.zone.clone(), rank));
    let (trust_tx, trust_rx) = watch::channel(Trust::UNCONFIRMED);
    let (report_tx, report_rx) = mpsc::channel(REPORTS_CAPACITY);
    let (trials_tx, trials_rx) = mpsc::channel(TRIALS_CAPACITY);
    let (cold_tx, cold_rx) = mpsc::channel(COLD_CAPACITY);
    let (limited_tx, limited_rx) = mpsc::channel(LIMITED_CAPACITY);
    let (stop_tx, stop_rx) = watch::channel(Stop::No);
    let (listening_tx, listening_rx) = oneshot::channel();

    let runtime = runtime("control")?;
    let signals = {
        let _within = runtime.enter();
        control::Signals::listen().map_err(start("signals"))?
    };
    let channels = control::Channels {
        view: view_tx,
        trust: trust_tx,
        seen: report_rx,
        trials: trials_rx,
        cold: cold_rx,
        limited: limited_rx,
        stop: stop_tx,
        signals,
    };
    let traffic_cfg = cfg.clone();
    let metrics = Metrics::default();
    let to_control = ControlSenders {
        reports: report_tx,
        trials: trials_tx,
        cold: cold_tx,
        limited: limited_tx,
    };
    let traffic_metrics = metrics.clone();
    let views = Views {
        view: view_rx,
        trust: trust_rx,
    };
    let traffic_handle = thread::Builder::new()
        .name("traffic".to_owned())
        .spawn(move || {
            let cfg = &traffic_cfg;
            traffic_thread(
                cfg,
                views,
                to_control,
                stop_rx,
                traffic_metrics,
                listening_tx,
            )
        })
        .map_err(start("traffic"))?;
    // Failure guarded against: the instance is ready before the traffic thread listens, and callers
    // whom the balancer sends are refused connections.
    if listening_rx.blocking_recv().is_err() {
        log::debug!("the traffic duty ended before it listened");
    }
    let control =
        control::Control::new(cfg, own_session, path.to_owned(), ready, metrics, channels);
    // Each duty ends when the other one does, because the channels between them close.
    let control_result = catch_unwind(AssertUnwindSafe(|| runtime.block_on(control.run())));
    // Failure guarded against: control has failed, nothing answers on its ports any more, and while
    // the traffic drains each readiness check waits until it times out.
    drop(runtime);
    let control_result = control_result.map(|result| result.map_err(start("control")));
    let control_result = finish_duty("control", control_result);
    log::info!("instance stops");
    let traffic_result = finish_duty("traffic", traffic_handle.join());
    let ends_by = control_result?;
    traffic_result.map(|()| ends_by)
}

/// Result of a duty; a failure is logged.
///
/// # Errors
///
/// When the duty ended with an error or a panic.
pub fn finish_duty<T>(
    duty: &'static str,
    result: thread::Result<Result<T, Error>>,
) -> Result<T, Error> {
    let result = result.unwrap_or_else(|panic| {
        let cause = logs::words_of_panic(&*panic).to_owned();
        Err(Error::Panicked { duty, cause })
    });
    if let Err(e) = &result {
        log::error!(duty, cause = e.to_string(); "a duty failed");
    }
    result
}

fn traffic_thread(
    cfg: &InstanceSettings,
    views: Views,
    to_control: ControlSenders,
    stop: watch::Receiver<Stop>,
    metrics: Metrics,
    listening: oneshot::Sender<()>,
) -> Result<(), Error> {
    let local = tokio::task::LocalSet::new();
    let traffic_result = local.block_on(
        &runtime("traffic")?,
        traffic::serve(cfg, views, to_control, stop, metrics, listening),
    );
    traffic_result.map_err(start("traffic"))
}

fn runtime(duty: &'static str) -> Result<tokio::runtime::Runtime, Error> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(start(duty))
}

fn start(duty: &'static str) -> impl Fn(io::Error) -> Error {
    move |cause| Error::Start { duty, cause }
}
