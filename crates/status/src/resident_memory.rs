//! The resident memory of the process, as Linux reports it.

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

#[cfg(test)]
mod tests;
