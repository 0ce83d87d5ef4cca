//! What all requests of the traffic thread share.

mod guards;
mod phase;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use citronway_core::gateway::admission::{Admission, Choice, Decision, Job, View};
use citronway_core::gateway::budget::{RetryLimit, SharedRetryBudget};
use citronway_core::gateway::crashes::{Fingerprint, Sign};
use citronway_core::gateway::limit::EndpointLoad;
use citronway_core::gateway::pace::{Answers, EndpointTag};
use citronway_core::gateway::report::{self, EndpointUse, KeySamples, MAX_KEYS};
use citronway_core::gateway::routes::{CallerLimits, Route};
use citronway_core::gateway::settings::InstanceSettings;
use citronway_core::ids::{EndpointStart, ServiceName};
use citronway_core::time::Mono;
use indexmap::IndexMap;
use tokio::sync::{Notify, oneshot, watch};

use super::asks::Asks;
use super::ended::Looks;
use super::open_requests::OpenRequests;
use super::pool::Pool;
use super::seen::TrafficReport;
use crate::clock;
use crate::gateway::metrics::Metrics;
use guards::Waiting;

pub(super) use guards::{InFlight, OpenConnection};
pub(super) use phase::Phase;
pub use phase::Stop;

/// Weight of the newest answer in the mean time of work, and size, of a route.
const WORK_WEIGHT: f64 = 0.02;

/// State of the traffic thread.
#[derive(Debug)]
pub(super) struct State {
    pub view: watch::Receiver<View>,
    pub stop: watch::Receiver<Stop>,
    pub pool: RefCell<Pool>,
    pub metrics: Metrics,
    /// Looks at endpoints whose connections broke.
    pub looks: Looks,
    /// Requests without a whole answer.
    pub open: Rc<OpenRequests>,
    admission: RefCell<Admission>,
    waiting: RefCell<IndexMap<u64, oneshot::Sender<Decision>>>,
    any_waits: Notify,
    tickets: Cell<u64>,
    limit: RetryLimit,
    /// How much more than its service states a cold endpoint may get, as a factor.
    cold_overage: f64,
    second_sends: RefCell<IndexMap<ServiceName, SharedRetryBudget>>,
    /// Mean time of work by route, in milliseconds.
    work: RefCell<IndexMap<String, Work>>,
    answers: RefCell<IndexMap<EndpointTag, Answers>>,
    keys: RefCell<IndexMap<ServiceName, Vec<u16>>>,
    /// An endpoint crashed, and others are to know it at once.
    pub crash_seen: Notify,
    /// What was seen of work that may crash endpoints, since the last account.
    signs: RefCell<Vec<Sign>>,
    /// What `control` decides.
    pub asks: Asks,
    connections: Cell<u32>,
    phase: watch::Sender<Phase>,
}

#[derive(Debug)]
struct Work {
    /// First service of the route.
    service: Option<ServiceName>,
    mean_ms: f64,
    /// Mean size of an answer, in bytes; none before the first.
    mean_bytes: Option<f64>,
    /// Longest time that a caller stated to wait, in milliseconds.
    longest_wait_ms: u64,
    /// Requests of the route so far; places them among its targets.
    taken: u64,
}

/// What is usual on a route.
#[derive(Debug, Clone, Copy)]
pub(super) struct Usual {
    /// Number of the request among those of its route.
    pub number: u64,
    /// Mean time of work, in milliseconds.
    pub work_ms: u64,
    /// Mean size of an answer, in bytes.
    pub answer_bytes: u64,
}

impl State {
    pub(super) fn new(
        cfg: &InstanceSettings,
        view: watch::Receiver<View>,
        stop: watch::Receiver<Stop>,
        metrics: Metrics,
        asks: Asks,
    ) -> Self {
        Self {
            view,
            stop,
            pool: RefCell::default(),
            open: Rc::new(OpenRequests::new(metrics.clone())),
            metrics,
            looks: Looks::default(),
            admission: RefCell::default(),
            waiting: RefCell::default(),
            any_waits: Notify::new(),
            tickets: Cell::new(0),
            limit: cfg.retries,
            cold_overage: cfg.cold_overage,
            second_sends: RefCell::default(),
            work: RefCell::default(),
            answers: RefCell::default(),
            keys: RefCell::default(),
            crash_seen: Notify::new(),
            signs: RefCell::default(),
            asks,
            connections: Cell::new(0),
            phase: watch::Sender::new(Phase::Serving),
        }
    }

    pub(super) fn limits(&self) -> CallerLimits {
        let view = self.view.borrow();
        let routes = view.routes.as_ref();
        routes.map(|routes| routes.limits).unwrap_or_default()
    }

    pub(super) fn is_stopping(&self) -> bool {
        matches!(*self.stop.borrow(), Stop::Within { .. })
    }

    pub(super) fn ticket(&self) -> u64 {
        self.tickets.set(self.tickets.get() + 1);
        self.tickets.get()
    }

    /// Counts a request of a route and tells what is usual there.
    pub(super) fn count(&self, route: &Route) -> Usual {
        let mut work = self.work.borrow_mut();
        // Instances begin at different places, so that few requests of each still
        // divide well over all.
        let first = || Work {
            service: route.targets.first().map(|target| target.service.clone()),
            // A first guess; the mean follows the answers.
            mean_ms: route.objective_ms as f64 * 0.3,
            mean_bytes: None,
            longest_wait_ms: 0,
            taken: self.view.borrow().rank % 1_000,
        };
        let entry = work.entry(route.name.clone()).or_insert_with(first);
        entry.taken += 1;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "times and sizes are positive and far below the range"
        )]
        let whole = |mean: f64| mean as u64;
        Usual {
            number: entry.taken,
            work_ms: whole(entry.mean_ms),
            answer_bytes: whole(entry.mean_bytes.unwrap_or_default()),
        }
    }

    /// The longest time that callers of the route were seen to wait, this one included.
    pub(super) fn usual_wait_ms(&self, route: &str, stated_ms: u64) -> u64 {
        let mut work = self.work.borrow_mut();
        let Some(work) = work.get_mut(route) else {
            return stated_ms;
        };
        work.longest_wait_ms = work.longest_wait_ms.max(stated_ms);
        work.longest_wait_ms
    }

    pub(super) fn count_key(&self, service: &ServiceName, key: u16) {
        let mut keys = self.keys.borrow_mut();
        let list = keys.entry(service.clone()).or_default();
        if list.len() < MAX_KEYS {
            list.push(key);
        }
    }

    pub(super) fn count_request(&self, now: Mono, service: &ServiceName) {
        self.budget(service, |budget| budget.record_request(now));
    }

    pub(super) fn take_second_send(&self, now: Mono, service: &ServiceName) -> bool {
        let instances = self.view.borrow().instances;
        self.budget(service, |budget| budget.try_take(now, instances))
    }

    fn budget<T>(&self, service: &ServiceName, f: impl FnOnce(&mut SharedRetryBudget) -> T) -> T {
        let mut all = self.second_sends.borrow_mut();
        let limit = self.limit;
        f(all
            .entry(service.clone())
            .or_insert_with(|| SharedRetryBudget::new(limit)))
    }

    /// Asks for a place; waits for it if need be.
    pub(super) async fn place(&self, job: Job) -> Option<Decision> {
        let now = clock::mono();
        let ticket = job.ticket;
        let decided = self
            .admission
            .borrow_mut()
            .submit(now, &self.view.borrow(), job);
        if decided.is_some() {
            return decided;
        }
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, tx);
        self.any_waits.notify_one();
        let mut waiting = Waiting {
            state: self,
            ticket,
            decided: rx,
        };
        (&mut waiting.decided).await.ok()
    }

    /// Marks a sent request's place as taken until the guard is dropped.
    pub(super) fn in_flight(self: &Rc<Self>, choice: &Choice) -> InFlight {
        InFlight {
            state: Rc::clone(self),
            endpoint: choice.endpoint.clone(),
        }
    }

    /// Notes a whole answer, its size and the time it took.
    pub(super) fn served(&self, route: &str, endpoint: &EndpointStart, took_ms: u64, bytes: usize) {
        let took = took_ms as f64;
        let mut work = self.work.borrow_mut();
        let Some(work) = work.get_mut(route) else {
            return;
        };
        let relative = took / work.mean_ms.max(1.0);
        work.mean_ms += (took - work.mean_ms) * WORK_WEIGHT;
        let mean = work.mean_bytes.unwrap_or(bytes as f64);
        work.mean_bytes = Some(mean + (bytes as f64 - mean) * WORK_WEIGHT);
        let mut answers = self.answers.borrow_mut();
        let sum = answers.entry(EndpointTag::of(endpoint)).or_default();
        sum.served += 1.0;
        sum.relative += relative;
    }

    /// Notes that the endpoint ran a request and answered.
    pub(super) fn answered(&self, choice: &Choice, key: Option<u16>) {
        self.admission
            .borrow_mut()
            .record_answer(clock::mono(), choice, key);
    }

    /// Takes what an endpoint of a service without keys says of its load.
    pub(super) fn load_told(&self, job: &Job, load: Option<EndpointLoad>) {
        let mut admission = self.admission.borrow_mut();
        admission.record_load(&self.view.borrow(), &job.service, load);
    }

    /// Notes that an endpoint of a service without keys had no room.
    pub(super) fn turned_away(&self, job: &Job) {
        let mut admission = self.admission.borrow_mut();
        admission.record_rejection(clock::mono(), &self.view.borrow(), &job.service);
    }

    /// Whether an endpoint has said that it leaves, or is not listed.
    pub(super) fn leaves(&self, endpoint: &EndpointStart) -> bool {
        let view = self.view.borrow();
        let known = view.registry.get(endpoint);
        known.is_none_or(|known| known.listing.draining)
    }

    /// Notes that another process has the endpoint's address.
    pub(super) fn gone(&self, endpoint: &EndpointStart) {
        self.admission
            .borrow_mut()
            .record_replaced(clock::mono(), endpoint);
    }

    /// Notes that the endpoint failed or refused a request.
    pub(super) fn refused(&self, endpoint: &EndpointStart) {
        let mut answers = self.answers.borrow_mut();
        answers.entry(EndpointTag::of(endpoint)).or_default().failed += 1.0;
    }

    /// Notes that the endpoint took no connection or fell silent.
    pub(super) fn unreachable(&self, endpoint: &EndpointStart) {
        self.refused(endpoint);
        self.admission
            .borrow_mut()
            .record_failure(clock::mono(), endpoint);
    }

    /// Notes that the endpoint reset a connection.
    pub(super) fn reset(&self, endpoint: &EndpointStart) {
        self.refused(endpoint);
        self.admission
            .borrow_mut()
            .record_reset(clock::mono(), endpoint);
    }

    /// Requests a second that all instances together may send to an endpoint, where it is cold
    /// and its service states a limit.
    pub(super) fn cold_per_s(
        &self,
        now: Mono,
        service: &ServiceName,
        e: &EndpointStart,
    ) -> Option<f64> {
        let view = self.view.borrow();
        if !view.registry.get(e)?.is_cold(now) {
            return None;
        }
        let per_s = view.routes.as_ref()?.services.get(service)?.cold_per_s?;
        Some(per_s * self.cold_overage)
    }

    /// Notes that a cold endpoint is to get nothing for a while.
    pub(super) fn cold_busy(&self, endpoint: &EndpointStart, for_ms: u64) {
        let until = clock::mono().plus(for_ms);
        self.admission.borrow_mut().hold_back_cold(endpoint, until);
    }

    /// Notes that the endpoint does not hold the key.
    pub(super) fn not_held(&self, job: &Job, fence: u64) {
        let mut admission = self.admission.borrow_mut();
        admission.record_not_held(clock::mono(), &self.view.borrow(), job, fence);
    }

    pub(super) fn view_changed(&self) {
        let now = clock::mono();
        self.admission
            .borrow_mut()
            .update_view(now, &self.view.borrow());
        self.pump();
    }

    /// Has requests that wait end by `end`, with the process.
    pub(super) fn end_by(&self, end: Mono) {
        self.admission.borrow_mut().limit_deadlines(end);
        self.pump();
    }

    /// Requests that wait at this instance.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Resolves once a request waits.
    pub(super) async fn anyone_waits(&self) {
        while self.waiting.borrow().is_empty() {
            self.any_waits.notified().await;
        }
    }

    /// Decides about those that wait.
    pub(super) fn pump(&self) {
        if self.waiting.borrow().is_empty() {
            return;
        }
        let decided = self
            .admission
            .borrow_mut()
            .decide_waiting(clock::mono(), &self.view.borrow());
        for (ticket, decision) in decided {
            let Some(tx) = self.waiting.borrow_mut().swap_remove(&ticket) else {
                continue;
            };
            if let Err(Decision::Send(choice)) = tx.send(decision) {
                self.admission
                    .borrow_mut()
                    .record_finished(&choice.endpoint);
            }
        }
    }

    /// Account of what was seen since the last one.
    pub(super) fn account(&self) -> TrafficReport {
        self.pool.borrow_mut().prune(clock::mono());
        let in_flight = self
            .admission
            .borrow()
            .usage()
            .map(|(_, count, _)| count)
            .sum();
        self.metrics.set_load(self.waiting(), in_flight);
        self.metrics.set_connections(self.open_connections());
        self.open.show_counts();
        let mut answers = std::mem::take(&mut *self.answers.borrow_mut());
        let mut endpoints: Vec<_> = self
            .admission
            .borrow()
            .usage()
            .map(|(tag, in_flight, waiting)| EndpointUse {
                tag,
                in_flight,
                waiting,
                answers: answers.swap_remove(&tag).unwrap_or_default(),
            })
            .filter(|used| used.in_flight + used.waiting > 0 || used.answers != Answers::default())
            .collect();
        endpoints.extend(answers.into_iter().map(|(tag, answers)| EndpointUse {
            tag,
            answers,
            ..EndpointUse::default()
        }));
        let keys = std::mem::take(&mut *self.keys.borrow_mut());
        let samples = keys
            .into_iter()
            .map(|(service, keys)| KeySamples { service, keys });
        let mut work = IndexMap::<ServiceName, (f64, f64)>::new();
        for route in self.work.borrow().values() {
            let Some(service) = &route.service else {
                continue;
            };
            let sum = work.entry(service.clone()).or_default();
            sum.0 += route.mean_ms * route.taken as f64;
            sum.1 += route.taken as f64;
        }
        let work_ms = work
            .into_iter()
            .map(|(service, (sum, count))| (service, sum / count));
        TrafficReport {
            usage: report::Observations {
                endpoints,
                keys: samples.collect(),
            },
            work_ms: work_ms.collect(),
            signs: self.signs.take(),
        }
    }

    /// Keeps signs of an account that could not be told, for the next one.
    pub(super) fn keep_signs(&self, signs: Vec<Sign>) {
        self.signs.borrow_mut().extend(signs);
    }

    /// Notes that an endpoint crashed while it had the work.
    pub(super) fn crashed(&self, work: Fingerprint, endpoint: &EndpointStart) {
        self.metrics.count_crash();
        let endpoint = EndpointTag::of(endpoint);
        self.signs.borrow_mut().push(Sign::Crash { work, endpoint });
        self.crash_seen.notify_one();
    }

    /// Notes that an endpoint ran work to its end that is under suspicion.
    pub(super) fn cleared(&self, work: Fingerprint) {
        let sign = Sign::Answered { work };
        let mut signs = self.signs.borrow_mut();
        if !signs.contains(&sign) {
            signs.push(sign);
        }
    }

    pub(super) fn connection_opened(self: &Rc<Self>) -> OpenConnection {
        self.connections.set(self.connections.get() + 1);
        OpenConnection(Rc::clone(self))
    }

    pub(super) fn open_connections(&self) -> u32 {
        self.connections.get()
    }

    /// Logs how many connections are open and where their requests stand.
    pub(super) fn log_open(&self, message: &str) {
        self.open.log_counts(message, self.open_connections());
    }

    /// Goes on to a later phase of stopping.
    pub(super) fn enter(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Whether no more requests are taken because the instance stops.
    pub(super) fn is_closing(&self) -> bool {
        *self.phase.borrow() >= Phase::Closing
    }

    /// Resolves once the instance has come to a phase.
    pub(super) async fn reached(&self, phase: Phase) {
        let mut phases = self.phase.subscribe();
        if phases.wait_for(|now| *now >= phase).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
