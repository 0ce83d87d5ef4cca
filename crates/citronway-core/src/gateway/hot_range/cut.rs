//! Cuts the keys of a hot endpoint into pieces, and chooses who gets them.

use indexmap::IndexMap;

use super::{HotOwners, RangeRate, at_least, by_load, planned_owner, total_capacity};
use crate::gateway::assignment::Assignment;
use crate::gateway::hot_range::recent::WINDOWS_MS;
use crate::gateway::keyload::{KeyLoads, LoadWindow};
use crate::gateway::leader::{Move, Span};
use crate::gateway::placement::PlacementEndpoint;

/// Bounds of the usage up to which a division fills endpoints.
///
/// The lower one bounds the number of pieces in a service that has much room; above the upper one
/// requests wait for long.
const LEVEL: (f64, f64) = (0.6, 0.9);

/// Usage up to which a division fills an endpoint by a single key. Beyond the usual bound its
/// requests wait, but less than at an owner that has many times what it can serve.
const KEY_LEVEL: f64 = 1.1;

/// Factor and summand by which that usage exceeds the average usage, since the load of a piece is
/// known to a fifth only.
const LEVEL_ABOVE_AVERAGE: (f64, f64) = (1.2, 0.1);

/// Minimum part of an endpoint's capacity that a piece fills. A smaller one stays.
const MIN_PIECE: f64 = 0.08;

/// Bounds of the factor by which the load of the other keys has changed since the hot range began.
const OTHERS_FACTOR: (f64, f64) = (0.2, 2.0);

/// Part of the load of a piece's hottest key below which keys at its end stay.
const COLD_PART: f64 = 0.1;

/// Pieces of one endpoint.
#[derive(Debug, Default)]
pub(super) struct Cut {
    pub moves: Vec<Move>,
    pub hot_key: Option<u16>,
    /// Load of each key of the endpoint's ranges.
    pub rates: Vec<(Span, Vec<f64>)>,
}

/// Endpoints that can take pieces, with their load after the division.
#[derive(Debug)]
pub(super) struct Targets<'a> {
    endpoints: Vec<(&'a PlacementEndpoint, f64)>,
    /// Usage up to which they are filled.
    level: f64,
    /// Factor by which the load of the keys that are not divided differs from the long window.
    pub others_factor: f64,
    /// Load of each key that is divided.
    pub known: Vec<(Span, Vec<f64>)>,
}

impl<'a> Targets<'a> {
    pub(super) fn new(
        row: &Assignment,
        rates: &[RangeRate],
        loads: &KeyLoads,
        endpoints: &'a [PlacementEndpoint],
        hot: &HotOwners<'_>,
    ) -> Self {
        let steady = loads.rates(LoadWindow::Steady);
        let mut by_owner = IndexMap::<_, f64>::new();
        let (mut others, mut others_now) = (0.0, 0.0);
        for (range, rate) in row.ranges.iter().zip(rates) {
            let owner = planned_owner(range);
            if hot.contains_key(owner) {
                continue;
            }
            let load = steady.of(range.span());
            *by_owner.entry(owner).or_default() += load;
            others += load;
            others_now += rate.per_s;
        }
        // Failure: when a hot range begins, the others have a third less than before. By their
        // earlier load the service seems full, and the hot range is not spread far enough.
        let others_factor = if others > 0.0 {
            (others_now / others).clamp(OTHERS_FACTOR.0, OTHERS_FACTOR.1)
        } else {
            1.0
        };
        let usable = endpoints
            .iter()
            .filter(|p| p.accepts_keys && !p.must_drain && !hot.contains_key(&p.endpoint));
        let load_of = |p: &PlacementEndpoint| {
            let load = by_owner.get(&p.endpoint).copied().unwrap_or_default();
            load * others_factor
        };
        let average = rates.iter().map(|rate| rate.per_s).sum::<f64>() / total_capacity(endpoints);
        let wanted = average.mul_add(LEVEL_ABOVE_AVERAGE.0, LEVEL_ABOVE_AVERAGE.1);
        Self {
            endpoints: usable.map(|p| (p, load_of(p))).collect(),
            level: wanted.clamp(LEVEL.0, LEVEL.1).max(average),
            others_factor,
            known: Vec::new(),
        }
    }

    /// Load that an endpoint can still take, in requests a second.
    fn room(&self, i: usize) -> f64 {
        self.room_to(i, self.level)
    }

    /// Load that an endpoint can still take up to a usage, in requests a second.
    fn room_to(&self, i: usize, usage: f64) -> f64 {
        let (endpoint, load) = self.endpoints[i];
        endpoint.capacity.mul_add(usage, -load)
    }

    /// The endpoint that can take most; `None` if there is none.
    fn roomiest(&self) -> Option<usize> {
        (0..self.endpoints.len()).max_by(|a, b| by_load(self.room(*a), self.room(*b)))
    }

    /// Largest load that an endpoint without other keys would take.
    fn largest(&self) -> f64 {
        let level = self.level.max(KEY_LEVEL);
        let capacities = self.endpoints.iter().map(|(p, _)| p.capacity * level);
        capacities.fold(0.0, f64::max)
    }
}

/// Cuts the keys of one endpoint.
pub(super) struct Cutter<'a> {
    owner: &'a PlacementEndpoint,
    /// Load that stays, in requests a second.
    stays: f64,
    has_hot_key: bool,
    pub cut: Cut,
}

impl<'a> Cutter<'a> {
    pub(super) fn new(owner: &'a PlacementEndpoint) -> Self {
        Self {
            owner,
            stays: 0.0,
            has_hot_key: false,
            cut: Cut::default(),
        }
    }

    /// Finds the key that no endpoint can serve alone. It stays, and takes all that its owner has.
    ///
    /// Failure guarded against: such a key moves, all its callers connect to the new owner at
    /// once, which resets their connections, and soon it moves again.
    pub(super) fn find_hot_key(&mut self, span: Span, of_keys: &[f64], targets: &Targets<'_>) {
        let most = targets.largest().max(self.owner.capacity * targets.level);
        for (key, load) in (span.first..=span.last).zip(of_keys) {
            let count = load * WINDOWS_MS[1] as f64 / 1_000.0;
            if at_least(*load, count) <= most {
                continue;
            }
            self.has_hot_key = true;
            self.stays += load;
            self.cut.hot_key.get_or_insert(key);
        }
    }

    /// Cuts one range of the endpoint: its first keys stay, as far as the endpoint can serve them,
    /// and each further piece goes to the endpoint that can take most.
    pub(super) fn cut_span(&mut self, span: Span, of_keys: &[f64], targets: &mut Targets<'_>) {
        let most = targets.largest().max(self.owner.capacity * targets.level);
        let keep = self.owner.capacity * targets.level;
        let mut from = 0;
        while from < of_keys.len() {
            let load = of_keys[from];
            if load > most {
                // Found to be hot before, or too hot by chance.
                from += 1;
                continue;
            }
            if self.stays + load <= keep {
                self.stays += load;
                from += 1;
                continue;
            }
            let Some(target) = targets.roomiest() else {
                return;
            };
            let room = targets.room(target);
            let (mut to, mut sum) = piece(&of_keys[from..], room.min(most), most);
            if to == 0 && load <= targets.room_to(target, targets.level.max(KEY_LEVEL)) {
                // A key on its own may fill its owner further than a piece whose size is chosen.
                (to, sum) = (1, load);
            }
            let (endpoint, before) = targets.endpoints[target];
            let is_small = sum < endpoint.capacity * MIN_PIECE;
            // Beside a key that takes all of the owner, also a small piece is not served.
            if to == 0 || (is_small && !self.has_hot_key) {
                self.stays += sum.max(load);
                from += to.max(1);
                continue;
            }
            targets.endpoints[target].1 = before + sum;
            let is_end = from + to == of_keys.len();
            let moved = if is_end && !self.has_hot_key {
                without_cold_end(&of_keys[from..])
            } else {
                to
            };
            self.push(span, from, from + moved, endpoint);
            from += to;
        }
    }

    fn push(&mut self, span: Span, from: usize, to: usize, endpoint: &PlacementEndpoint) {
        let key = |i: usize| u16::try_from(usize::from(span.first) + i).unwrap_or(u16::MAX);
        self.cut.moves.push(Move {
            span: Span {
                first: key(from),
                last: key(to - 1),
            },
            to: endpoint.endpoint.clone(),
        });
    }
}

/// Number of keys whose load together is at most `room`, and their load. A key with a load above
/// `most` ends the piece.
fn piece(of_keys: &[f64], room: f64, most: f64) -> (usize, f64) {
    let mut sum = 0.0;
    for (i, load) in of_keys.iter().enumerate() {
        if *load > most || sum + load > room {
            return (i, sum);
        }
        sum += load;
    }
    (of_keys.len(), sum)
}

/// Number of keys of a piece without those at its end that have next to no load, so that they need
/// no handover.
fn without_cold_end(of_keys: &[f64]) -> usize {
    let hottest = of_keys.iter().copied().fold(0.0, f64::max);
    let limit = hottest * COLD_PART;
    let last = of_keys.iter().rposition(|load| *load > limit);
    last.map_or(of_keys.len(), |i| i + 1)
}
