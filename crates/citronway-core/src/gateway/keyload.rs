//! Load of each key of a service, as decaying counts of the requests that all instances sample.

use crate::gateway::leader::Span;
use crate::time::Mono;

/// Number of keys of a service.
const KEYS: usize = 1 << 16;

/// Decaying load of all keys. The unit is requests in about 1.5 half-lives.
#[derive(Debug)]
pub struct KeyLoad {
    weight: Vec<f32>,
    /// Load of all keys together.
    total: f64,
    began: Mono,
    decayed_at: Mono,
    half_life_ms: f64,
}

/// Shortest time over which a rate is calculated, in milliseconds: two reports.
const MIN_AGE_MS: f64 = 200.0;

impl KeyLoad {
    /// Creates the load without any requests. Old requests lose half of their weight in
    /// `half_life_ms`.
    #[must_use]
    pub fn new(now: Mono, half_life_ms: f64) -> Self {
        Self {
            weight: vec![0.0; KEYS],
            total: 0.0,
            began: now,
            decayed_at: now,
            half_life_ms,
        }
    }

    /// Factor from the load's unit to requests a second. The load of a steady stream of requests
    /// approaches its rate times the half-life divided by ln 2.
    #[must_use]
    pub fn per_second(&self) -> f64 {
        let steady = std::f64::consts::LN_2 / (self.half_life_ms / 1_000.0);
        let age_ms = self.decayed_at.since(self.began) as f64;
        if age_ms == 0.0 {
            return steady;
        }
        // Part of its final load that a steady stream has reached by now.
        let reached = 1.0 - (-age_ms.max(MIN_AGE_MS) / self.half_life_ms).exp2();
        steady / reached
    }

    /// Adds a request for a key.
    pub fn add(&mut self, key: u16) {
        self.weight[usize::from(key)] += 1.0;
        self.total += 1.0;
    }

    /// Multiplies the load of all keys.
    fn scale(&mut self, by: f64) {
        self.total *= by;
        #[expect(clippy::cast_possible_truncation, reason = "a factor of about 1")]
        let by_key = by as f32;
        for weight in &mut self.weight {
            *weight *= by_key;
        }
    }

    /// Sets the load of a key.
    fn set(&mut self, key: u16, load: f64) {
        let weight = &mut self.weight[usize::from(key)];
        self.total += load - f64::from(*weight);
        #[expect(clippy::cast_possible_truncation, reason = "some requests")]
        let load = load as f32;
        *weight = load;
    }

    /// Applies the decay up to `now`.
    pub fn decay(&mut self, now: Mono) {
        let by = (-(now.since(self.decayed_at) as f64) / self.half_life_ms).exp2();
        self.total *= by;
        self.decayed_at = now;
        #[expect(clippy::cast_possible_truncation, reason = "a factor between 0 and 1")]
        let by_key = by as f32;
        for weight in &mut self.weight {
            *weight *= by_key;
        }
    }

    /// Load of a range of keys.
    #[must_use]
    pub fn of(&self, span: Span) -> f64 {
        let keys = usize::from(span.first)..=usize::from(span.last);
        self.weight[keys].iter().map(|w| f64::from(*w)).sum()
    }

    /// The key of a range with the most load, and its load.
    #[must_use]
    pub fn hottest(&self, span: Span) -> (u16, f64) {
        let mut found = (span.first, 0.0);
        for key in span.first..=span.last {
            let weight = f64::from(self.weight[usize::from(key)]);
            if weight > found.1 {
                found = (key, weight);
            }
        }
        found
    }

    /// The shortest prefix of `span` whose load is at least `wanted`.
    ///
    /// Returns the last key and the load of the prefix, which is the whole of `span` if its load is
    /// less than `wanted`.
    #[must_use]
    pub fn prefix(&self, span: Span, wanted: f64) -> (u16, f64) {
        let mut sum = 0.0;
        for key in span.first..=span.last {
            sum += f64::from(self.weight[usize::from(key)]);
            if sum >= wanted {
                return (key, sum);
            }
        }
        (span.last, sum)
    }
}

/// Number of standard errors by which the recent load must differ from the expected load to count
/// as a change; [`CHANGED_REQUESTS`] are added.
///
/// Load: 229 endpoints serve seven requests a second each, of which the short window contains
/// four. By the short window alone, keys of endpoints that happen to have eight are moved all the
/// time. With both constants, one in a million checks of an unchanged range finds a change, and
/// a range that gets a hundred more requests a second is found within a quarter of a second.
const CHANGED_ERRORS: f64 = 4.0;

/// Number of requests, in addition to [`CHANGED_ERRORS`], by which the recent load must differ
/// from the expected load.
const CHANGED_REQUESTS: f64 = 4.0;

/// Load of all keys over a long and a short window.
///
/// The long window separates the loads of endpoints; the short window shows changes of hot
/// keys.
#[derive(Debug)]
pub struct KeyLoads {
    steady: KeyLoad,
    recent: KeyLoad,
}

impl KeyLoads {
    /// Creates the loads without any requests. The arguments are the half-lives of the two windows,
    /// in milliseconds.
    #[must_use]
    pub fn new(now: Mono, steady_ms: f64, recent_ms: f64) -> Self {
        Self {
            steady: KeyLoad::new(now, steady_ms),
            recent: KeyLoad::new(now, recent_ms),
        }
    }

    /// Adds a request for a key.
    pub fn add(&mut self, key: u16) {
        self.steady.add(key);
        self.recent.add(key);
    }

    /// Applies the decay up to `now`.
    pub fn decay(&mut self, now: Mono) {
        self.steady.decay(now);
        self.recent.decay(now);
    }

    /// Sets the long window to loads from another source: those of some keys, in requests
    /// a second, and for all other keys the factor by which theirs has changed.
    pub fn set_steady(&mut self, others_factor: f64, known: &[(Span, Vec<f64>)]) {
        // The rates of the long window include the change of the total, which is applied now.
        let factor = others_factor * self.surge();
        self.steady.scale(factor);
        let per_second = self.steady.per_second();
        for (span, rates) in known {
            for (key, rate) in (span.first..=span.last).zip(rates) {
                self.steady.set(key, rate / per_second);
            }
        }
    }

    /// Load of a range of keys, in requests a second.
    #[must_use]
    pub fn of(&self, span: Span) -> f64 {
        self.rates(self.window_for(span, false)).of(span)
    }

    /// Requests a second that one request adds to the steady load of its key.
    #[must_use]
    pub fn per_request(&self) -> f64 {
        self.steady.per_second()
    }

    /// The window to use for the load of a range: the long one, unless the load has clearly
    /// changed.
    ///
    /// Load: of 200 hot keys that are distributed after 0.3 s, an endpoint gets two or three
    /// whose load was underestimated by half. Its queue (`queued`) shows that it is overloaded,
    /// so a higher load in the short window is trusted without further evidence.
    #[must_use]
    pub fn window_for(&self, span: Span, queued: bool) -> LoadWindow {
        let steady = self.steady.of(span) * self.steady.per_second() * self.surge();
        let expected = steady / self.recent.per_second();
        let recent = self.recent.of(span);
        if has_changed(recent, expected) || (queued && recent > expected) {
            LoadWindow::Recent
        } else {
            LoadWindow::Steady
        }
    }

    /// Loads of keys in one window.
    #[must_use]
    pub fn rates(&self, window: LoadWindow) -> Rates<'_> {
        match window {
            LoadWindow::Recent => Rates {
                load: &self.recent,
                per_second: self.recent.per_second(),
            },
            LoadWindow::Steady => Rates {
                load: &self.steady,
                per_second: self.steady.per_second() * self.surge(),
            },
        }
    }

    /// Factor by which the total load of all keys differs from the steady total.
    ///
    /// Load: traffic begins, or doubles within a second. The long window shows half of the change
    /// after six seconds, and in the meantime a hot range is spread over endpoints whose use is
    /// underestimated by half. The total of all keys shows the change at once.
    fn surge(&self) -> f64 {
        let steady = self.steady.total * self.steady.per_second();
        let expected = steady / self.recent.per_second();
        let recent = self.recent.total;
        if steady <= 0.0 || !has_changed(recent, expected) {
            return 1.0;
        }
        recent / expected
    }
}

/// Window over which requests are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadWindow {
    /// The long window.
    Steady,
    /// The short window.
    Recent,
}

/// Loads of keys in one window, in requests a second.
#[derive(Debug, Clone, Copy)]
pub struct Rates<'a> {
    load: &'a KeyLoad,
    per_second: f64,
}

impl Rates<'_> {
    /// Load of a range of keys.
    #[must_use]
    pub fn of(&self, span: Span) -> f64 {
        self.load.of(span) * self.per_second
    }

    /// Number of requests from which the load of a range was calculated.
    #[must_use]
    pub fn samples(&self, span: Span) -> f64 {
        self.load.of(span)
    }

    /// The key of a range with the most load, and its load.
    #[must_use]
    pub fn hottest(&self, span: Span) -> (u16, f64) {
        let (key, weight) = self.load.hottest(span);
        (key, weight * self.per_second)
    }

    /// The shortest prefix of `span` whose load is at least `wanted`.
    ///
    /// Returns the last key and the load of the prefix, which is the whole of `span` if its load is
    /// less than `wanted`.
    #[must_use]
    pub fn prefix(&self, span: Span, wanted: f64) -> (u16, f64) {
        let (last, weight) = self.load.prefix(span, wanted / self.per_second);
        (last, weight * self.per_second)
    }
}

/// Whether the load in the short window differs from the expected load by more than chance.
fn has_changed(seen: f64, expected: f64) -> bool {
    let off = (seen - expected).abs();
    off > CHANGED_ERRORS.mul_add(expected.sqrt(), CHANGED_REQUESTS)
}
