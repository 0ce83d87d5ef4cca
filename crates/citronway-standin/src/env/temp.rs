//! A directory that is removed when dropped.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use uuid::Uuid;

/// A directory that is removed when dropped.
#[derive(Debug)]
pub struct TempDir {
    path: PathBuf,
    keep: bool,
}

impl TempDir {
    /// Makes a fresh directory.
    ///
    /// # Errors
    ///
    /// If it cannot be made.
    pub fn new() -> io::Result<Self> {
        // Numbers of processes come back; a directory left by an earlier one would
        // mix its logs and journals into this run.
        let name = format!("citronway-{}", Uuid::new_v4().simple());
        let path = std::env::temp_dir().join(name);
        fs::create_dir(&path)?;
        Ok(Self { path, keep: false })
    }

    /// Leaves it in place when dropped.
    pub const fn keep(&mut self) {
        self.keep = true;
    }

    /// Where it is.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if self.keep {
            return;
        }
        if let Err(error) = fs::remove_dir_all(&self.path) {
            log::warn!("{} stays: {error}", self.path.display());
        }
    }
}
