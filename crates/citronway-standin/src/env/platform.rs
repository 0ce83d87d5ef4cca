//! The platform stand-in of an environment.

use std::net::{Ipv4Addr, SocketAddr};

use citronway_core::platform::ListedState;
use http::Method;

use super::child::Child;
use super::error::EnvError;
use super::launcher::{Launcher, PLATFORM};
use super::settings::EntrySettings;
use crate::http::{Client, ClientError, percent};
use crate::platform::messages::{Registration, Rows, Stats, Transaction};
use crate::platform::{Platform, PlatformFaults};

/// The platform stand-in of an environment.
#[derive(Debug)]
pub struct PlatformHandle {
    address: SocketAddr,
    client: Client,
    _runs: Runs,
}

/// What keeps it running.
#[derive(Debug)]
#[expect(dead_code, reason = "held until dropped")]
enum Runs {
    Thread(Platform),
    Process(Child),
}

impl PlatformHandle {
    pub(super) fn start(
        launcher: &Launcher,
        lag_ms: u64,
        client: Client,
    ) -> Result<Self, EnvError> {
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let (runs, address) = match launcher.standin(PLATFORM) {
            None => {
                let platform = Platform::start(listen, lag_ms)
                    .map_err(EnvError::io("start the platform stand-in"))?;
                let address = platform.addr();
                (Runs::Thread(platform), address)
            }
            Some(mut command) => {
                command
                    .arg(format!("--listen={listen}"))
                    .arg(format!("--lag-ms={lag_ms}"))
                    .arg("--until-stdin-closes");
                let (child, address) = Child::start_standin(PLATFORM, &mut command)?;
                (Runs::Process(child), address)
            }
        };
        Ok(Self {
            address,
            client,
            _runs: runs,
        })
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
    pub async fn set_faults(&self, faults: &PlatformFaults) -> Result<(), EnvError> {
        let to = self.address;
        self.client
            .submit(Method::POST, to, "/fault", faults)
            .await?;
        Ok(())
    }

    /// Puts an entry on the instance list, or changes its state there.
    ///
    /// # Errors
    ///
    /// If it does not answer.
    pub async fn list(&self, entry: &EntrySettings, state: ListedState) -> Result<(), EnvError> {
        let registration = Registration {
            zone: entry.zone.clone(),
            peer_address: entry.advertised().to_string(),
            state,
        };
        let path = instance_path(entry);
        let to = self.address;
        self.client
            .submit(Method::PUT, to, &path, &registration)
            .await?;
        Ok(())
    }

    /// Takes an entry off the instance list.
    ///
    /// # Errors
    ///
    /// If it does not answer.
    pub async fn unlist(&self, entry: &EntrySettings) -> Result<(), EnvError> {
        let path = instance_path(entry);
        let to = self.address;
        self.client.submit(Method::DELETE, to, &path, &()).await?;
        Ok(())
    }

    /// All rows of a table.
    ///
    /// # Errors
    ///
    /// If it does not answer.
    pub async fn table(&self, table: &str) -> Result<Rows, ClientError> {
        let path = format!("/tables/{}", percent::encode(table));
        self.client.get(self.address, &path).await
    }

    /// Carries out a transaction.
    ///
    /// # Errors
    ///
    /// If it does not stand, or the platform does not answer.
    pub async fn write(&self, transaction: &Transaction) -> Result<(), EnvError> {
        let to = self.address;
        self.client
            .submit(Method::POST, to, "/transactions", transaction)
            .await?;
        Ok(())
    }

    /// Requests that it took in.
    ///
    /// # Errors
    ///
    /// If it does not answer.
    pub async fn stats(&self) -> Result<Stats, ClientError> {
        self.client.get(self.address, "/stats").await
    }
}

fn instance_path(entry: &EntrySettings) -> String {
    format!("/instances/{}", percent::encode(entry.name.as_str()))
}
