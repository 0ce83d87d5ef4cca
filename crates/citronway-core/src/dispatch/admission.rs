//! Which requests are taken on arrival.
//!
//! A request that cannot be finished by its deadline only takes a slot from one
//! that can, so it is refused at once with the time after which there is room.

use super::queue::WorkAhead;
use crate::outcome::{NotRun, NotRunReason};
use crate::time::Wall;

/// Hundredths in a whole.
const WHOLE: u64 = 100;

/// Load of the endpoint as a request finds it.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Deadline of the request.
    pub deadline: Wall,
    /// Work before it.
    pub ahead: WorkAhead,
    /// Mean service time of its class, in milliseconds.
    pub service_ms: u64,
    /// Mean service time of the orders that hold a slot, in milliseconds.
    pub running_ms: u64,
    /// Orders that hold a slot.
    pub running: u32,
    /// Slots that may be used.
    pub slots: u32,
    /// Time until all that waits and runs is done, in milliseconds.
    pub drain_ms: u64,
    /// Requests that wait, of all classes.
    pub waiting: usize,
    /// Requests of its key that wait.
    pub waiting_of_key: usize,
    /// Most requests that wait.
    pub queue_max: usize,
    /// Most hundredths of the queue for one key.
    pub key_share: u8,
}

/// Decides about a request on its arrival.
///
/// # Errors
///
/// Returns why the request is refused, and when there will be room.
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
    // After a few very slow answers the estimate alone would refuse everything,
    // no order would be sent, and the estimate would never come down again: the
    // endpoint stays refused though it is idle and fast. An idle endpoint
    // therefore always gets the request, which measures it anew.
    if arrival.running == 0 && arrival.waiting == 0 {
        return Ok(());
    }
    let done = now.plus(wait_ms(arrival) + arrival.service_ms);
    if done > arrival.deadline {
        return Err(NotRun::new(NotRunReason::DeadlineTooClose, drain_ms));
    }
    Ok(())
}

/// A key may fill its share of the queue; the rest stays free for others, or one
/// hot key would have every other key refused. That holds while no other waits as
/// well: the first of them would find the queue full.
fn is_key_over_share(arrival: &Arrival) -> bool {
    let most = arrival.queue_max * usize::from(arrival.key_share) / 100;
    arrival.waiting_of_key >= most.max(1)
}

/// Time until a slot is free for the request, in milliseconds.
///
/// All that goes before it has to be begun, at the pace of its class if that
/// is slower, and one more order has to end. The kept share bounds the wait
/// from above.
fn wait_ms(arrival: &Arrival) -> u64 {
    let slots = u64::from(arrival.slots.max(1));
    let free = slots.saturating_sub(u64::from(arrival.running));
    let ahead = arrival.ahead;
    if ahead.requests < free {
        return 0;
    }
    let by_order = (ahead.total_ms + arrival.running_ms) / slots;
    let wait = by_order.max(ahead.pace_ms);
    if ahead.kept_share == 0 {
        return wait;
    }
    let own = (ahead.own_ms + arrival.service_ms) * WHOLE;
    wait.min(own / (slots * u64::from(ahead.kept_share)))
}
