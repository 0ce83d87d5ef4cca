//! The environment itself.

use std::fs::{self, File};
use std::path::Path;

use citronway_core::config::Config;
use citronway_core::ids::{InstanceName, Version, ZoneName};
use citronway_core::platform::ListedState;
use indexmap::IndexMap;

use super::child::Child;
use super::endpoints::EndpointHandle;
use super::entry::Entry;
use super::error::EnvError;
use super::evidence::Evidence;
use super::launcher::Launcher;
use super::platform::PlatformHandle;
use super::ports::free_address;
use super::settings::{EntrySettings, Policy};
use super::temp::TempDir;
use super::wait::wait;
use crate::endpoint::EndpointOptions;
use crate::http::Client;

/// Token of operators in every environment.
const TOKEN: &str = "operators-token-of-the-environment";
/// Key that the instances of every environment share.
const SHARED_KEY: &str = "shared-key-of-the-environment-0123456789";

/// Stand-ins and entry processes on loopback. All end when it is dropped.
#[derive(Debug)]
pub struct Env {
    launcher: Launcher,
    client: Client,
    policy: Option<Policy>,
    max_order_ms: Option<u64>,
    further: String,
    entries: IndexMap<String, Entry>,
    endpoints: IndexMap<String, EndpointHandle>,
    platform: PlatformHandle,
    dir: TempDir,
}

impl Env {
    /// Starts the platform stand-in, whose instance list lags `lag_ms` behind.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub fn start(launcher: Launcher, lag_ms: u64) -> Result<Self, EnvError> {
        let client = Client::default();
        let dir = TempDir::new().map_err(EnvError::io("make a directory"))?;
        let platform = PlatformHandle::start(&launcher, lag_ms, client.clone())?;
        Ok(Self {
            launcher,
            client,
            policy: None,
            max_order_ms: None,
            further: String::new(),
            entries: IndexMap::new(),
            endpoints: IndexMap::new(),
            platform,
            dir,
        })
    }

    /// Entries started from now on send by this policy.
    pub const fn set_policy(&mut self, policy: Policy) {
        self.policy = Some(policy);
    }

    /// Callers of entries started from now on wait, and orders run, at most so
    /// many milliseconds.
    pub const fn set_max_order(&mut self, ms: u64) {
        self.max_order_ms = Some(ms);
    }

    /// Entries started from now on get these further sections, as INI.
    pub fn set_further(&mut self, ini: &str) {
        ini.clone_into(&mut self.further);
    }

    /// The platform.
    #[must_use]
    pub const fn platform(&self) -> &PlatformHandle {
        &self.platform
    }

    /// Starts an endpoint.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub fn start_endpoint(
        &mut self,
        options: EndpointOptions,
    ) -> Result<&EndpointHandle, EnvError> {
        let name = options.name.clone();
        let journal_file = self.dir.path().join(format!("{name}.jsonl"));
        let client = self.client.clone();
        let handle = EndpointHandle::start(&self.launcher, options, journal_file, client)?;
        self.endpoints.insert(name.clone(), handle);
        self.endpoint(&name)
    }

    /// Starts an entry on fresh addresses and puts it on the instance list.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub async fn start_entry(&mut self, name: &str, zone: &str) -> Result<&Entry, EnvError> {
        let settings = self.entry_settings(name, zone)?;
        self.launch_entry(settings).await
    }

    /// Settings of a new entry on fresh addresses.
    ///
    /// # Errors
    ///
    /// If there are no free ports.
    pub fn entry_settings(&self, name: &str, zone: &str) -> Result<EntrySettings, EnvError> {
        let address = || free_address().map_err(EnvError::io("find a free port"));
        Ok(EntrySettings {
            name: InstanceName::new(name),
            zone: ZoneName::new(zone),
            callers: address()?,
            peers: address()?,
            peers_advertise: None,
            operators: address()?,
            platform: self.platform.address(),
            shared_key: SHARED_KEY.to_owned(),
            token: TOKEN.to_owned(),
            policy: self.policy,
            max_order_ms: self.max_order_ms,
            further: self.further.clone(),
        })
    }

    /// Starts an entry again on its old addresses; kills it first if it runs.
    ///
    /// # Errors
    ///
    /// If it is unknown or cannot be started.
    pub async fn restart_entry(&mut self, name: &str) -> Result<&Entry, EnvError> {
        let entry = self.entry_mut(name)?;
        // Its ports must be free before it starts again.
        if entry.child.exited().is_none() {
            entry.child.kill()?;
        }
        let settings = entry.settings().clone();
        self.launch_entry(settings).await
    }

    /// Starts an endpoint again on its old address, without anything it held;
    /// ends it first if it runs.
    ///
    /// # Errors
    ///
    /// If it is unknown or cannot be started.
    pub fn restart_endpoint(&mut self, name: &str) -> Result<&EndpointHandle, EnvError> {
        let endpoint = self.endpoint_mut(name)?;
        endpoint.kill();
        let mut options = endpoint.options().clone();
        options.listen = endpoint.address();
        self.start_endpoint(options)
    }

    /// An entry by name, also one that was killed.
    ///
    /// # Errors
    ///
    /// If it is unknown.
    pub fn entry(&self, name: &str) -> Result<&Entry, EnvError> {
        self.entries.get(name).ok_or_else(|| unknown(name))
    }

    /// An entry by name, for signals.
    ///
    /// # Errors
    ///
    /// If it is unknown.
    pub fn entry_mut(&mut self, name: &str) -> Result<&mut Entry, EnvError> {
        self.entries.get_mut(name).ok_or_else(|| unknown(name))
    }

    /// All entries, in the order of their first start.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// An endpoint by name.
    ///
    /// # Errors
    ///
    /// If it is unknown.
    pub fn endpoint(&self, name: &str) -> Result<&EndpointHandle, EnvError> {
        self.endpoints.get(name).ok_or_else(|| unknown(name))
    }

    /// An endpoint by name, for signals.
    ///
    /// # Errors
    ///
    /// If it is unknown.
    pub fn endpoint_mut(&mut self, name: &str) -> Result<&mut EndpointHandle, EnvError> {
        self.endpoints.get_mut(name).ok_or_else(|| unknown(name))
    }

    /// All endpoints, in the order of their start.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointHandle> {
        self.endpoints.values()
    }

    /// Waits until every entry says that it takes work.
    ///
    /// # Errors
    ///
    /// If one does not.
    pub async fn all_healthy(&self) -> Result<(), EnvError> {
        for entry in self.entries() {
            let what = format!("{} is healthy", entry.settings().name);
            let settled = async || entry.child.has_ended() || entry.is_healthy().await;
            wait(&what, settled).await?;
            still_runs(entry)?;
        }
        Ok(())
    }

    /// Applies the first configuration through an entry, as an operator would,
    /// and repeats until it is accepted.
    ///
    /// # Errors
    ///
    /// If it is not accepted.
    pub async fn apply(&self, entry: &str, config: &Config) -> Result<(), EnvError> {
        let entry = self.entry(entry)?;
        let admin = entry.admin();
        let mut refusal = String::from("not tried");
        let accepted = wait("the configuration is accepted", async || {
            match admin.put_config(config, Version::default()).await {
                Ok(()) => true,
                Err(error) => {
                    refusal = error.to_string();
                    entry.child.has_ended()
                }
            }
        });
        accepted
            .await
            .map_err(|_waited| EnvError::NotAccepted { refusal })
    }

    /// What the runs of all endpoints, killed ones too, say about the promises.
    ///
    /// # Errors
    ///
    /// If their records cannot be read.
    pub fn evidence(&self) -> Result<Evidence, EnvError> {
        let mut runs = Vec::new();
        for endpoint in self.endpoints() {
            runs.extend(endpoint.runs()?);
        }
        Ok(Evidence::weigh(&runs))
    }

    /// Keeps settings, logs and journals when it is dropped.
    pub fn keep_files(&mut self) -> &Path {
        self.dir.keep();
        self.dir.path()
    }

    fn log_file(&self, name: &str) -> Result<File, EnvError> {
        let path = self.dir.path().join(format!("{name}.log"));
        let opened = File::options().create(true).append(true).open(&path);
        opened.map_err(EnvError::io(format!("open {}", path.display())))
    }

    /// Starts an entry with these settings and puts it on the instance list.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub async fn launch_entry(&mut self, settings: EntrySettings) -> Result<&Entry, EnvError> {
        let name = settings.name.to_string();
        let file = self.dir.path().join(format!("{name}.ini"));
        fs::write(&file, settings.to_ini()).map_err(EnvError::io("write settings"))?;
        self.platform.list(&settings, ListedState::Live).await?;
        let log = self.log_file(&name)?;
        let child = Child::start(&name, self.launcher.entry(&file).stderr(log))?;
        let entry = Entry::new(settings, self.client.clone(), child);
        self.entries.insert(name.clone(), entry);
        self.entry(&name)
    }
}

fn unknown(name: &str) -> EnvError {
    EnvError::Unknown {
        name: name.to_owned(),
    }
}

fn still_runs(entry: &Entry) -> Result<(), EnvError> {
    if !entry.child.has_ended() {
        return Ok(());
    }
    Err(EnvError::EndedEarly {
        name: entry.settings().name.to_string(),
    })
}
