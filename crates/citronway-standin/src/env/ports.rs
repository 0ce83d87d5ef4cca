//! Free ports for processes that must be told theirs.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;
use std::sync::{Mutex, PoisonError};

use indexmap::IndexSet;
use rand::RngExt;

/// Below the range from which the system gives ports to outgoing connections:
/// one of those could take a port between the check and the use.
const PORTS: Range<u16> = 15_000..32_000;

const TRIES: u32 = 1000;

static HANDED_OUT: Mutex<Option<IndexSet<u16>>> = Mutex::new(None);

/// A loopback address that nobody listens on, handed out once per process.
///
/// # Errors
///
/// If no free port is found.
pub fn free_address() -> io::Result<SocketAddr> {
    let mut handed_out = HANDED_OUT.lock().unwrap_or_else(PoisonError::into_inner);
    let handed_out = handed_out.get_or_insert_default();
    for _ in 0..TRIES {
        let port = rand::rng().random_range(PORTS);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if handed_out.contains(&port) || TcpListener::bind(address).is_err() {
            continue;
        }
        handed_out.insert(port);
        return Ok(address);
    }
    Err(io::Error::new(io::ErrorKind::AddrInUse, "no free port"))
}
