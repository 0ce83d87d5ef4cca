//! Open sends of a request: when another endpoint gets it too, and what an ended send means.

use std::rc::Rc;
use std::time::Duration;

use citronway_core::gateway::admission::{Choice, Decision};
use citronway_core::gateway::budget::RetryCause;
use citronway_core::gateway::routes::Repeat;
use citronway_core::ids::EndpointStart;
use citronway_core::time::Mono;
use citronway_platform::answers::AnswerKind;
use futures::StreamExt as _;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesUnordered;

use super::endpoint_send::{EndedSend, EndpointSend, Exchanged};
use super::forwarding::{Forwarding, MIN_SEND_TIME_MS};
use super::outcome::{Outcome, display_id};
use super::sent::{NotSentCause, SendResult, UnknownOutcome};
use super::state::{Charge, InFlight};
use crate::clock;
use crate::gateway::http_link::CallError;
use crate::gateway::metrics::Class;
use crate::gateway::wrong_answer::WrongAnswer;

/// Interval between searches for another endpoint while the present one is silent, in milliseconds.
const ASK_AGAIN_MS: u64 = 200;

/// The sends of a request that have not ended.
#[derive(Debug, Default)]
pub(super) struct OpenSends {
    sends: Sends,
    /// Where they are, until they have ended and that is handled.
    endpoints: Vec<OpenAt>,
    /// When the endpoints count as silent; `None` if that does not matter.
    silent_at: Option<Mono>,
}

type Sends = FuturesUnordered<LocalBoxFuture<'static, EndedSend>>;

/// An endpoint that has a request.
#[derive(Debug)]
struct OpenAt {
    endpoint: EndpointStart,
    /// Whether it was silent, so that it counts as one that may have run the request.
    is_silent: bool,
}

/// What happens while sends are open.
pub(super) enum SendEvent {
    Ended(Box<EndedSend>),
    /// The endpoints have not answered in the usual time, or no endpoint answers this instance.
    Silent,
}

impl OpenSends {
    pub(super) fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// Number of endpoints that were silent and may run the request.
    pub(super) fn silent_count(&self) -> usize {
        self.endpoints.iter().filter(|open| open.is_silent).count()
    }

    /// Removes the endpoint of an ended send. Another endpoint is searched for at once if all that
    /// still have the request are silent.
    pub(super) fn remove(&mut self, now: Mono, endpoint: &EndpointStart) {
        let place = self.endpoints.iter().position(|o| o.endpoint == *endpoint);
        if let Some(place) = place {
            self.endpoints.swap_remove(place);
        }
        if self.silent_at.is_some() && self.endpoints.iter().all(|open| open.is_silent) {
            self.silent_at = Some(now);
        }
    }

    fn push(&mut self, send: EndpointSend) {
        self.endpoints.push(OpenAt {
            endpoint: send.choice.endpoint.clone(),
            is_silent: false,
        });
        self.sends.push(Box::pin(send.run()));
    }
}

/// Resolves to the next send that ends; never without open sends.
async fn next_ended(sends: &mut Sends) -> EndedSend {
    match sends.next().await {
        Some(ended) => ended,
        None => std::future::pending().await,
    }
}

impl Forwarding<'_> {
    /// Begins a send. Returns false if no time is left.
    pub(super) fn begin_send(&mut self, choice: Choice, in_flight: InFlight, room: Charge) -> bool {
        let now = clock::mono();
        let left_ms = self.job.deadline.since(now);
        if left_ms < MIN_SEND_TIME_MS {
            return false;
        }
        let objective_ms = self.route.objective_ms;
        let silent_after_ms = self
            .state
            .silent_after_ms(&self.job, &choice.endpoint, objective_ms);
        self.open_sends.silent_at = silent_after_ms.map(|ms| now.plus(ms));
        self.open_sends.push(EndpointSend {
            state: Rc::clone(self.state),
            open: Rc::clone(self.open),
            message: Rc::clone(&self.message),
            id: self.metadata.id.clone(),
            job: self.job.clone(),
            choice,
            cause: self.retry_cause,
            in_flight,
            room,
        });
        true
    }

    /// Waits until an open send ends or counts as silent.
    pub(super) async fn wait_for_event(&mut self) -> SendEvent {
        let state = Rc::clone(self.state);
        let may_repeat = self.job.repeat == Repeat::Idempotent;
        let cut_off = async {
            if !may_repeat || state.is_cut_off() {
                std::future::pending::<()>().await;
            }
            state.wait_until_cut_off().await;
        };
        let silent_ms = self.open_sends.silent_at.map(|at| at.since(clock::mono()));
        let silent = async {
            match silent_ms {
                Some(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            ended = next_ended(&mut self.open_sends.sends) => SendEvent::Ended(Box::new(ended)),
            () = silent => SendEvent::Silent,
            () = cut_off => SendEvent::Silent,
        }
    }

    /// Sends the request to another endpoint as well, if that is certain to be possible now. The
    /// open sends stay open: an endpoint may be about to answer.
    pub(super) async fn send_beside(&mut self) -> Option<Outcome> {
        let now = clock::mono();
        self.open_sends.silent_at = Some(now.plus(ASK_AGAIN_MS));
        if !self.may_send_beside(now) {
            return None;
        }
        self.job.ticket = self.state.next_ticket();
        let open_at = self.open_sends.endpoints.iter();
        let open_at: Vec<_> = open_at.map(|open| open.endpoint.clone()).collect();
        for endpoint in &open_at {
            if !self.job.tried.contains(endpoint) {
                self.job.tried.push(endpoint.clone());
            }
        }
        let choice = match self.state.find_another(&self.job, &open_at)? {
            Decision::Send(choice) => choice,
            Decision::Forward => return self.forward_beside(now).await,
            Decision::Refuse(_) => return None,
        };
        let in_flight = self.state.in_flight(&choice, self.job.ticket);
        let room = self.reserve_answer()?;
        let mut sends = std::mem::take(&mut self.open_sends.sends);
        let admitted = tokio::select! {
            biased;
            ended = next_ended(&mut sends) => Err(ended),
            admitted = self.admit_endpoint(&choice) => Ok(admitted),
        };
        self.open_sends.sends = sends;
        match admitted {
            Err(ended) => {
                drop((in_flight, room));
                return self.handle_ended(ended).await;
            }
            Ok(Err(_not_now)) => return None,
            Ok(Ok(())) => {}
        }
        let now = clock::mono();
        if !self.has_time(now) || self.is_dangerous(now) {
            return None;
        }
        self.record_silent(now);
        self.open.set_endpoint(now, &choice);
        self.begin_send(choice, in_flight, room);
        None
    }

    /// Whether the request may be sent to another endpoint while it is open at one.
    fn may_send_beside(&mut self, now: Mono) -> bool {
        let may_go_elsewhere = self.job.key.is_none() || self.state.is_cut_off();
        let open = self.open_sends.endpoints.len() - self.open_sends.silent_count();
        let open = u32::try_from(open).unwrap_or(u32::MAX);
        let attempts = self.route.attempts.max(1);
        if !may_go_elsewhere || self.runs().saturating_add(open) >= attempts || !self.has_time(now)
        {
            return false;
        }
        self.retry_cause = RetryCause::Unanswered;
        let has_retry = if self.lacked_retry {
            self.state.is_retry_left(now, &self.job.service)
        } else {
            self.state.has_retry(now, self.retry())
        };
        self.lacked_retry |= !has_retry;
        has_retry && !self.is_dangerous(now)
    }

    /// Whether the work may crash endpoints, so that its copies are tried one by one.
    fn is_dangerous(&self, now: Mono) -> bool {
        self.suspect_work().is_some() || self.harmful_work(now).is_some()
    }

    /// Passes the request on to another instance while sends are open.
    async fn forward_beside(&mut self, now: Mono) -> Option<Outcome> {
        self.room = self.reserve_answer()?;
        self.record_silent(now);
        // A send may still be connecting; the neighbor's one is a second send all the same.
        self.open.set_reached_endpoint(true);
        let mut sends = std::mem::take(&mut self.open_sends.sends);
        let mut ended = Vec::new();
        let forwarded = {
            let forward = self.forward();
            tokio::pin!(forward);
            loop {
                tokio::select! {
                    biased;
                    send = next_ended(&mut sends) => {
                        let is_served = send.is_served();
                        ended.push(send);
                        if is_served {
                            break None;
                        }
                    }
                    outcome = &mut forward => break outcome,
                }
            }
        };
        self.open_sends.sends = sends;
        let mut outcome = forwarded;
        for send in ended {
            if outcome.as_ref().is_some_and(Outcome::is_served) {
                break;
            }
            if let Some(Outcome::Answered(failed)) = outcome {
                self.failed_answer = Some(failed);
                outcome = None;
            }
            outcome = self.handle_ended(send).await.or(outcome);
        }
        outcome
    }

    /// Records that the endpoints of the open sends are silent.
    fn record_silent(&mut self, now: Mono) {
        let request = display_id(self.metadata.id.as_ref());
        let ms = now.since(self.job.arrived);
        for open in &mut self.open_sends.endpoints {
            if std::mem::replace(&mut open.is_silent, true) {
                continue;
            }
            let endpoint = &open.endpoint;
            log::info!(request, endpoint:%, ms; "endpoint is silent; the request goes to another one as well");
            self.state.record_failure(endpoint);
        }
    }

    /// Records what the answer of an ended send says, and tells what became of it.
    pub(super) fn read_result(&mut self, ended: EndedSend) -> SendResult {
        let EndedSend {
            choice,
            started,
            was_sent,
            result,
            room,
        } = ended;
        match result {
            Ok(Exchanged::Withheld) => SendResult::Withheld,
            Ok(Exchanged::NoRetryLeft) => SendResult::NoRetryLeft,
            Ok(Exchanged::Answer { head, answer }) => match head.kind {
                AnswerKind::Ran => {
                    self.state.record_answer(&choice, self.job.key);
                    if choice.fence.is_none() {
                        let endpoint = &choice.endpoint;
                        self.state.record_load(&self.job, endpoint, head.load);
                    }
                    if !answer.status.is_server_error() {
                        self.clear_suspicion();
                        let took = clock::mono().since(started);
                        self.state
                            .metrics
                            .record_service_time(Class::of(self.route), took);
                        let bytes = answer.body.len();
                        let route = &self.route.name;
                        self.state
                            .record_served(route, &choice.endpoint, took, bytes);
                    }
                    self.room = room;
                    SendResult::Answer(answer)
                }
                AnswerKind::Full | AnswerKind::Misdirected | AnswerKind::NotRun => {
                    SendResult::Refused(head.kind)
                }
                AnswerKind::Foreign => {
                    SendResult::MayHaveRun(UnknownOutcome::Wrong(WrongAnswer::Foreign))
                }
            },
            Err(CallError::Reset) => SendResult::NotSent(NotSentCause::Reset),
            Err(e) if e.is_unsent() => SendResult::NotSent(NotSentCause::NoConnection(e)),
            // The time ended while the connection was being opened.
            Err(CallError::Timeout) if !was_sent => {
                SendResult::NotSent(NotSentCause::NoConnection(CallError::Timeout))
            }
            Err(CallError::Timeout) => SendResult::TimedOut,
            Err(CallError::Wrong(wrong)) => SendResult::MayHaveRun(UnknownOutcome::Wrong(wrong)),
            Err(CallError::NoMemory) => SendResult::MayHaveRun(UnknownOutcome::NoMemory),
            Err(CallError::Truncated(_)) => SendResult::MayHaveRun(UnknownOutcome::Truncated),
            Err(_) => SendResult::MayHaveRun(UnknownOutcome::Broken),
        }
    }
}
