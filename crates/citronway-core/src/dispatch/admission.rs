//! Admission control of requests on arrival.
//!
//! A request that cannot be finished by its deadline would take a slot from one
//! that can, so it is refused at once with the time after which there is room.

use super::queue::WorkAhead;
use crate::outcome::{NotRun, NotRunReason};
use crate::time::Wall;

/// Whole share, in hundredths.
const WHOLE_HUNDREDTHS: u64 = 100;

/// Load of the endpoint when a request arrives.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Deadline of the request.
    pub deadline: Wall,
    /// Queued work that goes before the request.
    pub ahead: WorkAhead,
    /// Mean service time of the request's class, in milliseconds.
    pub service_ms: u64,
    /// Mean service time of the orders in slots, in milliseconds.
    pub running_ms: u64,
    /// Number of orders in slots.
    pub running: u32,
    /// Number of slots that may be used.
    pub slots: u32,
    /// Estimated time until all queued and running work is done, in milliseconds.
    pub drain_ms: u64,
    /// Number of queued requests of all classes.
    pub waiting: usize,
    /// Number of queued requests of the same key.
    pub waiting_of_key: usize,
    /// Maximum number of queued requests.
    pub queue_max: usize,
    /// Maximum share of the queue for one key, in hundredths.
    pub key_share: u8,
}

/// Decides whether a request is admitted on arrival.
///
/// # Errors
///
/// Returns why the request is refused, and after what time to retry.
pub fn admit(arrival: &Arrival, now: Wall) -> Result<(), NotRun> {
    if arrival.deadline <= now {
        return Err(NotRun::new(NotRunReason::Expired, 0));
    }
    let drain_ms = arrival.drain_ms;
    if arrival.waiting >= arrival.queue_max {
        return Err(NotRun::new(NotRunReason::QueueFull, drain_ms));
    }
    if is_key_over_share(arrival) {
        return Err(NotRun::new(NotRunReason::HotKeyLimited, drain_ms));
    }
    // After a few very slow answers the estimate alone would refuse every
    // request. No order would be sent, so the estimate would never be corrected
    // although the endpoint is idle and fast. An idle endpoint therefore always
    // gets the request, which updates the estimate.
    if arrival.running == 0 && arrival.waiting == 0 {
        return Ok(());
    }
    let done = now.plus(wait_ms(arrival) + arrival.service_ms);
    if done > arrival.deadline {
        return Err(NotRun::new(NotRunReason::DeadlineTooClose, drain_ms));
    }
    Ok(())
}

/// Whether the request's key has filled its share of the queue. The rest stays
/// free for other keys; otherwise one hot key would cause all others to be
/// refused. The limit also holds while no other key is queued, so that the first
/// request of another key does not find the queue full.
fn is_key_over_share(arrival: &Arrival) -> bool {
    let max_waiting = arrival.queue_max * usize::from(arrival.key_share) / 100;
    arrival.waiting_of_key >= max_waiting.max(1)
}

/// Estimated time until a slot is free for the request, in milliseconds.
///
/// All work before it has to be started, at the service interval of its class
/// if that is slower, and one more order has to end. The kept share of the class
/// bounds the wait from above.
fn wait_ms(arrival: &Arrival) -> u64 {
    let slots = u64::from(arrival.slots.max(1));
    let free = slots.saturating_sub(u64::from(arrival.running));
    let ahead = arrival.ahead;
    if ahead.requests < free {
        return 0;
    }
    let by_work_ms = (ahead.total_ms + arrival.running_ms) / slots;
    let estimate_ms = by_work_ms.max(ahead.interval_wait_ms);
    if ahead.kept_share == 0 {
        return estimate_ms;
    }
    let own_scaled = (ahead.own_ms + arrival.service_ms) * WHOLE_HUNDREDTHS;
    estimate_ms.min(own_scaled / (slots * u64::from(ahead.kept_share)))
}
