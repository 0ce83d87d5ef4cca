//! Bytes of a connection that the system has not passed on.

use std::os::fd::AsFd;

use rustix::ioctl::{self, Getter, Opcode};

/// `TIOCOUTQ`: for a socket, the bytes that the other side has not acknowledged.
const UNSENT: Opcode = 0x5411;

/// Bytes that the other side's system has not acknowledged, of a connection whose writing side is
/// closed; `None` if the system does not tell.
pub(super) fn unsent_bytes(socket: impl AsFd) -> Option<u64> {
    // SAFETY: the request writes one int.
    let unsent = unsafe { ioctl::ioctl(socket, Getter::<UNSENT, i32>::new()) };
    // The end of the stream counts as a byte.
    u64::try_from(unsent.ok()?)
        .ok()
        .map(|unsent| unsent.saturating_sub(1))
}
