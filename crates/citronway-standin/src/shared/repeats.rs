//! Whether all instances together keep the limit on second sends.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::FencedEndpoint;

/// Limit of the settings: second sends for each request, further ones in a window, and the window.
const RATIO: f64 = 0.2;
const SLACK: f64 = 64.0;
const WINDOW: Duration = Duration::from_secs(10);

/// A request that reached an endpoint, whether it was run or rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Id of the request.
    pub id: String,
    /// Service of the endpoint.
    pub service: String,
    /// When it arrived.
    pub at: Instant,
}

impl FencedEndpoint {
    /// What reached it so far, whether it ran or not.
    #[must_use]
    pub fn arrived(&self) -> Vec<Arrival> {
        let state = self.shared.lock();
        let arrivals = state.arrived.iter().map(|(id, at)| Arrival {
            id: id.clone(),
            service: self.service.clone(),
            at: *at,
        });
        arrivals.collect()
    }
}

/// A window in which a service got more arrivals beyond the first of their requests than are
/// allowed.
#[derive(Debug, Clone, PartialEq)]
pub struct Repeats {
    /// The service.
    pub service: String,
    /// Arrivals beyond the first.
    pub got: usize,
    /// How many the limit allows.
    pub allowed: f64,
}

/// Windows that exceed the limit most, one for each service. `sent` is when callers sent their
/// requests; one that is not there counts from its first arrival.
#[must_use]
pub fn excessive_repeats(arrivals: &[Arrival], sent: &IndexMap<String, Instant>) -> Vec<Repeats> {
    let mut arrivals = arrivals.to_vec();
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut services = IndexMap::<&str, (Vec<Instant>, Vec<Instant>)>::new();
    let mut seen = IndexMap::<&str, ()>::new();
    for arrival in &arrivals {
        let (requests, repeats) = services.entry(&arrival.service).or_default();
        if seen.insert(&arrival.id, ()).is_some() {
            repeats.push(arrival.at);
            continue;
        }
        requests.push(sent.get(&arrival.id).copied().unwrap_or(arrival.at));
    }
    services
        .into_iter()
        .filter_map(|(service, (requests, repeats))| worst(service, requests, &repeats))
        .collect()
}

/// The worst window that begins with a second send; `None` if none exceeds the limit.
fn worst(service: &str, mut requests: Vec<Instant>, repeats: &[Instant]) -> Option<Repeats> {
    requests.sort_unstable();
    let windows = repeats.iter().map(|from| {
        // Requests count in the window, in the one before it or in the one half a window before it.
        let shifts = [Duration::ZERO, WINDOW / 2, WINDOW];
        let counted = shifts.map(|shift| {
            let from = from.checked_sub(shift).unwrap_or(*from);
            count_in(&requests, from)
        });
        let requests = counted.into_iter().max().unwrap_or_default() as f64;
        Repeats {
            service: service.to_owned(),
            got: count_in(repeats, *from),
            allowed: RATIO.mul_add(requests, SLACK),
        }
    });
    windows
        .filter(|window| window.got as f64 > window.allowed)
        .max_by(|a, b| (a.got as f64 - a.allowed).total_cmp(&(b.got as f64 - b.allowed)))
}

/// Number of sorted times in the window from a moment on.
fn count_in(times: &[Instant], from: Instant) -> usize {
    let end = from + WINDOW;
    times.partition_point(|at| *at < end) - times.partition_point(|at| *at < from)
}
