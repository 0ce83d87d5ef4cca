//! Duties of the dispatcher: promises, its list of successors, giving away.

use indexmap::{IndexMap, IndexSet};

use super::events::HandOverReason;
use super::message::send;
use super::tenure::{Nominee, Offer};
use super::{Hold, HoldAction};
use crate::ids::{Epoch, Session};
use crate::peer::{HoldMessage, KnownRequests};
use crate::shard::DispatchRow;
use crate::time::Now;

/// Successors that a dispatcher keeps.
const SUCCESSORS: usize = 2;

/// While the hold is incomplete, questions go out this many times as often.
const HASTE: u64 = 4;

/// What to do with the list of successors.
#[derive(Debug, Clone, PartialEq, Eq)]
enum ListNeed {
    /// Nothing.
    Complete,
    /// Bring one in.
    Add,
    /// Put another in the place of one that is lost.
    Replace(Session),
}

impl Hold {
    pub(super) fn dispatcher_tick(
        &mut self,
        candidates: &[Session],
        now: Now,
        out: &mut Vec<HoldAction>,
    ) {
        if self.left || self.tenure.as_ref().is_some_and(|it| it.offer.is_some()) {
            self.offer_tick(now, out);
            return;
        }
        self.seal_by_read(now, out);
        self.ask_if_due(now, out);
        self.keep_list(candidates, now, out);
    }

    /// Reads the row when a gone successor still needs a proof that it never acted.
    pub(super) fn seal_by_read(&mut self, now: Now, out: &mut Vec<HoldAction>) {
        let Some(tenure) = &self.tenure else {
            return;
        };
        if self.lists().iter().any(|list| tenure.needs_proof(list)) {
            self.read(now, out);
        }
    }

    fn ask_if_due(&mut self, now: Now, out: &mut Vec<HoldAction>) {
        let mut interval_ms = self.cfg.ask_interval_ms;
        if self.may_act(now).is_none() {
            interval_ms /= HASTE;
        }
        let due = self
            .tenure
            .as_ref()
            .is_some_and(|it| it.ask_due(now.mono, interval_ms));
        if due {
            self.ask(now, out);
        }
    }

    /// Asks every session whose promise counts, and the nominee.
    fn ask(&mut self, now: Now, out: &mut Vec<HoldAction>) {
        let lists = self.lists();
        let row_version = self.known_version();
        let duration_ms = self.cfg.promise_ms;
        let Some(tenure) = &mut self.tenure else {
            return;
        };
        let round = tenure.begin_round(now.mono, duration_ms);
        let mut asked: IndexSet<Session> = lists.into_iter().flatten().collect();
        asked.extend(tenure.nominee.iter().map(|it| it.session.clone()));
        tenure.keep_only(&asked);
        for session in &asked {
            if tenure.is_absent(session) {
                continue;
            }
            tenure.asked(session, now.mono);
            let ask = HoldMessage::Ask {
                epoch: tenure.epoch,
                row_version,
                round,
                duration_ms,
            };
            out.push(send(session, ask));
        }
    }

    /// Keeps the list at its size, one change at a time.
    ///
    /// Only a dispatcher that holds every promise changes the list; that write
    /// also empties `former`, since no former dispatcher can act beside it.
    fn keep_list(&mut self, candidates: &[Session], now: Now, out: &mut Vec<HoldAction>) {
        if self.pending.is_some() || self.may_act(now).is_none() {
            return;
        }
        let need = self.list_need(now);
        if need == ListNeed::Complete {
            self.drop_nominee();
            return;
        }
        self.nominate(candidates, now, out);
        let Some(nominee) = self.promising_nominee(now) else {
            self.shrink(&need, now, out);
            return;
        };
        self.change_list(&need, Some(nominee), now, out);
    }

    /// Whether the row lists as many successors as it should, all of them heard.
    pub(super) fn list_is_complete(&self, now: Now) -> bool {
        self.list_need(now) == ListNeed::Complete
    }

    fn list_need(&self, now: Now) -> ListNeed {
        let (Some(known), Some(tenure)) = (&self.known, &self.tenure) else {
            return ListNeed::Complete;
        };
        let list = &known.row.successors;
        for session in list {
            let silent = tenure.silent_ms(session, now.mono) >= self.cfg.suspicion_ms;
            if silent || tenure.is_absent(session) {
                return ListNeed::Replace(session.clone());
            }
        }
        if list.len() < SUCCESSORS {
            return ListNeed::Add;
        }
        ListNeed::Complete
    }

    fn drop_nominee(&mut self) {
        if let Some(tenure) = &mut self.tenure {
            tenure.nominee = None;
            tenure.passed_over.clear();
        }
    }

    /// Picks the best candidate that answers, and asks it before it is listed, so
    /// that the change costs no moment without all promises.
    fn nominate(&mut self, candidates: &[Session], now: Now, out: &mut Vec<HoldAction>) {
        let (Some(known), Some(tenure)) = (&self.known, &mut self.tenure) else {
            return;
        };
        if let Some(nominee) = &tenure.nominee {
            let silent = now.mono.since(nominee.since) >= self.cfg.ask_interval_ms
                && !tenure.promises(&nominee.session, now.mono);
            if !silent && !tenure.is_absent(&nominee.session) {
                return;
            }
            tenure.passed_over.insert(nominee.session.clone());
            tenure.nominee = None;
        }
        for session in candidates {
            let listed = known.row.successors.contains(session) || *session == self.me;
            let unfit = tenure.is_absent(session) || tenure.barred.contains(session);
            if listed || unfit || tenure.passed_over.contains(session) {
                continue;
            }
            tenure.nominee = Some(Nominee {
                session: session.clone(),
                since: now.mono,
            });
            self.ask(now, out);
            return;
        }
        tenure.passed_over.clear();
    }

    fn promising_nominee(&self, now: Now) -> Option<Session> {
        let tenure = self.tenure.as_ref()?;
        let nominee = tenure.nominee.as_ref()?;
        tenure
            .promises(&nominee.session, now.mono)
            .then(|| nominee.session.clone())
    }

    /// Removes a lost successor without a replacement, before its promise lapses.
    ///
    /// A dispatcher that hears from no successor is more likely cut off itself;
    /// it lets its hold lapse, so that one of them can take over.
    fn shrink(&mut self, need: &ListNeed, now: Now, out: &mut Vec<HoldAction>) {
        let (ListNeed::Replace(lost), Some(known), Some(tenure)) =
            (need, &self.known, &self.tenure)
        else {
            return;
        };
        let patience_ms = self.cfg.suspicion_ms + self.cfg.ask_interval_ms;
        let absent = tenure.is_absent(lost);
        let others = known.row.successors.iter().filter(|it| *it != lost);
        let heard = others
            .clone()
            .any(|it| tenure.silent_ms(it, now.mono) < self.cfg.suspicion_ms);
        let waited = tenure.silent_ms(lost, now.mono) >= patience_ms;
        let nominated = tenure.nominee.is_some();
        if (absent && !nominated) || (waited && heard) {
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
        self.read(now, out);
        if !self.store_answers(now) {
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
        if let Some(tenure) = &mut self.tenure {
            tenure.lists_changed();
            tenure.nominee = None;
        }
        self.write(row, now, out);
    }

    pub(super) fn start_offer(
        &mut self,
        reason: HandOverReason,
        known: &KnownRequests,
        now: Now,
        out: &mut Vec<HoldAction>,
    ) {
        let Some(tenure) = &mut self.tenure else {
            return;
        };
        if let Some(offer) = &mut tenure.offer {
            offer.reason = reason;
            return;
        }
        tenure.offer = Some(Offer {
            reason,
            known: known.clone(),
            offered: IndexMap::new(),
            since: now.mono,
        });
        self.offer_next(now, out);
    }

    /// Offers the role to the next successor, those that promise first.
    ///
    /// Returns whether there was one.
    fn offer_next(&mut self, now: Now, out: &mut Vec<HoldAction>) -> bool {
        let row_version = self.known_version();
        let (Some(known), Some(tenure)) = (&self.known, &mut self.tenure) else {
            return false;
        };
        let mut order = known.row.successors.clone();
        order.retain(|it| !tenure.is_absent(it));
        order.sort_by_key(|it| !tenure.promises(it, now.mono));
        let epoch = tenure.epoch;
        let Some(offer) = &mut tenure.offer else {
            return false;
        };
        let Some(next) = order.iter().find(|it| !offer.offered.contains_key(*it)) else {
            return false;
        };
        offer.since = now.mono;
        offer.offered.insert(next.clone(), false);
        let handover = HoldMessage::Handover {
            epoch,
            row_version,
            known: offer.known.clone(),
        };
        tenure.release(next);
        out.push(send(next, handover));
        true
    }

    /// Waits for a successor to take the role, and offers it to the next one.
    fn offer_tick(&mut self, now: Now, out: &mut Vec<HoldAction>) {
        self.read(now, out);
        let lists = self.lists();
        let Some(tenure) = &self.tenure else {
            return;
        };
        let Some(offer) = &tenure.offer else {
            return;
        };
        let unsettled = offer.offered.iter().any(|(session, declined)| {
            let listed = lists.iter().any(|list| list.contains(session));
            listed && !declined && !tenure.is_absent(session)
        });
        let resumes = !unsettled && offer.reason == HandOverReason::EndpointLost;
        if unsettled && now.mono.since(offer.since) < self.cfg.ask_interval_ms {
            return;
        }
        if !self.offer_next(now, out) && resumes {
            self.resume(out);
        }
    }

    /// Goes on when every successor that was offered the role has declined it, is
    /// gone or is no longer listed.
    ///
    /// One that has not answered may be taking over, so its silence is no word.
    /// Failure guarded against: an offer arrives after its receiver was dropped
    /// from the list and brought in again, and it takes a role that is in use. It
    /// is not brought in again in this epoch.
    fn resume(&mut self, out: &mut Vec<HoldAction>) {
        if let Some(tenure) = &mut self.tenure {
            let offer = tenure.offer.take();
            let offered = offer.map(|it| it.offered).unwrap_or_default();
            for (session, declined) in offered {
                if !declined {
                    tenure.barred.insert(session);
                }
            }
            out.push(HoldAction::OfferDeclined {
                epoch: tenure.epoch,
            });
        }
    }

    pub(super) fn on_declined(
        &mut self,
        from: &Session,
        epoch: Epoch,
        now: Now,
        out: &mut Vec<HoldAction>,
    ) {
        let Some(tenure) = self.tenure.as_mut().filter(|it| it.epoch == epoch) else {
            return;
        };
        let Some(offer) = &mut tenure.offer else {
            return;
        };
        if let Some(declined) = offer.offered.get_mut(from) {
            *declined = true;
            self.offer_next(now, out);
        }
    }
}
