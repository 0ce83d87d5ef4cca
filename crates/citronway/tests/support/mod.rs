//! An administration API on loopback over a store in memory, for tests.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod client;
pub mod store;

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use citronway::metrics::Metrics;
use citronway::operators::snapshot::{InstanceState, Versioned, channel};
use citronway::operators::{self, Patience, Publisher, Setup, Snapshot, Token};
use citronway::settings::Secret;
use citronway_core::config::Config;
use citronway_core::ids::{
    EndpointName, Epoch, GroupName, ServiceName, Session, ShardId, Version, ZoneName,
};
use citronway_core::shard::{Assignment, HashRange, KeyHash, Ownership, Shard};
use citronway_core::time::Wall;
use tokio::sync::mpsc;
use tokio_util::sync::{CancellationToken, DropGuard};

use store::MemoryStore;

pub const TOKEN: &str = "a-token-for-the-tests";

/// Version at which the store begins.
pub const FIRST: Version = Version(7);

/// An administration API that runs until it is dropped.
#[derive(Debug)]
pub struct Admin {
    pub address: SocketAddr,
    pub store: MemoryStore,
    pub metrics: Arc<Metrics>,
    pub publisher: Arc<Publisher>,
    _stop: DropGuard,
}

impl Admin {
    /// Serves `config`, which stands in the store and is in force at [`FIRST`].
    pub fn start(config: &Config) -> Self {
        Self::start_at(config, FIRST)
    }

    /// Serves an instance of a platform that holds no configuration yet.
    pub fn start_empty() -> Self {
        Self::start_at(&Config::default(), Version(0))
    }

    fn start_at(config: &Config, version: Version) -> Self {
        let (publisher, published) = channel(snapshot(config, version));
        let publisher = Arc::new(publisher);
        let store = MemoryStore::new(config, version, Arc::clone(&publisher));
        let (tx, rx) = mpsc::channel(4);
        let serving = store.clone();
        thread::spawn(move || serving.run(rx));
        let metrics = Arc::new(Metrics::new());
        let token = Token::new(Secret::new(TOKEN.to_owned()));
        let patience = Patience {
            reads: 3,
            pause: Duration::ZERO,
        };
        let setup = Setup::new(token, published, tx, Arc::clone(&metrics)).patience(patience);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let stop = CancellationToken::new();
        operators::spawn(listener, setup, stop.clone()).unwrap();
        Self {
            address,
            store,
            metrics,
            publisher,
            _stop: stop.drop_guard(),
        }
    }
}

/// State of an instance that has `config` in force.
pub fn snapshot(config: &Config, version: Version) -> Snapshot {
    let session = Session::new("entry-1", 1);
    let zone = ZoneName::new("north");
    let mut snapshot = Snapshot::starting(session.clone(), zone.clone());
    snapshot.serving = true;
    snapshot.config_version = version;
    snapshot.config = Arc::new(config.clone());
    snapshot.instances.push(InstanceState {
        session,
        zone,
        config_version: Some(version),
        heard_ms: Some(0),
        listed: None,
        leaving: false,
    });
    snapshot
}

/// An assignment of one shard.
pub fn owned_by(owner: &str) -> Versioned<Arc<Assignment>> {
    let group = GroupName::new("console");
    let shard = Shard {
        id: ShardId(1),
        group,
        range: HashRange {
            first: KeyHash(0),
            last: KeyHash(u64::MAX),
        },
        epoch: Epoch(1),
        ownership: Ownership::Owned {
            owner: EndpointName::new(owner),
        },
        floor: Wall(0),
    };
    let assignment = Assignment {
        service: ServiceName::new("console"),
        planner_epoch: Epoch(1),
        next_shard: ShardId(2),
        partition: Vec::new(),
        shards: [(shard.id, shard)].into_iter().collect(),
        hot: Vec::new(),
    };
    Versioned {
        version: Version(4),
        row: Arc::new(assignment),
    }
}

/// Two services, three endpoints.
pub fn sample() -> Config {
    serde_json::from_str(include_str!("sample.json")).unwrap()
}
