//! Stored rows of a scene.

use std::net::{Ipv4Addr, SocketAddr};

use citronway_core::config::{Class, Config, Endpoint, Group, Service, Weights};
use citronway_core::ids::{ClassName, Epoch, GroupName, ShardId, Version};
use citronway_core::node::Event;
use citronway_core::peer::{HoldMessage, PeerMessage};
use citronway_core::placement::planner::PlannerRow;
use citronway_core::platform::{Row, RowKey};
use citronway_core::request::Labels;
use citronway_core::shard::{Assignment, DispatchRow, HashRange, KeyHash, Ownership, Part, Shard};
use citronway_core::time::Wall;
use indexmap::IndexMap;
use serde::Serialize;

use super::shape::{Shape, endpoint, me, service, zone};

/// Epoch of every dispatcher and planner.
pub const EPOCH: Epoch = Epoch(1);
/// Most shards of a group that a configuration may ask for; an assignment may
/// hold more, with more groups.
const MAX_SHARDS: u32 = 4_096;
/// How long a promise lasts, in milliseconds.
const PROMISE_MS: u64 = 800;
/// Port of every endpoint.
const PORT: u16 = 8_000;

impl Shape {
    /// All rows of a table, as a first read shows them.
    pub fn table(&self, table: &str) -> Vec<Row> {
        match table {
            "config" => vec![row(table, "head", Version(1), &self.config())],
            "planner" => vec![row(table, "intake", Version(1), &self.planner())],
            "assignment" => vec![self.assignment_row(Version(1))],
            _ => (0..self.endpoints)
                .map(|index| self.dispatch_row(index, Version(1)))
                .collect(),
        }
    }

    /// One row as a first read shows it.
    pub fn row(&self, at: &RowKey) -> Option<Row> {
        let mut rows = self.table(&at.table).into_iter();
        rows.find(|row| row.at == *at)
    }

    /// The assignment: owners take turns, and move on with each version.
    pub fn assignment_row(&self, version: Version) -> Row {
        row("assignment", "intake", version, &self.assignment(version))
    }

    /// Dispatch row of an endpoint.
    pub fn dispatch_row(&self, index: u32, version: Version) -> Row {
        let name = endpoint(index);
        let mine = index < self.mine;
        let succeeds = !mine && index < self.mine + self.succeeds;
        let dispatcher = if mine { me() } else { self.other(index) };
        let second = if succeeds {
            me()
        } else {
            self.other(index + 2)
        };
        let value = DispatchRow {
            endpoint: name.clone(),
            dispatcher,
            epoch: EPOCH,
            successors: vec![self.other(index + 1), second],
            former: Vec::new(),
            floor: Wall(0),
        };
        row("dispatch", name.as_str(), version, &value)
    }

    /// What dispatchers ask the measured instance as their successor.
    pub fn questions(&self, round: u64) -> Vec<Event> {
        let mut events = Vec::new();
        for index in self.mine..self.mine + self.succeeds {
            let message = HoldMessage::Ask {
                epoch: EPOCH,
                row_version: Version(1),
                round,
                duration_ms: PROMISE_MS,
            };
            events.push(Event::Peer {
                from: self.other(index),
                message: PeerMessage::Hold {
                    endpoint: endpoint(index),
                    message,
                },
            });
        }
        events
    }

    fn planner(&self) -> PlannerRow {
        PlannerRow {
            session: if self.plans { me() } else { self.other(0) },
            epoch: EPOCH,
            config: Version(1),
        }
    }

    fn config(&self) -> Config {
        let interactive = ClassName::new("interactive");
        let class = Class {
            priority: 1,
            kept_share: 0,
        };
        let configured = Service {
            labels: Labels::new(),
            shards: self.shards.min(MAX_SHARDS),
            weights: Weights::default(),
            default_class: interactive.clone(),
        };
        let group = Group {
            service: service(),
            labels: Labels::new(),
            endpoints: "role = intake".to_owned(),
            keys: None,
            callers: None,
        };
        let mut endpoints = IndexMap::new();
        for index in 0..self.endpoints {
            endpoints.insert(endpoint(index), Self::configured(index));
        }
        Config {
            services: IndexMap::from([(service(), configured)]),
            groups: IndexMap::from([(GroupName::new("all"), group)]),
            classes: IndexMap::from([(interactive, class)]),
            endpoints,
            rules: Vec::new(),
        }
    }

    fn configured(index: u32) -> Endpoint {
        let [_, _, high, low] = index.to_be_bytes();
        let address = SocketAddr::from((Ipv4Addr::new(127, 1, high, low), PORT));
        Endpoint {
            address,
            zone: zone(index),
            labels: Labels::from_iter([("role".to_owned(), "intake".to_owned())]),
            slots: 6,
            connections: 128,
            checks_orders: true,
            drain: false,
        }
    }

    fn assignment(&self, version: Version) -> Assignment {
        let group = GroupName::new("all");
        let width = u64::MAX / u64::from(self.shards);
        let mut shards = IndexMap::new();
        for number in 0..self.shards {
            let id = ShardId(u64::from(number));
            let last_one = number + 1 == self.shards;
            let first = u64::from(number) * width;
            let last = if last_one {
                u64::MAX
            } else {
                first + width - 1
            };
            let shifted = number == 0 && version > Version(1);
            let owner = if shifted {
                version.0
            } else {
                u64::from(number)
            };
            let owner = u32::try_from(owner % u64::from(self.endpoints)).unwrap_or(0);
            let shard = Shard {
                id,
                group: group.clone(),
                range: HashRange {
                    first: KeyHash(first),
                    last: KeyHash(last),
                },
                epoch: if shifted { Epoch(version.0) } else { EPOCH },
                ownership: Ownership::Owned {
                    owner: endpoint(owner),
                },
                floor: Wall(0),
            };
            shards.insert(id, shard);
        }
        Assignment {
            service: service(),
            planner_epoch: EPOCH,
            next_shard: ShardId(u64::from(self.shards)),
            partition: vec![Part { group, keys: None }],
            shards,
            hot: Vec::new(),
        }
    }
}

fn row<T: Serialize>(table: &str, key: &str, version: Version, value: &T) -> Row {
    Row {
        at: RowKey {
            table: table.to_owned(),
            key: key.to_owned(),
        },
        version,
        value: serde_json::to_string(value).expect("rows can be written as JSON"),
    }
}
