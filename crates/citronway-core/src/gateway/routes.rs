//! The operator's configuration and the route of a request.

use indexmap::IndexMap;

use crate::findings::{Finding, Findings, Kind, Place, Problem};
use crate::ids::{ServiceName, Version};

/// Configuration in force, checked and ready for look-ups.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// Version that the operator gave it; grows in uneven steps.
    pub version: Version,
    /// All routes in the operator's order.
    pub routes: Vec<Route>,
    /// All services by name.
    pub services: IndexMap<ServiceName, Service>,
    /// Bounds on what a caller may send.
    pub limits: CallerLimits,
    /// Routes of a host, longest prefix first, as places in `routes`.
    by_host: IndexMap<String, Vec<usize>>,
}

/// One route: requests whose host and path match it go to its targets.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host that the request names, without a port.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub prefix: String,
    /// Services that share the requests by weight; one for a plain route.
    pub targets: Vec<Target>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Longest time that a request is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is worth most, in milliseconds.
    pub objective_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Endpoints that one request may be sent to.
    pub attempts: u32,
}

/// One part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Service that gets them.
    pub service: ServiceName,
    /// Its share among the targets of the route.
    pub weight: u32,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Repeat {
    /// It may.
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
}

impl Repeat {
    /// Word for logs and metrics.
    #[must_use]
    pub const fn word(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::AtMostOnce => "non_idempotent",
        }
    }
}

/// A service behind the routes.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// Whether its endpoints divide the keys among them.
    pub sharded: bool,
    /// How long a key is slow that arrives without a handover, in milliseconds.
    pub warm_ms: u64,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time to send the head, in milliseconds.
    pub header_ms: u64,
    /// Time that a connection may stay idle, in milliseconds.
    pub idle_ms: u64,
}

impl RouteTable {
    /// Checks a configuration as a whole and prepares it for look-ups.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with it, with the place.
    pub fn new(
        version: Version,
        routes: Vec<Route>,
        services: IndexMap<ServiceName, Service>,
        limits: CallerLimits,
    ) -> Result<Self, Findings> {
        let mut findings = Findings::new();
        for (i, route) in routes.iter().enumerate() {
            check_route(&mut findings, i, route, &services);
        }
        findings.or_ok(())?;
        let mut by_host = IndexMap::<String, Vec<usize>>::new();
        for (i, route) in routes.iter().enumerate() {
            by_host
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(i);
        }
        for places in by_host.values_mut() {
            places.sort_by_key(|i| std::cmp::Reverse(routes[*i].prefix.len()));
        }
        Ok(Self {
            version,
            routes,
            services,
            limits,
            by_host,
        })
    }

    /// The route with the longest prefix of `path` among those of `host`.
    ///
    /// `host` may carry a port and is compared without regard to case.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<(usize, &Route)> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let places = self
            .by_host
            .get(name)
            .or_else(|| self.by_host.get(&name.to_ascii_lowercase()))?;
        for place in places {
            let route = &self.routes[*place];
            if path.starts_with(&route.prefix) {
                return Some((*place, route));
            }
        }
        None
    }
}

impl Route {
    /// The target that takes the `n`th request of this route.
    ///
    /// Consecutive numbers are spread evenly: of any `total weight` numbers in a
    /// row each target gets its weight, not in one block.
    #[must_use]
    pub fn target(&self, n: u64) -> &Target {
        let total = self
            .targets
            .iter()
            .map(|t| u64::from(t.weight))
            .sum::<u64>();
        let Some(last) = self.targets.last().filter(|_| total > 0) else {
            return &self.targets[0];
        };
        // A step of about 0.618 of the circle, made prime to the total, visits
        // all places in an order that alternates between the targets.
        let mut place = n.wrapping_mul(golden_step(total)) % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if place < weight {
                return target;
            }
            place -= weight;
        }
        last
    }
}

fn golden_step(total: u64) -> u64 {
    let mut step = (total * 618 / 1_000).max(1);
    while gcd(step, total) != 1 {
        step += 1;
    }
    step
}

const fn gcd(mut a: u64, mut b: u64) -> u64 {
    while b != 0 {
        (a, b) = (b, a % b);
    }
    a
}

fn check_route(
    findings: &mut Findings,
    i: usize,
    route: &Route,
    services: &IndexMap<ServiceName, Service>,
) {
    let place = |field: &str| Place::new(format!("routes[{i}].{field}"));
    let slashes = route.prefix.starts_with('/') && route.prefix.ends_with('/');
    if !slashes {
        findings.push(Finding::new(
            place("prefix"),
            Problem::Malformed,
            "a path that begins and ends with a slash",
        ));
    }
    if route.targets.is_empty() {
        findings.push(Finding::new(place("targets"), Problem::Empty, "a service"));
    }
    for target in &route.targets {
        if services.contains_key(&target.service) {
            continue;
        }
        let problem = Problem::Dangling {
            kind: Kind::Service,
            name: target.service.to_string(),
        };
        findings.push(Finding::new(place("service"), problem, "a listed service"));
    }
    if route.timeout_ms == 0 {
        let problem = Problem::OutOfRange(route.timeout_ms.to_string());
        findings.push(Finding::new(place("timeout"), problem, "a time above zero"));
    }
}
