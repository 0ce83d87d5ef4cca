//! What operators see of endpoints that are chosen by expected end.

use citronway_core::gateway::admission::{Choice, Job};
use citronway_core::time::Mono;
use indexmap::IndexSet;

use super::State;

impl State {
    /// Logs services whose choice of an endpoint has changed between load and expected end.
    pub(super) fn log_timed_services(&self) {
        let admission = self.admission.borrow();
        let mut before = self.timed_services.borrow_mut();
        if admission.timed_services().eq(before.iter()) {
            return;
        }
        let services: IndexSet<_> = admission.timed_services().cloned().collect();
        for service in services.difference(&before) {
            log::info!(service:%; "endpoints are chosen by expected end");
        }
        for service in before.difference(&services) {
            log::info!(service:%; "endpoints are chosen by load again");
        }
        *before = services;
    }

    /// Counts a request whose endpoint was chosen by expected end and that was answered, and logs it
    /// if the answer missed its objective.
    pub(in crate::gateway::traffic) fn record_timed_answer(
        &self,
        now: Mono,
        request: &str,
        job: &Job,
        choice: &Choice,
    ) {
        let Some(timed) = choice.timed else {
            return;
        };
        let is_late = now > job.objective_at;
        let urgency = timed.urgency.as_str();
        self.metrics.count_timed_answer(urgency, is_late);
        if is_late {
            let (endpoint, service) = (&choice.endpoint, &job.service);
            let (expected_ms, left_ms) = (timed.expected_ms, timed.left_ms);
            let late_ms = now.since(job.objective_at);
            log::info!(
                request, service:%, endpoint:%, urgency, expected_ms, left_ms, late_ms;
                "answered after its objective"
            );
        }
    }
}
