//! Route table: the operator's configuration, and the look-up of the route of a request.

use indexmap::IndexMap;

use crate::findings::{Finding, Findings, Kind, Place, Problem};
use crate::ids::{ServiceName, Version};

/// Configuration in force, checked and ready for look-ups.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// Version given by the operator; increases in steps of any size.
    pub version: Version,
    /// All routes in the operator's order.
    pub routes: Vec<Route>,
    /// All services by name.
    pub services: IndexMap<ServiceName, Service>,
    /// Bounds on what a caller may send.
    pub limits: CallerLimits,
    /// Whether a route was left out because the requests that it matches are not known.
    incomplete: bool,
    /// Indices into `routes` by host, longest prefix first.
    by_host: IndexMap<String, Vec<usize>>,
}

/// Configuration as it was read, before it is checked.
#[derive(Debug, Default)]
pub struct Draft {
    /// Routes in the operator's order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: IndexMap<ServiceName, Service>,
    /// Whether a route could not be read well enough to know which requests it matches.
    pub incomplete: bool,
    /// Problems found while reading.
    pub findings: Findings,
}

/// A configuration that can be put in force, and the problems found in it.
#[derive(Debug)]
pub struct CheckedRoutes {
    /// The usable part of the configuration.
    pub routes: RouteTable,
    /// Parts that were left out or whose requests are refused.
    pub findings: Findings,
}

/// A route: requests whose host and path match it go to its targets.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host name of the request, without a port.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// Services among which the requests are split by weight. Empty for a route that cannot be
    /// used, whose requests are refused.
    pub targets: Vec<Target>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Longest time until the answer to a request, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective in milliseconds: the time within which an answer is most useful.
    pub objective_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of endpoints to which one request may be sent.
    pub attempts: u32,
}

/// A service that gets a part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Repeat {
    /// It may run several times.
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
}

impl Repeat {
    /// Name for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::AtMostOnce => "non_idempotent",
        }
    }
}

/// A service behind the routes.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Number of connections that one endpoint accepts from all clients together.
    pub max_connections: u32,
    /// Whether each key is owned by one of its endpoints.
    pub sharded: bool,
    /// Time in milliseconds for which requests for a key are slow after it was assigned to an
    /// endpoint without a handover.
    pub warm_ms: u64,
    /// Requests a second that a cold endpoint can handle; `None` without a limit.
    pub cold_per_s: Option<f64>,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time limit for sending the head, in milliseconds.
    pub header_ms: u64,
    /// Time limit for an idle connection, in milliseconds.
    pub idle_ms: u64,
}

/// Limits for a configuration that states none.
impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            header_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

impl RouteTable {
    /// Checks a configuration and prepares it for look-ups.
    ///
    /// Failure guarded against: one route that this release cannot use makes it reject the whole
    /// configuration, and no route is served. Instead, the requests of an unusable route are
    /// refused as not run, and all other routes work.
    #[must_use]
    pub fn check(version: Version, limits: CallerLimits, draft: Draft) -> CheckedRoutes {
        let Draft {
            mut routes,
            services,
            mut incomplete,
            mut findings,
        } = draft;
        let mut by_host = IndexMap::<String, Vec<usize>>::new();
        for (i, route) in routes.iter_mut().enumerate() {
            check_route(&mut findings, i, route, &services);
            if !has_slashes(&route.prefix) {
                findings.push(Finding::new(
                    place(i, "prefix"),
                    Problem::Malformed,
                    "a path that begins and ends with a slash",
                ));
                incomplete = true;
                continue;
            }
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(i);
        }
        for places in by_host.values_mut() {
            places.sort_by_key(|i| std::cmp::Reverse(routes[*i].prefix.len()));
        }
        let routes = Self {
            version,
            routes,
            services,
            limits,
            incomplete,
            by_host,
        };
        CheckedRoutes { routes, findings }
    }

    /// Whether a request that matches no route may belong to a route that was left out.
    #[must_use]
    pub const fn is_incomplete(&self) -> bool {
        self.incomplete
    }

    /// The service that gets the `n`th request of a route; `None` if the route has no target or
    /// the service does not exist.
    #[must_use]
    pub fn service<'a>(
        &'a self,
        route: &'a Route,
        n: u64,
    ) -> Option<(&'a ServiceName, &'a Service)> {
        let name = &route.target(n)?.service;
        Some((name, self.services.get(name)?))
    }

    /// The service `name` of a route; `None` if the route does not have it, or it does not exist.
    #[must_use]
    pub fn service_named<'a>(
        &'a self,
        route: &'a Route,
        name: &ServiceName,
    ) -> Option<(&'a ServiceName, &'a Service)> {
        let target = route.targets.iter().find(|t| t.service == *name)?;
        Some((&target.service, self.services.get(&target.service)?))
    }

    /// Finds the route of `host` whose prefix is the longest that `path` starts with. Returns it
    /// with its index.
    ///
    /// `host` may have a port and is compared without regard to case.
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
    /// The target that gets the `n`th request of this route; `None` if the route has no targets.
    ///
    /// Consecutive numbers are interleaved: of as many consecutive numbers as the sum of the
    /// weights, each target gets as many as its weight, and not in one block.
    #[must_use]
    pub fn target(&self, n: u64) -> Option<&Target> {
        let total = self
            .targets
            .iter()
            .map(|t| u64::from(t.weight))
            .sum::<u64>();
        let Some(last) = self.targets.last().filter(|_| total > 0) else {
            return self.targets.first();
        };
        // Steps of about 0.618 of the total, coprime to it, visit all slots in an order that
        // alternates between the targets.
        let mut slot = n.wrapping_mul(golden_step(total)) % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if slot < weight {
                return Some(target);
            }
            slot -= weight;
        }
        Some(last)
    }
}

/// Step of about 0.618 of `total` that is coprime to it.
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

fn place(i: usize, field: &str) -> Place {
    Place::new(format!("routes[{i}].{field}"))
}

fn has_slashes(prefix: &str) -> bool {
    prefix.starts_with('/') && prefix.ends_with('/')
}

/// Checks the targets and the time-out of a route; removes the targets if the time-out cannot
/// be used.
fn check_route(
    findings: &mut Findings,
    i: usize,
    route: &mut Route,
    services: &IndexMap<ServiceName, Service>,
) {
    if route.targets.is_empty() {
        findings.push(Finding::new(
            place(i, "targets"),
            Problem::Empty,
            "a service",
        ));
    }
    for target in &route.targets {
        if services.contains_key(&target.service) {
            continue;
        }
        let problem = Problem::Dangling {
            kind: Kind::Service,
            name: target.service.to_string(),
        };
        findings.push(Finding::new(
            place(i, "service"),
            problem,
            "a listed service",
        ));
    }
    if route.timeout_ms == 0 {
        let problem = Problem::OutOfRange(route.timeout_ms.to_string());
        findings.push(Finding::new(
            place(i, "timeout"),
            problem,
            "a time above zero",
        ));
        route.targets.clear();
    }
}
