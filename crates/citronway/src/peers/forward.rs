//! Handing a request to the dispatcher of an endpoint.

use std::rc::Rc;
use std::time::Duration;

use citronway_core::ids::{EndpointName, Epoch, Session};
use citronway_core::node::Event;
use citronway_core::node::events::Ticket;
use citronway_core::outcome::{MayHaveRun, MayHaveRunReason, NotRun, NotRunReason, Outcome};
use citronway_core::request::Request;
use citronway_core::time::Wall;
use citronway_wire::convert::{read_outcome, write_request};
use citronway_wire::peer_capnp::link;
use citronway_wire::size;

use super::context::{Context, wall_now};
use super::link::{Link, Permit};

/// When to come back after an outcome that the transport itself made, in milliseconds.
pub(super) const RETRY_AFTER_MS: u64 = 250;

/// How long after its deadline an outcome is still waited for, in milliseconds.
///
/// The dispatcher answers at the deadline at the latest. That answer knows more
/// than the timeout, which can only say `may have run`, and needs a moment to
/// arrive.
const DEADLINE_GRACE_MS: u64 = 50;

/// A request to be handed on.
#[derive(Debug)]
pub(super) struct Forward {
    pub(super) ticket: Ticket,
    pub(super) to: Session,
    pub(super) endpoint: EndpointName,
    pub(super) dispatch_epoch: Epoch,
    pub(super) request: Request,
}

/// Hands the request on, or reports at once that it was not.
pub(super) fn forward(cx: &Rc<Context>, forward: Forward) {
    let now = wall_now();
    match admit(cx, &forward, now) {
        Ok((link, permit)) => {
            let task = carry(Rc::clone(cx), link, permit, forward, now);
            tokio::task::spawn_local(task);
        }
        Err(reason) => {
            cx.counters.forwards_not_sent.add(1);
            let outcome = Outcome::NotRun(NotRun::new(reason, RETRY_AFTER_MS));
            done(cx, forward.ticket, outcome);
        }
    }
}

/// Checks all that can be checked before anything is sent.
///
/// Failure guarded against: an instance has started again under its old address
/// and name. The new process holds nothing of the old one, so a request meant
/// for the old session must not reach it. Links are bound to the session that
/// was greeted, and the session is compared here.
fn admit(cx: &Context, forward: &Forward, now: Wall) -> Result<(Rc<Link>, Permit), NotRunReason> {
    let remote = cx.remote(&forward.to.instance);
    let Some(link) = remote.and_then(|remote| remote.link()) else {
        return Err(NotRunReason::DispatcherUnreachable);
    };
    if link.closed.is_cancelled() {
        return Err(NotRunReason::DispatcherUnreachable);
    }
    if link.session != forward.to {
        return Err(NotRunReason::NotDispatcher);
    }
    if forward.request.deadline <= now {
        return Err(NotRunReason::Expired);
    }
    let bytes = size::of_request(&forward.request);
    if bytes > cx.cfg.max_message_bytes {
        return Err(NotRunReason::Overloaded);
    }
    let Some(permit) = link.acquire(bytes) else {
        return Err(NotRunReason::Overloaded);
    };
    Ok((link, permit))
}

/// Sends the request and waits for its outcome, the end of the link or the timeout.
///
/// Failure guarded against: requests to a frozen peer time out one after another
/// while their bytes still wait to be written; room given back at the timeout
/// would let them pile up without bound. The permit is therefore kept until the
/// peer has answered or the link has ended.
async fn carry(cx: Rc<Context>, link: Rc<Link>, permit: Permit, forward: Forward, now: Wall) {
    let Forward { ticket, .. } = forward;
    let timeout = timeout(&cx, forward.request.deadline, now);
    let mut call = Box::pin(send(&link, &forward));
    cx.counters.forwards_sent.add(1);
    let outcome = tokio::select! {
        biased;
        outcome = &mut call => Some(outcome),
        () = link.closed.cancelled() => Some(lost(MayHaveRunReason::DispatcherLost)),
        () = tokio::time::sleep(timeout) => None,
    };
    let is_late = outcome.is_none();
    if is_late {
        log::info!(ticket, session:% = link.session; "no outcome of a forward in time");
    }
    let outcome = outcome.unwrap_or_else(|| lost(MayHaveRunReason::Timeout));
    if matches!(outcome, Outcome::MayHaveRun(_)) {
        cx.counters.forwards_lost.add(1);
    }
    done(&cx, ticket, outcome);
    if is_late {
        tokio::select! {
            _ = call => {}
            () = link.closed.cancelled() => {}
        }
    }
    drop(permit);
}

/// Calls the peer. Whatever goes wrong from here on may go wrong after the
/// request was read at the other end.
async fn send(link: &Link, forward: &Forward) -> Outcome {
    let mut req = link.client.forward_request();
    let mut b = req.get();
    b.set_endpoint(forward.endpoint.as_str());
    b.set_dispatch_epoch(forward.dispatch_epoch.0);
    write_request(&forward.request, b.init_request());
    let called = req.send().promise.await;
    match called.and_then(|response| read_response(response.get()?)) {
        Ok(outcome) => outcome,
        Err(err) => {
            let ticket = forward.ticket;
            log::warn!(ticket, session:% = link.session, err:%; "forward without an outcome");
            lost(MayHaveRunReason::DispatcherLost)
        }
    }
}

fn read_response(r: link::forward_results::Reader<'_>) -> capnp::Result<Outcome> {
    Ok(read_outcome(r.get_outcome()?)?)
}

fn timeout(cx: &Context, deadline: Wall, now: Wall) -> Duration {
    let left = deadline.plus(DEADLINE_GRACE_MS).since(now);
    Duration::from_millis(left).min(cx.cfg.call_timeout)
}

const fn lost(reason: MayHaveRunReason) -> Outcome {
    Outcome::MayHaveRun(MayHaveRun {
        reason,
        retry_after_ms: RETRY_AFTER_MS,
    })
}

fn done(cx: &Context, ticket: Ticket, outcome: Outcome) {
    cx.events.push(Event::ForwardDone { ticket, outcome });
}
