//! Refusals of requests that cannot be served in time, with a time to retry.

use super::{Admission, Job, MOVE_RETRY_MS, Refusal, RefusalReason, View, choose};
use crate::gateway::pace::EndpointTag;
use crate::time::Mono;

/// Shortest retry-after time of a refusal, in milliseconds.
pub(super) const MIN_RETRY_MS: u64 = 60;

/// Shortest retry-after time while all endpoints of a service are in evacuated zones, in
/// milliseconds. Requests can be served again once a zone is restored or endpoints join in
/// another zone.
const EVACUATED_RETRY_MS: u64 = 1_000;

/// Shortest retry-after time while an endpoint that owns a key leaves and no other one can take over,
/// in milliseconds. That takes a leader that reaches the store.
const LEAVING_RETRY_MS: u64 = 1_000;

/// Step by which consecutive requests to a limited or resting endpoint spread over the time to retry, in
/// percent of it; coprime to the number of steps.
const LIMITED_JITTER_STEP: u64 = 37;

impl Admission {
    /// Refuses a request that cannot be served before its deadline, or any request if no endpoint
    /// will serve it for `cause`. Returns `None` if it may still be served.
    ///
    /// `ahead` is the number of requests before it, `cause` is why it was not sent now.
    pub(super) fn refuse_if_late(
        &self,
        now: Mono,
        view: &View,
        job: &Job,
        ahead: u32,
        cause: RefusalReason,
    ) -> Option<Refusal> {
        let rest_ms = self.rest_wait_ms(now, view, job, ahead);
        // Requests that wait for something else than room are not served in the order of the demand.
        let by_fleet = if cause == RefusalReason::Overloaded {
            self.fleet_wait_ms(now, view, job, ahead)
        } else {
            None
        };
        let expected_ms = by_fleet.unwrap_or_else(|| self.expected_wait_ms(now, view, job, ahead));
        let wait_ms = self
            .busy_ms(now, view, job)
            .max(expected_ms)
            .max(rest_ms.unwrap_or_default());
        // After a rest there is little room at first, so that a usual work time may not be enough.
        let work_ms = rest_ms.map_or(job.work_ms, |_| job.expected_ms());
        let due = now.plus(wait_ms + work_ms);
        let is_in_vain = matches!(
            cause,
            RefusalReason::Evacuated | RefusalReason::EndpointLeaving
        );
        // An answer that misses the latency objective still has some worth. A request that cannot
        // even meet its deadline only delays others.
        let must_end_by = self.must_end_by(view, job);
        if due < must_end_by && !is_in_vain {
            return None;
        }
        let cause = if cause == RefusalReason::Overloaded && must_end_by < job.deadline {
            RefusalReason::KeyOverloaded
        } else {
            cause
        };
        if cause == RefusalReason::Overloaded
            && let Some(retry_after_ms) = self.fleet_retry_ms(now, view, job)
        {
            return Some(Refusal {
                reason: cause,
                retry_after_ms,
            });
        }
        let left = job.caller_deadline.since(now);
        let min_wait_ms = match cause {
            RefusalReason::Evacuated => EVACUATED_RETRY_MS,
            RefusalReason::EndpointLeaving => LEAVING_RETRY_MS,
            RefusalReason::KeyUnowned | RefusalReason::Unreachable | RefusalReason::NoEndpoint => {
                MOVE_RETRY_MS
            }
            _ => MIN_RETRY_MS,
        };
        // Jitter, so that callers do not retry at the same time: a fifth to either side, half of the
        // time of a rest, or the time in which a limited endpoint takes the requests that wait now.
        let percent = match cause {
            RefusalReason::EndpointLimited => 100 + job.ticket * LIMITED_JITTER_STEP % 101,
            RefusalReason::EndpointResting => 100 + job.ticket * LIMITED_JITTER_STEP % 51,
            _ => 80 + job.ticket % 41,
        };
        let retry_after_ms = wait_ms.max(min_wait_ms) * percent / 100;
        // A caller that returns before the end of a rest is refused again.
        let most_ms = match cause {
            RefusalReason::EndpointResting => u64::MAX,
            _ => left / 3,
        };
        Some(Refusal {
            reason: cause,
            retry_after_ms: retry_after_ms.min(most_ms).max(MIN_RETRY_MS),
        })
    }

    /// Time for which the limit of a key's owner lets this instance send nothing, in
    /// milliseconds; zero for requests without a key, which may go elsewhere.
    fn busy_ms(&self, now: Mono, view: &View, job: &Job) -> u64 {
        let owner =
            choose::range_of(view, job).map(|range| EndpointTag::of(&range.holder.endpoint));
        let busy = owner.and_then(|tag| self.send_grants.busy_until(tag));
        busy.map_or(0, |until| until.since(now))
    }
}
