//! The record of a play: what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            started: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let ms = self.started.elapsed().as_secs_f64() * 1_000.0;
        let mut file = self.file.lock().expect("no panic");
        writeln!(file, "{ms:10.1} {text}").expect("the record can be written");
    }

    pub fn flush(&self) {
        self.file
            .lock()
            .expect("no panic")
            .flush()
            .expect("the record can be written");
    }
}

/// Pseudorandom numbers (xorshift), seeded by the caller.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    /// From 0 to 1.
    pub fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn below(&mut self, n: u64) -> u64 {
        (self.next() >> 16) % n
    }
}
