//! Sends the leader's orders to endpoints.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use citronway_core::gateway::leader::{Order, OrderKind, OrderResult};
use citronway_platform::orders::{self, OrderAnswer};
use http::HeaderValue;
use indexmap::IndexMap;
use tokio::sync::mpsc;

use super::Event;
use crate::clock;
use crate::gateway::http_link::{BodyBounds, CallError, ConnectMode, Dialer, Link};
use crate::gateway::wrong_answer::WrongAnswer;

/// Bounds of the bodies of answers to orders, which have none.
const ANSWER_BOUNDS: BodyBounds = BodyBounds::of_bytes(4 * 1024);

/// How an order ended.
struct Ended {
    answer: OrderAnswer,
    /// What the endpoint sent in place of an answer.
    wrong: Option<WrongAnswer>,
}

/// A connection for orders.
#[derive(Debug)]
struct OrderLink {
    http: Link,
    /// Handover proof of the last release that was answered. Each release has a proof of its own, so
    /// the same one again is a copy, also from an endpoint that echoes no ids.
    last_proof: Option<String>,
}

impl OrderLink {
    async fn open(dialer: Dialer, address: SocketAddr) -> Result<Self, CallError> {
        let http = Link::open(dialer, address, ConnectMode::ImmediateWithReset).await?;
        Ok(Self {
            http,
            last_proof: None,
        })
    }

    /// Whether an answer repeats the last handover proof.
    fn is_copy(&mut self, result: &OrderResult) -> bool {
        let OrderResult::Done {
            handover: Some(proof),
        } = result
        else {
            return false;
        };
        let is_copy = self.last_proof.as_ref() == Some(proof);
        self.last_proof = Some(proof.clone());
        is_copy
    }
}

/// Idle connections for orders, by address.
#[derive(Debug, Clone)]
pub(super) struct OrderClient {
    dialer: Dialer,
    links: Rc<RefCell<IndexMap<SocketAddr, Vec<OrderLink>>>>,
    /// Number of the last order, which is its id.
    last_number: Rc<Cell<u64>>,
}

impl OrderClient {
    /// Opens its connections with `dialer`.
    pub(super) fn new(dialer: Dialer) -> Self {
        Self {
            dialer,
            links: Rc::default(),
            last_number: Rc::default(),
        }
    }

    /// Starts an order. Its result comes as an event.
    pub(super) fn start(&self, order: Order, events: mpsc::Sender<Event>) {
        let client = self.clone();
        tokio::task::spawn_local(async move {
            let Ended { answer, wrong } = client.execute(&order).await;
            let OrderAnswer { result, leaving } = answer;
            log_result(&order, &result, wrong);
            let event = Event::OrderDone {
                order,
                result,
                leaving,
                wrong,
            };
            // The receiver is gone when the process ends.
            let _ = events.send(event).await;
        });
    }

    async fn execute(&self, order: &Order) -> Ended {
        // Failure: this thread is busy and starts the call long after it was decided. The
        // leader counts from the decision, and gives the keys to another endpoint before
        // this hold ends.
        let left_ms = order.deadline.since(clock::mono());
        if left_ms == 0 {
            return Ended {
                answer: unanswered(OrderResult::TooLate),
                wrong: None,
            };
        }
        let timeout = Duration::from_millis(left_ms);
        let called = tokio::time::timeout(timeout, self.call(order, timeout)).await;
        let wrong = match &called {
            Ok(Err(CallError::Wrong(wrong))) => Some(*wrong),
            Ok(Err(CallError::Truncated(_))) => Some(WrongAnswer::Truncated),
            Ok(Ok(_) | Err(_)) | Err(_) => None,
        };
        let answer = match called {
            Ok(Ok(answer)) => answer,
            Ok(Err(e)) if e.is_unsent() => unanswered(OrderResult::NotSent),
            Ok(Err(_)) | Err(_) => unanswered(OrderResult::Lost),
        };
        Ended { answer, wrong }
    }

    async fn call(&self, order: &Order, timeout: Duration) -> Result<OrderAnswer, CallError> {
        let id = self.next_id();
        let Ok(req) = orders::request(order, &id) else {
            return Err(CallError::NotSent);
        };
        let mut link = match self.take_link(order) {
            Some(link) => link,
            None if clock::mono() >= order.connect_by => {
                return Ok(unanswered(OrderResult::NotConnected));
            }
            None => OrderLink::open(self.dialer, order.address).await?,
        };
        if link.http.opened() >= order.connect_by {
            self.return_link(order.address, link);
            return Ok(unanswered(OrderResult::NotConnected));
        }
        let answer = link.http.call(req, timeout, ANSWER_BOUNDS).await?;
        let decoded = orders::read_answer(&order.kind, &id, answer.status, &answer.headers);
        let decoded = decoded.filter(|decoded| !link.is_copy(&decoded.result));
        let Some(decoded) = decoded else {
            // The answer to this order may still come, so the connection is not used again.
            return Err(CallError::Wrong(WrongAnswer::Foreign));
        };
        self.return_link(order.address, link);
        Ok(decoded)
    }

    /// Id of an order, which differs from those of all other orders of this process.
    fn next_id(&self) -> HeaderValue {
        self.last_number.set(self.last_number.get() + 1);
        HeaderValue::from(self.last_number.get())
    }

    fn return_link(&self, address: SocketAddr, link: OrderLink) {
        let mut links = self.links.borrow_mut();
        links.entry(address).or_default().push(link);
    }

    /// Takes an idle connection that may carry the order; `None` if there is none.
    fn take_link(&self, order: &Order) -> Option<OrderLink> {
        let mut links = self.links.borrow_mut();
        let kept = links.get_mut(&order.address)?;
        kept.retain(|kept| !kept.http.is_closed());
        // Takes the connection that was idle longest. A new connection to a full endpoint
        // waits for a slot, so existing ones must not close because they are unused.
        let may_carry =
            |kept: &OrderLink| kept.http.is_usable() && kept.http.opened() < order.connect_by;
        let first = kept.iter().position(may_carry)?;
        Some(kept.remove(first))
    }
}

/// Result of an order that got no answer, which states nothing.
const fn unanswered(result: OrderResult) -> OrderAnswer {
    OrderAnswer {
        result,
        leaving: Ok(false),
    }
}

fn log_result(order: &Order, result: &OrderResult, wrong: Option<WrongAnswer>) {
    let endpoint = &order.endpoint;
    let (first, last) = (order.span.first, order.span.last);
    let fence = order.fence;
    let what = match order.kind {
        OrderKind::Grant { .. } => "grant",
        OrderKind::Seal { .. } => "seal",
        OrderKind::Release => "release",
    };
    let renewed = matches!(result, OrderResult::Done { .. }) && what == "grant";
    // Orders that end as not connected are tried again four times a second while the store is
    // silent.
    let routine = renewed || *result == OrderResult::NotConnected;
    let level = if routine {
        log::Level::Debug
    } else {
        log::Level::Info
    };
    let result = format!("{result:?}");
    let wrong = wrong.map_or("-", WrongAnswer::as_str);
    log::log!(level, endpoint:%, first, last, fence, what, result, wrong; "order ended");
}
