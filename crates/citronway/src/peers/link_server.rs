//! What a greeted session may call.

use std::cell::Cell;
use std::rc::Rc;

use citronway_core::ids::Session;
use citronway_core::node::Event;
use citronway_core::outcome::{MayHaveRun, MayHaveRunReason, NotRun, NotRunReason, Outcome};
use citronway_wire::WireError;
use citronway_wire::convert::{ForwardParams, read_forward, read_messages, write_outcome};
use citronway_wire::peer_capnp::link;
use citronway_wire::size;

use super::context::Context;
use super::forward::RETRY_AFTER_MS;
use super::listen::Activity;

/// Serves one greeted session.
#[derive(Debug)]
pub(super) struct LinkServer {
    cx: Rc<Context>,
    activity: Rc<Activity>,
    session: Session,
    in_flight: Cell<usize>,
}

/// Counts a received forward for as long as it is under way.
struct InFlight<'a>(&'a Cell<usize>);

impl<'a> InFlight<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl LinkServer {
    pub(super) fn new(cx: &Rc<Context>, activity: &Rc<Activity>, session: &Session) -> Self {
        Self {
            cx: Rc::clone(cx),
            activity: Rc::clone(activity),
            session: session.clone(),
            in_flight: Cell::new(0),
        }
    }

    /// Asks the decisions for the outcome of a forwarded request.
    ///
    /// Without room it is refused at once, before the decisions have seen it, so
    /// `not run` is the truth.
    async fn outcome(&self, forward: ForwardParams) -> capnp::Result<Outcome> {
        let cx = &self.cx;
        let is_full = self.in_flight.get() >= cx.cfg.max_in_flight || !cx.events.has_room();
        if is_full || cx.stopping.is_cancelled() {
            cx.counters.forwards_refused.add(1);
            let reason = NotRunReason::Overloaded;
            return Ok(Outcome::NotRun(NotRun::new(reason, RETRY_AFTER_MS)));
        }
        cx.counters.forwards_received.add(1);
        let _in_flight = InFlight::new(&self.in_flight);
        let mut slot = cx.replies.open();
        cx.events.push(Event::Forwarded {
            ticket: slot.ticket,
            endpoint: forward.endpoint,
            dispatch_epoch: forward.dispatch_epoch,
            request: forward.request,
        });
        let Some(outcome) = slot.outcome().await else {
            return Err(capnp::Error::disconnected("stopping".to_owned()));
        };
        Ok(self.bounded(outcome))
    }

    /// An answer too large for a message is known here and lost on the way:
    /// sending it would end the link with all that is in flight on it.
    fn bounded(&self, outcome: Outcome) -> Outcome {
        if size::of_outcome(&outcome) <= self.cx.cfg.max_message_bytes {
            return outcome;
        }
        log::error!(session:% = self.session; "answer too large for a message between instances");
        Outcome::MayHaveRun(MayHaveRun {
            reason: MayHaveRunReason::AnswerGone,
            retry_after_ms: RETRY_AFTER_MS,
        })
    }

    fn malformed(&self, err: WireError) -> capnp::Error {
        let session = &self.session;
        log::error!(session:%, err:%; "malformed message");
        self.cx.counters.malformed.add(1);
        err.into()
    }
}

impl link::Server for LinkServer {
    async fn forward(
        self: Rc<Self>,
        params: link::ForwardParams,
        mut results: link::ForwardResults,
    ) -> capnp::Result<()> {
        self.activity.heard();
        let forward = read_forward(params.get()?).map_err(|err| self.malformed(err))?;
        // The message with the body is not needed while the work is under way.
        drop(params);
        let outcome = self.outcome(forward).await?;
        write_outcome(&outcome, results.get().init_outcome());
        Ok(())
    }

    async fn control(
        self: Rc<Self>,
        params: link::ControlParams,
        _results: link::ControlResults,
    ) -> capnp::Result<()> {
        self.activity.heard();
        let r = params.get()?;
        let bytes = r.total_size()?.word_count * 8;
        let messages = read_messages(r).map_err(|err| self.malformed(err))?;
        let counters = &self.cx.counters;
        counters.control_messages_received.add(messages.len());
        counters
            .control_bytes_received
            .add(usize::try_from(bytes).unwrap_or(usize::MAX));
        for message in messages {
            let from = self.session.clone();
            self.cx.events.push_control(Event::Peer { from, message });
        }
        Ok(())
    }
}
