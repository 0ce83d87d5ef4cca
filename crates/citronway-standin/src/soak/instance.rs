//! One instance: its process, the signals that it gets, and when it cannot answer.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::json;

use super::proxy::Proxy;
use crate::shared::{Addresses, SETTINGS_VARIABLE, own_address};

/// Grace in the settings of an instance that has got no other.
const GRACE: Duration = Duration::from_secs(6);

/// A time in which an instance may end connections with whole requests unanswered.
///
/// Only a kill excuses it: the process can do nothing more; and the end of its grace, where the
/// caller reads slowly. Nothing else does. A pause does not, before or after the signal to stop,
/// since the process answers when it goes on; a store or endpoints that are away do not, since it
/// can say so itself; nor does a hang-up or a new configuration.
#[derive(Debug, Clone, Copy)]
pub struct Excuse {
    /// Whose.
    pub instance: usize,
    /// When it began.
    pub from: Instant,
    /// When its process was gone.
    pub until: Instant,
    /// Its grace was over: only callers that read slowly are concerned.
    pub is_grace: bool,
}

impl Excuse {
    /// Whether it covers a part of the time between two moments.
    #[must_use]
    pub fn touches(&self, from: Instant, until: Instant) -> bool {
        self.from <= until && from <= self.until
    }
}

/// An instance behind its link to the store.
#[derive(Debug)]
pub(super) struct Instance {
    n: usize,
    addresses: Addresses,
    folder: PathBuf,
    /// Its link to the store.
    pub link: Proxy,
    process: Option<Child>,
    /// Its process was told to stop.
    stopping: bool,
    /// When it was told to stop, and the shortest grace that this stop may have.
    stop: Option<(Instant, Duration)>,
    grace: Duration,
    /// It starts again as soon as its process has ended.
    returns: bool,
    excuses: Vec<Excuse>,
    /// Times in which its process did not run, or stood still.
    disturbed: Vec<(Instant, Option<Instant>)>,
}

impl Instance {
    /// One that has no process yet, with its files in `folder`.
    pub fn prepare(n: usize, folder: &Path, store: SocketAddr) -> io::Result<Self> {
        let instance = Self {
            n,
            addresses: Addresses::at(own_address()),
            folder: folder.to_owned(),
            link: Proxy::start(store)?,
            process: None,
            stopping: false,
            stop: None,
            grace: GRACE,
            returns: false,
            excuses: Vec::new(),
            disturbed: Vec::new(),
        };
        instance.write_settings(None)?;
        Ok(instance)
    }

    fn write_settings(&self, grace: Option<Duration>) -> io::Result<()> {
        let name = format!("front-{}", self.n);
        let mut settings = self.addresses.settings(&name, self.link.address);
        if let Some(grace) = grace {
            settings["terms"]["bounds"]["graceS"] = json!(grace.as_secs_f64());
        }
        // A process that starts meanwhile reads the old file or the new one.
        let next = self.folder.join(format!("{}.next", self.n));
        std::fs::write(&next, settings.to_string())?;
        std::fs::rename(next, self.settings())
    }

    fn settings(&self) -> PathBuf {
        self.folder.join(format!("{}.json", self.n))
    }

    /// Where callers connect.
    pub const fn callers(&self) -> SocketAddr {
        self.addresses.callers
    }

    /// Starts a process of the program at `binary` if it has none.
    pub fn launch(&mut self, binary: &Path) -> io::Result<()> {
        self.returns = false;
        if self.process.is_some() {
            return Ok(());
        }
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.n)))?;
        let process = Command::new(binary)
            .arg("--on-platform")
            .env(SETTINGS_VARIABLE, self.settings())
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()?;
        self.process = Some(process);
        self.end_disturbance();
        Ok(())
    }

    /// Kills its process.
    pub fn kill(&mut self) -> io::Result<()> {
        self.look()?;
        let Some(process) = &mut self.process else {
            return Ok(());
        };
        let from = Instant::now();
        process.kill()?;
        process.wait()?;
        self.excuses.push(Excuse {
            instance: self.n,
            from,
            until: Instant::now(),
            is_grace: false,
        });
        self.gone();
        Ok(())
    }

    /// Tells its process to stop.
    pub fn stop(&mut self) {
        self.stopping = self.process.is_some();
        if self.stopping {
            self.stop.get_or_insert((Instant::now(), self.grace));
        }
        self.signal(libc::SIGTERM);
    }

    /// Makes its process stand still.
    pub fn pause(&mut self) {
        self.begin_disturbance();
        self.signal(libc::SIGSTOP);
    }

    /// Lets its process go on.
    pub fn go_on(&mut self) {
        self.signal(libc::SIGCONT);
        if self.process.is_some() {
            self.end_disturbance();
        }
    }

    /// Changes the grace in its settings and has them read again.
    pub fn hang_up(&mut self, grace: Duration) -> io::Result<()> {
        if let Some((_, shortest)) = &mut self.stop {
            *shortest = grace.min(*shortest);
        }
        self.grace = grace;
        self.write_settings(Some(grace))?;
        self.signal(libc::SIGHUP);
        Ok(())
    }

    fn signal(&self, signal: i32) {
        let Some(process) = &self.process else {
            return;
        };
        let Ok(id) = i32::try_from(process.id()) else {
            return;
        };
        // SAFETY: a signal to a child that has not been waited for. One that has ended
        // by itself takes none, which is no fault.
        let _ = unsafe { libc::kill(id, signal) };
    }

    /// Starts it again at once if its process has ended, and as soon as it has otherwise.
    pub fn come_back(&mut self, binary: &Path) -> io::Result<()> {
        self.returns = true;
        self.restart(binary)
    }

    /// Starts it again if it is to come back and its process has ended.
    pub fn restart(&mut self, binary: &Path) -> io::Result<()> {
        self.look()?;
        if self.returns && self.process.is_none() {
            self.launch(binary)?;
        }
        Ok(())
    }

    /// Whether its process was told to stop and is still there.
    pub const fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Times in which it was killed, or ended behind its grace.
    pub fn excuses(&self) -> &[Excuse] {
        &self.excuses
    }

    /// Whether its process did not run at a moment, or less than `after` before it.
    pub fn is_disturbed(&self, at: Instant, after: Duration) -> bool {
        let mut all = self.disturbed.iter();
        all.any(|(from, until)| *from <= at && until.is_none_or(|until| at < until + after))
    }

    /// Whether its process did not run at any time between two moments.
    pub fn was_disturbed(&self, from: Instant, to: Instant) -> bool {
        let mut all = self.disturbed.iter();
        all.any(|(began, until)| *began <= to && until.is_none_or(|until| from < until))
    }

    fn begin_disturbance(&mut self) {
        self.disturbed.push((Instant::now(), None));
    }

    fn end_disturbance(&mut self) {
        for (_, until) in &mut self.disturbed {
            until.get_or_insert_with(Instant::now);
        }
    }

    /// Notices that its process has ended.
    fn look(&mut self) -> io::Result<()> {
        if let Some(process) = &mut self.process
            && process.try_wait()?.is_some()
        {
            self.gone();
        }
        Ok(())
    }

    fn gone(&mut self) {
        if let Some((told, grace)) = self.stop.take() {
            self.excuses.push(Excuse {
                instance: self.n,
                from: told + grace,
                until: Instant::now(),
                is_grace: true,
            });
        }
        self.begin_disturbance();
        self.process = None;
        self.stopping = false;
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Err(e) = self.kill() {
            eprintln!("an instance of a soak stays: {e}");
        }
    }
}
