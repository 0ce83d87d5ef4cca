//! State that all requests of the traffic thread share.

mod cut_lines;
mod fleet;
mod guards;
mod limits;
mod memory;
mod neighbors;
mod phase;
mod pipelined;
mod report;
mod retries;
mod statements;
mod timing;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use citronway_core::gateway::admission::{Admission, Choice, Decision, Job, View};
use citronway_core::gateway::budget::RetryLimit;
use citronway_core::gateway::crashes::{Fingerprint, Sign};
use citronway_core::gateway::freshness::Trust;
use citronway_core::gateway::limit::EndpointLoad;
use citronway_core::gateway::memory::MemoryBudget;
use citronway_core::gateway::pace::{Answers, EndpointTag};
use citronway_core::gateway::report::MAX_KEYS;
use citronway_core::gateway::routes::{CallerLimits, Route};
use citronway_core::gateway::settings::{InstanceSettings, TrafficSettings};
use citronway_core::ids::{EndpointStart, InstanceName, ServiceName};
use citronway_core::time::Mono;
use indexmap::{IndexMap, IndexSet};
use tokio::sync::{Notify, oneshot, watch};

use super::asks::ControlClient;
use super::ended::ListenerProbes;
use super::open_requests::OpenRequests;
use super::pool::Pool;
use super::seen::{TrafficReport, Views};
use crate::clock;
use crate::gateway::http_link::Dialer;
use crate::gateway::metrics::Metrics;
use cut_lines::CutLines;
use guards::Waiting;
use memory::Memory;
use retries::RetryBudgets;
use statements::Unreported;

pub(super) use guards::{InFlight, OpenConnection};
pub(super) use memory::Charge;
pub(super) use phase::Phase;
pub use phase::Stop;
pub(super) use pipelined::Pipelined;
pub(super) use retries::Retry;

/// Weight of the newest answer in a route's mean work time and mean answer size.
const MEAN_WEIGHT: f64 = 0.02;

/// State of the traffic thread.
#[derive(Debug)]
pub(super) struct State {
    pub view: watch::Receiver<View>,
    /// How far the configuration in the view may be relied on.
    pub trust: watch::Receiver<Trust>,
    pub stop: watch::Receiver<Stop>,
    pub pool: RefCell<Pool>,
    pub metrics: Metrics,
    /// Memory that callers' traffic uses.
    pub memory: Rc<Memory>,
    /// Time after which a caller that takes no byte is disconnected, in milliseconds.
    pub write_stall_ms: u64,
    /// Opens connections to endpoints.
    pub dialer: Dialer,
    /// Probes of endpoints whose connections broke.
    pub listener_probes: ListenerProbes,
    /// Requests without a complete answer.
    pub open_requests: Rc<OpenRequests>,
    admission: RefCell<Admission>,
    /// Whether the demand of all instances was in use at the last report.
    decides_by_fleet: Cell<bool>,
    /// Services whose endpoints are chosen by expected end, as last logged.
    timed_services: RefCell<IndexSet<ServiceName>>,
    waiting: RefCell<IndexMap<u64, oneshot::Sender<Decision>>>,
    waiting_added: Notify,
    last_ticket: Cell<u64>,
    retry_limit: RetryLimit,
    /// Time for which a leaving endpoint goes on serving, in milliseconds.
    drain_ms: u64,
    /// Factor by which the rate limit that a service states for cold endpoints may be exceeded.
    cold_overage: f64,
    retry_budgets: RefCell<RetryBudgets>,
    /// Statistics by route name.
    route_stats: RefCell<IndexMap<String, RouteStats>>,
    answers: RefCell<IndexMap<EndpointTag, Answers>>,
    key_samples: RefCell<IndexMap<ServiceName, Vec<u16>>>,
    /// Notified when an endpoint has crashed, so that other instances learn of it at once.
    pub crash_seen: Notify,
    /// Signs of work that crashed endpoints, or that ran to its end, since the last report.
    signs: RefCell<Vec<Sign>>,
    /// What endpoints stated since the last report.
    unreported: RefCell<Unreported>,
    /// Queries to `control`.
    pub control: ControlClient,
    /// Name of this instance.
    pub instance: InstanceName,
    /// Neighbors to which nothing is passed on, and until when.
    avoided_neighbors: RefCell<IndexMap<SocketAddr, Mono>>,
    /// Whether no endpoint answers this instance.
    cut_off: watch::Sender<bool>,
    connections: Cell<u32>,
    phase: watch::Sender<Phase>,
    pub traffic: TrafficSettings,
    cut_lines: CutLines,
    /// Requests that are begun before earlier ones of their connections are answered.
    pipelined: Cell<u32>,
}

#[derive(Debug)]
struct RouteStats {
    /// First service of the route.
    service: Option<ServiceName>,
    mean_ms: f64,
    /// Mean size of an answer, in bytes; `None` before the first answer.
    mean_bytes: Option<f64>,
    /// Longest wait that a caller has stated, in milliseconds.
    longest_wait_ms: u64,
    /// Requests of the route so far; the count assigns each request to one of its targets.
    requests: u64,
}

/// Estimates for a request of a route.
#[derive(Debug, Clone, Copy)]
pub(super) struct RouteEstimate {
    /// Number of the request within its route.
    pub number: u64,
    /// Mean time of work, in milliseconds.
    pub work_ms: u64,
    /// Mean size of an answer, in bytes.
    pub answer_bytes: u64,
}

impl State {
    pub(super) fn new(
        cfg: &InstanceSettings,
        views: Views,
        stop: watch::Receiver<Stop>,
        metrics: Metrics,
        control: ControlClient,
    ) -> Self {
        let dialer = Dialer {
            source: cfg.endpoint_source,
        };
        let budget = MemoryBudget::new(cfg.memory_mb, cfg.traffic.memory_percent);
        Self {
            view: views.view,
            trust: views.trust,
            stop,
            pool: RefCell::default(),
            open_requests: Rc::new(OpenRequests::new(metrics.clone())),
            memory: Memory::new(budget, metrics.clone()),
            write_stall_ms: cfg.traffic.write_stall_ms,
            metrics,
            dialer,
            listener_probes: ListenerProbes::new(dialer),
            admission: RefCell::new(
                Admission::new(cfg.traffic.timed_choice)
                    .with_fleet_admission(cfg.traffic.fleet_admission),
            ),
            decides_by_fleet: Cell::new(false),
            timed_services: RefCell::default(),
            waiting: RefCell::default(),
            waiting_added: Notify::new(),
            last_ticket: Cell::new(0),
            retry_limit: cfg.retries,
            drain_ms: cfg.drain_ms,
            cold_overage: cfg.cold_overage,
            retry_budgets: RefCell::new(RetryBudgets::new(clock::mono(), cfg.retries)),
            route_stats: RefCell::default(),
            answers: RefCell::default(),
            key_samples: RefCell::default(),
            crash_seen: Notify::new(),
            signs: RefCell::default(),
            unreported: RefCell::default(),
            control,
            instance: cfg.instance.clone(),
            avoided_neighbors: RefCell::default(),
            cut_off: watch::Sender::new(false),
            connections: Cell::new(0),
            phase: watch::Sender::new(Phase::Serving),
            traffic: cfg.traffic,
            cut_lines: CutLines::default(),
            pipelined: Cell::new(0),
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

    pub(super) fn next_ticket(&self) -> u64 {
        self.last_ticket.set(self.last_ticket.get() + 1);
        self.last_ticket.get()
    }

    /// Counts a request of a route and returns the estimates for it.
    pub(super) fn record_arrival(&self, route: &Route) -> RouteEstimate {
        let mut stats = self.route_stats.borrow_mut();
        // Instances start at different numbers, so that the requests divide well over the
        // targets even if each instance gets few of them.
        let new_stats = || RouteStats {
            service: route.targets.first().map(|target| target.service.clone()),
            // Initial guess; the mean follows the answers.
            mean_ms: route.objective_ms as f64 * 0.3,
            mean_bytes: None,
            longest_wait_ms: 0,
            requests: self.view.borrow().rank % 1_000,
        };
        let entry = stats.entry(route.name.clone()).or_insert_with(new_stats);
        entry.requests += 1;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "times and sizes are positive and far below the range"
        )]
        let whole = |mean: f64| mean as u64;
        RouteEstimate {
            number: entry.requests,
            work_ms: whole(entry.mean_ms),
            answer_bytes: whole(entry.mean_bytes.unwrap_or_default()),
        }
    }

    /// Records the wait that a caller states and returns the longest one seen on the route, in
    /// milliseconds.
    pub(super) fn record_wait(&self, route: &str, stated_ms: u64) -> u64 {
        let mut stats = self.route_stats.borrow_mut();
        let Some(stats) = stats.get_mut(route) else {
            return stated_ms;
        };
        stats.longest_wait_ms = stats.longest_wait_ms.max(stated_ms);
        stats.longest_wait_ms
    }

    pub(super) fn count_key(&self, service: &ServiceName, key: u16) {
        let mut keys = self.key_samples.borrow_mut();
        let list = keys.entry(service.clone()).or_default();
        if list.len() < MAX_KEYS {
            list.push(key);
        }
    }

    /// Requests a place at an endpoint and waits for it if none is free.
    ///
    /// Returns `None` if no decision was made.
    pub(super) async fn find_place(&self, job: Job) -> Option<Decision> {
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
        self.waiting_added.notify_one();
        let mut waiting = Waiting {
            state: self,
            ticket,
            decided: rx,
        };
        (&mut waiting.decided).await.ok()
    }

    /// Time after which an endpoint that has a request counts as silent, in milliseconds; `None` if
    /// the request may go to no other one.
    pub(super) fn silent_after_ms(
        &self,
        job: &Job,
        endpoint: &EndpointStart,
        objective_ms: u64,
    ) -> Option<u64> {
        let admission = self.admission.borrow();
        admission.silent_after_ms(clock::mono(), job, endpoint, objective_ms)
    }

    /// Finds another place that is free now for a request that is still at the endpoints `open_at`.
    pub(super) fn find_another(&self, job: &Job, open_at: &[EndpointStart]) -> Option<Decision> {
        let mut admission = self.admission.borrow_mut();
        admission.find_another(clock::mono(), &self.view.borrow(), job, open_at)
    }

    /// Holds the place of a sent request until the guard is dropped.
    pub(super) fn in_flight(self: &Rc<Self>, choice: &Choice, ticket: u64) -> InFlight {
        InFlight {
            state: Rc::clone(self),
            endpoint: choice.endpoint.clone(),
            ticket,
        }
    }

    /// Records a complete answer, its size in bytes and its time in milliseconds.
    pub(super) fn record_served(
        &self,
        route: &str,
        endpoint: &EndpointStart,
        took_ms: u64,
        bytes: usize,
    ) {
        let took = took_ms as f64;
        let mut stats = self.route_stats.borrow_mut();
        let Some(stats) = stats.get_mut(route) else {
            return;
        };
        let relative = took / stats.mean_ms.max(1.0);
        stats.mean_ms += (took - stats.mean_ms) * MEAN_WEIGHT;
        let mean = stats.mean_bytes.unwrap_or(bytes as f64);
        stats.mean_bytes = Some(mean + (bytes as f64 - mean) * MEAN_WEIGHT);
        let mut answers = self.answers.borrow_mut();
        let sum = answers.entry(EndpointTag::of(endpoint)).or_default();
        sum.served += 1.0;
        sum.relative += relative;
    }

    /// Records that the endpoint ran a request and answered.
    pub(super) fn record_answer(&self, choice: &Choice, key: Option<u16>) {
        self.admission
            .borrow_mut()
            .record_answer(clock::mono(), choice, key);
    }

    /// Records the load that an endpoint of a service without keys states in its answer.
    pub(super) fn record_load(
        &self,
        job: &Job,
        endpoint: &EndpointStart,
        load: Option<EndpointLoad>,
    ) {
        let mut admission = self.admission.borrow_mut();
        if let Some(load) = load {
            admission.record_stated_load(clock::mono(), endpoint, load);
        }
        admission.record_load(&self.view.borrow(), &job.service, load);
    }

    /// Records that an endpoint of a service without keys had no room.
    pub(super) fn record_rejection(&self, job: &Job) {
        let mut admission = self.admission.borrow_mut();
        admission.record_rejection(clock::mono(), &self.view.borrow(), &job.service);
    }

    /// Whether an endpoint has announced that it leaves, or is not listed.
    pub(super) fn has_left(&self, endpoint: &EndpointStart) -> bool {
        self.has_left_in(&self.view.borrow(), endpoint)
    }

    /// The same by a view that is borrowed already: to borrow it twice deadlocks if it is published
    /// in between.
    pub(super) fn has_left_in(&self, view: &View, endpoint: &EndpointStart) -> bool {
        self.admission.borrow().has_left(view, endpoint)
    }

    /// Whether an endpoint that is listed has announced that it leaves.
    pub(super) fn is_draining(&self, endpoint: &EndpointStart) -> bool {
        let view = self.view.borrow();
        view.registry.get(endpoint).is_some() && self.has_left_in(&view, endpoint)
    }

    /// Whether an admitted request may still be sent to the endpoint that was chosen for it.
    pub(super) fn may_send(&self, job: &Job, choice: &Choice) -> bool {
        let admission = self.admission.borrow();
        admission.may_send(clock::mono(), &self.view.borrow(), job, choice)
    }

    /// Records that another process has the endpoint's address.
    pub(super) fn record_replaced(&self, endpoint: &EndpointStart) {
        self.admission
            .borrow_mut()
            .record_replaced(clock::mono(), endpoint);
    }

    /// Records that the endpoint failed or refused a request.
    pub(super) fn record_failure(&self, endpoint: &EndpointStart) {
        // Where no endpoint answers, the fault is this instance's own, and other instances are not
        // told of it as the endpoint's.
        if self.is_cut_off() {
            return;
        }
        let mut answers = self.answers.borrow_mut();
        answers.entry(EndpointTag::of(endpoint)).or_default().failed += 1.0;
    }

    /// Records that the endpoint accepted no connection.
    pub(super) fn record_unreachable(&self, endpoint: &EndpointStart) {
        self.record_failure(endpoint);
        self.admission
            .borrow_mut()
            .record_failure(clock::mono(), endpoint);
    }

    /// Records that the endpoint reset a connection.
    pub(super) fn record_reset(&self, endpoint: &EndpointStart) {
        self.record_failure(endpoint);
        self.admission
            .borrow_mut()
            .record_reset(clock::mono(), endpoint);
    }

    /// Requests a second that all instances together may send to the endpoint. `None` if it is
    /// not cold or its service states no limit.
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

    /// Records that a cold endpoint takes no requests for a while.
    pub(super) fn hold_back_cold(&self, endpoint: &EndpointStart, for_ms: u64) {
        let until = clock::mono().plus(for_ms);
        self.admission.borrow_mut().hold_back_cold(endpoint, until);
    }

    /// Records that the endpoint does not hold the key.
    pub(super) fn record_not_held(&self, job: &Job, fence: u64) {
        let mut admission = self.admission.borrow_mut();
        admission.record_not_held(clock::mono(), &self.view.borrow(), job, fence);
    }

    pub(super) fn update_view(&self) {
        let now = clock::mono();
        self.admission
            .borrow_mut()
            .update_view(now, &self.view.borrow());
        self.advance_retries(now);
        self.log_timed_services();
        self.decide_waiting();
    }

    /// Limits the deadlines of waiting requests to `end`, so that they end before the process does.
    pub(super) fn limit_deadlines(&self, end: Mono) {
        self.admission.borrow_mut().limit_deadlines(end);
        self.decide_waiting();
    }

    /// Whether a request with this deadline is refused, because the instance is stopping and may have
    /// to break it off.
    pub(super) fn is_too_late(&self, deadline: Mono) -> bool {
        self.is_closing() && self.admission.borrow().ends_before(deadline)
    }

    /// Number of requests that wait at this instance.
    pub(super) fn waiting_count(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Resolves once a request waits.
    pub(super) async fn wait_for_waiting(&self) {
        while self.waiting.borrow().is_empty() {
            self.waiting_added.notified().await;
        }
    }

    /// Decides which waiting requests get a place or are refused.
    pub(super) fn decide_waiting(&self) {
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
                let mut admission = self.admission.borrow_mut();
                admission.record_finished(&choice.endpoint);
                admission.withdraw_ask(ticket);
                admission.release_bytes(ticket);
            }
        }
    }

    /// Keeps what a report that could not be sent says once only, for the next report.
    pub(super) fn restore_report(&self, report: TrafficReport) {
        self.signs.borrow_mut().extend(report.signs);
        self.restore_departures(&report.departures);
    }

    /// Records that an endpoint crashed while it had the work.
    pub(super) fn record_crash(&self, work: Fingerprint, endpoint: &EndpointStart) {
        self.metrics.count_crash();
        let endpoint = EndpointTag::of(endpoint);
        self.signs.borrow_mut().push(Sign::Crash { work, endpoint });
        self.crash_seen.notify_one();
    }

    /// Records that an endpoint ran work under suspicion to its end.
    pub(super) fn record_cleared(&self, work: Fingerprint) {
        let sign = Sign::Answered { work };
        let mut signs = self.signs.borrow_mut();
        if !signs.contains(&sign) {
            signs.push(sign);
        }
    }

    pub(super) fn track_connection(self: &Rc<Self>) -> OpenConnection {
        self.connections.set(self.connections.get() + 1);
        OpenConnection(Rc::clone(self))
    }

    pub(super) fn open_connections(&self) -> u32 {
        self.connections.get()
    }

    /// Logs the number of open connections and of requests at each stage.
    pub(super) fn log_open_requests(&self, message: &str) {
        self.open_requests
            .log_counts(message, self.open_connections());
    }

    /// Enters a later phase of the stop.
    pub(super) fn enter_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Whether no more requests are accepted because the instance is stopping.
    pub(super) fn is_closing(&self) -> bool {
        *self.phase.borrow() >= Phase::Closing
    }

    /// Resolves once the instance has reached a phase.
    pub(super) async fn wait_for_phase(&self, phase: Phase) {
        let mut phases = self.phase.subscribe();
        if phases.wait_for(|now| *now >= phase).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
