//! Heavy hitters: approximate counts of the most requested keys in bounded memory.

mod sketch;

pub use sketch::{HotKeyCount, HotKeys};
