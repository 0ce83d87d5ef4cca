//! Moves for balance: each has to gain more than it costs.

use super::burden::{Burden, Burdens};
use super::gain::{MoveCost, Whole, cost, gain};
use super::plan::{Budget, Cause, Move, Plan, PlanInput};
use super::ranges::share;
use super::tally::{Seat, Tally};
use crate::ids::ShardId;
use crate::shard::Shard;

/// What balancing one group depends on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Balance<'a> {
    /// Input of the plan.
    pub(super) input: &'a PlanInput<'a>,
    /// Shards of the group.
    pub(super) shards: &'a [&'a Shard],
    /// What the shards count for.
    pub(super) burdens: Burdens<'a>,
}

/// A move with what it is worth.
#[derive(Debug, Clone, Copy)]
struct Offer {
    shard: ShardId,
    from: Seat,
    to: Seat,
    burden: Burden,
    net: f64,
}

/// Plans moves of one group until none pays or too many are in motion.
pub(super) fn balance(
    group: &Balance<'_>,
    tally: &mut Tally<'_>,
    budget: &mut Budget,
    plan: &mut Plan,
) {
    // Moves within the group do not change it.
    let whole = tally.whole();
    while !budget.is_spent() {
        let Some(offer) = best_offer(group, tally, whole) else {
            return;
        };
        budget.take();
        plan.moves.push(Move {
            shard: offer.shard,
            from: Some(tally.at(offer.from).standing.endpoint.clone()),
            to: tally.at(offer.to).standing.endpoint.clone(),
            cause: Cause::Balance,
        });
        tally.drop_movable(offer.from, offer.shard);
        tally.take(offer.from, offer.burden);
        tally.add(offer.to, offer.burden);
    }
}

/// The best move away from the most utilised endpoint that has one that pays.
fn best_offer(group: &Balance<'_>, tally: &Tally<'_>, whole: Whole) -> Option<Offer> {
    let targets: Vec<Seat> = tally.least_of_each_kind().collect();
    for from in tally.by_utilisation() {
        let mut best: Option<Offer> = None;
        for shard in &tally.at(from).movable {
            for to in &targets {
                let Some(offer) = offer(group, tally, whole, *shard, from, *to) else {
                    continue;
                };
                if best.is_none_or(|best| offer.net > best.net) {
                    best = Some(offer);
                }
            }
        }
        if best.is_some() {
            return best;
        }
    }
    None
}

fn offer(
    group: &Balance<'_>,
    tally: &Tally<'_>,
    whole: Whole,
    shard: ShardId,
    from: Seat,
    to: Seat,
) -> Option<Offer> {
    if from == to {
        return None;
    }
    let input = group.input;
    let own = input.assignment.shards.get(&shard)?;
    let burden = group.burdens.of(own);
    let gain = gain(
        input.weights,
        burden.load,
        tally.giving(from),
        tally.taking(to),
        whole,
        input.limits.horizon_ms,
    );
    if gain <= 0.0 {
        return None;
    }
    let cost = cost(
        input.weights,
        MoveCost {
            keys: keys(group, own, burden.load, whole.load),
            move_ms: input.move_ms,
            losses: f64::from(tally.at(to).standing.losses),
            loss_ms: input.limits.loss_ms,
        },
    );
    let net = gain - cost;
    (net > 0.0).then_some(Offer {
        shard,
        from,
        to,
        burden,
        net,
    })
}

/// Share of the group's keys in a shard, by width; a hot key counts by its load.
fn keys(group: &Balance<'_>, shard: &Shard, load: u64, whole: u64) -> f64 {
    if shard.range.first == shard.range.last && group.shards.len() > 1 {
        return load as f64 / whole as f64;
    }
    share(shard.range.first, shard.range.last)
}
