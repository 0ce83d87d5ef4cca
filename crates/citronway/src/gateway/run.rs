//! Starts the threads of an instance on the platform and waits for their end.

use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;

use citronway_core::gateway::admission::View;
use citronway_core::gateway::settings::InstanceSettings;
use citronway_core::ids::{Session, SessionId};
use tokio::runtime::Builder;
use tokio::sync::{mpsc, watch};

use crate::gateway::metrics::Metrics;
use crate::gateway::ready::Ready;
use crate::gateway::traffic::{ControlSenders, Stop};
use crate::gateway::{control, traffic};
use crate::logs;

/// Places in the ring that carries what the traffic saw to `control`.
///
/// One entry each 100 ms; a full ring drops the oldest knowledge, never a request.
const SEEN_RING: usize = 16;

/// Places in the ring that carries requests for trials to `control`; what does not fit is
/// refused and comes again.
const TRIALS_RING: usize = 256;

/// Places in the ring of requests about cold endpoints.
const COLD_RING: usize = 256;

/// Why an instance did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No platform has started this process.
    #[error("the platform names no settings file")]
    NoPlatform,
    /// The settings file cannot be read.
    #[error("settings file {path}: {cause}")]
    Unreadable {
        /// Its path.
        path: String,
        /// Why.
        cause: io::Error,
    },
    /// The settings are wrong.
    #[error("settings file {path}: {cause}")]
    Settings {
        /// Its path.
        path: String,
        /// Why.
        cause: citronway_platform::DecodeError,
    },
    /// A thread could not be started or an address not be taken.
    #[error("the {duty} duty could not be started: {cause}")]
    Start {
        /// Which duty.
        duty: &'static str,
        /// Why.
        cause: io::Error,
    },
    /// A thread ended by a panic.
    #[error("the {duty} duty panicked: {cause}")]
    Panicked {
        /// Which duty.
        duty: &'static str,
        /// What the panic said.
        cause: String,
    },
}

/// Path of the settings file that the platform names.
///
/// # Errors
///
/// When it names none.
pub fn settings_path() -> Result<PathBuf, Error> {
    citronway_platform::settings::path().ok_or(Error::NoPlatform)
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// When it cannot be read or is wrong.
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

/// Checks a settings file and says so.
///
/// # Errors
///
/// Everything that is wrong with it.
pub fn check(path: &Path) -> Result<ExitCode, Error> {
    load(path)?;
    println!("{}: ok", path.display());
    Ok(ExitCode::SUCCESS)
}

/// Runs an instance until it is asked to stop.
///
/// # Errors
///
/// When the settings are wrong or a duty could not be started.
pub fn run(path: &Path) -> Result<ExitCode, Error> {
    let cfg = load(path)?;
    if logs::to_ring(&cfg.instance, &cfg.zone).is_err() {
        eprintln!("a logger was set before; logs go there");
    }
    logs::log_panics();
    let (high, low) = uuid::Uuid::new_v4().as_u64_pair();
    let me = Session {
        instance: cfg.instance.clone(),
        id: SessionId(high ^ low),
    };
    log::info!(session = me.to_string(), callers = cfg.callers.to_string(); "instance starts");
    let ready = Ready::default();
    let rank = citronway_core::gateway::pace::rank_of(&cfg.instance);
    let (view_tx, view_rx) = watch::channel(View::empty(cfg.zone.clone(), rank));
    let (report_tx, seen_rx) = mpsc::channel(SEEN_RING);
    let (trials_tx, trials_rx) = mpsc::channel(TRIALS_RING);
    let (cold_tx, cold_rx) = mpsc::channel(COLD_RING);
    let (stop_tx, stop_rx) = watch::channel(Stop::No);

    let runtime = runtime("control")?;
    let signals = {
        let _within = runtime.enter();
        control::Signals::listen().map_err(start("signals"))?
    };
    let ends = control::Channels {
        view: view_tx,
        seen: seen_rx,
        trials: trials_rx,
        cold: cold_rx,
        stop: stop_tx,
        signals,
    };
    let traffic_cfg = cfg.clone();
    let metrics = Metrics::default();
    let told = ControlSenders {
        reports: report_tx,
        trials: trials_tx,
        cold: cold_tx,
    };
    let counted = metrics.clone();
    let handle = thread::Builder::new()
        .name("traffic".to_owned())
        .spawn(move || traffic_thread(&traffic_cfg, view_rx, told, stop_rx, counted))
        .map_err(start("traffic"))?;
    let control = control::Control::new(cfg, me, path.to_owned(), ready, metrics, ends);
    // Each duty ends with the other, since the rings between them close.
    let controlled = catch_unwind(AssertUnwindSafe(|| runtime.block_on(control.run())));
    let controlled = controlled.map(|ended| ended.map_err(start("control")));
    let controlled = finish_duty("control", controlled);
    log::info!("instance stops");
    let served = finish_duty("traffic", handle.join());
    logs::flush();
    controlled.and(served).map(|()| ExitCode::SUCCESS)
}

/// What came of a duty; a failure is logged.
///
/// # Errors
///
/// When the duty ended by an error or a panic.
pub fn finish_duty(
    duty: &'static str,
    ended: thread::Result<Result<(), Error>>,
) -> Result<(), Error> {
    let ended = ended.unwrap_or_else(|panic| {
        let cause = logs::words_of_panic(&*panic).to_owned();
        Err(Error::Panicked { duty, cause })
    });
    if let Err(e) = &ended {
        log::error!(duty, cause = e.to_string(); "a duty failed");
    }
    ended
}

fn traffic_thread(
    cfg: &InstanceSettings,
    view: watch::Receiver<View>,
    told: ControlSenders,
    stop: watch::Receiver<Stop>,
    metrics: Metrics,
) -> Result<(), Error> {
    let local = tokio::task::LocalSet::new();
    let served = local.block_on(
        &runtime("traffic")?,
        traffic::serve(cfg, view, told, stop, metrics),
    );
    served.map_err(start("traffic"))
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
