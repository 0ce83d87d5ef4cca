//! Metrics of the memory that callers' traffic uses.

use citronway_core::gateway::memory::{Pressure, Use};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct UseLabels {
    r#use: &'static str,
}

/// Who ends an answer before it is whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CutCause {
    /// The caller left by itself.
    Caller,
    /// The caller took no byte for too long.
    Stall,
    /// The process ends.
    Stop,
    /// The connection took too long to close.
    Bound,
}

impl CutCause {
    /// Name in logs and metrics.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Stall => "stall",
            Self::Stop => "stop",
            Self::Bound => "bound",
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    cause: &'static str,
}

/// Metrics of memory; clones share their values.
#[derive(Debug, Clone)]
pub struct MemoryMetrics {
    used: Family<UseLabels, Gauge>,
    limit: Gauge,
    resident: Gauge,
    pressure: Gauge,
    write_stalls: Counter,
    cut_answers: Family<CauseLabels, Counter>,
    byte_bounds: Gauge,
}

impl MemoryMetrics {
    /// Creates the metrics and registers them.
    pub(super) fn register(registry: &mut Registry) -> Self {
        let used = Family::default();
        let help = "Memory charged to callers' traffic, by use";
        registry.register("memory_used_bytes", help, used.clone());
        let limit = Gauge::default();
        let help = "Memory that callers' traffic may use";
        registry.register("memory_limit_bytes", help, limit.clone());
        let resident = Gauge::default();
        let help = "Memory that the process really uses";
        registry.register("memory_resident_bytes", help, resident.clone());
        let pressure = Gauge::default();
        let help = "Pressure on memory: 0 none, 1 no read ahead, 2 no bodies, 3 full";
        registry.register("memory_pressure", help, pressure.clone());
        let write_stalls = Counter::default();
        let help = "Connections closed because their callers took no byte of an answer";
        registry.register("write_stalls", help, write_stalls.clone());
        let cut_answers = Family::default();
        let help = "Answers that ended before their callers had them whole, by who ended them";
        registry.register("cut_answers", help, cut_answers.clone());
        let byte_bounds = Gauge::default();
        let help = "Services whose endpoints have a bound on the bytes of requests";
        registry.register("byte_bounds", help, byte_bounds.clone());
        Self {
            used,
            limit,
            resident,
            pressure,
            write_stalls,
            cut_answers,
            byte_bounds,
        }
    }

    /// Sets the memory that is charged to a use.
    pub(super) fn set_used(&self, purpose: Use, bytes: u64) {
        let labels = UseLabels {
            r#use: purpose.as_str(),
        };
        self.used.get_or_create(&labels).set(gauge(bytes));
    }

    /// Sets the memory that may be used.
    pub(super) fn set_limit(&self, bytes: u64) {
        self.limit.set(gauge(bytes));
    }

    /// Sets the memory that the process really uses.
    pub(super) fn set_resident(&self, bytes: u64) {
        self.resident.set(gauge(bytes));
    }

    /// Sets the level of pressure.
    pub(super) fn set_pressure(&self, pressure: Pressure) {
        self.pressure.set(i64::from(pressure.level()));
    }

    /// Counts a connection whose caller took no byte of an answer.
    pub(super) fn count_write_stall(&self) {
        self.write_stalls.inc();
    }

    /// Counts an answer that ended before it was whole.
    pub(super) fn count_cut_answer(&self, cause: CutCause) {
        let labels = CauseLabels {
            cause: cause.as_str(),
        };
        self.cut_answers.get_or_create(&labels).inc();
    }

    /// Sets the number of services whose endpoints have a bound on the bytes of requests.
    pub(super) fn set_byte_bounds(&self, count: usize) {
        self.byte_bounds.set(gauge(count as u64));
    }
}

fn gauge(bytes: u64) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}
