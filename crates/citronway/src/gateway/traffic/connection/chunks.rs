//! Finds the end of a body that is sent in chunks.

/// Most digits of a chunk's size; with one more, the HTTP library may count differently.
const MAX_DIGITS: u8 = 15;

/// How far a body has been followed. Only chunks without extensions are, and no trailers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Chunks {
    Size { digits: u8, size: u64 },
    SizeLineFeed(u64),
    Data(u64),
    DataReturn,
    DataLineFeed,
    EndReturn,
    EndLineFeed,
}

/// What bytes of a body mean.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Chunked {
    /// The body goes on.
    More(Chunks),
    /// The body ends behind so many of the bytes.
    End(usize),
    /// The end may be understood in several ways.
    Unclear,
}

impl Chunks {
    /// The start of a body.
    pub(super) const START: Self = Self::Size { digits: 0, size: 0 };

    /// Follows the body through `bytes`.
    pub(super) fn follow(mut self, bytes: &[u8]) -> Chunked {
        let mut at = 0;
        while at < bytes.len() {
            if let Self::Data(left) = self {
                let available = bytes.len() - at;
                let count = usize::try_from(left).map_or(available, |left| left.min(available));
                at += count;
                let left = left - count as u64;
                self = if left == 0 {
                    Self::DataReturn
                } else {
                    Self::Data(left)
                };
                continue;
            }
            let Some(next) = self.step(bytes[at]) else {
                return Chunked::Unclear;
            };
            at += 1;
            if self == Self::EndLineFeed {
                return Chunked::End(at);
            }
            self = next;
        }
        Chunked::More(self)
    }

    /// The state after a byte that is no data; `None` if the byte may not come here.
    fn step(self, byte: u8) -> Option<Self> {
        match (self, byte) {
            (Self::Size { digits, size }, _) if byte.is_ascii_hexdigit() => {
                let digit = char::from(byte).to_digit(16)?;
                (digits < MAX_DIGITS).then_some(Self::Size {
                    digits: digits + 1,
                    size: size * 16 + u64::from(digit),
                })
            }
            (Self::Size { digits, size }, b'\r') if digits > 0 => Some(Self::SizeLineFeed(size)),
            (Self::SizeLineFeed(0), b'\n') => Some(Self::EndReturn),
            (Self::SizeLineFeed(size), b'\n') => Some(Self::Data(size)),
            (Self::DataReturn, b'\r') => Some(Self::DataLineFeed),
            (Self::DataLineFeed, b'\n') => Some(Self::START),
            (Self::EndReturn, b'\r') | (Self::EndLineFeed, b'\n') => Some(Self::EndLineFeed),
            _ => None,
        }
    }
}
