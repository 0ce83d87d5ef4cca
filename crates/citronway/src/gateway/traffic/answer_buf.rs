//! Bytes of an answer that stay charged until the caller's connection has taken them.

use bytes::{Buf, Bytes};

use super::state::Charge;

/// Bytes of an answer.
///
/// Failure guarded against: the HTTP library drops a body as soon as it has taken its last part
/// into its own queue, where an answer stays for as long as its caller reads slowly. The charge
/// therefore belongs to the bytes and not to the body.
#[derive(Debug)]
pub(super) struct AnswerBuf {
    bytes: Bytes,
    _charge: Charge,
}

impl AnswerBuf {
    pub(super) const fn new(bytes: Bytes, charge: Charge) -> Self {
        Self {
            bytes,
            _charge: charge,
        }
    }
}

impl Buf for AnswerBuf {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, cnt: usize) {
        self.bytes.advance(cnt);
    }
}
