//! Pools of all endpoints.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::command::Target;
use super::config::EndpointsConfig;
use super::lane::Lane;

/// Connections to one endpoint, orders apart from control requests.
///
/// Failure guarded against: stuck orders hold every connection, and grants and
/// cancellations cannot reach the endpoint. It shows as an endpoint declared
/// lost while it answers. The guard holds because the lanes share no connection.
#[derive(Debug, Clone)]
pub struct EndpointPool {
    /// Connections for orders.
    pub data: Arc<Lane>,
    /// Connections for grants, revocations and cancellations.
    pub control: Arc<Lane>,
    limit: u32,
}

/// Pools by endpoint and address.
#[derive(Debug, Default)]
pub struct Pools {
    pools: IndexMap<Target, EndpointPool>,
}

impl Pools {
    /// The pool of `to`, for control requests.
    pub fn of(&mut self, cfg: &EndpointsConfig, to: &Target) -> EndpointPool {
        let pool = self
            .pools
            .entry(to.clone())
            .or_insert_with(|| EndpointPool::new(cfg, to, 0));
        pool.clone()
    }

    /// The pool of `to`, with at most `connections` connections in all.
    pub fn with_limit(
        &mut self,
        cfg: &EndpointsConfig,
        to: &Target,
        connections: u32,
    ) -> EndpointPool {
        let mut pool = self.of(cfg, to);
        if pool.limit != connections {
            pool.limit = connections;
            pool.data.set_limit(cfg.data_connections(connections));
            self.pools.insert(to.clone(), pool.clone());
        }
        pool
    }

    /// Closes old idle connections and forgets pools without any.
    pub fn sweep(&mut self, longest: Duration) {
        self.pools.retain(|_, pool| {
            pool.data.close_idle(longest);
            pool.control.close_idle(longest);
            !pool.is_unused()
        });
    }
}

impl EndpointPool {
    fn new(cfg: &EndpointsConfig, to: &Target, connections: u32) -> Self {
        Self {
            data: Arc::new(Lane::new(to.address, cfg.data_connections(connections))),
            control: Arc::new(Lane::new(to.address, cfg.control_connections)),
            limit: connections,
        }
    }

    // A task that holds the pool may be about to open a connection, which has
    // to count in the pool that later orders use.
    fn is_unused(&self) -> bool {
        let held = Arc::strong_count(&self.data) > 1 || Arc::strong_count(&self.control) > 1;
        !held && self.data.is_unused() && self.control.is_unused()
    }
}
