//! Carries the leader's orders out.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use citronway_core::gateway::leader::{Order, OrderKind, OrderResult};
use citronway_platform::orders;
use indexmap::IndexMap;
use tokio::sync::mpsc;

use super::Event;
use crate::clock;
use crate::gateway::http_link::{CallError, Link, Settled};

/// Idle connections for orders, by address.
#[derive(Debug, Clone, Default)]
pub(super) struct OrderClient {
    links: Rc<RefCell<IndexMap<SocketAddr, Vec<Link>>>>,
}

impl OrderClient {
    /// Starts an order; its result comes as an event.
    pub(super) fn start(&self, order: Order, events: mpsc::Sender<Event>) {
        let admission = self.clone();
        tokio::task::spawn_local(async move {
            let result = admission.carry_out(&order).await;
            log_result(&order, &result);
            // Nobody is left to be told when the process ends.
            let _ = events.send(Event::Ordered { order, result }).await;
        });
    }

    async fn carry_out(&self, order: &Order) -> OrderResult {
        // Failure: this thread is busy and starts the call long after it was decided. Its
        // leader counts from the decision, and gives the keys on before the hold ends.
        let left_ms = order.until.since(clock::mono());
        if left_ms == 0 {
            return OrderResult::TooLate;
        }
        let limit = Duration::from_millis(left_ms);
        match tokio::time::timeout(limit, self.call(order, limit)).await {
            Ok(Ok(result)) => result,
            Ok(Err(e)) if e.nothing_sent() => OrderResult::NotSent,
            Ok(Err(_)) | Err(_) => OrderResult::Lost,
        }
    }

    async fn call(&self, order: &Order, limit: Duration) -> Result<OrderResult, CallError> {
        let Ok(req) = orders::request(order) else {
            return Err(CallError::NotSent);
        };
        let kept = self.take(order.address);
        let mut link = match kept {
            Some(link) => link,
            None => Link::open(order.address, Settled::AtOnceOrReset).await?,
        };
        let answer = link.call(req, limit).await?;
        self.links
            .borrow_mut()
            .entry(order.address)
            .or_default()
            .push(link);
        Ok(orders::result(answer.status, &answer.headers))
    }

    fn take(&self, address: SocketAddr) -> Option<Link> {
        let mut links = self.links.borrow_mut();
        let kept = links.get_mut(&address)?;
        // The one that was idle longest: a new connection to a full endpoint waits for a
        // slot, so those that there are must not lapse for want of use.
        while !kept.is_empty() {
            let link = kept.remove(0);
            if link.is_usable() {
                return Some(link);
            }
        }
        None
    }
}

fn log_result(order: &Order, result: &OrderResult) {
    let endpoint = &order.endpoint;
    let (first, last) = (order.span.first, order.span.last);
    let fence = order.fence;
    let what = match order.kind {
        OrderKind::Grant { .. } => "grant",
        OrderKind::Seal { .. } => "seal",
        OrderKind::Release => "release",
    };
    let routine = matches!(result, OrderResult::Done { .. }) && what == "grant";
    let level = if routine {
        log::Level::Debug
    } else {
        log::Level::Info
    };
    let result = format!("{result:?}");
    log::log!(level, endpoint:%, first, last, fence, what, result; "order answered");
}
