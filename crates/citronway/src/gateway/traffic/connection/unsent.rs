//! Bytes of a connection that the system has not passed on.

use std::os::fd::AsFd;

use rustix::ioctl::{self, Getter, Opcode};

/// `TIOCOUTQ`: for a socket, the bytes that the other side has not acknowledged.
const UNSENT: Opcode = 0x5411;

/// Bytes that the other side's system has not acknowledged; `None` if the system does not tell. The
/// end of the stream counts as one.
pub(super) fn unsent_bytes(socket: impl AsFd) -> Option<u64> {
    // SAFETY: the request writes one int.
    let unsent = unsafe { ioctl::ioctl(socket, Getter::<UNSENT, i32>::new()) };
    u64::try_from(unsent.ok()?).ok()
}
