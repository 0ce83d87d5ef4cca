//! Duty that talks to callers: takes requests, gives outcomes.
//!
//! One thread. Requests go out as [`Event::Caller`], outcomes come back by a
//! bounded ring. Nothing waits for the ring of events: a request that finds it
//! full is refused, with certainty that it did not run.

mod app;
mod body;
mod config;
mod finding;
mod head;
mod path;
pub mod percent;
mod reply;
mod server;
mod stall;
mod waiting;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::thread::{Builder, JoinHandle};

use citronway_core::node::Event;
use citronway_core::node::events::Ticket;
use citronway_core::outcome::Outcome;
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::sync::watch;

pub use config::{CallersConfig, CallersConfigBuilder};

use app::App;
use body::Memory;
use waiting::Waiting;

/// The outcome of a caller's request.
#[derive(Debug)]
pub struct CallerReply {
    /// Ticket of [`Event::Caller`].
    pub ticket: Ticket,
    /// The outcome.
    pub outcome: Outcome,
}

/// The running duty; dropping it stops the duty as [`CallersHandle::stop`] does.
#[derive(Debug)]
pub struct CallersHandle {
    /// Address that callers reach.
    pub local_addr: SocketAddr,
    /// Malformed requests so far.
    pub malformed: Arc<AtomicU64>,
    stop: watch::Sender<bool>,
    thread: JoinHandle<()>,
}

impl CallersHandle {
    /// Stops accepting. Requests in progress are finished, so outcomes must
    /// still come.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Waits until the last request in progress is finished.
    pub fn join(self) {
        if self.thread.join().is_err() {
            log::error!("thread of the callers' duty panicked");
        }
    }
}

/// Starts the duty; `ready` says whether the instance takes work.
///
/// # Errors
///
/// If the address cannot be listened on, or the thread cannot be made.
pub fn start(
    cfg: CallersConfig,
    replies: Receiver<CallerReply>,
    events: Sender<Event>,
    ready: Arc<AtomicBool>,
) -> io::Result<CallersHandle> {
    let listener = TcpListener::bind(cfg.listen)?;
    listener.set_nonblocking(true)?;
    let local_addr = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let app = App {
        waiting: Arc::new(Waiting::new(cfg.max_in_flight, events.clone())),
        memory: Memory::new(cfg.max_held_bytes),
        cfg,
        events,
        ready,
        malformed: Arc::default(),
    };
    let malformed = Arc::clone(&app.malformed);
    let (stop, stopped) = watch::channel(false);
    let thread = Builder::new()
        .name("callers".to_owned())
        .spawn(move || runtime.block_on(run(app, listener, replies, stopped)))?;
    Ok(CallersHandle {
        local_addr,
        malformed,
        stop,
        thread,
    })
}

async fn run(
    app: App,
    listener: TcpListener,
    replies: Receiver<CallerReply>,
    stop: watch::Receiver<bool>,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(err) => {
            log::error!(error:% = err; "listener cannot be used");
            return;
        }
    };
    let app = Arc::new(app);
    let outcomes = tokio::spawn(hand_out(replies, Arc::clone(&app.waiting)));
    server::run(&app.cfg, listener, app::router(&app), stop).await;
    outcomes.abort();
}

async fn hand_out(mut replies: Receiver<CallerReply>, waiting: Arc<Waiting>) {
    while let Some(reply) = replies.recv().await {
        waiting.complete(reply.ticket, reply.outcome);
    }
    waiting.close();
}
