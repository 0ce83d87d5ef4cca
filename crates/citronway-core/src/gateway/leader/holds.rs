//! Record of sent grants, with the latest time until which each may be held.

use indexmap::IndexMap;

use crate::gateway::leader::orders::Span;
use crate::ids::EndpointStart;
use crate::time::Mono;

/// Grants that were sent and may still be held, by fence and keys.
#[derive(Debug, Default)]
pub(super) struct Holds {
    sent: IndexMap<(u64, Span), Vec<SentGrant>>,
}

/// A grant that was sent to an endpoint.
#[derive(Debug)]
struct SentGrant {
    endpoint: EndpointStart,
    /// Latest end of the hold, counted from the latest arrival.
    end: Mono,
    /// When the last call was sent.
    sent_at: Mono,
    /// Latest arrival of the last call.
    arrival: Mono,
    /// Whether a call awaits its answer.
    pending: bool,
    /// Whether the last call succeeded.
    succeeded: bool,
    /// Time until which an unanswered call may still arrive.
    may_arrive_until: Mono,
}

/// Latest times at which a call can have an effect.
#[derive(Debug, Clone, Copy)]
pub(super) struct CallTimes {
    /// Latest arrival of the call.
    pub arrival: Mono,
    /// Latest end of the hold that the call grants.
    pub end: Mono,
}

/// Status of a sent grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct GrantStatus {
    /// When the last call was sent.
    pub sent_at: Mono,
    /// Whether a call awaits its answer.
    pub pending: bool,
    /// Whether the last call succeeded.
    pub succeeded: bool,
}

impl Holds {
    /// Removes grants whose hold has ended and that await no answer.
    pub(super) fn prune(&mut self, now: Mono) {
        self.sent.retain(|_, all| {
            all.retain(|sent| sent.end > now || sent.pending);
            !all.is_empty()
        });
    }

    /// Records that a grant is sent.
    pub(super) fn record_sent(
        &mut self,
        now: Mono,
        endpoint: &EndpointStart,
        span: Span,
        fence: u64,
        times: CallTimes,
    ) {
        let CallTimes { arrival, end } = times;
        if let Some(sent) = self.find(endpoint, span, fence) {
            sent.end = sent.end.max(end);
            sent.sent_at = now;
            sent.pending = true;
            sent.arrival = arrival;
            return;
        }
        self.sent.entry((fence, span)).or_default().push(SentGrant {
            endpoint: endpoint.clone(),
            end,
            sent_at: now,
            pending: true,
            succeeded: false,
            arrival,
            may_arrive_until: Mono::default(),
        });
    }

    /// Records the answer to a call.
    pub(super) fn record_answer(
        &mut self,
        endpoint: &EndpointStart,
        span: Span,
        fence: u64,
        ok: bool,
    ) {
        if let Some(sent) = self.find(endpoint, span, fence) {
            sent.pending = false;
            sent.succeeded = ok;
        }
    }

    /// Records that a call got no answer. It may still arrive.
    pub(super) fn record_lost(&mut self, endpoint: &EndpointStart, span: Span, fence: u64) {
        if let Some(sent) = self.find(endpoint, span, fence) {
            sent.pending = false;
            sent.succeeded = false;
            sent.may_arrive_until = sent.may_arrive_until.max(sent.arrival);
        }
    }

    /// Records that a call was not sent. Only earlier calls of the grant remain, whose hold
    /// lasts no longer than `end`.
    pub(super) fn record_unsent(
        &mut self,
        endpoint: &EndpointStart,
        span: Span,
        fence: u64,
        end: Mono,
    ) {
        if let Some(sent) = self.find(endpoint, span, fence) {
            sent.pending = false;
            sent.succeeded = false;
            sent.end = sent.end.min(end);
        }
    }

    /// Status of a grant, or `None` if it was not sent.
    pub(super) fn get(
        &self,
        endpoint: &EndpointStart,
        span: Span,
        fence: u64,
    ) -> Option<GrantStatus> {
        let all = self.sent.get(&(fence, span))?;
        let sent = all.iter().find(|sent| sent.endpoint == *endpoint)?;
        Some(GrantStatus {
            sent_at: sent.sent_at,
            pending: sent.pending,
            succeeded: sent.succeeded,
        })
    }

    /// Whether grants that were sent to the endpoint cover the whole span.
    pub(super) fn cover(&self, endpoint: &EndpointStart, span: Span) -> bool {
        let mut spans: Vec<_> = self
            .sent
            .iter()
            .filter(|((_, at), _)| at.overlaps(span))
            .filter(|(_, all)| all.iter().any(|sent| sent.endpoint == *endpoint))
            .map(|((_, at), _)| *at)
            .collect();
        spans.sort_unstable_by_key(|at| at.first);
        let mut next = u32::from(span.first);
        for at in spans {
            if u32::from(at.first) > next {
                break;
            }
            next = next.max(u32::from(at.last) + 1);
        }
        next > u32::from(span.last)
    }

    /// Latest end of any hold at the endpoint that overlaps the span; zero if there is none.
    pub(super) fn latest_end(&self, endpoint: &EndpointStart, span: Span) -> Mono {
        let overlapping = self.sent.iter().filter(|((_, at), _)| at.overlaps(span));
        overlapping
            .flat_map(|(_, all)| all)
            .filter(|sent| sent.endpoint == *endpoint)
            .map(|sent| sent.end)
            .max()
            .unwrap_or_default()
    }

    /// Whether a grant at the endpoint that overlaps the span may still arrive.
    pub(super) fn may_arrive(&self, now: Mono, endpoint: &EndpointStart, span: Span) -> bool {
        let overlapping = self.sent.iter().filter(|((_, at), _)| at.overlaps(span));
        overlapping
            .flat_map(|(_, all)| all)
            .filter(|sent| sent.endpoint == *endpoint)
            .any(|sent| sent.pending || now < sent.may_arrive_until)
    }

    fn find(&mut self, endpoint: &EndpointStart, span: Span, fence: u64) -> Option<&mut SentGrant> {
        let all = self.sent.get_mut(&(fence, span))?;
        all.iter_mut().find(|sent| sent.endpoint == *endpoint)
    }
}
