//! Heavy hitters: the keys asked for most often, in bounded memory.

mod sketch;

pub use sketch::{HotKeyCount, HotKeys};
