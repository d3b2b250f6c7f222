//! Detects whether another process of the same sidecar is running. Each process holds an advisory lock on a file of its
//! own; the operating system releases it however the process terminates, so a dead process never counts as running.

use anyhow::{Context, Result, bail};
use std::fs::{File, OpenOptions, TryLockError};
use std::path::{Path, PathBuf};

/// Maximum number of concurrent processes of one sidecar; an upgrade needs two.
const MAX_PROCESSES: usize = 4;

/// Marks this process as running until it is dropped.
#[derive(Debug)]
pub struct Presence {
    _lock: File,
    other_paths: Vec<PathBuf>,
}

fn open_lock_file(path: &Path) -> std::io::Result<File> {
    OpenOptions::new().write(true).create(true).truncate(false).open(path)
}

impl Presence {
    /// Acquires a slot among the processes of the sidecar of this name, as a lock on an empty file in a shared folder.
    ///
    /// # Errors
    ///
    /// The folder is not writable, or all slots are in use.
    pub fn acquire(folder: &Path, name: &str) -> Result<Presence> {
        // A sidecar's name may contain characters that a file name must not.
        let encoded: String = name.bytes().map(|byte| format!("{byte:02x}")).take(64).collect();
        let paths: Vec<PathBuf> =
            (0..MAX_PROCESSES).map(|slot| folder.join(format!("dunlincleat-1-{encoded}-{slot}"))).collect();
        for (slot, path) in paths.iter().enumerate() {
            let lock = open_lock_file(path).with_context(|| format!("'{}'", path.display()))?;
            match lock.try_lock() {
                Ok(()) => {
                    let others = paths.iter().enumerate().filter(|(other, _)| *other != slot);
                    return Ok(Presence {
                        _lock: lock,
                        other_paths: others.map(|(_, path)| path.clone()).collect(),
                    });
                }
                Err(TryLockError::WouldBlock) => {}
                Err(TryLockError::Error(error)) => {
                    return Err(error).with_context(|| format!("'{}'", path.display()));
                }
            }
        }
        bail!("{MAX_PROCESSES} processes of this sidecar are already running");
    }

    /// Whether another process holds a slot. A file that can't be read counts as a free slot.
    #[must_use]
    pub fn has_peer(&self) -> bool {
        let is_locked = |path: &PathBuf| {
            let file = File::open(path).ok()?;
            Some(matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock)))
        };
        self.other_paths.iter().any(|path| is_locked(path).unwrap_or(false))
    }
}

#[cfg(test)]
mod tests;
