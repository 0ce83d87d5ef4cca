//! The processes, stand-ins and links of one soak.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use serde_json::json;

use super::plan::{Fault, INSTANCES, SHARDED};
use super::proxy::{Mode, Proxy};
use crate::shared::{
    Addresses, FencedEndpoint, Ran, SETTINGS_VARIABLE, SharedStore, StoreFault, configuration,
    own_address,
};

/// Time that endpoints work on a request.
const WORK: Duration = Duration::from_millis(15);

/// An endpoint behind its link.
#[derive(Debug)]
struct Server {
    now: FencedEndpoint,
    /// Earlier starts at its address.
    ended: Vec<FencedEndpoint>,
    link: Proxy,
    service: &'static str,
}

impl Server {
    fn start(name: &str, service: &'static str) -> io::Result<Self> {
        let now = started(name, service)?;
        let link = Proxy::start(now.address())?;
        Ok(Self {
            now,
            ended: Vec::new(),
            link,
            service,
        })
    }
}

fn started(name: &str, service: &str) -> io::Result<FencedEndpoint> {
    let endpoint = FencedEndpoint::start(name, service, service == "batch")?;
    endpoint.echo();
    endpoint.work(WORK);
    Ok(endpoint)
}

/// An instance behind its link to the store.
#[derive(Debug)]
struct Instance {
    addresses: Addresses,
    settings: PathBuf,
    link: Proxy,
    process: Option<Child>,
}

/// All of them.
#[derive(Debug)]
pub struct Fleet {
    binary: PathBuf,
    folder: PathBuf,
    store: SharedStore,
    servers: Vec<Server>,
    instances: Vec<Instance>,
    version: u64,
    births: usize,
}

impl Fleet {
    /// Starts stand-ins, and instances of the program at `binary`.
    ///
    /// # Errors
    ///
    /// When something cannot be started.
    pub fn start(binary: &Path) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("citronway-soak-{}", uuid::Uuid::new_v4()));
        std::fs::create_dir_all(&folder)?;
        let mut fleet = Self {
            binary: binary.to_owned(),
            folder,
            store: SharedStore::start()?,
            servers: Vec::new(),
            instances: Vec::new(),
            version: 1,
            births: 0,
        };
        for n in 0..SHARDED {
            fleet
                .servers
                .push(Server::start(&format!("i-{n}"), "batch")?);
        }
        fleet.servers.push(Server::start("i-console", "console")?);
        for n in 0..=SHARDED {
            fleet.list(n, "ready");
        }
        fleet.configure();
        for n in 0..INSTANCES {
            let instance = fleet.prepared(n)?;
            fleet.instances.push(instance);
            fleet.launch(n)?;
        }
        Ok(fleet)
    }

    fn prepared(&self, n: usize) -> io::Result<Instance> {
        let addresses = Addresses::at(own_address());
        let link = Proxy::start(self.store.address())?;
        let settings = self.folder.join(format!("{n}.json"));
        let text = addresses.settings(&format!("front-{n}"), link.address);
        std::fs::write(&settings, text.to_string())?;
        Ok(Instance {
            addresses,
            settings,
            link,
            process: None,
        })
    }

    /// Starts the process of an instance if it has none.
    ///
    /// # Errors
    ///
    /// When it cannot be started.
    pub fn launch(&mut self, n: usize) -> io::Result<()> {
        let instance = &mut self.instances[n];
        if instance.process.is_some() {
            return Ok(());
        }
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{n}.log")))?;
        let process = Command::new(&self.binary)
            .arg("--on-platform")
            .env(SETTINGS_VARIABLE, &instance.settings)
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()?;
        instance.process = Some(process);
        Ok(())
    }

    fn configure(&mut self) {
        self.version += 1;
        let written = configuration(self.version, &json!([]));
        self.store.put("op", "config", &written);
    }

    fn list(&self, n: usize, state: &str) {
        let server = &self.servers[n];
        let mut entry = server.now.entry(state);
        entry["addr"] = json!(server.link.address);
        self.store.put("servers", server.now.name(), &entry);
    }

    /// Begins a fault.
    ///
    /// # Errors
    ///
    /// When a process cannot be ended or an endpoint not be started.
    pub fn begin(&mut self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Kill(n) => self.kill(n)?,
            Fault::KillAll => {
                for n in 0..INSTANCES {
                    self.kill(n)?;
                }
            }
            Fault::Stop(n) => self.signal(n, libc::SIGTERM),
            Fault::Pause(n) => self.signal(n, libc::SIGSTOP),
            Fault::StoreLink(n, mode) => self.instances[n].link.set(mode),
            Fault::Store(how) => self.store.fail(how),
            Fault::Forget => self.store.forget(),
            Fault::EndpointLink(n, mode) => self.servers[n].link.set(mode),
            Fault::DropAnswers(n) => self.servers[n].now.drop_answers(true),
            Fault::Full(n) => self.servers[n].now.full(true),
            Fault::Reborn(n) => self.bear(n)?,
            Fault::Drain(n) => self.list(n, "draining"),
            Fault::Configure => self.configure(),
        }
        Ok(())
    }

    /// Ends a fault.
    ///
    /// # Errors
    ///
    /// When a process cannot be started.
    pub fn end(&mut self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Kill(n) => self.launch(n)?,
            Fault::KillAll => {
                for n in 0..INSTANCES {
                    self.launch(n)?;
                }
            }
            Fault::Stop(n) => self.restart_stopped(n)?,
            Fault::Pause(n) => self.signal(n, libc::SIGCONT),
            Fault::StoreLink(n, _) => self.instances[n].link.set(Mode::Pass),
            Fault::Store(_) => self.store.fail(StoreFault::None),
            Fault::EndpointLink(n, _) => self.servers[n].link.set(Mode::Pass),
            Fault::DropAnswers(n) => self.servers[n].now.drop_answers(false),
            Fault::Full(n) => self.servers[n].now.full(false),
            Fault::Drain(n) => self.list(n, "ready"),
            Fault::Reborn(_) | Fault::Forget | Fault::Configure => {}
        }
        Ok(())
    }

    fn kill(&mut self, n: usize) -> io::Result<()> {
        if let Some(mut process) = self.instances[n].process.take() {
            process.kill()?;
            process.wait()?;
        }
        Ok(())
    }

    fn signal(&self, n: usize, signal: i32) {
        let Some(process) = &self.instances[n].process else {
            return;
        };
        let Ok(id) = i32::try_from(process.id()) else {
            return;
        };
        // SAFETY: a signal to a child that has not been waited for. One that has ended
        // by itself takes none, which is no fault.
        let _ = unsafe { libc::kill(id, signal) };
    }

    /// Starts an instance again that was asked to stop, once it has ended.
    fn restart_stopped(&mut self, n: usize) -> io::Result<()> {
        if let Some(process) = &mut self.instances[n].process
            && process.try_wait()?.is_some()
        {
            self.instances[n].process = None;
        }
        self.launch(n)
    }

    /// An endpoint ends without a word, and another starts at its address.
    fn bear(&mut self, n: usize) -> io::Result<()> {
        self.births += 1;
        let service = self.servers[n].service;
        let next = started(&format!("i-{n}-{}", self.births), service)?;
        let server = &mut self.servers[n];
        server.link.retarget(next.address());
        let old = std::mem::replace(&mut server.now, next);
        self.store.remove("servers", old.name());
        server.ended.push(old);
        self.list(n, "ready");
        Ok(())
    }

    /// Ends all faults.
    pub fn heal(&self) {
        self.store.fail(StoreFault::None);
        for n in 0..self.servers.len() {
            let server = &self.servers[n];
            server.link.set(Mode::Pass);
            server.now.drop_answers(false);
            server.now.full(false);
            self.list(n, "ready");
        }
        for n in 0..INSTANCES {
            self.instances[n].link.set(Mode::Pass);
            self.signal(n, libc::SIGCONT);
        }
    }

    /// Starts whatever has ended.
    ///
    /// # Errors
    ///
    /// When a process cannot be started.
    pub fn revive(&mut self) -> io::Result<()> {
        for n in 0..INSTANCES {
            self.restart_stopped(n)?;
        }
        Ok(())
    }

    /// Where callers connect.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        let all = self.instances.iter();
        all.map(|instance| instance.addresses.callers).collect()
    }

    /// Names of living endpoints that hold a key.
    #[must_use]
    pub fn holders(&self, key: u16) -> Vec<String> {
        let living = self.servers[..SHARDED].iter().map(|server| &server.now);
        living
            .filter(|endpoint| endpoint.holds(key))
            .map(|endpoint| endpoint.name().to_owned())
            .collect()
    }

    /// All that endpoints ran, ended ones too.
    #[must_use]
    pub fn ran(&self) -> Vec<Ran> {
        let all = self.servers.iter();
        all.flat_map(|server| server.ended.iter().chain([&server.now]))
            .flat_map(FencedEndpoint::ran)
            .collect()
    }

    /// Folder with the logs of the instances.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Removes settings and logs.
    ///
    /// # Errors
    ///
    /// When they cannot be removed.
    pub fn clear(&self) -> io::Result<()> {
        std::fs::remove_dir_all(&self.folder)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for n in 0..self.instances.len() {
            if let Err(e) = self.kill(n) {
                eprintln!("an instance of a soak stays: {e}");
            }
        }
    }
}
