//! A request of a caller: what it asks for, and the answer it gets.

use std::cell::OnceCell;
use std::rc::Rc;

use citronway_core::gateway::admission::{Job, RefusalReason};
use citronway_core::time::Mono;
use citronway_platform::exchange::{self, RequestMetadata};
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;

use super::connection::{Answering, Done};
use super::forwarding::{Forwarding, Message};
use super::open_requests::OpenRequest;
use super::outcome::{self, DEFAULT_RETRY_MS, Outcome, not_run};
use super::state::{Phase, State};
use crate::clock;
use crate::gateway::metrics::Class;

/// How long a caller is waited for that states no time, in milliseconds.
const DEFAULT_WAIT_MS: u64 = 30_000;

/// Time to come back where the configuration has to be mended first, in milliseconds: an
/// operator who sees it needs seconds at least.
const UNUSABLE_RETRY_MS: u64 = 2_000;

/// Answers a request of a caller.
pub(super) async fn answer(
    state: Rc<State>,
    req: Request<Incoming>,
    done: Done,
) -> Response<Answering> {
    let arrived = clock::mono();
    let (head, body) = req.into_parts();
    let open = &done.open.request;
    let id = exchange::request_id(&head.headers);
    open.name(id);
    let words = match exchange::read_request_metadata(&head) {
        Ok(words) => words,
        Err(e) => {
            let request = outcome::shown_id(id);
            log::info!(request, cause = e.to_string(); "a request is malformed");
            let outcome = Outcome::Rejected(StatusCode::BAD_REQUEST, "malformed header");
            outcome::note(&state, arrived, id, Class::UNKNOWN, &outcome);
            return outcome::respond(&state, id, outcome, done);
        }
    };
    let mut class = Class::UNKNOWN;
    let taken = Taken {
        arrived,
        head: &head,
        words: &words,
    };
    let outcome = serve(&state, &taken, body, open, &mut class).await;
    outcome::note(&state, arrived, id, class, &outcome);
    outcome::respond(&state, id, outcome, done)
}

/// A request whose head was read.
struct Taken<'a> {
    arrived: Mono,
    head: &'a Parts,
    words: &'a RequestMetadata,
}

async fn serve(
    state: &Rc<State>,
    taken: &Taken<'_>,
    body: Incoming,
    open: &OpenRequest,
    class: &mut Class,
) -> Outcome {
    let &Taken {
        arrived,
        head,
        words,
    } = taken;
    if state.is_closing() {
        return outcome::stopping();
    }
    let routes = state.view.borrow().routes.clone();
    let Some(routes) = routes else {
        return not_run(RefusalReason::NoConfiguration, DEFAULT_RETRY_MS);
    };
    let Some((_, route)) = routes.find(&words.host, head.uri.path()) else {
        if routes.is_incomplete() {
            return not_run(RefusalReason::UnusableRoute, UNUSABLE_RETRY_MS);
        }
        return Outcome::Rejected(StatusCode::NOT_FOUND, "no route");
    };
    *class = Class::of(route);
    let body = Limited::new(body, routes.limits.body_bytes).collect();
    let body = tokio::select! {
        biased;
        body = body => body,
        () = state.reached(Phase::Ending) => {
            open.log_broken_off(clock::mono());
            return outcome::stopping();
        }
    };
    let body = match body {
        Ok(body) => body.to_bytes(),
        Err(e) if e.is::<LengthLimitError>() => {
            return Outcome::Rejected(StatusCode::PAYLOAD_TOO_LARGE, "body too large");
        }
        Err(_broken) => return Outcome::Rejected(StatusCode::BAD_REQUEST, "body not whole"),
    };
    let usual = state.count(route);
    let number = usual.number;
    let Some((service, known)) = routes.service(route, number) else {
        return not_run(RefusalReason::UnusableRoute, UNUSABLE_RETRY_MS);
    };
    let key = match (known.sharded, words.key) {
        (true, None) => return Outcome::Rejected(StatusCode::BAD_REQUEST, "no key"),
        (true, Some(key)) => {
            state.count_key(service, key);
            Some(key)
        }
        (false, _) => None,
    };
    state.count_request(arrived, service);
    let stated_ms = words.wait_ms.unwrap_or(DEFAULT_WAIT_MS);
    let wait_ms = stated_ms.min(route.timeout_ms);
    // A caller that tries again states what is left of its time. What it has spent
    // before counts towards the objective too.
    let spent_ms = state.usual_wait_ms(&route.name, stated_ms) - stated_ms;
    let job = Job {
        ticket: state.ticket(),
        service: service.clone(),
        key,
        priority: route.priority,
        repeat: route.repeat,
        arrived,
        objective_at: arrived.plus(route.objective_ms).minus(spent_ms),
        deadline: arrived.plus(wait_ms),
        caller_deadline: arrived.plus(stated_ms),
        work_ms: usual.work_ms,
        answer_bytes: usual.answer_bytes,
        tried: Vec::new(),
    };
    let forwarding = Forwarding {
        state,
        route,
        words,
        open,
        message: Message {
            method: head.method.clone(),
            uri: head.uri.clone(),
            headers: exchange::forwarded_headers(&head.headers),
            body,
        },
        job,
        run_by: Vec::new(),
        sends: 0,
        failed: None,
        work: OnceCell::new(),
        trial: None,
        has_crashed: false,
    };
    forwarding.travel().await
}
