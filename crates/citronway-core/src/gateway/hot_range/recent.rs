//! Keys of the last requests, by the time at which they were reported.

use std::collections::VecDeque;

use crate::time::Mono;

/// Windows over which rates are calculated, in milliseconds. Instances report every 100 to 200 ms,
/// so the short one contains about one report of each.
pub(super) const WINDOWS_MS: [u64; 2] = [200, 400];

/// Maximum number of samples: 0.4 s of a service with 50,000 requests a second, in 320 KB.
const MAX_SAMPLES: usize = 20_000;

/// Keys of the requests of the last [`WINDOWS_MS`].
///
/// A decaying count shows a sixth of a new load after 0.1 s, and a hot range that is divided by it
/// has to be divided again. A window that began with the load shows all of it.
#[derive(Debug, Default)]
pub(super) struct RecentKeys {
    samples: VecDeque<(Mono, u16)>,
    /// Time since which no sample is missing.
    complete_since: Mono,
}

impl RecentKeys {
    pub(super) fn new(now: Mono) -> Self {
        Self {
            samples: VecDeque::new(),
            complete_since: now,
        }
    }

    pub(super) fn add(&mut self, now: Mono, key: u16) {
        if self.samples.len() == MAX_SAMPLES
            && let Some((at, _)) = self.samples.pop_front()
        {
            self.complete_since = at;
        }
        self.samples.push_back((now, key));
    }

    pub(super) fn prune(&mut self, now: Mono) {
        let longest = WINDOWS_MS[WINDOWS_MS.len() - 1];
        while let Some((at, _)) = self.samples.front()
            && now.since(*at) >= longest
        {
            self.samples.pop_front();
        }
    }

    /// Length of a window in seconds, without the time before the samples began; `None` if that
    /// leaves less than the shortest window.
    pub(super) fn seconds(&self, now: Mono, window_ms: u64) -> Option<f64> {
        let known_ms = now.since(self.complete_since);
        let ms = window_ms.min(known_ms);
        (ms >= WINDOWS_MS[0]).then_some(ms as f64 / 1_000.0)
    }

    /// Keys of the requests in a window, each as often as it was requested.
    pub(super) fn keys(&self, now: Mono, window_ms: u64) -> impl Iterator<Item = u16> {
        let newest_first = self.samples.iter().rev();
        newest_first
            .take_while(move |(at, _)| now.since(*at) < window_ms)
            .map(|(_, key)| *key)
    }
}
