//! The platform protocol over HTTP.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use citronway_core::ids::InstanceName;
use citronway_core::platform::{InstanceList, ListedInstance, RowKey};
use http::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;

use super::faults::PlatformFaults;
use super::instances::Instances;
use super::messages::{NotWritten, Registration, Rows, Stats, Transaction, Written};
use super::tables::Tables;
use crate::http::{Handler, Reply, Server, json, percent, status};
use crate::process;

/// A running platform stand-in; it ends when dropped.
#[derive(Debug)]
pub struct Platform {
    server: Server,
}

impl Platform {
    /// Listens on `listen` with an instance list that lags `lag_ms` behind.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on.
    pub fn start(listen: SocketAddr, lag_ms: u64) -> io::Result<Self> {
        let service = Arc::new(Service {
            lag_ms,
            state: Mutex::default(),
        });
        let server = Server::start(listen, service)?;
        Ok(Self { server })
    }

    /// The address it listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }
}

#[derive(Debug)]
struct Service {
    lag_ms: u64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    tables: Tables,
    objects: IndexMap<String, Bytes>,
    instances: Instances,
    faults: PlatformFaults,
    stats: Stats,
}

impl Handler for Service {
    async fn handle(self: Arc<Self>, req: Request<Bytes>) -> Reply {
        let path = req.uri().path().to_owned();
        let segments = decoded(&path);
        let segments = segments.iter().map(String::as_str).collect::<Vec<_>>();
        match (req.method(), segments.as_slice()) {
            (&Method::POST, ["fault"]) => return Reply::Whole(self.set_faults(req.body())),
            (&Method::GET, ["fault"]) => {
                return Reply::Whole(json(StatusCode::OK, &self.lock().faults));
            }
            (&Method::GET, ["stats"]) => {
                return Reply::Whole(json(StatusCode::OK, &self.lock().stats));
            }
            _ => {}
        }
        self.lock().stats.arrived += 1;
        let faults = self.lock().faults.clone();
        if faults.down {
            return Reply::Dropped;
        }
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        let reply = self.route(req.method(), &segments, req.body());
        self.count_bytes(req.body(), &reply);
        reply
    }
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, body: &Bytes) -> Response<Bytes> {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.lock().faults = faults;
                status(StatusCode::NO_CONTENT)
            }
            Err(error) => json(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    fn route(&self, method: &Method, segments: &[&str], body: &Bytes) -> Reply {
        let rsp = match (method, segments) {
            (&Method::GET, ["tables", table]) => self.read_table(table),
            (&Method::GET, ["tables", table, key]) => self.read_row(table, key),
            (&Method::DELETE, ["tables", table, key]) => self.remove_row(table, key),
            (&Method::POST, ["transactions"]) => return self.transaction(body),
            (&Method::GET, ["instances"]) => self.instances(),
            (&Method::PUT, ["instances", name]) => self.register(name, body),
            (&Method::DELETE, ["instances", name]) => self.deregister(name),
            (&Method::GET, ["objects", name]) => self.read_object(name),
            (&Method::PUT, ["objects", name]) => self.write_object(name, body),
            _ => status(StatusCode::NOT_FOUND),
        };
        Reply::Whole(rsp)
    }

    fn count_bytes(&self, sent: &Bytes, reply: &Reply) {
        let received = match reply {
            Reply::Whole(rsp) | Reply::Half(rsp) => rsp.body().len(),
            Reply::Dropped => 0,
        };
        let bytes = u64::try_from(sent.len() + received).unwrap_or(u64::MAX);
        self.lock().stats.bytes += bytes;
    }

    fn read_table(&self, table: &str) -> Response<Bytes> {
        let mut state = self.lock();
        state.stats.reads += 1;
        let rows = state.tables.read_table(table);
        json(StatusCode::OK, &Rows { rows })
    }

    fn read_row(&self, table: &str, key: &str) -> Response<Bytes> {
        let mut state = self.lock();
        state.stats.reads += 1;
        match state.tables.read_row(&row_key(table, key)) {
            Some(row) => json(StatusCode::OK, &row),
            None => status(StatusCode::NOT_FOUND),
        }
    }

    fn remove_row(&self, table: &str, key: &str) -> Response<Bytes> {
        if self.lock().tables.remove(&row_key(table, key)) {
            return status(StatusCode::NO_CONTENT);
        }
        status(StatusCode::NOT_FOUND)
    }

    fn transaction(&self, body: &Bytes) -> Reply {
        let transaction: Transaction = match serde_json::from_slice(body) {
            Ok(transaction) => transaction,
            Err(error) => {
                return Reply::Whole(json(StatusCode::BAD_REQUEST, &error.to_string()));
            }
        };
        let mut state = self.lock();
        if state.faults.refuse_writes {
            return Reply::Whole(status(StatusCode::SERVICE_UNAVAILABLE));
        }
        state.stats.writes += 1;
        let written = state.tables.write(transaction.puts);
        let rsp = match written {
            Ok(versions) => json(StatusCode::OK, &Written { versions }),
            Err(conflict) => {
                state.stats.conflicts += 1;
                let (at, found) = (conflict.at, conflict.found);
                json(StatusCode::CONFLICT, &NotWritten { at, found })
            }
        };
        if state.faults.lose_answers > 0 {
            state.faults.lose_answers -= 1;
            return Reply::Dropped;
        }
        Reply::Whole(rsp)
    }

    fn instances(&self) -> Response<Bytes> {
        let mut state = self.lock();
        state.stats.reads += 1;
        let lag_ms = state.faults.list_lag_ms.unwrap_or(self.lag_ms);
        let instances = state.instances.seen_at(process::wall().minus(lag_ms));
        json(StatusCode::OK, &InstanceList { lag_ms, instances })
    }

    fn register(&self, name: &str, body: &Bytes) -> Response<Bytes> {
        let registration: Registration = match serde_json::from_slice(body) {
            Ok(registration) => registration,
            Err(error) => return json(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let listed = ListedInstance {
            instance: InstanceName::new(name),
            zone: registration.zone,
            peer_address: registration.peer_address,
            state: registration.state,
        };
        self.lock().instances.register(listed, process::wall());
        status(StatusCode::NO_CONTENT)
    }

    fn deregister(&self, name: &str) -> Response<Bytes> {
        let name = InstanceName::new(name);
        self.lock().instances.remove(name, process::wall());
        status(StatusCode::NO_CONTENT)
    }

    fn read_object(&self, name: &str) -> Response<Bytes> {
        match self.lock().objects.get(name) {
            Some(object) => Response::new(object.clone()),
            None => status(StatusCode::NOT_FOUND),
        }
    }

    fn write_object(&self, name: &str, body: &Bytes) -> Response<Bytes> {
        let mut state = self.lock();
        if state.faults.refuse_writes {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        state.objects.insert(name.to_owned(), body.clone());
        status(StatusCode::NO_CONTENT)
    }
}

fn decoded(path: &str) -> Vec<String> {
    let mut segments = Vec::new();
    for segment in path.trim_matches('/').split('/') {
        segments.push(percent::decode(segment).unwrap_or_default());
    }
    segments
}

fn row_key(table: &str, key: &str) -> RowKey {
    RowKey {
        table: table.to_owned(),
        key: key.to_owned(),
    }
}
