//! Requests without a complete answer, and the stage that each has reached.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use citronway_core::gateway::admission::Choice;
use citronway_core::gateway::routes::Repeat;
use citronway_core::ids::EndpointStart;
use citronway_core::time::Mono;
use http::HeaderValue;
use indexmap::IndexMap;
use log::Level;

use super::outcome::display_id;
use crate::clock;
use crate::gateway::metrics::Metrics;

/// Log message for a request that this instance leaves without an answer.
const UNANSWERED: &str = "left without an answer";

/// Stage of a request on its way to an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Stage {
    /// Its body is being read.
    Reading,
    /// It waits for a place at an endpoint.
    Waiting,
    /// A connection to an endpoint is being opened for it.
    Connecting,
    /// An endpoint has it, or may have it.
    AtEndpoint,
    /// Its answer is known and is being sent to the caller.
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

    /// Name in logs and metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Reading => "reading",
            Self::Waiting => "waiting",
            Self::Connecting => "connecting",
            Self::AtEndpoint => "at_endpoint",
            Self::Answering => "answering",
        }
    }
}

/// All requests without a complete answer, in order of arrival.
#[derive(Debug)]
pub(super) struct OpenRequests {
    metrics: Metrics,
    requests: RefCell<IndexMap<u64, Rc<OpenRequest>>>,
    next_number: Cell<u64>,
}

/// State of one request.
#[derive(Debug)]
pub(super) struct OpenRequest {
    arrived: Mono,
    stage: Cell<Stage>,
    /// When the current stage began.
    stage_since: Cell<Mono>,
    id: RefCell<Option<HeaderValue>>,
    /// Whether it may run more than once; `None` before its route is known.
    repeat: Cell<Option<Repeat>>,
    endpoint: RefCell<Option<EndpointStart>>,
    /// Fence under which that endpoint holds its key; 0 without one.
    fence: Cell<u64>,
    has_reached: Cell<bool>,
}

impl OpenRequest {
    /// Sets the id that the caller gave the request.
    pub(super) fn set_id(&self, id: Option<&HeaderValue>) {
        self.id.replace(id.cloned());
    }

    /// Sets whether the request may run more than once, by its route.
    pub(super) fn set_repeat(&self, repeat: Repeat) {
        self.repeat.set(Some(repeat));
    }

    /// Whether the request may run more than once; `None` before its route is known.
    pub(super) fn repeat(&self) -> Option<Repeat> {
        self.repeat.get()
    }

    /// Moves the request to a stage.
    pub(super) fn enter_stage(&self, now: Mono, stage: Stage) {
        self.stage.set(stage);
        self.stage_since.set(now);
    }

    /// Whether an endpoint has the request or may have it.
    pub(super) fn may_be_at_endpoint(&self) -> bool {
        self.stage.get() == Stage::AtEndpoint
    }

    /// Whether the request may have reached an endpoint, from here or from another instance. All sends
    /// after that are second sends.
    pub(super) fn has_reached_endpoint(&self) -> bool {
        self.has_reached.get()
    }

    /// Sets whether the request may have reached an endpoint.
    pub(super) fn set_reached_endpoint(&self, has_reached: bool) {
        self.has_reached.set(has_reached);
    }

    /// Sets the chosen endpoint and enters [`Stage::Connecting`].
    pub(super) fn set_endpoint(&self, now: Mono, choice: &Choice) {
        self.endpoint.replace(Some(choice.endpoint.clone()));
        self.fence.set(choice.fence.unwrap_or_default());
        self.enter_stage(now, Stage::Connecting);
    }

    /// Logs that the request was aborted because the instance stops.
    pub(super) fn log_stopped(&self, now: Mono) {
        self.log_end(now, Level::Info, "broken off by the stop");
    }

    /// Logs the stage of a request that ended without an answer.
    pub(super) fn log_end(&self, now: Mono, level: Level, message: &str) {
        let id = self.id.borrow();
        let request = display_id(id.as_ref());
        let stage = self.stage.get().as_str();
        let endpoint = self.endpoint.borrow();
        let endpoint = endpoint.as_ref().map(ToString::to_string);
        let endpoint = endpoint.as_deref().unwrap_or("-");
        let fence = self.fence.get();
        let stage_ms = now.since(self.stage_since.get());
        let ms = now.since(self.arrived);
        log::log!(level, request, stage, endpoint, fence, stage_ms, ms; "{message}");
    }
}

impl OpenRequests {
    pub(super) fn new(metrics: Metrics) -> Self {
        for stage in Stage::ALL {
            metrics.register_stage(stage.as_str());
        }
        Self {
            metrics,
            requests: RefCell::default(),
            next_number: Cell::new(0),
        }
    }

    /// Adds a request that has just arrived; it is removed when the guard is dropped.
    pub(super) fn insert(self: &Rc<Self>, now: Mono) -> OpenGuard {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let request = Rc::new(OpenRequest {
            arrived: now,
            stage: Cell::new(Stage::Reading),
            stage_since: Cell::new(now),
            id: RefCell::default(),
            repeat: Cell::new(None),
            endpoint: RefCell::default(),
            fence: Cell::new(0),
            has_reached: Cell::new(false),
        });
        self.requests
            .borrow_mut()
            .insert(number, Rc::clone(&request));
        OpenGuard {
            all: Rc::clone(self),
            number,
            request,
        }
    }

    /// Number of requests at each stage.
    fn counts(&self) -> [usize; Stage::ALL.len()] {
        let requests = self.requests.borrow();
        let count = |stage| {
            let at = |request: &&Rc<OpenRequest>| request.stage.get() == stage;
            requests.values().filter(at).count()
        };
        Stage::ALL.map(count)
    }

    /// Updates the gauges of requests at each stage.
    pub(super) fn update_metrics(&self) {
        for (stage, count) in Stage::ALL.into_iter().zip(self.counts()) {
            self.metrics.set_unanswered(stage.as_str(), count);
        }
    }

    /// Logs the number of requests at each stage.
    pub(super) fn log_counts(&self, message: &str, connections: u32) {
        let [reading, waiting, connecting, at_endpoint, answering] = self.counts();
        log::info!(connections, reading, waiting, connecting, at_endpoint, answering; "{message}");
    }

    /// Removes all requests and logs each as left without an answer.
    pub(super) fn end_all(&self, now: Mono) {
        for open in self.requests.take().values() {
            open.log_end(now, Level::Error, UNANSWERED);
        }
    }
}

/// Guard of a request without a complete answer; removes it when dropped.
#[derive(Debug)]
pub(super) struct OpenGuard {
    all: Rc<OpenRequests>,
    number: u64,
    /// State of the request.
    pub request: Rc<OpenRequest>,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let removed = self.all.requests.borrow_mut().swap_remove(&self.number);
        let stage = self.request.stage.get();
        // Requests that were removed at the end of the instance have already been logged.
        if removed.is_none() || stage == Stage::Answering {
            return;
        }
        let now = clock::mono();
        if std::thread::panicking() {
            self.request.log_end(now, Level::Error, UNANSWERED);
            return;
        }
        self.all.metrics.count_caller_left(stage.as_str());
        let message = "caller left before its answer";
        self.request.log_end(now, Level::Info, message);
    }
}
