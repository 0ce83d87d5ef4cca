//! Lines on their way to standard output, through a bounded ring.
//!
//! A reader of the logs that does not read must not stop requests: whoever logs
//! only puts the line into the ring, and a full ring drops it and counts it.

use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Pause before a full output is tried again.
const FULL_PAUSE: Duration = Duration::from_millis(20);

/// Places in the ring; at about 200 bytes a line below 1 MB.
const LINES: usize = 4_096;

/// Lines that were taken from the ring and written, or dropped.
static WRITTEN: AtomicU64 = AtomicU64::new(0);
static TAKEN: AtomicU64 = AtomicU64::new(0);
static DROPPED: AtomicU64 = AtomicU64::new(0);
static RING: OnceLock<SyncSender<Vec<u8>>> = OnceLock::new();

/// Lines that were dropped because the ring was full, or that could not be written.
#[must_use]
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Puts lines into the ring.
#[derive(Debug)]
pub(super) struct RingWriter;

impl Write for RingWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let Some(ring) = RING.get() else {
            return Ok(buf.len());
        };
        if ring.try_send(buf.to_vec()).is_ok() {
            TAKEN.fetch_add(1, Ordering::Relaxed);
        } else {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts the thread that writes the lines.
///
/// # Errors
///
/// When the thread cannot be started.
pub(super) fn start() -> io::Result<()> {
    let (tx, rx) = sync_channel(LINES);
    if RING.set(tx).is_err() {
        return Ok(());
    }
    thread::Builder::new()
        .name("logs".to_owned())
        .spawn(move || write_all(&rx))?;
    Ok(())
}

fn write_all(rx: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    let mut told = 0;
    while let Ok(mut lines) = rx.recv() {
        let mut count = 1;
        // Lines that came together go out in one call.
        while let Ok(line) = rx.try_recv() {
            lines.extend_from_slice(&line);
            count += 1;
        }
        let dropped = dropped();
        if dropped > told {
            told = dropped;
            let note = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"dropped\":{dropped}}}\n"
            );
            lines.extend_from_slice(note.as_bytes());
        }
        // Nobody is left to tell that nobody reads the logs.
        if write_whole(&mut out, &lines).is_err() {
            DROPPED.fetch_add(count, Ordering::Relaxed);
        }
        WRITTEN.fetch_add(count, Ordering::Relaxed);
    }
}

/// Writes all bytes, also to an output that refuses them while it is full.
///
/// Failure guarded against: the standard output does not wait, since a process that shares it
/// has set it so, and a line is cut where the output was full.
fn write_whole(out: &mut impl Write, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match when_not_full(|| out.write(bytes))? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            count => bytes = &bytes[count..],
        }
    }
    when_not_full(|| out.flush())
}

/// Repeats a write until the output is not full.
fn when_not_full<T>(mut write: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match write() {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => thread::sleep(FULL_PAUSE),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

/// Waits until all lines are written, for `limit` at most.
///
/// Lines that are left then are lost. Nothing tells of them: standard error often ends in the same
/// pipe, and a write to it would wait too.
pub fn flush(limit: Duration) {
    let end = Instant::now() + limit;
    while WRITTEN.load(Ordering::Relaxed) < TAKEN.load(Ordering::Relaxed) && Instant::now() < end {
        thread::sleep(Duration::from_millis(5));
    }
}
