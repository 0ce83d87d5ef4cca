//! Reads a caller's request, forwards it and builds the response.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use citronway_core::gateway::admission::{Job, RefusalReason};
use citronway_core::gateway::budget::RetryCause;
use citronway_core::gateway::freshness::Trust;
use citronway_core::gateway::memory::Pressure;
use citronway_core::gateway::pipeline;
use citronway_core::gateway::routes::RouteTable;
use citronway_core::time::Mono;
use citronway_platform::exchange::{self, RequestMetadata};
use http::request::Parts;
use http::{Request, Response, StatusCode};
use hyper::body::Body;

use super::body;
use super::connection::{GuardedBody, RequestGuard};
use super::forwarding::Forwarding;
use super::message::Message;
use super::neighbor::{ForwardedRequest, Origin};
use super::open_requests::OpenRequest;
use super::outcome::{self, DEFAULT_RETRY_MS, Outcome, not_run};
use super::send::OpenSends;
use super::state::State;
use crate::clock;
use crate::gateway::metrics::Class;

/// Wait assumed for a caller that states none, in milliseconds.
const DEFAULT_WAIT_MS: u64 = 30_000;

/// Retry-after time where the configuration has to be corrected first, in milliseconds: an
/// operator needs seconds at least.
const UNUSABLE_RETRY_MS: u64 = 2_000;

/// Retry-after time while the configuration is being fetched, in milliseconds.
const UNCONFIRMED_RETRY_MS: u64 = 300;

/// Answers a request of a caller, whose head arrived at `arrived`.
pub(super) async fn answer<B>(
    state: Rc<State>,
    arrived: Mono,
    req: Request<B>,
    guard: RequestGuard,
    origin: Origin,
) -> Response<GuardedBody>
where
    B: Body<Data = Bytes> + Unpin + 'static,
{
    let began = clock::mono();
    let (mut head, body) = req.into_parts();
    let forwarded = match origin {
        Origin::Caller => None,
        Origin::Neighbor => match state.read_forwarded(&mut head.headers) {
            Ok(forwarded) => Some(forwarded),
            Err(e) => {
                log::warn!(cause = e.to_string(); "forwarded request is not accepted");
                let outcome = Outcome::Rejected(StatusCode::FORBIDDEN, "not an instance");
                return outcome::respond(&state, None, outcome, guard, origin);
            }
        },
    };
    let open = &guard.open.request;
    let id = exchange::request_id(&head.headers);
    open.set_id(id);
    open.set_reached_endpoint(forwarded.as_ref().is_some_and(|f| f.has_reached));
    let metadata = match exchange::read_request_metadata(&head) {
        Ok(metadata) => metadata,
        Err(e) => {
            let request = outcome::display_id(id);
            log::info!(request, cause = e.to_string(); "a request is malformed");
            let outcome = Outcome::Rejected(StatusCode::BAD_REQUEST, "malformed header");
            outcome::record(&state, arrived, id, Class::UNKNOWN, &outcome);
            return outcome::respond(&state, id, outcome, guard, origin);
        }
    };
    let mut class = Class::UNKNOWN;
    let parsed = ParsedRequest {
        arrived,
        began,
        head: &head,
        metadata: &metadata,
        forwarded: forwarded.as_ref(),
    };
    let outcome = serve(&state, &parsed, body, open, &mut class).await;
    outcome::record(&state, arrived, id, class, &outcome);
    outcome::respond(&state, id, outcome, guard, origin)
}

/// A request whose head has been parsed.
struct ParsedRequest<'a> {
    arrived: Mono,
    /// When it was begun; later than its arrival if earlier requests of its connection were without
    /// an answer.
    began: Mono,
    head: &'a Parts,
    metadata: &'a RequestMetadata,
    /// What the instance said that passed it on; `None` if it came from a caller.
    forwarded: Option<&'a ForwardedRequest>,
}

impl ParsedRequest<'_> {
    /// Time that the caller waits, or the instance that passed the request on, in milliseconds.
    fn stated_wait_ms(&self) -> u64 {
        match self.forwarded {
            Some(forwarded) => forwarded.wait_ms,
            None => self.metadata.wait_ms.unwrap_or(DEFAULT_WAIT_MS),
        }
    }
}

/// Outcome of a request without a route. It is rejected for good only while no newer
/// configuration can have one.
fn without_route(parsed: &ParsedRequest<'_>, routes: &RouteTable, trust: &Trust) -> Outcome {
    let request = outcome::display_id(exchange::request_id(&parsed.head.headers));
    let version = routes.version.0;
    let confirmed_ms_ago = trust.confirmed_at.map(|at| parsed.began.since(at));
    log::info!(request, version, confirmed_ms_ago; "no route in the configuration in force");
    if parsed.began > trust.reject_until {
        return unconfirmed();
    }
    Outcome::Rejected(StatusCode::NOT_FOUND, "no route")
}

const fn unconfirmed() -> Outcome {
    not_run(
        RefusalReason::UnconfirmedConfiguration,
        UNCONFIRMED_RETRY_MS,
    )
}

async fn serve<B>(
    state: &Rc<State>,
    parsed: &ParsedRequest<'_>,
    body: B,
    open: &Rc<OpenRequest>,
    class: &mut Class,
) -> Outcome
where
    B: Body<Data = Bytes> + Unpin + 'static,
{
    let &ParsedRequest {
        arrived,
        began,
        head,
        metadata,
        forwarded,
    } = parsed;
    if state.is_closing() {
        return outcome::stopping();
    }
    if state.memory_pressure() == Pressure::Full {
        return body::out_of_memory(state, 0);
    }
    // The trust is read before the routes: control publishes new routes first.
    let trust = *state.trust.borrow();
    let routes = state.view.borrow().routes.clone();
    let Some(routes) = routes else {
        return not_run(RefusalReason::NoConfiguration, DEFAULT_RETRY_MS);
    };
    let Some((_, route)) = routes.find(&metadata.host, head.uri.path()) else {
        if routes.is_incomplete() {
            return not_run(RefusalReason::UnusableRoute, UNUSABLE_RETRY_MS);
        }
        return without_route(parsed, &routes, &trust);
    };
    if began > trust.serve_until {
        return unconfirmed();
    }
    *class = Class::of(route);
    open.set_repeat(route.repeat);
    let stated_ms = parsed.stated_wait_ms();
    let wait_ms = stated_ms.min(route.timeout_ms);
    if pipeline::is_expired(began, arrived, wait_ms) {
        return not_run(RefusalReason::BehindUnanswered, DEFAULT_RETRY_MS);
    }
    let limit = Duration::from_millis(wait_ms);
    let deadline = arrived.plus(wait_ms);
    let held = match body::read(state, body, routes.limits.body_bytes, limit, open).await {
        // The body may have taken longer to arrive than requests are accepted.
        Ok(_) if state.is_too_late(deadline) => return outcome::stopping(),
        Ok(held) => held,
        Err(outcome) => return outcome,
    };
    let estimate = state.record_arrival(route);
    let number = estimate.number;
    let chosen = forwarded.and_then(|forwarded| routes.service_named(route, &forwarded.service));
    let Some((service, service_config)) = chosen.or_else(|| routes.service(route, number)) else {
        return not_run(RefusalReason::UnusableRoute, UNUSABLE_RETRY_MS);
    };
    let key = metadata.key.filter(|_| service_config.sharded);
    if service_config.sharded && key.is_none() {
        return Outcome::Rejected(StatusCode::BAD_REQUEST, "no key");
    }
    if forwarded.is_none() {
        if let Some(key) = key {
            state.count_key(service, key);
        }
        state.count_request(began, service);
    }
    // A caller that retries states only the time it has left. The time it spent before counts
    // towards the objective too.
    let spent_ms = state.record_wait(&route.name, stated_ms) - stated_ms;
    let job = Job {
        ticket: state.next_ticket(),
        service: service.clone(),
        key,
        priority: route.priority,
        repeat: route.repeat,
        arrived,
        objective_at: arrived.plus(route.objective_ms).minus(spent_ms),
        deadline,
        caller_deadline: arrived.plus(stated_ms),
        work_ms: estimate.work_ms,
        answer_bytes: estimate.answer_bytes,
        body_bytes: held.bytes.len() as u64,
        tried: Vec::new(),
        pauses: Vec::new(),
        is_forwarded: forwarded.is_some(),
        spent_ms,
    };
    let forwarding = Forwarding {
        state,
        route,
        metadata,
        open,
        message: Rc::new(Message::new(head, held.bytes)),
        job,
        may_have_run_at: Vec::new(),
        runs_elsewhere: forwarded.map_or(0, |forwarded| forwarded.runs),
        sends: 0,
        open_sends: OpenSends::default(),
        failed_answer: None,
        _held: held.charge,
        room: state.memory.reserve(0),
        work: OnceCell::new(),
        trial: None,
        has_crashed: false,
        retry_cause: RetryCause::PassedOn,
        lacked_retry: false,
    };
    forwarding.run().await
}
