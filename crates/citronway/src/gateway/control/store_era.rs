//! Era of the store, as its answers state it and other instances know it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use citronway_core::gateway::version::Era;
use citronway_platform::store::{self, EraError};
use http::{HeaderMap, StatusCode};

/// Address of the store and its era. Clones share the era.
#[derive(Debug, Clone)]
pub(super) struct StoreAccess {
    pub address: SocketAddr,
    pub era: Arc<KnownEra>,
}

impl StoreAccess {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            era: Arc::default(),
        }
    }
}

/// Why the rows of an answer cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum AnswerEraError {
    /// The answer is older than the store's last return from a copy.
    #[error("the answer is from era {answer}, and the store is in era {known}")]
    Earlier { answer: Era, known: Era },
    /// Earlier answers stated an era.
    #[error("the answer states no era, and the store is in era {0}")]
    Unstated(Era),
    #[error(transparent)]
    Unusable(#[from] EraError),
}

/// Highest known era of the store.
#[derive(Debug, Default)]
pub(super) struct KnownEra {
    era: AtomicU32,
    unusable: AtomicU64,
    /// The last statement that could not be used.
    last_unusable: Mutex<Option<AnswerEraError>>,
}

impl KnownEra {
    pub(super) fn get(&self) -> Era {
        Era(self.era.load(Ordering::Relaxed))
    }

    /// Records an era that is known to have begun; the highest one stays.
    pub(super) fn raise(&self, era: Era) {
        self.era.fetch_max(era.0, Ordering::Relaxed);
    }

    /// Records what an answer states of the era, and returns the era of the answer.
    ///
    /// # Errors
    ///
    /// When the answer is of an earlier era, or of none that could be used.
    pub(super) fn observe(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<Era, AnswerEraError> {
        let observed = self.read(headers);
        if matches!(observed, Err(AnswerEraError::Unstated(_))) && !status.is_success() {
            // A refusal has no rows, and may come from something in front of the store.
            return Ok(self.get());
        }
        if let Err(e) = &observed
            && !matches!(e, AnswerEraError::Earlier { .. })
        {
            self.unusable.fetch_add(1, Ordering::Relaxed);
            let mut last = self
                .last_unusable
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            *last = Some(e.clone());
        }
        observed
    }

    fn read(&self, headers: &HeaderMap) -> Result<Era, AnswerEraError> {
        let Some(answer) = store::read_era(headers)? else {
            let known = self.get();
            return if known == Era::default() {
                Ok(known)
            } else {
                Err(AnswerEraError::Unstated(known))
            };
        };
        self.raise(answer);
        let known = self.get();
        if answer < known {
            return Err(AnswerEraError::Earlier { answer, known });
        }
        Ok(answer)
    }

    /// The last statement that could not be used, and the number of them since the last call.
    pub(super) fn take_unusable(&self) -> Option<(AnswerEraError, u64)> {
        let mut last = self
            .last_unusable
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let count = self.unusable.swap(0, Ordering::Relaxed);
        last.take().map(|cause| (cause, count))
    }
}
