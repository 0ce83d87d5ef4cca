//! Guards that release a count or a place when they are dropped.

use std::rc::Rc;

use citronway_core::gateway::admission::Decision;
use citronway_core::ids::EndpointStart;
use tokio::sync::oneshot;

use super::State;

/// Guard that counts an open connection of a caller.
#[derive(Debug)]
pub(in crate::gateway::traffic) struct OpenConnection(pub(super) Rc<State>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Guard that removes a waiting request when its caller leaves.
pub(super) struct Waiting<'a> {
    pub state: &'a State,
    pub ticket: u64,
    pub decided: oneshot::Receiver<Decision>,
}

impl Drop for Waiting<'_> {
    /// Failure guarded against: a caller leaves after its request has been given a place and
    /// before it has read that decision. The place is never released, and after a few of these
    /// the endpoint counts as full until the process ends.
    fn drop(&mut self) {
        let state = self.state;
        if state
            .waiting
            .borrow_mut()
            .swap_remove(&self.ticket)
            .is_some()
        {
            state.admission.borrow_mut().remove(self.ticket);
            return;
        }
        // A decision that has been read is no longer in the channel.
        if let Ok(Decision::Send(choice)) = self.decided.try_recv() {
            let mut admission = state.admission.borrow_mut();
            admission.record_finished(&choice.endpoint);
            admission.withdraw_ask(self.ticket);
            admission.release_bytes(self.ticket);
            drop(admission);
            state.decide_waiting();
        }
    }
}

/// Guard of a request at an endpoint; releases its place however the request ends.
#[derive(Debug)]
pub(in crate::gateway::traffic) struct InFlight {
    pub(super) state: Rc<State>,
    pub(super) endpoint: EndpointStart,
    pub(super) ticket: u64,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut admission = self.state.admission.borrow_mut();
        admission.record_finished(&self.endpoint);
        admission.withdraw_ask(self.ticket);
        admission.release_bytes(self.ticket);
        drop(admission);
        self.state.decide_waiting();
    }
}
