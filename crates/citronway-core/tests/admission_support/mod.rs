//! A small deployment as seen by one instance: `a` and `b` share the keys of `batch`, and `near`,
//! `far1` and `far2` serve `console`, with six slots each.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::sync::Arc;

use citronway_core::gateway::admission::{Admission, Decision, Job, Owners, ReportedLoad, View};
use citronway_core::gateway::assignment::{Assignment, FENCES_PER_MOVE, Holder, LAST_KEY, Range};
use citronway_core::gateway::pace::EndpointTag;
use citronway_core::gateway::registry::{Listing, Registry};
use citronway_core::gateway::routes::Repeat;
use citronway_core::gateway::version::RowVersion;
use citronway_core::ids::{EndpointStart, ServiceName, ZoneName};
use citronway_core::time::Mono;
use indexmap::IndexMap;

pub struct Scene {
    registry: Registry,
    pub owners: IndexMap<ServiceName, Owners>,
    pub reported_loads: IndexMap<EndpointTag, ReportedLoad>,
}

fn listing(id: &str, service: &str, zone: &str, port: u16) -> Listing {
    Listing {
        start: EndpointStart::new(id, None),
        service: ServiceName::new(service),
        address: ([10, 0, 0, 1], port).into(),
        zone: ZoneName::new(zone),
        slots: 6,
        draining: false,
        cold_ms: 0,
    }
}

const LISTINGS: [(&str, &str, &str, u16); 5] = [
    ("a", "batch", "here", 1),
    ("b", "batch", "there", 2),
    ("near", "console", "here", 3),
    ("far1", "console", "there", 4),
    ("far2", "console", "there", 5),
];

fn range(first: u16, last: u16, id: &str, port: u16, fence: u64) -> Range {
    Range {
        first,
        last,
        holder: Holder {
            endpoint: EndpointStart::new(id, None),
            address: ([10, 0, 0, 1], port).into(),
            fence,
        },
        next: None,
    }
}

impl Scene {
    pub fn new() -> Self {
        let mut registry = Registry::default();
        for (id, service, zone, port) in LISTINGS {
            registry.put(Mono(0), listing(id, service, zone, port));
        }
        let assignment = Assignment {
            term: 1,
            next_fence: 20,
            ranges: vec![
                range(0, 32_767, "a", 1, 8),
                range(32_768, LAST_KEY, "b", 2, 16),
            ],
        };
        let owners = Owners {
            assignment: Arc::new(assignment),
            version: RowVersion::first(1),
        };
        Self {
            registry,
            owners: [(ServiceName::new("batch"), owners)].into_iter().collect(),
            reported_loads: IndexMap::new(),
        }
    }

    pub const fn registry(&mut self) -> &mut Registry {
        &mut self.registry
    }

    pub fn drain(&mut self, id: &str) {
        for (name, service, zone, port) in LISTINGS {
            if name == id {
                let mut listing = listing(name, service, zone, port);
                listing.draining = true;
                self.registry.put(Mono(0), listing);
            }
        }
    }

    /// Starts a move of the first range to another endpoint.
    pub fn move_first_to(&mut self, id: &str) {
        for owners in self.owners.values_mut() {
            let mut assignment = owners.assignment.as_ref().clone();
            let fence = assignment.allocate_fences(FENCES_PER_MOVE);
            if let Some(range) = assignment.ranges.first_mut() {
                let mut next = range.holder.clone();
                next.endpoint = EndpointStart::new(id, None);
                next.fence = fence;
                range.next = Some(next);
            }
            owners.assignment = Arc::new(assignment);
        }
    }

    pub fn view(&self) -> View {
        let mut view = View::empty(ZoneName::new("here"), 1);
        view.registry = Arc::new(self.registry.clone());
        view.owners.clone_from(&self.owners);
        view.reported_loads.clone_from(&self.reported_loads);
        view
    }

    /// An admission that has known the owners for longer than the grace time of new owners.
    pub fn admission(&self, now: Mono) -> Admission {
        let mut admission = Admission::default();
        admission.update_view(now.minus(1_000), &self.view());
        admission
    }
}

/// A request without a key, with work of 200 ms and a deadline of 2 s.
pub fn job(ticket: u64, now: Mono) -> Job {
    Job {
        ticket,
        service: ServiceName::new("console"),
        key: None,
        priority: 1,
        repeat: Repeat::AtMostOnce,
        arrived: now,
        objective_at: now.plus(600),
        deadline: now.plus(2_000),
        caller_deadline: now.plus(4_000),
        work_ms: 200,
        answer_bytes: 0,
        body_bytes: 0,
        tried: Vec::new(),
        pauses: Vec::new(),
        is_forwarded: false,
        spent_ms: 0,
    }
}

/// A request with a key, with work of 200 ms and a deadline of 2 s.
pub fn keyed(ticket: u64, key: u16, now: Mono) -> Job {
    Job {
        service: ServiceName::new("batch"),
        key: Some(key),
        ..job(ticket, now)
    }
}

/// Name of the chosen endpoint, reason of the refusal, or "waits".
pub fn shown(decision: Option<&Decision>) -> String {
    match decision {
        Some(Decision::Send(choice)) => choice.endpoint.to_string(),
        Some(Decision::Refuse(refusal)) => refusal.reason.as_str().to_owned(),
        Some(Decision::Forward) => "forward".to_owned(),
        None => "waits".to_owned(),
    }
}
