//! Aggregation of the members' reports by a delegate between two reports of its own.

use indexmap::IndexMap;

use crate::gateway::pace::EndpointTag;
use crate::gateway::report::{EndpointTotal, EndpointUse, KeySamples, Observations};
use crate::ids::ServiceName;

/// Sum of the endpoints' answers and the sampled keys of several reports.
#[derive(Debug, Default)]
pub struct GatheredReports {
    endpoints: IndexMap<EndpointTag, EndpointUse>,
    keys: IndexMap<ServiceName, Vec<u16>>,
}

impl GatheredReports {
    /// Adds the answers and keys of a report. Its requests in flight are not added, as only the
    /// newest numbers count; see [`GatheredReports::take_with`].
    pub fn add(&mut self, endpoints: &[EndpointUse], keys: &[KeySamples]) {
        for used in endpoints {
            let sum = self.entry(used.tag);
            sum.answers.add(&used.answers);
        }
        for samples in keys {
            let all = self.keys.entry(samples.service.clone()).or_default();
            all.extend_from_slice(&samples.keys);
        }
    }

    /// Takes everything gathered so far and adds the observations of this instance (`own`) and the
    /// present numbers of the members (`present`).
    pub fn take_with(
        &mut self,
        own: &Observations,
        present: impl Iterator<Item = EndpointTotal>,
    ) -> Observations {
        self.add(&own.endpoints, &own.keys);
        for used in &own.endpoints {
            let sum = self.entry(used.tag);
            sum.in_flight += used.in_flight;
            sum.waiting += used.waiting;
            sum.kb = sum.kb.saturating_add(used.kb);
        }
        for used in present {
            let sum = self.entry(used.tag);
            sum.in_flight += used.in_flight;
            sum.waiting += used.waiting;
            sum.kb = sum.kb.saturating_add(used.kb);
        }
        let Self { endpoints, keys } = std::mem::take(self);
        let samples = keys.into_iter();
        Observations {
            endpoints: endpoints.into_values().collect(),
            keys: samples
                .map(|(service, keys)| KeySamples { service, keys })
                .collect(),
        }
    }

    fn entry(&mut self, tag: EndpointTag) -> &mut EndpointUse {
        self.endpoints.entry(tag).or_insert(EndpointUse {
            tag,
            ..EndpointUse::default()
        })
    }
}
