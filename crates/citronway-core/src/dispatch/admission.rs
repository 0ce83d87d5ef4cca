//! Which requests are taken on arrival.
//!
//! A request that cannot be finished by its deadline only takes a slot from one
//! that can, so it is refused at once with the time after which there is room.

use super::limit::Limit;
use super::queue::Ahead;
use crate::outcome::{NotRun, NotRunReason};
use crate::time::Wall;

/// Least retry time, in milliseconds.
const LEAST_RETRY_MS: u64 = 10;

/// Hundredths in a whole.
const WHOLE: u64 = 100;

/// Load of the endpoint as a request finds it.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Deadline of the request.
    pub deadline: Wall,
    /// Work before it.
    pub ahead: Ahead,
    /// Orders that hold a slot.
    pub running: u32,
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
pub fn admit(arrival: &Arrival, limit: &Limit, now: Wall) -> Result<(), NotRun> {
    if arrival.deadline <= now {
        return Err(NotRun::new(NotRunReason::Expired, 0));
    }
    let drain_ms = drain_ms(arrival.running, arrival.waiting, limit);
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
    let done = now.plus(wait_ms(arrival, limit) + limit.service_ms());
    if done > arrival.deadline {
        return Err(NotRun::new(NotRunReason::DeadlineTooClose, drain_ms));
    }
    Ok(())
}

/// Time until all that waits has been begun, in milliseconds.
#[must_use]
pub fn drain_ms(running: u32, waiting: usize, limit: &Limit) -> u64 {
    let work = waiting as u64 + u64::from(running);
    let ms = work * limit.service_ms() / u64::from(limit.slots().max(1));
    ms.max(LEAST_RETRY_MS)
}

/// A key may fill its share of the queue while other keys wait; the rest stays
/// free for them, or one hot key would have every other key refused.
fn is_key_over_share(arrival: &Arrival) -> bool {
    let others = arrival.waiting > arrival.waiting_of_key;
    let most = arrival.queue_max * usize::from(arrival.key_share) / 100;
    others && arrival.waiting_of_key >= most.max(1)
}

/// Time until a slot is free for the request, in milliseconds: after all that
/// goes before it, or sooner by the kept share of its class.
fn wait_ms(arrival: &Arrival, limit: &Limit) -> u64 {
    let slots = u64::from(limit.slots().max(1));
    let busy = u64::from(arrival.running).min(slots);
    let free = slots - busy;
    if arrival.ahead.total < free {
        return 0;
    }
    let by_order = (arrival.ahead.total + busy) * limit.service_ms() / slots;
    if arrival.ahead.kept_share == 0 {
        return by_order;
    }
    let own = (arrival.ahead.own + 1) * limit.service_ms() * WHOLE;
    let by_share = own / (slots * u64::from(arrival.ahead.kept_share));
    by_order.min(by_share)
}
