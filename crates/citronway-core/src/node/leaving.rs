//! Giving roles up: one that has ended, and all of them when the process stops.

use crate::dispatch::DispatchEvent;
use crate::hold::{HandOverReason, HoldEvent};
use crate::ids::EndpointName;
use crate::outcome::NotRunReason;
use crate::time::Now;

use super::Node;
use super::events::Action;

impl Node {
    /// The role has ended; what is in flight is waited for, nothing is sent.
    pub(super) fn retire(
        &mut self,
        name: &EndpointName,
        reason: NotRunReason,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        self.tell_dispatcher(name, DispatchEvent::Retire { reason }, now, out);
        let Some(seat) = self.seats.by_endpoint.get_mut(name) else {
            return;
        };
        if let Some(active) = seat.active.take() {
            seat.retired.push(active);
        }
    }

    /// Gives every role away: dispatchers finish what is in flight first, so
    /// that the successor learns the end of each request and needs no floor.
    pub(super) fn leave_seats(&mut self, now: Now, out: &mut Vec<Action>) {
        for name in self.seats.endpoints() {
            self.retire(&name, NotRunReason::NotDispatcher, now, out);
            let Some(seat) = self.seats.by_endpoint.get_mut(&name) else {
                continue;
            };
            let waits = seat
                .retired
                .iter()
                .any(|retired| !retired.dispatcher.is_idle());
            if seat.handed_over || waits {
                continue;
            }
            seat.handed_over = true;
            let unstarted = seat.waiting_role.take();
            let mut known = unstarted.map(|role| role.known).unwrap_or_default();
            for retired in &seat.retired {
                let more = retired.dispatcher.export();
                known.floor = known.floor.max(more.floor);
                known.requests.extend(more.requests);
            }
            let reason = HandOverReason::Leaving;
            self.tell_hold(&name, &HoldEvent::HandOver { reason, known }, now, out);
        }
    }
}
