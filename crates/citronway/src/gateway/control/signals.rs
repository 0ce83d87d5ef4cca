//! Signals to the process of an instance.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Signalled {
    /// The instance is to stop.
    Stop,
    /// The settings are to be read again.
    Reload,
    /// Nothing; with the name of the signal.
    Nothing(&'static str),
}

/// Process signals that an instance handles.
#[derive(Debug)]
pub(in crate::gateway) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
    first_user: Signal,
    second_user: Signal,
}

impl Signals {
    /// Registers the handlers; must be called within a Tokio runtime.
    ///
    /// Must be called before callers are accepted. Signals without a meaning here have handlers too,
    /// since their default is to end the process.
    pub(in crate::gateway) fn listen() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
            first_user: signal(SignalKind::user_defined1())?,
            second_user: signal(SignalKind::user_defined2())?,
        })
    }

    /// Waits for the next signal.
    pub(super) async fn next(&mut self) -> Signalled {
        tokio::select! {
            _ = self.terminate.recv() => Signalled::Stop,
            _ = self.interrupt.recv() => Signalled::Stop,
            _ = self.hang_up.recv() => Signalled::Reload,
            _ = self.first_user.recv() => Signalled::Nothing("SIGUSR1"),
            _ = self.second_user.recv() => Signalled::Nothing("SIGUSR2"),
        }
    }
}
