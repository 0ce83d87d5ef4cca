//! The dispatcher role: requests promises, maintains the list of successors and
//! hands over the role.

use indexmap::{IndexMap, IndexSet};

use super::dispatcher_state::{Nominee, Offer};
use super::events::HandOverReason;
use super::message::send_action;
use super::{Hold, HoldAction};
use crate::ids::{Epoch, Session};
use crate::peer::{HoldMessage, KnownRequests};
use crate::shard::DispatchRow;
use crate::time::Now;

/// Number of successors that a dispatcher keeps listed.
const SUCCESSOR_COUNT: usize = 2;

/// Factor by which promise requests are more frequent while the dispatcher may not
/// act.
const FAST_ASK_FACTOR: u64 = 4;

/// What the list of successors needs.
#[derive(Debug, Clone, PartialEq, Eq)]
enum ListNeed {
    /// Nothing: it has enough successors, and all of them are responsive.
    Complete,
    /// Another successor.
    Add,
    /// Another successor in place of this one, which is lost.
    Replace(Session),
}

impl Hold {
    pub(super) fn dispatcher_tick(
        &mut self,
        candidates: &[Session],
        now: Now,
        out: &mut Vec<HoldAction>,
    ) {
        if self.has_left
            || self
                .dispatcher_state
                .as_ref()
                .is_some_and(|it| it.offer.is_some())
        {
            self.offer_tick(now, out);
            return;
        }
        self.read_for_proof(now, out);
        self.request_promises_if_due(now, out);
        self.maintain_successors(candidates, now, out);
    }

    /// Reads the row if a gone successor still needs a proof that it never acted.
    pub(super) fn read_for_proof(&mut self, now: Now, out: &mut Vec<HoldAction>) {
        let Some(state) = &self.dispatcher_state else {
            return;
        };
        if self
            .possible_lists()
            .iter()
            .any(|list| state.needs_proof(list))
        {
            self.read_row(now, out);
        }
    }

    fn request_promises_if_due(&mut self, now: Now, out: &mut Vec<HoldAction>) {
        let mut interval_ms = self.cfg.ask_interval_ms;
        if self.may_act(now).is_none() {
            interval_ms /= FAST_ASK_FACTOR;
        }
        let due = self
            .dispatcher_state
            .as_ref()
            .is_some_and(|it| it.is_round_due(now.mono, interval_ms));
        if due {
            self.request_promises(now, out);
        }
    }

    /// Requests a promise from every session in the lists that may be in force, and
    /// from the nominee.
    fn request_promises(&mut self, now: Now, out: &mut Vec<HoldAction>) {
        let lists = self.possible_lists();
        let row_version = self.known_version();
        let duration_ms = self.cfg.promise_ms;
        let Some(state) = &mut self.dispatcher_state else {
            return;
        };
        let round = state.begin_round(now.mono, duration_ms);
        let mut asked: IndexSet<Session> = lists.into_iter().flatten().collect();
        asked.extend(state.nominee.iter().map(|it| it.session.clone()));
        state.retain_asked(&asked);
        for session in &asked {
            if state.is_absent(session) {
                continue;
            }
            state.mark_asked(session, now.mono);
            let ask = HoldMessage::Ask {
                epoch: state.epoch,
                row_version,
                round,
                duration_ms,
            };
            out.push(send_action(session, ask));
        }
    }

    /// Keeps the list of successors complete, one change at a time.
    ///
    /// Only a dispatcher that has every promise changes the list. That write also
    /// empties `former`, since no former dispatcher can act at the same time.
    fn maintain_successors(&mut self, candidates: &[Session], now: Now, out: &mut Vec<HoldAction>) {
        if self.pending.is_some() || self.may_act(now).is_none() {
            return;
        }
        let need = self.list_need(now);
        if need == ListNeed::Complete {
            self.drop_nominee();
            return;
        }
        self.nominate(candidates, now, out);
        let Some(nominee) = self.nominee_with_promise(now) else {
            self.remove_lost_successor(&need, now, out);
            return;
        };
        self.change_list(&need, Some(nominee), now, out);
    }

    /// Whether the row lists enough successors and all of them are responsive.
    pub(super) fn is_list_complete(&self, now: Now) -> bool {
        self.list_need(now) == ListNeed::Complete
    }

    fn list_need(&self, now: Now) -> ListNeed {
        let (Some(known), Some(state)) = (&self.known, &self.dispatcher_state) else {
            return ListNeed::Complete;
        };
        let list = &known.row.successors;
        for session in list {
            let silent = state.silent_ms(session, now.mono) >= self.cfg.suspicion_ms;
            if silent || state.is_absent(session) {
                return ListNeed::Replace(session.clone());
            }
        }
        if list.len() < SUCCESSOR_COUNT {
            return ListNeed::Add;
        }
        ListNeed::Complete
    }

    fn drop_nominee(&mut self) {
        if let Some(state) = &mut self.dispatcher_state {
            state.nominee = None;
            state.unresponsive.clear();
        }
    }

    /// Picks the best responsive candidate and requests its promise before it is
    /// listed, so that the dispatcher has all promises also right after the change.
    fn nominate(&mut self, candidates: &[Session], now: Now, out: &mut Vec<HoldAction>) {
        let (Some(known), Some(state)) = (&self.known, &mut self.dispatcher_state) else {
            return;
        };
        if let Some(nominee) = &state.nominee {
            let silent = now.mono.since(nominee.asked_since) >= self.cfg.ask_interval_ms
                && !state.has_promise(&nominee.session, now.mono);
            if !silent && !state.is_absent(&nominee.session) {
                return;
            }
            state.unresponsive.insert(nominee.session.clone());
            state.nominee = None;
        }
        for session in candidates {
            let listed = known.row.successors.contains(session) || *session == self.me;
            let unfit = state.is_absent(session) || state.barred.contains(session);
            if listed || unfit || state.unresponsive.contains(session) {
                continue;
            }
            state.nominee = Some(Nominee {
                session: session.clone(),
                asked_since: now.mono,
            });
            self.request_promises(now, out);
            return;
        }
        state.unresponsive.clear();
    }

    fn nominee_with_promise(&self, now: Now) -> Option<Session> {
        let state = self.dispatcher_state.as_ref()?;
        let nominee = state.nominee.as_ref()?;
        state
            .has_promise(&nominee.session, now.mono)
            .then(|| nominee.session.clone())
    }

    /// Removes a lost successor without a replacement, before its promise expires.
    ///
    /// A dispatcher that hears from no successor is more likely cut off itself. It
    /// lets its promises expire, so that a successor can take over.
    fn remove_lost_successor(&mut self, need: &ListNeed, now: Now, out: &mut Vec<HoldAction>) {
        let (ListNeed::Replace(lost), Some(known), Some(state)) =
            (need, &self.known, &self.dispatcher_state)
        else {
            return;
        };
        let removal_timeout_ms = self.cfg.suspicion_ms + self.cfg.ask_interval_ms;
        let absent = state.is_absent(lost);
        let others = known.row.successors.iter().filter(|it| *it != lost);
        let hears_others = others
            .clone()
            .any(|it| state.silent_ms(it, now.mono) < self.cfg.suspicion_ms);
        let timed_out = state.silent_ms(lost, now.mono) >= removal_timeout_ms;
        let nominated = state.nominee.is_some();
        if (absent && !nominated) || (timed_out && hears_others) {
            self.change_list(need, None, now, out);
        }
    }

    fn change_list(
        &mut self,
        need: &ListNeed,
        new: Option<Session>,
        now: Now,
        out: &mut Vec<HoldAction>,
    ) {
        self.read_row(now, out);
        if !self.is_store_answering(now) {
            return;
        }
        let Some(known) = &self.known else {
            return;
        };
        let mut row = DispatchRow {
            former: Vec::new(),
            ..known.row.clone()
        };
        if let ListNeed::Replace(lost) = need {
            row.successors.retain(|it| it != lost);
        }
        row.successors.extend(new);
        if let Some(state) = &mut self.dispatcher_state {
            state.mark_lists_changed();
            state.nominee = None;
        }
        self.start_write(row, now, out);
    }

    pub(super) fn start_offer(
        &mut self,
        reason: HandOverReason,
        known: &KnownRequests,
        now: Now,
        out: &mut Vec<HoldAction>,
    ) {
        let Some(state) = &mut self.dispatcher_state else {
            return;
        };
        if let Some(offer) = &mut state.offer {
            offer.reason = reason;
            return;
        }
        state.offer = Some(Offer {
            reason,
            known: known.clone(),
            offered: IndexMap::new(),
            last_offered: now.mono,
        });
        self.offer_next(now, out);
    }

    /// Offers the role to the next successor, first to those with an unexpired
    /// promise.
    ///
    /// Returns false if there is no further successor.
    fn offer_next(&mut self, now: Now, out: &mut Vec<HoldAction>) -> bool {
        let row_version = self.known_version();
        let (Some(known), Some(state)) = (&self.known, &mut self.dispatcher_state) else {
            return false;
        };
        let mut order = known.row.successors.clone();
        order.retain(|it| !state.is_absent(it));
        order.sort_by_key(|it| !state.has_promise(it, now.mono));
        let epoch = state.epoch;
        let Some(offer) = &mut state.offer else {
            return false;
        };
        let Some(next) = order.iter().find(|it| !offer.offered.contains_key(*it)) else {
            return false;
        };
        offer.last_offered = now.mono;
        offer.offered.insert(next.clone(), false);
        let handover = HoldMessage::Handover {
            epoch,
            row_version,
            known: offer.known.clone(),
        };
        state.discard_promise(next);
        out.push(send_action(next, handover));
        true
    }

    /// Waits for a successor to take the role. Offers it to the next one when all have
    /// declined or `ask_interval_ms` has passed since the last offer.
    fn offer_tick(&mut self, now: Now, out: &mut Vec<HoldAction>) {
        self.read_row(now, out);
        let lists = self.possible_lists();
        let Some(state) = &self.dispatcher_state else {
            return;
        };
        let Some(offer) = &state.offer else {
            return;
        };
        let unsettled = offer.offered.iter().any(|(session, declined)| {
            let listed = lists.iter().any(|list| list.contains(session));
            listed && !declined && !state.is_absent(session)
        });
        let resumes = !unsettled && offer.reason == HandOverReason::EndpointLost;
        if unsettled && now.mono.since(offer.last_offered) < self.cfg.ask_interval_ms {
            return;
        }
        if !self.offer_next(now, out) && resumes {
            self.resume(out);
        }
    }

    /// Withdraws the offer and resumes as dispatcher. To be called only when every
    /// successor that was offered the role has declined it, is gone or is no longer
    /// listed.
    ///
    /// A successor that has not answered may be taking over, so its silence does
    /// not count as declining.
    ///
    /// Failure guarded against: an offer arrives late, after its receiver was
    /// removed from the list and added again, and the receiver takes over from an
    /// active dispatcher. Such a session is not added again in this epoch.
    fn resume(&mut self, out: &mut Vec<HoldAction>) {
        if let Some(state) = &mut self.dispatcher_state {
            let offer = state.offer.take();
            let offered = offer.map(|it| it.offered).unwrap_or_default();
            for (session, declined) in offered {
                if !declined {
                    state.barred.insert(session);
                }
            }
            out.push(HoldAction::OfferDeclined { epoch: state.epoch });
        }
    }

    pub(super) fn on_declined(
        &mut self,
        from: &Session,
        epoch: Epoch,
        now: Now,
        out: &mut Vec<HoldAction>,
    ) {
        let Some(state) = self
            .dispatcher_state
            .as_mut()
            .filter(|it| it.epoch == epoch)
        else {
            return;
        };
        let Some(offer) = &mut state.offer else {
            return;
        };
        if let Some(declined) = offer.offered.get_mut(from) {
            *declined = true;
            self.offer_next(now, out);
        }
    }
}
