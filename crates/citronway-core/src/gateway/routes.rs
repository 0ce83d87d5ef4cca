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
    /// A route was left out because nobody can tell which requests are its own.
    incomplete: bool,
    /// Routes of a host, longest prefix first, as places in `routes`.
    by_host: IndexMap<String, Vec<usize>>,
}

/// Routes as they were read, before they are checked.
#[derive(Debug, Default)]
pub struct Draft {
    /// Routes in the operator's order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: IndexMap<ServiceName, Service>,
    /// A route could not be read so far that its requests are known.
    pub incomplete: bool,
    /// What was found wrong while it was read.
    pub findings: Findings,
}

/// A configuration that can be put in force, and what of it cannot be used.
#[derive(Debug)]
pub struct CheckedRoutes {
    /// Everything that is known to be meant.
    pub routes: RouteTable,
    /// What was left out or is answered with a refusal, with the place.
    pub findings: Findings,
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
    /// Services that share the requests by weight; one for a plain route, none for a
    /// route that cannot be used: its requests are refused.
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
    /// Connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// Whether its endpoints divide the keys among them.
    pub sharded: bool,
    /// How long a key is slow that arrives without a handover, in milliseconds.
    pub warm_ms: u64,
    /// Requests a second that an endpoint bears while it is cold; none where nothing is said.
    pub cold_per_s: Option<f64>,
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

/// Bounds where the operator states none.
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
    /// Failure guarded against: one route that this version cannot use keeps the whole
    /// configuration out, and nobody is served on any route. A route in doubt refuses
    /// its own requests, which tells callers that they have not run; all others hold.
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
            if !has_slashes(&route.prefix) {
                findings.push(Finding::new(
                    place(i, "prefix"),
                    Problem::Malformed,
                    "a path that begins and ends with a slash",
                ));
                incomplete = true;
                continue;
            }
            check_route(&mut findings, i, route, &services);
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

    /// Whether a request that matches no route may belong to one that was left out.
    #[must_use]
    pub const fn is_incomplete(&self) -> bool {
        self.incomplete
    }

    /// The service that takes the `n`th request of a route; none if it is not known.
    #[must_use]
    pub fn service<'a>(
        &'a self,
        route: &'a Route,
        n: u64,
    ) -> Option<(&'a ServiceName, &'a Service)> {
        let name = &route.target(n)?.service;
        Some((name, self.services.get(name)?))
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
    pub fn target(&self, n: u64) -> Option<&Target> {
        let total = self
            .targets
            .iter()
            .map(|t| u64::from(t.weight))
            .sum::<u64>();
        let Some(last) = self.targets.last().filter(|_| total > 0) else {
            return self.targets.first();
        };
        // A step of about 0.618 of the circle, made prime to the total, visits
        // all places in an order that alternates between the targets.
        let mut place = n.wrapping_mul(golden_step(total)) % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if place < weight {
                return Some(target);
            }
            place -= weight;
        }
        Some(last)
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

fn place(i: usize, field: &str) -> Place {
    Place::new(format!("routes[{i}].{field}"))
}

fn has_slashes(prefix: &str) -> bool {
    prefix.starts_with('/') && prefix.ends_with('/')
}

/// Takes the targets from a route that cannot be used.
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
