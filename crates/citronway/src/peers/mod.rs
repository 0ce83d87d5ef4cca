//! The peers duty: connections between instances.
//!
//! One thread carries all of them, because `capnp-rpc` objects stay on the
//! thread that made them. It takes [`PeerCommand`]s from a bounded ring and puts
//! [`Event`]s into another. It never waits for a ring: what finds no room is
//! counted and dropped (control messages, oldest first) or answered `not run`
//! (forwards).
//!
//! Each instance keeps one outgoing connection to every other listed instance
//! and sends on that one only, so each pair has two, one for each direction.

mod backoff;
mod command;
mod config;
mod connect;
mod context;
mod control_queue;
mod counted;
mod counters;
mod duty;
mod event_queue;
mod forward;
mod greeter;
mod link;
mod link_server;
mod listen;
mod patience;
mod remote;
mod replies;

use std::net::SocketAddr;
use std::sync::Arc;
use std::{io, net, thread};

use citronway_core::node::Event;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

pub use command::PeerCommand;
pub use config::{PeersConfig, PeersConfigBuilder};
pub use counters::{Counter, PeerCounters};
pub use patience::within;
pub use replies::PEER_TICKET_BASE;

/// The running duty.
#[derive(Debug)]
pub struct PeersHandle {
    /// Ends after [`PeerCommand::Stop`], or when the commands' sender is gone.
    pub thread: thread::JoinHandle<()>,
    /// Address it listens on, with the port that was picked if the settings left it open.
    pub local_addr: SocketAddr,
    /// What it has sent, received and dropped so far.
    pub counters: Arc<PeerCounters>,
}

/// Binds the listening address and starts the duty's thread.
///
/// # Errors
///
/// The address cannot be bound, or the thread cannot be started.
pub fn start(
    cfg: PeersConfig,
    commands: mpsc::Receiver<PeerCommand>,
    events: mpsc::Sender<Event>,
) -> io::Result<PeersHandle> {
    let listener = net::TcpListener::bind(cfg.listen)?;
    listener.set_nonblocking(true)?;
    let local_addr = listener.local_addr()?;
    let counters = Arc::new(PeerCounters::default());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let cx = (cfg, Arc::clone(&counters));
    let thread = thread::Builder::new()
        .name("peers".to_owned())
        .spawn(move || {
            let (cfg, counters) = cx;
            let duty = duty::run(cfg, counters, listener, commands, events);
            LocalSet::new().block_on(&runtime, duty);
        })?;
    Ok(PeersHandle {
        thread,
        local_addr,
        counters,
    })
}
