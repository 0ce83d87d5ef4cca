//! What an endpoint states of itself in its answers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;

use super::departures::DepartureLog;
use super::endpoint::{FencedEndpoint, Shared};
use super::limits::LimitLog;
use super::rests::RestLog;

/// Statements of an endpoint, and what reached it.
#[derive(Debug, Default)]
pub(super) struct Statements {
    /// Texts of the limit that each answer states.
    limit: Vec<String>,
    limits: LimitLog,
    /// Texts by which each answer states that the endpoint leaves.
    leaving: Vec<String>,
    departure: DepartureLog,
    /// Texts by which each rejection asks for rest, and how long that is.
    rest: Option<(Vec<String>, Duration)>,
    rests: RestLog,
}

impl Statements {
    /// Records a request that an instance sent.
    pub(super) fn arrive(&mut self, at: Instant, sender: &str) {
        self.limits.arrive(at, sender);
        self.departure.arrive(at, sender);
        self.rests.arrive(at, sender);
    }

    /// Adds the statements to the answer to an order.
    pub(super) fn add_to_order(&self, answer: &mut Response<Full<Bytes>>) {
        append(answer, "server-leaving", &self.leaving);
    }

    /// Adds the statements to the answer to a request.
    fn add_to_answer(&mut self, sender: &str, answer: &mut Response<Full<Bytes>>) {
        let now = Instant::now();
        append(answer, "server-limit", &self.limit);
        if !self.limit.is_empty() {
            self.limits.tell(now, sender);
        }
        append(answer, "server-leaving", &self.leaving);
        if !self.leaving.is_empty() {
            self.departure.tell(now, sender);
        }
        if let Some((texts, rest)) = &self.rest
            && answer.status() == StatusCode::SERVICE_UNAVAILABLE
        {
            append(answer, "retry-after", texts);
            self.rests.ask(now, sender, *rest);
        }
    }
}

fn append(answer: &mut Response<Full<Bytes>>, name: &'static str, texts: &[String]) {
    for text in texts {
        if let Ok(value) = HeaderValue::from_str(text) {
            answer.headers_mut().append(name, value);
        }
    }
}

fn owned(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}

/// The answer with what the endpoint states of itself now.
pub(super) fn with_statements(
    shared: &Shared,
    sender: &str,
    mut answer: Response<Full<Bytes>>,
) -> Response<Full<Bytes>> {
    shared.lock().statements.add_to_answer(sender, &mut answer);
    answer
}

impl FencedEndpoint {
    /// States a limit in each answer from now on, in requests a second; `None` states none.
    pub fn state_limit(&self, per_s: Option<f64>) {
        let statements = &mut self.shared.lock().statements;
        statements.limit = per_s.iter().map(f64::to_string).collect();
        statements.limits.state(Instant::now(), per_s);
    }

    /// Puts texts into each answer from now on where a limit is stated. They count as no limit.
    pub fn state_texts(&self, texts: &[&str]) {
        self.shared.lock().statements.limit = owned(texts);
    }

    /// What it stated of its limit and what it got.
    #[must_use]
    pub fn limits(&self) -> LimitLog {
        self.shared.lock().statements.limits.clone()
    }

    /// States in each answer from now on that it leaves.
    pub fn leave(&self) {
        self.say_of_leaving(&["1"]);
    }

    /// Rejects all requests from now on and asks for rest each time.
    pub fn rest(&self, rest: Duration) {
        let text = rest.as_secs_f64().to_string();
        self.rest_in_texts(&[&text], rest);
    }

    /// Rejects all requests from now on and asks for rest in these texts. They count as `rest`.
    pub fn rest_in_texts(&self, texts: &[&str], rest: Duration) {
        self.full(true);
        self.shared.lock().statements.rest = Some((owned(texts), rest));
    }

    /// Takes requests again.
    pub fn stop_resting(&self) {
        self.full(false);
        self.shared.lock().statements.rest = None;
    }

    /// The rests for which it asked, and what it got.
    #[must_use]
    pub fn rests(&self) -> RestLog {
        self.shared.lock().statements.rests.clone()
    }

    /// Whether it states that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        !self.shared.lock().statements.leaving.is_empty()
    }

    /// Puts texts into each answer from now on where an endpoint states that it leaves.
    pub fn say_of_leaving(&self, texts: &[&str]) {
        self.shared.lock().statements.leaving = owned(texts);
    }

    /// Whom it told that it leaves, and what it got.
    #[must_use]
    pub fn departure(&self) -> DepartureLog {
        self.shared.lock().statements.departure.clone()
    }
}
