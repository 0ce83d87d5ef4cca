//! Starts the duties of an entry instance and waits for their end.

use std::io;
use std::net::TcpListener;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::JoinHandle;

use citronway_core::dispatch::DispatchSettings;
use citronway_core::findings::Findings;
use citronway_core::hold::HoldSettings;
use citronway_core::ids::{Session, SessionId};
use citronway_core::node::{Event, Node, NodeSettings};
use citronway_core::placement::PlannerSettings;
use citronway_wire::greeting::SharedKey;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::callers::{self, CallersConfig, CallersHandle};
use crate::decide::Decider;
use crate::decide::record::Recorder;
use crate::endpoints::{self, EndpointsConfig};
use crate::logs;
use crate::metrics::Metrics;
use crate::observe::Observer;
use crate::operator_calls::OperatorCalls;
use crate::operators::{self, Setup, Snapshot, Token, snapshot};
use crate::peers::{self, PeersConfig, PeersHandle};
use crate::platform::{self, PlatformConfig};
use crate::publish::StatePublisher;
use crate::rings::{COMMANDS, Drops, EVENTS, Rings};
use crate::settings::{self, Settings};

/// A planner that was not heard of for this long is replaced, in milliseconds.
const PLANNER_SILENCE_MS: u64 = 800;

/// Why an entry instance did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings are wrong.
    #[error("{0}")]
    Settings(#[from] Findings),
    /// A duty could not be started.
    #[error("the {duty} duty could not be started: {cause}")]
    Start {
        /// Which duty.
        duty: &'static str,
        /// Why.
        cause: io::Error,
    },
}

/// Checks a settings file.
///
/// # Errors
///
/// Everything that is wrong with it.
pub fn check(path: &Path) -> Result<ExitCode, Error> {
    settings::load(path)?;
    println!("{}: ok", path.display());
    Ok(ExitCode::SUCCESS)
}

/// Runs an entry instance until it is asked to stop.
///
/// # Errors
///
/// The settings are wrong or a duty could not be started.
pub fn run(path: &Path) -> Result<ExitCode, Error> {
    let cfg = settings::load(path)?;
    if logs::init(&cfg.instance.name, &cfg.instance.zone, cfg.log.level).is_err() {
        eprintln!("a logger was set before; logs go there");
    }
    let me = Session {
        instance: cfg.instance.name.clone(),
        id: draw_session(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|cause| Error::Start {
            duty: "decide",
            cause,
        })?;
    runtime.block_on(serve(&cfg, me))?;
    Ok(ExitCode::SUCCESS)
}

fn draw_session() -> SessionId {
    let (high, low) = uuid::Uuid::new_v4().as_u64_pair();
    SessionId(high ^ low)
}

async fn serve(cfg: &Settings, me: Session) -> Result<(), Error> {
    let (events_tx, events) = mpsc::channel(EVENTS);
    listen_for_signals(events_tx.clone()).map_err(start("signals"))?;
    let ready = Arc::new(AtomicBool::new(false));
    let metrics = Arc::new(Metrics::new());
    let (rings, running) = start_duties(cfg, &me, &events_tx, &ready, &metrics)?;
    let (store_tx, store) = mpsc::channel(COMMANDS);
    let first = Snapshot::starting(me.clone(), cfg.instance.zone.clone());
    let (publisher, published) = snapshot::channel(first);
    let token = Token::new(cfg.operators.token.clone());
    let setup = Setup::new(token, published, store_tx, Arc::clone(&metrics));
    let stop = CancellationToken::new();
    let operators = start_operators(cfg, setup, stop.clone()).map_err(start("operators"))?;

    let settings = node_settings(cfg);
    let recorder = start_recorder(cfg, &me, &settings).map_err(start("trace"))?;
    let publisher = StatePublisher::new(me.clone(), publisher, Arc::clone(&metrics))
        .with_peers(Arc::clone(&running.peers.counters))
        .with_malformed(Arc::clone(&running.callers.malformed));
    let operator_calls = OperatorCalls::new(rings.platform.clone());
    let decider = Decider {
        node: Node::new(me.clone(), cfg.instance.zone.clone(), settings),
        rings,
        ready,
        observer: Observer::new(metrics),
        publisher,
        operator_calls,
        recorder,
        me,
        address: cfg.instance.peer_address().to_string(),
    };
    decider.run(events, store).await;
    running.end();
    stop.cancel();
    if operators.join().is_err() {
        log::error!("thread of the administration API panicked");
    }
    Ok(())
}

fn start_duties(
    cfg: &Settings,
    me: &Session,
    events: &mpsc::Sender<Event>,
    ready: &Arc<AtomicBool>,
    metrics: &Arc<Metrics>,
) -> Result<(Rings, Running), Error> {
    let (peers_tx, peers_rx) = mpsc::channel(COMMANDS);
    let (platform_tx, platform_rx) = mpsc::channel(COMMANDS);
    let (endpoints_tx, endpoints_rx) = mpsc::channel(COMMANDS);
    let (callers_tx, callers_rx) = mpsc::channel(COMMANDS);
    let peers = peers::start(peers_config(cfg, me), peers_rx, events.clone());
    let peers = peers.map_err(start("peers"))?;
    platform::start(&platform_config(cfg), platform_rx, events.clone())
        .map_err(start("platform"))?;
    endpoints::start(endpoints_config(cfg), endpoints_rx, events.clone())
        .map_err(start("endpoints"))?;
    let callers = callers::start(
        callers_config(cfg),
        callers_rx,
        events.clone(),
        Arc::clone(ready),
    )
    .map_err(start("callers"))?;
    let rings = Rings {
        callers: callers_tx,
        endpoints: endpoints_tx,
        peers: peers_tx,
        platform: platform_tx,
        drops: Drops::new(Arc::clone(metrics)),
    };
    Ok((rings, Running { callers, peers }))
}

/// Duties that have words to say when the deciding thread has ended.
#[derive(Debug)]
struct Running {
    callers: CallersHandle,
    peers: PeersHandle,
}

impl Running {
    /// Waits until both have given what they were told.
    ///
    /// Failure guarded against: an outcome of a forwarded request is still in the
    /// ring to the peers, or in a socket's buffer, when the process exits. The
    /// entry that waits for it sees the connection close, and its caller is told
    /// that the request may have run. The ring's sender is gone by now, so the
    /// peers' thread gives what it has and ends, within its own time limit.
    fn end(self) {
        self.callers.stop();
        self.callers.join();
        if self.peers.thread.join().is_err() {
            log::error!("thread of the peers' duty panicked");
        }
    }
}

fn start_operators(
    cfg: &Settings,
    setup: Setup,
    stop: CancellationToken,
) -> io::Result<JoinHandle<io::Result<()>>> {
    let listener = TcpListener::bind(cfg.instance.operators_listen)?;
    operators::spawn(listener, setup, stop)
}

fn start_recorder(
    cfg: &Settings,
    me: &Session,
    settings: &NodeSettings,
) -> io::Result<Option<Recorder>> {
    let Some(path) = &cfg.trace.record else {
        return Ok(None);
    };
    let recorder = Recorder::start(path, me, &cfg.instance.zone, settings)?;
    Ok(Some(recorder))
}

fn start(duty: &'static str) -> impl FnOnce(io::Error) -> Error {
    move |cause| Error::Start { duty, cause }
}

/// Passes a call to stop on, and takes note of one to read the settings again.
///
/// Failure guarded against: a signal comes that nobody listens for, or before anybody does,
/// and ends the process by its default, with all requests that are under way. So this comes
/// before callers are taken.
fn listen_for_signals(events: mpsc::Sender<Event>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hang_up.recv() => log::warn!("settings are read at the start only"),
            }
        }
        if events.send(Event::Stop).await.is_err() {
            log::warn!("asked to stop after the end");
        }
    });
    Ok(())
}

fn peers_config(cfg: &Settings, me: &Session) -> PeersConfig {
    let key = shared_key(cfg);
    PeersConfig::builder(
        me.clone(),
        cfg.instance.zone.clone(),
        cfg.instance.peers_listen,
        key,
    )
    .control_timeout(std::time::Duration::from_millis(cfg.peers.timeout_ms))
    .build()
}

fn platform_config(cfg: &Settings) -> PlatformConfig {
    PlatformConfig::builder(cfg.platform.address)
        .timeout_ms(cfg.platform.timeout_ms)
        .poll_ms(cfg.platform.poll_ms)
        .build()
}

fn endpoints_config(cfg: &Settings) -> EndpointsConfig {
    EndpointsConfig::builder()
        .probe_timeout_ms(cfg.dispatch.probe_timeout_ms)
        .build()
}

fn callers_config(cfg: &Settings) -> CallersConfig {
    let limits = &cfg.callers;
    CallersConfig::builder(cfg.instance.callers_listen)
        .max_body_bytes(usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX))
        .header_timeout_ms(limits.header_timeout_ms)
        .body_timeout_ms(limits.body_timeout_ms)
        .default_timeout_ms(limits.default_timeout_ms)
        .max_timeout_ms(limits.max_timeout_ms)
        .max_in_flight(usize::try_from(limits.max_in_flight).unwrap_or(usize::MAX))
        .build()
}

fn shared_key(cfg: &Settings) -> SharedKey {
    SharedKey::new(cfg.peers.shared_key.reveal().as_bytes())
}

fn node_settings(cfg: &Settings) -> NodeSettings {
    let skew_ms = cfg.clock.skew_ms;
    NodeSettings {
        poll_ms: cfg.platform.poll_ms,
        heartbeat_ms: cfg.peers.heartbeat_ms,
        grace_ms: cfg.shutdown.grace_ms,
        lame_duck_ms: cfg.shutdown.lame_duck_ms,
        policy: cfg.dispatch.policy,
        hold: HoldSettings::builder()
            .promise_ms(cfg.hold.promise_ms)
            .ask_interval_ms(cfg.hold.ask_ms)
            .suspicion_ms(cfg.hold.suspicion_ms)
            .skew_bound_ms(skew_ms)
            .build(),
        dispatch: DispatchSettings::builder()
            .grant_ms(cfg.dispatch.grant_ms)
            .max_grant_ms(cfg.dispatch.grant_ms)
            .renew_ms(cfg.dispatch.renew_ms)
            .max_order_ms(cfg.dispatch.max_order_ms)
            .queue_max(usize::try_from(cfg.dispatch.queue_limit).unwrap_or(usize::MAX))
            .id_window_ms(cfg.dispatch.duplicate_window_ms)
            .skew_ms(skew_ms)
            .build(),
        fingerprint_key: shared_key(cfg).for_fingerprints(),
        planner: PlannerSettings::default()
            .with_skew_ms(skew_ms)
            .with_silence_ms(PLANNER_SILENCE_MS),
        ..NodeSettings::default()
    }
}
