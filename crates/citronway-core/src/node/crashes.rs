//! Work that crashes endpoints: what this instance saw and heard, and what it refuses.
//!
//! A dispatcher is the only one that sends to its endpoint, so it tells crashes from one
//! another and sends work under suspicion one copy at a time. Heartbeats tell all instances.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::crashes::{
    Fingerprint, FingerprintKey, Ledger, Sign, SignQueue, SignReceiver, Verdict,
    copy_retry_after_ms,
};
use crate::gateway::pace::EndpointTag;
use crate::ids::{EndpointName, Session};
use crate::outcome::{NotRun, NotRunReason, Outcome};
use crate::peer::Heartbeat;
use crate::request::Request;
use crate::time::{Mono, Now};

use super::Node;
use super::events::OrderReply;

/// Connections that break within this time of the first broke by one crash, in milliseconds:
/// no endpoint is back and at work sooner.
const ONE_CRASH_MS: u64 = 100;

/// Time in which an endpoint whose connection broke may show that it lives, in milliseconds.
const MAY_LIVE_MS: u64 = 150;

/// Time that a copy is refused for while another one runs, in milliseconds.
const BUSY_MS: u64 = 200;

/// When to come back to work that is refused as harmful, in milliseconds: the shortest time
/// for which it is.
const HARMFUL_RETRY_MS: u64 = 15_000;

/// A broken connection that is a crash unless the endpoint shows that it lives.
#[derive(Debug)]
struct Broken {
    at: Mono,
    endpoint: EndpointName,
    work: Fingerprint,
}

/// Crashes of one endpoint.
#[derive(Debug, Default)]
struct Ends {
    at: Mono,
    count: u64,
}

/// What this instance knows of crashes.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    key: FingerprintKey,
    rank: u64,
    session: u64,
    ledger: Ledger,
    outbox: SignQueue,
    taken: SignReceiver,
    broken: VecDeque<Broken>,
    ends: IndexMap<EndpointName, Ends>,
    /// Work under suspicion that a dispatcher of this instance has.
    tried: IndexSet<Fingerprint>,
    /// What changed for callers and was not logged yet.
    verdicts: Vec<Verdict>,
}

impl Crashes {
    pub(super) fn new(key: FingerprintKey, me: &Session) -> Self {
        Self {
            key,
            rank: xxh3_64(me.instance.as_str().as_bytes()),
            session: me.id.0,
            ..Self::default()
        }
    }

    /// What tries of the same work have in common.
    pub(super) fn fingerprint(&self, req: &Request) -> Fingerprint {
        let parts = [
            req.tenant.as_bytes(),
            req.service.as_str().as_bytes(),
            req.key.as_str().as_bytes(),
            req.method.as_bytes(),
            req.path.as_bytes(),
            req.content_type.as_deref().unwrap_or("").as_bytes(),
            &req.body,
        ];
        Fingerprint::of_parts(&self.key, &parts)
    }

    /// Whether nothing is under suspicion.
    pub(super) fn is_empty(&self) -> bool {
        self.ledger.is_empty()
    }

    /// Why a request may not be sent, if there is a reason.
    fn refusal(&self, now: Mono, req: &Request) -> Option<NotRun> {
        if self.is_empty() {
            return None;
        }
        let work = self.fingerprint(req);
        let refused = self.ledger.is_refused_at(now, self.rank, work);
        refused.then(|| NotRun::new(NotRunReason::CrashesEndpoints, HARMFUL_RETRY_MS))
    }

    /// Begins a try of a request by a dispatcher of this instance; a refusal if another copy
    /// of work under suspicion is under way.
    ///
    /// Failure guarded against: copies of harmful work wait until their key has an owner, and
    /// all of them reach it in the same moment.
    fn begin(&mut self, req: &Request, number: u64) -> Result<Option<Fingerprint>, NotRun> {
        if self.is_empty() && self.broken.is_empty() {
            return Ok(None);
        }
        let work = self.fingerprint(req);
        // Whether its endpoint crashed is not decided yet.
        let is_open = self.broken.iter().any(|broken| broken.work == work);
        if !is_open && !self.ledger.is_suspect(work) {
            return Ok(None);
        }
        if !is_open && self.tried.insert(work) {
            return Ok(Some(work));
        }
        let retry_ms = copy_retry_after_ms(BUSY_MS, u64::MAX, number);
        Err(NotRun::new(NotRunReason::UnderTrial, retry_ms))
    }

    /// Notes that a dispatcher of this instance no longer has the work.
    pub(super) fn finished(&mut self, work: Fingerprint) {
        self.tried.swap_remove(&work);
    }

    /// Notes what came back for an order with the work.
    pub(super) fn replied(
        &mut self,
        now: Mono,
        endpoint: &EndpointName,
        work: Fingerprint,
        reply: &OrderReply,
    ) {
        match reply {
            OrderReply::Lost => self.broken.push_back(Broken {
                at: now,
                endpoint: endpoint.clone(),
                work,
            }),
            OrderReply::Answered { answer } if answer.status < 500 => {
                if self.ledger.is_suspect(work) {
                    self.tell(now, Sign::Answered { work });
                }
            }
            OrderReply::Answered { .. }
            | OrderReply::Refused { .. }
            | OrderReply::NotSent
            | OrderReply::Foreign
            | OrderReply::Timeout => {}
        }
    }

    /// Notes that an endpoint lives whose connection broke: it was cut.
    pub(super) fn lives(&mut self, endpoint: &EndpointName) {
        self.broken.retain(|broken| broken.endpoint != *endpoint);
    }

    /// Takes as crashes what has not shown otherwise, and forgets what no longer counts.
    pub(super) fn tick(&mut self, now: Mono) {
        let is_due = |broken: &mut Broken| now.since(broken.at) >= MAY_LIVE_MS;
        while let Some(Broken { at, endpoint, work }) = self.broken.pop_front_if(is_due) {
            let endpoint = self.crashed_start(at, &endpoint);
            self.tell(now, Sign::Crash { work, endpoint });
        }
        self.verdicts.extend(self.ledger.expire(now));
    }

    /// Name of the start of an endpoint that crashed: the same for all that broke with it.
    fn crashed_start(&mut self, at: Mono, endpoint: &EndpointName) -> EndpointTag {
        let ends = self.ends.entry(endpoint.clone()).or_default();
        if ends.count == 0 || at.since(ends.at) > ONE_CRASH_MS {
            ends.count += 1;
            ends.at = at;
        }
        EndpointTag::of_text(&format!("{endpoint}/{}/{}", self.session, ends.count))
    }

    fn tell(&mut self, now: Mono, sign: Sign) {
        self.verdicts.extend(self.ledger.apply(now, sign));
        self.outbox.push(sign);
    }

    /// Whether there are signs that no heartbeat has told yet.
    pub(super) fn has_news(&self) -> bool {
        self.outbox.has_unsent()
    }

    /// Signs for the next heartbeat, and the number of the first.
    pub(super) fn take_signs(&mut self) -> (u64, Vec<Sign>) {
        self.outbox.take()
    }

    /// Takes what another instance tells.
    pub(super) fn heard(&mut self, now: Mono, from: &Session, beat: &Heartbeat) {
        let fresh = self
            .taken
            .new_signs_from(from, beat.first_sign, &beat.signs);
        for sign in fresh {
            self.verdicts.extend(self.ledger.apply(now, *sign));
        }
    }

    /// Tells all crashes that still count once more, for an instance that has just come.
    pub(super) fn tell_all_again(&mut self) {
        for sign in self.ledger.signs() {
            self.outbox.push(sign);
        }
    }
}

impl Node {
    /// What changed for callers since this was asked last, for the logs.
    pub fn take_verdicts(&mut self) -> Vec<Verdict> {
        std::mem::take(&mut self.crashes.verdicts)
    }

    /// Why a request must not go to an endpoint, if it crashes them.
    pub(super) fn harmful(&self, now: Now, req: &Request) -> Option<Outcome> {
        self.crashes.refusal(now.mono, req).map(Outcome::NotRun)
    }

    /// Begins a try by a dispatcher of this instance; its work if it is under suspicion.
    ///
    /// # Errors
    ///
    /// The outcome of the request if it must not be tried now.
    pub(super) fn begin_try(
        &mut self,
        now: Now,
        req: &Request,
        number: u64,
    ) -> Result<Option<Fingerprint>, Outcome> {
        if let Some(harmful) = self.harmful(now, req) {
            return Err(harmful);
        }
        self.crashes.begin(req, number).map_err(Outcome::NotRun)
    }
}
