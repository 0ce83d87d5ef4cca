//! Random walks: planners, dispatchers and the store in any order, with writes
//! that land late, answers that are lost, reports that come twice, restarts.

mod placement_support;

use citronway_core::ids::EndpointName;
use citronway_core::peer::ShardReleased;
use citronway_core::placement::{
    MemberState, PlannerAction, PlannerEvent, PlannerSettings, Wanted, WantedGroup, check,
};
use citronway_core::platform::{ConditionalPut, WriteOutcome};
use citronway_core::shard::{Assignment, Ownership};
use citronway_core::time::Now;
use indexmap::IndexMap;
use placement_support::*;
use proptest::prelude::*;
use proptest::strategy::ValueTree;

const PLANNERS: usize = 3;
const ENDPOINTS: usize = 5;
const SHAPES: usize = 5;
const KEYS: [&str; 6] = ["a1", "a2", "b1", "b2", "c1", "c2"];

#[derive(Debug, Clone, Copy)]
enum Op {
    /// Time passes and a planner ticks.
    Tick { planner: usize, ms: u64 },
    /// The oldest request of a planner is answered.
    Answer { planner: usize },
    /// The oldest request takes effect, its answer is lost.
    LoseAnswer { planner: usize },
    /// The oldest request is given up; a write may land later.
    Delay { planner: usize },
    /// A write given up long ago lands.
    Land { write: usize },
    /// A dispatcher reads the assignment.
    Follow { endpoint: usize },
    /// A dispatcher reports what it has released, to all planners.
    Release { endpoint: usize },
    /// A dispatcher gives all shards of its endpoint up.
    GiveUp { endpoint: usize },
    /// An endpoint gets a new dispatcher, which knows nothing of the old one's.
    TakeOver { endpoint: usize },
    /// An earlier report of a release comes once more.
    ReleaseAgain { ago: usize, planner: usize },
    /// A dispatcher reports its endpoint lost.
    Lose { endpoint: usize, planner: usize },
    /// An endpoint is seen again.
    Return { endpoint: usize, planner: usize },
    /// An operator changes the configuration.
    Change { shape: usize },
    /// A planner learns the configuration, or one that is some changes old.
    Configure { planner: usize, behind: usize },
    /// A planner's process starts again.
    Restart { planner: usize },
    /// A planner hears of another one.
    Hear { planner: usize, other: usize },
}

fn op() -> impl Strategy<Value = Op> {
    let planner = 0..PLANNERS;
    let endpoint = 0..ENDPOINTS;
    prop_oneof![
        8 => (planner.clone(), 10..2_000_u64).prop_map(|(planner, ms)| Op::Tick { planner, ms }),
        30 => planner.clone().prop_map(|planner| Op::Answer { planner }),
        1 => planner.clone().prop_map(|planner| Op::LoseAnswer { planner }),
        1 => planner.clone().prop_map(|planner| Op::Delay { planner }),
        1 => (0..8_usize).prop_map(|write| Op::Land { write }),
        15 => endpoint.clone().prop_map(|endpoint| Op::Follow { endpoint }),
        15 => endpoint.clone().prop_map(|endpoint| Op::Release { endpoint }),
        1 => endpoint.clone().prop_map(|endpoint| Op::GiveUp { endpoint }),
        1 => endpoint.clone().prop_map(|endpoint| Op::TakeOver { endpoint }),
        3 => (0..32_usize, planner.clone())
            .prop_map(|(ago, planner)| Op::ReleaseAgain { ago, planner }),
        1 => (endpoint.clone(), planner.clone())
            .prop_map(|(endpoint, planner)| Op::Lose { endpoint, planner }),
        2 => (endpoint, planner.clone())
            .prop_map(|(endpoint, planner)| Op::Return { endpoint, planner }),
        1 => (0..SHAPES).prop_map(|shape| Op::Change { shape }),
        4 => (planner.clone(), 0..3_usize)
            .prop_map(|(planner, behind)| Op::Configure { planner, behind }),
        1 => planner.clone().prop_map(|planner| Op::Restart { planner }),
        3 => (planner, 0..PLANNERS).prop_map(|(planner, other)| Op::Hear { planner, other }),
    ]
}

/// Groups that send keys to other groups and endpoints to other groups.
fn shape(index: usize) -> Vec<WantedGroup> {
    let all = members(ENDPOINTS);
    let few = all[..2].to_vec();
    let rest = all[2..].to_vec();
    let mut drained = all.clone();
    drained[1].state = MemberState::Draining;
    match index {
        0 => vec![group("all", None, 4, all)],
        1 => vec![group("a", Some("a"), 4, few), group("all", None, 4, rest)],
        2 => vec![group("a", Some("b"), 4, few), group("all", None, 4, rest)],
        3 => vec![group("all", None, 3, drained)],
        _ => vec![group("b", Some("b"), 2, rest), group("all", None, 4, few)],
    }
}

struct World {
    now: Now,
    store: Store,
    planners: Vec<Instance>,
    starts: u64,
    views: IndexMap<EndpointName, View>,
    delayed: Vec<Vec<ConditionalPut>>,
    reports: Vec<ShardReleased>,
    last: Option<Assignment>,
    history: Vec<Wanted>,
    /// A view has changed since the last check.
    followed: bool,
    served: usize,
    changes: usize,
}

impl World {
    fn new() -> Self {
        let first = wanted(1, shape(0));
        let (_, store) = started(&first, settings());
        let mut views = IndexMap::new();
        for index in 0..ENDPOINTS {
            let view = View {
                assignment: store.assignment(),
                ..View::default()
            };
            views.insert(endpoint(index), view);
        }
        let mut world = Self {
            now: now(10_000),
            store,
            planners: Vec::new(),
            starts: 10,
            views,
            delayed: Vec::new(),
            reports: Vec::new(),
            last: None,
            history: vec![first],
            followed: true,
            served: 0,
            changes: 0,
        };
        for index in 0..PLANNERS {
            let instance = world.fresh(index);
            world.planners.push(instance);
        }
        world
    }

    fn fresh(&mut self, index: usize) -> Instance {
        self.starts += 1;
        let mut instance = Instance::new(&format!("i{index}"), self.starts, settings());
        instance.want(&self.history[0], self.now);
        instance.read_dispatch(&self.store, self.now);
        instance
    }

    fn step(&mut self, op: Op) {
        let now = self.now;
        match op {
            Op::Tick { planner, ms } => {
                self.now = placement_support::now(now.mono.0 + ms);
                self.planners[planner].event(PlannerEvent::Tick, self.now);
            }
            Op::Answer { planner } => {
                self.planners[planner].answer(&mut self.store, now);
            }
            Op::LoseAnswer { planner } => self.give_up(planner, true),
            Op::Delay { planner } => self.give_up(planner, false),
            Op::Land { write } => {
                if write < self.delayed.len() {
                    let puts = self.delayed.remove(write);
                    self.store.write(&puts);
                }
            }
            Op::Follow { endpoint } => {
                self.views[endpoint].assignment = self.store.assignment();
                self.followed = true;
            }
            Op::Release { endpoint } => self.release(endpoint),
            Op::GiveUp { endpoint } => self.views[endpoint].give_up(&self::endpoint(endpoint)),
            Op::TakeOver { endpoint } => {
                self.views[endpoint].given_up.clear();
                self.views[endpoint].assignment = self.store.assignment();
                self.followed = true;
            }
            Op::ReleaseAgain { ago, planner } => {
                if let Some(report) = self.reports.iter().nth_back(ago).cloned() {
                    self.planners[planner].event(PlannerEvent::Released { report }, now);
                }
            }
            Op::Lose { endpoint, planner } => {
                let report = lost(&self.store, &format!("e{endpoint:02}"));
                self.planners[planner].event(PlannerEvent::Lost { report }, now);
            }
            Op::Return { endpoint, planner } => {
                let report = idle(&format!("e{endpoint:02}"));
                self.planners[planner].event(PlannerEvent::Load { report }, now);
            }
            Op::Change { shape } => {
                let version = self.history.len() as u64 + 1;
                self.history.push(wanted(version, self::shape(shape)));
            }
            Op::Configure { planner, behind } => {
                let newest = self.history.len() - 1;
                let wanted = self.history[newest.saturating_sub(behind)].clone();
                self.planners[planner].want(&wanted, now);
            }
            Op::Restart { planner } => {
                self.planners[planner] = self.fresh(planner);
            }
            Op::Hear { planner, other } => {
                let session = self.planners[other].session.clone();
                self.planners[planner].event(PlannerEvent::Heard { session }, now);
            }
        }
    }

    fn give_up(&mut self, planner: usize, lands: bool) {
        let now = self.now;
        let instance = &mut self.planners[planner];
        if instance.asked.is_empty() {
            return;
        }
        match instance.asked.remove(0) {
            PlannerAction::Write { ticket, puts } => {
                if lands {
                    self.store.write(&puts);
                } else {
                    self.delayed.push(puts);
                }
                instance.written(ticket, WriteOutcome::Unknown, now);
            }
            PlannerAction::ReadRow { ticket, .. } => {
                instance.event(PlannerEvent::ReadFailed { ticket }, now);
            }
            PlannerAction::Publish { .. } => {}
        }
    }

    fn release(&mut self, endpoint: usize) {
        let name = self::endpoint(endpoint);
        let dispatcher = dispatcher(&self.store, &name);
        for report in self.views[endpoint].releases(&name, &dispatcher) {
            self.reports.push(report.clone());
            for planner in &mut self.planners {
                let report = report.clone();
                planner.event(PlannerEvent::Released { report }, self.now);
            }
        }
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        self.check_owners()?;
        let Some(present) = self.store.assignment() else {
            return Ok(());
        };
        if self.last.as_ref() == Some(&present) {
            return Ok(());
        }
        prop_assert_eq!(check(&present), Ok(()));
        if let Some(last) = &self.last {
            check_epochs(last, &present)?;
        }
        self.changes += 1;
        self.last = Some(present);
        Ok(())
    }

    fn check_owners(&mut self) -> Result<(), TestCaseError> {
        if !self.followed {
            return Ok(());
        }
        self.followed = false;
        for key in KEYS {
            let servers = servers(&self.views, key);
            prop_assert!(servers.len() <= 1, "key {} is served by {:?}", key, servers);
            self.served += servers.len();
        }
        Ok(())
    }
}

fn check_epochs(before: &Assignment, after: &Assignment) -> Result<(), TestCaseError> {
    prop_assert!(after.next_shard >= before.next_shard);
    prop_assert!(after.planner_epoch >= before.planner_epoch);
    for (id, shard) in &after.shards {
        let Some(old) = before.shards.get(id) else {
            prop_assert!(*id >= before.next_shard, "shard number {} used again", id);
            continue;
        };
        prop_assert!(shard.epoch >= old.epoch);
        let same = holder(&shard.ownership) == holder(&old.ownership);
        prop_assert!(
            same || shard.epoch > old.epoch,
            "owner of {} without epoch",
            id
        );
    }
    Ok(())
}

fn holder(ownership: &Ownership) -> Option<&EndpointName> {
    match ownership {
        Ownership::Unowned => None,
        Ownership::Owned { owner } => Some(owner),
        Ownership::Moving { from, .. } => Some(from),
    }
}

fn settings() -> PlannerSettings {
    PlannerSettings {
        rest_ms: 0,
        ..PlannerSettings::default().with_silence_ms(4_000)
    }
}

fn endpoint(index: usize) -> EndpointName {
    EndpointName::new(&format!("e{index:02}"))
}

/// A caller's apply runs on two servers. It takes two dispatchers that both
/// hold a shard of the key at one moment: by a late write, a lost answer, an
/// old report, a partition change under way, or a planner that was replaced.
#[test]
fn a_key_never_has_two_owners() {
    let ops = proptest::collection::vec(op(), 1..500);
    let result = runner(300, 7).run(&ops, |ops| {
        let mut world = World::new();
        for op in ops {
            world.step(op);
            world.check()?;
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// The walk of the test above must lead somewhere: owners change, keys are served.
#[test]
fn a_long_walk_changes_owners_and_serves_keys() {
    let mut world = World::new();
    let mut runner = runner(1, 11);
    for _ in 0..20_000 {
        let op = op().new_tree(&mut runner).expect("an operation").current();
        world.step(op);
        world.check().expect("invariants hold");
    }
    let World {
        changes, served, ..
    } = world;
    assert!(changes > 200, "only {changes} changes");
    assert!(served > 2_000, "keys were served only {served} times");
    println!("{changes} changes, {served} times served");
}

/// The same events give the same decisions, in a replay and on call.
#[test]
fn the_same_events_give_the_same_decisions() {
    let ops = proptest::collection::vec(op(), 1..200);
    let result = runner(30, 13).run(&ops, |ops| {
        let mut left = World::new();
        let mut right = World::new();
        for op in ops {
            left.step(op);
            right.step(op);
            prop_assert_eq!(&left.store.rows, &right.store.rows);
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
