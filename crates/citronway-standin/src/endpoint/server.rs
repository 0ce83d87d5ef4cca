//! The endpoint protocol over HTTP.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use citronway_core::ids::RequestId;
use citronway_core::node::events::{Grant, RefusedReason};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use tokio::sync::watch;
use uuid::Uuid;

use super::control::{self, Cancel, Cancelled, Report};
use super::faults::EndpointFaults;
use super::options::EndpointOptions;
use super::order::{AnswerBody, Order, REFUSED, REQUEST_ID};
use super::state::{Commit, State};
use crate::http::{Handler, Reply, Server, json, status};
use crate::process;

/// A running endpoint stand-in; it ends when dropped.
#[derive(Debug)]
pub struct Endpoint {
    server: Server,
}

impl Endpoint {
    /// Starts with the given settings.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on or the journal cannot be opened.
    pub fn start(options: &EndpointOptions) -> io::Result<Self> {
        let file = match &options.journal {
            Some(path) => Some(File::options().create(true).append(true).open(path)?),
            None => None,
        };
        let service = Arc::new(Service {
            mean: Duration::from_millis(options.service_ms),
            state: Mutex::new(State::new(options, file, process::wall())),
            frozen: watch::Sender::new(false),
        });
        let server = Server::start(options.listen, service)?;
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
    mean: Duration,
    state: Mutex<State>,
    frozen: watch::Sender<bool>,
}

impl Handler for Service {
    async fn handle(self: Arc<Self>, req: Request<Bytes>) -> Reply {
        match (req.method(), req.uri().path()) {
            (&Method::POST, "/fault") => Reply::Whole(self.set_faults(req.body())),
            (&Method::GET, "/fault") => Reply::Whole(json(StatusCode::OK, &self.lock().faults)),
            (&Method::GET, "/journal") => Reply::Whole(json(StatusCode::OK, self.lock().journal())),
            (&Method::POST, control::GRANT) => self.probe(req.body(), State::grant).await,
            (&Method::POST, control::REVOKE) => self.probe(req.body(), State::revoke).await,
            (&Method::POST, control::CANCEL) => self.cancel(req.body()).await,
            _ => self.order(&req).await,
        }
    }
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, body: &Bytes) -> Response<Bytes> {
        let faults: EndpointFaults = match serde_json::from_slice(body) {
            Ok(faults) => faults,
            Err(error) => return json(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let frozen = faults.frozen;
        self.lock().set_faults(faults, process::wall());
        self.frozen.send_replace(frozen);
        status(StatusCode::NO_CONTENT)
    }

    async fn thawed(&self) {
        let mut frozen = self.frozen.subscribe();
        drop(frozen.wait_for(|frozen| !frozen).await);
    }

    async fn probe(
        &self,
        body: &Bytes,
        take: impl FnOnce(&mut State, &Grant, citronway_core::time::Wall) -> Report + Send,
    ) -> Reply {
        self.thawed().await;
        let grant: Grant = match serde_json::from_slice(body) {
            Ok(grant) => grant,
            Err(error) => return malformed(&error),
        };
        let now = process::wall();
        let (report, strain, lies) = {
            let mut state = self.lock();
            let report = take(&mut state, &grant, now);
            (report, state.strain(now), state.faults.claims_healthy)
        };
        if !lies {
            tokio::time::sleep(strain.probe_time()).await;
        }
        Reply::Whole(json(StatusCode::OK, &report))
    }

    async fn cancel(&self, body: &Bytes) -> Reply {
        self.thawed().await;
        let cancel: Cancel = match serde_json::from_slice(body) {
            Ok(cancel) => cancel,
            Err(error) => return malformed(&error),
        };
        let confirmed = self.lock().cancel(cancel.id);
        Reply::Whole(json(StatusCode::OK, &Cancelled { confirmed }))
    }

    async fn order(&self, req: &Request<Bytes>) -> Reply {
        self.lock().arrived();
        self.thawed().await;
        let order = match Order::read(req) {
            Ok(order) => order,
            Err(error) => {
                self.lock().malformed();
                return Reply::Whole(json(StatusCode::BAD_REQUEST, &error.to_string()));
            }
        };
        let begun = self.lock().begin(order.clone(), process::wall());
        let work = match begun {
            Ok(work) => work,
            Err(reason) => return refused(order.id, reason),
        };
        let strain = self.lock().strain(process::wall());
        tokio::time::sleep(strain.service_time(self.mean)).await;
        self.thawed().await;
        let committed = self.lock().commit(work, process::wall());
        match committed {
            Commit::Ran => self.answer(&order, req),
            Commit::Refused(reason) => refused(order.id, reason),
            Commit::Forgotten => Reply::Dropped,
        }
    }

    fn answer(&self, order: &Order, req: &Request<Bytes>) -> Reply {
        let state = self.lock();
        let faults = &state.faults;
        if faults.loses_answers {
            return Reply::Dropped;
        }
        let request_id = if faults.foreign_answers {
            RequestId(Uuid::now_v7())
        } else {
            order.id
        };
        let body = AnswerBody {
            request_id,
            service: order.service.clone(),
            key: order.key.clone(),
            endpoint: state.name().clone(),
            path: path_and_query(req).to_owned(),
            body_bytes: req.body().len(),
        };
        let rsp = named(json(StatusCode::OK, &body), request_id);
        if faults.half_answers {
            return Reply::Half(rsp);
        }
        Reply::Whole(rsp)
    }
}

fn refused(id: RequestId, reason: RefusedReason) -> Reply {
    let mut rsp = named(json(StatusCode::SERVICE_UNAVAILABLE, &reason), id);
    let reason = HeaderValue::from_static(reason_name(reason));
    rsp.headers_mut().insert(REFUSED, reason);
    Reply::Whole(rsp)
}

const fn reason_name(reason: RefusedReason) -> &'static str {
    match reason {
        RefusedReason::StaleEpoch => "stale_epoch",
        RefusedReason::NoGrant => "no_grant",
        RefusedReason::Expired => "expired",
        RefusedReason::Draining => "draining",
        RefusedReason::Shed => "shed",
    }
}

fn named(mut rsp: Response<Bytes>, id: RequestId) -> Response<Bytes> {
    let value = HeaderValue::from_str(&id.to_string()).expect("a UUID is a header value");
    rsp.headers_mut().insert(REQUEST_ID, value);
    rsp
}

fn path_and_query(req: &Request<Bytes>) -> &str {
    let uri = req.uri();
    uri.path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str)
}

fn malformed(error: &serde_json::Error) -> Reply {
    Reply::Whole(json(StatusCode::BAD_REQUEST, &error.to_string()))
}
