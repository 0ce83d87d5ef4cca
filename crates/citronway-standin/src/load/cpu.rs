//! CPU time of processes.

use std::fs;
use std::time::Duration;

/// CPU time that a process has used so far, by `/proc/PID/stat`.
#[must_use]
pub fn used(pid: u32) -> Option<Duration> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The second field is a name in brackets and may hold blanks.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_ascii_whitespace().skip(11);
    let user: u32 = fields.next()?.parse().ok()?;
    let system: u32 = fields.next()?.parse().ok()?;
    Some(Duration::from_secs_f64(
        f64::from(user + system) / ticks_per_second(),
    ))
}

fn ticks_per_second() -> f64 {
    // SAFETY: sysconf takes an integer and touches no memory of this process.
    let ticks = unsafe { libc::sysconf(libc::_SC_CLK_TCK) };
    ticks as f64
}
