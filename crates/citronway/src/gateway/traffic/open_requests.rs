//! Requests that were taken and have no whole answer yet, and where each of them stands.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use citronway_core::gateway::admission::Choice;
use citronway_core::ids::EndpointStart;
use citronway_core::time::Mono;
use http::HeaderValue;
use indexmap::IndexMap;
use log::Level;

use super::outcome::shown_id;
use crate::clock;
use crate::gateway::metrics::Metrics;

/// Message for a request that this instance leaves without an answer.
const UNANSWERED: &str = "left without an answer";

/// Where a request stands on its way to an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Stage {
    /// Its body is being read.
    Reading,
    /// It waits for a place at an endpoint.
    Waiting,
    /// A connection to an endpoint is being made for it.
    Connecting,
    /// An endpoint has it, or may have it.
    AtEndpoint,
    /// Its answer is known and on the way to the caller.
    Answering,
}

impl Stage {
    /// All stages, in the order in which a request passes them.
    const ALL: [Self; 5] = [
        Self::Reading,
        Self::Waiting,
        Self::Connecting,
        Self::AtEndpoint,
        Self::Answering,
    ];

    /// Word for logs and metrics.
    const fn word(self) -> &'static str {
        match self {
            Self::Reading => "reading",
            Self::Waiting => "waiting",
            Self::Connecting => "connecting",
            Self::AtEndpoint => "at_endpoint",
            Self::Answering => "answering",
        }
    }
}

/// All requests that have no whole answer, by the order in which they came.
#[derive(Debug)]
pub(super) struct OpenRequests {
    metrics: Metrics,
    requests: RefCell<IndexMap<u64, Rc<OpenRequest>>>,
    taken: Cell<u64>,
}

/// Where one request stands.
#[derive(Debug)]
pub(super) struct OpenRequest {
    arrived: Mono,
    stage: Cell<Stage>,
    /// When it came to its stage.
    since: Cell<Mono>,
    id: RefCell<Option<HeaderValue>>,
    endpoint: RefCell<Option<EndpointStart>>,
    /// Fence under which that endpoint holds its key; 0 without one.
    fence: Cell<u64>,
}

impl OpenRequest {
    /// Notes the id under which the caller sent it.
    pub(super) fn name(&self, id: Option<&HeaderValue>) {
        self.id.replace(id.cloned());
    }

    /// Notes that it has come to a stage.
    pub(super) fn reach(&self, now: Mono, stage: Stage) {
        self.stage.set(stage);
        self.since.set(now);
    }

    /// Whether an endpoint has it or may have it.
    pub(super) fn may_be_at_endpoint(&self) -> bool {
        self.stage.get() == Stage::AtEndpoint
    }

    /// Notes the endpoint that was chosen for it; a connection is made first.
    pub(super) fn goes_to(&self, now: Mono, choice: &Choice) {
        self.endpoint.replace(Some(choice.endpoint.clone()));
        self.fence.set(choice.fence.unwrap_or_default());
        self.reach(now, Stage::Connecting);
    }

    /// Logs that its way to an answer was broken off because the instance stops.
    pub(super) fn log_broken_off(&self, now: Mono) {
        self.log_end(now, Level::Info, "broken off by the stop");
    }

    /// Logs where it stood when it ended without having come to its answer.
    pub(super) fn log_end(&self, now: Mono, level: Level, message: &str) {
        let id = self.id.borrow();
        let request = shown_id(id.as_ref());
        let stage = self.stage.get().word();
        let endpoint = self.endpoint.borrow();
        let endpoint = endpoint.as_ref().map(ToString::to_string);
        let endpoint = endpoint.as_deref().unwrap_or("-");
        let fence = self.fence.get();
        let stage_ms = now.since(self.since.get());
        let ms = now.since(self.arrived);
        log::log!(level, request, stage, endpoint, fence, stage_ms, ms; "{message}");
    }
}

impl OpenRequests {
    pub(super) fn new(metrics: Metrics) -> Self {
        for stage in Stage::ALL {
            metrics.register_stage(stage.word());
        }
        Self {
            metrics,
            requests: RefCell::default(),
            taken: Cell::new(0),
        }
    }

    /// Takes a request that has just come; it is unanswered until the guard is dropped.
    pub(super) fn take(self: &Rc<Self>, now: Mono) -> Open {
        let number = self.taken.get();
        self.taken.set(number + 1);
        let request = Rc::new(OpenRequest {
            arrived: now,
            stage: Cell::new(Stage::Reading),
            since: Cell::new(now),
            id: RefCell::default(),
            endpoint: RefCell::default(),
            fence: Cell::new(0),
        });
        self.requests
            .borrow_mut()
            .insert(number, Rc::clone(&request));
        Open {
            all: Rc::clone(self),
            number,
            request,
        }
    }

    /// How many stand at each stage.
    fn counts(&self) -> [usize; Stage::ALL.len()] {
        let requests = self.requests.borrow();
        let count = |stage| {
            let at = |request: &&Rc<OpenRequest>| request.stage.get() == stage;
            requests.values().filter(at).count()
        };
        Stage::ALL.map(count)
    }

    /// Shows in the metrics how many stand where.
    pub(super) fn show_counts(&self) {
        for (stage, count) in Stage::ALL.into_iter().zip(self.counts()) {
            self.metrics.set_unanswered(stage.word(), count);
        }
    }

    /// Logs how many stand where.
    pub(super) fn log_counts(&self, message: &str, connections: u32) {
        let [reading, waiting, connecting, at_endpoint, answering] = self.counts();
        log::info!(connections, reading, waiting, connecting, at_endpoint, answering; "{message}");
    }

    /// Ends all of them and logs each as left without an answer.
    pub(super) fn end_all(&self, now: Mono) {
        for open in self.requests.take().values() {
            open.log_end(now, Level::Error, UNANSWERED);
        }
    }
}

/// A request that has no whole answer yet.
#[derive(Debug)]
pub(super) struct Open {
    all: Rc<OpenRequests>,
    number: u64,
    /// Where it stands.
    pub request: Rc<OpenRequest>,
}

impl Drop for Open {
    fn drop(&mut self) {
        let known = self.all.requests.borrow_mut().swap_remove(&self.number);
        let stage = self.request.stage.get();
        // Those that the end of the instance left without an answer are no longer among
        // them and were logged then.
        if known.is_none() || stage == Stage::Answering {
            return;
        }
        let now = clock::mono();
        if std::thread::panicking() {
            self.request.log_end(now, Level::Error, UNANSWERED);
            return;
        }
        self.all.metrics.count_caller_left(stage.word());
        let message = "caller left before its answer";
        self.request.log_end(now, Level::Info, message);
    }
}
