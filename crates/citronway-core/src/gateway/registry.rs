//! Registry of the endpoints that the platform's store lists.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};

use crate::gateway::pace::EndpointTag;
use crate::ids::{EndpointName, EndpointStart, ServiceName, ZoneName};
use crate::time::Mono;

/// Time in milliseconds for which an entry that is missing after a store outage is kept.
///
/// Entries expire while the store is unavailable and reappear within about two seconds of its
/// return. Dropping them at once would stop the service of all keys.
pub const LAPSE_GRACE_MS: u64 = 2_000;

/// Number of unlisted starts kept in `first_seen` before old ones are removed.
const REMEMBERED_STARTS: usize = 1_000;

/// Minimum time in milliseconds for which a start is kept: late entries arrive within seconds.
const REMEMBERED_MS: u64 = 600_000;

/// Delay in milliseconds before the entry of a start that began before the listed one is
/// applied. It is nearly two heartbeats, in which a running start writes its entry again.
const BORN_EARLIER_MS: u64 = 1_500;

/// Time in milliseconds for which endpoints of a restored zone count as cold unless their
/// entries say otherwise. It is two heartbeats; a cold endpoint writes its entry at each.
const COLD_AFTER_RESTORE_MS: u64 = 2_000;

/// Entry that one start of an endpoint writes about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Identity of the start. A later start may have the same name, the same address or both.
    pub start: EndpointStart,
    /// Service that the endpoint belongs to.
    pub service: ServiceName,
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: ZoneName,
    /// Number of requests that the endpoint works on at the same time.
    pub slots: u32,
    /// Whether the endpoint is draining and will stop.
    pub draining: bool,
    /// Remaining warm-up time after the start, in milliseconds.
    pub cold_ms: u64,
}

/// A listed endpoint and the state of its entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Newest entry.
    pub listing: Listing,
    /// Time at which this start was first seen.
    pub first_seen: Mono,
    /// End of the warm-up according to the newest entry.
    pub warm_at: Mono,
    /// Time at which it was first seen draining; `None` if it is not draining.
    pub draining_since: Option<Mono>,
    /// Time until which an entry that is missing since an outage is kept.
    missing_until: Option<Mono>,
    /// Entry of a start that began earlier, and the time at which it replaces this one unless
    /// this one is renewed before.
    postponed: Option<(Listing, Mono)>,
    /// Whether a later start listens on the same address.
    shadowed: bool,
    /// Set while its zone is evacuated: time until which requests for its keys are still sent to
    /// it.
    evacuated: Option<Mono>,
    /// Set once its answers state that it leaves: time until which requests for its keys are still
    /// sent to it. Its entry cannot revoke this.
    leaving: Option<Mono>,
}

/// Time in milliseconds for which requests for the keys of a draining endpoint are still sent
/// to it.
///
/// Moving its keys takes about 200 ms. The endpoint must get no more requests two seconds after
/// it starts to drain, and the information may need 1.6 s of that when the leader has just lost
/// the store.
const DRAINING_USE_MS: u64 = 300;

impl ListedEndpoint {
    fn new(now: Mono, first_seen: Mono, listing: Listing) -> Self {
        Self {
            first_seen,
            warm_at: now.plus(listing.cold_ms),
            draining_since: listing.draining.then_some(now),
            missing_until: None,
            postponed: None,
            shadowed: false,
            evacuated: None,
            leaving: None,
            listing,
        }
    }

    /// Sort key of the starts at one address; the start with the highest key is running.
    ///
    /// Failure guarded against: the entry of an ended start arrives late, after its successor at
    /// the address has listed itself. If it counted as newer, the running start would be treated
    /// as ended and its keys would be assigned elsewhere while it still holds them. An ended
    /// process never gets its address back, so the start with the later start time runs; where
    /// no start time is given, the start that was first seen later.
    const fn start_order(&self) -> (Option<u64>, Mono) {
        (self.listing.start.born_ms(), self.first_seen)
    }

    /// Applies a later entry of the same start.
    fn renew(&mut self, now: Mono, listing: Listing) {
        self.warm_at = now.plus(listing.cold_ms);
        let draining_since = listing.draining.then_some(now);
        // An entry without the draining flag cancels the drain.
        self.draining_since = draining_since.map(|at| self.draining_since.unwrap_or(at));
        self.missing_until = None;
        self.postponed = None;
        self.listing = listing;
    }

    /// Next time at which it is dropped as missing or replaced by a postponed entry.
    fn next_change(&self) -> Option<Mono> {
        let postponed = self.postponed.as_ref().map(|(_, at)| *at);
        self.missing_until.into_iter().chain(postponed).min()
    }

    /// Whether it may be sent new requests that any endpoint of the service can serve.
    #[must_use]
    pub const fn accepts_work(&self) -> bool {
        !self.is_leaving() && self.evacuated.is_none()
    }

    /// Whether its entry or its answers state that it leaves.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.listing.draining || self.leaving.is_some()
    }

    /// Whether its answers state that it leaves.
    #[must_use]
    pub const fn states_departure(&self) -> bool {
        self.leaving.is_some()
    }

    /// Whether its availability zone is being evacuated.
    #[must_use]
    pub const fn is_evacuated(&self) -> bool {
        self.evacuated.is_some()
    }

    /// Whether it is still warming up after its start or after its zone was restored.
    #[must_use]
    pub fn is_cold(&self, now: Mono) -> bool {
        now < self.warm_at
    }

    /// Whether it may be sent requests for keys that it owns.
    #[must_use]
    pub fn accepts_owned_work(&self, now: Mono) -> bool {
        let stays = self
            .draining_since
            .is_none_or(|since| now.since(since) < DRAINING_USE_MS);
        let bounds = [self.evacuated, self.leaving];
        stays && bounds.into_iter().flatten().all(|until| now < until)
    }
}

/// All listed endpoints by name.
///
/// Entries must be passed in the order of their versions; the reader of the store drops
/// outdated ones.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    endpoints: IndexMap<EndpointName, ListedEndpoint>,
    /// Time at which each start was first seen, including starts that are no longer listed.
    first_seen: IndexMap<EndpointStart, Mono>,
    /// Services named by the configuration; `None` while no configuration is known.
    services: Option<IndexSet<ServiceName>>,
    /// Evacuated zones, each with the time until which requests are still sent to the owners of
    /// keys there.
    evacuated: IndexMap<ZoneName, Mono>,
    /// Endpoints whose answers state that they leave, each with the time until which requests for
    /// its keys are still sent to it.
    leaving: IndexMap<EndpointTag, Mono>,
    /// Whether the store can be reached, and since when after an outage.
    store: StoreState,
}

/// Reachability of the store from this instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum StoreState {
    /// It answers; removals take effect at once.
    #[default]
    Reachable,
    /// It does not answer.
    Lost,
    /// It answers again since this time.
    Regained(Mono),
}

impl Registry {
    /// Applies a new or changed entry.
    pub fn put(&mut self, now: Mono, listing: Listing) {
        let first = *self.first_seen.entry(listing.start.clone()).or_insert(now);
        let Some(endpoint) = self.endpoints.get_mut(listing.start.name()) else {
            let name = listing.start.name().clone();
            self.insert(name, ListedEndpoint::new(now, first, listing));
            return;
        };
        if endpoint.listing.start == listing.start {
            let same_place = endpoint.listing.address == listing.address
                && endpoint.listing.service == listing.service;
            endpoint.evacuated = self.evacuated.get(&listing.zone).copied();
            endpoint.renew(now, listing);
            if !same_place {
                self.update_shadowed();
            }
            return;
        }
        // Failure guarded against: the last entry of an ended start arrives after the first
        // entry of its successor. If it counted as newer, the running start would be treated
        // as ended. The clock may also have been set back between the two starts; then the
        // delayed entry is the right one and replaces the other after the delay.
        if listing.start.born_ms() < endpoint.listing.start.born_ms() {
            endpoint
                .postponed
                .get_or_insert((listing, now.plus(BORN_EARLIER_MS)));
            return;
        }
        let name = listing.start.name().clone();
        self.insert(name, ListedEndpoint::new(now, first, listing));
    }

    /// Inserts an endpoint, replacing any other start with its name.
    fn insert(&mut self, name: EndpointName, mut endpoint: ListedEndpoint) {
        endpoint.evacuated = self.evacuated.get(&endpoint.listing.zone).copied();
        endpoint.leaving = leaving_until(&self.leaving, &endpoint.listing);
        self.endpoints.insert(name, endpoint);
        self.update_shadowed();
    }

    /// Sets the evacuated zones, each with the time until which requests are still sent to the
    /// owners of keys there.
    ///
    /// Failure guarded against: the endpoints of a restored zone are cold, but until their
    /// entries say so all instances see them as idle and overload them until they crash.
    pub fn set_evacuated(&mut self, now: Mono, zones: IndexMap<ZoneName, Mono>) {
        for endpoint in self.endpoints.values_mut() {
            let before = endpoint.evacuated;
            endpoint.evacuated = zones.get(&endpoint.listing.zone).copied();
            if before.is_some() && endpoint.evacuated.is_none() {
                endpoint.warm_at = endpoint.warm_at.max(now.plus(COLD_AFTER_RESTORE_MS));
            }
        }
        self.evacuated = zones;
    }

    /// Sets the endpoints whose answers state that they leave, each with the time until which
    /// requests for its keys are still sent to it.
    pub fn set_leaving(&mut self, endpoints: IndexMap<EndpointTag, Mono>) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.leaving = leaving_until(&endpoints, &endpoint.listing);
        }
        self.leaving = endpoints;
    }

    /// Sets the services of the configuration in force.
    pub fn set_services(&mut self, services: IndexSet<ServiceName>) {
        self.services = Some(services);
        self.update_shadowed();
    }

    /// Drops the entry with this name at once, without a grace period.
    pub fn discard(&mut self, name: &EndpointName) {
        self.endpoints.shift_remove(name);
        self.update_shadowed();
    }

    /// Applies the removal of an entry. During an outage of the store the entry is kept for
    /// [`LAPSE_GRACE_MS`], and after one until [`LAPSE_GRACE_MS`] after the store's return.
    pub fn remove(&mut self, now: Mono, name: &EndpointName) {
        let grace_end = match self.store {
            StoreState::Reachable => None,
            StoreState::Lost => Some(now.plus(LAPSE_GRACE_MS)),
            StoreState::Regained(at) => Some(at.plus(LAPSE_GRACE_MS)).filter(|end| *end > now),
        };
        let Some(end) = grace_end else {
            self.discard(name);
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.missing_until.get_or_insert(end);
        }
    }

    /// Records that the store does not answer.
    pub fn store_lost(&mut self) {
        self.store = StoreState::Lost;
    }

    /// Records that the store answers again.
    pub fn store_regained(&mut self, now: Mono) {
        if self.store == StoreState::Lost {
            self.store = StoreState::Regained(now);
        }
    }

    /// Records that the store answered other instances while this one could not reach it, so
    /// missing entries were really removed.
    pub fn outage_was_local(&mut self) {
        self.store = StoreState::Reachable;
    }

    /// Whether the grace period of a missing entry or the delay of a postponed one has ended.
    #[must_use]
    pub fn has_expired(&self, now: Mono) -> bool {
        let mut changes = self
            .endpoints
            .values()
            .filter_map(ListedEndpoint::next_change);
        changes.any(|at| at <= now)
    }

    /// Drops missing entries whose grace period has ended and applies postponed entries whose
    /// delay has ended. Returns whether there were any.
    pub fn expire(&mut self, now: Mono) -> bool {
        if self.first_seen.len() > self.endpoints.len() + REMEMBERED_STARTS {
            let endpoints = &self.endpoints;
            let listed = |start: &EndpointStart| endpoints.contains_key(start.name());
            self.first_seen
                .retain(|start, at| listed(start) || now.since(*at) < REMEMBERED_MS);
        }
        let expired = self.has_expired(now);
        self.endpoints
            .retain(|_, endpoint| endpoint.missing_until.is_none_or(|end| now < end));
        for endpoint in self.endpoints.values_mut() {
            if let Some((listing, _)) = endpoint.postponed.take_if(|(_, at)| *at <= now) {
                let evacuated = self.evacuated.get(&listing.zone).copied();
                *endpoint = ListedEndpoint::new(now, now, listing);
                endpoint.evacuated = evacuated;
                endpoint.leaving = leaving_until(&self.leaving, &endpoint.listing);
            }
        }
        if expired {
            self.update_shadowed();
        }
        expired
    }

    /// The endpoint of this start; `None` if it is not listed or a later start has its address.
    #[must_use]
    pub fn get(&self, start: &EndpointStart) -> Option<&ListedEndpoint> {
        let endpoint = self.endpoints.get(start.name())?;
        (endpoint.listing.start == *start && !endpoint.shadowed).then_some(endpoint)
    }

    /// Names of all entries, including those whose address a later start has taken over.
    #[must_use]
    pub fn names(&self) -> Vec<EndpointName> {
        self.endpoints.keys().cloned().collect()
    }

    /// All listed endpoints except those whose address a later start has taken over.
    pub fn iter(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.endpoints
            .values()
            .filter(|endpoint| !endpoint.shadowed)
    }

    /// The endpoints of [`Registry::iter`] that belong to `service`.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a ListedEndpoint> {
        self.iter()
            .filter(move |endpoint| endpoint.listing.service == *service)
    }

    /// Whether another start has taken over the name or the address of `start`.
    ///
    /// Two processes cannot listen on one address, so the earlier start has ended and holds no
    /// keys, whatever was granted to it.
    #[must_use]
    pub fn is_replaced(&self, start: &EndpointStart, address: SocketAddr) -> bool {
        match self.endpoints.get(start.name()) {
            Some(endpoint) if endpoint.listing.start == *start => endpoint.shadowed,
            Some(_) => true,
            None => self.at(address).any(|other| self.is_later(other, start)),
        }
    }

    /// Whether the listed start `other` is known to have begun after the unlisted `start`.
    fn is_later(&self, other: &ListedEndpoint, start: &EndpointStart) -> bool {
        match self.first_seen.get(start) {
            Some(first) => other.start_order() > (start.born_ms(), *first),
            None => start.born_ms().is_some() && other.listing.start.born_ms() > start.born_ms(),
        }
    }

    /// Marks each start whose address a later start has taken over.
    ///
    /// Failure guarded against: an entry of an unknown service or of another writer names the
    /// address of a running endpoint. Only the latest start of a configured service counts, so
    /// such an entry does not shadow the endpoint.
    fn update_shadowed(&mut self) {
        let mut latest = IndexMap::<SocketAddr, (Option<u64>, Mono)>::new();
        for endpoint in self
            .endpoints
            .values()
            .filter(|endpoint| self.is_configured(endpoint))
        {
            let highest = latest
                .entry(endpoint.listing.address)
                .or_insert(endpoint.start_order());
            *highest = endpoint.start_order().max(*highest);
        }
        for endpoint in self.endpoints.values_mut() {
            let latest = latest.get(&endpoint.listing.address);
            endpoint.shadowed = latest.is_some_and(|latest| *latest > endpoint.start_order());
        }
    }

    /// Listed starts of configured services on this address.
    fn at(&self, address: SocketAddr) -> impl Iterator<Item = &ListedEndpoint> {
        self.endpoints.values().filter(move |endpoint| {
            endpoint.listing.address == address && self.is_configured(endpoint)
        })
    }

    fn is_configured(&self, endpoint: &ListedEndpoint) -> bool {
        let services = self.services.as_ref();
        services.is_none_or(|services| services.contains(&endpoint.listing.service))
    }
}

fn leaving_until(leaving: &IndexMap<EndpointTag, Mono>, listing: &Listing) -> Option<Mono> {
    if leaving.is_empty() {
        return None;
    }
    leaving.get(&EndpointTag::of(&listing.start)).copied()
}
