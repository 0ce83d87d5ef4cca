//! Which keys should go to which endpoint of a service.
//!
//! Endpoints that leave or are lost are emptied first, idle ones are given work,
//! and what is left over goes to evening out: the most loaded endpoint gives a
//! piece of its hottest range to the least loaded. Moves cost, so each has to
//! bring the two clearly closer.

use indexmap::IndexMap;

use crate::gateway::assignment::{Assignment, Range};
use crate::gateway::keeper::{Move, Span};
use crate::gateway::keyload::KeyLoad;
use crate::ids::EndpointName;

/// Load above its slots at which an endpoint is relieved: work in progress, as a
/// share of its slots at its own speed. Below it no request waits for long.
const RELIEVE_ABOVE: f64 = 0.8;

/// How much fuller the giver must be than the taker after the move, as a factor.
const WORTH_MOVING: f64 = 1.15;

/// Moves of one service that are under way at the same time.
const MAX_IN_MOTION: usize = 12;

/// Moves begun for evening out in one step.
const MAX_BEGUN: usize = 4;

/// Pieces that a range of a leaving endpoint is cut into at most.
const MAX_PIECES: usize = 3;

/// An endpoint that can hold keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Place {
    /// Which endpoint.
    pub endpoint: EndpointName,
    /// Requests a second it can do: slots over the time of work at its speed.
    pub capacity: f64,
    /// Keys may be given to it.
    pub takes: bool,
    /// Its keys must go elsewhere.
    pub must_leave: bool,
}

/// What the decision rests on.
#[derive(Debug, Clone, Copy)]
pub struct Scene<'a> {
    /// The row as it stands.
    pub row: &'a Assignment,
    /// Load by key.
    pub load: &'a KeyLoad,
    /// Factor from the load's unit to requests a second.
    pub per_s: f64,
    /// All endpoints of the service.
    pub places: &'a [Place],
}

/// Moves that should begin now, the most urgent first.
#[must_use]
pub fn propose(scene: &Scene<'_>) -> Vec<Move> {
    let mut plan = Plan::new(scene);
    plan.empty_leaving();
    plan.use_idle();
    plan.relieve();
    plan.moves
}

struct Plan<'a> {
    scene: &'a Scene<'a>,
    /// Load of each endpoint once all moves have ended.
    load: IndexMap<&'a EndpointName, f64>,
    moves: Vec<Move>,
    in_motion: usize,
}

impl<'a> Plan<'a> {
    fn new(scene: &'a Scene<'a>) -> Self {
        let mut load: IndexMap<_, _> = scene.places.iter().map(|p| (&p.endpoint, 0.0)).collect();
        for range in &scene.row.ranges {
            let owner = owner_to_be(range);
            *load.entry(owner).or_default() += scene.load.of(range.span()) * scene.per_s;
        }
        let in_motion = scene.row.ranges.iter().filter(|r| r.is_moving()).count();
        Self {
            scene,
            load,
            moves: Vec::new(),
            in_motion,
        }
    }

    fn place(&self, endpoint: &EndpointName) -> Option<&'a Place> {
        self.scene.places.iter().find(|p| p.endpoint == *endpoint)
    }

    /// Share of an endpoint's capacity that is used, with `more` added.
    fn usage(&self, place: &Place, more: f64) -> f64 {
        let load = self.load.get(&place.endpoint).copied().unwrap_or_default();
        (load + more) / place.capacity.max(f64::MIN_POSITIVE)
    }

    fn emptiest(&self, more: f64) -> Option<&'a Place> {
        let usable = self
            .scene
            .places
            .iter()
            .filter(|p| p.takes && !p.must_leave);
        usable.min_by(|a, b| self.usage(a, more).total_cmp(&self.usage(b, more)))
    }

    fn shift(&mut self, span: Span, from: &'a EndpointName, to: &'a Place) {
        let load = self.scene.load.of(span) * self.scene.per_s;
        *self.load.entry(from).or_default() -= load;
        *self.load.entry(&to.endpoint).or_default() += load;
        self.moves.push(Move {
            span,
            to: to.endpoint.clone(),
        });
    }

    /// Moves the ranges of endpoints that leave, are lost or are not listed.
    fn empty_leaving(&mut self) {
        for range in &self.scene.row.ranges {
            let owner = owner_to_be(range);
            if self.place(owner).is_some_and(|place| !place.must_leave) {
                continue;
            }
            for span in self.pieces(range) {
                let load = self.scene.load.of(span) * self.scene.per_s;
                if let Some(to) = self.emptiest(load) {
                    self.shift(span, owner, to);
                }
            }
        }
    }

    /// Cuts a range so that no single endpoint gets too much at once.
    fn pieces(&self, range: &Range) -> Vec<Span> {
        let span = range.span();
        let wide = range.width() >= 64 && !range.is_moving();
        let load = self.scene.load.of(span) * self.scene.per_s;
        let room = self
            .emptiest(0.0)
            .map_or(0.0, |p| (1.0 - self.usage(p, 0.0)) * p.capacity);
        if !wide || load <= room * 0.5 {
            return vec![span];
        }
        let part = self.scene.load.of(span) / MAX_PIECES as f64;
        let mut pieces = Vec::new();
        let mut rest = span;
        while pieces.len() + 1 < MAX_PIECES {
            let (last, _) = self.scene.load.prefix(rest, part);
            if last >= rest.last {
                break;
            }
            pieces.push(Span { last, ..rest });
            rest.first = last + 1;
        }
        pieces.push(rest);
        pieces
    }

    /// Gives work to endpoints that hold no keys.
    fn use_idle(&mut self) {
        for place in self.scene.places {
            if !place.takes || place.must_leave || self.holds_keys(&place.endpoint) {
                continue;
            }
            if let Some((span, from)) = self.piece_of_fullest(place) {
                self.shift(span, from, place);
            }
        }
    }

    fn holds_keys(&self, endpoint: &EndpointName) -> bool {
        let rows = &self.scene.row.ranges;
        rows.iter().any(|range| owner_to_be(range) == endpoint)
            || self.moves.iter().any(|wish| wish.to == *endpoint)
    }

    /// Evens out while an endpoint has more than it can do.
    fn relieve(&mut self) {
        for _ in 0..MAX_BEGUN {
            if self.in_motion + self.moves.len() >= MAX_IN_MOTION {
                return;
            }
            let Some(to) = self.emptiest(0.0) else { return };
            let Some((span, from)) = self.piece_of_fullest(to) else {
                return;
            };
            let Some(giver) = self.place(from) else {
                return;
            };
            let load = self.scene.load.of(span) * self.scene.per_s;
            let worth = self.usage(giver, 0.0) > RELIEVE_ABOVE
                && self.usage(giver, 0.0) > self.usage(to, load) * WORTH_MOVING;
            if !worth || load <= 0.0 {
                return;
            }
            self.shift(span, from, to);
        }
    }

    /// A piece of the hottest range of the fullest endpoint that evens it with `to`.
    fn piece_of_fullest(&self, to: &Place) -> Option<(Span, &'a EndpointName)> {
        let fullest = self
            .scene
            .places
            .iter()
            .filter(|place| place.endpoint != to.endpoint)
            .max_by(|a, b| self.usage(a, 0.0).total_cmp(&self.usage(b, 0.0)))?;
        let taken = |range: &Range| self.moves.iter().any(|m| m.span.overlaps(range.span()));
        let range = self
            .scene
            .row
            .ranges
            .iter()
            .filter(|r| !r.is_moving() && r.holder.endpoint == fullest.endpoint && !taken(r))
            .max_by(|a, b| {
                self.scene
                    .load
                    .of(a.span())
                    .total_cmp(&self.scene.load.of(b.span()))
            })?;
        let span = range.span();
        // What to move so that both are used to the same part.
        let given = self.usage(fullest, 0.0) - self.usage(to, 0.0);
        let wanted = given / (1.0 / fullest.capacity + 1.0 / to.capacity.max(f64::MIN_POSITIVE));
        let (last, _) = self.scene.load.prefix(span, wanted / self.scene.per_s);
        if last >= span.last && span.first == span.last {
            return None;
        }
        if last >= span.last {
            // The whole range is less than is wanted.
            return Some((span, &range.holder.endpoint));
        }
        Some((Span { last, ..span }, &range.holder.endpoint))
    }
}

fn owner_to_be(range: &Range) -> &EndpointName {
    &range.next.as_ref().unwrap_or(&range.holder).endpoint
}
