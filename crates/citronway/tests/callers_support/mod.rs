//! The duty towards callers with a deciding thread that the test plays.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use crate::common::{Message, Peer, next};
use citronway::callers::{CallerReply, CallersConfig, CallersConfigBuilder, CallersHandle, start};
use citronway_core::node::events::Ticket;
use citronway_core::node::{CallerRequest, Event};
use citronway_core::outcome::{Answer, Outcome};
use googletest::prelude::*;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use uuid::Uuid;

pub const NEAR_MS: u64 = 400;
pub const FAR_MS: u64 = 60_000;
pub const MAX_BODY: usize = 100;
pub const GET: &str = "GET /v1/services/lookups/oil HTTP/1.1\r\ncitronway-key: k\r\n\r\n";

pub struct Bench {
    pub handle: CallersHandle,
    pub replies: Sender<CallerReply>,
    pub events: Receiver<Event>,
    pub ready: Arc<AtomicBool>,
}

impl Bench {
    pub fn new() -> Self {
        Self::with(|cfg| cfg)
    }

    pub fn with(set: impl Fn(CallersConfigBuilder) -> CallersConfigBuilder) -> Self {
        let cfg = CallersConfig::builder(([127, 0, 0, 1], 0).into())
            .max_body_bytes(MAX_BODY)
            .max_in_flight(2)
            .default_timeout_ms(FAR_MS)
            .max_timeout_ms(FAR_MS);
        let (replies, replies_rx) = channel(16);
        let (events_tx, events) = channel(2);
        let ready = Arc::new(AtomicBool::new(true));
        let cfg = set(cfg).build();
        let handle = start(cfg, replies_rx, events_tx, Arc::clone(&ready)).expect("a thread");
        Self {
            handle,
            replies,
            events,
            ready,
        }
    }

    pub fn caller(&self) -> Peer {
        Peer::connect(self.handle.local_addr)
    }

    /// Sends `text` on a new connection and reads the answer to it.
    pub fn ask(&self, text: &str) -> Message {
        let mut caller = self.caller();
        caller.write(text);
        caller.read()
    }

    /// The next request, as decisions see it.
    pub fn request(&mut self) -> (Ticket, CallerRequest) {
        match next(&mut self.events) {
            Event::Caller { ticket, request } => (ticket, request),
            other => panic!("not a request: {other:?}"),
        }
    }

    pub fn reply(&self, ticket: Ticket, outcome: Outcome) {
        let reply = CallerReply { ticket, outcome };
        self.replies.blocking_send(reply).expect("an open ring");
    }

    pub fn stop(self) {
        self.handle.stop();
        self.handle.join();
    }
}

pub fn post(headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /v1/services/bookings/a%20b/c?d=e HTTP/1.1\r\n{headers}content-length: {length}\r\n\r\n{body}"
    )
}

pub fn booking(body: &str) -> String {
    let id = Uuid::now_v7();
    post(
        &format!("citronway-key: k\r\nidempotency-key: {id}\r\n"),
        body,
    )
}

pub fn answered(body: &str) -> Outcome {
    Outcome::Answered(Answer {
        status: 207,
        content_type: Some("text/csv".to_owned()),
        body: body.to_owned().into(),
    })
}

/// Places and problems that a malformed request was told, sorted.
pub fn findings(answer: &Message) -> Vec<String> {
    let body = answer.json();
    assert_that!(body["outcome"], eq("not_run"));
    assert_that!(body["reason"], eq("bad_request"));
    let mut found = Vec::new();
    for finding in body["findings"].as_array().expect("findings") {
        let text = |name: &str| finding[name].as_str().expect("text").to_owned();
        assert_that!(text("explanation"), starts_with(text("place")));
        found.push(format!("{} {}", text("place"), text("problem")));
    }
    found.sort();
    found
}
