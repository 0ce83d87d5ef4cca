//! A store in memory that fails on demand.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};

use citronway::operators::store::config_row;
use citronway::operators::{Publisher, ReadFailed, StoreCommand};
use citronway_core::config::Config;
use citronway_core::ids::Version;
use citronway_core::platform::{ConditionalPut, Row, WriteOutcome};
use tokio::sync::mpsc;

use super::snapshot;

/// What goes wrong with one write.
#[derive(Debug, Clone)]
pub enum Fault {
    /// It takes effect, and its answer is lost.
    AnswerLost,
    /// It is lost on the way, and so is its answer.
    WriteLost,
    /// Its answer is lost; it takes effect only after this many reads.
    LandsAfterReads(u32),
    /// It takes effect, its answer is lost, and another's configuration follows.
    AnswerLostThenReplaced(Config),
    /// Another's configuration is accepted just before it.
    Overtaken(Config),
    /// The platform's thread drops it without an answer, after it was sent.
    Dropped,
    /// It is not taken at all.
    Refused,
}

#[derive(Debug)]
struct State {
    version: Version,
    value: String,
    faults: VecDeque<Fault>,
    late: Option<(u32, ConditionalPut)>,
    down: bool,
    puts: u32,
    publish: bool,
    publisher: Arc<Publisher>,
}

/// A store in memory that holds the row of the configuration.
#[derive(Debug, Clone)]
pub struct MemoryStore(Arc<Mutex<State>>);

impl MemoryStore {
    pub fn new(config: &Config, version: Version, publisher: Arc<Publisher>) -> Self {
        Self(Arc::new(Mutex::new(State {
            version,
            value: serde_json::to_string(config).unwrap(),
            faults: VecDeque::new(),
            late: None,
            down: false,
            puts: 0,
            publish: true,
            publisher,
        })))
    }

    /// Lets the next write that has no fault yet fail.
    pub fn fail_next(&self, fault: Fault) {
        self.state().faults.push_back(fault);
    }

    /// Answers no read any more, or does again.
    pub fn set_down(&self, down: bool) {
        self.state().down = down;
    }

    /// What is accepted no longer comes into force at the instance.
    pub fn hold_back(&self) {
        self.state().publish = false;
    }

    /// Writes that were asked for, refused ones included.
    pub fn puts(&self) -> u32 {
        self.state().puts
    }

    /// The configuration as it stands.
    pub fn config(&self) -> Config {
        serde_json::from_str(&self.state().value).unwrap()
    }

    /// Version of the row.
    pub fn version(&self) -> Version {
        self.state().version
    }

    /// Another operator's configuration is accepted.
    pub fn accept(&self, config: &Config) {
        self.state().set(serde_json::to_string(config).unwrap());
    }

    /// Answers commands until nobody is left to ask.
    pub fn run(&self, mut rx: mpsc::Receiver<StoreCommand>) {
        while let Some(command) = rx.blocking_recv() {
            let mut state = self.state();
            match command {
                StoreCommand::ReadRow { answer, .. } => {
                    let _ = answer.send(state.read());
                }
                StoreCommand::Write { puts, answer } => {
                    let fault = state.faults.pop_front();
                    if matches!(fault, Some(Fault::Dropped)) {
                        state.puts += 1;
                        state.write(&puts[0]);
                        continue;
                    }
                    let _ = answer.send(state.write_with(&puts[0], fault));
                }
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }
}

impl State {
    fn read(&mut self) -> Result<Option<Row>, ReadFailed> {
        if self.down {
            return Err(ReadFailed);
        }
        let row = Row {
            at: config_row(),
            version: self.version,
            value: self.value.clone(),
        };
        match self.late.take() {
            Some((0, put)) => {
                self.write(&put);
            }
            Some((reads, put)) => self.late = Some((reads - 1, put)),
            None => {}
        }
        Ok((row.version > Version(0)).then_some(row))
    }

    fn write_with(&mut self, put: &ConditionalPut, fault: Option<Fault>) -> WriteOutcome {
        self.puts += 1;
        match fault {
            None => return self.write(put),
            Some(Fault::Refused) => return WriteOutcome::Refused,
            Some(Fault::Overtaken(other)) => {
                self.set(serde_json::to_string(&other).unwrap());
                return self.write(put);
            }
            Some(Fault::AnswerLost) => {
                self.write(put);
            }
            Some(Fault::AnswerLostThenReplaced(other)) => {
                self.write(put);
                self.set(serde_json::to_string(&other).unwrap());
            }
            Some(Fault::LandsAfterReads(reads)) => self.late = Some((reads, put.clone())),
            Some(Fault::WriteLost | Fault::Dropped) => {}
        }
        WriteOutcome::Unknown
    }

    fn write(&mut self, put: &ConditionalPut) -> WriteOutcome {
        if put.expected != self.version {
            return WriteOutcome::Conflict {
                at: put.at.clone(),
                found: self.version,
            };
        }
        self.set(put.value.clone());
        WriteOutcome::Done {
            versions: vec![self.version],
        }
    }

    /// Versions skip a number, as rows of other tables may take some.
    fn set(&mut self, value: String) {
        self.version = Version(self.version.0 + 2);
        self.value = value;
        if self.publish {
            let config = serde_json::from_str(&self.value).unwrap();
            let state = snapshot(&config, self.version);
            self.publisher.send_replace(Arc::new(state));
        }
    }
}
