//! Which keys should go to which endpoint of a service.
//!
//! Endpoints that leave or are lost are emptied first, idle ones are given work,
//! and what is left over goes to evening out: the most loaded endpoint gives a
//! piece of its hottest range to the least loaded. Moves cost, so each has to
//! bring the two clearly closer. While some endpoints have queues, only these give.

use indexmap::IndexMap;

use crate::gateway::assignment::{Assignment, max_ranges};
use crate::gateway::keyload::{KeyLoads, LoadWindow};
use crate::gateway::leader::{Move, Span};
use crate::ids::EndpointStart;

/// Load above its slots at which an endpoint is relieved: work in progress, as a
/// share of its slots at its own speed. Below it no request waits for long.
const RELIEVE_ABOVE: f64 = 0.8;

/// Share of its capacity up to which an endpoint is given more, in a service with room.
const FILL_TO: f64 = 0.9;

/// How far a load is believed to be below what was sampled, in standard errors.
///
/// Load: endpoints with few slots do eight requests a second, of which a short look has
/// three. Chance alone then made one in five seem overloaded, and hundreds of ranges
/// were cut and moved for nothing.
const DOUBT: f64 = 0.7;

/// How much fuller the giver must be than the taker after the move, as a factor.
const WORTH_MOVING: f64 = 1.15;

/// Least part of the giver's capacity that a move for evening out must free; each costs
/// two writes and a moment in which its keys wait.
const MIN_GAIN: f64 = 0.08;

/// Moves of one service that are under way at the same time: this many at least, and
/// one for so many endpoints.
///
/// Each takes 50 to 300 ms, most of it for work that has to end. A hot range asks for
/// as many endpoints as its share of all load. With one move for twelve endpoints a
/// service of 379 took eight seconds longer to even out after a hot range.
const MIN_IN_MOTION: usize = 12;
const ENDPOINTS_A_MOVE: usize = 4;

/// Part of an endpoint's capacity above which one key is not moved for evening out.
///
/// Failure: one key is more than any endpoint can do. Moved, its callers meet the new
/// owner all at once, which resets their connections, and soon it is moved again. It
/// stays, and what else its endpoint has makes room for it.
const ONE_KEY: f64 = 0.8;

/// Parts that the load of a leaving endpoint's range is cut into at most.
const MAX_PIECES: f64 = 3.0;

/// Part of an endpoint's free capacity that one piece of a leaving one may fill.
const FILL_AT_ONCE: f64 = 0.5;

/// Ranges of fewer keys are not cut when an endpoint leaves.
const MIN_CUT: u16 = 64;

/// An endpoint that can hold keys.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementEndpoint {
    /// Which endpoint.
    pub endpoint: EndpointStart,
    /// Requests a second it can do: slots over the time of work at its speed.
    pub capacity: f64,
    /// Keys may be given to it.
    pub accepts_keys: bool,
    /// Its keys must go elsewhere.
    pub must_drain: bool,
    /// More requests wait for it than it has slots.
    pub has_queue: bool,
}

/// Pieces for each endpoint, and in all, above which small ones go to the owner of the
/// piece before them: at two for each endpoint a row of 500 is half full.
const PIECES_AN_ENDPOINT: usize = 2;
const MIN_PIECES: usize = 200;

/// Pieces that are joined in one plan: this many at least, and this part of those that
/// are too many; each is a move like any other.
const MIN_JOINED: usize = 12;
const JOINED_PART: usize = 4;

/// What the decision rests on.
#[derive(Debug, Clone, Copy)]
pub struct PlacementInput<'a> {
    /// The row as it stands.
    pub row: &'a Assignment,
    /// Load by key.
    pub load: &'a KeyLoads,
    /// All endpoints of the service.
    pub endpoints: &'a [PlacementEndpoint],
}

/// Moves that should begin now, the most urgent first.
#[must_use]
pub fn propose(scene: &PlacementInput<'_>) -> Vec<Move> {
    let mut plan = Plan::new(scene);
    plan.empty_leaving();
    plan.use_idle();
    plan.relieve();
    plan.consolidate();
    plan.into_moves()
}

struct Plan<'a> {
    scene: &'a PlacementInput<'a>,
    places: IndexMap<&'a EndpointStart, &'a PlacementEndpoint>,
    /// Load of each endpoint once all moves have ended.
    load: IndexMap<&'a EndpointStart, f64>,
    /// Requests that these loads were reckoned from.
    samples: IndexMap<&'a EndpointStart, f64>,
    /// Pieces of each endpoint once all moves have ended.
    held: IndexMap<&'a EndpointStart, usize>,
    pieces: Vec<Piece<'a>>,
    in_motion: usize,
}

/// Keys that stay together.
#[derive(Debug, Clone, Copy)]
struct Piece<'a> {
    span: Span,
    /// Who has them, or gets them by a move that is under way.
    owner: &'a EndpointStart,
    /// A move under way may only be turned aside as a whole.
    moving: bool,
    /// Who is to get them by this plan.
    to: Option<&'a EndpointStart>,
    /// The look that its load is by, also when it is cut.
    look: LoadWindow,
    /// In requests a second.
    load: f64,
    /// Requests that it was reckoned from.
    samples: f64,
}

impl<'a> Piece<'a> {
    fn owner_to_be(&self) -> &'a EndpointStart {
        self.to.unwrap_or(self.owner)
    }
}

impl<'a> Plan<'a> {
    fn new(scene: &'a PlacementInput<'a>) -> Self {
        let places: IndexMap<_, _> = scene.endpoints.iter().map(|p| (&p.endpoint, p)).collect();
        let mut load: IndexMap<_, _> = scene.endpoints.iter().map(|p| (&p.endpoint, 0.0)).collect();
        let mut samples = IndexMap::<_, f64>::new();
        let mut held = IndexMap::<_, usize>::new();
        let mut pieces = Vec::with_capacity(scene.row.ranges.len());
        for range in &scene.row.ranges {
            let owner = &range.next.as_ref().unwrap_or(&range.holder).endpoint;
            let span = range.span();
            let queued = places.get(owner).is_some_and(|place| place.has_queue);
            let look = scene.load.window_for(span, queued);
            let here = scene.load.rates(look).of(span);
            let seen = scene.load.rates(look).samples(span);
            *load.entry(owner).or_default() += here;
            *samples.entry(owner).or_default() += seen;
            *held.entry(owner).or_default() += 1;
            pieces.push(Piece {
                span,
                owner,
                moving: range.is_moving(),
                to: None,
                look,
                load: here,
                samples: seen,
            });
        }
        let in_motion = pieces.iter().filter(|piece| piece.moving).count();
        Self {
            scene,
            places,
            load,
            samples,
            held,
            pieces,
            in_motion,
        }
    }

    fn into_moves(self) -> Vec<Move> {
        let mut moves = Vec::new();
        for piece in &self.pieces {
            let Some(to) = piece.to.filter(|to| *to != piece.owner) else {
                continue;
            };
            moves.push(Move {
                span: piece.span,
                to: to.clone(),
            });
        }
        moves
    }

    fn place(&self, endpoint: &EndpointStart) -> Option<&'a PlacementEndpoint> {
        self.places.get(endpoint).copied()
    }

    /// Share of an endpoint's capacity that is used, with `more` added.
    fn usage(&self, place: &PlacementEndpoint, more: f64) -> f64 {
        let load = self.load.get(&place.endpoint).copied().unwrap_or_default();
        (load + more) / place.capacity.max(f64::MIN_POSITIVE)
    }

    /// Share of its capacity up to which an endpoint is filled by evening out: no queue, or
    /// what all have on average where that is more.
    ///
    /// Load: a hot range was halved from endpoint to endpoint, each of which then had
    /// many times what it can do; where all were full, keys went to and fro.
    fn fill_to(&self) -> f64 {
        let usable = self.scene.endpoints.iter().filter(|p| p.accepts_keys);
        let capacity = usable.map(|p| p.capacity).sum::<f64>();
        let load = self.load.values().sum::<f64>();
        (load / capacity.max(f64::MIN_POSITIVE)).max(FILL_TO)
    }

    /// Share of an endpoint's capacity that is used at least, by what was sampled.
    fn surely_used(&self, place: &PlacementEndpoint) -> f64 {
        let samples = self.samples.get(&place.endpoint).copied();
        let samples = samples.unwrap_or_default();
        self.usage(place, 0.0) * (1.0 - DOUBT / samples.max(1.0).sqrt())
    }

    fn emptiest(&self, more: f64) -> Option<&'a PlacementEndpoint> {
        let usable = self
            .scene
            .endpoints
            .iter()
            .filter(|p| p.accepts_keys && !p.must_drain);
        usable.min_by(|a, b| self.usage(a, more).total_cmp(&self.usage(b, more)))
    }

    fn assign(&mut self, i: usize, to: &'a PlacementEndpoint) {
        let piece = self.pieces[i];
        *self.load.entry(piece.owner_to_be()).or_default() -= piece.load;
        *self.load.entry(&to.endpoint).or_default() += piece.load;
        *self.samples.entry(piece.owner_to_be()).or_default() -= piece.samples;
        *self.samples.entry(&to.endpoint).or_default() += piece.samples;
        if let Some(held) = self.held.get_mut(piece.owner_to_be()) {
            *held = held.saturating_sub(1);
        }
        *self.held.entry(&to.endpoint).or_default() += 1;
        self.pieces[i].to = Some(&to.endpoint);
    }

    /// Cuts a piece behind `last`; the first part keeps its place in the list.
    fn cut(&mut self, i: usize, last: u16) {
        let piece = self.pieces[i];
        if piece.moving || last >= piece.span.last {
            return;
        }
        let before = Span { last, ..piece.span };
        let after = Span {
            first: last + 1,
            ..piece.span
        };
        let rates = self.scene.load.rates(piece.look);
        let load = rates.of(before).min(piece.load);
        let samples = rates.samples(before).min(piece.samples);
        self.pieces[i].span = before;
        self.pieces[i].load = load;
        self.pieces[i].samples = samples;
        let rest = Piece {
            span: after,
            load: piece.load - load,
            samples: piece.samples - samples,
            ..piece
        };
        self.pieces.insert(i + 1, rest);
        *self.held.entry(piece.owner_to_be()).or_default() += 1;
    }

    /// Moves the ranges of endpoints that leave, are lost or are not listed.
    fn empty_leaving(&mut self) {
        let mut i = 0;
        while i < self.pieces.len() {
            let piece = self.pieces[i];
            let stays = self
                .place(piece.owner)
                .is_some_and(|place| !place.must_drain);
            if !stays {
                self.cut_to_fit(i);
                let load = self.pieces[i].load;
                if let Some(to) = self.emptiest(load) {
                    self.assign(i, to);
                }
            }
            i += 1;
        }
    }

    /// Cuts a piece so that no single endpoint gets too much at once.
    fn cut_to_fit(&mut self, i: usize) {
        if self.pieces.len() > self.many_pieces() {
            return;
        }
        let piece = self.pieces[i];
        let room = self
            .emptiest(0.0)
            .map_or(0.0, |p| (1.0 - self.usage(p, 0.0)) * p.capacity);
        let most = (room * FILL_AT_ONCE).max(piece.load / MAX_PIECES);
        if piece.span.last - piece.span.first < MIN_CUT || piece.load <= most {
            return;
        }
        let (last, _) = self.scene.load.rates(piece.look).prefix(piece.span, most);
        self.cut(i, last);
    }

    /// Gives work to endpoints that hold no keys.
    fn use_idle(&mut self) {
        for place in self.scene.endpoints {
            let idle = self.held.get(&place.endpoint).is_none_or(|held| *held == 0);
            if !place.accepts_keys || place.must_drain || !idle {
                continue;
            }
            for giver in self.fullest_first() {
                if self.give(giver, place, 0.0) {
                    break;
                }
            }
        }
    }

    /// Evens out while an endpoint has more than it can do.
    fn relieve(&mut self) {
        let most = (self.scene.endpoints.len() / ENDPOINTS_A_MOVE).max(MIN_IN_MOTION);
        for _ in self.in_motion..most {
            let Some(to) = self.emptiest(0.0) else { return };
            let givers = self.fullest_first();
            let queues = givers.iter().any(|giver| giver.has_queue);
            let full = givers
                .iter()
                .filter(|giver| self.surely_used(giver) > RELIEVE_ABOVE)
                .filter(|giver| giver.has_queue || !queues);
            let full: Vec<_> = full.copied().collect();
            if !full.iter().any(|giver| self.give(giver, to, WORTH_MOVING)) {
                return;
            }
        }
    }

    /// Number of pieces above which there are too many.
    fn many_pieces(&self) -> usize {
        let wanted = self.scene.endpoints.len() * PIECES_AN_ENDPOINT;
        // A row that is full takes no cut, and hot ranges stay whole.
        wanted.clamp(MIN_PIECES, max_ranges(self.scene.endpoints.len()) / 8 * 7)
    }

    /// Gives small pieces to their neighbours' owners while there are too many.
    fn consolidate(&mut self) {
        let excess = self.pieces.len().saturating_sub(self.many_pieces());
        if excess == 0 {
            return;
        }
        let mut free: Vec<_> = (1..self.pieces.len())
            .filter(|i| !self.pieces[*i].moving && self.pieces[*i].to.is_none())
            .collect();
        free.sort_by(|a, b| self.pieces[*a].load.total_cmp(&self.pieces[*b].load));
        let at_once = (excess / JOINED_PART).max(MIN_JOINED).min(excess);
        for i in free.into_iter().take(at_once) {
            let load = self.pieces[i].load;
            let neighbour = self.pieces[i - 1];
            let Some(to) = self.place(neighbour.owner_to_be()) else {
                continue;
            };
            let small = load < to.capacity * MIN_GAIN;
            let fits = small || self.usage(to, load) < RELIEVE_ABOVE;
            if to.accepts_keys && !to.must_drain && fits && to.endpoint != *self.pieces[i].owner {
                self.assign(i, to);
            }
        }
    }

    fn fullest_first(&self) -> Vec<&'a PlacementEndpoint> {
        let places = self.scene.endpoints.iter();
        let mut used: Vec<_> = places.map(|p| (self.usage(p, 0.0), p)).collect();
        used.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        used.into_iter().map(|(_, place)| place).collect()
    }

    /// Pieces of an endpoint that may be cut and given away.
    fn movable(&self, from: &PlacementEndpoint) -> Vec<usize> {
        (0..self.pieces.len())
            .filter(|i| !self.pieces[*i].moving)
            .filter(|i| *self.pieces[*i].owner_to_be() == from.endpoint)
            .collect()
    }

    /// Cuts an endpoint's pieces around keys with more load than `most`, in requests a
    /// second.
    fn set_apart(&mut self, from: &PlacementEndpoint, most: f64) {
        let mut mine = self.movable(from);
        while let Some(i) = mine.pop() {
            let Piece { span, look, .. } = self.pieces[i];
            let (key, load) = self.scene.load.rates(look).hottest(span);
            if span.first == span.last || load <= most {
                continue;
            }
            self.cut(i, key);
            if key > span.first {
                self.cut(i, key - 1);
                mine.push(i);
            }
            if key < span.last {
                mine.push(i + 1 + usize::from(key > span.first));
            }
        }
    }

    /// Gives a part of what `from` has to `to`, the hottest that makes a difference;
    /// false if nothing does. `worth` is how much fuller `from` must be afterwards
    /// than `to` was made by it.
    fn give(&mut self, from: &'a PlacementEndpoint, to: &'a PlacementEndpoint, worth: f64) -> bool {
        if from.endpoint == to.endpoint {
            return false;
        }
        self.set_apart(from, to.capacity * ONE_KEY);
        let mut mine = self.movable(from);
        mine.sort_by(|a, b| self.pieces[*b].load.total_cmp(&self.pieces[*a].load));
        // What to move so that both are used to the same part.
        let given = self.usage(from, 0.0) - self.usage(to, 0.0);
        let even = given / (1.0 / from.capacity + 1.0 / to.capacity.max(f64::MIN_POSITIVE));
        let room = (self.fill_to() - self.usage(to, 0.0)) * to.capacity;
        let wanted = if worth > 0.0 { even.min(room) } else { even };
        if wanted < 0.0 {
            return false;
        }
        let only = mine.len() == 1;
        for i in mine {
            let piece = self.pieces[i];
            let (last, moved) = self.scene.load.rates(piece.look).prefix(piece.span, wanted);
            let whole = last >= piece.span.last;
            if whole && only {
                // All that the endpoint has: the load would only change places.
                continue;
            }
            let one_key = piece.span.first == piece.span.last;
            if one_key && piece.load > to.capacity * ONE_KEY {
                continue;
            }
            let after = self.usage(to, moved);
            let small = moved < from.capacity * MIN_GAIN;
            // Load: where all are full, each look found endpoints that chance had made
            // fuller than others, and keys changed hands all the time.
            if worth > 0.0 && (small || self.surely_used(from) <= after * worth) {
                continue;
            }
            // Without load the keys themselves are divided.
            let half = piece.span.first + (piece.span.last - piece.span.first) / 2;
            self.cut(i, if moved > 0.0 { last } else { half });
            self.assign(i, to);
            return true;
        }
        false
    }
}
