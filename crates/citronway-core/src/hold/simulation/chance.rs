//! A small generator of numbers for delays, the same on every run.

/// `SplitMix64`.
#[derive(Debug, Clone)]
pub(super) struct Chance(u64);

impl Chance {
    pub const fn new(seed: u64) -> Self {
        Self(seed)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// A number from `first` to `last`, both included.
    pub fn between(&mut self, first: u64, last: u64) -> u64 {
        first + self.next() % (last - first + 1)
    }

    /// Whether something happens that does so `per_mille` times in a thousand.
    pub fn happens(&mut self, per_mille: u64) -> bool {
        self.between(1, 1000) <= per_mille
    }
}
