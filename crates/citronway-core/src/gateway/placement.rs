//! Placement of the keys of a service on its endpoints.
//!
//! Keys of draining and lost endpoints are moved first, then idle endpoints get keys, and then
//! the load is balanced: the most loaded endpoint gives a part of its hottest range to the least
//! loaded one. A move has a cost, so it must bring the two loads clearly closer. While some
//! endpoints have queues, only these give keys away.

use indexmap::IndexMap;

use crate::gateway::assignment::{Assignment, max_ranges};
use crate::gateway::hot_range::MoveRests;
use crate::gateway::keyload::{KeyLoads, LoadWindow};
use crate::gateway::leader::{Move, Span};
use crate::ids::EndpointStart;
use crate::time::Mono;

/// Usage above which an endpoint gives load away, as a part of its capacity. Below it no request
/// waits for long.
const OVERLOADED_ABOVE: f64 = 0.8;

/// Usage up to which an endpoint is given more load for balance, in a service with spare
/// capacity.
const FILL_TO: f64 = 0.9;

/// Number of standard errors by which the lower bound of a load is below its estimate.
///
/// Load: endpoints with few slots serve eight requests a second, of which the short window
/// contains three. One in five then seems overloaded by chance alone, and hundreds of ranges are
/// split and moved without need.
const DOUBT_ERRORS: f64 = 0.7;

/// Like [`DOUBT_ERRORS`], for [`Balance::Calm`]: by chance alone, one check in forty seems
/// overloaded.
const CALM_DOUBT_ERRORS: f64 = 2.0;

/// Multiple of the usage up to which endpoints are filled above which one gives load away, for
/// [`Balance::Calm`].
const CALM_ABOVE_TARGET: f64 = 1.1;

/// Factor by which the usage of the source must exceed the usage that the target has after a move
/// for balance.
const MIN_RATIO: f64 = 1.15;

/// Minimum part of the source's capacity that a move for balance must free. A move costs two
/// writes and a short time in which its keys wait.
const MIN_GAIN: f64 = 0.08;

/// Minimum for the limit on concurrent moves of a service.
///
/// A move takes 50 to 300 ms, mostly to let requests in progress end. A hot range needs as many
/// endpoints as its share of the total load.
const MIN_CONCURRENT_MOVES: usize = 12;

/// Number of endpoints for each concurrent move of a service.
///
/// With one move for twelve endpoints, a service of 379 endpoints took eight seconds longer to
/// balance a hot range.
const ENDPOINTS_PER_MOVE: usize = 4;

/// Part of an endpoint's capacity above which a single key is not moved for balance.
///
/// Failure guarded against: one key has more load than any endpoint can serve. When it moves, all
/// its callers connect to the new owner at once, which resets their connections, and soon it moves
/// again. It stays instead, and the other keys of its endpoint are moved away.
const MAX_MOVED_KEY: f64 = 0.8;

/// Maximum number of pieces, by load, into which a range of a draining endpoint is split.
const MAX_PIECES: f64 = 3.0;

/// Part of an endpoint's free capacity that one piece of a draining endpoint may fill.
const FILL_AT_ONCE: f64 = 0.5;

/// Number of keys below which a range of a draining endpoint is not split.
const MIN_CUT_KEYS: u16 = 64;

/// An endpoint of the service, as the placement sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementEndpoint {
    /// Start of the endpoint.
    pub endpoint: EndpointStart,
    /// Requests a second that it can serve: its slots divided by its time for a request.
    pub capacity: f64,
    /// Whether it may get keys.
    pub accepts_keys: bool,
    /// Whether its keys must move to other endpoints.
    pub must_drain: bool,
    /// Whether more requests wait for it than it has slots.
    pub has_queue: bool,
}

/// Number of pieces for each endpoint above which small pieces are merged into the piece before
/// them. With two for each endpoint, the row of 500 endpoints has half of the size that the store
/// allows.
const PIECES_PER_ENDPOINT: usize = 2;

/// Total number of pieces up to which none are merged.
const MIN_PIECES: usize = 200;

/// Minimum number of excess pieces that one plan merges. Each merge is a move.
const MIN_MERGED: usize = 12;

/// Divisor of the number of excess pieces that one plan merges.
const MERGED_DIVISOR: usize = 4;

/// Input of [`propose`].
#[derive(Debug, Clone, Copy)]
pub struct PlacementInput<'a> {
    /// Present assignment.
    pub row: &'a Assignment,
    /// Load by key.
    pub load: &'a KeyLoads,
    /// All endpoints of the service.
    pub endpoints: &'a [PlacementEndpoint],
}

/// Moves that should start now, in the order of the keys.
#[must_use]
pub fn propose(input: &PlacementInput<'_>) -> Vec<Move> {
    propose_by(input, Balance::Prompt)
}

/// How the load is balanced.
#[derive(Debug, Clone, Copy)]
pub enum Balance<'a> {
    /// As soon as an endpoint has a queue or seems overloaded.
    Prompt,
    /// Once an endpoint is clearly overloaded for some time, and without pieces that rest. Hot
    /// ranges are divided by [`HotRanges`](crate::gateway::hot_range::HotRanges).
    Calm {
        /// Present time.
        now: Mono,
        /// Pieces that rest.
        rests: &'a MoveRests,
    },
}

/// Moves that should start now, in the order of the keys.
#[must_use]
pub fn propose_by(input: &PlacementInput<'_>, balance: Balance<'_>) -> Vec<Move> {
    let mut plan = Plan::new(input, balance);
    plan.drain_endpoints();
    plan.fill_idle();
    plan.balance();
    plan.merge_small();
    plan.into_moves()
}

struct Plan<'a> {
    input: &'a PlacementInput<'a>,
    balance: Balance<'a>,
    endpoints: IndexMap<&'a EndpointStart, &'a PlacementEndpoint>,
    /// Load of each endpoint after all moves.
    load: IndexMap<&'a EndpointStart, f64>,
    /// Number of requests from which these loads were calculated.
    samples: IndexMap<&'a EndpointStart, f64>,
    /// Number of pieces of each endpoint after all moves.
    piece_counts: IndexMap<&'a EndpointStart, usize>,
    pieces: Vec<Piece<'a>>,
    /// Number of moves under way.
    moving: usize,
}

/// A range of keys that is moved as a whole.
#[derive(Debug, Clone, Copy)]
struct Piece<'a> {
    span: Span,
    /// Present owner, or the target of a move that is under way.
    owner: &'a EndpointStart,
    /// Whether a move is under way; such a piece can be redirected but not split.
    moving: bool,
    /// New owner by this plan; `None` if it does not move.
    to: Option<&'a EndpointStart>,
    /// Window of its load; the parts of a split piece keep it.
    window: LoadWindow,
    /// Load in requests a second.
    load: f64,
    /// Number of requests from which the load was calculated.
    samples: f64,
}

impl<'a> Piece<'a> {
    /// Owner after this plan.
    fn planned_owner(&self) -> &'a EndpointStart {
        self.to.unwrap_or(self.owner)
    }
}

impl<'a> Plan<'a> {
    fn new(input: &'a PlacementInput<'a>, balance: Balance<'a>) -> Self {
        let endpoints: IndexMap<_, _> = input.endpoints.iter().map(|p| (&p.endpoint, p)).collect();
        let mut load: IndexMap<_, _> = input.endpoints.iter().map(|p| (&p.endpoint, 0.0)).collect();
        let mut samples = IndexMap::<_, f64>::new();
        let mut piece_counts = IndexMap::<_, usize>::new();
        let mut pieces = Vec::with_capacity(input.row.ranges.len());
        for range in &input.row.ranges {
            let owner = &range.next.as_ref().unwrap_or(&range.holder).endpoint;
            let span = range.span();
            let queued = endpoints
                .get(owner)
                .is_some_and(|candidate| candidate.has_queue);
            let queued = queued && matches!(balance, Balance::Prompt);
            let window = input.load.window_for(span, queued);
            let piece_load = input.load.rates(window).of(span);
            let piece_samples = input.load.rates(window).samples(span);
            *load.entry(owner).or_default() += piece_load;
            *samples.entry(owner).or_default() += piece_samples;
            *piece_counts.entry(owner).or_default() += 1;
            pieces.push(Piece {
                span,
                owner,
                moving: range.is_moving(),
                to: None,
                window,
                load: piece_load,
                samples: piece_samples,
            });
        }
        let moving = pieces.iter().filter(|piece| piece.moving).count();
        Self {
            input,
            balance,
            endpoints,
            load,
            samples,
            piece_counts,
            pieces,
            moving,
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

    fn endpoint(&self, endpoint: &EndpointStart) -> Option<&'a PlacementEndpoint> {
        self.endpoints.get(endpoint).copied()
    }

    /// Part of an endpoint's capacity that is used after the plan and with `more` load, in requests
    /// a second.
    fn usage(&self, candidate: &PlacementEndpoint, more: f64) -> f64 {
        let load = self
            .load
            .get(&candidate.endpoint)
            .copied()
            .unwrap_or_default();
        (load + more) / candidate.capacity.max(f64::MIN_POSITIVE)
    }

    /// Usage up to which endpoints are filled for balance: [`FILL_TO`], or the average usage of the
    /// service if that is higher.
    ///
    /// Load: without this limit, a hot range was halved from endpoint to endpoint, each of which
    /// then had many times its capacity; where all were full, keys moved back and forth.
    fn target_usage(&self) -> f64 {
        let usable = self.input.endpoints.iter().filter(|p| p.accepts_keys);
        let capacity = usable.map(|p| p.capacity).sum::<f64>();
        let load = self.load.values().sum::<f64>();
        (load / capacity.max(f64::MIN_POSITIVE)).max(FILL_TO)
    }

    /// Lower bound of the used part of an endpoint's capacity, from the number of samples.
    fn min_usage(&self, candidate: &PlacementEndpoint) -> f64 {
        let samples = self.samples.get(&candidate.endpoint).copied();
        let samples = samples.unwrap_or_default();
        let errors = match self.balance {
            Balance::Prompt => DOUBT_ERRORS,
            Balance::Calm { .. } => CALM_DOUBT_ERRORS,
        };
        self.usage(candidate, 0.0) * (1.0 - errors / samples.max(1.0).sqrt())
    }

    /// Usage above which an endpoint gives load away.
    fn overloaded_above(&self) -> f64 {
        match self.balance {
            Balance::Prompt => OVERLOADED_ABOVE,
            Balance::Calm { .. } => self.target_usage() * CALM_ABOVE_TARGET,
        }
    }

    /// Whether a piece was moved a short time ago and stays where it is.
    fn is_resting(&self, i: usize) -> bool {
        match self.balance {
            Balance::Prompt => false,
            Balance::Calm { now, rests } => {
                let Piece { owner, span, .. } = self.pieces[i];
                rests.is_resting(now, owner, span)
            }
        }
    }

    /// The endpoint that would be used least after getting `more` load; `None` if none accepts
    /// keys.
    fn least_used(&self, more: f64) -> Option<&'a PlacementEndpoint> {
        let usable = self
            .input
            .endpoints
            .iter()
            .filter(|p| p.accepts_keys && !p.must_drain);
        usable.min_by(|a, b| self.usage(a, more).total_cmp(&self.usage(b, more)))
    }

    /// Plans to move piece `i` to an endpoint.
    fn assign(&mut self, i: usize, to: &'a PlacementEndpoint) {
        let piece = self.pieces[i];
        *self.load.entry(piece.planned_owner()).or_default() -= piece.load;
        *self.load.entry(&to.endpoint).or_default() += piece.load;
        *self.samples.entry(piece.planned_owner()).or_default() -= piece.samples;
        *self.samples.entry(&to.endpoint).or_default() += piece.samples;
        if let Some(count) = self.piece_counts.get_mut(piece.planned_owner()) {
            *count = count.saturating_sub(1);
        }
        *self.piece_counts.entry(&to.endpoint).or_default() += 1;
        self.pieces[i].to = Some(&to.endpoint);
    }

    /// Splits piece `i` after the key `last`. The first part keeps the index, the second part
    /// follows it.
    fn split(&mut self, i: usize, last: u16) {
        let piece = self.pieces[i];
        if piece.moving || last >= piece.span.last {
            return;
        }
        let before = Span { last, ..piece.span };
        let after = Span {
            first: last + 1,
            ..piece.span
        };
        let rates = self.input.load.rates(piece.window);
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
        *self.piece_counts.entry(piece.planned_owner()).or_default() += 1;
    }

    /// Moves the pieces of endpoints that are draining, lost or not listed.
    fn drain_endpoints(&mut self) {
        let mut i = 0;
        while i < self.pieces.len() {
            let piece = self.pieces[i];
            let stays = self
                .endpoint(piece.owner)
                .is_some_and(|candidate| !candidate.must_drain);
            if !stays {
                self.split_to_fit(i);
                let load = self.pieces[i].load;
                if let Some(to) = self.least_used(load) {
                    self.assign(i, to);
                }
            }
            i += 1;
        }
    }

    /// Splits a piece so that no endpoint gets too much load at once.
    fn split_to_fit(&mut self, i: usize) {
        if self.pieces.len() > self.max_pieces() {
            return;
        }
        let piece = self.pieces[i];
        let room = self
            .least_used(0.0)
            .map_or(0.0, |p| (1.0 - self.usage(p, 0.0)) * p.capacity);
        let most = (room * FILL_AT_ONCE).max(piece.load / MAX_PIECES);
        if piece.span.last - piece.span.first < MIN_CUT_KEYS || piece.load <= most {
            return;
        }
        let (last, _) = self.input.load.rates(piece.window).prefix(piece.span, most);
        self.split(i, last);
    }

    /// Gives keys to endpoints that have none.
    fn fill_idle(&mut self) {
        for candidate in self.input.endpoints {
            let idle = self
                .piece_counts
                .get(&candidate.endpoint)
                .is_none_or(|count| *count == 0);
            if !candidate.accepts_keys || candidate.must_drain || !idle {
                continue;
            }
            for source in self.by_usage() {
                if self.shift_load(source, candidate, 0.0) {
                    break;
                }
            }
        }
    }

    /// Balances the load while an endpoint is overloaded.
    fn balance(&mut self) {
        let max_moves = (self.input.endpoints.len() / ENDPOINTS_PER_MOVE).max(MIN_CONCURRENT_MOVES);
        for _ in self.moving..max_moves {
            let Some(to) = self.least_used(0.0) else {
                return;
            };
            let sources = self.by_usage();
            let queues = sources.iter().any(|source| source.has_queue);
            let overloaded_above = self.overloaded_above();
            let full = sources
                .iter()
                .filter(|source| self.min_usage(source) > overloaded_above)
                .filter(|source| source.has_queue || !queues);
            let full: Vec<_> = full.copied().collect();
            if !full
                .iter()
                .any(|source| self.shift_load(source, to, MIN_RATIO))
            {
                return;
            }
        }
    }

    /// Number of pieces above which small pieces are merged and ranges are no longer split to fit.
    fn max_pieces(&self) -> usize {
        let wanted = self.input.endpoints.len() * PIECES_PER_ENDPOINT;
        // A full row has no room for splits, so hot ranges could not be divided.
        wanted.clamp(MIN_PIECES, max_ranges(self.input.endpoints.len()) / 8 * 7)
    }

    /// Moves small pieces to the owner of the piece before them while there are too many pieces.
    fn merge_small(&mut self) {
        let excess = self.pieces.len().saturating_sub(self.max_pieces());
        if excess == 0 {
            return;
        }
        let mut free: Vec<_> = (1..self.pieces.len())
            .filter(|i| !self.pieces[*i].moving && self.pieces[*i].to.is_none())
            .filter(|i| !self.is_resting(*i))
            .collect();
        free.sort_by(|a, b| self.pieces[*a].load.total_cmp(&self.pieces[*b].load));
        let at_once = (excess / MERGED_DIVISOR).max(MIN_MERGED).min(excess);
        for i in free.into_iter().take(at_once) {
            let load = self.pieces[i].load;
            let neighbour = self.pieces[i - 1];
            let Some(to) = self.endpoint(neighbour.planned_owner()) else {
                continue;
            };
            let small = load < to.capacity * MIN_GAIN;
            let fits = small || self.usage(to, load) < OVERLOADED_ABOVE;
            if to.accepts_keys && !to.must_drain && fits && to.endpoint != *self.pieces[i].owner {
                self.assign(i, to);
            }
        }
    }

    /// All endpoints, the most used first.
    fn by_usage(&self) -> Vec<&'a PlacementEndpoint> {
        let endpoints = self.input.endpoints.iter();
        let mut used: Vec<_> = endpoints.map(|p| (self.usage(p, 0.0), p)).collect();
        used.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        used.into_iter().map(|(_, candidate)| candidate).collect()
    }

    /// Indices of the pieces of an endpoint that may be split and moved.
    fn movable(&self, from: &PlacementEndpoint) -> Vec<usize> {
        (0..self.pieces.len())
            .filter(|i| !self.pieces[*i].moving)
            .filter(|i| *self.pieces[*i].planned_owner() == from.endpoint)
            .filter(|i| !self.is_resting(*i))
            .collect()
    }

    /// Splits an endpoint's pieces around each key with a load above `most`, in requests a second.
    fn isolate_hot_keys(&mut self, from: &PlacementEndpoint, most: f64) {
        let mut mine = self.movable(from);
        while let Some(i) = mine.pop() {
            let Piece { span, window, .. } = self.pieces[i];
            let (key, load) = self.input.load.rates(window).hottest(span);
            if span.first == span.last || load <= most {
                continue;
            }
            self.split(i, key);
            if key > span.first {
                self.split(i, key - 1);
                mine.push(i);
            }
            if key < span.last {
                mine.push(i + 1 + usize::from(key > span.first));
            }
        }
    }

    /// Moves load from one endpoint to another: all or a part of the hottest piece for which this
    /// helps. Returns false if there is none.
    ///
    /// `min_ratio` is the factor by which the usage of `from` must exceed the usage that `to` has
    /// after the move; zero for a target without keys.
    fn shift_load(
        &mut self,
        from: &'a PlacementEndpoint,
        to: &'a PlacementEndpoint,
        min_ratio: f64,
    ) -> bool {
        if from.endpoint == to.endpoint {
            return false;
        }
        self.isolate_hot_keys(from, to.capacity * MAX_MOVED_KEY);
        let mut mine = self.movable(from);
        mine.sort_by(|a, b| self.pieces[*b].load.total_cmp(&self.pieces[*a].load));
        // Load to move so that both endpoints have the same usage.
        let difference = self.usage(from, 0.0) - self.usage(to, 0.0);
        let even = difference / (1.0 / from.capacity + 1.0 / to.capacity.max(f64::MIN_POSITIVE));
        let room = (self.target_usage() - self.usage(to, 0.0)) * to.capacity;
        let wanted = if min_ratio > 0.0 {
            even.min(room)
        } else {
            even
        };
        if wanted < 0.0 {
            return false;
        }
        let only = mine.len() == 1;
        for i in mine {
            let piece = self.pieces[i];
            let (last, moved) = self
                .input
                .load
                .rates(piece.window)
                .prefix(piece.span, wanted);
            let whole = last >= piece.span.last;
            if whole && only {
                // It is all that the source has: the move would only exchange the two.
                continue;
            }
            let one_key = piece.span.first == piece.span.last;
            if one_key && piece.load > to.capacity * MAX_MOVED_KEY {
                continue;
            }
            let after = self.usage(to, moved);
            let small = moved < from.capacity * MIN_GAIN;
            // Load: where all endpoints are full, each plan finds some that are fuller by chance,
            // and without this check keys move all the time.
            if min_ratio > 0.0 && (small || self.min_usage(from) <= after * min_ratio) {
                continue;
            }
            // Without load, the piece is split in the middle of its keys.
            let half = piece.span.first + (piece.span.last - piece.span.first) / 2;
            self.split(i, if moved > 0.0 { last } else { half });
            self.assign(i, to);
            return true;
        }
        false
    }
}
