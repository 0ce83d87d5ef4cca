//! Crashes of endpoints by requests: what this instance and others saw, and the stored row.
//!
//! The row is followed by all instances and written by the leader. It outlives all of them;
//! what others tell reaches an instance also while the store is away.

use std::sync::Arc;

use citronway_core::gateway::crashes::{
    CrashSnapshot, Fingerprint, FingerprintKey, Ledger, MAX_SIGNS_PER_REPORT, RefusedWork, Sign,
    SignQueue, SignReceiver, StoredCrashes, StoredSuspect, Verdict,
};
use citronway_core::gateway::report::{Report, Totals};
use citronway_core::gateway::rows::Row;
use citronway_core::ids::Version;
use citronway_core::time::Mono;
use citronway_platform::store::ConditionalWrite;
use tokio::sync::mpsc;

use super::own_rows::{CRASHES_KEY, LEADER_KEY};
use super::store::Store;
use super::{Control, Event};
use crate::gateway::metrics::Metrics;
use crate::observe;

/// Time between two writes of the row, in milliseconds.
const WRITE_PAUSE_MS: u64 = 300;

/// The same after a write that was not done, in milliseconds.
const RETRY_PAUSE_MS: u64 = 150;

/// Time from the first news for the row until it is written, in milliseconds: all instances
/// tell of one crash within it.
const BATCH_MS: u64 = 50;

/// Time for which suspects that were cleared stay in the row, in milliseconds. After a start
/// they are tried once more, and cleared by the next answer.
const CLEARED_KEPT_MS: u64 = 10_000;

/// What this instance knows of crashes.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    /// Order of this instance among all.
    rank: u64,
    ledger: Ledger,
    outbox: SignQueue,
    taken: SignReceiver,
    row: Option<StoredCrashes>,
    version: Version,
    /// A row was read.
    has_loaded: bool,
    /// The row that stands cannot be read.
    unreadable: bool,
    known: Arc<CrashSnapshot>,
    /// What changed for callers since it was logged.
    verdicts: Vec<Verdict>,
    /// Leader to whom all was told.
    sent_term: u64,
    writing: bool,
    write_after: Mono,
    /// Since when the row lacks something.
    outdated_since: Option<Mono>,
    /// When the row was last seen to change.
    row_changed_at: Mono,
}

impl Crashes {
    pub(super) fn new(rank: u64) -> Self {
        Self {
            rank,
            ..Self::default()
        }
    }

    /// Takes the row, or that it was removed.
    pub(super) fn apply_row(&mut self, now: Mono, row: &Row) -> Result<(), serde_json::Error> {
        if row.version <= self.version {
            return Ok(());
        }
        self.version = row.version;
        self.row_changed_at = now;
        let value = row.value.as_deref();
        let read = value.map(serde_json::from_slice::<StoredCrashes>);
        // What is known holds on; another version of the product may have written the row.
        self.unreadable = read.as_ref().is_some_and(Result::is_err);
        let stored = read.transpose()?;
        let refused = stored.as_ref().map_or(0, |stored| stored.refused.len());
        log::info!(version = row.version.0, refused, removed = stored.is_none(); "row about crashes");
        // Fingerprints under another key have nothing in common with those that are known.
        let key_before = self.row.as_ref().map(|row| row.key);
        if key_before.is_some() && key_before != stored.as_ref().map(|row| row.key) {
            self.ledger.clear();
        }
        for refused in stored.iter().flat_map(|stored| &stored.refused) {
            self.verdicts
                .extend(self.ledger.apply_refused(now, *refused));
        }
        self.load_suspects(now, stored.as_ref());
        self.row = stored;
        self.refresh();
        Ok(())
    }

    /// Takes the suspects of the first row that is read.
    ///
    /// Failure guarded against: all instances end and start again, and work that crashed
    /// endpoints before is sent at all of them at once. Later rows tell nothing that the
    /// others do not report, and may name work that was cleared since.
    fn load_suspects(&mut self, now: Mono, stored: Option<&StoredCrashes>) {
        if std::mem::replace(&mut self.has_loaded, true) {
            return;
        }
        for suspect in stored.iter().flat_map(|stored| &stored.suspects) {
            self.ledger.restore_suspect(now, suspect);
        }
    }

    /// Takes what this instance's own traffic saw.
    pub(super) fn record_own_signs(&mut self, now: Mono, signs: &[Sign]) {
        for sign in signs {
            self.verdicts.extend(self.ledger.apply(now, *sign));
            self.outbox.push(*sign);
        }
        self.refresh();
    }

    /// Takes what another instance reports; `passes_on` if this one reports for it.
    fn record_report(&mut self, now: Mono, report: &Report, forwards: bool) {
        for sign in self.taken.fresh(report) {
            self.verdicts.extend(self.ledger.take(now, *sign));
            if forwards {
                self.outbox.push(*sign);
            }
        }
        self.refresh();
    }

    /// Takes what the leader tells.
    pub(super) fn apply_totals(&mut self, now: Mono, totals: &Totals) {
        for refused in &totals.refused {
            self.verdicts
                .extend(self.ledger.apply_refused(now, *refused));
        }
        for suspect in &totals.suspects {
            self.ledger.apply_leader_suspect(now, *suspect);
        }
        self.refresh();
    }

    /// Takes a crash that another instance tells the leader of.
    pub(super) fn record_crash(&mut self, now: Mono, sign: Sign) {
        self.verdicts.extend(self.ledger.take(now, sign));
        self.refresh();
    }

    /// Takes from the leader that an endpoint has answered the work.
    pub(super) fn record_answer(&mut self, now: Mono, work: Fingerprint) {
        let answered = Sign::Answered { work };
        self.verdicts.extend(self.ledger.apply(now, answered));
        self.refresh();
    }

    /// Whether there are signs that were in no report yet.
    pub(super) fn has_unsent_signs(&self) -> bool {
        self.outbox.has_news()
    }

    /// Takes what the next report says, and the number of its first sign.
    pub(super) fn take_signs(&mut self) -> (u64, Vec<Sign>) {
        self.outbox.take()
    }

    /// What a leader tells: harmful work, and suspects.
    pub(super) fn totals(&self, now: Mono) -> (Vec<RefusedWork>, Vec<Fingerprint>) {
        (self.ledger.harmful(now), self.ledger.suspects(now))
    }

    /// What the traffic goes by.
    pub(super) fn known(&self) -> Arc<CrashSnapshot> {
        Arc::clone(&self.known)
    }

    /// Forgets what no longer counts; has a new leader told of all that does.
    ///
    /// Failure: the leader that counted the crashes is lost, and its successor begins anew.
    fn step(&mut self, now: Mono, term: u64) {
        self.verdicts.extend(self.ledger.expire(now));
        if self.sent_term < term {
            self.sent_term = term;
            for sign in self.ledger.signs() {
                self.outbox.push(sign);
            }
        }
        self.refresh();
    }

    /// Tells the newest crashes once more, for an instance that has just started.
    ///
    /// Failure guarded against: instances are restarted in turn, hear nothing of what the
    /// others have told before, and send copies of a suspect without asking. One report holds
    /// what is told, so that it does not keep news waiting.
    pub(super) fn resend_newest_signs(&mut self) {
        for sign in self.ledger.newest_signs(MOST_SIGNS) {
            self.outbox.push(sign);
        }
    }

    fn refresh(&mut self) {
        let key = self.row.as_ref().map(|row| row.key);
        if self.ledger.take_changed() || self.known.key != key {
            self.known = Arc::new(self.ledger.snapshot(key, self.rank));
        }
    }

    /// What the leader is to write now.
    fn row_to_write(&mut self, now: Mono) -> Option<StoredCrashes> {
        if self.writing || self.unreadable || now < self.write_after {
            return None;
        }
        let mut refused = self.ledger.harmful(now);
        refused.sort_unstable();
        let suspects = self.ledger.suspects_to_store(now);
        let key = match &self.row {
            Some(row) if self.is_row_current(now, row, &refused, &suspects) => {
                self.outdated_since = None;
                return None;
            }
            Some(row) => row.key,
            None => FingerprintKey::new(uuid::Uuid::new_v4().into_bytes()),
        };
        let since = *self.outdated_since.get_or_insert(now);
        if now.since(since) < BATCH_MS && self.row.is_some() {
            return None;
        }
        Some(StoredCrashes {
            key,
            refused,
            suspects,
        })
    }

    /// Whether the row needs not be written anew.
    fn is_row_current(
        &self,
        now: Mono,
        row: &StoredCrashes,
        refused: &[RefusedWork],
        suspects: &[StoredSuspect],
    ) -> bool {
        let is_fresh = now.since(self.row_changed_at) < CLEARED_KEPT_MS;
        let is_same = row.suspects.len() == suspects.len();
        row.refused == refused && row.covers(suspects) && (is_same || is_fresh)
    }

    /// Version that the row must have to be written.
    const fn expected(&self) -> Version {
        match self.row {
            Some(_) => self.version,
            None => Version(0),
        }
    }
}

impl Control {
    /// Takes signs that another instance reports.
    pub(super) fn record_signs(&mut self, now: Mono, report: &Report, forwards: bool) {
        self.trials.record_crashes(&report.signs);
        self.cluster.crashes.record_report(now, report, forwards);
    }

    /// Brings what is known of crashes up to date, and writes the row where it is to change.
    pub(super) fn step_crashes(&mut self, now: Mono, events: &mpsc::Sender<Event>) {
        let crashes = &mut self.cluster.crashes;
        crashes.step(now, self.leadership.term());
        for verdict in crashes.verdicts.drain(..) {
            report_verdict(&self.metrics, &verdict);
        }
        self.metrics.set_crash_suspects(crashes.ledger.len());
        // Whoever decides by it is told at once.
        let view = self.view.borrow();
        let is_new = !Arc::ptr_eq(&view.crashes, &crashes.known);
        drop(view);
        self.cluster.changed |= is_new;
        self.write_crashes(now, events);
    }

    fn write_crashes(&mut self, now: Mono, events: &mpsc::Sender<Event>) {
        let Some(leader_version) = self.leadership.row_version() else {
            return;
        };
        // The leader's row is about to have another version, and this write would be refused.
        if self.cluster.store_lost() || self.leadership.is_claim_pending() {
            return;
        }
        let crashes = &mut self.cluster.crashes;
        let Some(stored) = crashes.row_to_write(now) else {
            return;
        };
        let value = match serde_json::to_vec(&stored) {
            Ok(value) => value,
            Err(e) => {
                log::error!(cause = e.to_string(); "row about crashes not written");
                return;
            }
        };
        crashes.writing = true;
        crashes.write_after = now.plus(WRITE_PAUSE_MS);
        crashes.outdated_since = None;
        let change = Change {
            unless_changed: vec![
                (LEADER_KEY.to_owned(), leader_version),
                (CRASHES_KEY.to_owned(), crashes.expected()),
            ],
            put: vec![(CRASHES_KEY.to_owned(), value)],
        };
        let (address, events) = (self.cfg.store, events.clone());
        tokio::spawn(async move {
            let written = Store::new(address).change(&change).await;
            if let Err(e) = &written {
                log::info!(cause = e.to_string(); "row about crashes not written");
            }
            let done = written.is_ok();
            // Nobody is left to be told when the process ends.
            let _ = events.send(Event::CrashesWritten { done }).await;
        });
    }

    /// Notes that a write of the row has ended; what stands comes by the feed.
    pub(super) fn on_crashes_written(&mut self, now: Mono, done: bool) {
        let crashes = &mut self.cluster.crashes;
        crashes.writing = false;
        if !done {
            crashes.write_after = now.plus(RETRY_PAUSE_MS);
        }
    }
}

fn report_verdict(metrics: &Metrics, verdict: &Verdict) {
    metrics.judged(verdict);
    observe::log_verdict(verdict);
}
