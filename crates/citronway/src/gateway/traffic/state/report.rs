//! The report of the traffic thread to `control`.

use citronway_core::gateway::pace::Answers;
use citronway_core::gateway::report::{self, EndpointUse, KeySamples};
use citronway_core::ids::ServiceName;
use indexmap::IndexMap;

use super::State;
use crate::clock;
use crate::gateway::traffic::seen::TrafficReport;

impl State {
    /// Takes the report on the time since the last one, and updates the gauges.
    pub(in crate::gateway::traffic) fn take_report(&self) -> TrafficReport {
        self.pool.borrow_mut().prune(clock::mono());
        let in_flight = self
            .admission
            .borrow()
            .usage()
            .map(|(_, count, _)| count)
            .sum();
        self.metrics.set_load(self.waiting_count(), in_flight);
        self.update_memory(clock::mono());
        self.metrics.set_connections(self.open_connections());
        self.open_requests.update_metrics();
        self.update_rests();
        self.update_retry_metrics(clock::mono());
        let demand = self.take_demand();
        let mut answers = std::mem::take(&mut *self.answers.borrow_mut());
        let mut peaks = self.admission.borrow_mut().take_byte_peaks();
        let mut endpoints: Vec<_> = self
            .admission
            .borrow()
            .usage()
            .map(|(tag, in_flight, waiting)| EndpointUse {
                tag,
                in_flight,
                waiting,
                answers: answers.swap_remove(&tag).unwrap_or_default(),
                kb: peaks.swap_remove(&tag).unwrap_or_default(),
            })
            .filter(|used| {
                let has_requests = used.in_flight + used.waiting + used.kb > 0;
                has_requests || used.answers != Answers::default()
            })
            .collect();
        for (tag, kb) in peaks {
            let answers = answers.swap_remove(&tag).unwrap_or_default();
            endpoints.push(EndpointUse {
                tag,
                answers,
                kb,
                ..EndpointUse::default()
            });
        }
        endpoints.extend(answers.into_iter().map(|(tag, answers)| EndpointUse {
            tag,
            answers,
            ..EndpointUse::default()
        }));
        let keys = std::mem::take(&mut *self.key_samples.borrow_mut());
        let samples = keys
            .into_iter()
            .map(|(service, keys)| KeySamples { service, keys });
        let mut work = IndexMap::<ServiceName, (f64, f64)>::new();
        for route in self.route_stats.borrow().values() {
            let Some(service) = &route.service else {
                continue;
            };
            let sum = work.entry(service.clone()).or_default();
            sum.0 += route.mean_ms * route.requests as f64;
            sum.1 += route.requests as f64;
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
            is_cut_off: self.is_cut_off(),
            stated_limits: self.take_stated_limits(),
            departures: self.take_departures(),
            rests: self.rests(),
            demand,
        }
    }
}
