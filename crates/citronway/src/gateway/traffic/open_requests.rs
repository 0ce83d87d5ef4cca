//! Requests that were taken and have no whole answer yet, and where each of them stands.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use citronway_core::ids::EndpointStart;
use citronway_core::time::Mono;
use http::HeaderValue;
use indexmap::IndexMap;

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

    /// Word for logs.
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
#[derive(Debug, Default)]
pub(super) struct OpenRequests {
    requests: RefCell<IndexMap<u64, Rc<OpenRequest>>>,
    taken: Cell<u64>,
}

/// Where one request stands.
#[derive(Debug)]
pub(super) struct OpenRequest {
    arrived: Mono,
    stage: Cell<Stage>,
    id: RefCell<Option<HeaderValue>>,
    endpoint: RefCell<Option<EndpointStart>>,
}

impl OpenRequest {
    /// Notes the id under which the caller sent it.
    pub(super) fn name(&self, id: Option<&HeaderValue>) {
        self.id.replace(id.cloned());
    }

    /// Notes that it has come to a stage.
    pub(super) fn reach(&self, stage: Stage) {
        self.stage.set(stage);
    }

    /// Whether an endpoint has it or may have it.
    pub(super) fn may_be_at_endpoint(&self) -> bool {
        self.stage.get() == Stage::AtEndpoint
    }

    /// Notes the endpoint that was chosen for it; a connection is made first.
    pub(super) fn goes_to(&self, endpoint: &EndpointStart) {
        self.endpoint.replace(Some(endpoint.clone()));
        self.reach(Stage::Connecting);
    }
}

impl OpenRequests {
    /// Takes a request that has just come; it is unanswered until the guard is dropped.
    pub(super) fn take(self: &Rc<Self>, now: Mono) -> Open {
        let number = self.taken.get();
        self.taken.set(number + 1);
        let request = Rc::new(OpenRequest {
            arrived: now,
            stage: Cell::new(Stage::Reading),
            id: RefCell::default(),
            endpoint: RefCell::default(),
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

    /// Logs how many stand where.
    pub(super) fn log_counts(&self, message: &str, connections: u32) {
        let requests = self.requests.borrow();
        let count = |stage| {
            let at = |request: &&Rc<OpenRequest>| request.stage.get() == stage;
            requests.values().filter(at).count()
        };
        let [reading, waiting, connecting, at_endpoint, answering] = Stage::ALL.map(count);
        log::info!(connections, reading, waiting, connecting, at_endpoint, answering; "{message}");
    }

    /// Logs each of them as left without an answer.
    pub(super) fn log_each(&self, now: Mono) {
        for open in self.requests.borrow().values() {
            let id = open.id.borrow();
            let request = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-");
            let stage = open.stage.get().word();
            let endpoint = open.endpoint.borrow();
            let endpoint = endpoint.as_ref().map(ToString::to_string);
            let endpoint = endpoint.as_deref().unwrap_or("-");
            let ms = now.since(open.arrived);
            log::error!(request, stage, endpoint, ms; "left without an answer");
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
        self.all.requests.borrow_mut().swap_remove(&self.number);
    }
}
