//! Seeded random numbers (`SplitMix64`), the same on every machine.

#[derive(Debug)]
pub struct Random(u64);

impl Random {
    pub const fn new(seed: u64) -> Self {
        Self(seed)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    pub fn index(&mut self, count: usize) -> usize {
        usize::try_from(self.below(count as u64)).unwrap_or_default()
    }

    pub fn key(&mut self) -> u16 {
        u16::try_from(self.below(60_000)).unwrap_or_default()
    }

    /// True in `of_10_000` cases out of ten thousand.
    pub fn chance(&mut self, of_10_000: u64) -> bool {
        self.below(10_000) < of_10_000
    }
}
