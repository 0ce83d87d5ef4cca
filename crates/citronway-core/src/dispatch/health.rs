//! Health of an endpoint from its answers to probes.

use super::settings::DispatchSettings;
use crate::node::events::{ProbeReport, Ticket};
use crate::time::Mono;

/// Whether the endpoint can be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// The last probe was answered.
    Healthy,
    /// Probes have failed, but not yet for the configured time.
    Suspect,
    /// Consecutive probes have failed for the configured time.
    Unreachable,
}

/// Health of one endpoint.
#[derive(Debug)]
pub struct Health {
    reach: Reach,
    consecutive_failures: u32,
    last_answered: Mono,
    newest_ticket: Ticket,
    draining: bool,
    stale: bool,
    cold: bool,
    reported_running: Option<u32>,
}

impl Health {
    /// Creates the state before the first probe: the endpoint counts as healthy.
    #[must_use]
    pub const fn new(now: Mono) -> Self {
        Self {
            reach: Reach::Healthy,
            consecutive_failures: 0,
            last_answered: now,
            newest_ticket: 0,
            draining: false,
            stale: false,
            cold: false,
            reported_running: None,
        }
    }

    /// Whether the endpoint can be reached.
    #[must_use]
    pub const fn reach(&self) -> Reach {
        self.reach
    }

    /// Whether the endpoint has reported that it is draining.
    #[must_use]
    pub const fn draining(&self) -> bool {
        self.draining
    }

    /// Whether the endpoint knows a higher epoch than this dispatcher's.
    #[must_use]
    pub const fn stale(&self) -> bool {
        self.stale
    }

    /// Whether the endpoint reports that it has just started.
    #[must_use]
    pub const fn cold(&self) -> bool {
        self.cold
    }

    /// Whether the last probe failed.
    #[must_use]
    pub const fn has_failed_probe(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Number of running orders that the endpoint reports; `None` before the
    /// first report.
    #[must_use]
    pub const fn reported_running(&self) -> Option<u32> {
        self.reported_running
    }

    /// Records that an order was refused because the endpoint is draining.
    pub const fn on_draining_refusal(&mut self) {
        self.draining = true;
    }

    /// Records the outcome of a probe.
    pub const fn on_probe_done(
        &mut self,
        ticket: Ticket,
        report: &ProbeReport,
        cfg: &DispatchSettings,
        now: Mono,
    ) {
        match *report {
            ProbeReport::Failed => self.on_failure(cfg, now),
            ProbeReport::Answered {
                stale_epoch,
                draining,
                running,
                cold,
            } => {
                self.consecutive_failures = 0;
                self.reach = Reach::Healthy;
                self.last_answered = now;
                // Reports can arrive out of order. An older one, from before
                // the endpoint began to drain, must not end the drain.
                if ticket < self.newest_ticket {
                    return;
                }
                self.newest_ticket = ticket;
                self.draining = draining;
                self.stale = stale_epoch;
                self.cold = cold;
                self.reported_running = Some(running);
            }
        }
    }

    const fn on_failure(&mut self, cfg: &DispatchSettings, now: Mono) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let long = now.since(self.last_answered) >= cfg.lost_after_ms;
        if long && self.consecutive_failures >= cfg.lost_after_fails {
            self.reach = Reach::Unreachable;
            return;
        }
        if matches!(self.reach, Reach::Healthy) {
            self.reach = Reach::Suspect;
        }
    }
}
