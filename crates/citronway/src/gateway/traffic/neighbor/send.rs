//! Passes a request on to a neighbor and reads the outcome.

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use citronway_core::gateway::admission::{Neighbor, RefusalReason, UnknownOutcomeReason};
use citronway_core::gateway::budget::RetryCause;
use citronway_core::gateway::crashes::FingerprintKey;
use citronway_platform::answers::{AnswerHead, AnswerKind};
use http::Request;

use super::message::{self, ForwardedOutcome, ForwardedRequest, read_outcome};
use crate::clock;
use crate::gateway::http_link::{self, Answer, BodyBounds, CallError, ConnectMode, Dialer, Link};
use crate::gateway::traffic::forwarding::Forwarding;
use crate::gateway::traffic::open_requests::Stage;
use crate::gateway::traffic::outcome::{Outcome, display_id};

/// Most neighbors that are asked in turn while the request has run nowhere.
const MAX_NEIGHBORS: usize = 3;

/// Result of passing a request on to one neighbor.
enum Passed {
    /// The outcome is final.
    Ended(Outcome),
    /// The request may have run, and it is not known how that ended.
    MayHaveRun(&'static str),
    /// The request has not run there; the neighbor is of no use for now.
    NotThere(String),
}

impl Forwarding<'_> {
    /// Passes the request on to a neighbor. Returns `None` if no neighbor can help, or another
    /// attempt may be made.
    ///
    /// The neighbor takes the send from its budget of second sends if the request has reached an
    /// endpoint before. It asks for trials and for sends to cold and limited endpoints.
    pub(in crate::gateway::traffic) async fn forward(&mut self) -> Option<Outcome> {
        for _ in 0..MAX_NEIGHBORS {
            let now = clock::mono();
            let key = self.state.view.borrow().crashes.key;
            let neighbor = self.state.choose_neighbor(now);
            let (Some(key), Some(neighbor)) = (key, neighbor) else {
                break;
            };
            let left_ms = self.job.deadline.since(now);
            let limit = Duration::from_millis(left_ms);
            let passed = tokio::time::timeout(limit, self.pass_on(&neighbor, &key, left_ms)).await;
            let request = display_id(self.metadata.id.as_ref());
            let to = neighbor.instance.as_str();
            match passed {
                Ok(Passed::Ended(outcome)) => {
                    log::info!(request, to; "request passed on to another instance");
                    self.state.metrics.count_forwarded("ended");
                    return Some(outcome);
                }
                Ok(Passed::MayHaveRun(cause)) => {
                    log::info!(request, to, cause; "request passed on may have run");
                    self.state.metrics.count_forwarded("unknown");
                    self.state.avoid_neighbor(now, neighbor.address);
                    return self.after_unknown_forward(cause);
                }
                Ok(Passed::NotThere(cause)) => {
                    log::info!(request, to, cause; "another instance cannot serve the request");
                    self.state.metrics.count_forwarded("not_there");
                    self.state.avoid_neighbor(now, neighbor.address);
                    self.open.enter_stage(clock::mono(), Stage::Waiting);
                }
                Err(_elapsed) => {
                    log::info!(request, to; "request passed on timed out; it may have run");
                    self.state.metrics.count_forwarded("unknown");
                    return Some(Outcome::TimedOut);
                }
            }
        }
        self.state.record_not_forwarded(&self.job);
        None
    }

    fn after_unknown_forward(&mut self, cause: &'static str) -> Option<Outcome> {
        self.runs_elsewhere += 1;
        self.open.set_reached_endpoint(true);
        if self.may_run_again() && self.may_send_again(clock::mono(), RetryCause::PassedOn) {
            return None;
        }
        Some(Outcome::Unknown(UnknownOutcomeReason::Broken, cause))
    }

    async fn pass_on(&mut self, to: &Neighbor, key: &FingerprintKey, left_ms: u64) -> Passed {
        let link = Link::open(Dialer::default(), to.address, ConnectMode::Immediate).await;
        let mut link = match link {
            Ok(link) => link,
            Err(e) => return Passed::NotThere(e.to_string()),
        };
        self.open.enter_stage(clock::mono(), Stage::AtEndpoint);
        let head = match link.send(self.forwarded(to, key, left_ms)).await {
            Ok(head) => head,
            Err(e @ CallError::NotSent) => return Passed::NotThere(e.to_string()),
            Err(_broken) => return Passed::MayHaveRun("the connection to another instance broke"),
        };
        let room = |bytes| self.room.grow_to(bytes);
        let bounds = BodyBounds::of_usual(self.job.answer_bytes);
        match http_link::read_answer(head, bounds, room).await {
            Ok(answer) => self.outcome_of(answer),
            Err(_incomplete) => Passed::MayHaveRun("the answer of another instance is not whole"),
        }
    }

    fn forwarded(&self, to: &Neighbor, key: &FingerprintKey, left_ms: u64) -> Request<Bytes> {
        let mut req = self.message.in_origin_form();
        let forwarded = ForwardedRequest {
            sender: self.state.instance.clone(),
            wait_ms: left_ms,
            service: self.job.service.clone(),
            runs: self.runs(),
            has_reached: self.open.has_reached_endpoint(),
        };
        forwarded.write(req.headers_mut(), key, &to.instance);
        req
    }

    fn outcome_of(&self, mut answer: Answer) -> Passed {
        if message::has_reached(&answer.headers) {
            self.open.set_reached_endpoint(true);
        }
        let outcome = read_outcome(answer.status, &mut answer.headers);
        match outcome {
            Some(ForwardedOutcome::Answered(endpoint)) => {
                let id = self.metadata.id.as_ref();
                let head = AnswerHead::read(id, answer.status, &answer.headers, SystemTime::now());
                if head.kind == AnswerKind::Foreign {
                    return Passed::MayHaveRun("the answer belongs to another request");
                }
                if let (Some(endpoint), Ok(true)) = (endpoint, &head.leaving) {
                    self.state.record_departure(endpoint);
                }
                Passed::Ended(Outcome::Answered(answer))
            }
            Some(ForwardedOutcome::NotRun(refusal)) => match refusal.reason {
                RefusalReason::Unreachable
                | RefusalReason::Stopping
                | RefusalReason::NoConfiguration
                | RefusalReason::OutOfMemory
                | RefusalReason::UnconfirmedConfiguration => {
                    Passed::NotThere(refusal.reason.as_str().to_owned())
                }
                RefusalReason::UnusableRoute
                | RefusalReason::NoEndpoint
                | RefusalReason::KeyUnowned
                | RefusalReason::Overloaded
                | RefusalReason::KeyOverloaded
                | RefusalReason::EndpointRefused
                | RefusalReason::Evacuated
                | RefusalReason::CrashesEndpoints
                | RefusalReason::UnderTrial
                | RefusalReason::EndpointLimited
                | RefusalReason::EndpointLeaving
                | RefusalReason::EndpointResting
                | RefusalReason::BehindUnanswered => Passed::Ended(self.refuse(refusal)),
            },
            Some(ForwardedOutcome::Ended(outcome)) => Passed::Ended(outcome),
            Some(ForwardedOutcome::Rejected(status)) => Passed::NotThere(status.to_string()),
            None => Passed::MayHaveRun("another instance states no outcome"),
        }
    }
}
