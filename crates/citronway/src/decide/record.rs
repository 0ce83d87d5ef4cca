//! Records what the machine is fed, for a replay.
//!
//! A thread of its own writes the file, so that a slow disk does not hold up
//! decisions. What its ring does not take is dropped and counted.

use std::fs::{self, File, OpenOptions};
use std::io::{self, BufWriter, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, TryRecvError, sync_channel};
use std::thread::{Builder, JoinHandle};

use citronway_core::ids::{Session, ZoneName};
use citronway_core::node::replay::{event_line, header_line};
use citronway_core::node::{Event, NodeSettings};
use citronway_core::time::Now;

use super::redact::Redactor;

/// Events that wait to be written.
pub const PLACES: usize = 8_192;

/// Ending of the file that an earlier process recorded.
const EARLIER: &str = "earlier";

/// Only the owner of the process may read it: it holds keys and labels.
const MODE: u32 = 0o600;

/// Writes events to a file; dropping it waits until all are written.
#[derive(Debug)]
pub struct Recorder {
    redactor: Redactor,
    ring: Option<SyncSender<(Event, Now)>>,
    thread: Option<JoinHandle<()>>,
    dropped: u64,
}

impl Recorder {
    /// Starts a recording with its first line; a file that is there already is
    /// kept under its name with `.earlier` at the end.
    ///
    /// # Errors
    ///
    /// The file cannot be written or the thread cannot be made.
    pub fn start(
        path: &Path,
        me: &Session,
        zone: &ZoneName,
        settings: &NodeSettings,
    ) -> io::Result<Self> {
        keep_earlier(path)?;
        let mut file = BufWriter::new(create(path)?);
        writeln!(file, "{}", header_line(me, zone, settings)?)?;
        file.flush()?;
        let (ring, events) = sync_channel(PLACES);
        let thread = Builder::new()
            .name("trace".to_owned())
            .spawn(move || write_all(file, &events))?;
        Ok(Self {
            redactor: Redactor::new(),
            ring: Some(ring),
            thread: Some(thread),
            dropped: 0,
        })
    }

    /// Hands on an event that the machine is about to take; returns whether it
    /// will be written.
    pub fn record(&mut self, event: &Event, now: Now) -> bool {
        let event = self.redactor.redact(event);
        let Some(ring) = &self.ring else {
            return false;
        };
        let taken = ring.try_send((event, now)).is_ok();
        self.dropped += u64::from(!taken);
        taken
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.ring = None;
        if self.dropped > 0 {
            log::warn!(dropped = self.dropped; "the recording has gaps, the disk was too slow");
        }
        let Some(thread) = self.thread.take() else {
            return;
        };
        if thread.join().is_err() {
            log::error!("thread of the recording panicked");
        }
    }
}

/// Failure guarded against: a process crashes, is started again, and its record,
/// the one that is wanted, is gone.
fn keep_earlier(path: &Path) -> io::Result<()> {
    if !path.try_exists()? {
        return Ok(());
    }
    let mut name = path.as_os_str().to_owned();
    name.push(".");
    name.push(EARLIER);
    fs::rename(path, PathBuf::from(name))
}

fn create(path: &Path) -> io::Result<File> {
    OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(MODE)
        .open(path)
}

fn write_all(mut file: BufWriter<File>, events: &Receiver<(Event, Now)>) {
    let written = pump(&mut file, events);
    if let Err(err) = written.and_then(|()| file.flush()) {
        log::error!(error:% = err; "recording ended, its file cannot be written");
    }
}

/// Writes out what is buffered before it waits, so that a process that is killed
/// leaves a record up to its last moments.
fn pump(file: &mut BufWriter<File>, events: &Receiver<(Event, Now)>) -> io::Result<()> {
    loop {
        let (event, now) = match events.try_recv() {
            Ok(next) => next,
            Err(TryRecvError::Disconnected) => return Ok(()),
            Err(TryRecvError::Empty) => {
                file.flush()?;
                let Ok(next) = events.recv() else {
                    return Ok(());
                };
                next
            }
        };
        writeln!(file, "{}", event_line(&event, now)?)?;
    }
}
