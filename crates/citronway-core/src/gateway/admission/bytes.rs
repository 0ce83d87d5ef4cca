//! Room for the bytes of a request at an endpoint whose service has a bound.

use indexmap::IndexMap;

use super::{Admission, Job, View};
use crate::gateway::pace::EndpointTag;

/// Part of the bound above which a request's body is long.
const LONG_PART: u64 = 4;

impl Admission {
    /// Records that the bytes of a request are no longer at its endpoint.
    pub fn release_bytes(&mut self, ticket: u64) {
        self.bytes.end(ticket);
    }

    /// Most kilobytes of requests at each endpoint since the last call.
    pub fn take_byte_peaks(&mut self) -> IndexMap<EndpointTag, u32> {
        self.bytes.take_peaks()
    }

    /// Whether the bytes of the request have room at the endpoint. One that has no bytes of other
    /// requests takes any request.
    pub(super) fn has_byte_room(&self, view: &View, job: &Job, tag: EndpointTag) -> bool {
        let Some(bound) = bound(view, job) else {
            return true;
        };
        let reported = view.reported_loads.get(&tag);
        let others = reported.map_or(0, |reported| u64::from(reported.kb) * 1_024);
        let present = others + self.bytes.at(tag);
        job.body_bytes == 0 || present == 0 || present + job.body_bytes <= bound
    }

    /// Whether the request may wait for room for its bytes. Others in its queue do not wait for
    /// it.
    pub(super) fn is_long(view: &View, job: &Job) -> bool {
        bound(view, job).is_some_and(|bound| job.body_bytes > bound / LONG_PART)
    }
}

/// Bound on the bytes at each endpoint that may serve the request.
fn bound(view: &View, job: &Job) -> Option<u64> {
    let kb = view.byte_bounds.get(&job.service)?;
    Some(u64::from(*kb) * 1_024)
}
