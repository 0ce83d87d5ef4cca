//! A hold that does not need candidates behaves the same with and without them.
//!
//! An instance ranks candidates only for the holds that need them. Failure guarded
//! against: a hold reports that it needs none but would use them. Then a lost
//! successor is not replaced, or no session rewrites a row whose members are all
//! gone, and its keys are not served.

use citronway_core::hold::{EndpointReach, Hold, HoldAction, HoldEvent, HoldSettings, ReadOutcome};
use citronway_core::ids::{EndpointName, Epoch, Session, Version};
use citronway_core::peer::HoldMessage;
use citronway_core::platform::WriteOutcome;
use citronway_core::shard::DispatchRow;
use citronway_core::time::{Mono, Now, Wall};
use proptest::prelude::*;

const SESSION_COUNT: usize = 5;
const START_MS: u64 = 10_000;

/// Input of the hold in one step.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes, then the hold ticks.
    Tick { ms: u64 },
    /// All asked sessions promise, except `silent` if it is the index of one.
    Promise { silent: usize },
    /// A session has ended for good.
    Gone { session: usize },
    /// A row with another epoch and other members is received.
    Row { dispatcher: usize },
    /// The store answers all reads and writes.
    Store,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (1_u64..120).prop_map(|ms| Step::Tick { ms }),
        4 => (0..SESSION_COUNT * 3).prop_map(|silent| Step::Promise { silent }),
        1 => (1..SESSION_COUNT).prop_map(|session| Step::Gone { session }),
        1 => (0..SESSION_COUNT).prop_map(|dispatcher| Step::Row { dispatcher }),
        3 => Just(Step::Store),
    ];
    proptest::collection::vec(step, 20..200)
}

fn session(index: usize) -> Session {
    Session::new(&format!("entry-{index}"), 1)
}

/// A hold, with the messages and store accesses that it has requested.
struct Harness {
    hold: Hold,
    now: Now,
    version: Version,
    epoch: Epoch,
    row: Option<DispatchRow>,
    asked: Vec<(Session, Epoch, u64)>,
    reads: Vec<u64>,
    writes: Vec<(u64, DispatchRow)>,
}

impl Harness {
    fn new() -> Self {
        let endpoint = EndpointName::new("intake-1");
        Self {
            hold: Hold::new(session(0), endpoint, HoldSettings::default()),
            now: Now {
                mono: Mono(START_MS),
                wall: Wall(START_MS),
            },
            version: Version(0),
            epoch: Epoch(0),
            row: None,
            asked: Vec::new(),
            reads: Vec::new(),
            writes: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Tick { ms } => self.tick(*ms),
            Step::Promise { silent } => self.promise(*silent),
            Step::Gone { session: index } => {
                let session = session(*index);
                self.apply(&HoldEvent::Gone { session });
            }
            Step::Row { dispatcher } => self.receive_other_row(*dispatcher),
            Step::Store => self.answer_store(),
        }
    }

    fn tick(&mut self, ms: u64) {
        self.now.mono = self.now.mono.plus(ms);
        self.now.wall = self.now.wall.plus(ms);
        let candidates: Vec<Session> = (0..SESSION_COUNT).map(session).collect();
        let needs = self.hold.needs_candidates(self.now);
        let mut without = self.hold.clone();
        let actions = self
            .hold
            .tick(&candidates, EndpointReach::Reached, self.now);
        if !needs {
            let actions_without = without.tick(&[], EndpointReach::Reached, self.now);
            assert_eq!(actions, actions_without, "actions depend on the candidates");
            assert_eq!(format!("{:?}", self.hold), format!("{without:?}"));
        }
        self.record(actions);
    }

    fn promise(&mut self, silent: usize) {
        for (from, epoch, round) in std::mem::take(&mut self.asked) {
            if from == session(silent) {
                continue;
            }
            let message = HoldMessage::Promise { epoch, round };
            self.apply(&HoldEvent::Message { from, message });
        }
    }

    fn receive_other_row(&mut self, dispatcher: usize) {
        self.epoch = self.epoch.next();
        let next = |step: usize| session((dispatcher + step) % SESSION_COUNT);
        self.store_row(DispatchRow {
            endpoint: EndpointName::new("intake-1"),
            dispatcher: session(dispatcher),
            epoch: self.epoch,
            successors: vec![next(1), next(2)],
            former: Vec::new(),
            floor: Wall(0),
        });
    }

    fn store_row(&mut self, row: DispatchRow) {
        self.version = self.version.next();
        self.epoch = self.epoch.max(row.epoch);
        self.row = Some(row.clone());
        let version = self.version;
        self.apply(&HoldEvent::Row { version, row });
    }

    fn answer_store(&mut self) {
        for read in std::mem::take(&mut self.reads) {
            let outcome = match &self.row {
                Some(row) => ReadOutcome::Found {
                    version: self.version,
                    row: row.clone(),
                },
                None => ReadOutcome::Absent,
            };
            self.apply(&HoldEvent::ReadDone { read, outcome });
        }
        for (write, row) in std::mem::take(&mut self.writes) {
            let versions = vec![self.version.next()];
            let outcome = WriteOutcome::Done { versions };
            self.apply(&HoldEvent::WriteDone { write, outcome });
            self.store_row(row);
        }
    }

    fn apply(&mut self, event: &HoldEvent) {
        let actions = self.hold.apply(event, self.now);
        self.record(actions);
    }

    fn record(&mut self, actions: Vec<HoldAction>) {
        for action in actions {
            match action {
                HoldAction::Send {
                    to,
                    message: HoldMessage::Ask { epoch, round, .. },
                } => self.asked.push((to, epoch, round)),
                HoldAction::ReadRow { read } => self.reads.push(read),
                HoldAction::Write { write, row, .. } => self.writes.push((write, row)),
                _ => {}
            }
        }
    }
}

proptest! {
    #[test]
    fn unwanted_candidates_make_no_difference(steps in steps()) {
        let mut harness = Harness::new();
        for step in &steps {
            harness.step(step);
        }
    }
}
