//! Endpoints that crash when they run a certain request, and callers that repeat it.

use std::net::Ipv4Addr;

use citronway_standin::shared::FencedEndpoint;

use super::{Deployment, Instance, Reply, WAIT_MS, exchange_from, head, until};

/// End of the path of a request that crashes endpoints.
pub const BAD: &str = "bad";

/// Number of endpoints of a service; a crashed one is replaced at once.
pub const ENDPOINTS: usize = 3;

/// Key of all requests; it is used only where keys are divided.
pub const KEY: u16 = 3;

/// The endpoints of a service, including those that have crashed.
pub struct Service<'a> {
    pub deployment: &'a Deployment,
    pub name: &'static str,
    pub all: Vec<FencedEndpoint>,
}

impl<'a> Service<'a> {
    /// `console`, whose endpoints serve any key.
    pub fn console(deployment: &'a Deployment) -> Self {
        deployment.unlist(&deployment.c);
        Self::start(deployment, "console")
    }

    /// `batch`, whose endpoints divide the keys.
    pub fn batch(deployment: &'a Deployment) -> Self {
        deployment.unlist(&deployment.a);
        deployment.unlist(&deployment.b);
        Self::start(deployment, "batch")
    }

    pub fn start(deployment: &'a Deployment, name: &'static str) -> Self {
        let mut service = Self {
            deployment,
            name,
            all: Vec::new(),
        };
        for _ in 0..ENDPOINTS {
            service.start_one();
        }
        service
    }

    pub fn start_one(&mut self) {
        let name = format!("i-{}-{}", self.name, self.all.len());
        let sharded = self.name == "batch";
        let endpoint = FencedEndpoint::start(&name, self.name, sharded).expect("an endpoint");
        endpoint.crash_on(BAD);
        self.deployment.list(&endpoint, "ready");
        self.all.push(endpoint);
    }

    /// Unlists crashed endpoints and starts a new one for each.
    pub fn replace_crashed(&mut self) {
        let crashed = |e: &&FencedEndpoint| e.has_crashed();
        let lost = self.all.iter().filter(crashed).count();
        for endpoint in self.all.iter().filter(crashed) {
            self.deployment.unlist(endpoint);
        }
        while self.all.len() < ENDPOINTS + lost {
            self.start_one();
        }
    }

    /// Number of runs of requests whose path has this end.
    pub fn begun(&self, path_end: &str) -> usize {
        let runs = self.all.iter().flat_map(FencedEndpoint::ran);
        runs.filter(|ran| ran.what.ends_with(path_end)).count()
    }
}

/// Sends a request from one of several source addresses.
pub fn call(instance: &Instance, start: &str, id: usize) -> Reply {
    let name = start.replace(' ', "-");
    let headers = format!("X-Request-Id: {name}-{id}\r\nX-Shard-Key: {KEY}\r\n");
    let head = head(start, &headers, WAIT_MS, 0);
    let source = Ipv4Addr::new(127, 0, 0, 1 + u8::try_from(id % 7).expect("small"));
    exchange_from(source, instance.callers, &head).expect("an answer")
}

/// Sends work that crashes endpoints until it has caused this number of crashes: one request
/// after the other, at all instances in turn, each under its own id.
pub fn crash(service: &mut Service<'_>, instances: &[Instance], start: &str, crashes: usize) {
    let enough = service.begun(BAD) + crashes;
    let mut id = 0;
    for _ in 0..crashes {
        until("the work reaches endpoints", || {
            let before = service.begun(BAD);
            if before < enough {
                call(&instances[id % instances.len()], start, id);
            }
            id += 1;
            service.replace_crashed();
            before >= enough || service.begun(BAD) > before
        });
    }
}
