//! What a delegate gathers from its members between two reports of its own.

use indexmap::IndexMap;

use crate::gateway::pace::EndpointTag;
use crate::gateway::report::{EndpointUse, KeySamples, Observations};
use crate::ids::ServiceName;

/// Answers of endpoints and keys asked for, of several reports.
#[derive(Debug, Default)]
pub struct GatheredReports {
    endpoints: IndexMap<EndpointTag, EndpointUse>,
    keys: IndexMap<ServiceName, Vec<u16>>,
}

impl GatheredReports {
    /// Takes a report; of what it has in flight only the newest counts, see
    /// [`GatheredReports::take_with`].
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

    /// All of it, with what this instance saw and what all have in flight at present;
    /// nothing is left.
    pub fn take_with(
        &mut self,
        own: &Observations,
        in_flight: impl Iterator<Item = (EndpointTag, u32, u32)>,
    ) -> Observations {
        self.add(&own.endpoints, &own.keys);
        for used in &own.endpoints {
            let sum = self.entry(used.tag);
            sum.in_flight += used.in_flight;
            sum.waiting += used.waiting;
        }
        for (tag, in_flight, waiting) in in_flight {
            let sum = self.entry(tag);
            sum.in_flight += in_flight;
            sum.waiting += waiting;
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
