//! The clock of a trial: the machine's monotonic clock that includes suspension, the same in all processes.

use rustix::time::{ClockId, clock_gettime};

/// Microseconds since boot.
#[must_use]
pub fn now() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    u64::try_from(time.tv_sec).unwrap_or(0) * 1_000_000 + u64::try_from(time.tv_nsec).unwrap_or(0) / 1000
}
