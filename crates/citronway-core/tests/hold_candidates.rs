//! Candidates that a hold does not want make no difference to it.
//!
//! An instance ranks candidates only for the holds that ask for them. If a hold
//! did not ask but would have used them, a lost successor would not be replaced,
//! or nobody would rewrite a row of sessions that are gone. Users would see keys
//! that nobody serves.

use citronway_core::hold::{EndpointReach, Hold, HoldAction, HoldEvent, HoldSettings, ReadOutcome};
use citronway_core::ids::{EndpointName, Epoch, Session, Version};
use citronway_core::peer::HoldMessage;
use citronway_core::platform::WriteOutcome;
use citronway_core::shard::DispatchRow;
use citronway_core::time::{Mono, Now, Wall};
use proptest::prelude::*;

const SESSIONS: usize = 5;
const START: u64 = 10_000;

/// What happens to the hold in one step.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes, then a tick.
    Tick { ms: u64 },
    /// All who were asked promise, or all but one.
    Promise { silent: usize },
    /// A session is gone for good.
    Gone { session: usize },
    /// A row of others arrives.
    Row { dispatcher: usize },
    /// Reads and writes are answered.
    Store,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (1_u64..120).prop_map(|ms| Step::Tick { ms }),
        4 => (0..SESSIONS * 3).prop_map(|silent| Step::Promise { silent }),
        1 => (1..SESSIONS).prop_map(|session| Step::Gone { session }),
        1 => (0..SESSIONS).prop_map(|dispatcher| Step::Row { dispatcher }),
        3 => Just(Step::Store),
    ];
    proptest::collection::vec(step, 20..200)
}

fn session(index: usize) -> Session {
    Session::new(&format!("entry-{index}"), 1)
}

/// One hold with what it has asked of others.
struct Walk {
    hold: Hold,
    now: Now,
    version: Version,
    epoch: Epoch,
    row: Option<DispatchRow>,
    asked: Vec<(Session, Epoch, u64)>,
    reads: Vec<u64>,
    writes: Vec<(u64, DispatchRow)>,
}

impl Walk {
    fn new() -> Self {
        let endpoint = EndpointName::new("intake-1");
        Self {
            hold: Hold::new(session(0), endpoint, HoldSettings::default()),
            now: Now {
                mono: Mono(START),
                wall: Wall(START),
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
                self.tell(&HoldEvent::Gone { session });
            }
            Step::Row { dispatcher } => self.foreign_row(*dispatcher),
            Step::Store => self.answer_store(),
        }
    }

    fn tick(&mut self, ms: u64) {
        self.now.mono = self.now.mono.plus(ms);
        self.now.wall = self.now.wall.plus(ms);
        let candidates: Vec<Session> = (0..SESSIONS).map(session).collect();
        let wants = self.hold.needs_candidates(self.now);
        let mut without = self.hold.clone();
        let actions = self
            .hold
            .tick(&candidates, EndpointReach::Reached, self.now);
        if !wants {
            let bare = without.tick(&[], EndpointReach::Reached, self.now);
            assert_eq!(actions, bare, "candidates made a difference");
            assert_eq!(format!("{:?}", self.hold), format!("{without:?}"));
        }
        self.note(actions);
    }

    fn promise(&mut self, silent: usize) {
        for (from, epoch, round) in std::mem::take(&mut self.asked) {
            if from == session(silent) {
                continue;
            }
            let message = HoldMessage::Promise { epoch, round };
            self.tell(&HoldEvent::Message { from, message });
        }
    }

    fn foreign_row(&mut self, dispatcher: usize) {
        self.epoch = self.epoch.next();
        let next = |step: usize| session((dispatcher + step) % SESSIONS);
        self.stand(DispatchRow {
            endpoint: EndpointName::new("intake-1"),
            dispatcher: session(dispatcher),
            epoch: self.epoch,
            successors: vec![next(1), next(2)],
            former: Vec::new(),
            floor: Wall(0),
        });
    }

    fn stand(&mut self, row: DispatchRow) {
        self.version = self.version.next();
        self.epoch = self.epoch.max(row.epoch);
        self.row = Some(row.clone());
        let version = self.version;
        self.tell(&HoldEvent::Row { version, row });
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
            self.tell(&HoldEvent::ReadDone { read, outcome });
        }
        for (write, row) in std::mem::take(&mut self.writes) {
            let versions = vec![self.version.next()];
            let outcome = WriteOutcome::Done { versions };
            self.tell(&HoldEvent::WriteDone { write, outcome });
            self.stand(row);
        }
    }

    fn tell(&mut self, event: &HoldEvent) {
        let actions = self.hold.apply(event, self.now);
        self.note(actions);
    }

    fn note(&mut self, actions: Vec<HoldAction>) {
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
        let mut walk = Walk::new();
        for step in &steps {
            walk.step(step);
        }
    }
}
