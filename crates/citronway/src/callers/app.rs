//! Routes of the callers' interface.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use citronway_core::ids::RequestId;
use citronway_core::node::{CallerRequest, Event};
use citronway_core::outcome::{MayHaveRun, MayHaveRunReason, NotRun, NotRunReason, Outcome};
use citronway_core::time::Wall;
use http::header::EXPECT;
use tokio::sync::mpsc::Sender;
use tokio::time::timeout;
use viz::{Body, Request, Response, Router};

use super::body::{self, BodyError, Held, Memory};
use super::config::CallersConfig;
use super::finding::Finding;
use super::waiting::{Waiter, Waiting};
use super::{head, reply};
use crate::endpoints::clock::{time_until, wall_now};

/// When a caller may come back after a limit of this instance was reached.
const OVERLOAD_RETRY_MS: u64 = 1_000;
/// When a caller may ask about a request whose outcome got lost here.
const LOST_RETRY_MS: u64 = 1_000;

/// What all requests share.
#[derive(Debug)]
pub(super) struct App {
    pub(super) cfg: CallersConfig,
    pub(super) memory: Memory,
    pub(super) waiting: Arc<Waiting>,
    pub(super) events: Sender<Event>,
    pub(super) ready: Arc<AtomicBool>,
    /// Malformed requests so far.
    pub(super) malformed: Arc<AtomicU64>,
}

/// Routes to the handlers of `app`.
pub(super) fn router(app: &Arc<App>) -> Router {
    let health = Arc::clone(app);
    let work = Arc::clone(app);
    Router::new()
        .get("/healthz", move |_: Request| {
            let ready = health.ready.load(Ordering::Relaxed);
            async move { Ok(reply::health(ready)) }
        })
        .any("/*", move |req: Request| {
            let app = Arc::clone(&work);
            async move { Ok(app.handle(req).await) }
        })
}

impl App {
    async fn handle(&self, req: Request) -> Response {
        let (parts, mut body) = req.into_parts();
        let mut work = match head::read(&self.cfg, &parts, wall_now()) {
            Ok(work) => work,
            Err(findings) => {
                // A caller that asks before it sends has sent nothing yet.
                if !parts.headers.contains_key(EXPECT) {
                    body::discard(&mut body).await;
                }
                return self.malformed(&findings);
            }
        };
        let id = work.id;
        let held = match self.read_body(&mut body, work.deadline).await {
            Ok(held) => held,
            Err(err) => {
                if !err.is_over() {
                    body::discard(&mut body).await;
                }
                return self.refusal(id, err);
            }
        };
        work.body = held.body.clone();
        let outcome = self.outcome(work).await;
        drop(held);
        reply::outcome(id, outcome)
    }

    // Failure guarded against: a caller sends its body slowly and holds a place
    // that others need. It shows as refusals on an idle instance. The guard
    // holds because a body takes no place among the waiting requests before it
    // is whole, and has to be whole in time.
    async fn read_body(&self, body: &mut Body, deadline: Wall) -> Result<Held, BodyError> {
        let wait = self.body_timeout().min(time_until(deadline));
        self.memory.read(body, self.cfg.max_body_bytes, wait).await
    }

    const fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.cfg.body_timeout_ms)
    }

    fn refusal(&self, id: RequestId, err: BodyError) -> Response {
        match err {
            BodyError::Bad(problem) => self.malformed(&[Finding::body(problem)]),
            BodyError::NoMemory => reply::outcome(id, overloaded()),
        }
    }

    fn malformed(&self, findings: &[Finding]) -> Response {
        self.malformed.fetch_add(1, Ordering::Relaxed);
        reply::malformed(findings)
    }

    async fn outcome(&self, work: CallerRequest) -> Outcome {
        let (id, deadline) = (work.id, work.deadline);
        let Some(waiter) = self.waiting.admit() else {
            return overloaded();
        };
        let event = Event::Caller {
            ticket: waiter.ticket(),
            request: work,
        };
        if self.events.try_send(event).is_err() {
            waiter.withdraw();
            return overloaded();
        }
        self.wait(waiter, id, deadline).await
    }

    // The grace only covers a decision that never comes; a request that is out
    // of time is answered by the decision itself.
    async fn wait(&self, mut waiter: Waiter, id: RequestId, deadline: Wall) -> Outcome {
        let end = deadline.plus(self.cfg.reply_grace_ms);
        match timeout(time_until(end), waiter.outcome()).await {
            Ok(Some(outcome)) => outcome,
            Ok(None) => lost(MayHaveRunReason::DispatcherLost),
            Err(_) => {
                log::error!(id:% = id; "no decision on a request in time");
                lost(MayHaveRunReason::Timeout)
            }
        }
    }
}

fn overloaded() -> Outcome {
    Outcome::NotRun(NotRun::new(NotRunReason::Overloaded, OVERLOAD_RETRY_MS))
}

fn lost(reason: MayHaveRunReason) -> Outcome {
    Outcome::MayHaveRun(MayHaveRun {
        reason,
        retry_after_ms: LOST_RETRY_MS,
    })
}
