//! Crashes of endpoints by requests: signs that this instance and others saw, and the
//! stored row.
//!
//! All instances poll the row, and the leader writes it. The row outlives all instances;
//! reports and totals reach an instance also while the store is away.

use std::sync::Arc;

use citronway_core::gateway::crashes::{
    CrashSnapshot, Fingerprint, FingerprintKey, Ledger, MAX_SIGNS_PER_REPORT, RefusedWork, Sign,
    SignQueue, SignReceiver, StoredCrashes, StoredSuspect, Verdict,
};
use citronway_core::gateway::report::{Report, Totals};
use citronway_core::gateway::rows::Row;
use citronway_core::gateway::version::{Era, RowVersion};
use citronway_core::time::Mono;
use citronway_platform::store::ConditionalWrite;
use tokio::sync::mpsc;

use super::own_rows::CRASHES_KEY;
use super::store::Store;
use super::{Control, Event};
use crate::gateway::metrics::Metrics;
use crate::observe;

/// Shortest time from one write of the row to the next, in milliseconds.
const WRITE_PAUSE_MS: u64 = 300;

/// Pause after a write of the row that failed, in milliseconds.
const RETRY_PAUSE_MS: u64 = 150;

/// Time from the first change for the row until it is written, in milliseconds: all
/// instances report one crash within it.
const BATCH_MS: u64 = 50;

/// Time for which cleared suspects stay in the row, in milliseconds. Instances that start
/// meanwhile try them once more, and the next answer clears them.
const CLEARED_KEPT_MS: u64 = 10_000;

/// Crashes by requests, as this instance knows them.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    /// Rank of this instance, by which all instances are ordered.
    rank: u64,
    ledger: Ledger,
    outbox: SignQueue,
    received: SignReceiver,
    row: Option<StoredCrashes>,
    version: RowVersion,
    /// A row was read at least once.
    has_loaded: bool,
    /// The stored row is malformed.
    unreadable: bool,
    known: Arc<CrashSnapshot>,
    /// Changes for callers that are not logged yet.
    verdicts: Vec<Verdict>,
    /// Term of the last leader to which all signs were reported.
    sent_term: u64,
    writing: bool,
    write_after: Mono,
    /// Since when the row has been out of date; `None` if it is up to date.
    outdated_since: Option<Mono>,
    /// When a change of the row was last seen.
    row_changed_at: Mono,
}

impl Crashes {
    pub(super) fn new(rank: u64) -> Self {
        Self {
            rank,
            ..Self::default()
        }
    }

    /// Applies the row, or its removal.
    pub(super) fn apply_row(&mut self, now: Mono, row: &Row) -> Result<(), serde_json::Error> {
        if row.version <= self.version {
            return Ok(());
        }
        if row.value.is_none() && self.version.era < row.version.era {
            self.row_is_absent(row.version.era);
            return Ok(());
        }
        self.version = row.version;
        self.row_changed_at = now;
        let value = row.value.as_deref();
        let read = value.map(serde_json::from_slice::<StoredCrashes>);
        // What is known stays: another version of the product may have written the row.
        self.unreadable = read.as_ref().is_some_and(Result::is_err);
        let stored = read.transpose()?;
        let refused = stored.as_ref().map_or(0, |stored| stored.refused.len());
        log::info!(version = row.version.number, refused, removed = stored.is_none(); "row about crashes");
        // Fingerprints under different keys can't be compared.
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

    /// Records that an era of the store has no row.
    pub(super) fn row_is_absent(&mut self, era: Era) {
        if self.version.era < era && self.row.is_some() {
            self.version = RowVersion::absent(era);
        }
    }

    /// Whether a restored store has no row, and the known one must be written again.
    const fn is_lost(&self) -> bool {
        self.row.is_some() && self.version.number == 0
    }

    /// Takes the suspects of the first row that is read.
    ///
    /// Failure guarded against: all instances end and start again, and work that crashed
    /// endpoints before is sent at all of them at once. Later rows hold nothing that the
    /// others do not report, and may name work that was cleared since.
    fn load_suspects(&mut self, now: Mono, stored: Option<&StoredCrashes>) {
        if std::mem::replace(&mut self.has_loaded, true) {
            return;
        }
        for suspect in stored.iter().flat_map(|stored| &stored.suspects) {
            self.ledger.restore_suspect(now, suspect);
        }
    }

    /// Records signs of this instance's own traffic.
    pub(super) fn record_own_signs(&mut self, now: Mono, signs: &[Sign]) {
        for sign in signs {
            self.verdicts.extend(self.ledger.apply(now, *sign));
            self.outbox.push(*sign);
        }
        self.refresh();
    }

    /// Records signs that another instance reports; with `forwards`, this instance reports
    /// them on as a delegate.
    fn record_report(&mut self, now: Mono, report: &Report, forwards: bool) {
        for sign in self.received.new_signs(report) {
            self.verdicts.extend(self.ledger.apply(now, *sign));
            if forwards {
                self.outbox.push(*sign);
            }
        }
        self.refresh();
    }

    /// Applies the totals of the leader.
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

    /// As the leader, records a crash that ended a trial.
    pub(super) fn record_crash(&mut self, now: Mono, sign: Sign) {
        self.verdicts.extend(self.ledger.apply(now, sign));
        self.refresh();
    }

    /// Records the leader's reply that an endpoint has answered the work.
    pub(super) fn record_answer(&mut self, now: Mono, work: Fingerprint) {
        let answered = Sign::Answered { work };
        self.verdicts.extend(self.ledger.apply(now, answered));
        self.refresh();
    }

    /// Whether there are signs that were in no report yet.
    pub(super) fn has_unsent_signs(&self) -> bool {
        self.outbox.has_unsent()
    }

    /// Returns the signs for the next report, and the number of the first of them.
    pub(super) fn take_signs(&mut self) -> (u64, Vec<Sign>) {
        self.outbox.take()
    }

    /// Harmful work and suspects, for the leader's totals.
    pub(super) fn totals(&self, now: Mono) -> (Vec<RefusedWork>, Vec<Fingerprint>) {
        (self.ledger.harmful(now), self.ledger.suspects(now))
    }

    /// Crashes as the traffic thread uses them.
    pub(super) fn known(&self) -> Arc<CrashSnapshot> {
        Arc::clone(&self.known)
    }

    /// Drops what has expired, and reports all remaining signs to a new leader.
    ///
    /// Failure: the leader that counted the crashes is lost, and its successor starts with
    /// no count.
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

    /// Reports the newest signs once more, for an instance that has just started.
    ///
    /// Failure guarded against: during a rolling restart, new instances have missed earlier
    /// signs and send copies of a suspect without a trial. The signs fit into one report,
    /// so that they do not delay new ones.
    pub(super) fn resend_newest_signs(&mut self) {
        for sign in self.ledger.newest_signs(MAX_SIGNS_PER_REPORT) {
            self.outbox.push(sign);
        }
    }

    fn refresh(&mut self) {
        let key = self.row.as_ref().map(|row| row.key);
        if self.ledger.take_changed() || self.known.key != key {
            self.known = Arc::new(self.ledger.snapshot(key, self.rank));
        }
    }

    /// Content of the row that the leader must write now; `None` if no write is due.
    fn row_to_write(&mut self, now: Mono) -> Option<StoredCrashes> {
        if self.writing || self.unreadable || now < self.write_after {
            return None;
        }
        let mut refused = self.ledger.harmful(now);
        refused.sort_unstable();
        let suspects = self.ledger.suspects_to_store(now);
        let key = match &self.row {
            Some(row) if !self.is_lost() && self.is_row_current(now, row, &refused, &suspects) => {
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

    /// Whether the row need not be written again.
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

    /// Version that the stored row must have for a write to succeed; 0 if there is no row.
    const fn expected(&self) -> RowVersion {
        match self.row {
            Some(_) => self.version,
            None => RowVersion::NONE,
        }
    }
}

impl Control {
    /// Records signs that another instance reports; with `forwards`, this instance reports
    /// them on as a delegate.
    pub(super) fn record_signs(&mut self, now: Mono, report: &Report, forwards: bool) {
        self.trials.record_crashes(&report.signs);
        self.cluster.crashes.record_report(now, report, forwards);
        self.record_crash_bytes(now, &report.signs);
    }

    /// Expires signs, publishes verdicts, and writes the row if it is due.
    pub(super) fn step_crashes(&mut self, now: Mono, events: &mpsc::Sender<Event>) {
        let crashes = &mut self.cluster.crashes;
        crashes.step(now, self.leadership.term());
        for verdict in crashes.verdicts.drain(..) {
            report_verdict(&self.metrics, &verdict);
        }
        self.metrics.set_crash_suspects(crashes.ledger.len());
        // A change is published at once, as the traffic thread decides by it.
        let view = self.view.borrow();
        let is_new = !Arc::ptr_eq(&view.crashes, &crashes.known);
        drop(view);
        self.cluster.changed |= is_new;
        self.write_crashes(now, events);
    }

    fn write_crashes(&mut self, now: Mono, events: &mpsc::Sender<Event>) {
        let Some(mut preconditions) = self.leadership.preconditions(&self.cluster) else {
            return;
        };
        // A claim changes the version of the leader's row, and this write would be refused.
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
        preconditions.push((CRASHES_KEY.to_owned(), crashes.expected()));
        crashes.writing = true;
        crashes.write_after = now.plus(WRITE_PAUSE_MS);
        crashes.outdated_since = None;
        let change = ConditionalWrite {
            preconditions,
            put: vec![(CRASHES_KEY.to_owned(), value)],
            remove: Vec::new(),
        };
        let (store, events) = (self.store.clone(), events.clone());
        tokio::spawn(async move {
            let written = Store::new(store).change(&change).await;
            if let Err(e) = &written {
                log::info!(cause = e.to_string(); "row about crashes not written");
            }
            let done = written.is_ok();
            // The receiver is gone when the process ends.
            let _ = events.send(Event::CrashesWritten { done }).await;
        });
    }

    /// Handles the end of a write of the row. The stored row comes by the next poll.
    pub(super) fn on_crashes_written(&mut self, now: Mono, done: bool) {
        let crashes = &mut self.cluster.crashes;
        crashes.writing = false;
        if !done {
            crashes.write_after = now.plus(RETRY_PAUSE_MS);
        }
    }
}

fn report_verdict(metrics: &Metrics, verdict: &Verdict) {
    metrics.count_verdict(verdict);
    observe::log_verdict(verdict);
}
