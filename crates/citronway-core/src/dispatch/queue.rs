//! Priority queue of requests that wait for a slot.
//!
//! Classes are served by priority; within a class the earliest deadline goes
//! first, which is also the order in which requests expire. A class with a kept
//! share goes before classes of higher priority while it has had less slot time
//! than its share.

use std::collections::BTreeMap;

use indexmap::IndexMap;

use super::message::{KeyRange, KeyRef, ShardRef};
use super::service::ServiceTimes;
use super::service_interval::ServiceInterval;
use super::share::KeptShare;
use crate::config::Class;
use crate::ids::{ClassName, RequestId};
use crate::node::events::Ticket;
use crate::request::Request;
use crate::time::{Mono, Wall};

/// A request in the queue.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// Ticket of the submission, for the reply.
    pub origin: Ticket,
    /// The request.
    pub request: Request,
    /// Shard of the key.
    pub at: ShardRef,
    /// Earliest time to send the request, see [`super::duplicates`].
    pub not_before: Wall,
}

impl QueuedRequest {
    /// Key of the request, with its service.
    #[must_use]
    pub fn key(&self) -> KeyRef {
        KeyRef {
            service: self.request.service.clone(),
            key: self.request.key.clone(),
        }
    }
}

/// Order within a class: by deadline, then by arrival. Unique.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    deadline: Wall,
    arrival: u64,
}

#[derive(Debug, Clone, Copy)]
struct Position {
    class_index: usize,
    rank: Rank,
}

/// Queued requests of one class. They are sorted by rank, an order that an
/// `IndexMap` does not keep.
#[derive(Debug)]
struct ClassQueue {
    class: ClassName,
    priority: u8,
    share: KeptShare,
    interval: ServiceInterval,
    waiting: BTreeMap<Rank, QueuedRequest>,
}

/// The bounded queue of one endpoint.
#[derive(Debug)]
pub struct Queue {
    /// By priority, highest first.
    class_queues: Vec<ClassQueue>,
    positions: IndexMap<Ticket, Position>,
    by_key: IndexMap<KeyRef, usize>,
    arrivals: u64,
}

/// Queued work that goes before a request that has just arrived.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkAhead {
    /// Requests of classes with higher priority, and those of its own class with
    /// an earlier deadline.
    pub requests: u64,
    /// Service time of all these requests, in milliseconds.
    pub total_ms: u64,
    /// Service time of the requests of its own class among them, in milliseconds.
    pub own_ms: u64,
    /// Time until its own class has been served this far at the present service
    /// interval, in milliseconds; 0 for the first class, or if the interval is
    /// not known.
    pub interval_wait_ms: u64,
    /// Kept share of its class, in hundredths.
    pub kept_share: u8,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(classes: &IndexMap<ClassName, Class>) -> Self {
        let mut class_queues: Vec<_> = classes
            .iter()
            .map(|(name, class)| ClassQueue::new(name, class))
            .collect();
        class_queues.sort_by(|a, b| (a.priority, &a.class).cmp(&(b.priority, &b.class)));
        Self {
            class_queues,
            positions: IndexMap::new(),
            by_key: IndexMap::new(),
            arrivals: 0,
        }
    }

    /// Number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Number of queued requests of one key.
    #[must_use]
    pub fn len_of(&self, key: &KeyRef) -> usize {
        self.by_key.get(key).copied().unwrap_or(0)
    }

    /// Work that goes before a request of this class and deadline.
    #[must_use]
    pub fn ahead_of(&self, class: &ClassName, deadline: Wall, times: &ServiceTimes) -> WorkAhead {
        let mut ahead = WorkAhead::default();
        for (index, queue) in self.class_queues.iter().enumerate() {
            if queue.class == *class {
                let rank = Rank {
                    deadline,
                    arrival: self.arrivals,
                };
                let own = queue.waiting.range(..rank).count() as u64;
                ahead.own_ms = own * times.ms(class);
                // No class overtakes the first one; its service interval
                // only adds noise.
                if index > 0 {
                    ahead.interval_wait_ms = queue.interval.wait_ms(own + 1);
                }
                ahead.kept_share = queue.share.hundredths();
                ahead.requests += own;
                ahead.total_ms += ahead.own_ms;
                break;
            }
            let better = queue.waiting.len() as u64;
            ahead.requests += better;
            ahead.total_ms += better * times.ms(&queue.class);
        }
        ahead
    }

    /// Service time of all queued requests, in milliseconds.
    #[must_use]
    pub fn work_ms(&self, times: &ServiceTimes) -> u64 {
        let mut work_ms = 0;
        for queue in &self.class_queues {
            work_ms += queue.waiting.len() as u64 * times.ms(&queue.class);
        }
        work_ms
    }

    /// Adds a request. The caller has checked the limits of the queue.
    pub fn push(&mut self, waiting: QueuedRequest) {
        let index = self.index_of_class(&waiting.request.class);
        if index == self.class_queues.len() {
            self.class_queues
                .push(ClassQueue::unknown(waiting.request.class.clone()));
        }
        let rank = Rank {
            deadline: waiting.request.deadline,
            arrival: self.arrivals,
        };
        self.arrivals += 1;
        *self.by_key.entry(waiting.key()).or_insert(0) += 1;
        self.positions.insert(
            waiting.origin,
            Position {
                class_index: index,
                rank,
            },
        );
        self.class_queues[index].waiting.insert(rank, waiting);
    }

    /// Id of the queued request of an origin; `None` if there is none.
    #[must_use]
    pub fn id_of(&self, origin: Ticket) -> Option<RequestId> {
        let position = self.positions.get(&origin)?;
        let waiting = self.class_queues[position.class_index]
            .waiting
            .get(&position.rank)?;
        Some(waiting.request.id)
    }

    /// Whether a request with this id is queued.
    #[must_use]
    pub fn contains(&self, id: RequestId) -> bool {
        let mut class_queues = self.class_queues.iter();
        class_queues.any(|queue| {
            queue
                .waiting
                .values()
                .any(|waiting| waiting.request.id == id)
        })
    }

    /// Removes and returns the request of an origin; `None` if there is none.
    pub fn remove(&mut self, origin: Ticket) -> Option<QueuedRequest> {
        let position = self.positions.get(&origin).copied()?;
        self.take(position)
    }

    /// Removes and returns every request whose deadline has come.
    pub fn expire(&mut self, now: Wall) -> Vec<QueuedRequest> {
        let mut expired = Vec::new();
        for index in 0..self.class_queues.len() {
            while let Some((&rank, _)) = self.class_queues[index].waiting.first_key_value() {
                if rank.deadline > now {
                    break;
                }
                expired.extend(self.take(Position {
                    class_index: index,
                    rank,
                }));
            }
        }
        expired
    }

    /// Empties the queue and returns its requests.
    pub fn drain(&mut self) -> Vec<QueuedRequest> {
        let mut all = Vec::with_capacity(self.positions.len());
        for queue in &mut self.class_queues {
            all.extend(std::mem::take(&mut queue.waiting).into_values());
        }
        self.positions.clear();
        self.by_key.clear();
        all
    }

    /// Removes and returns the requests for keys of a range.
    pub fn drain_range(&mut self, range: &KeyRange) -> Vec<QueuedRequest> {
        let mut positions = Vec::new();
        for (index, queue) in self.class_queues.iter().enumerate() {
            for (&rank, waiting) in &queue.waiting {
                if range.has(&waiting.key()) {
                    positions.push(Position {
                        class_index: index,
                        rank,
                    });
                }
            }
        }
        positions.into_iter().filter_map(|p| self.take(p)).collect()
    }

    /// Whether a request for a key of the range is queued under another shard
    /// than `at`.
    #[must_use]
    pub fn has_under_other_shard(&self, range: &KeyRange, at: &ShardRef) -> bool {
        let mut class_queues = self.class_queues.iter();
        class_queues.any(|queue| {
            let mut waiting = queue.waiting.values();
            waiting.any(|waiting| waiting.at != *at && range.has(&waiting.key()))
        })
    }

    /// Updates the kept shares. `running` returns the number of slots that a
    /// class uses, `limit` is the number of slots that may be used.
    pub fn pass_time(&mut self, now: Mono, limit: u32, running: impl Fn(&ClassName) -> u32) {
        for queue in &mut self.class_queues {
            let used = running(&queue.class);
            queue
                .share
                .pass_time(now, limit, used, !queue.waiting.is_empty());
        }
    }

    /// Removes and returns the next request that is `fit` to be sent; `None` if
    /// there is none.
    pub fn pop_fit(
        &mut self,
        now: Mono,
        fit: impl Fn(&QueuedRequest) -> bool,
    ) -> Option<QueuedRequest> {
        let position = self.next_position(&fit)?;
        let waiting = self.take(position)?;
        let queue = &mut self.class_queues[position.class_index];
        queue.interval.served(now, !queue.waiting.is_empty());
        Some(waiting)
    }

    /// Position of the next fit request: that of the class with the largest
    /// deficit in its kept share, else that of the class with the highest priority.
    fn next_position(&self, fit: &impl Fn(&QueuedRequest) -> bool) -> Option<Position> {
        let mut selected: Option<Position> = None;
        let mut largest_deficit = 0;
        for (index, queue) in self.class_queues.iter().enumerate() {
            let deficit = queue.share.deficit();
            if selected.is_some() && deficit <= largest_deficit {
                continue;
            }
            let Some(rank) = queue.first_fit(fit) else {
                continue;
            };
            selected = Some(Position {
                class_index: index,
                rank,
            });
            largest_deficit = largest_deficit.max(deficit);
        }
        selected
    }

    fn index_of_class(&self, class: &ClassName) -> usize {
        self.class_queues
            .iter()
            .position(|queue| queue.class == *class)
            .unwrap_or(self.class_queues.len())
    }

    fn take(&mut self, position: Position) -> Option<QueuedRequest> {
        let waiting = self.class_queues[position.class_index]
            .waiting
            .remove(&position.rank)?;
        self.positions.swap_remove(&waiting.origin);
        let key = waiting.key();
        if let Some(count) = self.by_key.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.by_key.swap_remove(&key);
            }
        }
        Some(waiting)
    }
}

impl ClassQueue {
    fn new(name: &ClassName, class: &Class) -> Self {
        Self {
            class: name.clone(),
            priority: class.priority,
            share: KeptShare::new(class.kept_share),
            interval: ServiceInterval::default(),
            waiting: BTreeMap::new(),
        }
    }

    /// Queue of a class that this instance's configuration does not have yet.
    /// It has the lowest priority.
    fn unknown(class: ClassName) -> Self {
        Self {
            class,
            priority: u8::MAX,
            share: KeptShare::new(0),
            interval: ServiceInterval::default(),
            waiting: BTreeMap::new(),
        }
    }

    fn first_fit(&self, fit: &impl Fn(&QueuedRequest) -> bool) -> Option<Rank> {
        for (&rank, waiting) in &self.waiting {
            if fit(waiting) {
                return Some(rank);
            }
        }
        None
    }
}
