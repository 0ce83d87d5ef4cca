//! Bodies of requests, read whole within bounds of size, time and memory.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;
use viz::Body;

use super::finding::Problem;

/// Most bytes of a refused body that are read and thrown away.
const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;
/// How long the rest of a refused body is awaited.
const DISCARD_WAIT: Duration = Duration::from_secs(2);

/// Memory for the bodies of all requests of an instance.
///
/// Failure guarded against: many callers send large bodies slowly, and the
/// instance runs out of memory. It shows as a killed process and lost answers.
/// The guard holds because each byte is counted as it comes and until its
/// request is answered; what is announced but not sent takes nothing from others.
#[derive(Debug, Clone)]
pub(super) struct Memory {
    left: Arc<Semaphore>,
}

/// A whole body, counted until it is dropped.
#[derive(Debug)]
pub(super) struct Held {
    /// The body.
    pub body: Bytes,
    _memory: Option<OwnedSemaphorePermit>,
}

/// Why there is no whole body.
#[derive(Debug, thiserror::Error)]
pub(super) enum BodyError {
    /// The caller's fault.
    #[error("body: {0}")]
    Bad(Problem),
    /// The memory for bodies is used up.
    #[error("no memory is left for bodies")]
    NoMemory,
}

impl BodyError {
    /// Whether there is nothing left worth reading.
    pub(super) const fn is_over(&self) -> bool {
        matches!(self, Self::Bad(Problem::TooSlow | Problem::Cut))
    }
}

impl Memory {
    /// Allows `bytes` in all.
    pub(super) fn new(bytes: usize) -> Self {
        Self {
            left: Arc::new(Semaphore::new(bytes.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// Reads a body of at most `limit` bytes within `wait`.
    pub(super) async fn read(
        &self,
        body: &mut Body,
        limit: usize,
        wait: Duration,
    ) -> Result<Held, BodyError> {
        match timeout(wait, self.collect(body, limit)).await {
            Ok(result) => result,
            Err(_) => Err(BodyError::Bad(Problem::TooSlow)),
        }
    }

    async fn collect(&self, body: &mut Body, limit: usize) -> Result<Held, BodyError> {
        let mut body = Limited::new(body, limit);
        let mut buf = BytesMut::new();
        let mut memory = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|err| bad(&*err, limit))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.count(&mut memory, data.len())?;
            buf.extend_from_slice(&data);
        }
        Ok(Held {
            body: buf.freeze(),
            _memory: memory,
        })
    }

    fn count(
        &self,
        memory: &mut Option<OwnedSemaphorePermit>,
        bytes: usize,
    ) -> Result<(), BodyError> {
        let bytes = u32::try_from(bytes).ok().ok_or(BodyError::NoMemory)?;
        let more = Arc::clone(&self.left).try_acquire_many_owned(bytes);
        let more = more.ok().ok_or(BodyError::NoMemory)?;
        match memory {
            Some(held) => held.merge(more),
            None => *memory = Some(more),
        }
        Ok(())
    }
}

/// Reads a body that is refused to its end, within bounds.
///
/// Failure guarded against: the connection is closed while the caller still
/// sends. It shows as a broken connection in place of the refusal, so that the
/// caller cannot tell whether its request ran. The guard holds because the
/// refusal goes out once the caller has sent everything; one that takes longer
/// or sends more is left to see the broken connection.
pub(super) async fn discard(body: &mut Body) {
    let discarded = Limited::new(body, MAX_DISCARDED_BYTES);
    if timeout(DISCARD_WAIT, drain(discarded)).await.is_err() {
        log::debug!("a refused body did not end in time");
    }
}

async fn drain(mut body: Limited<&mut Body>) {
    while let Some(Ok(_)) = body.frame().await {}
}

fn bad(err: &(dyn std::error::Error + Send + Sync + 'static), limit: usize) -> BodyError {
    if err.is::<LengthLimitError>() {
        return BodyError::Bad(Problem::TooLarge { limit });
    }
    BodyError::Bad(Problem::Cut)
}
