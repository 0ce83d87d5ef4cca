//! Follows the store, tells the other instances what is in flight and keeps keys.

mod cluster;
mod copies;
mod duty;
mod entries;
mod hearing;
mod kept_rows;
mod orders;
mod own_rows;
mod peers;
mod placing;
mod reporting;
mod store;
mod unusable;

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use citronway_core::gateway::admission::View;
use citronway_core::gateway::leader::{Order, OrderResult, WriteResult};
use citronway_core::gateway::report;
use citronway_core::gateway::rows::{Relay, Table};
use citronway_core::gateway::settings::InstanceSettings;
use citronway_core::ids::{ServiceName, Session};
use citronway_core::time::Mono;
use citronway_platform::store::{Change, Refused};
use citronway_wire::report as datagram;
use tokio::net::UdpSocket;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

use cluster::{Cluster, StoreSight};
use copies::CopyError;
use duty::Duty;
use orders::OrderClient;
use peers::InstanceRow;
use store::{Follow, Follower, News, Store, StoreError};

pub(super) use unusable::Source;

use crate::clock;
use crate::gateway::metrics::Metrics;
use crate::gateway::ready::{self, Ready};
use crate::gateway::run;
use crate::gateway::traffic::{Seen, Stop};

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(25);

/// Time after the start in which the leader's relays are waited for, in milliseconds:
/// its election takes up to 1 s where all instances start together, and changes have to
/// be in force within 2 s.
const FIRST_REST_MS: u64 = 1_200;

/// How long this instance rests on after the leader has stopped to pass rows on, in
/// milliseconds.
///
/// Load: a leader that is lost had each of 89 instances ask for three tables at once, 640
/// calls. A successor is there 0.4 s after the silence is noticed; changes have to be in
/// force within 2 s.
const UNTOLD_REST_MS: u64 = 700;

/// Instances up to which all of them ask a silent store at the usual pace; with more, those
/// that do not watch it ask so much less often.
const ASK_OFTEN_UP_TO: u64 = 12;

/// Places in the ring of events of this thread's own tasks.
const EVENTS: usize = 1_024;

/// Something that a task of this thread has to tell.
#[derive(Debug)]
enum Event {
    /// News of a table; the call was sent at `asked`.
    Store {
        table: Table,
        news: News,
        asked: Mono,
    },
    /// An order was carried out or not.
    Ordered { order: Order, result: OrderResult },
    /// A write of an assignment has ended.
    Wrote {
        service: ServiceName,
        result: WriteResult,
    },
    /// A claim has ended; the row that stands comes by the feed.
    Claimed,
    /// The row of this instance stands.
    Registered,
    /// Another instance asks for a table.
    CopyAsked {
        table: Table,
        reply: oneshot::Sender<Vec<u8>>,
    },
    /// An instance that was asked for a table has answered or not.
    Copied {
        table: Table,
        copy: Result<Relay, CopyError>,
    },
}

/// Signals that an instance listens for.
#[derive(Debug)]
pub(super) struct Signals {
    terminate: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Begins to listen, on the present runtime.
    ///
    /// Failure guarded against: a signal comes when callers are taken already and ends the
    /// process, and their connections with it. So this comes before the traffic starts.
    pub(super) fn listen() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }
}

/// What joins the control duty to the traffic and to the process.
#[derive(Debug)]
pub(super) struct Ends {
    /// What the traffic decides by.
    pub view: watch::Sender<View>,
    /// What it saw.
    pub seen: mpsc::Receiver<Seen>,
    /// Tells it to stop.
    pub stop: watch::Sender<Stop>,
    /// Signals to this process.
    pub signals: Signals,
}

/// The control duty of one instance.
#[derive(Debug)]
pub(super) struct Control {
    cfg: InstanceSettings,
    me: Session,
    settings: PathBuf,
    ready: Ready,
    metrics: Metrics,
    view: watch::Sender<View>,
    seen: mpsc::Receiver<Seen>,
    stop: watch::Sender<Stop>,
    signals: Signals,
    cluster: Cluster,
    duty: Duty,
    orders: OrderClient,
    reports: u64,
    /// What was seen since the last report to the leader, and since that to the others.
    unreported: [report::Seen; 2],
    follows: [(Table, Arc<Follow>); 3],
    started: Mono,
    stopping: bool,
    /// It was the leader at the last look.
    kept: bool,
    /// When a leader last passed rows on.
    told_at: Mono,
    /// Tables that another instance was asked for.
    copying: Vec<Table>,
}

impl Control {
    pub(super) fn new(
        cfg: InstanceSettings,
        me: Session,
        settings: PathBuf,
        ready: Ready,
        metrics: Metrics,
        ends: Ends,
    ) -> Self {
        let started = clock::mono();
        Self {
            cluster: Cluster::new(&cfg),
            duty: Duty::new(me.clone(), cfg.strength, started),
            cfg,
            me,
            settings,
            ready,
            metrics,
            view: ends.view,
            seen: ends.seen,
            stop: ends.stop,
            signals: ends.signals,
            orders: OrderClient::default(),
            reports: 0,
            unreported: Default::default(),
            follows: Table::ALL.map(|table| (table, Follow::new())),
            started,
            stopping: false,
            kept: false,
            told_at: Mono::default(),
            copying: Vec::new(),
        }
    }

    /// Runs until the traffic has ended.
    pub(super) async fn run(self) -> io::Result<()> {
        let local = tokio::task::LocalSet::new();
        local.run_until(self.run_local()).await
    }

    async fn run_local(mut self) -> io::Result<()> {
        let listener = ready::bind(self.cfg.ready).await?;
        tokio::spawn(ready::serve(listener, self.ready.clone()));
        match ready::bind(self.cfg.metrics).await {
            Ok(listener) => {
                tokio::spawn(ready::serve_metrics(listener, self.metrics.clone()));
            }
            // Callers are served without anyone looking on.
            Err(e) => log::error!(cause = e.to_string(); "metrics are not served"),
        }
        let socket = UdpSocket::bind(self.cfg.reports).await?;
        let (events_tx, mut events) = mpsc::channel(EVENTS);
        let copies = ready::bind(self.cfg.reports).await?;
        tokio::spawn(copies::serve(copies, events_tx.clone()));
        self.follow_tables(&events_tx);
        tokio::spawn(register(
            self.cfg.clone(),
            self.me.clone(),
            events_tx.clone(),
        ));
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buf = vec![0; datagram::MAX_DATAGRAM];
        loop {
            tokio::select! {
                seen = self.seen.recv() => match seen {
                    Some(seen) => self.account(&socket, &seen),
                    None => return Ok(()),
                },
                Some(event) = events.recv() => self.take(&socket, event),
                Ok((len, from)) = socket.recv_from(&mut buf) => {
                    self.datagram_came(&buf[..len], from);
                }
                _ = self.signals.terminate.recv() => self.stop(),
                _ = self.signals.hang_up.recv() => self.reload(),
                _ = ticks.tick() => {}
            }
            self.work(&events_tx);
        }
    }

    fn follow_tables(&self, events: &mpsc::Sender<Event>) {
        for (table, follow) in &self.follows {
            let follower = Follower {
                table: *table,
                address: self.cfg.store,
                events: events.clone(),
                follow: Arc::clone(follow),
            };
            tokio::spawn(follower.run());
        }
    }

    fn follow(&self, table: Table) -> &Follow {
        match table {
            Table::Config => &self.follows[0].1,
            Table::Endpoints => &self.follows[1].1,
            Table::Own => &self.follows[2].1,
        }
    }

    fn take(&mut self, socket: &UdpSocket, event: Event) {
        let now = clock::mono();
        match event {
            Event::Store { table, news, asked } => {
                self.metrics.polled(table, matches!(news, News::Lost(_)));
                if let News::Changed { relay, .. } = &news {
                    self.pass_on(socket, relay);
                }
                if self.cluster.news(now, table, news) == StoreSight::Regained {
                    self.ask_all();
                }
                if table == Table::Own {
                    self.duty.rows_seen(now, asked, &self.cluster);
                }
            }
            Event::Ordered { order, result } => {
                self.metrics.ordered(&order.kind, &result);
                self.duty.ordered(now, &order, &result);
            }
            Event::Wrote { service, result } => self.duty.wrote(now, &service, result),
            Event::Claimed => {
                self.duty.claim_ended();
                // One that rests has nobody yet who would pass the row on.
                self.follow(Table::Own).refresh.notify_one();
            }
            Event::Registered => log::info!("instance is listed in the store"),
            Event::CopyAsked { table, reply } => self.give_copy(table, reply),
            Event::Copied { table, copy } => self.copied(now, table, copy),
        }
    }

    /// Has tables that were not answered asked for now.
    fn ask_all(&self) {
        for (table, follow) in &self.follows {
            if self.cluster.is_lost(*table) {
                follow.refresh.notify_one();
            }
        }
    }

    /// Does what is due.
    fn work(&mut self, events: &mpsc::Sender<Event>) {
        let now = clock::mono();
        self.cluster.expire(now);
        let due = self.duty.step(now, &mut self.cluster, self.stopping);
        for (_, follow) in &self.follows {
            follow.wait_ms.store(due.wait_ms, Ordering::Relaxed);
        }
        self.rest_or_poll(now);
        for order in due.orders {
            self.orders.start(order, events.clone());
        }
        self.metrics.wrote(due.writes.len());
        for write in due.writes {
            let address = self.cfg.store;
            let events = events.clone();
            tokio::spawn(async move {
                let result = write_row(address, &write).await;
                let service = write.service;
                // Nobody is left to be told when the process ends.
                let _ = events.send(Event::Wrote { service, result }).await;
            });
        }
        if let Some(claim) = due.claim {
            let address = self.cfg.store;
            let events = events.clone();
            tokio::spawn(async move {
                match Store::new(address).change(&claim).await {
                    Ok(version) => log::info!(version = version.0; "leader row written"),
                    Err(e) => log::info!(cause = e.to_string(); "leader row not written"),
                }
                let _ = events.send(Event::Claimed).await;
            });
        }
        for (source, count) in self.cluster.unusable.take_counts() {
            self.metrics.unusable(source, count);
        }
        if self.cluster.take_changed() {
            self.publish(now);
        }
        self.refresh_stale(now, events);
        let ready = !self.stopping && self.cluster.is_ready(now);
        if self.ready.set(ready) {
            log::info!(ready; "readiness changed");
        }
    }

    fn publish(&mut self, now: Mono) {
        let view = self.cluster.view(now);
        self.view.send_replace(view);
    }

    /// Has tables read anew of which others have seen newer versions for a while, or copied
    /// from one of them where the store does not answer.
    fn refresh_stale(&mut self, now: Mono, events: &mpsc::Sender<Event>) {
        for table in self.cluster.stale_tables(now) {
            log::info!(table = table.word(); "others see newer rows, asking anew");
            self.follow(table).refresh.notify_one();
            if self.cluster.needs_copy(table) {
                self.ask_for_copy(now, table, events);
            }
        }
    }

    /// Rests while a fit leader passes rows on, and asks the store otherwise.
    fn rest_or_poll(&mut self, now: Mono) {
        let keeps = self.duty.in_office();
        // A leader that is there is heard within a moment; polls of all instances that
        // start together would be answered anew with each one that lists itself.
        let begins_to_hear = now.since(self.started) < FIRST_REST_MS;
        let is_told = self.is_told(now);
        let rests = !keeps && (begins_to_hear || is_told);
        // A poll that began before this instance kept waits for longer than a leader
        // may go without being confirmed.
        let begins = keeps && !self.kept;
        self.kept = keeps;
        for (_, follow) in &self.follows {
            let before = follow.resting.swap(rests, Ordering::Relaxed);
            if begins || (before && !rests) {
                follow.refresh.notify_one();
            }
        }
    }

    /// Whether a leader passes rows on, or the next one can be waited for.
    fn is_told(&mut self, now: Mono) -> bool {
        if self.cluster.is_told(now) {
            self.told_at = now;
            return true;
        }
        let watches = self.duty.in_office() || self.duty.watches(now, &self.cluster);
        let patience = if watches {
            1
        } else {
            let instances = self.cluster.peers.heard(now) as u64;
            instances.div_ceil(ASK_OFTEN_UP_TO).max(1)
        };
        for (_, follow) in &self.follows {
            follow.patience.store(patience, Ordering::Relaxed);
        }
        !watches && now.since(self.told_at) < UNTOLD_REST_MS
    }

    fn stop(&mut self) {
        if self.stopping {
            return;
        }
        // Settings may change without a signal, and the process ends by their grace.
        self.reload();
        let grace_ms = self.cfg.grace_ms;
        log::info!(grace_ms; "asked to stop");
        self.stopping = true;
        self.stop.send_replace(Stop::Within { grace_ms });
    }

    fn reload(&mut self) {
        match run::load(&self.settings) {
            Ok(cfg) if cfg == self.cfg => log::info!("settings read again, unchanged"),
            Ok(cfg) => {
                // Addresses are those of the listening sockets and stay.
                log::info!("settings read again, changed; addresses stay until a restart");
                self.cfg.second_sends = cfg.second_sends;
                self.cfg.grace_ms = cfg.grace_ms;
            }
            Err(e) => log::error!(cause = e.to_string(); "settings stay as they are"),
        }
        let up_ms = clock::mono().since(self.started);
        log::info!(up_ms; "reload done");
    }
}

async fn write_row(address: std::net::SocketAddr, write: &duty::RowWrite) -> WriteResult {
    match Store::new(address).change(&write.change).await {
        Ok(version) => WriteResult::Done(write.row.clone(), version),
        Err(StoreError::Refused(Refused::Conflict)) => WriteResult::Conflict,
        Err(StoreError::Refused(Refused::Busy(_))) => WriteResult::NotDone,
        Err(StoreError::Call(e)) if e.nothing_sent() => WriteResult::NotDone,
        Err(e) => {
            log::info!(cause = e.to_string(); "outcome of a write is not known");
            WriteResult::Unknown
        }
    }
}

/// Writes the row by which other instances find this one, until it stands.
async fn register(cfg: InstanceSettings, me: Session, events: mpsc::Sender<Event>) {
    let row = InstanceRow {
        session: me.clone(),
        address: cfg.reports,
        zone: cfg.zone.clone(),
    };
    let value = match serde_json::to_vec(&row) {
        Ok(value) => value,
        Err(e) => {
            log::error!(cause = e.to_string(); "instance cannot be listed");
            return;
        }
    };
    let change = Change {
        unless_changed: Vec::new(),
        put: vec![(own_rows::instance_key(&me.instance), value)],
    };
    let mut store = Store::new(cfg.store);
    while let Err(e) = store.change(&change).await {
        log::info!(cause = e.to_string(); "instance not yet listed in the store");
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let _ = events.send(Event::Registered).await;
}
