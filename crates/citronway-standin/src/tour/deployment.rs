//! The deployment of the tour.

use citronway_core::config::{Class, Config, Endpoint, Group, Rule, Service, Weights};
use citronway_core::ids::{ClassName, EndpointName, GroupName, ServiceName, ZoneName};
use citronway_core::request::Labels;

use super::options::TourOptions;
use crate::endpoint::EndpointOptions;
use crate::env::{Env, EnvError, Launcher, wait};

/// The service of the tour.
pub const SERVICE: &str = "migrations";
/// Zones, each with one entry.
pub const ZONES: [&str; 3] = ["north", "south", "west"];
/// The endpoint that is killed; it checks orders.
pub const LOST_ENDPOINT: &str = "endpoint-1";
/// The endpoint that is paused; it does not check orders.
pub const PAUSED_ENDPOINT: &str = "endpoint-2";
/// The entry that is killed.
pub const LOST_ENTRY: &str = "entry-south";
/// The entry that is paused.
pub const PAUSED_ENTRY: &str = "entry-west";

/// Milliseconds that the platform's instance list lags behind.
const LIST_LAG_MS: u64 = 500;
const ENDPOINTS: u32 = 6;
const SLOTS: u32 = 6;
const SERVICE_MS: u64 = 5;
/// Longest order, in milliseconds. A dispatcher of an endpoint that does not
/// check waits so long before it gives a shard up, because an order of an
/// earlier dispatcher may still run; the default of a minute is longer than the
/// whole tour.
const MAX_ORDER_MS: u64 = 2000;
const SHARDS: u32 = 32;
const INTERACTIVE: &str = "interactive";
const BATCH: &str = "batch";

/// Starts all processes and applies the configuration.
///
/// # Errors
///
/// If something does not start or the configuration is not accepted.
pub async fn start(options: TourOptions) -> Result<Env, EnvError> {
    let launcher = Launcher::this_program().map_err(EnvError::io("find this program"))?;
    let mut env = Env::start(launcher, LIST_LAG_MS)?;
    if options.keep_files {
        println!("files are kept in {}", env.keep_files().display());
    }
    env.set_max_order(MAX_ORDER_MS);
    for number in 1..=ENDPOINTS {
        let options = EndpointOptions::new(&format!("endpoint-{number}"))
            .slots(SLOTS)
            .service_ms(SERVICE_MS)
            .checks(checks(number));
        env.start_endpoint(options)?;
    }
    for zone in ZONES {
        env.start_entry(&entry_of(zone), zone).await?;
    }
    let config = config(&env);
    env.apply(&entry_of(ZONES[0]), &config).await?;
    env.all_healthy().await?;
    let owned = async || env.platform().all_owned(config.services.len()).await;
    wait("every shard is owned", owned).await?;
    Ok(env)
}

/// Every other endpoint checks orders.
const fn checks(number: u32) -> bool {
    number % 2 == 1
}

fn entry_of(zone: &str) -> String {
    format!("entry-{zone}")
}

fn config(env: &Env) -> Config {
    let mut config = Config::default();
    let service = Service {
        labels: labels("owner", "migrakon"),
        shards: SHARDS,
        weights: Weights::default(),
        default_class: ClassName::new(BATCH),
    };
    config.services.insert(ServiceName::new(SERVICE), service);
    let group = Group {
        service: ServiceName::new(SERVICE),
        labels: Labels::new(),
        endpoints: "role=migration".to_owned(),
        keys: None,
        callers: None,
    };
    config.groups.insert(GroupName::new("everything"), group);
    add_classes(&mut config);
    for (number, endpoint) in env.endpoints().enumerate() {
        let options = endpoint.options();
        let endpoint = Endpoint {
            address: endpoint.address(),
            zone: ZoneName::new(ZONES[number % ZONES.len()]),
            labels: labels("role", "migration"),
            slots: options.slots,
            connections: 64,
            checks_orders: options.checks,
            drain: false,
        };
        let name = EndpointName::new(&options.name);
        config.endpoints.insert(name, endpoint);
    }
    config
}

fn add_classes(config: &mut Config) {
    for (priority, name, kept_share) in [(0, INTERACTIVE, 0), (1, BATCH, 20)] {
        let class = Class {
            priority,
            kept_share,
        };
        config.classes.insert(ClassName::new(name), class);
    }
    config.rules.push(Rule {
        name: "console-first".to_owned(),
        service: ServiceName::new(SERVICE),
        callers: Some("from=console".to_owned()),
        keys: None,
        class: ClassName::new(INTERACTIVE),
    });
}

fn labels(name: &str, value: &str) -> Labels {
    Labels::from([(name.to_owned(), value.to_owned())])
}
