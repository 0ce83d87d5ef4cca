//! Load of each key of a service, from samples of all instances.

use crate::gateway::leader::Span;
use crate::time::Mono;

/// Keys of a service.
const KEYS: usize = 1 << 16;

/// Fading load of all keys; the unit is requests in about a half-life and a half.
#[derive(Debug)]
pub struct KeyLoad {
    weight: Vec<f32>,
    /// Of all keys.
    total: f64,
    began: Mono,
    faded_at: Mono,
    half_life_ms: f64,
}

/// Shortest time of samples from which a rate is reckoned, in milliseconds: two reports.
const SHORTEST_MS: f64 = 200.0;

impl KeyLoad {
    /// No load; old samples lose half of their weight in `half_life_ms`.
    #[must_use]
    pub fn new(now: Mono, half_life_ms: f64) -> Self {
        Self {
            weight: vec![0.0; KEYS],
            total: 0.0,
            began: now,
            faded_at: now,
            half_life_ms,
        }
    }

    /// Factor from the load's unit to requests a second: the weight of a steady
    /// stream is its rate times the half-life over ln 2, once it has lasted for long.
    #[must_use]
    pub fn per_second(&self) -> f64 {
        let steady = std::f64::consts::LN_2 / (self.half_life_ms / 1_000.0);
        let age_ms = self.faded_at.since(self.began) as f64;
        if age_ms == 0.0 {
            return steady;
        }
        // Part of its final weight that a stream has reached by now.
        let reached = 1.0 - (-age_ms.max(SHORTEST_MS) / self.half_life_ms).exp2();
        steady / reached
    }

    /// Takes a request for a key.
    pub fn add(&mut self, key: u16) {
        self.weight[usize::from(key)] += 1.0;
        self.total += 1.0;
    }

    /// Lets old samples fade.
    pub fn decay(&mut self, now: Mono) {
        let by = (-(now.since(self.faded_at) as f64) / self.half_life_ms).exp2();
        self.total *= by;
        self.faded_at = now;
        #[expect(clippy::cast_possible_truncation, reason = "a factor between 0 and 1")]
        let by_key = by as f32;
        for weight in &mut self.weight {
            *weight *= by_key;
        }
    }

    /// Load of a span.
    #[must_use]
    pub fn of(&self, span: Span) -> f64 {
        let keys = usize::from(span.first)..=usize::from(span.last);
        self.weight[keys].iter().map(|w| f64::from(*w)).sum()
    }

    /// The key of a span that is asked for most, and its load.
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

    /// The shortest start of `span` whose load is at least `wanted`.
    ///
    /// Returns its last key and its load; the whole span if it has less.
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

/// Standard errors, and requests beyond these, by which the recent load of keys must differ
/// from the steady one to be believed.
///
/// Load: 229 endpoints do seven requests a second each, of which a short look has four.
/// By the short look alone keys of whichever had eight by chance were moved all day. With
/// these, one in a million looks at an unchanged range takes it for changed, and a range
/// that gets a hundred more a second is seen in a quarter of a second.
const CHANGED_ERRORS: f64 = 4.0;
const CHANGED_REQUESTS: f64 = 4.0;

/// Load of all keys over a longer and a shorter time.
///
/// The longer one tells endpoints apart; the shorter one sees hot keys come and go.
#[derive(Debug)]
pub struct KeyLoads {
    steady: KeyLoad,
    recent: KeyLoad,
}

impl KeyLoads {
    /// No load; the half-lives are in milliseconds.
    #[must_use]
    pub fn new(now: Mono, steady_ms: f64, recent_ms: f64) -> Self {
        Self {
            steady: KeyLoad::new(now, steady_ms),
            recent: KeyLoad::new(now, recent_ms),
        }
    }

    /// Takes a request for a key.
    pub fn add(&mut self, key: u16) {
        self.steady.add(key);
        self.recent.add(key);
    }

    /// Lets old samples fade.
    pub fn decay(&mut self, now: Mono) {
        self.steady.decay(now);
        self.recent.decay(now);
    }

    /// Load of a span, in requests a second.
    #[must_use]
    pub fn of(&self, span: Span) -> f64 {
        self.rates(self.window_for(span, false)).of(span)
    }

    /// Requests a second that a new request adds to the steady load of its key.
    #[must_use]
    pub fn per_request(&self) -> f64 {
        self.steady.per_second()
    }

    /// Which look tells the load of a span: the long one, unless it has clearly changed.
    ///
    /// Load: of 200 hot keys an endpoint gets two or three that seemed half as hot when they
    /// were dealt out, after 0.3 s. That it has more than it can do is known by its queue
    /// (`queued`), so the short look is believed where it says so.
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

    /// The loads by one look.
    #[must_use]
    pub fn rates(&self, look: LoadWindow) -> Rates<'_> {
        match look {
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

    /// How much the load of all keys together has changed against the steady one.
    ///
    /// Load: traffic begins, or doubles within a second. The longer look has half of it after
    /// six seconds, and a range that is hot meanwhile was spread over endpoints that seemed
    /// half as used as they were. All requests together show the change at once.
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

/// A longer or a shorter time in which requests were counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadWindow {
    /// The longer one.
    Steady,
    /// The shorter one.
    Recent,
}

/// Loads of keys by one look, in requests a second.
#[derive(Debug, Clone, Copy)]
pub struct Rates<'a> {
    load: &'a KeyLoad,
    per_second: f64,
}

impl Rates<'_> {
    /// Load of a span.
    #[must_use]
    pub fn of(&self, span: Span) -> f64 {
        self.load.of(span) * self.per_second
    }

    /// Requests that the load of a span was reckoned from.
    #[must_use]
    pub fn samples(&self, span: Span) -> f64 {
        self.load.of(span)
    }

    /// The key of a span that is asked for most, and its load.
    #[must_use]
    pub fn hottest(&self, span: Span) -> (u16, f64) {
        let (key, weight) = self.load.hottest(span);
        (key, weight * self.per_second)
    }

    /// The shortest start of `span` with at least `wanted`.
    ///
    /// Returns its last key and its load; the whole span if it has less.
    #[must_use]
    pub fn prefix(&self, span: Span, wanted: f64) -> (u16, f64) {
        let (last, weight) = self.load.prefix(span, wanted / self.per_second);
        (last, weight * self.per_second)
    }
}

/// Whether a short look differs from what is expected by more than chance.
fn has_changed(seen: f64, expected: f64) -> bool {
    let off = (seen - expected).abs();
    off > CHANGED_ERRORS.mul_add(expected.sqrt(), CHANGED_REQUESTS)
}
