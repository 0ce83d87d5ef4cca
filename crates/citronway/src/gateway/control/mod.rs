//! The control task: polls the store, shares load and rows with the other instances, and as
//! the leader grants keys to endpoints.

mod byte_bounds;
mod cluster;
mod cold;
mod confirming;
mod copies;
mod crashes;
mod divided;
mod duty;
mod entries;
mod eras;
mod first;
mod following;
mod hearing;
mod kept_rows;
mod limits;
mod orders;
mod own_rows;
mod peers;
mod placing;
mod reporting;
mod signals;
mod statements;
mod store;
mod store_era;
mod trials;
mod unusable;

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use citronway_core::gateway::admission::View;
use citronway_core::gateway::freshness::Trust;
use citronway_core::gateway::leader::{Order, OrderResult, WriteResult};
use citronway_core::gateway::report;
use citronway_core::gateway::rows::{Relay, Table};
use citronway_core::gateway::settings::InstanceSettings;
use citronway_core::gateway::tree::{Branch, GatheredReports, Tree, TreePosition};
use citronway_core::gateway::version::RowVersion;
use citronway_core::ids::{InstanceName, ServiceName, Session};
use citronway_core::time::Mono;
use citronway_platform::DecodeError;
use citronway_platform::store::StoreRefusal;
use citronway_wire::report as datagram;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

use cluster::{Cluster, StoreStatus};
use cold::ColdSendState;
use copies::CopyError;
use duty::Leadership;
use first::Registration;
use limits::LimitedSendState;
use orders::OrderClient;
use signals::Signalled;
use store::{PollControl, Store, StoreError, TableUpdate};
use store_era::StoreAccess;
use trials::TrialState;

pub(super) use signals::Signals;
pub(super) use unusable::Source;

use crate::clock;
use crate::gateway::http_link::Dialer;
use crate::gateway::metrics::Metrics;
use crate::gateway::ready::{self, Ready};
use crate::gateway::run;
use crate::gateway::traffic::{ColdQuery, LimitedSendQuery, Stop, TrafficReport, TrialEvent};
use crate::gateway::wrong_answer::{AnswerTo, WrongAnswer};

/// Longest time between two runs of [`Control::run_due`], on the leader and on all other
/// instances.
const LEADER_TICK: Duration = Duration::from_millis(25);
const TICK: Duration = Duration::from_millis(100);

/// Number of assigned ranges that adds a millisecond to the shortest time between two runs
/// of [`Control::run_due`].
///
/// Load: a leader of 720 endpoints gets 1,000 answers and reports a second. Going through
/// all ranges after each of them took 0.1 of a core; at most 180 times a second takes 0.02.
const RANGES_PER_MS: usize = 150;

/// Capacity of the channel of events from tasks on this thread.
const EVENT_CAPACITY: usize = 1_024;

/// A result that a task on this thread reports to the control loop.
#[derive(Debug)]
enum Event {
    /// The store answered a poll of a table, or failed to; the poll was sent at `sent_at`, and
    /// the answer was true at `current_at` or later.
    Store {
        table: Table,
        update: TableUpdate,
        sent_at: Mono,
        current_at: Mono,
    },
    /// An order was carried out, or failed.
    OrderDone {
        order: Order,
        result: OrderResult,
        /// Whether the answer stated that the endpoint leaves.
        leaving: Result<bool, DecodeError>,
        /// What the endpoint sent in place of an answer.
        wrong: Option<WrongAnswer>,
    },
    /// A write of an assignment has ended.
    WriteDone {
        service: ServiceName,
        result: WriteResult,
    },
    /// A claim has ended. The row that is stored comes by the next poll.
    ClaimDone { is_refused: bool },
    /// A write of the row about crashes has ended.
    CrashesWritten { done: bool },
    /// The row of this instance is written.
    Registered,
    /// Another instance requests the rows of a table that are newer than a version.
    CopyRequested {
        table: Table,
        after: RowVersion,
        reply: oneshot::Sender<Vec<u8>>,
    },
    /// A request to another instance for a copy of a table has ended.
    CopyDone {
        table: Table,
        requested_at: Mono,
        copy: Result<Relay, CopyError>,
    },
}

/// Channels between the control task, the traffic thread and the process.
#[derive(Debug)]
pub(super) struct Channels {
    /// The view by which the traffic thread decides.
    pub view: watch::Sender<View>,
    /// How far the traffic thread may rely on the configuration.
    pub trust: watch::Sender<Trust>,
    /// Load that the traffic thread observed.
    pub seen: mpsc::Receiver<TrafficReport>,
    /// Requests of the traffic thread about trials of suspect work.
    pub trials: mpsc::Receiver<TrialEvent>,
    /// Requests of the traffic thread about cold endpoints.
    pub cold: mpsc::Receiver<ColdQuery>,
    /// Requests of the traffic thread about endpoints that state a limit.
    pub limited: mpsc::Receiver<LimitedSendQuery>,
    /// Stops the traffic thread.
    pub stop: watch::Sender<Stop>,
    /// Signals to this process.
    pub signals: Signals,
}

/// The control task of one instance.
#[derive(Debug)]
pub(super) struct Control {
    cfg: InstanceSettings,
    me: Session,
    store: StoreAccess,
    settings: PathBuf,
    ready: Ready,
    metrics: Metrics,
    view: watch::Sender<View>,
    trust: watch::Sender<Trust>,
    seen: mpsc::Receiver<TrafficReport>,
    trial_events: mpsc::Receiver<TrialEvent>,
    trials: TrialState,
    cold_queries: mpsc::Receiver<ColdQuery>,
    cold: ColdSendState,
    limited_queries: mpsc::Receiver<LimitedSendQuery>,
    limited: LimitedSendState,
    stop: watch::Sender<Stop>,
    signals: Signals,
    cluster: Cluster,
    leadership: Leadership,
    orders: OrderClient,
    report_number: u64,
    /// Load that was observed since the last report.
    unreported: report::Observations,
    /// Load that members reported since the last report of this delegate.
    gathered: GatheredReports,
    tree_position: TreePosition,
    tree: Tree,
    /// The instances to which this leader last sent totals, and when.
    branches: Vec<Branch>,
    totals_sent_at: Mono,
    /// The instances that claim first when this leader falls silent, and when they were
    /// chosen.
    standbys: (Vec<InstanceName>, Mono),
    polls: [(Table, Arc<PollControl>); 3],
    started: Mono,
    /// When no datagram was left to be received; later ones may have come at any time since.
    received_all_at: Mono,
    stopping: bool,
    /// When the grace of the stop ends.
    ends_by: Option<Mono>,
    /// This instance was the leader at the last run of [`Control::update_polling`].
    was_leader: bool,
    /// When a leader was last known to relay rows.
    relays_heard_at: Mono,
    /// Tables of which a copy was requested and has not come yet.
    pending_copies: Vec<Table>,
    /// Whether the store lists this instance.
    registration: Registration,
    /// When this process listed itself; `None` if it was listed before.
    registered_at: Option<Mono>,
    /// When it lists itself again after a restore of the store.
    relist_at: Option<Mono>,
}

impl Control {
    pub(super) fn new(
        cfg: InstanceSettings,
        me: Session,
        settings: PathBuf,
        ready: Ready,
        metrics: Metrics,
        channels: Channels,
    ) -> Self {
        let started = clock::mono();
        let orders = OrderClient::new(Dialer {
            source: cfg.endpoint_source,
        });
        Self {
            cluster: Cluster::new(&cfg),
            leadership: Leadership::new(
                me.clone(),
                cfg.strength,
                started.plus(first::register_after_ms(&cfg)),
            ),
            store: StoreAccess::new(cfg.store),
            cfg,
            me,
            settings,
            ready,
            metrics,
            view: channels.view,
            trust: channels.trust,
            seen: channels.seen,
            trial_events: channels.trials,
            trials: TrialState::default(),
            cold_queries: channels.cold,
            cold: ColdSendState::default(),
            limited_queries: channels.limited,
            limited: LimitedSendState::default(),
            stop: channels.stop,
            signals: channels.signals,
            orders,
            report_number: 0,
            unreported: report::Observations::default(),
            gathered: GatheredReports::default(),
            tree_position: TreePosition::default(),
            tree: Tree::default(),
            branches: Vec::new(),
            totals_sent_at: Mono::default(),
            standbys: (Vec::new(), Mono::default()),
            polls: Table::ALL.map(|table| (table, PollControl::new())),
            started,
            received_all_at: started,
            stopping: false,
            ends_by: None,
            was_leader: false,
            relays_heard_at: Mono::default(),
            pending_copies: Vec::new(),
            registration: Registration::NotStarted,
            registered_at: None,
            relist_at: None,
        }
    }

    /// Runs until the traffic thread has ended; returns when the grace of the stop ends, if one
    /// was asked for.
    pub(super) async fn run(self) -> io::Result<Option<Mono>> {
        let local = tokio::task::LocalSet::new();
        Box::pin(local.run_until(self.run_local())).await
    }

    async fn run_local(mut self) -> io::Result<Option<Mono>> {
        let listener = ready::bind(self.cfg.ready).await?;
        tokio::spawn(ready::serve(listener, self.ready.clone()));
        match ready::bind(self.cfg.metrics).await {
            Ok(listener) => {
                tokio::spawn(ready::serve_metrics(listener, self.metrics.clone()));
            }
            // Callers are served also without metrics.
            Err(e) => log::error!(cause = e.to_string(); "metrics are not served"),
        }
        let socket = UdpSocket::bind(self.cfg.reports).await?;
        let (events_tx, mut events) = mpsc::channel(EVENT_CAPACITY);
        let copies = ready::bind(self.cfg.reports).await?;
        tokio::spawn(copies::serve(copies, events_tx.clone()));
        self.start_polling(&events_tx);
        if self.awaits_copies() {
            // This is the first start: the store has no rows yet.
            self.register(&events_tx);
        }
        let mut buf = vec![0; datagram::MAX_DATAGRAM];
        let mut next_run = Instant::now();
        let mut not_before = next_run;
        loop {
            tokio::select! {
                seen = self.seen.recv() => match seen {
                    Some(seen) => self.report_traffic(&socket, &seen),
                    None => return Ok(self.ends_by),
                },
                Some(event) = events.recv() => self.on_event(&socket, &events_tx, event),
                Some(event) = self.trial_events.recv() => self.on_trial_event(&socket, event),
                Some(query) = self.cold_queries.recv() => self.on_cold_query(&socket, query),
                Some(query) = self.limited_queries.recv() => {
                    self.on_limited_query(&socket, query);
                }
                Ok(()) = socket.readable() => {}
                signal = self.signals.next() => self.on_signal(signal),
                () = sleep_until(next_run) => {}
            }
            self.receive_datagrams(&socket, &events_tx, &mut buf);
            let now = Instant::now();
            if now < not_before {
                next_run = not_before;
                continue;
            }
            self.run_due(&events_tx);
            self.step_trials(&socket);
            let ranges = self.cluster.ranges() / RANGES_PER_MS;
            not_before = now + Duration::from_millis(ranges as u64);
            next_run = now + self.tick_period();
        }
    }

    /// Time until the next run of [`Control::run_due`], unless an event comes before.
    fn tick_period(&self) -> Duration {
        if self.trials.is_waiting() {
            return Duration::from_millis(trials::RESEND_MS);
        }
        if self.leadership.is_leader() {
            return LEADER_TICK;
        }
        TICK
    }

    fn on_event(&mut self, socket: &UdpSocket, events: &mpsc::Sender<Event>, event: Event) {
        let now = clock::mono();
        match event {
            Event::Store {
                table,
                update,
                sent_at,
                current_at,
            } => {
                // Rows of a new era must not meet decisions of the earlier one.
                self.observe_era(now, "store");
                self.metrics
                    .count_poll(table, matches!(update, TableUpdate::Lost(_)));
                let is_full = matches!(update, TableUpdate::Loaded { .. });
                match &update {
                    TableUpdate::Changed { relay, .. } => self.relay_rows(now, socket, relay),
                    TableUpdate::Loaded { .. } | TableUpdate::Lost(_) => {}
                }
                let update = self.cluster.merge_update(now, table, update);
                if let TableUpdate::Loaded { rows, version, .. } = &update
                    && self.leadership.is_leader()
                {
                    let relay = self.cluster.changes_from_list(table, rows, *version);
                    self.relay_rows(now, socket, &relay);
                }
                let status = self.cluster.apply_update(now, table, update);
                if status == StoreStatus::Regained {
                    self.retry_lost_tables();
                }
                if table == Table::Config && status != StoreStatus::Lost {
                    self.confirm_by_store(now, current_at);
                }
                if table == Table::Own {
                    if self
                        .leadership
                        .apply_store_rows(now, sent_at, &self.cluster, is_full)
                    {
                        self.reload_table(Table::Own);
                    }
                    self.register(events);
                }
            }
            Event::OrderDone {
                order,
                result,
                leaving,
                wrong,
            } => {
                if let Some(wrong) = wrong {
                    self.metrics.wrong_answers.count(wrong, AnswerTo::Order);
                }
                match leaving {
                    Ok(true) => self.observe_departure_of(now, &order),
                    Ok(false) => {}
                    Err(e) => self.record_unusable_statement(&order, &e),
                }
                self.metrics.count_order(&order.kind, &result);
                self.leadership.on_order_done(now, &order, &result);
            }
            Event::WriteDone { service, result } => {
                self.metrics.count_write(&result);
                if let WriteResult::Done(row, version) = &result {
                    self.relay_write(now, socket, &service, row, *version);
                }
                self.leadership.on_write_done(now, &service, result);
            }
            Event::ClaimDone { is_refused } => {
                self.leadership.on_claim_done(is_refused);
                // A passive instance has no leader yet that would relay the row to it.
                self.poll_control(Table::Own).refresh.notify_one();
            }
            Event::CrashesWritten { done } => self.on_crashes_written(now, done),
            Event::Registered => {
                self.registration = Registration::Done;
                self.registered_at = Some(now);
                log::info!("instance is listed in the store");
            }
            Event::CopyRequested {
                table,
                after,
                reply,
            } => self.send_copy(table, after, reply),
            Event::CopyDone {
                table,
                requested_at,
                copy,
            } => self.on_copy_done(now, socket, table, requested_at, copy),
        }
    }

    /// Does what is due, publishes the view if it changed, and updates readiness.
    fn run_due(&mut self, events: &mpsc::Sender<Event>) {
        let now = clock::mono();
        self.cluster.expire(now);
        self.end_copy_wait(now);
        let due = self.leadership.step(now, &mut self.cluster, self.stopping);
        for (table, control) in &self.polls {
            let wait_ms = match table {
                Table::Config => due.wait_ms.min(self.cluster.freshness.read_interval_ms()),
                Table::Endpoints | Table::Own => due.wait_ms,
            };
            control.wait_ms.store(wait_ms, Ordering::Relaxed);
        }
        self.update_polling(now);
        for (service, progress) in &due.divisions {
            divided::log(service, progress);
            self.metrics.divisions.observe(progress);
        }
        for order in due.orders {
            self.orders.start(order, events.clone());
        }
        for write in due.writes {
            let store = self.store.clone();
            let events = events.clone();
            tokio::spawn(async move {
                let result = write_row(store, &write).await;
                let service = write.service;
                // The receiver is gone when the process ends.
                let _ = events.send(Event::WriteDone { service, result }).await;
            });
        }
        if let Some(claim) = due.claim {
            let store = self.store.clone();
            let events = events.clone();
            tokio::spawn(async move {
                let written = Store::new(store).change(&claim).await;
                let is_refused =
                    matches!(&written, Err(StoreError::Refused(StoreRefusal::Conflict)));
                match written {
                    Ok(version) => log::info!(version = version.number; "leader row written"),
                    Err(e) => log::info!(cause = e.to_string(); "leader row not written"),
                }
                let _ = events.send(Event::ClaimDone { is_refused }).await;
            });
        }
        self.step_crashes(now, events);
        self.step_cold(now);
        if let Some(version) = self.cluster.config_version() {
            self.metrics.set_config_version(version);
        }
        let (zones, ranges) = self.cluster.count_evacuated();
        self.metrics.set_evacuated(zones, ranges);
        self.observe_era(now, "store");
        self.relist(now, events);
        self.read_settled_tables(now);
        for (source, count) in self.cluster.unusable.take_counts() {
            self.metrics.count_unusable(source, count);
        }
        if self.cluster.take_changed() {
            self.publish(now);
        }
        self.refresh_stale_tables(now, events);
        self.fetch_unconfirmed_config(now, events);
        self.publish_trust(now);
        // Failure: this instance takes callers and is killed before the store lists it. It
        // starts again while the store is silent, and no other instance knows that it needs
        // rows.
        let known = self.registration == Registration::Done || self.cluster.store_lost();
        let ready = !self.stopping && known && self.cluster.is_ready(now);
        if self.ready.set(ready) {
            log::info!(ready; "readiness changed");
        }
    }

    fn publish(&mut self, now: Mono) {
        let mut view = self.cluster.view(now);
        if self.leadership.is_leader() {
            view.has_leader = !self.leadership.is_unfit(now, &self.cluster);
        }
        self.view.send_replace(view);
    }

    fn on_signal(&mut self, signal: Signalled) {
        match signal {
            Signalled::Stop => self.stop(),
            Signalled::Reload => self.reload(),
            Signalled::Nothing(signal) => log::warn!(signal; "a signal without effect"),
        }
    }

    fn stop(&mut self) {
        if self.stopping {
            return;
        }
        // Settings may have changed without a signal, and the grace of the stop comes from
        // them.
        self.reload();
        let grace_ms = self.cfg.grace_ms;
        log::info!(grace_ms; "asked to stop");
        self.ends_by = Some(clock::mono().plus(grace_ms));
        self.stopping = true;
        self.stop.send_replace(Stop::Within { grace_ms });
    }

    fn reload(&mut self) {
        match run::load(&self.settings) {
            Ok(cfg) if cfg == self.cfg => log::info!("settings read again, unchanged"),
            Ok(cfg) => {
                // Listening sockets are already bound, so changed addresses have no effect.
                log::info!("settings read again, changed; addresses stay until a restart");
                self.cfg.retries = cfg.retries;
                self.cfg.grace_ms = cfg.grace_ms;
            }
            Err(e) => log::error!(cause = e.to_string(); "settings not reloaded"),
        }
        let up_ms = clock::mono().since(self.started);
        log::info!(up_ms; "reload done");
    }
}

async fn write_row(store: StoreAccess, write: &duty::AssignmentWrite) -> WriteResult {
    match Store::new(store).change(&write.change).await {
        Ok(version) => WriteResult::Done(write.row.clone(), version),
        Err(StoreError::Refused(StoreRefusal::Conflict)) => WriteResult::Conflict,
        Err(StoreError::Refused(StoreRefusal::Busy(_))) => WriteResult::NotDone,
        Err(StoreError::Call(e)) if e.is_unsent() => WriteResult::NotDone,
        Err(e) => {
            log::info!(cause = e.to_string(); "outcome of an assignment write is unknown");
            WriteResult::Unknown
        }
    }
}
