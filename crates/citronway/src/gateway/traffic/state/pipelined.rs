//! Requests that are begun before earlier ones of their connections are answered.

use std::rc::Rc;

use citronway_core::gateway::memory::Pressure;
use citronway_core::gateway::pipeline::{InstanceRoom, PipelineLimits};
use citronway_core::gateway::routes::Route;

use super::State;

/// Guard that counts a request that is begun before an earlier one is answered.
#[derive(Debug)]
pub(in crate::gateway::traffic) struct Pipelined(Rc<State>);

impl Drop for Pipelined {
    fn drop(&mut self) {
        self.0.set_pipelined(self.0.pipelined.get() - 1);
    }
}

impl State {
    /// Whether one more request may be begun before an earlier one is answered.
    pub(in crate::gateway::traffic) fn may_read_ahead(&self) -> bool {
        self.pipelined.get() < self.traffic.pipelined_total
            && self.memory_pressure() < Pressure::NoReadAhead
    }

    /// What the instance as a whole allows the next request of a connection.
    pub(in crate::gateway::traffic) fn pipeline_room(&self) -> InstanceRoom {
        InstanceRoom {
            has_room: self.may_read_ahead(),
            is_stopping: self.is_stopping(),
        }
    }

    /// Bounds of each connection.
    pub(in crate::gateway::traffic) const fn pipeline_limits(&self) -> PipelineLimits {
        PipelineLimits {
            requests: self.traffic.pipeline_requests,
            answer_bytes: self.traffic.pipeline_answer_bytes,
        }
    }

    /// Mean size of the answers of a route, in bytes; 0 before the first one.
    pub(in crate::gateway::traffic) fn mean_answer_bytes(&self, route: &Route) -> u64 {
        let stats = self.route_stats.borrow();
        let mean = stats.get(&route.name).and_then(|stats| stats.mean_bytes);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "sizes are positive and far below the range"
        )]
        let whole = mean.unwrap_or_default() as u64;
        whole
    }

    /// Counts a request that is begun before an earlier one is answered, until its turn comes.
    pub(in crate::gateway::traffic) fn track_pipelined(self: &Rc<Self>) -> Pipelined {
        self.set_pipelined(self.pipelined.get() + 1);
        self.metrics.pipeline.count_begun();
        Pipelined(Rc::clone(self))
    }

    fn set_pipelined(&self, count: u32) {
        self.pipelined.set(count);
        self.metrics.pipeline.set_ahead(count);
    }
}
