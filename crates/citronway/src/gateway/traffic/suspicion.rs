//! Whether a request's work crashes endpoints, and what its try adds to that.

use std::sync::Arc;

use citronway_core::gateway::admission::{Choice, DoubtReason};
use citronway_core::gateway::crashes::{Fingerprint, Known, Work};
use citronway_core::time::Mono;
use citronway_platform::exchange;
use http::uri::PathAndQuery;

use super::forwarding::Forwarding;
use super::outcome::{Outcome, shown_id};
use crate::gateway::http_link::Listening;

/// What a look at an endpoint shows after its connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Look {
    /// It has not crashed, or nothing is known.
    NotCrashed,
    /// It crashed while it had the work.
    Crashed,
    /// The same, and another endpoint did before.
    CrashedAgain,
}

impl Forwarding<'_> {
    /// What this try has in common with others of the same work; none while no key is known.
    pub(super) fn fingerprint(&self) -> Option<Fingerprint> {
        if let Some(known) = self.work.get() {
            return Some(*known);
        }
        let made = self.make_fingerprint()?;
        Some(*self.work.get_or_init(|| made))
    }

    fn make_fingerprint(&self) -> Option<Fingerprint> {
        let key = self.state.view.borrow().crashes.key?;
        let message = &self.message;
        let path = message
            .uri
            .path_and_query()
            .map_or("/", PathAndQuery::as_str);
        let work = Work {
            caller: exchange::credentials(&message.headers),
            host: &self.words.host,
            method: message.method.as_str(),
            path,
            key: self.job.key,
            body: &message.body,
        };
        Some(work.fingerprint(&key))
    }

    /// The fingerprint of this work if it is refused.
    pub(super) fn harmful(&self, now: Mono) -> Option<Fingerprint> {
        let known = self.known();
        if known.refused.is_empty() {
            return None;
        }
        self.fingerprint().filter(|work| known.refuses(now, *work))
    }

    fn known(&self) -> Arc<Known> {
        Arc::clone(&self.state.view.borrow().crashes)
    }

    /// Ends a try of harmful work: it has not run, unless an earlier send of it may have.
    pub(super) fn refused_as_harmful(&self, work: Fingerprint) -> Outcome {
        if self.run_by.is_empty() {
            return Outcome::Harmful(work);
        }
        Outcome::Unknown(DoubtReason::Crashed, "endpoints that run it crash")
    }

    /// Tells a crash of the endpoint from a connection that was cut.
    ///
    /// One that has said that it leaves may end at any time. Work that was under suspicion
    /// before this crash is not sent again by this try: it costs an endpoint, and all that
    /// runs there, if the suspicion is right.
    pub(super) async fn look_at(&self, choice: &Choice) -> Look {
        let listening = self.state.looks.at(choice).await;
        let Some(work) = self.fingerprint().filter(|_| listening == Listening::No) else {
            return Look::NotCrashed;
        };
        let request = shown_id(self.words.id.as_ref());
        let endpoint = &choice.endpoint;
        let leaves = self.state.leaves(endpoint);
        log::info!(request, endpoint:%, work:%, leaves; "endpoint ended with the request");
        if leaves {
            return Look::NotCrashed;
        }
        self.state.crashed(work, endpoint);
        if self.known().suspects.contains(&work) {
            Look::CrashedAgain
        } else {
            Look::Crashed
        }
    }

    /// Clears work that was under suspicion: an endpoint ran it to its end.
    pub(super) fn clear_suspicion(&self) {
        let known = self.known();
        if known.suspects.is_empty() {
            return;
        }
        let work = self.fingerprint();
        if let Some(work) = work.filter(|work| known.suspects.contains(work)) {
            self.state.cleared(work);
        }
    }
}
