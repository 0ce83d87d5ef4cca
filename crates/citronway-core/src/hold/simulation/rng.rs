//! Pseudorandom numbers that are the same in every run with the same seed.

/// The `SplitMix64` generator.
#[derive(Debug, Clone)]
pub(super) struct SplitMix64(u64);

impl SplitMix64 {
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

    /// Returns a number from `first` to `last`, both included.
    pub fn between(&mut self, first: u64, last: u64) -> u64 {
        first + self.next() % (last - first + 1)
    }

    /// Returns true with a probability of `per_mille` in 1,000.
    pub fn random_bool(&mut self, per_mille: u64) -> bool {
        self.between(1, 1000) <= per_mille
    }
}
