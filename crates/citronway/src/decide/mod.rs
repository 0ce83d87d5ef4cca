//! The deciding thread: feeds events to the machine and hands out its actions.

pub mod record;
mod redact;

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use citronway_core::ids::Session;
use citronway_core::node::{Action, Event, Node};
use tokio::sync::mpsc::Receiver;
use tokio::time::{MissedTickBehavior, interval};

use crate::clock;
use crate::observe::Observer;
use crate::operator_calls::OperatorCalls;
use crate::operators::StoreCommand;
use crate::peers::PeerCommand;
use crate::publish::StatePublisher;
use crate::rings::Rings;
use record::Recorder;

/// Time between two ticks of the machine.
const TICK: Duration = Duration::from_millis(10);
/// Time between two published states.
const PUBLISH: Duration = Duration::from_millis(200);

/// What the deciding thread works with.
#[derive(Debug)]
pub struct Decider {
    /// The machine.
    pub node: Node,
    /// Where its actions go.
    pub rings: Rings,
    /// Whether callers may be sent here.
    pub ready: Arc<AtomicBool>,
    /// Times requests.
    pub observer: Observer,
    /// Shows the state to operators.
    pub publisher: StatePublisher,
    /// Reads and writes of the administration API.
    pub operator_calls: OperatorCalls,
    /// Records what the machine is fed, if that is wanted.
    pub recorder: Option<Recorder>,
    /// This session.
    pub me: Session,
    /// Address under which other instances find this one.
    pub address: String,
}

impl Decider {
    /// Runs until the machine wants to exit.
    pub async fn run(mut self, mut events: Receiver<Event>, mut store: Receiver<StoreCommand>) {
        let mut ticks = interval(TICK);
        let mut shows = interval(PUBLISH);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        shows.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                event = events.recv() => event,
                _ = ticks.tick() => Some(Event::Tick),
                Some(command) = store.recv() => {
                    self.operator_calls.take(command);
                    continue;
                }
                _ = shows.tick() => {
                    self.show();
                    continue;
                }
            };
            let Some(event) = event else {
                return;
            };
            if !self.feed(event) {
                self.show();
                return;
            }
        }
    }

    /// Shows operators how things stand.
    fn show(&mut self) {
        let now = clock::now();
        self.publisher.publish(&self.node, now);
        self.rings.drops.log(now.mono);
    }

    /// Feeds one event and what follows from it; returns false at the end.
    fn feed(&mut self, event: Event) -> bool {
        let mut queue = VecDeque::from([event]);
        while let Some(event) = queue.pop_front() {
            let Some(event) = self.operator_calls.intercept(event) else {
                continue;
            };
            self.pass_instances_on(&event);
            queue.extend(self.proof_of_self(&event));
            let at = Instant::now();
            self.observer.event(&event, self.node.view(), at);
            let now = clock::now();
            if let Some(recorder) = &mut self.recorder
                && !recorder.record(&event, now)
            {
                self.rings.drops.count("trace");
            }
            for action in self.node.handle(event, now) {
                if action == Action::Exit {
                    return false;
                }
                self.observer.action(&action, at);
                queue.extend(self.rings.carry_out(action));
            }
            for verdict in self.node.take_verdicts() {
                crate::observe::log_verdict(&verdict);
            }
            self.ready.store(self.node.ready(now), Ordering::Relaxed);
        }
        true
    }

    /// This session holds the address that the list has for its instance, so
    /// earlier sessions of the instance are gone; nobody else may be left to say so.
    fn proof_of_self(&self, event: &Event) -> Option<Event> {
        let Event::Instances { list, .. } = event else {
            return None;
        };
        let mut listed = list.instances.iter();
        let ours =
            listed.any(|it| it.instance == self.me.instance && it.peer_address == self.address);
        ours.then(|| Event::PeerUp {
            session: self.me.clone(),
            at_its_address: true,
        })
    }

    /// The peers duty connects to the listed instances.
    fn pass_instances_on(&mut self, event: &Event) {
        let Event::Instances { list, .. } = event else {
            return;
        };
        let command = PeerCommand::SetInstances(list.instances.clone());
        if self.rings.peers.try_send(command).is_err() {
            self.rings.drops.count("peers");
        }
    }
}
