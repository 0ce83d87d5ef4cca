//! The present time, as deciding functions receive it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Milliseconds on a clock that never goes back; the origin is arbitrary and
/// differs between processes.
///
/// Only its rate matters. Leases between instances are counted on it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Mono(pub u64);

/// Milliseconds since the Unix epoch.
///
/// Clocks of two processes differ by at most the configured skew bound. Ends of
/// grants and deadlines of orders use it, because they cross processes.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Wall(pub u64);

/// The present time on both clocks of one process, read together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Now {
    /// Reading of the monotonic clock.
    pub mono: Mono,
    /// Reading of the wall clock.
    pub wall: Wall,
}

macro_rules! clock_arithmetic {
    ($name:ident) => {
        impl $name {
            /// Adds milliseconds; saturates at the end of the range.
            #[must_use]
            pub const fn plus(self, ms: u64) -> Self {
                Self(self.0.saturating_add(ms))
            }

            /// Takes milliseconds off; saturates at zero.
            #[must_use]
            pub const fn minus(self, ms: u64) -> Self {
                Self(self.0.saturating_sub(ms))
            }

            /// Milliseconds since `earlier`, zero if that lies ahead.
            #[must_use]
            pub const fn since(self, earlier: Self) -> u64 {
                self.0.saturating_sub(earlier.0)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{} ms", self.0)
            }
        }
    };
}

clock_arithmetic!(Mono);
clock_arithmetic!(Wall);
