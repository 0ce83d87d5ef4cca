//! Until when endpoints may hold what was granted to them.

use indexmap::IndexMap;

use crate::gateway::leader::orders::Span;
use crate::ids::EndpointStart;
use crate::time::Mono;

/// Every grant that was sent and may still hold.
#[derive(Debug, Default)]
pub(super) struct Holds {
    sent: IndexMap<(u64, Span), Vec<Sent>>,
}

#[derive(Debug)]
struct Sent {
    endpoint: EndpointStart,
    /// Latest end, counted from the latest arrival.
    end: Mono,
    /// When the last grant was sent.
    at: Mono,
    /// Latest arrival of that call.
    arrival: Mono,
    /// A call is under way.
    pending: bool,
    /// The last call was answered with success.
    answered: bool,
    /// Until then a call may arrive that was not answered.
    may_arrive_until: Mono,
}

/// When a call can have an effect at the latest.
#[derive(Debug, Clone, Copy)]
pub(super) struct CallTimes {
    /// Latest arrival.
    pub arrival: Mono,
    /// Latest end of the hold that it gives.
    pub end: Mono,
}

/// What is known of one grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Given {
    pub at: Mono,
    pub pending: bool,
    pub answered: bool,
}

impl Holds {
    pub(super) fn prune(&mut self, now: Mono) {
        self.sent.retain(|_, all| {
            all.retain(|sent| sent.end > now || sent.pending);
            !all.is_empty()
        });
    }

    pub(super) fn sent(
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
            sent.at = now;
            sent.pending = true;
            sent.arrival = arrival;
            return;
        }
        self.sent.entry((fence, span)).or_default().push(Sent {
            endpoint: endpoint.clone(),
            end,
            at: now,
            pending: true,
            answered: false,
            arrival,
            may_arrive_until: Mono::default(),
        });
    }

    pub(super) fn answered(&mut self, endpoint: &EndpointStart, span: Span, fence: u64, ok: bool) {
        if let Some(sent) = self.find(endpoint, span, fence) {
            sent.pending = false;
            sent.answered = ok;
        }
    }

    /// A call that was given up may still arrive.
    pub(super) fn lost(&mut self, endpoint: &EndpointStart, span: Span, fence: u64) {
        if let Some(sent) = self.find(endpoint, span, fence) {
            sent.pending = false;
            sent.answered = false;
            sent.may_arrive_until = sent.may_arrive_until.max(sent.arrival);
        }
    }

    /// A grant whose call never left holds nothing that it did not hold before.
    pub(super) fn not_sent(&mut self, endpoint: &EndpointStart, span: Span, fence: u64, end: Mono) {
        if let Some(sent) = self.find(endpoint, span, fence) {
            sent.pending = false;
            sent.answered = false;
            sent.end = sent.end.min(end);
        }
    }

    pub(super) fn get(&self, endpoint: &EndpointStart, span: Span, fence: u64) -> Option<Given> {
        let all = self.sent.get(&(fence, span))?;
        let sent = all.iter().find(|sent| sent.endpoint == *endpoint)?;
        Some(Given {
            at: sent.at,
            pending: sent.pending,
            answered: sent.answered,
        })
    }

    /// Latest end of any grant at the endpoint that touches the span.
    pub(super) fn latest_end(&self, endpoint: &EndpointStart, span: Span) -> Mono {
        let touching = self.sent.iter().filter(|((_, at), _)| at.overlaps(span));
        touching
            .flat_map(|(_, all)| all)
            .filter(|sent| sent.endpoint == *endpoint)
            .map(|sent| sent.end)
            .max()
            .unwrap_or_default()
    }

    /// Whether a grant at the endpoint that touches the span may still arrive.
    pub(super) fn may_arrive(&self, now: Mono, endpoint: &EndpointStart, span: Span) -> bool {
        let touching = self.sent.iter().filter(|((_, at), _)| at.overlaps(span));
        touching
            .flat_map(|(_, all)| all)
            .filter(|sent| sent.endpoint == *endpoint)
            .any(|sent| sent.pending || now < sent.may_arrive_until)
    }

    fn find(&mut self, endpoint: &EndpointStart, span: Span, fence: u64) -> Option<&mut Sent> {
        let all = self.sent.get_mut(&(fence, span))?;
        all.iter_mut().find(|sent| sent.endpoint == *endpoint)
    }
}
