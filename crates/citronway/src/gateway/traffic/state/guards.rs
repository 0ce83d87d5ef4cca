//! What is counted or held until a guard is dropped.

use std::rc::Rc;

use citronway_core::ids::EndpointStart;

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
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self
            .state
            .waiting
            .borrow_mut()
            .swap_remove(&self.ticket)
            .is_some()
        {
            self.state.admission.borrow_mut().forget(self.ticket);
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
        self.state.admission.borrow_mut().finished(&self.endpoint);
        self.state.pump();
    }
}
