//! Who asks the store at the first start of a whole system.
//!
//! Load: 295 instances start within 0.3 s, each reads three tables of which nothing stands
//! in the store yet, and asks for each of them again when something does: 2,400 calls
//! before the first caller comes. Now the strong machines and a few others read, one of
//! them leads, and the rest are called and given copies by delegates of their zone.

use citronway_core::gateway::election::Strength;
use citronway_core::gateway::pace::rank_of;
use citronway_core::gateway::settings::InstanceSettings;

/// One in so many weak machines reads the store too, for fleets without strong ones.
const READERS: u64 = 16;

/// Time over which weak machines list themselves in the store, in milliseconds: it writes
/// 200 rows of a table a second.
const REGISTER_SPREAD_MS: u64 = 1_500;

/// Time after the start in which copies are waited for, in milliseconds: a leader is there
/// after 0.7 s, all are listed 1.5 s after their start, and a delegate gives a copy of a few
/// hundred kilobytes to each of its members within 2 s.
pub(super) const COPIES_WITHIN_MS: u64 = 5_000;

/// Whether this instance waits for copies.
pub(super) fn waits_for_copies(cfg: &InstanceSettings) -> bool {
    let reads = cfg.strength == Strength::FULL || rank_of(&cfg.instance).is_multiple_of(READERS);
    cfg.first_start && !reads
}

/// How long after its start this instance lists itself, in milliseconds.
pub(super) fn register_after_ms(cfg: &InstanceSettings) -> u64 {
    if cfg.strength == Strength::FULL {
        return 0;
    }
    rank_of(&cfg.instance) % REGISTER_SPREAD_MS
}
