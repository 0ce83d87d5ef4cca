//! The list of successors that a dispatcher maintains.

use citronway_core::hold::{EndpointReach, Hold, HoldAction, HoldEvent, HoldSettings, ReadOutcome};
use citronway_core::ids::{EndpointName, Epoch, Session, Version};
use citronway_core::peer::HoldMessage;
use citronway_core::platform::WriteOutcome;
use citronway_core::shard::DispatchRow;
use citronway_core::time::{Mono, Now, Wall};
use googletest::prelude::*;

/// A dispatcher whose successors promise at once and whose store always answers.
struct Harness {
    hold: Hold,
    version: Version,
    row: DispatchRow,
}

impl Harness {
    fn answer(&mut self, action: &HoldAction) -> Option<HoldEvent> {
        Some(match action {
            HoldAction::Send {
                to,
                message: HoldMessage::Ask { epoch, round, .. },
            } => {
                let message = HoldMessage::Promise {
                    epoch: *epoch,
                    round: *round,
                };
                HoldEvent::Message {
                    from: to.clone(),
                    message,
                }
            }
            HoldAction::ReadRow { read } => {
                let outcome = ReadOutcome::Found {
                    version: self.version,
                    row: self.row.clone(),
                };
                HoldEvent::ReadDone {
                    read: *read,
                    outcome,
                }
            }
            HoldAction::Write { write, row, .. } => {
                self.version = self.version.next();
                self.row = row.clone();
                let outcome = WriteOutcome::Done {
                    versions: vec![self.version],
                };
                HoldEvent::WriteDone {
                    write: *write,
                    outcome,
                }
            }
            _ => return None,
        })
    }

    fn apply(&mut self, event: HoldEvent, now: Now) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.hold.apply(&event, now) {
                events.extend(self.answer(&action));
            }
        }
    }
}

/// A dispatcher with a single successor adds a second one. Failure guarded against:
/// the nominee stays nominated after it was listed, so the row names one session
/// twice and the third instance is never asked. The loss of one instance is then
/// the loss of both successors.
#[gtest]
fn a_listed_nominee_is_not_listed_again() {
    let me = Session::new("n1", 1);
    let row = DispatchRow {
        endpoint: EndpointName::new("e1"),
        dispatcher: me.clone(),
        epoch: Epoch(1),
        successors: Vec::new(),
        former: Vec::new(),
        floor: Wall(0),
    };
    let hold = Hold::new(me.clone(), EndpointName::new("e1"), HoldSettings::default());
    let mut harness = Harness {
        hold,
        version: Version(1),
        row: row.clone(),
    };
    let others = [Session::new("n2", 2), Session::new("n3", 3)];
    let candidates = [me, others[0].clone(), others[1].clone()];
    let start = Now {
        mono: Mono(10_000),
        wall: Wall(10_000),
    };
    harness.apply(
        HoldEvent::Row {
            version: Version(1),
            row,
        },
        start,
    );
    for step in 1..200 {
        let now = Now {
            mono: start.mono.plus(step * 10),
            wall: start.wall.plus(step * 10),
        };
        let tick = HoldEvent::Tick {
            candidates: candidates.to_vec(),
            reach: EndpointReach::Reached,
        };
        harness.apply(tick, now);
    }
    expect_that!(
        harness.row.successors,
        unordered_elements_are![eq(&others[0]), eq(&others[1])]
    );
}
