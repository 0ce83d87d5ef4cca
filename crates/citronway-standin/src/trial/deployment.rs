//! A small deployment: one service on a few endpoints and entries.

use citronway_core::config::{Class, Config, Endpoint, Group, Service, Weights};
use citronway_core::ids::{ClassName, EndpointName, GroupName, ServiceName, ZoneName};
use citronway_core::request::Labels;

use super::links::Links;
use crate::endpoint::EndpointOptions;
use crate::env::{Env, EnvError, Launcher, wait};

/// The only service.
pub const SERVICE: &str = "bookings";

/// Milliseconds that the platform's instance list lags behind.
const LIST_LAG_MS: u64 = 200;
/// Longest order, in milliseconds; what must be waited out for an endpoint that
/// does not check follows it.
const MAX_ORDER_MS: u64 = 2000;
const CLASS: &str = "lab";
const CONNECTIONS: u32 = 64;
const SHARDS: u32 = 16;

/// Name of the entry with this number.
#[must_use]
pub fn entry_name(number: usize) -> String {
    format!("entry-{number}")
}

/// Name of the endpoint with this number.
#[must_use]
pub fn endpoint_name(number: usize) -> String {
    format!("endpoint-{number}")
}

/// What is started; entry and endpoint `n` stand in zone `n`.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    entries: usize,
    endpoints: Vec<EndpointOptions>,
    max_order_ms: u64,
    weights: Weights,
}

impl Deployment {
    /// Three entries and so many endpoints that check orders.
    #[must_use]
    pub fn new(endpoints: usize) -> Self {
        let numbers = 0..endpoints;
        Self {
            entries: 3,
            endpoints: numbers
                .map(|number| EndpointOptions::new(&endpoint_name(number)))
                .collect(),
            max_order_ms: MAX_ORDER_MS,
            weights: Weights::default(),
        }
    }

    /// So many entries.
    #[must_use]
    pub const fn entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }

    /// Whether endpoints check orders.
    #[must_use]
    pub fn checks(self, checks: bool) -> Self {
        self.each(|endpoint| endpoint.checks(checks))
    }

    /// Endpoints from this number on do not check orders.
    #[must_use]
    pub fn unchecked_from(mut self, number: usize) -> Self {
        for endpoint in self.endpoints.iter_mut().skip(number) {
            endpoint.checks = false;
        }
        self
    }

    /// Mean time of an order, in milliseconds.
    #[must_use]
    pub fn service_ms(self, ms: u64) -> Self {
        self.each(|endpoint| endpoint.service_ms(ms))
    }

    /// Callers wait, and orders run, at most so many milliseconds.
    #[must_use]
    pub const fn max_order_ms(mut self, ms: u64) -> Self {
        self.max_order_ms = ms;
        self
    }

    /// No shard moves for balance alone, so that a test sees its own failure only.
    #[must_use]
    pub const fn without_balancing(mut self) -> Self {
        self.weights.imbalance = 0.0;
        self
    }

    /// Starts all, applies the configuration and waits until every shard is owned
    /// and every endpoint has a dispatcher with its successors.
    ///
    /// # Errors
    ///
    /// If something does not start or the configuration is not accepted.
    pub async fn start(&self, launcher: Launcher) -> Result<Env, EnvError> {
        self.start_with(launcher, None).await
    }

    /// The same, with relays between entries, and between them and the platform.
    ///
    /// # Errors
    ///
    /// If something does not start or the configuration is not accepted.
    pub async fn start_linked(&self, launcher: Launcher) -> Result<(Env, Links), EnvError> {
        let links = Links::new((0..self.entries).map(entry_name).collect());
        let env = self.start_with(launcher, Some(&links)).await?;
        Ok((env, links))
    }

    /// The configuration for what runs.
    #[must_use]
    pub fn config(&self, env: &Env) -> Config {
        let mut config = Config::default();
        let service = Service {
            labels: Labels::new(),
            shards: SHARDS,
            weights: self.weights,
            default_class: ClassName::new(CLASS),
        };
        config.services.insert(ServiceName::new(SERVICE), service);
        let class = Class {
            priority: 0,
            kept_share: 0,
        };
        config.classes.insert(ClassName::new(CLASS), class);
        let group = Group {
            service: ServiceName::new(SERVICE),
            labels: Labels::new(),
            endpoints: "role=lab".to_owned(),
            keys: None,
            callers: None,
        };
        config.groups.insert(GroupName::new("everything"), group);
        for (number, endpoint) in env.endpoints().enumerate() {
            let options = endpoint.options();
            let endpoint = Endpoint {
                address: endpoint.address(),
                zone: ZoneName::new(&zone_name(number)),
                labels: Labels::from([("role".to_owned(), "lab".to_owned())]),
                slots: options.slots,
                connections: CONNECTIONS,
                checks_orders: options.checks,
                drain: false,
            };
            let name = EndpointName::new(&options.name);
            config.endpoints.insert(name, endpoint);
        }
        config
    }

    /// Waits until every shard is owned and each dispatch row names two
    /// successors, so that the next loss meets a whole deployment.
    ///
    /// # Errors
    ///
    /// If that state does not come.
    pub async fn settled(&self, env: &Env) -> Result<(), EnvError> {
        env.all_healthy().await?;
        let owned = async || env.platform().all_owned(1).await;
        wait("every shard is owned", owned).await?;
        let seated = async || self.all_seated(env).await;
        wait("every endpoint has its successors", seated).await
    }

    async fn all_seated(&self, env: &Env) -> bool {
        let Ok(rows) = env.platform().dispatch_rows().await else {
            return false;
        };
        let successors = (self.entries - 1).min(2);
        let full = |row: &citronway_core::shard::DispatchRow| row.successors.len() >= successors;
        rows.len() == self.endpoints.len() && rows.iter().all(full)
    }

    fn each(mut self, change: impl Fn(EndpointOptions) -> EndpointOptions) -> Self {
        self.endpoints = self.endpoints.into_iter().map(change).collect();
        self
    }

    async fn start_with(&self, launcher: Launcher, links: Option<&Links>) -> Result<Env, EnvError> {
        let mut env = Env::start(launcher, LIST_LAG_MS)?;
        env.set_max_order(self.max_order_ms);
        for options in &self.endpoints {
            env.start_endpoint(options.clone())?;
        }
        for number in 0..self.entries {
            let name = entry_name(number);
            let mut settings = env.entry_settings(&name, &zone_name(number))?;
            if let Some(links) = links {
                links.put_around(&mut settings).await?;
            }
            env.launch_entry(settings).await?;
        }
        let config = self.config(&env);
        env.apply(&entry_name(0), &config).await?;
        self.settled(&env).await?;
        Ok(env)
    }
}

fn zone_name(number: usize) -> String {
    format!("zone-{number}")
}
