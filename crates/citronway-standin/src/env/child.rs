//! A child process that ends with its handle.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::process::{self, Command, ExitStatus, Stdio};

use super::error::EnvError;
use crate::process::READY;

/// A child process; killed when dropped.
#[derive(Debug)]
pub struct Child {
    name: String,
    process: process::Child,
}

impl Child {
    /// Starts a process whose standard input closes when this handle is dropped.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub fn start(name: &str, command: &mut Command) -> Result<Self, EnvError> {
        let process = command
            .stdin(Stdio::piped())
            .spawn()
            .map_err(EnvError::io(format!("start {name}")))?;
        Ok(Self {
            name: name.to_owned(),
            process,
        })
    }

    /// Starts a stand-in and waits for the address that it announces.
    ///
    /// # Errors
    ///
    /// If it cannot be started or ends before it announces an address.
    pub fn start_standin(
        name: &str,
        command: &mut Command,
    ) -> Result<(Self, SocketAddr), EnvError> {
        let mut child = Self::start(name, command.stdout(Stdio::piped()))?;
        let address = child.announced();
        match address {
            Some(address) => Ok((child, address)),
            None => Err(EnvError::EndedEarly {
                name: name.to_owned(),
            }),
        }
    }

    /// Id of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Its exit status, or `None` if it still runs.
    pub fn exited(&mut self) -> Option<ExitStatus> {
        self.process.try_wait().ok().flatten()
    }

    /// Whether it has ended, without taking its exit status.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id()));
        let Ok(stat) = stat else {
            return true;
        };
        // The state follows the name, which is in brackets and may hold blanks.
        let state = stat.rsplit_once(')').map(|(_name, rest)| rest.trim_start());
        state.is_none_or(|state| state.starts_with('Z'))
    }

    /// Whether a signal ended it, and which.
    pub fn ended_by_signal(&mut self) -> Option<i32> {
        self.exited()?.signal()
    }

    /// Stops it where it stands (SIGSTOP).
    ///
    /// # Errors
    ///
    /// If it has ended.
    pub fn pause(&mut self) -> Result<(), EnvError> {
        self.signal(libc::SIGSTOP)
    }

    /// Lets a paused process go on (SIGCONT).
    ///
    /// # Errors
    ///
    /// If it has ended.
    pub fn resume(&mut self) -> Result<(), EnvError> {
        self.signal(libc::SIGCONT)
    }

    /// Asks it to shut down (SIGTERM).
    ///
    /// # Errors
    ///
    /// If it has ended.
    pub fn terminate(&mut self) -> Result<(), EnvError> {
        self.signal(libc::SIGTERM)
    }

    /// Tells it that its settings may have changed (SIGHUP).
    ///
    /// # Errors
    ///
    /// If it has ended.
    pub fn hang_up(&mut self) -> Result<(), EnvError> {
        self.signal(libc::SIGHUP)
    }

    /// Ends it at once (SIGKILL).
    ///
    /// # Errors
    ///
    /// If it cannot be ended.
    pub fn kill(&mut self) -> Result<(), EnvError> {
        let doing = format!("kill {}", self.name);
        self.process.kill().map_err(EnvError::io(doing.as_str()))?;
        self.process.wait().map_err(EnvError::io(doing))?;
        Ok(())
    }

    fn announced(&mut self) -> Option<SocketAddr> {
        let out = self.process.stdout.take()?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).ok()?;
        let address = line.trim().strip_prefix(READY)?;
        address.trim().parse().ok()
    }

    fn signal(&mut self, signal: libc::c_int) -> Result<(), EnvError> {
        // A child that was waited for has given its id back; it could belong to
        // another process by now.
        if self.exited().is_some() {
            return Err(EnvError::EndedEarly {
                name: self.name.clone(),
            });
        }
        let id = libc::pid_t::try_from(self.process.id()).expect("process ids fit into pid_t");
        // SAFETY: kill takes two integers and touches no memory of this process.
        let sent = unsafe { libc::kill(id, signal) };
        if sent == 0 {
            return Ok(());
        }
        let error = std::io::Error::last_os_error();
        Err(EnvError::io(format!("signal {}", self.name))(error))
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        if self.exited().is_some() {
            return;
        }
        if let Err(error) = self.kill() {
            log::warn!("{error}");
        }
    }
}
