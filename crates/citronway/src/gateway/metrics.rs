//! Metrics of an instance on the platform, as `OpenMetrics` text.
//!
//! The number of series does not grow with endpoints, routes or instances: requests are
//! labelled by whether they may be repeated, by rank, of which there are four, and by outcome.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use citronway_core::gateway::admission::{RefusalReason, UnknownOutcomeReason};
use citronway_core::gateway::cold::ColdGrant;
use citronway_core::gateway::crashes::{TrialGrant, Verdict};
use citronway_core::gateway::leader::{OrderKind, OrderResult, WriteResult};
use citronway_core::gateway::routes::{Repeat, Route};
use citronway_core::gateway::rows::Table;
use citronway_core::gateway::version::Era;
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::control::Source;
use super::division_metrics::DivisionMetrics;
use super::fleet_metrics::FleetMetrics;
use super::memory_metrics::MemoryMetrics;
use super::pipeline_metrics::PipelineMetrics;
use super::retry_metrics::RetryMetrics;
use super::statement_metrics::StatementMetrics;
use super::wrong_answer::WrongAnswerMetrics;
use crate::logs;

/// Buckets of the latency histograms, in seconds; objectives are 0.2 to 1.5 s.
const BOUNDS: [f64; 9] = [0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0];

/// Outcome of a request, as a label.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeKind {
    /// The endpoint answered.
    Answered,
    /// Refused without having run.
    NotRun(RefusalReason),
    /// It may have run.
    MayHaveRun(UnknownOutcomeReason),
    /// The request was invalid.
    Rejected,
}

impl OutcomeKind {
    const fn labels(self) -> (&'static str, &'static str) {
        match self {
            Self::Answered => ("answered", ""),
            Self::NotRun(reason) => ("not_run", reason.as_str()),
            Self::MayHaveRun(reason) => ("may_have_run", reason.as_str()),
            Self::Rejected => ("rejected", ""),
        }
    }
}

/// Class of a request, as labels.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Class {
    repeat: &'static str,
    rank: u8,
}

impl Class {
    /// Highest rank that is counted separately; requests of higher ranks are counted with it.
    const LAST_RANK: u8 = 3;

    /// Class of a request that ended before its route was known.
    pub const UNKNOWN: Self = Self {
        repeat: "unknown",
        rank: Self::LAST_RANK,
    };

    /// Class of requests on a route.
    #[must_use]
    pub fn of(route: &Route) -> Self {
        Self {
            repeat: match route.repeat {
                Repeat::Idempotent => "idempotent",
                Repeat::AtMostOnce => "at_most_once",
            },
            rank: route.priority.min(Self::LAST_RANK),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    repeat: &'static str,
    rank: u8,
    outcome: &'static str,
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrderLabels {
    order: &'static str,
    result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PollLabels {
    table: &'static str,
    result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct AnswerLabels {
    pub answer: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct VerdictLabels {
    verdict: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TimedLabels {
    urgency: &'static str,
    result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct UnusableLabels {
    source: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StageLabels {
    stage: &'static str,
}

/// All metrics; clones share their values.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Arc<Registry>,
    requests: Family<OutcomeLabels, Counter>,
    latency: Family<OutcomeLabels, Histogram>,
    wait: Family<Class, Histogram>,
    service: Family<Class, Histogram>,
    waiting: Gauge,
    in_flight: Gauge,
    connections: Gauge,
    unanswered: Family<StageLabels, Gauge>,
    callers_left: Family<StageLabels, Counter>,
    orders: Family<OrderLabels, Counter>,
    polls: Family<PollLabels, Counter>,
    writes: Family<AnswerLabels, Counter>,
    store_era: Gauge,
    unusable: Family<UnusableLabels, Counter>,
    crashes: Counter,
    verdicts: Family<VerdictLabels, Counter>,
    crash_suspects: Gauge,
    timed: Family<TimedLabels, Counter>,
    trials: Family<AnswerLabels, Counter>,
    cold: Family<AnswerLabels, Counter>,
    forwarded: Family<AnswerLabels, Counter>,
    cut_off: Gauge,
    config_version: Gauge,
    config_age: Gauge<f64, AtomicU64>,
    evacuated_zones: Gauge,
    evacuated_ranges: Gauge,
    /// Divisions of hot ranges.
    pub(super) divisions: DivisionMetrics,
    /// What endpoints state of themselves.
    pub(super) statements: StatementMetrics,
    /// Requests that arrive before earlier ones are answered.
    pub(super) pipeline: PipelineMetrics,
    /// Admission control across all instances.
    pub(super) fleet: FleetMetrics,
    /// Memory that callers' traffic uses.
    pub(super) memory: MemoryMetrics,
    /// Second sends.
    pub(super) retries: RetryMetrics,
    /// Answers of endpoints that were not those due.
    pub(super) wrong_answers: WrongAnswerMetrics,
}

/// Registers the metrics that have files of their own.
fn register_groups(
    registry: &mut Registry,
) -> (
    StatementMetrics,
    PipelineMetrics,
    FleetMetrics,
    MemoryMetrics,
    RetryMetrics,
    WrongAnswerMetrics,
) {
    (
        StatementMetrics::register(registry),
        PipelineMetrics::register(registry),
        FleetMetrics::register(registry),
        MemoryMetrics::register(registry),
        RetryMetrics::register(registry),
        WrongAnswerMetrics::register(registry),
    )
}

/// Registers the numbers of evacuated zones, and of ranges whose owners are there.
fn evacuation_gauges(registry: &mut Registry) -> (Gauge, Gauge) {
    let (zones, ranges) = (Gauge::default(), Gauge::default());
    let help = "Availability zones that are evacuated";
    registry.register("evacuated_zones", help, zones.clone());
    let help = "Ranges of keys whose owners are in evacuated zones";
    registry.register("evacuated_ranges", help, ranges.clone());
    (zones, ranges)
}

/// Registers the metrics of work that crashes endpoints.
fn crash_metrics(registry: &mut Registry) -> (Counter, Family<VerdictLabels, Counter>, Gauge) {
    let (crashes, verdicts, suspects) = (Counter::default(), Family::default(), Gauge::default());
    let help = "Requests whose endpoint crashed";
    registry.register("endpoint_crashes", help, crashes.clone());
    let help = "Work that was taken as harmful, and let go";
    registry.register("work_judged", help, verdicts.clone());
    let help = "Work that was at an endpoint that crashed, harmful or not";
    registry.register("crash_suspects", help, suspects.clone());
    (crashes, verdicts, suspects)
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("citronway");
        let requests = Family::default();
        registry.register("requests", "Requests by outcome", requests.clone());
        let histogram: fn() -> Histogram = || Histogram::new(BOUNDS);
        let latency = Family::new_with_constructor(histogram);
        registry.register("latency_seconds", "Time to the answer", latency.clone());
        let wait = Family::new_with_constructor(histogram);
        registry.register("wait_seconds", "Time until a place was found", wait.clone());
        let service = Family::new_with_constructor(histogram);
        registry.register("service_seconds", "Time at the endpoint", service.clone());
        let waiting = Gauge::default();
        registry.register("waiting", "Requests that wait for a place", waiting.clone());
        let in_flight = Gauge::default();
        registry.register("in_flight", "Requests at endpoints", in_flight.clone());
        let connections = Gauge::default();
        let help = "Open connections of callers";
        registry.register("connections", help, connections.clone());
        let unanswered = Family::default();
        let help = "Requests without a whole answer, by where they stand";
        registry.register("unanswered", help, unanswered.clone());
        let callers_left = Family::default();
        let help = "Requests whose callers left, by where they stood";
        registry.register("callers_left", help, callers_left.clone());
        let orders = Family::default();
        registry.register("orders", "Grants and releases by result", orders.clone());
        let polls = Family::default();
        registry.register("polls", "Polls of the store by result", polls.clone());
        let writes = Family::default();
        let help = "Writes of assignments, by the store's answer";
        registry.register("writes", help, writes.clone());
        let store_era = Gauge::default();
        let help = "Highest known era of the store";
        registry.register("store_era", help, store_era.clone());
        let unusable = Family::default();
        let help = "Parts of the configuration and rows that could not be used";
        registry.register("unusable", help, unusable.clone());
        let (crashes, verdicts, crash_suspects) = crash_metrics(&mut registry);
        let trials = Family::default();
        let help = "Requests for trials of work under suspicion, by answer";
        registry.register("trials", help, trials.clone());
        let cold = Family::default();
        let help = "Requests for sends to cold endpoints, by answer";
        registry.register("cold_sends", help, cold.clone());
        let forwarded = Family::default();
        let help = "Requests passed on to other instances, by result";
        registry.register("forwarded", help, forwarded.clone());
        let cut_off = Gauge::default();
        let help = "Whether no endpoint answers this instance";
        registry.register("cut_off", help, cut_off.clone());
        let config_version = Gauge::default();
        let help = "Version of the configuration in force";
        registry.register("config_version", help, config_version.clone());
        let config_age = Gauge::default();
        let help = "Time since the configuration was confirmed to be the newest one";
        registry.register("config_confirmed_age_seconds", help, config_age.clone());
        let (evacuated_zones, evacuated_ranges) = evacuation_gauges(&mut registry);
        let divisions = DivisionMetrics::register(&mut registry);
        let (statements, pipeline, fleet, memory, retries, wrong_answers) =
            register_groups(&mut registry);
        Self {
            timed: timed_answers(&mut registry),
            registry: Arc::new(registry),
            requests,
            latency,
            wait,
            service,
            waiting,
            in_flight,
            connections,
            unanswered,
            callers_left,
            orders,
            polls,
            writes,
            store_era,
            unusable,
            crashes,
            verdicts,
            crash_suspects,
            trials,
            cold,
            forwarded,
            cut_off,
            config_version,
            config_age,
            evacuated_zones,
            evacuated_ranges,
            divisions,
            statements,
            pipeline,
            fleet,
            memory,
            retries,
            wrong_answers,
        }
    }
}

fn timed_answers(registry: &mut Registry) -> Family<TimedLabels, Counter> {
    let timed = Family::default();
    let help = "Answers from endpoints that were chosen by expected end";
    registry.register("timed_answers", help, timed.clone());
    timed
}

impl Metrics {
    /// Counts a request that ended after `ms` milliseconds.
    pub(super) fn record_outcome(&self, class: Class, kind: OutcomeKind, ms: u64) {
        let (outcome, reason) = kind.labels();
        let labels = OutcomeLabels {
            repeat: class.repeat,
            rank: class.rank,
            outcome,
            reason,
        };
        self.requests.get_or_create(&labels).inc();
        self.latency
            .get_or_create(&labels)
            .observe(ms as f64 / 1_000.0);
    }

    /// Counts a request that found a place after `ms` milliseconds.
    pub(super) fn record_wait(&self, class: Class, ms: u64) {
        let wait = self.wait.get_or_create(&class);
        wait.observe(ms as f64 / 1_000.0);
    }

    /// Counts a request that its endpoint answered after `ms` milliseconds.
    pub(super) fn record_service_time(&self, class: Class, ms: u64) {
        let service = self.service.get_or_create(&class);
        service.observe(ms as f64 / 1_000.0);
    }

    /// Sets the number of requests that wait and the number at endpoints.
    pub(super) fn set_load(&self, waiting: usize, in_flight: u32) {
        self.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
        self.in_flight.set(i64::from(in_flight));
    }

    /// Registers a stage at the start, so that its counter is exported from 0 on.
    pub(super) fn register_stage(&self, stage: &'static str) {
        let labels = StageLabels { stage };
        drop(self.unanswered.get_or_create(&labels));
        drop(self.callers_left.get_or_create(&labels));
    }

    /// Sets the number of open connections of callers.
    pub(super) fn set_connections(&self, count: u32) {
        self.connections.set(i64::from(count));
    }

    /// Sets the number of requests at a stage.
    pub(super) fn set_unanswered(&self, stage: &'static str, count: usize) {
        let gauge = self.unanswered.get_or_create(&StageLabels { stage });
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a request whose caller left before its answer.
    pub(super) fn count_caller_left(&self, stage: &'static str) {
        let labels = StageLabels { stage };
        self.callers_left.get_or_create(&labels).inc();
    }

    /// Counts an order to an endpoint.
    pub(super) fn count_order(&self, kind: &OrderKind, result: &OrderResult) {
        let order = match kind {
            OrderKind::Grant { .. } => "grant",
            OrderKind::Seal { .. } => "seal",
            OrderKind::Release => "release",
        };
        let result = match result {
            OrderResult::Done { .. } => "done",
            OrderResult::Stale => "stale",
            OrderResult::NotThere => "not_there",
            OrderResult::NotSent => "not_sent",
            OrderResult::TooLate => "too_late",
            OrderResult::NotConnected => "not_connected",
            OrderResult::Lost => "lost",
        };
        self.orders
            .get_or_create(&OrderLabels { order, result })
            .inc();
    }

    /// Counts a poll of the store.
    pub(super) fn count_poll(&self, table: Table, lost: bool) {
        let labels = PollLabels {
            table: table.as_str(),
            result: if lost { "lost" } else { "done" },
        };
        self.polls.get_or_create(&labels).inc();
    }

    /// Counts a write of an assignment.
    pub(super) fn count_write(&self, result: &WriteResult) {
        let answer = match result {
            WriteResult::Done(..) => "done",
            WriteResult::Conflict => "conflict",
            WriteResult::NotDone => "not_done",
            WriteResult::Unknown => "unknown",
        };
        self.writes.get_or_create(&AnswerLabels { answer }).inc();
    }

    /// Sets the highest known era of the store.
    pub(super) fn set_store_era(&self, era: Era) {
        self.store_era.set(i64::from(era.0));
    }

    /// Counts rows and parts of the configuration, written by others, that could not be used.
    pub(super) fn count_unusable(&self, source: Source, count: u64) {
        let source = source.label();
        let labels = UnusableLabels { source };
        self.unusable.get_or_create(&labels).inc_by(count);
    }

    /// Counts a request whose endpoint crashed.
    pub(super) fn count_crash(&self) {
        self.crashes.inc();
    }

    /// Counts a verdict on work: classified as harmful, or released.
    pub(super) fn count_verdict(&self, verdict: &Verdict) {
        let verdict = match verdict {
            Verdict::Harmful { .. } => "harmful",
            Verdict::Cleared { .. } => "let_go",
        };
        self.verdicts
            .get_or_create(&VerdictLabels { verdict })
            .inc();
    }

    /// Counts a request for a trial of work under suspicion.
    pub(super) fn count_trial_request(&self, grant: &TrialGrant) {
        let answer = match grant {
            TrialGrant::Granted => "granted",
            TrialGrant::Cleared => "cleared",
            TrialGrant::Busy { .. } => "busy",
        };
        self.trials.get_or_create(&AnswerLabels { answer }).inc();
    }

    /// Counts a query about a send to a cold endpoint.
    pub(super) fn count_cold_request(&self, grant: &ColdGrant) {
        let answer = match grant {
            ColdGrant::Granted { .. } => "granted",
            ColdGrant::Busy { .. } => "busy",
        };
        self.cold.get_or_create(&AnswerLabels { answer }).inc();
    }

    /// Counts a request that was passed on to another instance.
    pub(super) fn count_forwarded(&self, answer: &'static str) {
        let labels = AnswerLabels { answer };
        self.forwarded.get_or_create(&labels).inc();
    }

    /// Sets whether no endpoint answers this instance.
    pub(super) fn set_cut_off(&self, is_cut_off: bool) {
        self.cut_off.set(i64::from(is_cut_off));
    }

    /// Sets the version of the configuration in force.
    pub(super) fn set_config_version(&self, version: u64) {
        let version = i64::try_from(version).unwrap_or(i64::MAX);
        self.config_version.set(version);
    }

    /// Sets the time since the configuration was confirmed to be the newest one.
    pub(super) fn set_config_age(&self, ms: u64) {
        self.config_age.set(ms as f64 / 1_000.0);
    }

    /// Sets the number of evacuated zones and of key ranges still owned in them.
    pub(super) fn set_evacuated(&self, zones: usize, ranges: usize) {
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.evacuated_zones.set(gauge(zones));
        self.evacuated_ranges.set(gauge(ranges));
    }

    /// Counts an answer from an endpoint that was chosen by expected end.
    pub(super) fn count_timed_answer(&self, urgency: &'static str, is_late: bool) {
        let result = if is_late { "late" } else { "in_time" };
        let labels = TimedLabels { urgency, result };
        self.timed.get_or_create(&labels).inc();
    }

    /// Sets the number of crash suspects.
    pub(super) fn set_crash_suspects(&self, count: usize) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.crash_suspects.set(count);
    }

    /// Renders all metrics and the number of dropped log lines.
    ///
    /// # Errors
    ///
    /// When a label cannot be encoded.
    pub(super) fn render(&self) -> Result<String, fmt::Error> {
        let mut buf = String::new();
        text::encode_registry(&mut buf, &self.registry)?;
        let dropped = logs::dropped();
        fmt::Write::write_fmt(
            &mut buf,
            format_args!(
                "# TYPE citronway_log_lines_dropped counter\n\
                 citronway_log_lines_dropped_total {dropped}\n"
            ),
        )?;
        text::encode_eof(&mut buf)?;
        Ok(buf)
    }
}
