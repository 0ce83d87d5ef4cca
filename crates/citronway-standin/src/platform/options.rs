//! Command line of the platform stand-in.

use std::io;
use std::net::SocketAddr;

use bpaf::Bpaf;

use super::Platform;
use crate::process;

/// Settings of the platform stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
#[bpaf(generate(platform_options))]
pub struct PlatformOptions {
    /// Address to listen on; port 0 picks a free one
    #[bpaf(argument("IP:PORT"))]
    pub listen: SocketAddr,
    /// Most that the instance list lags behind, in milliseconds
    #[bpaf(argument("MS"), fallback(0))]
    pub lag_ms: u64,
    /// Exit when standard input closes
    pub until_stdin_closes: bool,
}

impl PlatformOptions {
    /// Serves until the process ends.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on.
    pub fn run(&self) -> io::Result<()> {
        let platform = Platform::start(self.listen, self.lag_ms)?;
        process::announce(platform.addr())?;
        process::wait_for_end(self.until_stdin_closes)
    }
}
