//! Table service and instance list.

use citronway_core::config::Config;
use citronway_core::ids::{Session, Version};
use citronway_core::node::{Event, Ticket};
use citronway_core::placement::planner::PlannerRow;
use citronway_core::platform::{
    ConditionalPut, InstanceList, ListedInstance, ListedState, Row, RowKey, WriteOutcome,
};
use citronway_core::shard::{Assignment, DispatchRow, Ownership};
use citronway_core::time::Now;
use indexmap::IndexMap;

use super::{Due, INSTANCES, World};

/// Most that the instance list lags behind, in milliseconds.
const LAG_MS: u64 = 1_000;
/// A process gives a request to the store up after this, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 500;

/// What a process asks of the table service.
#[derive(Debug, Clone)]
pub enum StoreRequest {
    Table {
        table: String,
        asked: Now,
    },
    Row {
        ticket: Ticket,
        at: RowKey,
    },
    Write {
        ticket: Ticket,
        puts: Vec<ConditionalPut>,
        report: bool,
    },
}

/// The table service and its faults, each until a true time.
#[derive(Debug, Default)]
pub struct Store {
    rows: IndexMap<RowKey, Row>,
    history: Vec<Row>,
    last: u64,
    pub down_until: u64,
    pub slow_until: u64,
    /// Answers to writes are lost, and writes land late.
    pub lossy_until: u64,
}

impl Store {
    pub fn config(&self) -> Option<Config> {
        let row = self.rows.get(&config_at())?;
        serde_json::from_str(&row.value).ok()
    }

    pub fn config_version(&self) -> Version {
        self.rows
            .get(&config_at())
            .map_or(Version(0), |it| it.version)
    }

    pub fn put_config(&mut self, config: &Config) -> Row {
        let expected = self.config_version();
        let value = serde_json::to_string(config).expect("a writable configuration");
        let put = ConditionalPut {
            at: config_at(),
            expected,
            value,
        };
        let outcome = self.write(&[put]);
        assert!(
            matches!(outcome, WriteOutcome::Done { .. }),
            "the row was just read"
        );
        self.rows[&config_at()].clone()
    }

    pub fn write(&mut self, puts: &[ConditionalPut]) -> WriteOutcome {
        for put in puts {
            let found = self.rows.get(&put.at).map_or(Version(0), |it| it.version);
            if found != put.expected {
                let at = put.at.clone();
                return WriteOutcome::Conflict { at, found };
            }
        }
        let mut versions = Vec::new();
        for put in puts {
            self.last += 1;
            let row = Row {
                at: put.at.clone(),
                version: Version(self.last),
                value: put.value.clone(),
            };
            self.history.push(row.clone());
            self.rows.insert(put.at.clone(), row);
            versions.push(Version(self.last));
        }
        WriteOutcome::Done { versions }
    }

    /// Whether a change of the configuration made on `seen` would be taken.
    pub fn accepts_config(&self, seen: Version) -> bool {
        self.config_version() == seen
    }

    pub fn stood(&self, row: &Row) -> bool {
        self.history.contains(row)
    }

    pub fn row(&self, table: &str, key: &str) -> Option<&Row> {
        self.rows.get(&RowKey {
            table: table.to_owned(),
            key: key.to_owned(),
        })
    }

    fn table(&self, table: &str) -> Vec<Row> {
        let rows = self.rows.values().filter(|it| it.at.table == table);
        rows.cloned().collect()
    }
}

fn config_at() -> RowKey {
    RowKey {
        table: "config".to_owned(),
        key: "head".to_owned(),
    }
}

/// The platform's list: an instance is shown until a while after it has gone.
#[derive(Debug, Default)]
pub struct Instances {
    gone_at: IndexMap<usize, Option<u64>>,
}

impl Instances {
    pub fn register(&mut self, index: usize) {
        self.gone_at.insert(index, None);
    }

    pub fn deregister(&mut self, index: usize, now: u64) {
        self.gone_at.insert(index, Some(now));
    }

    fn list(&self, shown_ms: u64, now: u64) -> InstanceList {
        let mut instances = Vec::new();
        for index in 0..INSTANCES {
            let gone = self.gone_at.get(&index).copied().flatten();
            if gone.is_some_and(|at| now >= at + shown_ms) {
                continue;
            }
            instances.push(ListedInstance {
                instance: format!("i{index}").as_str().into(),
                zone: format!("z{}", index % 3).as_str().into(),
                peer_address: format!("10.0.1.{index}:70"),
                state: ListedState::Live,
            });
        }
        InstanceList {
            lag_ms: LAG_MS,
            instances,
        }
    }
}

impl World {
    pub fn read_list(&mut self) {
        for index in 0..self.processes.len() {
            let process = &self.processes[index];
            if !process.alive || process.is_paused(self.now) {
                continue;
            }
            let to = process.session.clone();
            let asked = process.clocks(self.now);
            let shown_ms = self.rng.below(LAG_MS);
            let list = self.instances.list(shown_ms, self.now);
            let event = Event::Instances { list, asked };
            let ms = self.jitter();
            self.after(ms, Due::Event { to, event });
        }
    }

    /// A request leaves a process for the store.
    pub fn ask_store(&mut self, from: &Session, request: StoreRequest) {
        let index = self.process_of(from).unwrap_or(0);
        let down = self.store.down_until > self.now || self.cuts.store(index, self.now);
        let slow = self.store.slow_until > self.now;
        let lossy = self.store.lossy_until > self.now;
        if down {
            // Refused at once, or lost on the way there.
            let ms = if self.rng.chance(50) {
                5
            } else {
                STORE_TIMEOUT_MS
            };
            self.fail(from, &request, ms);
            return;
        }
        let mut ms = self.jitter();
        if slow {
            ms += self.rng.below(2 * STORE_TIMEOUT_MS);
        }
        if lossy && let StoreRequest::Write { ticket, puts, .. } = request.clone() {
            let late = self.rng.chance(50);
            let lands_ms = if late { ms + self.rng.below(4_000) } else { ms };
            self.fail(from, &request, STORE_TIMEOUT_MS);
            let request = StoreRequest::Write {
                ticket,
                puts,
                report: false,
            };
            if self.rng.chance(80) {
                let from = from.clone();
                self.after(lands_ms, Due::Store { from, request });
            }
            return;
        }
        if ms >= STORE_TIMEOUT_MS {
            self.fail(from, &request, STORE_TIMEOUT_MS);
        }
        let from = from.clone();
        let report = ms < STORE_TIMEOUT_MS;
        let request = match request {
            StoreRequest::Write { ticket, puts, .. } => StoreRequest::Write {
                ticket,
                puts,
                report,
            },
            other if !report => return drop(other),
            other => other,
        };
        self.after(ms, Due::Store { from, request });
    }

    fn fail(&mut self, from: &Session, request: &StoreRequest, ms: u64) {
        let event = match request {
            StoreRequest::Table { .. } => Event::ReadFailed { ticket: 0 },
            StoreRequest::Row { ticket, .. } => Event::ReadFailed { ticket: *ticket },
            StoreRequest::Write { ticket, .. } => Event::WriteDone {
                ticket: *ticket,
                outcome: if ms < STORE_TIMEOUT_MS {
                    WriteOutcome::Refused
                } else {
                    WriteOutcome::Unknown
                },
            },
        };
        self.after(
            ms,
            Due::Event {
                to: from.clone(),
                event,
            },
        );
    }

    pub fn store_arrival(&mut self, from: &Session, request: StoreRequest) {
        let event = match request {
            StoreRequest::Table { table, asked } => Event::RowsRead {
                asked,
                rows: self.store.table(&table),
                table,
            },
            StoreRequest::Row { ticket, at } => Event::RowRead {
                ticket,
                row: self.store.rows.get(&at).cloned(),
            },
            StoreRequest::Write {
                ticket,
                puts,
                report,
            } => {
                let outcome = self.store.write(&puts);
                if !report {
                    return;
                }
                Event::WriteDone { ticket, outcome }
            }
        };
        let ms = self.jitter();
        self.after(
            ms,
            Due::Event {
                to: from.clone(),
                event,
            },
        );
    }
}

impl World {
    /// The instance that the endpoint's row names as dispatcher.
    pub fn dispatcher_of(&self, endpoint: usize) -> usize {
        let name = super::endpoint::name(endpoint);
        let row = self
            .store
            .row("dispatch", name.as_str())
            .expect("a dispatch row");
        let row: DispatchRow = serde_json::from_str(&row.value).expect("a readable row");
        self.index_of(&row.dispatcher.instance)
    }

    /// The instance that plans.
    pub fn planner(&self) -> usize {
        let row = self.store.row("planner", "intake").expect("a planner row");
        let row: PlannerRow = serde_json::from_str(&row.value).expect("a readable row");
        self.index_of(&row.session.instance)
    }

    /// Whether shards are on their way from an endpoint.
    pub fn is_leaving(&self, endpoint: usize) -> bool {
        let owner = super::endpoint::name(endpoint);
        let assignment = self.assignment();
        let mut all = assignment.shards.values();
        all.any(|it| matches!(&it.ownership, Ownership::Moving { from, .. } if *from == owner))
    }

    fn assignment(&self) -> Assignment {
        let row = self
            .store
            .row("assignment", "intake")
            .expect("an assignment");
        serde_json::from_str(&row.value).expect("a readable row")
    }

    /// Shards that the stored assignment gives to an endpoint.
    pub fn shards_of(&self, endpoint: usize) -> usize {
        let owner = super::endpoint::name(endpoint);
        let owned = Ownership::Owned { owner };
        let assignment = self.assignment();
        let all = assignment.shards.values();
        all.filter(|it| it.ownership == owned).count()
    }
}
