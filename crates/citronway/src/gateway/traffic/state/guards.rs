//! What is counted or held until a guard is dropped.

use std::rc::Rc;

use citronway_core::gateway::admission::Decision;
use citronway_core::ids::EndpointStart;
use tokio::sync::oneshot;

use super::State;

/// A connection of a caller, counted while it is open.
#[derive(Debug)]
pub(in crate::gateway::traffic) struct OpenConnection(pub(super) Rc<State>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Takes a waiting request out when its caller leaves.
pub(super) struct Waiting<'a> {
    pub state: &'a State,
    pub ticket: u64,
    pub decided: oneshot::Receiver<Decision>,
}

impl Drop for Waiting<'_> {
    /// Failure guarded against: a caller leaves when its request has been given a place and
    /// does not know it yet. Nobody gives the place back, and after a few of these the
    /// endpoint counts as full for as long as the process runs.
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
        // A decision that was read is no longer in the channel.
        if let Ok(Decision::Send(choice)) = self.decided.try_recv() {
            state
                .admission
                .borrow_mut()
                .record_finished(&choice.endpoint);
            state.pump();
        }
    }
}

/// A request at an endpoint; gives its place back when it ends in any way.
#[derive(Debug)]
pub(in crate::gateway::traffic) struct InFlight {
    pub(super) state: Rc<State>,
    pub(super) endpoint: EndpointStart,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.state
            .admission
            .borrow_mut()
            .record_finished(&self.endpoint);
        self.state.pump();
    }
}
