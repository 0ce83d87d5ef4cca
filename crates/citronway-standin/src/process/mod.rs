//! What the stand-in processes have in common: how they say that they are
//! ready, and how they end.

use std::io::{self, Read, Write};
use std::net::SocketAddr;

/// First word of the line that a stand-in prints once it listens.
pub const READY: &str = "ready";

/// Prints `ready ADDRESS` on standard output.
///
/// # Errors
///
/// If standard output is closed.
pub fn announce(addr: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "{READY} {addr}")?;
    out.flush()
}

/// Returns when standard input closes, or never.
///
/// A child whose standard input is a pipe from its parent ends with the parent,
/// however the parent ended.
///
/// # Errors
///
/// If standard input cannot be read.
pub fn wait_for_end(until_stdin_closes: bool) -> io::Result<()> {
    if !until_stdin_closes {
        loop {
            std::thread::park();
        }
    }
    let mut buf = [0; 64];
    while io::stdin().read(&mut buf)? > 0 {}
    Ok(())
}

/// The present time in milliseconds since the Unix epoch.
#[must_use]
pub fn wall() -> citronway_core::time::Wall {
    let since = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    citronway_core::time::Wall(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
