//! Duty that talks to endpoints: orders, grants, revocations, cancellations.
//!
//! One thread. Commands come in by a bounded ring, and each is answered by one
//! event, whatever becomes of it.

pub mod clock;
mod command;
mod config;
mod control;
mod duty;
pub mod gate;
mod lane;
pub(crate) mod link;
mod order;
mod pools;
mod slots;

use std::io;
use std::thread::{Builder, JoinHandle};

use citronway_core::node::Event;
use tokio::sync::mpsc::{Receiver, Sender};

pub use command::{EndpointCommand, Target};
pub use config::{EndpointsConfig, EndpointsConfigBuilder};

/// The running duty.
#[derive(Debug)]
pub struct EndpointsHandle {
    thread: JoinHandle<()>,
}

impl EndpointsHandle {
    /// Waits for the thread, which ends after [`EndpointCommand::Stop`] or when
    /// the command ring is closed.
    pub fn join(self) {
        if self.thread.join().is_err() {
            log::error!("thread of the endpoints' duty panicked");
        }
    }
}

/// Starts the duty.
///
/// # Errors
///
/// If the thread or its runtime cannot be made.
pub fn start(
    cfg: EndpointsConfig,
    commands: Receiver<EndpointCommand>,
    events: Sender<Event>,
) -> io::Result<EndpointsHandle> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let thread = Builder::new()
        .name("endpoints".to_owned())
        .spawn(move || runtime.block_on(duty::run(cfg, commands, events)))?;
    Ok(EndpointsHandle { thread })
}
