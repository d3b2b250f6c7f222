//! Whether another process of the same sidecar runs: each holds an advisory lock on a file of its own, which the system
//! gives back whatever ends the process, so that a dead holder is never taken for one that lives.

use anyhow::{Context, Result, bail};
use std::fs::{File, OpenOptions, TryLockError};
use std::path::{Path, PathBuf};

/// Processes of one sidecar at a time; two in the ordinary course of an upgrade.
const SLOTS: usize = 4;

/// This process's presence, for as long as it lives.
#[derive(Debug)]
pub struct Presence {
    _own: File,
    others: Vec<PathBuf>,
}

fn open(path: &Path) -> std::io::Result<File> {
    OpenOptions::new().write(true).create(true).truncate(false).open(path)
}

impl Presence {
    /// Takes a place among the processes of the sidecar of this name, in a folder that they share. The files are empty.
    ///
    /// # Errors
    ///
    /// The folder can't be written, or all places are taken.
    pub fn acquire(folder: &Path, name: &str) -> Result<Presence> {
        // A name may hold what no file's name may.
        let name: String = name.bytes().map(|byte| format!("{byte:02x}")).take(64).collect();
        let paths: Vec<PathBuf> =
            (0..SLOTS).map(|slot| folder.join(format!("dunlincleat-1-{name}-{slot}"))).collect();
        for (slot, path) in paths.iter().enumerate() {
            let own = open(path).with_context(|| format!("'{}'", path.display()))?;
            match own.try_lock() {
                Ok(()) => {
                    let others = paths.iter().enumerate().filter(|(n, _)| *n != slot);
                    return Ok(Presence {
                        _own: own,
                        others: others.map(|(_, path)| path.clone()).collect(),
                    });
                }
                Err(TryLockError::WouldBlock) => {}
                Err(TryLockError::Error(error)) => {
                    return Err(error).with_context(|| format!("'{}'", path.display()));
                }
            }
        }
        bail!("{SLOTS} processes of this sidecar run already");
    }

    /// Whether another process holds a place. What can't be read counts as nobody.
    #[must_use]
    pub fn has_peer(&self) -> bool {
        let held = |path: &PathBuf| {
            let file = File::open(path).ok()?;
            Some(matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock)))
        };
        self.others.iter().any(|path| held(path).unwrap_or(false))
    }
}

#[cfg(test)]
mod tests;
