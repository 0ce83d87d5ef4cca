//! Duty that talks to the platform: table service, object store, instance list.
//!
//! One thread. [`Platform`] is the edge; `http` is the only module that knows
//! the protocol behind it.

mod check;
mod command;
mod config;
mod duty;
mod error;
mod http;
mod service;
mod versions;

use std::io;
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

use citronway_core::node::Event;
use tokio::sync::mpsc::{Receiver, Sender};

pub use command::PlatformCommand;
pub use config::{PlatformConfig, PlatformConfigBuilder};
pub use error::PlatformError;
pub use http::HttpPlatform;
pub use service::Platform;

/// The running duty.
#[derive(Debug)]
pub struct PlatformHandle {
    thread: JoinHandle<()>,
}

impl PlatformHandle {
    /// Waits for the thread, which ends after [`PlatformCommand::Stop`] or when
    /// the command ring is closed.
    pub fn join(self) {
        if self.thread.join().is_err() {
            log::error!("thread of the platform's duty panicked");
        }
    }
}

/// Starts the duty.
///
/// # Errors
///
/// If the thread or its runtime cannot be made.
pub fn start(
    cfg: &PlatformConfig,
    commands: Receiver<PlatformCommand>,
    events: Sender<Event>,
) -> io::Result<PlatformHandle> {
    let platform = HttpPlatform::new(cfg);
    let bounds = duty::Bounds {
        poll: Duration::from_millis(cfg.poll_ms),
        max_in_flight: cfg.max_in_flight,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let thread = Builder::new()
        .name("platform".to_owned())
        .spawn(move || runtime.block_on(duty::run(platform, bounds, commands, events)))?;
    Ok(PlatformHandle { thread })
}
