//! An endpoint stand-in of an environment.

use std::fs;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use http::Method;

use super::child::Child;
use super::error::EnvError;
use super::launcher::{ENDPOINT, Launcher};
use crate::endpoint::{Endpoint, EndpointFaults, EndpointOptions, Journal, Run};
use crate::http::{Client, ClientError};

/// How often a journal is read again while its last line is not whole, and the pause before.
const WHOLE_LINE_TRIES: usize = 100;
const WHOLE_LINE_PAUSE: Duration = Duration::from_millis(10);

/// An endpoint stand-in of an environment.
#[derive(Debug)]
pub struct EndpointHandle {
    options: EndpointOptions,
    address: SocketAddr,
    journal_file: PathBuf,
    client: Client,
    runs: Runs,
}

/// What keeps it running.
#[derive(Debug)]
enum Runs {
    Thread { _endpoint: Endpoint },
    Process(Child),
    Killed,
}

impl EndpointHandle {
    pub(super) fn start(
        launcher: &Launcher,
        mut options: EndpointOptions,
        journal_file: PathBuf,
        client: Client,
    ) -> Result<Self, EnvError> {
        options.journal = Some(journal_file.clone());
        options.until_stdin_closes = true;
        let (runs, address) = match launcher.standin(ENDPOINT) {
            None => {
                let endpoint = Endpoint::start(&options)
                    .map_err(EnvError::io(format!("start endpoint {}", options.name)))?;
                let address = endpoint.addr();
                (
                    Runs::Thread {
                        _endpoint: endpoint,
                    },
                    address,
                )
            }
            Some(mut command) => {
                command.args(options.to_args());
                let (child, address) = Child::start_standin(&options.name, &mut command)?;
                (Runs::Process(child), address)
            }
        };
        Ok(Self {
            options,
            address,
            journal_file,
            client,
            runs,
        })
    }

    /// Its settings.
    #[must_use]
    pub const fn options(&self) -> &EndpointOptions {
        &self.options
    }

    /// The address it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces its faults.
    ///
    /// # Errors
    ///
    /// If it does not answer.
    pub async fn set_faults(&self, faults: &EndpointFaults) -> Result<(), EnvError> {
        let to = self.address;
        self.client
            .submit(Method::POST, to, "/fault", faults)
            .await?;
        Ok(())
    }

    /// Its journal.
    ///
    /// # Errors
    ///
    /// If it does not answer.
    pub async fn journal(&self) -> Result<Journal, ClientError> {
        self.client.get(self.address, "/journal").await
    }

    /// Its runs, also those before it was killed.
    ///
    /// # Errors
    ///
    /// If they cannot be read.
    pub fn runs(&self) -> Result<Vec<Run>, EnvError> {
        let doing = format!("read {}", self.journal_file.display());
        let mut text = String::new();
        for _ in 0..WHOLE_LINE_TRIES {
            text = fs::read_to_string(&self.journal_file).map_err(EnvError::io(doing.as_str()))?;
            if text.is_empty() || text.ends_with('\n') {
                break;
            }
            // The endpoint is writing the last line.
            thread::sleep(WHOLE_LINE_PAUSE);
        }
        let mut runs = Vec::new();
        for line in text.lines() {
            let run = serde_json::from_str(line)
                .map_err(|error| std::io::Error::new(ErrorKind::InvalidData, error))
                .map_err(EnvError::io(doing.as_str()))?;
            runs.push(run);
        }
        Ok(runs)
    }

    /// Ends it at once; its connections break and its port is closed.
    pub fn kill(&mut self) {
        self.runs = Runs::Killed;
    }

    /// Its process, for signals.
    ///
    /// # Errors
    ///
    /// If it runs on a thread or was killed.
    pub fn process(&mut self) -> Result<&mut Child, EnvError> {
        match &mut self.runs {
            Runs::Process(child) => Ok(child),
            Runs::Thread { .. } | Runs::Killed => Err(EnvError::NoProcess {
                name: self.options.name.clone(),
            }),
        }
    }
}
