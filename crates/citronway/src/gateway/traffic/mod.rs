//! Takes callers' requests and sends them to endpoints, on a thread of its own.

mod asks;
mod cold;
mod connection;
mod ended;
mod forwarding;
mod open_requests;
mod outcome;
mod pool;
mod request;
mod seen;
mod sent;
mod state;
mod suspicion;
mod trial;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use citronway_core::gateway::admission::View;
use citronway_core::gateway::settings::InstanceSettings;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use crate::clock;
use crate::gateway::metrics::Metrics;
use asks::Asks;
use state::{Phase, State};

pub use state::Stop;

pub use cold::ColdQuery;
pub use seen::{ControlSenders, TrafficReport};
pub use trial::TrialEvent;

/// Pause after a connection could not be taken, as when descriptors run out.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time between two looks at those that wait, when nothing else causes one.
const PUMP_PERIOD: Duration = Duration::from_millis(20);

/// Time in which what broke with an endpoint is gathered before it is told: its caller may
/// send harmful work again at another instance within 20 ms.
const CRASH_GATHERS: Duration = Duration::from_millis(3);

/// Time between two accounts of what was seen.
const SEEN_PERIOD: Duration = Duration::from_millis(100);

/// Serves callers until asked to stop and all requests are answered.
///
/// # Errors
///
/// When the address cannot be taken, or a part of the duty panicked.
pub async fn serve(
    cfg: &InstanceSettings,
    view: watch::Receiver<View>,
    told: ControlSenders,
    stop: watch::Receiver<Stop>,
    metrics: Metrics,
) -> io::Result<()> {
    let mut listener = Some(TcpListener::bind(cfg.callers).await?);
    let asks = Asks {
        trials: told.trials,
        cold: told.cold,
    };
    let state = Rc::new(State::new(cfg, view, stop.clone(), metrics, asks));
    let mut parts = JoinSet::new();
    parts.spawn_local(follow_view(Rc::clone(&state)));
    parts.spawn_local(pump(Rc::clone(&state)));
    let seen = told.reports;
    parts.spawn_local(account(Rc::clone(&state), seen.clone()));
    let drained = connection::drained(&state, stop, cfg.grace_ms);
    tokio::pin!(drained);
    loop {
        tokio::select! {
            () = accept(listener.as_ref(), &state) => {}
            // Failure: callers go on connecting when few instances of a zone are left,
            // and the last of them are cut off when the process ends. A closed port
            // sends them elsewhere before a request is read.
            () = state.reached(Phase::Closing), if listener.is_some() => {
                listener = None;
                log::info!("the callers' port is closed");
            }
            () = &mut drained => {
                tell_last(&state, &seen);
                return Ok(());
            }
            // Failure: one of them panics, and the instance takes requests that nobody
            // sends on any more.
            Some(Err(e)) = parts.join_next() => {
                state.open.end_all(clock::mono());
                return Err(io::Error::other(e));
            }
        }
    }
}

/// Gives the last account.
///
/// Failure guarded against: the last request of an instance that stops ends with a crash of its
/// endpoint, and nobody else hears of it.
fn tell_last(state: &State, seen: &mpsc::Sender<TrafficReport>) {
    if let Err(e) = seen.try_send(state.account()) {
        log::warn!(cause = e.to_string(); "the last account of the traffic was dropped");
    }
}

async fn accept(listener: Option<&TcpListener>, state: &Rc<State>) {
    let Some(listener) = listener else {
        return std::future::pending().await;
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection::serve(Rc::clone(state), stream));
            }
            Err(e) => {
                log::warn!(cause = e.to_string(); "the callers' address took no connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn follow_view(state: Rc<State>) {
    let mut view = state.view.clone();
    while view.changed().await.is_ok() {
        state.view_changed();
    }
}

async fn pump(state: Rc<State>) {
    let mut ticks = interval(PUMP_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        state.anyone_waits().await;
        ticks.tick().await;
        state.pump();
    }
}

async fn account(state: Rc<State>, seen: mpsc::Sender<TrafficReport>) {
    let mut ticks = interval(SEEN_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            // All that an endpoint had breaks at once.
            () = state.crash_seen.notified() => tokio::time::sleep(CRASH_GATHERS).await,
        }
        // A full ring means that `control` is behind; the next account has the same
        // gauges, and what is missing of the samples only delays an estimate. Signs of
        // crashes come once.
        if let Err(e) = seen.try_send(state.account()) {
            log::debug!(cause = e.to_string(); "an account of the traffic was dropped");
            state.keep_signs(e.into_inner().signs);
        }
    }
}
