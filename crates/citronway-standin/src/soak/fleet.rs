//! The processes, stand-ins and links of one soak.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde_json::json;

use super::callers::{bulk_route, patient_routes};
use super::instance::{Excuse, Instance};
use super::kinds::Soak;
use super::plan::{Fault, SHARDED};
use super::proxy::Mode;
use super::server::{Server, WORK, is_harmful, started};
use crate::shared::{
    Arrival, BrokenRest, Excess, FencedEndpoint, LateArrival, LostChanges, Ran, STABLE,
    SharedStore, StoreCopy, StoreFault, configuration,
};

/// Time that they work on it when they are slow: longer than the grace of an instance and
/// than the time of any route.
const LONG_WORK: Duration = Duration::from_secs(20);

/// Time from the store's return until others have written again what it has lost.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_millis(600);

/// Time between two looks at whether work that was put off has been done.
const PUT_OFF_LOOK: Duration = Duration::from_millis(5);

/// All of them.
#[derive(Debug)]
pub struct Fleet {
    binary: PathBuf,
    folder: PathBuf,
    store: SharedStore,
    servers: Vec<Server>,
    instances: Vec<Instance>,
    routes: Vec<serde_json::Value>,
    version: u64,
    births: usize,
    harmful: bool,
    /// When the endpoint without keys was seen to have crashed.
    crashed_at: Option<Instant>,
    /// Copies of the store from which it comes back.
    copies: IndexMap<usize, StoreCopy>,
    /// What the operator and endpoints write again after a restore, and when.
    lost: Vec<(Instant, LostChanges)>,
}

impl Fleet {
    /// Starts stand-ins, and instances of the program at `binary`.
    ///
    /// # Errors
    ///
    /// When something cannot be started.
    pub fn start(soak: &Soak, binary: &Path) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("citronway-soak-{}", uuid::Uuid::new_v4()));
        std::fs::create_dir_all(&folder)?;
        let mut fleet = Self {
            binary: binary.to_owned(),
            folder,
            store: SharedStore::start()?,
            servers: Vec::new(),
            instances: Vec::new(),
            routes: Vec::new(),
            version: 1,
            births: 0,
            harmful: soak.harmful,
            crashed_at: None,
            copies: IndexMap::new(),
            lost: Vec::new(),
        };
        if soak.signals {
            fleet.routes.extend(patient_routes());
        }
        if soak.closing {
            fleet.routes.push(bulk_route());
        }
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
        for n in 0..soak.instances {
            let mut instance = Instance::prepare(n, &fleet.folder, fleet.store.address())?;
            instance.launch(binary)?;
            fleet.instances.push(instance);
        }
        Ok(fleet)
    }

    fn configure(&mut self) {
        self.version += 1;
        let written = configuration(self.version, &json!(self.routes));
        self.store.put("op", "config", &written);
    }

    fn list(&self, n: usize, state: &str) {
        let server = &self.servers[n];
        let mut entry = server.now.entry(state);
        // A link would go on taking connections when the endpoint behind it has crashed.
        if !(self.harmful && n == SHARDED) {
            entry["addr"] = json!(server.link.address);
        }
        self.store.put("servers", server.now.name(), &entry);
    }

    /// Sets the links of an instance to all endpoints, or to one.
    fn set_links(&self, instance: usize, endpoint: Option<usize>, mode: Mode) {
        let source = self.instances[instance].callers().ip();
        for (n, server) in self.servers.iter().enumerate() {
            if endpoint.is_some_and(|endpoint| endpoint != n) {
                continue;
            }
            if mode == Mode::Pass {
                server.link.clear_for(source);
            } else {
                server.link.set_for(source, mode);
            }
        }
    }

    /// Begins a fault.
    ///
    /// # Errors
    ///
    /// When a process cannot be ended or an endpoint not be started.
    pub fn begin(&mut self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Kill(n) => self.instances[n].kill()?,
            Fault::KillAll => {
                for instance in &mut self.instances {
                    instance.kill()?;
                }
            }
            Fault::Stop(n) => self.instances[n].stop(),
            Fault::Pause(n) => self.instances[n].pause(),
            Fault::HangUp(n, grace) => self.instances[n].hang_up(grace)?,
            Fault::StoreLink(n, mode) => self.instances[n].link.set(mode),
            Fault::Store(how) => self.store.fail(how),
            Fault::Forget => self.store.forget(),
            Fault::Restore(n) => {
                self.copies.insert(n, self.store.copy());
            }
            Fault::EndpointLink(n, mode) => {
                self.servers[n].link.set(mode);
                self.servers[n].disturbed.push((Instant::now(), None));
            }
            Fault::InstanceCut(n, endpoint, mode) => self.set_links(n, endpoint, mode),
            Fault::DropAnswers(n) => self.servers[n].now.drop_answers(true),
            Fault::Full(n) => self.servers[n].now.full(true),
            Fault::Slow(n) => self.servers[n].now.work(LONG_WORK),
            Fault::Late(n, after) => self.servers[n].now.put_off(Some(after)),
            Fault::Reborn(n) => self.bear(n)?,
            Fault::Drain(n) => self.list(n, "draining"),
            Fault::Configure => self.configure(),
            Fault::Limit(n, per_s) => self.servers[n].now.state_limit(Some(per_s)),
            Fault::Rest(n, rest) => self.servers[n].now.rest(rest),
            Fault::Leave(n, is_listed) => {
                self.servers[n].now.leave();
                if is_listed {
                    self.list(n, "draining");
                }
            }
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
            Fault::Kill(n) => self.instances[n].launch(&self.binary)?,
            Fault::KillAll => {
                for instance in &mut self.instances {
                    instance.launch(&self.binary)?;
                }
            }
            Fault::Stop(n) => self.instances[n].come_back(&self.binary)?,
            Fault::Pause(n) => self.instances[n].go_on(),
            Fault::StoreLink(n, _) => self.instances[n].link.set(Mode::Pass),
            Fault::Store(_) => self.store.fail(StoreFault::None),
            Fault::Restore(n) => {
                if let Some(copy) = self.copies.swap_remove(&n) {
                    let lost = self.store.restore(copy);
                    self.lost.push((Instant::now() + WRITTEN_AGAIN_AFTER, lost));
                }
            }
            Fault::EndpointLink(n, _) => self.servers[n].mend_link(),
            Fault::InstanceCut(n, endpoint, _) => self.set_links(n, endpoint, Mode::Pass),
            Fault::DropAnswers(n) => self.servers[n].now.drop_answers(false),
            Fault::Full(n) => self.servers[n].now.full(false),
            Fault::Slow(n) => self.servers[n].now.work(WORK),
            Fault::Late(n, _) => self.servers[n].now.put_off(None),
            Fault::Limit(n, _) => self.servers[n].now.state_limit(None),
            Fault::Drain(n) => self.list(n, "ready"),
            Fault::Rest(n, _) => self.servers[n].now.stop_resting(),
            Fault::Leave(n, _) => self.bear(n)?,
            Fault::HangUp(..) | Fault::Reborn(_) | Fault::Forget | Fault::Configure => {}
        }
        Ok(())
    }

    /// Has the operator and endpoints write again what restores have lost, if it is time.
    pub fn write_again(&mut self) {
        let now = Instant::now();
        while let Some(i) = self.lost.iter().position(|(at, _)| *at <= now) {
            let (_, lost) = self.lost.swap_remove(i);
            self.store.write_again(lost);
        }
    }

    /// Brings the endpoint without keys back when it has crashed a while ago.
    ///
    /// # Errors
    ///
    /// When it cannot be started.
    pub fn replace_crashed(&mut self, after: Duration) -> io::Result<()> {
        if !self.servers[SHARDED].now.has_crashed() {
            return Ok(());
        }
        let at = *self.crashed_at.get_or_insert_with(Instant::now);
        if at.elapsed() < after {
            return Ok(());
        }
        self.crashed_at = None;
        self.bear(SHARDED)
    }

    /// Times that harmful work was begun.
    #[must_use]
    pub fn harm_done(&self) -> usize {
        self.ran().iter().filter(|ran| is_harmful(ran)).count()
    }

    /// Number of endpoints that crashed with harmful work.
    #[must_use]
    pub fn crashed_by_harm(&self) -> usize {
        let all = self.servers.iter();
        let endpoints = all.flat_map(|server| server.ended.iter().chain([&server.now]));
        endpoints
            .filter(|endpoint| endpoint.has_crashed())
            .filter(|endpoint| endpoint.ran().iter().any(is_harmful))
            .count()
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
        old.end();
        server.ended.push(old);
        self.list(n, "ready");
        Ok(())
    }

    /// Ends all faults.
    ///
    /// # Errors
    ///
    /// When an endpoint cannot be started in place of one that leaves.
    pub fn heal(&mut self) -> io::Result<()> {
        self.store.fail(StoreFault::None);
        for (_, lost) in self.lost.drain(..) {
            self.store.write_again(lost);
        }
        for n in 0..self.servers.len() {
            let server = &mut self.servers[n];
            server.mend_link();
            server.link.clear_all();
            server.now.full(false);
            server.now.drop_answers(false);
            server.now.stop_resting();
            server.now.work(WORK);
            server.now.put_off(None);
            server.now.state_limit(None);
            if server.now.is_leaving() {
                self.bear(n)?;
            }
            self.list(n, "ready");
        }
        for instance in &mut self.instances {
            instance.link.set(Mode::Pass);
            instance.go_on();
        }
        Ok(())
    }

    /// Starts whatever has ended.
    ///
    /// # Errors
    ///
    /// When a process cannot be started.
    pub fn revive(&mut self) -> io::Result<()> {
        for instance in &mut self.instances {
            instance.come_back(&self.binary)?;
        }
        Ok(())
    }

    /// Starts stopped instances again that are to come back and whose processes have ended.
    ///
    /// # Errors
    ///
    /// When a process cannot be started.
    pub fn restart_ended(&mut self) -> io::Result<()> {
        for instance in &mut self.instances {
            instance.restart(&self.binary)?;
        }
        Ok(())
    }

    /// Whether a process that was told to stop is still there.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.instances.iter().any(Instance::is_stopping)
    }

    /// Times in which instances were killed, or ended behind their grace.
    #[must_use]
    pub fn excuses(&self) -> Vec<Excuse> {
        let all = self.instances.iter();
        all.flat_map(Instance::excuses).copied().collect()
    }

    /// Where callers connect.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        let all = self.instances.iter();
        all.map(Instance::callers).collect()
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

    /// Resolves once endpoints have begun all that they had put off.
    pub async fn nothing_put_off(&self) {
        while self.servers.iter().any(|server| server.now.has_put_off()) {
            tokio::time::sleep(PUT_OFF_LOOK).await;
        }
    }

    /// All that endpoints ran, ended ones too.
    #[must_use]
    pub fn ran(&self) -> Vec<Ran> {
        let all = self.servers.iter();
        all.flat_map(|server| server.ended.iter().chain([&server.now]))
            .flat_map(FencedEndpoint::ran)
            .collect()
    }

    /// All that reached endpoints, ended ones too.
    #[must_use]
    pub fn arrived(&self) -> Vec<Arrival> {
        let all = self.servers.iter();
        all.flat_map(|server| server.ended.iter().chain([&server.now]))
            .flat_map(FencedEndpoint::arrived)
            .collect()
    }

    /// Times at which endpoints got more than they stated.
    #[must_use]
    pub fn excesses(&self) -> Vec<Excess> {
        let is_excused = |server: &Server, sender: &str, at| {
            let n = sender.parse::<usize>();
            let instance = n.ok().and_then(|n| self.instances.get(n));
            server.is_disturbed(at) || instance.is_none_or(|i| i.is_disturbed(at, STABLE))
        };
        let mut found = Vec::new();
        for server in &self.servers {
            for endpoint in server.ended.iter().chain([&server.now]) {
                let log = endpoint.limits();
                found.extend(log.excesses(|sender, at| is_excused(server, sender, at)));
            }
        }
        found
    }

    /// Whether the link of an instance to an endpoint, or the instance, was disturbed at any time
    /// between two moments.
    fn was_disturbed(&self, server: &Server, sender: &str, from: Instant, to: Instant) -> bool {
        let n = sender.parse::<usize>();
        let instance = n.ok().and_then(|n| self.instances.get(n));
        server.was_disturbed(from, to) || instance.is_none_or(|i| i.was_disturbed(from, to))
    }

    /// Requests that reached endpoints too late after these had stated that they leave.
    #[must_use]
    pub fn late_arrivals(&self) -> Vec<LateArrival> {
        let mut found = Vec::new();
        for server in &self.servers {
            for endpoint in server.ended.iter().chain([&server.now]) {
                let log = endpoint.departure();
                found.extend(
                    log.late_unless(|sender, told, at| {
                        self.was_disturbed(server, sender, told, at)
                    }),
                );
            }
        }
        found
    }

    /// Rests in which endpoints got more requests than are allowed.
    #[must_use]
    pub fn broken_rests(&self) -> Vec<BrokenRest> {
        let mut found = Vec::new();
        for server in &self.servers {
            for endpoint in server.ended.iter().chain([&server.now]) {
                let log = endpoint.rests();
                found.extend(log.broken_unless(|sender, asked, end| {
                    self.was_disturbed(server, sender, asked, end)
                }));
            }
        }
        found
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
