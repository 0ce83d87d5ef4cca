//! Demand that one instance sees: arrivals, and refused callers that are expected back.

use indexmap::IndexMap;

use super::{ARRIVAL_PARTS, CLASSES, QueueDemand, RANKS, RETURN_STEP_MS, RETURN_STEPS, whole};
use crate::gateway::pace::EndpointTag;
use crate::time::Mono;

/// Time over which arrivals are averaged, in milliseconds: a hot key comes and goes within
/// seconds, and a wave of traffic within half a minute.
const AVERAGED_MS: f64 = 2_000.0;

/// Resolution of the times at which callers come back, in milliseconds.
const SLOT_MS: u64 = 100;

/// Time until the sums of others contain what they promised meanwhile, in milliseconds: a report
/// of a member, one of its delegate, and the leader's totals.
const SUMS_DELAY_MS: u64 = 400;

/// Arrivals below this many a second are forgotten.
const LEAST_PER_S: f64 = 0.5 / ARRIVAL_PARTS as f64;

/// Demand that this instance sees.
#[derive(Debug, Default)]
pub struct DemandLedger {
    queues: IndexMap<EndpointTag, OwnQueue>,
    updated_at: Option<Mono>,
}

#[derive(Debug, Default)]
struct OwnQueue {
    /// Arrivals since the last update, by rank.
    arrived: [u32; RANKS],
    per_s: [f64; RANKS],
    /// Callers told to come back, by the slot of that time and the slot of the refusal.
    promised: IndexMap<(u64, u64), u32>,
}

impl DemandLedger {
    /// Counts a request that arrives for the first time.
    pub fn record_arrival(&mut self, queue: EndpointTag, rank: usize) {
        if let Some(count) = self.queues.entry(queue).or_default().arrived.get_mut(rank) {
            *count += 1;
        }
    }

    /// Records that a refused caller was told to come back after `retry_after_ms`.
    pub fn record_promise(&mut self, now: Mono, queue: EndpointTag, retry_after_ms: u64) {
        let due = now.plus(retry_after_ms).0 / SLOT_MS;
        let promised = &mut self.queues.entry(queue).or_default().promised;
        *promised.entry((due, now.0 / SLOT_MS)).or_default() += 1;
    }

    /// Averages the arrivals since the last update, and forgets what is over.
    pub fn update(&mut self, now: Mono) {
        let before = self.updated_at.replace(now);
        let passed_ms = before.map_or(0, |before| now.since(before)) as f64;
        if passed_ms <= 0.0 {
            return;
        }
        let weight = 1.0 - (-passed_ms / AVERAGED_MS).exp();
        let now_slot = now.0 / SLOT_MS;
        self.queues.retain(|_, queue| {
            for (per_s, arrived) in queue.per_s.iter_mut().zip(&mut queue.arrived) {
                let seen = f64::from(std::mem::take(arrived)) * 1_000.0 / passed_ms;
                *per_s += (seen - *per_s) * weight;
            }
            queue.promised.retain(|(due, _), _| *due >= now_slot);
            let arrives = queue.per_s.iter().any(|per_s| *per_s >= LEAST_PER_S);
            arrives || !queue.promised.is_empty()
        });
    }

    /// Queues for which callers are expected back.
    pub fn promised(&self) -> impl Iterator<Item = EndpointTag> {
        let queues = self.queues.iter();
        queues.filter_map(|(tag, queue)| (!queue.promised.is_empty()).then_some(*tag))
    }

    /// Demand for a queue, of which `waiting` requests wait here, without promised returns.
    #[must_use]
    pub fn demand(&self, queue: EndpointTag, waiting: [u32; CLASSES]) -> QueueDemand {
        let own = self.queues.get(&queue);
        QueueDemand {
            queue,
            waiting,
            arrivals: own.map_or([0; RANKS], |own| own.per_s.map(in_parts)),
            ..QueueDemand::default()
        }
    }

    /// Callers expected back at a queue. Those told so lately count `factor` times, since other
    /// instances told theirs the same by the same sums.
    #[must_use]
    pub fn returns(&self, now: Mono, queue: EndpointTag, factor: f64) -> [f64; RETURN_STEPS] {
        let Some(own) = self.queues.get(&queue) else {
            return [0.0; RETURN_STEPS];
        };
        let known_from = now.minus(SUMS_DELAY_MS).0 / SLOT_MS;
        own.returns(now, |told| if told >= known_from { factor } else { 1.0 })
    }
}

impl OwnQueue {
    fn returns(&self, now: Mono, factor: impl Fn(u64) -> f64) -> [f64; RETURN_STEPS] {
        let mut steps = [0.0; RETURN_STEPS];
        for ((due, told), count) in &self.promised {
            let due_ms = Mono(due * SLOT_MS).since(now);
            let step = usize::try_from(due_ms / RETURN_STEP_MS).unwrap_or(RETURN_STEPS);
            if let Some(sum) = steps.get_mut(step) {
                *sum += f64::from(*count) * factor(*told);
            }
        }
        steps
    }
}

fn in_parts(per_s: f64) -> u32 {
    whole(per_s * f64::from(ARRIVAL_PARTS))
}
