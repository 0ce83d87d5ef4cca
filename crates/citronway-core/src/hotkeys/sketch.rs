//! The space-saving sketch of Metwally, Agrawal and El Abbadi (2005).

use std::collections::BTreeSet;
use std::hash::Hash;

use indexmap::IndexMap;

/// A counted key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HotKeyCount<K> {
    /// The key.
    pub key: K,
    /// It was seen at least this often.
    pub at_least: u64,
    /// It was seen at most this often.
    pub at_most: u64,
}

#[derive(Debug, Clone, Copy)]
struct Counter {
    count: u64,
    /// Part of the count that was inherited from the key it displaced.
    error: u64,
}

/// Counter with its place, in the order of counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Ranked {
    count: u64,
    index: usize,
}

/// Counts of the most frequent keys.
///
/// With `n` counters, every key seen more often than one time in `n` is among
/// them, and no count is off by more than that.
#[derive(Debug)]
pub struct HotKeys<K> {
    counters: IndexMap<K, Counter>,
    /// By count; the least is displaced. An `IndexMap` does not keep order.
    ranks: BTreeSet<Ranked>,
    most: usize,
}

impl<K: Clone + Eq + Hash> HotKeys<K> {
    /// No counts; room for `most` keys, at least one.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            counters: IndexMap::new(),
            ranks: BTreeSet::new(),
            most: most.max(1),
        }
    }

    /// Counts a key.
    pub fn add(&mut self, key: &K) {
        if let Some((index, _, counter)) = self.counters.get_full_mut(key) {
            let count = counter.count;
            counter.count += 1;
            self.rerank(index, count, count + 1);
            return;
        }
        if self.counters.len() < self.most {
            self.insert(key, Counter { count: 1, error: 0 });
            return;
        }
        self.displace(key);
    }

    /// The most frequent keys, most frequent first.
    #[must_use]
    pub fn top(&self, most: usize) -> Vec<HotKeyCount<K>> {
        let mut top = Vec::with_capacity(most.min(self.counters.len()));
        for ranked in self.ranks.iter().rev().take(most) {
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

    /// Halves all counts, so that keys that were hot long ago fade.
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

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.counters.clear();
        self.ranks.clear();
    }

    /// Keys that are counted.
    #[must_use]
    pub fn len(&self) -> usize {
        self.counters.len()
    }

    /// Whether nothing has been counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }

    fn insert(&mut self, key: &K, counter: Counter) {
        let count = counter.count;
        let (index, _) = self.counters.insert_full(key.clone(), counter);
        self.ranks.insert(Ranked { count, index });
    }

    /// Gives the least counter to a new key, which inherits its count.
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
