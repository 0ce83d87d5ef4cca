//! Compares ways of placing shards by imbalance and churn; prints a table.
//!
//! 30 endpoints of 6 slots in 3 zones, 256 shards, uneven loads. Nothing is
//! random and nothing is timed: each run prints the same.

use citronway_core::config::Weights;
use citronway_core::ids::{EndpointName, GroupName, ServiceName, Session, ShardId, ZoneName};
use citronway_core::peer::ShardReleased;
use citronway_core::placement::loads::Loads;
use citronway_core::placement::measures::{churn, imbalance};
use citronway_core::placement::members::Standing;
use citronway_core::placement::plan::StandingGroup;
use citronway_core::placement::propose::empty;
use citronway_core::placement::{
    Limits, MemberState, PlanInput, WantedGroup, moves, partition, plan,
};
use citronway_core::shard::{Assignment, Ownership, Shard};
use citronway_core::time::Wall;
use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::xxh3_64;

const ENDPOINTS: usize = 30;
const SHARDS: u32 = 256;
const RING_POINTS: u32 = 100;
const QUICK_MS: u64 = 100;
const SLOW_MS: u64 = 60_000;

/// A way of placing shards.
#[derive(Debug, Clone, Copy)]
enum Way {
    /// Number of the shard modulo the number of endpoints.
    Modulo,
    /// Highest hash of shard and endpoint.
    Rendezvous,
    /// Next point on a ring.
    Ring,
    /// Next point on a ring whose endpoint is not above this many hundredths of the mean load.
    BoundedRing(u64),
    /// The plan of this package, with weights and the time of a move.
    Plan(Weights, u64),
}

impl Way {
    fn place(self, present: &Assignment, group: &StandingGroup, loads: &Loads) -> Assignment {
        match self {
            Self::Modulo => by(present, |shard| modulo(shard, group)),
            Self::Rendezvous => by(present, |shard| rendezvous(shard, group)),
            Self::Ring => bounded(present, group, loads, u64::MAX),
            Self::BoundedRing(hundredths) => bounded(present, group, loads, hundredths),
            Self::Plan(weights, move_ms) => planned(present, group, loads, weights, move_ms),
        }
    }
}

fn live(group: &StandingGroup) -> Vec<&EndpointName> {
    let mut live = Vec::new();
    for member in &group.members {
        if member.state.takes_shards() {
            live.push(&member.endpoint);
        }
    }
    live
}

fn by(present: &Assignment, choose: impl Fn(ShardId) -> EndpointName) -> Assignment {
    let mut next = present.clone();
    for shard in next.shards.values_mut() {
        let owner = choose(shard.id);
        shard.ownership = Ownership::Owned { owner };
    }
    next
}

fn modulo(shard: ShardId, group: &StandingGroup) -> EndpointName {
    let live = live(group);
    let place = usize::try_from(shard.0).unwrap_or(0) % live.len();
    live[place].clone()
}

fn rendezvous(shard: ShardId, group: &StandingGroup) -> EndpointName {
    let score = |name: &&EndpointName| xxh3_64(format!("{shard}/{name}").as_bytes());
    let best = live(group).into_iter().max_by_key(score);
    best.expect("a live endpoint").clone()
}

fn bounded(
    present: &Assignment,
    group: &StandingGroup,
    loads: &Loads,
    hundredths: u64,
) -> Assignment {
    let mut ring: IndexMap<u64, &EndpointName> = IndexMap::new();
    for name in live(group) {
        for point in 0..RING_POINTS {
            ring.insert(xxh3_64(format!("{name}/{point}").as_bytes()), name);
        }
    }
    ring.sort_unstable_keys();
    let total: u64 = present.shards.keys().map(|shard| loads.of(*shard)).sum();
    let most = (total / live(group).len() as u64).saturating_mul(hundredths) / 100;
    let mut used: IndexMap<&EndpointName, u64> = IndexMap::new();
    let mut next = present.clone();
    // The heaviest first, or a late heavy one finds no room anywhere.
    let mut shards: Vec<&mut Shard> = next.shards.values_mut().collect();
    shards.sort_by_key(|shard| std::cmp::Reverse(loads.of(shard.id)));
    for shard in shards {
        let load = loads.of(shard.id);
        let place = xxh3_64(format!("shard/{}", shard.id).as_bytes());
        let start = ring.keys().position(|point| *point >= place).unwrap_or(0);
        for step in 0..ring.len() {
            let name = ring[(start + step) % ring.len()];
            let had = used.get(name).copied().unwrap_or(0);
            if had + load > most && had > 0 && step + 1 < ring.len() {
                continue;
            }
            used.insert(name, had + load);
            shard.ownership = Ownership::Owned {
                owner: name.clone(),
            };
            break;
        }
    }
    next
}

fn planned(
    present: &Assignment,
    group: &StandingGroup,
    loads: &Loads,
    weights: Weights,
    move_ms: u64,
) -> Assignment {
    let mut next = present.clone();
    loop {
        let plan = plan(&PlanInput {
            assignment: &next,
            groups: std::slice::from_ref(group),
            loads,
            weights,
            limits: Limits::default(),
            move_ms,
            resting: &IndexSet::new(),
        });
        if plan.moves.is_empty() {
            return next;
        }
        next = moves::apply(&next, &plan).expect("the plan fits");
        next = release(&next);
    }
}

fn release(assignment: &Assignment) -> Assignment {
    let mut next = assignment.clone();
    for shard in assignment.shards.values() {
        let Ownership::Moving { from, .. } = &shard.ownership else {
            continue;
        };
        let report = ShardReleased {
            service: assignment.service.clone(),
            shard: shard.id,
            epoch: shard.epoch,
            from: from.clone(),
            dispatcher: Session::new("i0", 1),
            floor: Wall(0),
        };
        next = moves::released(&next, &report, Wall(0)).expect("it moves");
    }
    next
}

fn members(count: usize) -> StandingGroup {
    let mut members = Vec::new();
    for index in 0..count {
        members.push(Standing {
            endpoint: EndpointName::new(&format!("e{index:02}")),
            zone: ZoneName::new(["a", "b", "c"][index % 3]),
            slots: 6,
            state: MemberState::Live,
            usable: 100,
            losses: 0,
        });
    }
    StandingGroup {
        group: GroupName::new("all"),
        members,
    }
}

fn unowned() -> Assignment {
    let group = WantedGroup {
        group: GroupName::new("all"),
        keys: None,
        shards: SHARDS,
        members: Vec::new(),
    };
    let none = empty(&ServiceName::new("migration"));
    partition::swap(&none, &[group], &IndexMap::new(), Wall(0)).expect("nothing to release")
}

/// Few shards carry much: the n-th carries 3,000 / n^0.6 thousandths of a slot.
fn uneven(assignment: &Assignment) -> Loads {
    let mut order: Vec<ShardId> = assignment.shards.keys().copied().collect();
    order.sort_by_key(|shard| xxh3_64(&shard.0.to_le_bytes()));
    let mut loads = Loads::default();
    for (rank, shard) in order.into_iter().enumerate() {
        let load = 3_000.0 / ((rank + 1) as f64).powf(0.6);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between 0 and 3,000"
        )]
        loads.set(shard, load as u64);
    }
    loads
}

/// Imbalance and churn of one way over a run of changes.
fn row(name: &str, way: Way) {
    let unowned = unowned();
    let loads = uneven(&unowned);
    let whole = members(ENDPOINTS);
    let first = way.place(&unowned, &whole, &loads);
    let mut one_lost = whole.clone();
    one_lost.members[7].state = MemberState::Lost;
    let lost = way.place(&first, &one_lost, &loads);
    let back = way.place(&lost, &whole, &loads);
    let joined = way.place(&first, &members(ENDPOINTS + 1), &loads);
    let mut zone_lost = whole.clone();
    for member in zone_lost.members.iter_mut().step_by(3) {
        member.state = MemberState::Lost;
    }
    let zone = way.place(&first, &zone_lost, &loads);
    let at_first = imbalance(&first, &whole, &loads);
    let at_loss = imbalance(&lost, &one_lost, &loads);
    let at_return = imbalance(&back, &whole, &loads);
    println!(
        "| {name} | {:.2} | {:.2} | {:.2} | {:.2} | {:.1} % | {:.1} % | {:.1} % | {:.1} % |",
        at_first.peak,
        at_first.variation,
        at_loss.peak,
        at_return.peak,
        churn(&first, &lost).keys * 100.0,
        churn(&lost, &back).keys * 100.0,
        churn(&first, &joined).keys * 100.0,
        churn(&first, &zone).keys * 100.0,
    );
}

fn main() {
    println!(
        "| way | peak | variation | peak after loss | peak after return \
         | churn: loss | return | join | zone lost |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    let weights = |imbalance, churn, unavailable| Weights {
        imbalance,
        churn,
        unavailable,
    };
    row("modulo", Way::Modulo);
    row("rendezvous hashing", Way::Rendezvous);
    row("consistent hashing, 100 points", Way::Ring);
    row("the same, bounded at 1.25", Way::BoundedRing(125));
    row("the same, bounded at 1.10", Way::BoundedRing(110));
    row(
        "plan, even weights",
        Way::Plan(weights(1.0, 1.0, 1.0), QUICK_MS),
    );
    row("plan, churn 5", Way::Plan(weights(1.0, 5.0, 1.0), QUICK_MS));
    row(
        "plan, unavailable 5",
        Way::Plan(weights(1.0, 1.0, 5.0), QUICK_MS),
    );
    row(
        "plan, churn 5, moves of 60 s",
        Way::Plan(weights(1.0, 5.0, 1.0), SLOW_MS),
    );
    row(
        "plan, unavailable 5, moves of 60 s",
        Way::Plan(weights(1.0, 1.0, 5.0), SLOW_MS),
    );
}
