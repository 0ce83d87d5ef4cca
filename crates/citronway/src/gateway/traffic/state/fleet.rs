//! Admission by the demand of all instances: the report of the own demand, metrics and log lines.

use citronway_core::gateway::admission::{Admission, Job, View};
use citronway_core::gateway::fleet_admission::{QueueDemand, class_index};

use super::State;
use crate::clock;

impl State {
    /// Demand at this instance for the next report; `None` if it reports none.
    pub(super) fn take_demand(&self) -> Option<Vec<QueueDemand>> {
        let now = clock::mono();
        let view = self.view.borrow();
        let mut admission = self.admission.borrow_mut();
        let demand = admission.take_demand(now, &view)?;
        let counts = admission.take_fleet_counts();
        let in_use = admission.fleet_demand(now, &view).is_some();
        self.metrics.fleet.record(in_use, counts);
        if self.decides_by_fleet.replace(in_use) != in_use {
            let heard_ms_ago = view.fleet.as_ref().map(|fleet| now.since(fleet.at));
            let instances = view.instances;
            if in_use {
                log::info!(instances, heard_ms_ago; "admission by the demand of all instances");
            } else {
                log::info!(instances, heard_ms_ago; "admission by own demand only");
            }
        }
        Some(demand)
    }

    /// What a decision about a request knew of the demand of all instances, for a log line; `own`
    /// if it was not used.
    pub(in crate::gateway::traffic) fn demand_of(&self, view: &View, job: &Job) -> String {
        let admission: &Admission = &self.admission.borrow();
        let now = clock::mono();
        let shares = admission.shares(now, view, job);
        shares.map_or_else(
            || "own".to_owned(),
            |shares| {
                let class = class_index(job.priority, job.is_late(now));
                let (urgent, equal, mine) = (
                    shares.urgent(class),
                    shares.equal(class),
                    shares.mine(class),
                );
                format!("urgent {urgent}, equal {equal}, of these here {mine}")
            },
        )
    }
}
