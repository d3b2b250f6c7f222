//! The resident memory of the process, as Linux reports it.

use std::fs::File;
use std::os::unix::fs::FileExt;

/// The resident memory of this process, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResidentMemory {
    /// Now.
    pub current: usize,
    /// The highest so far.
    pub peak: usize,
    /// The part of it now that are pages of files: the program and its libraries.
    pub files: usize,
}

impl ResidentMemory {
    /// Reads them; `None` where the system does not tell them.
    #[must_use]
    pub fn read() -> Option<ResidentMemory> {
        ResidentMemory::parse(&std::fs::read_to_string("/proc/self/status").ok()?)
    }

    fn parse(status: &str) -> Option<ResidentMemory> {
        let kibibytes = |key: &str| {
            let value = status.lines().find_map(|line| line.strip_prefix(key))?;
            value.trim().strip_suffix(" kB")?.parse::<usize>().ok()
        };
        Some(ResidentMemory {
            current: kibibytes("VmRSS:")? << 10,
            peak: kibibytes("VmHWM:")? << 10,
            files: kibibytes("RssFile:")? << 10,
        })
    }
}

/// Room for the line of `/proc/self/statm`, in bytes.
const STATM_BYTES: usize = 256;

/// Reads the resident memory of this process often: it keeps the file open and allocates nothing.
#[derive(Debug)]
pub struct ResidentMeter {
    statm: File,
    page_bytes: usize,
}

impl ResidentMeter {
    /// Opens it; `None` where the system does not tell the resident memory.
    #[must_use]
    pub fn open() -> Option<ResidentMeter> {
        let statm = File::open("/proc/self/statm").ok()?;
        Some(ResidentMeter { statm, page_bytes: rustix::param::page_size() })
    }

    /// The resident memory now, in bytes.
    #[must_use]
    pub fn read(&self) -> Option<usize> {
        let mut line = [0; STATM_BYTES];
        let length = self.statm.read_at(&mut line, 0).ok()?;
        let text = std::str::from_utf8(&line[..length]).ok()?;
        let pages: usize = text.split(' ').nth(1)?.parse().ok()?;
        Some(pages * self.page_bytes)
    }
}

#[cfg(test)]
mod tests;
