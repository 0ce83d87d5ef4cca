//! The space-saving sketch of Metwally, Agrawal and El Abbadi (2005).

use std::collections::BTreeSet;
use std::hash::Hash;

use indexmap::IndexMap;

/// Bounds of the count of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HotKeyCount<K> {
    /// Key that was counted.
    pub key: K,
    /// Lower bound of the key's count.
    pub at_least: u64,
    /// Upper bound of the key's count.
    pub at_most: u64,
}

#[derive(Debug, Clone, Copy)]
struct Counter {
    count: u64,
    /// Upper bound of the error of `count`: the count of the key that this one
    /// displaced.
    error: u64,
}

/// Count and index of a counter, ordered by count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Ranked {
    count: u64,
    index: usize,
}

/// Approximate counts of the most frequent keys.
///
/// With `n` counters, every key that makes up more than 1/n of the additions is
/// counted, and no count is off by more than 1/n of the additions.
#[derive(Debug)]
pub struct HotKeys<K> {
    counters: IndexMap<K, Counter>,
    /// Counters ordered by count, the least of which is displaced. An `IndexMap`
    /// does not keep this order.
    ranks: BTreeSet<Ranked>,
    max_counters: usize,
}

impl<K: Clone + Eq + Hash> HotKeys<K> {
    /// Creates an empty sketch with room for `max_counters` keys, at least one.
    #[must_use]
    pub fn new(max_counters: usize) -> Self {
        Self {
            counters: IndexMap::new(),
            ranks: BTreeSet::new(),
            max_counters: max_counters.max(1),
        }
    }

    /// Counts one occurrence of a key.
    pub fn add(&mut self, key: &K) {
        if let Some((index, _, counter)) = self.counters.get_full_mut(key) {
            let count = counter.count;
            counter.count += 1;
            self.rerank(index, count, count + 1);
            return;
        }
        if self.counters.len() < self.max_counters {
            self.insert(key, Counter { count: 1, error: 0 });
            return;
        }
        self.displace(key);
    }

    /// The `limit` most frequent keys, most frequent first.
    #[must_use]
    pub fn top(&self, limit: usize) -> Vec<HotKeyCount<K>> {
        let mut top = Vec::with_capacity(limit.min(self.counters.len()));
        for ranked in self.ranks.iter().rev().take(limit) {
            let Some((key, counter)) = self.counters.get_index(ranked.index) else {
                continue;
            };
            top.push(HotKeyCount {
                key: key.clone(),
                at_least: counter.count - counter.error,
                at_most: counter.count,
            });
        }
        top
    }

    /// Halves all counts, so that keys that are no longer requested lose weight.
    pub fn decay(&mut self) {
        for counter in self.counters.values_mut() {
            counter.count /= 2;
            counter.error /= 2;
        }
        self.counters.retain(|_, counter| counter.count > 0);
        self.ranks.clear();
        for (index, counter) in self.counters.values().enumerate() {
            let count = counter.count;
            self.ranks.insert(Ranked { count, index });
        }
    }

    /// Removes all counts.
    pub fn clear(&mut self) {
        self.counters.clear();
        self.ranks.clear();
    }

    /// Number of counted keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.counters.len()
    }

    /// Whether no key is counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }

    fn insert(&mut self, key: &K, counter: Counter) {
        let count = counter.count;
        let (index, _) = self.counters.insert_full(key.clone(), counter);
        self.ranks.insert(Ranked { count, index });
    }

    /// Replaces the key with the least count by a new key, which inherits that
    /// count.
    fn displace(&mut self, key: &K) {
        let Some(least) = self.ranks.pop_first() else {
            return;
        };
        // The last key takes the index of the removed one.
        let last = self.counters.len() - 1;
        self.counters.swap_remove_index(least.index);
        if let Some((_, moved)) = self.counters.get_index(least.index) {
            let count = moved.count;
            self.ranks.remove(&Ranked { count, index: last });
            let index = least.index;
            self.ranks.insert(Ranked { count, index });
        }
        let counter = Counter {
            count: least.count + 1,
            error: least.count,
        };
        self.insert(key, counter);
    }

    fn rerank(&mut self, index: usize, from: u64, to: u64) {
        self.ranks.remove(&Ranked { count: from, index });
        self.ranks.insert(Ranked { count: to, index });
    }
}
