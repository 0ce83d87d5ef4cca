//! Keys that a stand-in of an endpoint holds, by grants with fences.

use std::time::{Duration, Instant};

use http::StatusCode;
use serde::Deserialize;

#[derive(Debug, Clone, Copy, Default)]
struct KeyState {
    seen: u64,
    until: Option<Instant>,
}

/// Keys of a grant or release.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Keys {
    pub from: u16,
    pub target: u16,
    fence: u64,
    hold_s: Option<f64>,
}

impl Keys {
    pub(super) const fn fence(&self) -> u64 {
        self.fence
    }
}

/// State of each key.
#[derive(Debug)]
pub(super) struct HeldKeys(Vec<KeyState>);

impl Default for HeldKeys {
    fn default() -> Self {
        Self(vec![KeyState::default(); 1 << 16])
    }
}

impl HeldKeys {
    pub(super) fn holds(&self, key: u16) -> bool {
        let until = self.0[usize::from(key)].until;
        until.is_some_and(|until| Instant::now() < until)
    }

    pub(super) fn grant(&mut self, keys: &Keys) -> StatusCode {
        let span = usize::from(keys.from)..=usize::from(keys.target);
        let span = &mut self.0[span];
        if span.iter().any(|key| key.seen > keys.fence) {
            return StatusCode::CONFLICT;
        }
        let hold = Duration::from_secs_f64(keys.hold_s.unwrap_or_default());
        for key in span {
            key.seen = keys.fence;
            key.until = Some(Instant::now() + hold);
        }
        StatusCode::OK
    }

    pub(super) fn release(&mut self, keys: &Keys) {
        for key in &mut self.0[usize::from(keys.from)..=usize::from(keys.target)] {
            if key.seen <= keys.fence {
                key.until = None;
            }
        }
    }
}
