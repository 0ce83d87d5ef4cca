//! The traffic thread: accepts callers' requests and forwards them to endpoints.

mod answer_buf;
mod asks;
mod body;
mod cold;
mod connection;
mod ended;
mod endpoint_send;
mod forwarding;
mod limited;
mod links;
mod message;
mod neighbor;
mod open_requests;
mod outcome;
mod pool;
mod request;
mod seen;
mod send;
mod sent;
mod state;
mod suspicion;
mod trial;
mod write_stall;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use citronway_core::gateway::settings::InstanceSettings;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use crate::clock;
use crate::gateway::metrics::Metrics;
use asks::ControlClient;
use neighbor::Origin;
use state::{Phase, State};

pub use state::Stop;

pub use cold::ColdQuery;
pub use limited::LimitedSendQuery;
pub use seen::{ControlSenders, TrafficReport, Views};
pub use trial::TrialEvent;

/// Pause after a failed accept, for example when no descriptors are left.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Interval between decisions about waiting requests when no event triggers one.
const WAITING_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Time in which crash signs of one endpoint are batched before they are reported. It is short
/// because the caller may send harmful work again at another instance within 20 ms.
const CRASH_BATCH_DELAY: Duration = Duration::from_millis(3);

/// Interval between reports to `control`.
const REPORT_PERIOD: Duration = Duration::from_millis(100);

/// Serves callers until the instance is asked to stop and all requests are answered; `listening` is
/// told once callers can connect.
///
/// # Errors
///
/// When the address cannot be bound, or a task of the thread panicked.
pub async fn serve(
    cfg: &InstanceSettings,
    views: Views,
    to_control: ControlSenders,
    stop: watch::Receiver<Stop>,
    metrics: Metrics,
    listening: oneshot::Sender<()>,
) -> io::Result<()> {
    let mut listener = Some(write_stall::listen(cfg.callers)?);
    let mut neighbor_listener = match cfg.neighbors {
        Some(address) => Some(TcpListener::bind(address).await?),
        None => None,
    };
    if listening.send(()).is_err() {
        log::debug!("the process ends before callers are served");
    }
    let control = ControlClient {
        trials: to_control.trials,
        cold: to_control.cold,
        limited: to_control.limited,
    };
    let state = Rc::new(State::new(cfg, views, stop.clone(), metrics, control));
    let mut tasks = JoinSet::new();
    tasks.spawn_local(follow_view(Rc::clone(&state)));
    tasks.spawn_local(check_waiting(Rc::clone(&state)));
    tasks.spawn_local(links::watch(Rc::clone(&state)));
    let reports = to_control.reports;
    tasks.spawn_local(send_reports(Rc::clone(&state), reports.clone()));
    let drained = connection::drain(&state, stop, cfg.grace_ms);
    tokio::pin!(drained);
    loop {
        tokio::select! {
            () = accept(listener.as_ref(), &state, Origin::Caller) => {}
            () = accept(neighbor_listener.as_ref(), &state, Origin::Neighbor) => {}
            // Failure: when few instances of a zone are left, callers keep connecting, and the
            // last of them are cut off when the process ends. Closing the port sends them
            // elsewhere before a request is read.
            () = state.wait_for_phase(Phase::Closing), if listener.is_some() => {
                listener = None;
                neighbor_listener = None;
                log::info!("the callers' port is closed");
            }
            () = &mut drained => {
                send_last_report(&state, &reports);
                return Ok(());
            }
            // Failure: a task panics, and the instance accepts requests that are never
            // forwarded.
            Some(Err(e)) = tasks.join_next() => {
                state.open_requests.end_all(clock::mono());
                return Err(io::Error::other(e));
            }
        }
    }
}

/// Sends the last report.
///
/// Failure guarded against: the last request of a stopping instance ends with a crash of its
/// endpoint, and no other instance learns of it.
fn send_last_report(state: &State, reports: &mpsc::Sender<TrafficReport>) {
    if let Err(e) = reports.try_send(state.take_report()) {
        log::warn!(cause = e.to_string(); "last traffic report dropped");
    }
}

async fn accept(listener: Option<&TcpListener>, state: &Rc<State>, origin: Origin) {
    let Some(listener) = listener else {
        return std::future::pending().await;
    };
    loop {
        // Connections that are not accepted cost this process nothing.
        while state.memory.is_exhausted() {
            tokio::time::sleep(ACCEPT_PAUSE).await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection::serve(Rc::clone(state), stream, origin));
            }
            Err(e) => {
                log::warn!(cause = e.to_string(); "failed to accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn follow_view(state: Rc<State>) {
    let mut view = state.view.clone();
    while view.changed().await.is_ok() {
        state.update_view();
    }
}

async fn check_waiting(state: Rc<State>) {
    let mut ticks = interval(WAITING_CHECK_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        state.wait_for_waiting().await;
        ticks.tick().await;
        state.decide_waiting();
    }
}

async fn send_reports(state: Rc<State>, reports: mpsc::Sender<TrafficReport>) {
    let mut ticks = interval(REPORT_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            // All connections to a crashed endpoint break at once.
            () = state.crash_seen.notified() => tokio::time::sleep(CRASH_BATCH_DELAY).await,
        }
        // A full channel means that `control` is behind. The next report has the same gauges,
        // and lost samples only delay an estimate, but crash signs and departures are reported once.
        if let Err(e) = reports.try_send(state.take_report()) {
            log::debug!(cause = e.to_string(); "traffic report dropped");
            state.restore_report(e.into_inner());
        }
    }
}
